"""The terms that hold from now on, each forced over loopback (docs/design/terms.md)."""

import json
import math
import os
import random
import resource
import select
import socket
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import replace

import pytest

from drive import USUAL, Drive, Peer, Rig, free_port
from turns import Turns
from wheathill.log_events import LogEvent
from wheathill.model import UpdateKind
from wheathill.net.session_handling import ACCEPT_EIGHTHS

pytestmark = pytest.mark.processes

TOLD = 6000.0  # a change that discovery has and can be reached for counts as told so many ms later


class Agent:
    """Discovery as `turns` meets it, between its turns: each call is met in the way that `ways` gives next, and in the
    last one from then on. Has the list of `names`, and whatever `change` makes of it.

    good: the changes since the version that was asked for, each later one at once, an empty line every 2 s
    silent: taken, never answered; reset: cut off; no: 503; half: cut off within the list, without an end
    quiet: an empty line, and nothing any more; spoilt: a list whose entries can't be read, as if all was told"""

    def __init__(self, turns, *ways):
        self.turns, self.ways = turns, list(ways)
        self.changes = [
            (turns.seq, entry) for entry in turns.list(*turns.servers)["hosts"]
        ]
        turns.seq += 1
        self.calls = []  # [socket, way, version that was told, when last]
        self.asked = 0
        self.at = turns.discovery.getsockname()
        turns.discovery.setblocking(False)
        turns.discovery.listen(64)

    def change(self, name, health):
        self.turns.seq += 1
        self.changes.append(
            (self.turns.seq, {**self.turns.list(name)["hosts"][0], "health": health})
        )

    def shut(self):
        """Calls are refused until `back`."""
        self.turns.discovery.close()
        for call in self.calls:
            call[0].close()
        self.calls.clear()

    def back(self):
        self.turns.discovery = socket.create_server(self.at, backlog=64)
        self.turns.discovery.setblocking(False)

    def step(self):
        if self.turns.discovery.fileno() >= 0:
            while select.select([self.turns.discovery], [], [], 0)[0]:
                sock, _ = self.turns.discovery.accept()
                self.asked += 1
                self.calls.append(
                    [
                        sock,
                        self.ways.pop(0) if len(self.ways) > 1 else self.ways[0],
                        None,
                        0.0,
                    ]
                )
        for call in list(self.calls):
            sock, way, told, _ = call
            try:
                if told is not None:
                    self.go_on(call)
                elif select.select([sock], [], [], 0)[0]:
                    request = sock.recv(4096).decode()
                    if not request:
                        raise ConnectionResetError
                    call[2] = int(request.partition("index=")[2].split()[0])
                    call[3] = self.turns.spent
                    self.begin(call)
            except OSError:
                sock.close()
                self.calls.remove(call)

    def list(self, since, spoil=False):
        entries = {
            entry["host"]: entry for version, entry in self.changes if version > since
        }
        hosts = [
            {**entry, "health": "?"} if spoil else entry for entry in entries.values()
        ]
        return (
            json.dumps({"seq": self.changes[-1][0], "whole": False, "hosts": hosts})
            + "\n"
        )

    def begin(self, call):
        sock, way, since, _ = call
        if way == "reset":
            raise ConnectionResetError
        if way == "no":
            sock.sendall(b"HTTP/1.1 503 Busy\r\n\r\n")
        elif way != "silent":
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            text = "\n" if way == "quiet" else self.list(since, way == "spoilt")
            self.chunk(sock, text, len(text) // 2 if way == "half" else None)
            call[2] = self.changes[-1][0]

    def go_on(self, call):
        sock, way, told, when = call
        if way in ("good", "spoilt"):
            if told < self.changes[-1][0]:
                self.chunk(sock, self.list(told, way == "spoilt"))
                call[2], call[3] = self.changes[-1][0], self.turns.spent
            elif self.turns.spent - when >= 2000.0:
                self.chunk(sock, "\n")
                call[3] = self.turns.spent

    @staticmethod
    def chunk(sock, text, most=None):
        sock.sendall(f"{len(text):x}\r\n{text}\r\n".encode()[:most])

    def until(self, found, at_most):
        """Turns until `found()`; how many ms that took by the proxy's clock, at most so many."""
        began = self.turns.spent
        while not found() and self.turns.spent - began < at_most:
            self.turns.turn()
            self.step()
        return self.turns.spent - began

    def for_ms(self, spent):
        self.until(lambda: False, spent)

    def told(self, *names, at_most=4 * TOLD):
        """How long it takes until just these are ready."""
        return self.until(
            lambda: (
                sorted(
                    server.name
                    for server in self.turns.proxy.balancer.endpoint_list.servers
                )
                == sorted(names)
            ),
            at_most,
        )


@pytest.fixture
def turns():
    with Turns(step=5.0) as turns:
        yield turns


@pytest.mark.parametrize("down", (1000.0, 5000.0, 20_000.0))
def test_told_after_refusals(turns, down):
    agent = Agent(turns, "good")
    agent.told("a", "b")
    agent.shut()
    agent.change("a", "draining")
    agent.for_ms(down)
    agent.back()
    assert agent.told("b") < 500


@pytest.mark.parametrize("way", ("silent", "reset", "no", "half", "quiet"))
@pytest.mark.parametrize("first", (True, False))
def test_told_after_calls_that_fail_for_5_s(turns, way, first):
    """From the start on, or once the watch that was open is cut off; then all is well."""
    agent = Agent(turns, *(() if first else ("good",)), way)
    if not first:
        agent.told("a", "b")
    agent.change("a", "draining")
    for call in agent.calls:
        call[0].close()
    agent.for_ms(5000.0)
    agent.ways = ["good"]
    assert agent.told("b") < TOLD - 500


@pytest.mark.parametrize(
    "ways",
    (
        ("quiet",),
        ("quiet", "quiet"),
        ("quiet", "silent"),
        ("quiet", "half", "silent"),
        ("silent", "quiet"),
    ),
)
def test_told_after_one_silent_watch_and_another(turns, ways):
    """A watch falls silent as the change is made, and calls that follow are answered with a line, half a list or not
    at all."""
    agent = Agent(turns, *ways, "good")
    agent.until(lambda: agent.asked, 2000.0)
    agent.change("a", "draining")
    assert agent.told("b") < TOLD - 300


def test_told_after_a_list_that_was_spoilt_again_and_again(turns):
    """What could not be read is asked for ever more seldom, but not so seldom that a change is told too late."""
    agent = Agent(turns, "spoilt")
    agent.for_ms(20_000.0)
    agent.change("a", "draining")
    agent.for_ms(10.0)
    asked = agent.asked
    agent.until(
        lambda: agent.asked > asked, 4 * TOLD
    )  # the worst: it has just been asked in vain
    agent.ways = ["good"]
    assert agent.told("b") < TOLD - 500


@pytest.fixture
def shared():
    """One service tells thirty proxies the list (`membershipMode`: subscribe), not an agent beside each."""
    with Turns(
        step=5.0, settings={"membershipMode": "subscribe", "balancers": 30}
    ) as turns:
        yield turns


@pytest.mark.parametrize(
    "way, most", (("no", 12), ("reset", 12), ("half", 14), ("silent", 9))
)
def test_a_list_service_that_all_share_is_called_seldom_while_it_refuses(
    shared, way, most
):
    """Thirty that called four times a second kept it down for good: 27 of 32 never had a list again."""
    agent = Agent(shared, way)
    agent.for_ms(20_000.0)
    assert 4 <= agent.asked <= most


@pytest.mark.parametrize("way", ("silent", "reset", "no", "half", "quiet"))
@pytest.mark.parametrize("first", (True, False))
def test_told_after_calls_to_a_shared_service_that_fail_for_5_s(shared, way, first):
    agent = Agent(shared, *(() if first else ("good",)), way)
    if not first:
        agent.told("a", "b")
    agent.change("a", "draining")
    for call in agent.calls:
        call[0].close()
    agent.for_ms(5000.0)
    agent.ways = ["good"]
    assert agent.told("b") < TOLD - 300


def test_a_long_list_is_not_asked_for_twice_while_it_comes(turns):
    """A piece each 200 ms, for 2 s; once the pieces stop another is asked."""
    watch, _ = turns.watch()
    turns.head(watch)
    text = json.dumps(turns.list("a", "b"))
    watch.say(f"{len(text):x}")
    turns.turn(2)
    while turns.discovery_waits():  # asked before this one began to answer
        turns.discovery.accept()[0].close()
    for place in range(10):
        watch.say(text[10 * place : 10 * place + 10], end="")
        turns.turn(40)
        assert not turns.discovery_waits()
    turns.turn(60)
    assert turns.discovery_waits()


@pytest.mark.parametrize("seed", range(12))
def test_told_where_calls_fail_at_random(turns, seed):
    """Three in four of them, for as long as the change isn't in force; watches that were open fail as well."""
    chance = random.Random(seed)
    agent = Agent(turns, "good")
    agent.told("a", "b")
    agent.ways = [
        chance.choice(("refused", "silent", "reset", "no", "half"))
        if chance.random() < 0.75
        else "good"
        for _ in range(200)
    ] + ["good"]
    agent.change("a", "draining")
    for call in agent.calls:
        call[0].close()
    assert agent.told("b") < TOLD - 500


@pytest.mark.parametrize("proxies", (1, 200, 2800))
def test_lists_that_are_asked_for_are_asked_for_twice_in_that_time(proxies):
    """Where one service is asked by all, and as long as calls fail: two of them come within the time, from the start
    on and after any number of failures, and not all proxies' at once."""
    first, gaps = [], []
    for seed in range(40):
        d = Drive(
            seed=seed,
            proxy_count=proxies,
            endpoint_list=replace(
                USUAL.endpoint_list, is_polled=True, poll_interval_ms=60_000.0
            ),
        )
        asked = []
        d.poll_endpoint_list = lambda on, asked=asked, d=d: asked.append(d.now)
        for _ in range(12):
            before = len(asked)
            while len(asked) == before:
                d.until(d.now + 5.0)
            d.list(kind=UpdateKind.FAILED)
        first.append(asked[0])
        gaps += [later - earlier for earlier, later in zip(asked, asked[1:])]
    assert max(first) < TOLD / 2 and max(gaps) < TOLD / 2 - 200
    assert max(gaps) - min(gaps) > 1000
    assert proxies == 1 or max(first) - min(first) > 2000


# Who has left

PROBED = {
    "report": {"how": "on_probe", "names": ["x0"]},
    "limits": {"maxDials": 3, "mayProbe": True},
}


def leave(client, how):
    """Closes its connection, or cancels: ends its sending on it."""
    if how == "resets":
        client.reset()
    elif how == "closes":
        client.sock.close()
    else:
        client.finish()


def held(turns, spent=0.15):
    """This process is busy for so long with something else, or stopped."""
    time.sleep(spent)


def begun(turns):
    """Connections that came to the servers and are none for probes: these ask at once."""
    count = 0
    while turns.dialled():
        sock = turns.taken().sock
        try:
            count += not sock.recv(4096).startswith(b"STATS")
        except ConnectionResetError:
            count += 1
    return count


def with_its_line_unread(turns, how):
    turns.watched("a", "b")
    client = turns.open()
    leave(client, how)
    held(turns)


def before_the_first_list(turns, how):
    client = turns.open()
    turns.until(lambda: turns.proxy.early_clients)
    watch, _ = turns.watch()
    turns.head(watch)
    turns.chunk(watch, json.dumps(turns.list("a", "b")) + "\n")
    leave(client, how)
    held(turns)


def as_its_time_to_wait_for_the_list_ends(turns, how):
    client = turns.open(d=400)
    turns.until(lambda: turns.proxy.early_clients)
    leave(client, how)
    held(turns)


def while_a_probe_is_awaited(turns, how):
    turns.watched("a", "b")
    client = turns.open()
    link = turns.taken()
    turns.hears(link)
    link.say("PONG x0=0.1")
    leave(client, how)
    held(turns)


def as_the_wait_for_a_probe_ends(turns, how):
    turns.watched("a", "b")
    client = turns.open()
    turns.hears(turns.taken())
    leave(client, how)
    held(turns)


def between_two_dials(turns, how):
    turns.watched("a", "b")
    client = turns.open()
    server = turns.taken()
    turns.hears(server)
    server.say("BUSY")
    leave(client, how)
    held(turns)


def as_a_dial_s_time_ends(turns, how):
    turns.watched("a", "b")
    client = turns.open(d=200)
    turns.hears(turns.taken())
    leave(client, how)
    held(turns)


LEFT = (
    with_its_line_unread,
    before_the_first_list,
    as_its_time_to_wait_for_the_list_ends,
    while_a_probe_is_awaited,
    as_the_wait_for_a_probe_ends,
    between_two_dials,
    as_a_dial_s_time_ends,
)


@pytest.mark.parametrize("how", ("closes", "cancels", "resets"))
@pytest.mark.parametrize("when", LEFT, ids=lambda when: when.__name__)
def test_who_has_left_is_not_dialled(when, how):
    """Its end lies unread as what it waited for comes to pass: not even a connection is begun."""
    probed = when in (while_a_probe_is_awaited, as_the_wait_for_a_probe_ends)
    with Turns(settings=PROBED if probed else None) as turns:
        when(turns, how)
        turns.for_ms(60)
        assert not turns.proxy.clients and not turns.proxy.early_clients
        assert begun(turns) == 0


def test_a_turn_that_takes_long_begins_no_dial_behind_an_end():
    """The line is read and its dial settled; then the rest of that very turn takes long, and the client leaves."""
    with Turns() as turns:
        turns.watched("a", "b")
        client = turns.open()
        connect, left = turns.proxy.connect, []

        def slow(*told):
            connect(*told)
            leave(client, "cancels")
            held(turns)
            left.append(True)

        turns.proxy.connect = slow
        turns.until(lambda: left)
        turns.for_ms(60)
        assert not turns.proxy.clients and begun(turns) == 0


# Descriptors


class Served:
    """The servers of a rig, which answer probes and let everyone in, as the test goes on."""

    def __init__(self, rig):
        self.rig, self.held = rig, {}
        for listening in rig.servers.values():
            listening.setblocking(False)

    def step(self):
        for name, listening in self.rig.servers.items():
            while select.select([listening], [], [], 0)[0]:
                try:
                    self.held[listening.accept()[0]] = name
                except BlockingIOError:
                    break
        for sock in select.select(list(self.held), [], [], 0.001)[0]:
            try:
                told = sock.recv(4096)
                if told.startswith(b"STATS"):
                    sock.sendall(b"PONG x0=0.1\r\n")
                elif told.startswith(b"OPEN"):
                    sock.sendall(b"UP %s\r\n" % self.held[sock].encode())
            except OSError:
                told = b""
            if not told:
                del self.held[sock]
                sock.close()

    def until_heard(self, client, at_most=3.0):
        end = time.monotonic() + at_most
        while time.monotonic() < end and not select.select([client.sock], [], [], 0)[0]:
            self.step()
        return client.hear()


def still_there(sock):
    """Not ended by the proxy, with what it has said so far read."""
    try:
        while sock.recv(4096, socket.MSG_DONTWAIT):
            pass
        return False
    except BlockingIOError:
        return True
    except ConnectionResetError:
        return False


def descriptors(rig):
    return len(os.listdir(f"/proc/{rig.process.pid}/fd"))


@pytest.mark.parametrize(
    "says,probed",
    (("", False), ("", True), ("PING\r\n", True), ("OPEN id", False)),
    ids=("silent", "silent-probed", "ping-probed", "half"),
)
def test_idle_clients_fill_the_descriptors_while_discovery_is_down(says, probed):
    """Sessions take all that is theirs, then hundreds connect who ask for nothing. At discovery's return the list is in
    force and operators are answered at once, and with the first session that ends one of those is dialled for."""
    most, names, idle = 160, tuple(f"s{number}" for number in range(60)), []
    with (
        Rig(names=names, sockets=most, settings=PROBED if probed else None) as rig,
        ExitStack() as kept_open,
    ):
        resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE, (most, most))
        rig.watched(*names)
        at = rig.discovery.getsockname()
        rig.watch.sock.close()
        rig.discovery.close()
        kept_open.callback(
            lambda: [
                sock.close()
                for sock in (*served.held, *idle, *(peer.sock for peer in rig.peers))
            ]
        )
        served, up = Served(rig), []
        while True:
            client = rig.open(f"k{len(up)}")
            if not served.until_heard(client).startswith("UP"):
                break
            up.append(client)
        # What probes hold at rest makes room for sessions: two descriptors each.
        assert 2 * len(up) >= most - 57 - 4
        for _ in range(300):
            idle.append(socket.create_connection(rig.address))
            idle[-1].sendall(says.encode())
            served.step()
            assert descriptors(rig) <= most
        end = time.monotonic() + 1.0
        while time.monotonic() < end:  # probes go out
            served.step()
        assert descriptors(rig) <= most
        rig.discovery = socket.create_server(at, backlog=64)
        rig.discovery.settimeout(1.0)
        rig.watched(*names[:-1])
        rig.call("GET /status")
        rig.call(f"PUT /maintenance/enter?host={names[0]}")
        assert [line.split()[2] for line in rig.lines[-2:]] == ["200", "200"]
        metrics = rig.call("GET /status/metrics")
        assert metrics["members"] == 59 and metrics["members_unavailable"] == 1
        before = descriptors(rig)
        up.pop().sock.close()
        while descriptors(rig) > before - 2:
            served.step()
        # Those that said nothing are closed after 2 s as well, and their descriptors are nobody's session.
        while rig.call("GET /status/metrics")["pending"] >= metrics["pending"]:
            served.step()
        connected = Peer(
            rig, "client", [sock for sock in idle if still_there(sock)][-1]
        )
        connected.say(
            ("" if says.startswith("OPEN") else "OPEN id") + "-q k c=any,t=t,d=2000"
        )
        assert served.until_heard(connected).startswith("UP")
        assert descriptors(rig) <= most
        rig.process.kill()
        assert [
            line
            for line in rig.process.stdout
            if f'"{LogEvent.INTERNAL_ERROR}"'.encode() in line
        ] == []


