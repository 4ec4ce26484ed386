"""Day-to-day operation: the admin endpoint, metrics, servers in maintenance, upgrades."""

import json
import os
import pathlib
import re
import select
import socket
import subprocess
import sys
import types

import orjson
import pytest
from test_net import LIMITS, Hand

from drive import Rig, kept
from wheathill.config.platform import build_node_config
from wheathill.handover import sender as sender_module
from wheathill.handover.messages import PROTOCOL_VERSION
from wheathill.handover.sender import HandoverSender
from wheathill.handover.snapshot import collect_snapshot
from wheathill.handover.state_codec import encode_snapshot
from wheathill.handover.state_receiver import StateReceiver
from wheathill.log_events import LogEvent
from wheathill.model import Session, UpdateKind
from wheathill.net.admin.request import AdminRequest
from wheathill.net.admin.server import AdminServer
from wheathill.net.maintenance_store import MaintenanceStore
from wheathill.net.proxy import Proxy

# How long the sessions of an upgrade may wait for UP.
PATIENCE_S = 20


class Desk:
    """What the routes lead to."""

    limits, clock, ready, stopping, handed_over = (
        LIMITS,
        Hand("clock", []),
        True,
        None,
        False,
    )

    def metrics_report(self):
        raise RuntimeError("a fault")

    def __getattr__(self, what):
        return lambda *args: {what: args}


def call(*pieces, end=False):
    """What one call is answered, by its first line and its body."""
    lines = []
    wire = Hand("", lines)
    made = AdminRequest(wire, AdminServer(Desk()).answer, LIMITS, Hand("clock", []))
    made.connected()
    for piece in pieces:
        if not made.done:
            made.received(piece)
    if end:
        made.ended()
    if not lines:
        return "waits"
    sent = (
        "".join(line.partition("send ")[2] for line in lines)
        .replace("\\r\\n", " ")
        .replace("\\n", "")
    )
    return sent.replace("b'", "").replace("'", "")


def calls_by_bytes():
    whole = b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n"
    yield call(whole)
    yield f"the same at every cut: {all(call(whole[:cut], whole[cut:]) == call(whole) for cut in range(len(whole)))}"
    yield f"and byte by byte: {call(*(whole[at : at + 1] for at in range(len(whole)))) == call(whole)}"
    for text in (
        b"GET /status HTTP/1.1\r\nHost: a\r\n",
        b"",
        b"GET /status HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
    ):
        yield f"{text!r}: {call(text)}"
        yield f"{text!r} and the end: {call(text, end=True)}"
    for text in (
        b"\r\nGET http://a:1/status?x=%41 HTTP/1.0\r\n\r\n",
        b"GET /status HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
        b"GET /status\r\n\r\n",
        b"GET /status HTTP/2.0\r\n\r\n",
        b"get it HTTP/1.1\r\n\r\n",
        b"\x16\x03\x01 b HTTP/1.1\r\n",
        b"GET /none HTTP/1.1\r\n\r\n",
        b"DELETE /status HTTP/1.1\r\n\r\n",
        b"GET /status?a=%4 HTTP/1.1\r\n\r\n",
        b"GET /status?a=%ff HTTP/1.1\r\n\r\n",
        b"GET /status HTTP/1.1\r\nno colon\r\n\r\n",
        b"GET /status HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"GET /status HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"GET /status HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"GET /status HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
        b"GET /status HTTP/1.1\r\n" + b"a: b\r\n" * 65,
        b"GET /" + b"a" * 9000,
        b"GET /status HTTP/1.1\r\n"
        + b"a: "
        + b"b" * 5000
        + b"\r\na: "
        + b"b" * 4000
        + b"\r\n",
    ):
        yield f"{text[:60]!r}: {call(text)}"


