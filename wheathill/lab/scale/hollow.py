"""Hollow proxies: everything of a proxy's control part and no sessions, many in one process.

`python -m wheathill.lab.scale.hollow` reads orders from its standard input, a line of JSON each, and answers each with
a line. Under a `PeerService` stands what it asks of a proxy; its transport, frames, membership, cluster view, drains and health reports are the
ones that a proxy runs, over real loopback sockets. Times are in the fleet's ms, which a rate of time stretches.
"""

import asyncio
import os
import random
import resource
import tempfile
import time
from collections import Counter
from dataclasses import replace

import orjson

# What a proxy without peers has loaded as well, and no more: `wheathill.peers` is imported once its cost can be told.
import wheathill.cli  # noqa: F401
import wheathill.daemon  # noqa: F401
from wheathill.config import operator
from wheathill.lab.cast.sessionless import Sessionless
from wheathill.lab.scale.layout import Layout
from wheathill.lab.scale.memory import allocated_mb, resident_mb
from wheathill.lab.scale.shape import Shape, ShapedCarrier
from wheathill.log_events import LogEvent
from wheathill.model import Phase
from wheathill.net.clock import Clock
from wheathill.net.log import EventLog
from wheathill.net.proxy import Proxy
from wheathill.net.transport import Transport

FRESH = 500.0  # ms since a server was last heard, where the proxy sees it


class StretchedClock(Clock):
    """`rate` times as slow as the machine's, and so is its wall clock, which is the same for all members whenever they
    start. One that is stopped rings no more, as that of a dead process."""

    EPOCH = 1_700_000_000_000.0

    def __init__(self, loop, rate):
        self.loop, self.rate = loop, rate
        self.offset = -self.EPOCH
        self.stopped = False

    def now(self):
        return self.loop.time() * 1000 / self.rate

    def at(self, when, call, *args):
        return self.loop.call_at(when * self.rate / 1000, self.ring, call, args)

    def after(self, wait, call, *args):
        return self.loop.call_later(wait * self.rate / 1000, self.ring, call, args)

    def soon(self, call, *args):
        return self.loop.call_soon(self.ring, call, args)

    def ring(self, call, args):
        if not self.stopped:
            call(*args)


class Seen:
    """A server that a proxy has just heard of, or never has."""

    load_samples = recent_results = ()
    unanswered_probes, last_probe_ms = 0, 0.0

    def __init__(self, name, clock):
        self.name, self.clock = name, clock

    @property
    def last_received_ms(self):
        return self.clock.now() - FRESH if self.clock else -1e12


class StandIn(Sessionless):
    """Tells one of this process's hollow proxies what its peers say."""

    def __init__(self, hollow, servers):
        super().__init__(servers, 0.25)
        self.hollow = hollow

    def on_quota_changed(self, now, share):
        self.hollow.takes(now, share)

    def on_peer_health_reports(self, now, failing, here):
        self.hollow.crew.counts["witnesses said"] += 1

    def on_peer_update(self, server, phase, born):
        self.hollow.told_of(server.name, phase, born)


class Acquainted(dict):
    """The addresses that a transport has spoken to, where they have spoken to all: made at first use, since all of them for
    all members would not fit this machine."""

    def __init__(self, layout):
        from wheathill.peers.transport import RemoteAddress

        self.layout, self.remote_address = layout, RemoteAddress

    def get(self, address, default=None):
        if address not in self:
            number = self.layout.number_at(address.rpartition(":")[0])
            self[address] = self.remote_address(address)
            self[address].generation = self.layout.generation(number, 1)
        return self[address]