def test_a_dial_is_kept_a_descriptor_while_newcomers_fill_the_rest():
    """Its session was taken in; all who can connect meanwhile, say nothing, and it is turned away."""
    with Turns(sockets=288) as turns:
        turns.watched("a", "b")

        def up(key):
            client, server = turns.open(key), turns.taken()
            turns.hears(server)
            server.say("UP r1")
            turns.hears(client)

        while turns.carrier.free > 6:
            up(f"k{turns.carrier.free}")
        client = turns.open("q")
        server = turns.taken()
        turns.hears(server)
        for _ in range(120):
            turns.client()
            turns.turn(2)
        assert not turns.proxy.has_spare_descriptors(ACCEPT_EIGHTHS)
        server.say("BUSY")
        server = turns.taken()
        turns.hears(server)
        server.say("UP r1")
        assert turns.hears(client) == "UP r1"


def test_links_at_rest_make_room_for_sessions():
    """More servers are probed than descriptors are left beside the sessions."""
    names = tuple(f"s{number}" for number in range(40))
    with Turns(names, settings=PROBED, sockets=96) as turns:
        turns.watched(*names)
        for name in names:
            turns.proxy.send_probe(turns.proxy.servers[name])
            link = turns.taken(name)
            turns.hears(link)
            link.say("PONG x0=0.1")
            turns.until(
                lambda name=name: (
                    not turns.proxy.probe_connections[
                        turns.proxy.servers[name]
                    ].is_awaiting_answer
                )
            )
        assert turns.carrier.free <= 7
        for number in range(10):
            client = turns.open(f"k{number}")
            server = turns.taken()
            while not turns.hears(server).startswith("OPEN"):
                server.say("PONG x0=0.1")
                server = turns.taken()
            server.say("UP r1")
            assert turns.hears(client) == "UP r1"


