"""The state machines alone, fed bytes by hand."""

import pytest

from drive import kept
from wheathill.config.limits import ProxyLimits, buffer_sizes
from wheathill.model import Server
from wheathill.net.client import Client
from wheathill.net.connection import Connection
from wheathill.net.discovery import Watch
from wheathill.net.load_report import parse_load_report
from wheathill.net.open_request import OpenRequest
from wheathill.net.server import ServerAttempt
from wheathill.net.transport import Transport


class Hand:
    """Stands in for the wire, the clock and the door of one machine; writes down what they are asked for."""

    open = is_write_blocked = False
    drained = True
    ready = has_unread_list = False
    has_unread_bytes = False

    def __init__(self, name="", lines=None):
        self.name = name
        self.lines = [] if lines is None else lines

    def __getattr__(self, what):
        def say(*args, **named):
            shown = [
                str(arg)
                for arg in args
                if isinstance(arg, (bytes, str, dict, bool)) or hasattr(arg, "value")
            ]
            self.lines.append(" ".join([self.name, what, *shown, *map(str, named)]))

        return say

    def may_send(self, dial):
        return True

    def get_extra_info(self, _what):
        return Hand()

    def now(self):
        return 0.0

    def after(self, wait, call, *args):
        return Hand("timer", [])


LIMITS = ProxyLimits(
    max_sockets=100,
    connect_timeout_ms=100.0,
    max_dial_timeout_ms=1000.0,
    probe_idle_timeout_ms=1000.0,
)


def dialled():
    lines = []
    client = Client(
        Hand("client", lines), Hand("door", lines), LIMITS, Hand("clock", lines)
    )
    client.connected()
    client.received(b"OPEN id k d=9,c=any\r\n")
    dial = client.attempt = ServerAttempt(
        client, Server("a"), Hand("door", lines), LIMITS, Hand("clock", lines)
    )
    dial.start(Hand("server", lines), 1000.0, 100.0)
    del lines[:]
    return client, dial, lines


def last_byte():
    for before_the_end in ("nothing more", "the last byte leaves"):
        _, dial, lines = dialled()
        dial.connection.drained = False
        dial.connected()
        dial.blocked(True)
        if before_the_end == "the last byte leaves":
            dial.blocked(False)
        lines.append(f"-- {before_the_end}, then the connection breaks")
        dial.lost(True)
        yield from lines


def line_by_bytes():
    client, dial, lines = dialled()
    dial.connected()
    for byte in b"UP r\r\nLOAD 0.5\r\nx\r\nBYE inflight=1\r\n":
        dial.received(bytes([byte]))
        if dial.is_up and dial.between_lines:
            lines.append("-- between lines")
    dial.ended()
    return [
        line
        for line in lines
        if "client send " not in line and "on_server_data" not in line
    ]


def move_waits():
    client, dial, lines = dialled()
    dial.connected()
    dial.received(b"UP r\r\nhal")
    lines.append(f"moves at once: {client.migrate()}")
    dial.received(b"f\r\n")
    lines.append(f"moves then: {client.migrate()}")
    return lines


def half_a_line_asks_nothing():
    client, dial, lines = dialled()
    dial.connected()
    client.forward_up(dial, b"UP r\r\n")
    client.received(b"half ")
    lines.append(f"asked: {client.unanswered_since_ms}")
    client.received(b"a line\r\nand half")
    lines.append(f"asked: {client.unanswered_since_ms}")
    return lines


def backpressure():
    client, dial, lines = dialled()
    dial.connected()
    dial.received(b"UP r\r\n")
    client.forward_up(dial, b"UP r\r\n")
    for machine in (client, dial):
        machine.blocked(True)
        machine.blocked(False)
    return lines


def end_of_what_was_reset():
    lines = []
    wire = Connection(Transport(None, LIMITS, None), lambda _: Hand("machine", lines))
    wire.connection_made(Hand("transport", lines))

    def write_eof():
        raise OSError(107, "Transport endpoint is not connected")

    wire.asyncio_transport.write_eof = write_eof
    wire.asyncio_transport.is_closing = lambda: False
    wire.send_eof()
    wire.connection_lost(None)
    return lines


def watch_by_bytes():
    lines = []
    watch = Watch("127.0.0.1", 4, Hand("door", lines), LIMITS, Hand("clock", lines))
    watch.start(Hand("wire", lines))
    watch.connected()
    for byte in (
        b"HTTP/1.1 200 OK\r\ncontent-type: x\r\nTransfer-Encoding: Chunked\r\n\r\n"
        b'8\r\n{"seq":5\r\n2;x=y\r\n}\n\r\n1\r\n\n\r\n0\r\n'
    ):
        watch.received(bytes([byte]))
    return lines


def watch_refused():
    lines = []
    for answer in (
        b"HTTP/1.1 503 no\r\n",
        b"SSH-2.0\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n{]\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nmany\r\n",
    ):
        watch = Watch("127.0.0.1", 4, Hand("door", lines), LIMITS, Hand("clock", lines))
        watch.start(Hand("wire", lines))
        watch.received(answer)
    return lines


def buffers_and_memory():
    for memory, sockets in ((192, 1024), (80, 384), (32, 1024), (32, 256)):
        sizes = buffer_sizes(memory, sockets)
        shown = {
            "read": sizes.receive_buffer_bytes,
            "list_line": sizes.max_list_line_bytes,
        }
        yield f"{memory} MB, {sockets} descriptors: {shown}"


def too_many_pings():
    lines = []
    client = Client(
        Hand("client", lines), Hand("door", lines), LIMITS, Hand("clock", lines)
    )
    client.connected()
    for _ in range(25):
        client.received(b"PING\r\n")
        if "door on_client_error" in lines[-1]:
            return [
                f"{lines[-1]} after {sum('client send' in line for line in lines)} answers"
            ]


def head_and_report():
    yield str(OpenRequest(b"OPEN id k c=any,d=2000,t=x").encode(17.9))
    yield str(OpenRequest(b"OPEN id k d=2000").encode(17.9))
    yield str(OpenRequest(b"OPEN id k c=d").encode(17.9))
    yield str(
        parse_load_report(b"active=3,x0=0.5,odd,new=1,cpu=?", ["x0", "active", "cpu"])
    )
    yield str(parse_load_report(b"", ["x0"]))


SCENARIOS = {
    run.__name__: run
    for run in (
        last_byte,
        line_by_bytes,
        move_waits,
        half_a_line_asks_nothing,
        backpressure,
        end_of_what_was_reset,
        watch_by_bytes,
        watch_refused,
        buffers_and_memory,
        too_many_pings,
        head_and_report,
    )
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_trace(name):
    assert kept(name, list(SCENARIOS[name]()))