def acquaint(peers, layout, number, numbers, full):
    """The instance of member `number`, not yet started, knows all of `numbers`; `full`: as `Hollow.start`."""
    from wheathill.peers.membership import MemberState, MemberUpdate

    log, now = peers.events.log_event, peers.clock.now()
    peers.update_view = peers.events.log_event = lambda *_, **__: None
    others = [
        other
        for other in numbers
        if other != number
        and (not layout.zoned or layout.zone(other) == layout.zone(number))
    ]
    for other in others:
        peers.membership.apply_updates(
            now,
            [
                MemberUpdate(
                    MemberState.ALIVE,
                    layout.name(other),
                    layout.address(other),
                    0,
                    layout.generation(other, 1),
                    layout.name(other),
                )
            ],
        )
    del peers.update_view
    transport = peers.transport
    transport.remote_addresses = Acquainted(layout)
    if full:
        for other in others:
            transport.remote(layout.address(other))
            transport.rate_limiter.allow(now, layout.address(other))
            peers.authenticator.accept_counter(
                layout.name(other), layout.generation(other, 1), 0
            )
    peers.events.log_event = log
    peers.membership.gossip.clear()
    # It asks nobody: at a start of all, answers of whole states would still be on their way when it is measured.
    peers.settings = replace(peers.settings, seeds=())
    peers.membership.joining.has_joined = True
    longest_ms = peers.membership.config.sync_interval_ms
    peers.membership.anti_entropy.interval_ms = longest_ms
    peers.cluster_view.is_established = True
    peers.cluster_view.process_end_times_ms.clear()
    digest = peers.cluster_view.digest()
    for known in peers.cluster_view.members.values():
        known.is_established, known.digest = True, digest


class Hollow:
    """One name; `peers` is the process that runs under it now, or None."""

    def __init__(self, crew, number):
        self.crew, self.number = crew, number
        self.name = crew.layout.name(number)
        self.starts = 0
        self.peers = None
        self.share = 0.0
        self.told = {}  # server -> (when, content) as first told
        self.began = 0.0

    def start(self, wait=0.0, together=None, full=False):
        """`wait`: ms until it says anything; `together`: numbers of all members where it is to know them from the start,
        else None; `full`: also all that its transport would hold of them after a while."""
        from wheathill.peers import PeerEnvironment, create_peer_service

        crew, layout = self.crew, self.crew.layout
        told = layout.told(self.number)
        self.starts += 1
        self.told = {}
        self.clock = StretchedClock(crew.loop, crew.clock.rate)
        self.began = self.clock.now()
        self.carrier = (
            ShapedCarrier(crew.carrier, crew.shape, self.number)
            if crew.shape
            else crew.carrier
        )
        peers = self.peers = create_peer_service(
            told,
            PeerEnvironment(
                StandIn(self, crew.servers), self.carrier, self.clock, self.log
            ),
            layout.generation(self.number, self.starts),
            layout.members,
        )
        for change in range(layout.changes):
            peers.record_list_entry(f"change-{change}", Phase.READY, 0.0)
        if together:
            self.know(together, full)
        self.clock.after(wait, peers.start)

    def know(self, numbers, full):
        """As long after a start: views, generations and agreement are there."""
        acquaint(self.peers, self.crew.layout, self.number, numbers, full)

    def kill(self):
        """As SIGKILL: nothing is said, its sockets close, what asks for its address is refused."""
        if self.peers is None:
            return
        self.clock.stopped = True
        self.peers.transport.close()
        if self.crew.shape:
            self.carrier.kill()
        self.peers = None
        self.takes(self.clock.now(), 0.0)

    # What is seen of it

    def takes(self, now, share):
        # A process that died may still be told by what was on its way within this call.
        if share != self.share and (self.peers is not None or not share):
            tick = round(now)
            self.crew.shares[tick] = (
                self.crew.shares.get(tick, 0.0) + share - self.share
            )
            self.share = share

    def told_of(self, server, phase, born):
        content = [phase.value, born]
        if server not in self.told:
            self.told[server] = self.clock.now(), content
        elif self.told[server][1] != content:
            self.crew.counts["told with another content"] += 1

    def log(self, event, **fields):
        if self.crew.log_line:
            self.crew.log_line(event, **fields)
        if (
            event == LogEvent.MEMBER_STATE_CHANGED
            and fields["state"] in ("dead", "left")
            and fields["peer"] in self.crew.gone
        ):
            self.crew.known.setdefault((self.name, fields["peer"]), self.clock.now())
        elif event in (LogEvent.INTERNAL_ERROR, LogEvent.FRAME_DROPPED):
            self.crew.counts[f"{event} {fields.get('why') or fields.get('what')}"] += 1

    def figures(self):
        metrics = self.peers.transport.metrics
        return [
            metrics.datagrams_sent,
            metrics.messages_received,
            metrics.bytes_sent,
            metrics.bytes_received,
        ]


