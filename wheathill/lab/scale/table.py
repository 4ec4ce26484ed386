"""What grows with the number of servers: the slot table, the list, the clock's work on both, and probes.

No sockets: a proxy's own objects (`net.proxy.Proxy`, the state machine of its watch and the decisions), fed by hand.
Times are processor time of this process.
"""

import asyncio
import random
import time
import tracemalloc
from collections import Counter
from statistics import fmean

import orjson

from wheathill.config.platform import build_node_config
from wheathill.lab.scale import fit
from wheathill.model import (
    PROBE_TIMER,
    AttemptOutcome,
    EndpointEntry,
    Listener,
    Phase,
    Server,
    Session,
    UpdateKind,
)
from wheathill.net.clock import Clock
from wheathill.net.discovery import Watch
from wheathill.net.proxy import Proxy
from wheathill.net.transport import Transport
from wheathill.policy.balancer import Balancer
from wheathill.policy.settings import (
    EndpointListSettings,
    LoadEstimatorSettings,
    PolicySettings,
    SlowStartSettings,
)

SHARDS = 420_000
SERVERS = 8_000
RATES = (
    0.1,
    1.0,
    10.0,
    100.0,
    1000.0,
)  # sessions a second, for which probes are counted
USUAL = PolicySettings(
    proxy_count=2800,
    may_probe=True,
    max_attempts=3,
    max_retry_after_ms=1000.0,
    load_estimator=LoadEstimatorSettings(report_fields=["x0"]),
    endpoint_list=EndpointListSettings(drain_grace_ms=500.0, uses_weights=True),
    slow_start=SlowStartSettings(
        initial_share=0.2, duration_ms=10_000.0, rate_multiple=3.0
    ),
)


def host(place):
    return {
        "host": f"server-{place:05}.zone-{place % 15}",
        "dial": f"10.{place >> 16}.{place >> 8 & 255}.{place & 255}:7000",
        "site": f"zone-{place % 15}",
        "class": "m",
        "block": 1,
        "health": "ready",
        "share": 1.0,
        "born_ms": 1_700_000_000_000,
    }


def proxy():
    """One that holds no sockets; its log goes nowhere."""
    loop = asyncio.new_event_loop()
    node = build_node_config(
        {
            "name": "p",
            "seed": "1",
            "listen": "127.0.0.1:1",
            "discovery": False,
            "known": {},
            "limits": {"sockets": 20_000, "memory_mb": 192},
            "settings": {
                "listeners": [
                    {"name": "any", "repeat": "retryable", "dialTimeoutS": 2.0}
                ],
                "limits": {"mayProbe": True},
                "familyInfo": {"mode": "proxy"},
                "report": {"how": "on_probe", "names": ["x0"]},
                "dcs": [f"zone-{zone}" for zone in range(15)],
            },
        }
    )
    log = lambda *_, **__: None  # noqa: E731
    found = Proxy(node, Transport(loop, node.limits, log), Clock(loop), log)
    found.set_timer = log  # nothing rings: the clock's work is called by hand
    return found, loop


class Timer:
    """Processor ms."""

    def __enter__(self):
        self.begun = time.process_time()
        return self

    def __exit__(self, *_):
        self.ms = 1000 * (time.process_time() - self.begun)


def timed(call, *args, times=1):
    with Timer() as timer:
        for _ in range(times):
            call(*args)
    return timer.ms / times


def at_servers(count, seed, say):
    found = {"servers": count}
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    here, loop = proxy()
    whole = {"seq": 1, "whole": True, "hosts": [host(place) for place in range(count)]}
    text = orjson.dumps(whole)
    del whole
    here.on_endpoint_list(orjson.loads(text))
    found["list_bytes_held_a_server"] = (
        tracemalloc.get_traced_memory()[0] - before
    ) / count
    tracemalloc.stop()
    loop.close()
    del here
    found.update(lists(count, text))
    found.update(slots(count, seed))
    found["probes"] = probes(count, seed)
    # Who comes back after a break pays for none; its servers are asked first all the same.
    found["probes_returning"] = probes(count, seed, returning=True)
    say(
        f"{count:6} servers: a list of {found['list_bytes'] / 1000:.0f} KB in force after {found['list_ms']:.0f} ms, the same "
        f"again {found['list_again_ms']:.0f}, one change {found['change_ms']:.1f} ms and {found['change_bytes']} bytes; "
        f"{found['list_bytes_held_a_server'] / 1000:.1f} KB each; {found['with_slot']} have a slot, the most {found['most_slots']}; "
        f"one leaves {found['leave_ms']:.1f} ms, a fifteenth {found['zone_leaves_ms']:.0f} ms; a tick "
        f"{found['tick_ms']:.1f} ms, {found['tick_probing_ms']:.1f} while probing"
    )
    return found


def lists(count, text):
    """A list as it comes over the watch, in pieces of the receive buffer."""
    here, loop = proxy()
    here.watch_timer = here.clock.after(1e6, int)
    watch = here.watch = Watch("x", 0, here, here.limits, here.clock)
    watch.timer.cancel()
    pieces = [
        text[start : start + here.limits.receive_buffer_bytes]
        for start in range(0, len(text) + 1, here.limits.receive_buffer_bytes)
    ]

    def take(parts):
        for part in parts:
            watch.consume(part)
        watch.consume(b"\n")

    found = {"list_bytes": len(text), "list_longest": here.limits.max_list_line_bytes}
    with Timer() as first:
        take(pieces)
    ready = len(here.balancer.endpoint_list.servers)
    found["list_ms"], found["list_taken"] = first.ms, ready == count
    found["list_again_ms"] = timed(take, pieces)
    drains = orjson.dumps(
        {"seq": 2, "whole": False, "hosts": [{**host(1), "health": "draining"}]}
    )
    back = orjson.dumps({"seq": 3, "whole": False, "hosts": [host(1)]})
    found["change_bytes"] = len(drains)
    found["change_ms"] = (timed(take, [drains]) + timed(take, [back])) / 2
    watch.timer.cancel()
    here.watch_timer.cancel()
    loop.close()
    return found