def test_a_handler_fault_is_answered():
    lines = []
    made = AdminRequest(
        Hand("", lines), AdminServer(Desk()).answer, LIMITS, Hand("clock", [])
    )
    made.connected()
    with pytest.raises(
        RuntimeError
    ):  # caught and logged by the wire, which then tells of it
        made.received(b"GET /status/metrics HTTP/1.1\r\n\r\n")
    made.fault()
    assert "HTTP/1.1 500" in lines[0] and made.done


def door_under_silent_callers():
    with Rig(
        settings={
            "listeners": [
                {"name": name, "repeat": "fragile", "dialTimeoutS": 2.0}
                for name in ("any", "other")
            ]
        }
    ) as rig:
        rig.call("GET /status")
        rig.watched("a", "b")
        rig.until_logged(LogEvent.READY)
        silent = [socket.create_connection(rig.admin) for _ in range(40)]
        for caller in silent[20:]:
            caller.sendall(b"GET /sta")
        rig.call("GET /status")
        rig.call("GET /status/metrics")
        client, server = rig.up()
        refused = rig.open("k2")
        for _ in range(2):
            server = rig.taken(("a", "b"))
            server.hear()
            server.say("BUSY")
        refused.hear()
        rig.open("k2").hear()  # an id that was seen
        rig.open("k4", c="none").hear()
        left = rig.open("k5")
        server = rig.taken(("a", "b"))
        server.hear()
        left.reset()
        server.hear()
        rig.call("GET /status/metrics")
        return rig.lines


def servers_out_by_hand():
    with Rig(
        mode="proxy",
        inherited=True,
        settings={"obligations": {"drainGraceS": 0.5, "coldS": 0}},
    ) as rig:
        rig.watched("a", "b")
        rig.until_logged(LogEvent.READY)
        client, server = rig.up()
        name = server.name[-1]
        other = "b" if name == "a" else "a"
        say = "PUT /maintenance/{}?host={}".format
        for call in (
            say("enter", name),
            say("enter", name),
            say("enter", "nobody"),
            "PUT /maintenance/enter",
            "PUT /maintenance/enter?host=",
            "PUT /maintenance/enter?host=a&host=b",
            f"GET /maintenance/enter?host={name}",
        ):
            rig.call(call)
        client.hear()
        rig.call("GET /status/metrics")
        rig.tell(rig.list("a", "b"))
        rig.up("k2", (name, other))
        rig.begin_beside()
        rig.watched("a", "b")
        rig.until_logged(LogEvent.READY)
        rig.up("k3", (name, other))
        in_the_way = f"{maintenance_file_of(rig)}.{rig.process.pid}"
        os.mkdir(in_the_way)
        rig.call(say("exit", name))
        rig.call(say("enter", other))
        rig.up("k4", (name, other))
        os.rmdir(in_the_way)
        rig.call(say("exit", name))
        rig.call(say("enter", other))
        rig.up("k5", (name, other))
        rig.call(say("enter", name))
        rig.open("k6").hear()
        return rig.lines


def maintenance_file_of(rig):
    return next(str(path) for path in pathlib.Path(rig.folder.name).glob("*.out"))


def balanced(node):
    """A proxy without sockets, and the drive that stands where its actions go."""
    proxy = Proxy(
        node,
        types.SimpleNamespace(limits=node.limits, sockets=0),
        Hand("clock", []),
        lambda *_, **__: None,
    )
    proxy.balancer.effects = Hand("", [])
    proxy.now = lambda: 70_000.0
    return proxy


