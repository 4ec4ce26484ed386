"""What is over is freed at once, by its references alone: nothing that a session, a probe or a watch was made of is
left for the collector, whichever way it ended. And what is open makes no collection longer."""

import gc
import json
import math
import signal
import socket
from collections import Counter
from types import SimpleNamespace

import pytest

from turns import Turns
from wheathill import daemon
from wheathill.config.platform import build_node_config
from wheathill.handover.restore import build_session
from wheathill.handover.session_codec import decode_session, encode_session
from wheathill.handover.snapshot import collect_session
from wheathill.lab.scale import table as slots
from wheathill.lab.scale import walks
from wheathill.model import Listener, Session
from wheathill.net.admin.request import AdminRequest
from wheathill.net.admin.server import AdminServer
from wheathill.net.client import Client
from wheathill.net.connection import Connection
from wheathill.net.discovery import Watch
from wheathill.net.garbage import limit_gc_pauses
from wheathill.net.server import ProbeConnection, ServerAttempt

pytestmark = pytest.mark.processes

TIMES = 2


class Ends:
    """Sessions that come to so many ends; each method is one way."""

    def __init__(self, turns):
        self.turns = turns
        self.proxy = turns.proxy
        self.number = 0
        self.window = self.proxy.balancer.admission.concurrency_limit

    def open(self, **values):
        # What earlier ones met makes the decisions careful, which is not what is looked at here.
        first = self.proxy.balancer.admission
        first.concurrency_limit, first.next_admission_ms = self.window, -math.inf
        for server in self.proxy.servers.values():
            server.recent_results.clear()
        self.number += 1
        return self.turns.open(f"k{self.number}", **values)

    def dialled(self, **values):
        client = self.open(**values)
        server = self.turns.taken()
        self.turns.hears(server)
        return client, server

    def up(self):
        client, server = self.dialled()
        server.say("UP r")
        self.turns.hears(client)
        return client, server

    def over(self, *peers):
        """All that the proxy held for them is closed, whatever the peers do."""
        self.turns.until(
            lambda: not self.proxy.clients and not self.proxy.silent_clients
        )
        for peer in peers:
            peer.sock.close()
        self.turns.until(
            lambda: (
                not self.turns.carrier.sockets
                and not self.turns.carrier.closing_connections
            )
        )

    # Of a session that was up

    def served_to_its_end(self):
        client, server = self.up()
        server.say("BYE")
        self.turns.hears(client)
        server.finish()
        self.over(client, server)

    def client_finishes(self):
        client, server = self.up()
        client.say("a line")
        self.turns.hears(server)
        client.finish()
        self.turns.hears(server)
        self.over(client, server)

    def client_finishes_and_server_goes_on(self):
        client, server = self.up()
        client.finish()
        self.turns.hears(server)
        self.turns.for_ms(1.5 * self.proxy.limits.linger_ms)
        self.over(client, server)

    def client_resets(self):
        client, server = self.up()
        client.reset()
        self.over(client, server)

    def server_finishes(self):
        client, server = self.up()
        server.finish()
        self.turns.hears(client)
        self.turns.for_ms(1.5 * self.proxy.limits.linger_ms)
        self.over(client, server)

    def server_resets(self):
        client, server = self.up()
        server.reset()
        self.over(client, server)

    def moved(self):
        client, server = self.up()
        self.proxy.migrate(next(iter(self.proxy.clients)))
        self.turns.hears(client)
        self.over(client, server)

    def moved_at_the_end_of_a_line(self):
        client, server = self.up()
        server.say("half a li", end="")
        self.turns.until(
            lambda: next(iter(self.proxy.clients.values())).attempt.partial_line
        )
        self.proxy.migrate(next(iter(self.proxy.clients)))
        server.say("ne")
        self.turns.hears(client)
        self.over(client, server)

    def moved_in_the_middle_of_a_line(self):
        client, server = self.up()
        server.say("half a li", end="")
        self.turns.until(
            lambda: next(iter(self.proxy.clients.values())).attempt.partial_line
        )
        self.proxy.migrate(next(iter(self.proxy.clients)))
        next(iter(self.proxy.clients.values())).attempt.close()
        self.over(client, server)

    def lets_a_line_wait(self):
        client, server = self.up()
        client.say("a line")
        self.turns.hears(server)
        self.turns.for_ms(2 * self.proxy.limits.sweep_interval_ms)
        client.sock.close()
        self.over(client, server)
        for server in (
            self.proxy.servers.values()
        ):  # which keeps one such session until it says something
            self.proxy.on_server_data(server)

    def handed_over(self):
        client, server = self.up()
        ((sess, machine),) = self.proxy.clients.items()
        handles = self.proxy.hand_over_session(sess, machine)
        del sess, machine
        self.turns.turn(3)
        self.turns.carrier.close_handles(handles)
        self.over(client, server)

    def taken_over(self):
        client, server = self.up()
        ((sess, machine),) = self.proxy.clients.items()
        fields = encode_session(collect_session(machine))
        handles = self.proxy.hand_over_session(sess, machine)
        del sess, machine
        record = decode_session(fields)
        sess = build_session(record, self.proxy.listeners)
        self.proxy.adopt_session(
            record.open_line,
            sess,
            handles,
            connected_ms=record.connected_ms,
            unanswered_since_ms=record.unanswered_since_ms,
            server_name=record.server_name,
            partial_line=record.partial_line,
        )
        del sess
        client.say("still here")
        self.turns.hears(server)
        server.say("BYE")
        self.turns.hears(client)
        server.finish()
        self.over(client, server)

    def a_fault_while_up(self):
        client, server = self.up()
        heard, self.proxy.on_server_data = self.proxy.on_server_data, raise_one
        server.say("a line")
        self.turns.hears(client)
        self.proxy.on_server_data = heard
        self.over(client, server)

    # Of one that was not

    def refused(self):
        client = self.open()
        for _ in range(2):
            server = self.turns.taken()
            self.turns.hears(server)
            server.say("BUSY 5")
            server.sock.close()
        self.turns.hears(client)
        self.over(client)

    def failed(self):
        client, server = self.dialled()
        server.say("ERR")
        server.sock.close()
        while (
            not self.turns.until(lambda: self.turns.dialled() or not self.proxy.clients)
            or self.proxy.clients
        ):
            server = self.turns.taken()
            self.turns.hears(server)
            server.say("ERR")
            server.sock.close()
        self.over(client)

    def broken(self):
        client, server = self.dialled()
        server.reset()
        self.turns.for_ms(20)
        client.reset()
        self.over(client)

    def never_up(self):
        """Until the time that its client gave is over."""
        client, server = self.dialled(d=120)
        self.turns.hears(client)
        self.over(client, server)

    def served_before_it_was_up(self):
        client, server = self.dialled()
        server.say("BYE")
        self.turns.hears(client)
        self.over(client, server)

    def left_while_dialled(self):
        client, server = self.dialled()
        client.reset()
        self.over(client, server)

    def left_as_the_dial_goes_out(self):
        client = self.open()
        self.turns.until(lambda: self.proxy.clients)
        client.reset()
        self.turns.for_ms(20)
        while self.turns.dialled():
            self.turns.taken().sock.close()
        self.over(client)

    def says_more_before_up(self):
        client, server = self.dialled()
        client.say("too early")
        self.turns.hears(client)
        self.over(client, server)

    def nonsense(self):
        client = self.turns.client()
        client.say("NONSENSE")
        self.turns.hears(client)
        self.over(client)

    def the_id_of_another(self):
        client = self.open()
        self.number -= 1
        other = self.open()
        self.turns.hears(other)
        client.reset()
        while self.turns.dialled():
            self.turns.taken().sock.close()
        self.over(client, other)

    def only_looks(self):
        client = self.turns.client()
        client.say("PING")
        self.turns.hears(client)
        client.finish()
        self.over(client)

    def silent(self):
        client = self.turns.client()
        self.turns.hears(client)
        self.over(client)

    def a_fault_before_up(self):
        said, self.proxy.on_attempt_accepted = self.proxy.on_attempt_accepted, raise_one
        client, server = self.dialled()
        server.say("UP r")
        self.turns.hears(client)
        self.proxy.on_attempt_accepted = said
        self.over(client, server)