def full_of_sessions(turns):
    """Sessions take all that is theirs; then one of them ends, which leaves two descriptors."""
    turns.watched(*turns.servers)
    while turns.carrier.free > 1:
        client, server = turns.open(f"k{len(turns.peers)}"), turns.taken()
        while not turns.hears(server).startswith("OPEN"):
            server.say("PONG x0=0.1")
            server = turns.taken()
        server.say("UP r1")
        turns.hears(client)
        while turns.carrier.free <= 1 and turns.proxy.probe_connections:
            turns.proxy.close_idle_probe_connection()  # which the next one's dial would do
    left = turns.carrier.free
    client.sock.close()
    turns.until(lambda: turns.carrier.free == left + 2)


def dialled_then(turns):
    client, server = turns.open("q"), turns.taken()
    while not turns.hears(server).startswith("OPEN"):
        server = turns.taken()
    server.say("UP r1")
    return turns.hears(client)


def test_a_probe_that_is_out_takes_no_session_s_descriptor():
    """It may be asked for as another session ends, and its link can't be closed for the next one."""
    with Turns(
        [f"s{number}" for number in range(8)], settings=PROBED, sockets=96
    ) as turns:
        full_of_sessions(turns)
        for server in turns.proxy.servers.values():
            turns.proxy.send_probe(server)
        turns.turn(2)
        assert turns.carrier.free <= 0 and all(
            link.is_awaiting_answer for link in turns.proxy.probe_connections.values()
        )
        assert dialled_then(turns) == "UP r1"