class Crew:
    """All hollow proxies of this process."""

    def __init__(self, loop):
        self.loop = loop
        self.counts = Counter()
        self.log_line = None
        self.shares = {}  # fleet's ms -> by how much the sum of the shares changed then
        self.gone = {}  # name -> when it was killed for good
        self.known = {}  # (member, name) -> when it knew
        self.late = 0.0  # ms of the machine's time by which an alarm was late at the most since it was asked

    def call(self, order):
        return getattr(self, "do_" + order.pop("do"))(**order)

    def do_build(self, layout, numbers, rate, loss, shaped, sockets, prompt):
        layout["ways"] = tuple(layout["ways"])
        self.layout = Layout(**layout)
        self.clock = StretchedClock(self.loop, rate)
        node = idle_node(sockets)
        self.carrier = Transport(self.loop, node.limits, self.log)
        if prompt:
            # Beside a proxy without sessions, as a real one: what that costs is taken off.
            self.log_line = EventLog(
                node.name,
                node.limits.max_queued_log_lines,
                os.open(os.devnull, os.O_WRONLY),
            )
            self.proxy = Proxy(node, self.carrier, self.clock, self.log_line)
            self.proxy.start()
        rng = random.Random(f"{self.layout.seed}/process {numbers[:1]}")
        self.random = rng.random
        self.shape = (
            Shape(self.layout, self.clock, rng, loss, prompt) if shaped else None
        )
        servers = [
            Seen(f"s{number:04d}", self.clock) for number in range(self.layout.servers)
        ]
        servers += [
            Seen(f"change-{change}", None) for change in range(self.layout.changes)
        ]
        self.servers = {server.name: server for server in servers}
        self.members = {}
        self.empty = resident_mb()
        if numbers:
            # A process without members stands for a proxy without peers, and has none of this.
            import wheathill.peers.peer_service  # noqa: F401

            self.members = {number: Hollow(self, number) for number in numbers}

    def log(self, event, **fields):
        self.counts[f"{event} {fields.get('what', '')}"] += 1

    def do_start(self, numbers, together=False, full=False):
        """Within a period of one another: processes of different machines do not tick at one moment."""
        for number in numbers:
            self.members[number].start(
                self.random() * self.layout.period,
                together and range(self.layout.members),
                full,
            )
        return self.clock.now()

    def do_kill(self, numbers):
        for number in numbers:
            if number in self.members:
                self.members[number].kill()
        return self.clock.now()

    def do_gone(self, names):
        """All are told whose death is to be timed."""
        now = self.clock.now()
        self.gone.update(dict.fromkeys(names, now))
        return now

    def do_cut(self, region, out=False):
        self.shape.set_cut(region, out)
        return self.clock.now()

    def do_change(self, number, change):
        """The member's own list says that a server drains."""
        hollow = self.members[number]
        hollow.peers.record_list_entry(f"change-{change}", Phase.DRAINING, 0.0)
        hollow.told_of(f"change-{change}", Phase.DRAINING, 0.0)
        return self.clock.now()

    def running(self):
        return [hollow for hollow in self.members.values() if hollow.peers is not None]

    def do_figures(self):
        """Counts so far of each member, and what the process has used."""
        late, self.late = self.late, 0.0
        return {
            "members": {hollow.number: hollow.figures() for hollow in self.running()},
            "cpu_s": time.process_time(),
            "now": self.clock.now(),
            "late_ms": late,
        }

    def do_memory(self):
        """In MB: resident, the same before it had members, and in use."""
        return {
            "all": resident_mb(),
            "empty": self.empty,
            "used": allocated_mb(),
            "members": len(self.running()),
        }

    def watch(self, due):
        now = self.loop.time()
        self.late = max(self.late, (now - due) * 1000)
        self.loop.call_at(now + 0.5, self.watch, now + 0.5)

    def do_sight(self, names=None):
        """How many of this process's members know as many as there are, by zones where they know zones, and agree."""
        found = Counter()
        for hollow in self.running():
            view = hollow.peers.cluster_view
            found["members"] += 1
            found["agreed"] += view.state == "agreed"
            found["cut off"] += view.state == "cut off"
            found["know all"] += (
                len(view.members) + 1 == names[self.layout.zone(hollow.number)]
            )
        return found

    def do_views(self, generations):
        """Views against the truth, `generations` of all that run by name: how many members are right, and the first few that
        are not, with how many they lack and how many they wrongly count as there."""
        wrong, right = [], 0
        for hollow in self.running():
            there = {
                member.name: member.generation
                for member in hollow.peers.membership.active_members()
            }
            meant = {
                name: generation
                for name, generation in generations.items()
                if not self.layout.zoned
                or self.layout.zone(self.layout.number(name))
                == self.layout.zone(hollow.number)
            }
            lacks = sum(
                there.get(name) != generation for name, generation in meant.items()
            )
            extra = sum(
                generations.get(name) != generation
                for name, generation in there.items()
            )
            right += not (lacks or extra)
            if lacks or extra:
                wrong.append([hollow.name, lacks, extra])
        return {"right": right, "wrong": wrong[:5]}

    def do_judged(self):
        return {
            "told": {
                hollow.number: {
                    server: when for server, (when, _) in hollow.told.items()
                }
                for hollow in self.running()
            },
            "began": {hollow.number: hollow.began for hollow in self.running()},
            "shares": list(self.shares.items()),
            "known": [
                [member, name, when - self.gone[name]]
                for (member, name), when in self.known.items()
            ],
            "counts": self.counts,
            "shaped": self.shape.counts if self.shape else {},
        }


