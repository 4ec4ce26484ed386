"""Day-to-day operation: the operators' door, figures, servers out by hand, upgrades."""

import os
import pathlib
import socket
import subprocess
import sys

import pytest

from drive import Rig, kept
from test_net import LIMITS, Hand
from wheathill.net import bans
from wheathill.net.admin import Call, No
from wheathill.net.operators import OperatorsDoor


class Desk:
    """What the door's table leads to."""

    limits, clock, ready, stopping = LIMITS, Hand("clock", []), True, None

    def metrics(self):
        raise RuntimeError("a fault")

    def __getattr__(self, what):
        return lambda *args: {what: args}


def call(*pieces, end=False):
    """What one call is answered, by its first line and its body."""
    lines = []
    wire = Hand("", lines)
    made = Call(wire, OperatorsDoor(Desk()).answer, LIMITS, Hand("clock", []))
    made.connected()
    for piece in pieces:
        if not made.done:
            made.received(piece)
    if end:
        made.ended()
    if not lines:
        return "waits"
    sent = "".join(line.partition("send ")[2] for line in lines).replace("\\r\\n", " ").replace("\\n", "")
    return sent.replace("b'", "").replace("'", "")


def calls_by_bytes():
    whole = b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n"
    yield call(whole)
    yield f"the same at every cut: {all(call(whole[:cut], whole[cut:]) == call(whole) for cut in range(len(whole)))}"
    yield f"and byte by byte: {call(*(whole[at:at + 1] for at in range(len(whole)))) == call(whole)}"
    for text in (b"GET /status HTTP/1.1\r\nHost: a\r\n", b"", b"GET /status HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"):
        yield f"{text!r}: {call(text)}"
        yield f"{text!r} and the end: {call(text, end=True)}"
    for text in (b"\r\nGET http://a:1/status?x=%41 HTTP/1.0\r\n\r\n", b"GET /status HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
                 b"GET /status\r\n\r\n", b"GET /status HTTP/2.0\r\n\r\n", b"get it HTTP/1.1\r\n\r\n", b"\x16\x03\x01 b HTTP/1.1\r\n",
                 b"GET /none HTTP/1.1\r\n\r\n", b"DELETE /status HTTP/1.1\r\n\r\n", b"GET /status?a=%4 HTTP/1.1\r\n\r\n",
                 b"GET /status?a=%ff HTTP/1.1\r\n\r\n", b"GET /status HTTP/1.1\r\nno colon\r\n\r\n",
                 b"GET /status HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                 b"GET /status HTTP/1.1\r\nContent-Length: -1\r\n\r\n", b"GET /status HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
                 b"GET /status HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", b"GET /status HTTP/1.1\r\n" + b"a: b\r\n" * 65,
                 b"GET /" + b"a" * 9000, b"GET /status HTTP/1.1\r\n" + b"a: " + b"b" * 5000 + b"\r\na: " + b"b" * 4000 + b"\r\n"):
        yield f"{text[:60]!r}: {call(text)}"


def test_a_handler_fault_is_answered():
    lines = []
    made = Call(Hand("", lines), OperatorsDoor(Desk()).answer, LIMITS, Hand("clock", []))
    made.connected()
    with pytest.raises(RuntimeError):       # caught and logged by the wire, which then tells of it
        made.received(b"GET /status/metrics HTTP/1.1\r\n\r\n")
    made.fault()
    assert "HTTP/1.1 500" in lines[0] and made.done


def door_under_silent_callers():
    with Rig(settings={"listeners": [{"name": name, "repeat": "fragile", "dialTimeoutS": 2.0}
                                     for name in ("any", "other")]}) as rig:
        rig.call("GET /status")
        rig.watched("a", "b")
        rig.until_logged("ready")
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
        rig.open("k2").hear()           # an id that was seen
        rig.open("k4", c="none").hear()
        left = rig.open("k5")
        server = rig.taken(("a", "b"))
        server.hear()
        left.reset()
        server.hear()
        rig.call("GET /status/metrics")
        return rig.lines


def second_process_on_the_same_socket():
    with Rig(inherited=True) as rig:
        rig.watched("a", "b")
        client, server = rig.up()
        rig.begin_beside()
        rig.watched("a", "b")
        rig.until_logged("ready")
        rig.call("GET /status")
        rig.old[0].terminate()
        while b'"stopping"' not in rig.old[0].stdout.readline():
            pass
        newcomer, other = rig.up("k2")
        client.say("still passed on")
        server.hear()
        return rig.lines


def servers_out_by_hand():
    with Rig(mode="proxy", inherited=True, settings={"obligations": {"drainGraceS": 0.5, "coldS": 0}}) as rig:
        rig.watched("a", "b")
        rig.until_logged("ready")
        client, server = rig.up()
        name = server.name[-1]
        other = "b" if name == "a" else "a"
        say = "PUT /maintenance/{}?host={}".format
        for call in (say("enter", name), say("enter", name), say("enter", "nobody"), "PUT /maintenance/enter",
                     "PUT /maintenance/enter?host=", "PUT /maintenance/enter?host=a&host=b", f"GET /maintenance/enter?host={name}"):
            rig.call(call)
        client.hear()
        rig.call("GET /status/metrics")
        rig.tell(rig.list("a", "b"))
        rig.up("k2", (name, other))
        rig.begin_beside()
        rig.watched("a", "b")
        rig.until_logged("ready")
        rig.up("k3", (name, other))
        os.mkdir(bans_of(rig) + ".new")
        rig.call(say("exit", name))
        rig.call(say("enter", other))
        rig.up("k4", (name, other))
        os.rmdir(bans_of(rig) + ".new")
        rig.call(say("exit", name))
        rig.call(say("enter", other))
        rig.up("k5", (name, other))
        rig.call(say("enter", name))
        rig.open("k6").hear()
        return rig.lines


def bans_of(rig):
    return next(str(path) for path in pathlib.Path(rig.folder.name).glob("*.out"))


@pytest.mark.parametrize("text", [b"", b"{", b"[]", b'{"version":9,"out":{}}', b'{"version":1,"out":{"a":"b"}}'])
def test_bad_bans(tmp_path, text):
    (tmp_path / "file").write_bytes(text)
    with pytest.raises(ValueError):
        bans.read(str(tmp_path / "file"), 10)


SCENARIOS = {run.__name__: run for run in (
    calls_by_bytes, door_under_silent_callers, servers_out_by_hand, second_process_on_the_same_socket)}


@pytest.mark.parametrize("name", SCENARIOS)
def test_trace(name):
    assert kept(name, list(SCENARIOS[name]()))


@pytest.mark.parametrize("told, key", [
    ({"NODE_ADMIN_ADDR": "here"}, "admin_addr"), ({"NODE_FD": "x"}, "NODE_FD"), ({"NODE_FD": "77"}, "NODE_FD"),
    ({"NODE_FD": "0"}, "NODE_FD")])
def test_bad_configuration(tmp_path, told, key):
    path = tmp_path / "config.json"
    path.write_text('{"settings": {"listeners": [{}]}, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",'
                    '"name": "n", "seed": ""}')
    one, other = socket.socketpair()
    with one, other:
        done = subprocess.run([sys.executable, "-m", "wheathill"], capture_output=True, text=True, stdin=one,
                              env={"NODE_CONFIG": str(path), **told})
    assert (done.returncode, done.stderr.partition(":")[0]) == (2, key)