def raise_one(*_):
    raise RuntimeError("a fault")


def settle(turns):
    turns.for_ms(SETTLED)
    gc.collect()


def held():
    return Counter(kind for found in gc.get_objects() if (kind := type(found)) in KINDS)


def left_to_the_collector(turns, call):
    """The types of what `call` leaves in cycles of references, or keeps; a first time is not counted."""
    call()
    settle(turns)
    before = held()
    gc.disable()
    try:
        gc.set_debug(gc.DEBUG_SAVEALL)
        for _ in range(TIMES):
            call()
        turns.lines.clear()
        turns.peers.clear()
        turns.for_ms(SETTLED)
        kept = held() - before
        gc.collect()
        return kept + Counter(type(found) for found in gc.garbage)
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


KINDS = (
    Connection,
    Client,
    ServerAttempt,
    ProbeConnection,
    Watch,
    AdminRequest,
    Session,
)
SETTLED = 100.0  # longer than any alarm holds what it is for
SHORT = {
    "linger_ms": 60.0,
    "first_line_timeout_ms": 80.0,
    "sweep_interval_ms": 25.0,
    "unanswered_after_ms": 40.0,
    "second_answer_timeout_ms": 5.0,
    "probe_timeout_ms": 60.0,
}


def turned(**more):
    return Turns(limits=SHORT, dial=0.5, **more)