def test_clients_that_have_just_come_take_no_session_s_descriptor():
    """They are too new to make room, and whoever asks for something is dialled for."""
    with Turns(sockets=96) as turns:
        full_of_sessions(turns)
        for _ in range(8):
            turns.client()
        turns.until(lambda: len(turns.proxy.silent_clients) >= 5)
        turns.proxy.silent_clients.update(
            dict.fromkeys(turns.proxy.silent_clients, turns.proxy.now() + 60_000)
        )  # none is shut for age
        assert turns.carrier.free <= 0
        assert dialled_then(turns) == "UP r1"


def test_without_a_descriptor_left_a_probe_is_held_against_nobody():
    with Turns(settings=PROBED) as turns:
        turns.watched("a", "b")
        server = turns.proxy.servers["a"]
        turns.carrier.previous_process_sockets = (
            turns.carrier.free + turns.node().limits.reserved_sockets
        )
        server.probe_sent_ms = turns.proxy.now()
        turns.proxy.send_probe(server)
        turns.turn(2)
        assert (
            not turns.dialled()
            and server.probe_sent_ms is None
            and not server.unanswered_probes
        )


# Starts

SERVERS, STARTED = 8000, 24


def agent_of_all(listening, text):
    """Answers every watch with that list at once, and with an empty line each 2 s; until `listening` is closed."""
    held, due = [], time.monotonic() + 2.0
    answer = f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{len(text):x}\r\n{text}\r\n".encode()
    while listening.fileno() >= 0:
        try:
            if select.select([listening], [], [], 0.05)[0]:
                held.append(listening.accept()[0])
                held[-1].recv(4096)
                held[-1].sendall(answer)
            if time.monotonic() > due:
                due += 2.0
                for sock in held:
                    sock.sendall(b"1\r\n\n\r\n")
        except (OSError, ValueError):
            pass  # one that was ended, or the test is over
    for sock in held:
        sock.close()