def test_state_goes_over_whole():
    node = build_node_config(
        {
            "name": "n",
            "listen": "h:1",
            "discovery": "h:2",
            "seed": "s",
            "settings": {"listeners": [{"name": "any", "repeat": "retryable"}]},
        }
    )
    old, new, third = balanced(node), balanced(node), balanced(node)
    old.clock.from_wall = lambda wall: wall
    old.on_endpoint_list(
        {
            "seq": 7,
            "hosts": [
                {
                    "host": name,
                    "dial": "h:3",
                    "site": "x",
                    "health": health,
                    "born_ms": born,
                }
                for name, health, born in (
                    ("a", "ready", 0),
                    ("b", "ready", 69_000),
                    ("c", "draining", 0),
                    ("d", "ready", 0),
                )
            ],
        },
        UpdateKind.SNAPSHOT,
    )
    old.balancer.set_maintenance(70_000.0, "d", True, old.servers["d"])
    for number in range(5):
        sess = Session(node.listeners[0], f"key {number}", 72_000.0)
        sess.accepted_ms = 70_000.0
        old.balancer.on_session_handed_over(70_000.0, sess, old.servers["a"])
        old.session_ids[f"id {number}"] = sess
    old.balancer.load_estimator.record_sample(70_000.0, old.servers["a"], [0.5])
    old.balancer.outlier_detector.record_attempt(70_000.0, old.servers["a"], False)
    table = old.balancer.slot_table
    slot = table.current.index(old.servers["b"])
    table.sessions[slot][sess] = None
    table.redirect_slot(70_000.0, slot, old.servers["a"])
    table.assign(70_000.0, "moved", slot)
    parts = state_messages(old)

    def took(proxy, parts):
        apply_state(proxy, parts)
        return state_messages(proxy)

    assert took(new, parts) == parts
    assert (
        not new.balancer.endpoint_list.may_attempt(70_000.0, new.servers["d"], False)
        and new.list_version == 7
    )
    before = encoded_state(third)
    for at, part in enumerate(
        parts
    ):  # what is twisted, or lacks a part, changes nothing
        twisted = json.loads(
            json.dumps(part)
            .replace("70000.0", '"x"')
            .replace('"a"', "7")
            .replace('"id 0"', "7")
        )
        lacking = (
            parts[:at] + parts[at + 1 :]
            if next(iter(part)) in ("servers", "table", "rest")
            else []
        )
        for wrong in (lacking, parts[:at] + [twisted] + parts[at + 1 :]):
            with pytest.raises(ValueError):
                took(third, wrong)
            assert encoded_state(third) == before


def large(servers=(), **limits):
    node = build_node_config(
        {
            "name": "n",
            "listen": "h:1",
            "discovery": "h:2",
            "seed": "s",
            "limits": limits,
            "settings": {"listeners": [{"name": "any", "repeat": "retryable"}]},
        }
    )
    proxy = balanced(node)
    proxy.clock.from_wall = lambda wall: wall
    if servers:
        proxy.on_endpoint_list(list_of(servers), UpdateKind.SNAPSHOT)
    return proxy


def list_of(names, seq=1):
    return {
        "seq": seq,
        "whole": True,
        "hosts": [
            {"host": name, "dial": "h:3", "site": "x", "health": "ready", "born_ms": 0}
            for name in names
        ],
    }


def encoded_state(proxy):
    return list(
        encode_snapshot(
            collect_snapshot(proxy), proxy.now(), proxy.limits.max_list_line_bytes / 2
        )
    )


def state_messages(proxy):
    """What a process sends of its state, as the other one reads it."""
    return [
        orjson.loads(orjson.dumps(part, default=tuple)) for part in encoded_state(proxy)
    ]


def apply_state(proxy, parts):
    receiver = StateReceiver(proxy.limits)
    for part in parts:
        receiver.add(*next(iter(part.items())))
    receiver.apply(proxy)


def test_a_table_of_another_size_is_filled_anew():
    """The build before had fewer slots: its servers and all else are taken, and its slots are not."""
    old, new = large("abc"), large()
    parts = state_messages(old)
    (table,) = (part["table"] for part in parts if "table" in part)
    for name in ("home", "current", "new"):
        table[name] = table[name][:512]
    table["new"][3], table["opened"] = 0, [[3, 70_000.0]]
    apply_state(new, parts)
    mine, theirs = new.balancer.slot_table, old.balancer.slot_table
    assert [server.name for server in mine.current] == [
        server.name for server in theirs.current
    ]
    assert mine.size == 4096 and not any(mine.new) and not mine.transition_started_ms
    table["new"] = table["new"][:-1]
    with pytest.raises(ValueError):
        apply_state(large(), parts)