FILE = """
name = "p"
listen = "127.0.0.1:1"
limits = {{ sockets = {} }}
[[listener]]
name = "all"
[[server]]
name = "s"
address = "127.0.0.1:1"
"""


def idle_node(sockets):
    """Read as a proxy reads its file, with a server that it never needs: what that takes of memory and gives back again is
    there for what comes after."""
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(FILE.format(sockets))
        file.flush()
        return operator.read_operator_config(file.name)


async def serve(make):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: crew.log(
            LogEvent.INTERNAL_ERROR,
            what=repr(context.get("exception") or context["message"]),
        )
    )
    crew = make(loop)
    crew.watch(loop.time())
    over = asyncio.Event()
    rest = bytearray()

    def read():
        data = os.read(0, 65536)
        rest.extend(data)
        if not data:
            over.set()
        while (end := rest.find(b"\n")) >= 0:
            order = bytes(rest[:end])
            del rest[: end + 1]
            answer(crew, order)

    loop.add_reader(0, read)
    await over.wait()


def answer(crew, order):
    try:
        told = {"answer": crew.call(orjson.loads(order))}
    except Exception as wrong:
        told = {"wrong": repr(wrong)}
    data = memoryview(
        orjson.dumps(told, option=orjson.OPT_NON_STR_KEYS | orjson.OPT_APPEND_NEWLINE)
    )
    while data:
        data = data[os.write(1, data) :]


def main(make=Crew):
    """Carries out what it is told until its standard input ends. `make(loop)`: what has `call`, `log` and `watch`."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    asyncio.run(serve(make))


if __name__ == "__main__":
    main()