@pytest.mark.parametrize(
    "how",
    [
        name
        for name in vars(Ends)
        if name not in ("open", "dialled", "up", "over") and not name.startswith("_")
    ],
)
def test_no_session_is_left_to_the_collector(how):
    with turned(discovery=False) as turns:
        turns.until(lambda: turns.proxy.ready)
        assert not left_to_the_collector(turns, getattr(Ends(turns), how))


def test_no_session_is_left_where_nobody_listens():
    with turned(discovery=False) as turns:
        turns.until(lambda: turns.proxy.ready)
        for sock in turns.servers.values():
            sock.close()
        ends = Ends(turns)

        def dial():
            client = ends.open()
            turns.hears(client)
            ends.over(client)

        assert not left_to_the_collector(turns, dial)


@pytest.mark.parametrize(
    "answer", ("PONG util=0.5", "nonsense", "PONG util=0.5 reset", "reset", None)
)
def test_no_probe_is_left_to_the_collector(answer):
    with turned(discovery=False) as turns:
        turns.until(lambda: turns.proxy.ready)

        def ask():
            server = turns.proxy.servers["a"]
            turns.proxy.send_probe(server)
            at = turns.taken("a")
            turns.hears(at)
            said, _, reset = (answer or "").partition(" reset")
            if said and answer != "reset":
                at.say(said)
                turns.for_ms(10)
            if reset or answer == "reset":
                at.reset()
            elif answer is None:
                turns.until(lambda: not turns.proxy.probe_connections)
            turns.for_ms(10)
            for link in list(turns.proxy.probe_connections.values()):
                link.end(None)
            at.sock.close()
            turns.until(lambda: not turns.carrier.sockets)

        assert not left_to_the_collector(turns, ask)