def test_the_ids_of_all_sessions_that_fit_go_over():
    """As many as the descriptors of one process allow, open ones and as many that are over."""
    old, new = (large(sockets=100_200) for _ in range(2))
    old.session_ids.update({f"id {number}": None for number in range(100_000)})
    apply_state(new, state_messages(old))
    assert list(new.session_ids) == list(old.session_ids)


def test_thousands_of_servers_go_over_in_messages_that_are_taken():
    """Whatever was noted of each: with all in one message it was too long where lists are near the longest."""
    names = [f"server-{number}.of-some-length.example" for number in range(8000)]
    old, new = (large(names if place == 0 else (), memory_mb=32) for place in range(2))
    for server in old.servers.values():
        server.attempt_times_ms.extend(70_000.0 + place / 7 for place in range(128))
    parts = state_messages(old)
    assert (
        max(len(orjson.dumps(part)) for part in parts) < old.limits.max_list_line_bytes
    )
    assert (
        sum(len(orjson.dumps(part)) for part in parts if "servers" in part)
        > 2 * old.limits.max_list_line_bytes
    )
    apply_state(new, parts)
    assert (
        list(new.servers) == names
        and new.servers[names[-1]].attempt_times_ms
        == old.servers[names[-1]].attempt_times_ms
    )