def slots(count, seed):
    """The table by itself: built, with one and with a fifteenth leaving, and what a slot is then."""
    here, loop = proxy()
    table = here.balancer.slot_table
    servers = [Server(host(place)["host"], zone=place % 15) for place in range(count)]
    found = {
        "weigh_ms": sum(
            timed(table.set_effective_weight, server) for server in servers
        ),
        "join_ms": timed(table.update, 0.0, servers, {}, servers),
    }
    found["draws_bytes_a_server"] = fmean(
        len(server.hash_draws) * server.hash_draws.itemsize for server in servers
    )
    held = Counter(table.current)
    found |= {
        "slots": table.size,
        "with_slot": len(held),
        "most_slots": max(held.values()),
        "shards_a_slot": SHARDS / table.size,
        "may_be_halved": sum(one > table.min_slots + 1 for one in held.values()),
        # A group's members go to its slot's server, then to those of the slots that follow.
        "reach": fmean(
            1 + len(set(table.following_servers(slot)) - {table.current[slot]})
            for slot in range(table.size)
        ),
    }
    live = dict.fromkeys(servers)
    one = table.current[0]
    del live[one]
    found["leave_ms"] = timed(table.update, 1.0, [], {one: None}, live)
    found["join_one_ms"] = timed(table.update, 2.0, [Server("another")], {}, live)
    zone = [server for server in live if server.zone == 1]
    for server in zone:
        del live[server]
    found["zone_leaves_ms"] = timed(table.update, 3.0, [], dict.fromkeys(zone), live)
    loop.close()
    return found | ticks(count, seed)


class Quiet:
    """Actions that note probes and dials, and do nothing."""

    def __init__(self):
        self.probed = []  # not answered yet
        self.sent = 0
        self.dialled = []  # not up yet

    def start_attempt(self, session, server, timeout_ms):
        self.dialled.append(session)

    def send_probe(self, server):
        self.probed.append(server)
        self.sent += 1

    def nothing(self, *_):
        pass

    reject = fail = migrate = poll_endpoint_list = set_timer = log = nothing


def balancer(count, seed):
    actions = Quiet()
    made = Balancer(actions, random.Random(seed), USUAL)
    made.on_start(0.0)
    servers = [Server(host(place)["host"], zone=place % 15) for place in range(count)]
    made.on_endpoint_update(
        0.0,
        UpdateKind.SNAPSHOT,
        [EndpointEntry(server, Phase.READY, 1.0, None) for server in servers],
    )
    return made, actions, servers


def ticks(count, seed):
    """The clock's work each second with no session: with no figure known, and with all known and a probe to each due."""
    made, actions, servers = balancer(count, seed)
    made.tick(1000.0)
    found = {"tick_ms": timed(made.tick, 2000.0)}
    for place, server in enumerate(servers):
        made.load_estimator.record_sample(2900.0, server, [0.2 + 0.4 * (place % 2)])
        server.last_probe_ms = 0.0
    made.probe_scheduler.credit = float(count)
    found["tick_probing_ms"] = timed(made.tick, 3000.0)
    return found


def probes(count, seed, returning=False):
    """Probes a second at so many first sessions a second, each answered at once; 10 s are counted after 10 s."""
    found = {}
    for rate in RATES:
        made, actions, servers = balancer(count, seed)
        listener, came, before = Listener("any"), 0, 0
        for second in range(1, 21):
            while came < rate * second:
                now = 1000.0 * came / rate
                made.on_session(
                    now,
                    Session(listener, f"k{came}", now + 2000.0, returning=returning),
                )
                answer(made, actions, now)
                came += 1
            made.tick(1000.0 * second)
            for _ in range(len(made.due_probes)):
                made.on_timer(1000.0 * second, PROBE_TIMER)
            answer(made, actions, 1000.0 * second)
            if second == 10:
                before = actions.sent
        found[f"{rate:g}"] = (actions.sent - before) / 10
    return found


def answer(made, actions, now):
    """All that were asked, with a load that leaves room; all that were dialled come up, and end."""
    while actions.probed:
        made.on_probe_result(now, actions.probed.pop(), AttemptOutcome.COMPLETED, [0.3])
    while actions.dialled:
        sess = actions.dialled.pop()
        made.on_session_accepted(now, sess)
        made.on_outcome(now, sess, AttemptOutcome.COMPLETED, True)


SLOPES = (
    "list_bytes",
    "list_ms",
    "list_again_ms",
    "change_ms",
    "weigh_ms",
    "join_ms",
    "leave_ms",
    "zone_leaves_ms",
    "tick_ms",
    "tick_probing_ms",
    "list_bytes_held_a_server",
)


def measure(counts, *, seed, say):
    by_servers = [at_servers(count, seed, say) for count in counts]
    found = {"seed": seed, "by_servers": by_servers, "slopes": {}}
    for name in SLOPES:
        found["slopes"][name] = fit.grown(
            [(one["servers"], one[name]) for one in by_servers],
            SERVERS,
            ("constant", "linear", "square"),
        )
        say(fit.line_of(name, found["slopes"][name], SERVERS))
    for one in by_servers:
        say(
            f"    {one['servers']:6} servers: probes a second by sessions a second "
            + ", ".join(f"{rate}: {sent:g}" for rate, sent in one["probes"].items())
            + "; where all of them return "
            + ", ".join(
                f"{rate}: {sent:g}" for rate, sent in one["probes_returning"].items()
            )
        )
    return found