@pytest.mark.parametrize("ends", ("silent", "closed", "nonsense", "no list", "left"))
def test_no_watch_is_left_to_the_collector(ends):
    """They come again and again for as long as discovery is out of reach."""
    patience = (
        {"watch_idle_timeout_ms": 60.0, "watch_hedge_delay_ms": 40.0}
        if ends == "silent"
        else {}
    )
    with Turns(limits={"min_watch_interval_ms": 20.0, **patience}) as turns:
        turns.proxy.close_watch()

        def answer():
            turns.proxy.open_watch()
            watch, _ = turns.watch()
            if ends == "nonsense":
                watch.say("what?")
            elif ends != "silent":
                turns.head(watch)
                turns.chunk(
                    watch,
                    "[}\n"
                    if ends == "no list"
                    else json.dumps(turns.list("a", "b")) + "\n",
                )
            turns.for_ms(10)
            if ends == "left":
                turns.proxy.open_watch()
            if ends == "closed":
                watch.sock.close()
            turns.for_ms(100)
            turns.proxy.close_watch()
            watch.sock.close()
            turns.watches.clear()
            while turns.discovery_waits():
                turns.discovery.accept()[0].close()

        assert not left_to_the_collector(turns, answer)


def test_no_call_of_an_operator_is_left_to_the_collector():
    with turned(discovery=False) as turns:
        turns.until(lambda: turns.proxy.ready)
        server = AdminServer(turns.proxy)
        with socket.create_server(("127.0.0.1", 0)) as free:
            at = free.getsockname()
        listens = turns.carrier.listen(server.accept, at, server.make_room)

        def ask():
            for text in (b"GET /status HTTP/1.1\r\n\r\n", b"nonsense\r\n"):
                with socket.create_connection(at) as sock:
                    sock.sendall(text)
                    turns.for_ms(30)
                    assert sock.recv(65536)
            turns.until(lambda: not turns.carrier.sockets)

        assert not left_to_the_collector(turns, ask)
        listens.close()


# Collections while much is open


class Walked:
    """How many objects each full collection walks over, from now on; the settings are put back at the end."""

    def __enter__(self):
        self.counts, self.callbacks, self.thresholds = (
            [],
            list(gc.callbacks),
            gc.get_threshold(),
        )
        gc.callbacks.append(self.note)
        return self

    def note(self, phase, told):
        if phase == "start" and told["generation"] == 2:
            self.counts.append(
                sum(len(gc.get_objects(generation)) for generation in range(3))
            )

    def __exit__(self, *_):
        gc.callbacks[:] = self.callbacks
        gc.set_threshold(*self.thresholds)
        gc.unfreeze()


def longest_walk(count):
    """With so many open, which come one after another."""
    gc.collect()
    with Walked() as walked:
        limit_gc_pauses()
        proxy, loop = slots.proxy()
        listener = Listener("any")
        for number in range(count):
            walks.take(proxy, listener, number)
        loop.close()
        return max(walked.counts)


def test_a_full_collection_walks_over_no_more_where_more_is_open():
    """It holds the loop by what it walks over. Counted, as a time would be the machine's."""
    few, many = longest_walk(20_000), longest_walk(60_000)
    assert many < 1.25 * few and many < 40_000


def test_the_program_keeps_its_collections_short(monkeypatch):
    seen = []

    async def serve(node, log, read):
        seen.append(gc.get_freeze_count())
        kept = [[] for _ in range(1000)]
        gc.collect()
        seen.append(gc.get_freeze_count() - seen[0])
        del kept

    node = build_node_config(
        {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "discovery": False,
            "seed": "5eed",
            "settings": {"listeners": [{"name": "any", "repeat": "retryable"}]},
        }
    )
    monkeypatch.setattr(daemon, "serve", serve)
    monkeypatch.setattr(daemon, "raise_descriptor_limit", lambda node: node)
    monkeypatch.setattr(
        daemon, "EventLog", lambda *_: SimpleNamespace(close=lambda: None)
    )
    before = signal.getsignal(signal.SIGHUP)
    try:
        with Walked():
            assert daemon.run(lambda: node) == 0
    finally:
        signal.signal(signal.SIGHUP, before)
    assert seen[0] > 1000 and seen[1] >= 1000