def test_state_is_bounded_by_what_a_process_may_hold():
    proxy = large(sockets=1000, memory_mb=32)
    limits = proxy.limits
    for name, most in (
        ("ids", limits.max_session_ids + 1000),
        ("names", limits.max_unlisted_names),
        ("servers", limits.max_list_line_bytes // 40),
        ("moved", limits.max_session_ids + limits.max_unlisted_names),
    ):
        receiver = StateReceiver(limits)
        receiver.add(name, ["x"] * most)
        with pytest.raises(ValueError):
            receiver.add(name, ["x"])


def test_a_release_of_all_servers_leaves_their_names_known():
    """Their drains are remembered against an agent that is behind, beside as many that are listed."""
    names = [[f"{release}-{number}" for number in range(8000)] for release in "ab"]
    proxy = large(names[0])
    proxy.on_endpoint_list(list_of(names[1], seq=2), UpdateKind.SNAPSHOT)
    assert len(proxy.servers) == 8000 and set(names[0]) <= set(proxy.known_names)
    proxy.on_endpoint_list(list_of(names[0][:1], seq=1), UpdateKind.DELTA)
    assert names[0][0] not in {
        server.name for server in proxy.balancer.endpoint_list.servers
    }
    # No more of them than the limit, however many releases come.
    for seq in range(3, 6):
        proxy.on_endpoint_list(
            list_of([f"{seq}-{number}" for number in range(8000)], seq=seq),
            UpdateKind.SNAPSHOT,
        )
    assert len(proxy.known_names) == 8000 + proxy.limits.max_unlisted_names


class Counted(dict):
    looked = 0

    def items(self):
        for found in super().items():
            self.looked += 1
            yield found


def test_what_goes_over_next_is_found_without_a_walk_over_all(monkeypatch):
    """All sessions go over, a few at a time: with a walk over all each time the old process stood still."""
    proxy = large(sockets=2000)
    proxy.clients = Counted(
        {number: types.SimpleNamespace(quiet=number % 5 != 0) for number in range(1000)}
    )
    proxy.hand_over_session = lambda sess, client: [sess, -sess]
    sent = []
    sender = HandoverSender(Hand("wire", []), proxy, None)
    sender.connection.transport = types.SimpleNamespace(sockets=0)
    sender.send_message = lambda message, handles=(): sent.append(
        (handles, message.encode())
    )
    monkeypatch.setattr(sender_module, "collect_session", lambda client: None)
    monkeypatch.setattr(sender_module, "encode_session", lambda record: {})
    sender.send_sessions()
    (held, batch) = sent
    assert held == ((), {"held": proxy.limits.non_connection_sockets})
    handles, told = batch
    assert (
        len(told["sessions"]) == proxy.limits.handover_batch_size
        and len(handles) == 2 * proxy.limits.handover_batch_size
    )
    assert proxy.clients.looked <= 1.25 * proxy.limits.handover_batch_size + 1


@pytest.mark.parametrize(
    "text",
    [b"", b"{", b"[]", b'{"version":9,"out":{}}', b'{"version":1,"out":{"a":"b"}}'],
)
def test_a_bad_maintenance_file_is_refused(tmp_path, text):
    (tmp_path / "file").write_bytes(text)
    with pytest.raises(ValueError):
        MaintenanceStore(str(tmp_path / "file")).load(10)


class Partner:
    """The other end of a handover, driven by hand."""

    def __init__(self, rig):
        self.rig = rig
        self.path = f"{rig.folder.name}/" + next(
            (path.name for path in pathlib.Path(rig.folder.name).glob("*.up")), ""
        )
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.settimeout(8.0)
        self.rest, self.handles = b"", []

    def say(self, **message):
        self.sock.sendall(json.dumps(message).encode() + b"\n")

    def hear(self):
        while b"\n" not in self.rest:
            data, handles, _, _ = socket.recv_fds(self.sock, 65536, 64)
            if not data:
                return "(end)"
            self.rest += data
            self.handles += handles
        line, _, self.rest = self.rest.partition(b"\n")
        return json.loads(line)

    def take_over(self, name="n0", version=PROTOCOL_VERSION):
        """The parts of the state that the running process tells."""
        self.sock.connect(self.path)
        self.say(hello=[version, name])
        parts = []
        while not parts or parts[-1] not in ("told", "no", "(end)"):
            parts += [found] if (found := self.hear()) == "(end)" else found
        return parts

    def close(self):
        for handle in self.handles:
            os.close(handle)
        self.sock.close()


def upgrade_in_flight():
    # Sessions wait for UP while the new process starts, however long that takes.
    listener = {"name": "any", "repeat": "retryable", "dialTimeoutS": PATIENCE_S}
    with Rig(
        mode="proxy",
        inherited=True,
        settings={
            "listeners": [listener],
            "obligations": {"drainGraceS": 0.5, "coldS": 0},
        },
    ) as rig:
        rig.watched("a", "b")
        rig.until_logged(LogEvent.READY)
        client, server = rig.up()
        server.say("half a li", end="")
        client.hear_bytes(9)
        waiting = rig.open("k2", d=1000 * PATIENCE_S)
        dialled = rig.taken(("a", "b"))
        dialled.hear()
        silent = rig.client("client without a line")
        rig.client("client that asks").ask("PING")  # so the one before it was let in
        old = rig.admin
        rig.begin_beside()
        rig.until_logged(LogEvent.HANDOVER_RECEIVED)
        rig.until_logged(LogEvent.READY)
        rig.watched("a", "b")
        rig.call("GET /status", old)
        rig.call("GET /status")
        rig.call("PUT /maintenance/enter?host=a", old)
        dialled.say("UP r2")
        waiting.hear()
        silent.say(f"OPEN id-k3 k3 c=any,t=t,d={1000 * PATIENCE_S}")
        at_old = rig.taken(("a", "b"))
        at_old.hear()
        at_old.say("UP r3")
        silent.hear()
        rig.old[0].terminate()
        rig.lines.append(f"old process exits with {rig.old[0].wait(8)}")
        waiting.hear()
        dialled.hear()
        for one, other in ((client, server), (silent, at_old)):
            one.say("still here")
            other.hear()
            other.say("ne, and another" if one is client else "echo")
            one.hear()
        rig.open("k2").hear()  # the id of another
        rig.up("k4")
        rig.call("GET /status/metrics")
        rig.begin_beside()  # a second upgrade, at once
        rig.until_logged(LogEvent.HANDOVER_RECEIVED)
        rig.watched("a", "b")
        client.say("and here")
        server.hear()
        return rig.lines


def new_process_dies():
    """Before it says that it took over; with sessions on their way; and asked in turn by one that speaks
    something else, and by one that says nothing."""
    with Rig(inherited=True) as rig:
        rig.watched("a", "b")
        rig.until_logged(LogEvent.READY)
        client, server = rig.up()
        for version, name in ((PROTOCOL_VERSION + 1, "n0"), (PROTOCOL_VERSION, "n9")):
            partner = Partner(rig)
            rig.lines.append(
                f"version {version - PROTOCOL_VERSION:+}, {name}: {partner.take_over(name, version)}"
            )
            partner.close()
        partner = Partner(rig)
        rig.lines.append(f"told: {partner.take_over()}")
        newcomer = rig.open("k2")
        rig.lines.append(
            f"taken in meanwhile: {bool(select.select(list(rig.servers.values()), [], [], 0.3)[0])}"
        )
        partner.close()
        rig.taken(("a", "b")).hear()
        client.say("one")
        server.hear()
        partner = Partner(rig)
        partner.take_over()
        partner.say(took=True)
        found = partner.hear()
        while "sessions" not in found:
            found = partner.hear()
        rig.lines.append(
            f"sessions on their way: {len(found['sessions'])}, handles {len(partner.handles)}"
        )
        rig.until_logged(LogEvent.HANDOVER_SENT)
        partner.close()
        rig.until_logged(LogEvent.HANDOVER_ROLLED_BACK)
        client.say("two")
        server.hear()
        server.say("three")
        client.hear()
        rig.up("k5")
        partner = Partner(rig)
        partner.take_over()
        rig.until_logged(LogEvent.HANDOVER_ROLLED_BACK)  # it says nothing for too long
        rig.up("k6")
        rig.call("GET /status")
        partner.close()
        newcomer.sock.close()
        return rig.lines


def upgrades_that_meet():
    """Two processes started at once beside one; one that is told to stop is still taken over from; SIGHUP
    meanwhile; the last process serves all, exactly one accepts."""
    with Rig(
        inherited=True, settings={"obligations": {"drainGraceS": 0.5, "coldS": 0}}
    ) as rig:
        rig.watched("a", "b")
        rig.until_logged(LogEvent.READY)
        client, server = rig.up()
        rig.reload()
        rig.old.append(rig.process)
        rig.begin()
        second, _ = rig.process, rig.old.append(rig.process)
        rig.begin()
        rig.old[0].terminate()
        rig.until_logged(LogEvent.ACCEPTING_CONNECTIONS)
        rig.process, third = second, rig.process
        rig.until_logged(LogEvent.ACCEPTING_CONNECTIONS)
        # Whichever came first was taken over from by the other.
        found = {
            process: rig.process_says(process, LogEvent.HANDOVER_SENT)
            for process in (second, third)
        }
        last = next(process for process, handed in found.items() if not handed)
        first = next(process for process, handed in found.items() if handed)
        first.terminate()
        rig.lines.append(
            f"the first two exit with {rig.old[0].wait(8)} and {first.wait(8)}"
        )
        rig.process = last
        rig.reload(name="n9")
        client.say("still here")
        server.hear()
        server.say("echo")
        client.hear()
        return rig.lines


BAD_HANDOVERS = {
    "dies in the middle": [b'{"servers": [{"na'],
    "no JSON": [b"what?\n"],
    "foreign": [b'{"no": "version 9"}\n'],
    "no state": [b'{"servers": []}\n{"told": true}\n'],
    "unknown part": [b'{"tables": {}}\n'],
    "too long": [b'{"ids": ["' + b"x" * 5_000_000],
    "says nothing": [],
}


def bad_handovers():
    """The new process starts as from nothing, says so, and keeps who is out by hand."""
    with Rig(inherited=True) as rig:
        rig.watched("a", "b")
        rig.until_logged(LogEvent.READY)
        rig.call("PUT /maintenance/enter?host=a")
        path = pathlib.Path(
            next(str(path) for path in pathlib.Path(rig.folder.name).glob("*.up"))
        )
        for what, pieces in BAD_HANDOVERS.items():
            rig.process.kill()
            rig.process.wait()
            path.unlink()
            with socket.socket(socket.AF_UNIX) as old:
                old.bind(str(path))
                old.listen()
                rig.begin()
                partner = Partner(rig)
                partner.sock = old.accept()[0]
                try:
                    for piece in pieces:
                        partner.sock.sendall(piece)
                except OSError:
                    pass
                if pieces:
                    partner.sock.shutdown(socket.SHUT_WR)
                found = rig.until_logged(
                    (LogEvent.HANDOVER_UNAVAILABLE, LogEvent.HANDOVER_ERROR)
                )
                rig.lines.append(
                    f"{what}: {found['event']}, {found.get('why') or found.get('what')}"
                )
                rig.watched("a", "b")
                rig.up(f"k {what}".replace(" ", "-"), ("a", "b"))
                partner.close()
        return rig.lines


def calls_of_the_page():
    """What the page for staff on call says, line by line."""
    page = pathlib.Path("docs/operations.md").read_text()
    calls = re.findall(
        r"^    curl -s (?:-X (PUT) )?'?localhost:9600(\S+?)'? +# (200) ?(\{.*?\})?",
        page,
        re.MULTILINE,
    )
    with Rig(names=("s-1", "s-2")) as rig:
        rig.watched("s-1", "s-2")
        rig.until_logged(LogEvent.READY)
        for method, target, status, body in calls:
            found = rig.call(f"{method or 'GET'} {target}")
            assert rig.lines[-1].split()[2] == status and (
                not body or found == json.loads(body)
            ), target
        told = rig.call("GET /status/metrics")
        for figure in (*told, *told["downstream_requests"]["any"]):
            assert f"`{figure}`" in page, figure
        return rig.lines


SCENARIOS = {
    run.__name__: run
    for run in (
        calls_by_bytes,
        calls_of_the_page,
        door_under_silent_callers,
        servers_out_by_hand,
        upgrade_in_flight,
        new_process_dies,
        upgrades_that_meet,
        bad_handovers,
    )
}


@pytest.mark.processes
@pytest.mark.parametrize("name", SCENARIOS)
def test_trace(name):
    assert kept(name, list(SCENARIOS[name]()))


@pytest.mark.processes
@pytest.mark.parametrize(
    "told, key",
    [
        ({"NODE_ADMIN_ADDR": "here"}, "admin_addr"),
        ({"NODE_FD": "x"}, "NODE_FD"),
        ({"NODE_FD": "77"}, "NODE_FD"),
        ({"NODE_FD": "0"}, "NODE_FD"),
    ],
)
def test_bad_configuration(tmp_path, told, key):
    path = tmp_path / "config.json"
    path.write_text(
        '{"settings": {"listeners": [{}]}, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",'
        '"name": "n", "seed": ""}'
    )
    one, other = socket.socketpair()
    with one, other:
        done = subprocess.run(
            [sys.executable, "-m", "wheathill"],
            capture_output=True,
            text=True,
            stdin=one,
            env={"NODE_CONFIG": str(path), **told},
        )
    assert (done.returncode, done.stderr.partition(":")[0]) == (2, key)