def begun_all(count, folder, stack):
    """(ms until it said that it is ready, MB that it holds) of each of so many processes, all started at once."""
    hosts = [
        {
            "host": f"s-{number:08x}",
            "dial": f"127.0.0.1:{10_000 + number}",
            "site": "x",
            "class": "m",
            "block": 1,
            "health": "ready",
            "share": 1.0 + number % 3,
            "born_ms": 0,
        }
        for number in range(SERVERS)
    ]
    whole = {"seq": 7, "whole": True, "hosts": hosts}
    listening = socket.create_server(("127.0.0.1", 0), backlog=256)
    thread = threading.Thread(
        target=agent_of_all, args=(listening, json.dumps(whole) + "\n")
    )
    thread.start()
    stack.callback(thread.join)
    stack.callback(listening.close)
    paths = []
    for number in range(count):
        paths.append(folder / f"{number}.json")
        paths[-1].write_text(
            json.dumps(
                {
                    "name": f"n{number}",
                    "seed": f"{number}",
                    "listen": f"127.0.0.1:{free_port()}",
                    "known": whole,
                    "discovery": "{}:{}".format(*listening.getsockname()),
                    "limits": {"sockets": 256},
                    "settings": {
                        "listeners": [{"name": "any"}],
                        "balancers": count,
                        "dcs": ["x"],
                        "weightSource": "nominal",
                    },
                }
            )
        )
    began = time.monotonic()
    processes = []
    for path in paths:
        processes.append(
            subprocess.Popen(
                [sys.executable, "-m", "wheathill"],
                stdout=subprocess.PIPE,
                env={**os.environ, "NODE_CONFIG": str(path)},
            )
        )
        stack.callback(processes[-1].communicate)
        stack.callback(processes[-1].kill)

    def ready(process):
        for line in process.stdout:
            if b'"ready"' in line:
                took = 1000 * (time.monotonic() - began)
                with open(f"/proc/{process.pid}/smaps_rollup") as held:
                    return took, int(held.read().partition("Pss:")[2].split()[0]) / 1024
        return math.inf, math.inf

    with ThreadPoolExecutor(count) as pool:
        return sorted(pool.map(ready, processes))


def test_restarted_processes_are_ready_in_time(tmp_path):
    """Three to a core of eight, each with thousands of servers known and listed: the part of 10 s that is theirs, where
    200 share the cores, and so much memory that 200 of them fit into 12 GiB."""
    with ExitStack() as stack:
        found = begun_all(STARTED, tmp_path, stack)
    assert found[math.ceil(0.9 * STARTED) - 1][0] < 10_000
    assert max(held for _, held in found) * 200 < 12 * 1024
