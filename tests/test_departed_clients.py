"""Clients of the deployed program that leave: what is sent on for them, and ids that come again."""

import asyncio
import fcntl
import signal
import socket
import struct
import termios
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from deployed import DeployedProxy, read_line, reset, wait_until

pytestmark = pytest.mark.processes

CLIENT_COUNT = 100
SETTLED_S = 0.5
# A session's line, and enough of them to fill what the kernel and the proxy hold.
LINE = b"transfer 1\r\n"
CHUNK = LINE * 5000


@pytest.fixture
def proxy() -> Iterator[DeployedProxy]:
    """A proxy with four servers."""
    with DeployedProxy() as deployed:
        yield deployed


class StoppedServers:
    """Servers that read nothing behind the first line until they are told to."""

    def __init__(self, proxy: DeployedProxy) -> None:
        self._stand_ins = proxy.stand_ins
        self._stand_ins.on_open = self._stop

    def _stop(self, transport: asyncio.Transport, _line: bytes) -> None:
        transport.write(b"UP r\r\n")
        transport.pause_reading()

    def go_on(self) -> None:
        """Reads again, whatever is there."""
        self._stand_ins.on_data = self._stand_ins.swallow
        self._stand_ins.run(self._resume)

    def arrived(self) -> int:
        """Returns how many bytes the servers' sockets hold unread."""
        return sum(
            unread_bytes(transport.get_extra_info("socket"))
            for transport in list(self._stand_ins.connections)
        )

    def _resume(self) -> None:
        for transport in list(self._stand_ins.connections):
            transport.resume_reading()


def unread_bytes(sock: socket.socket) -> int:
    """Returns how many bytes a socket has received that were not read."""
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))[0]


def fill(client: socket.socket) -> int:
    """Sends lines until the connection takes no more for a while; returns how many bytes."""
    client.settimeout(SETTLED_S)
    sent = 0
    try:
        while True:
            sent += client.send(CHUNK)
    except TimeoutError:
        return sent


def test_lines_unread_at_a_reset_are_not_sent_on(proxy: DeployedProxy) -> None:
    # Guards against lines of a client that is gone, read from the kernel once its server
    # takes lines again.
    servers = StoppedServers(proxy)
    client = proxy.up("leaves")
    sent, arrived = fill(client), servers.arrived()
    assert sent > arrived + 10 * len(CHUNK)
    reset(client)
    is_noticed = wait_until(lambda: proxy.pending() == 0)
    servers.go_on()
    assert wait_until(lambda: len(proxy.stand_ins.connections) == 0)
    assert proxy.stand_ins.received <= arrived
    assert is_noticed


def test_lines_that_pile_up_before_a_reset_are_not_sent_on(
    proxy: DeployedProxy,
) -> None:
    # Guards against the same where the proxy was held up, and not its server.
    proxy.stand_ins.on_data = proxy.stand_ins.swallow
    client = proxy.up("leaves")
    proxy.signal(signal.SIGSTOP)
    assert fill(client) > 10 * len(CHUNK)
    reset(client)
    proxy.signal(signal.SIGCONT)
    assert wait_until(lambda: len(proxy.stand_ins.connections) == 0)
    assert proxy.stand_ins.received <= len(CHUNK)


def test_all_lines_before_an_end_of_stream_are_sent_on(proxy: DeployedProxy) -> None:
    # Guards against lines that are lost because their client sends no more.
    servers = StoppedServers(proxy)
    client = proxy.up("finishes")
    sent = fill(client)
    client.shutdown(socket.SHUT_WR)
    time.sleep(SETTLED_S)
    servers.go_on()
    assert wait_until(lambda: proxy.stand_ins.received == sent)


@pytest.mark.parametrize("leave", [socket.socket.close, reset], ids=["close", "reset"])
def test_a_request_read_after_its_client_has_left_is_not_sent_on(
    proxy: DeployedProxy, leave: Callable[[socket.socket], None]
) -> None:
    # Guards against dials for clients that left while their line was unread.
    proxy.signal(signal.SIGSTOP)
    for number in range(CLIENT_COUNT):
        leave(proxy.open(f"left-{number}"))
    proxy.signal(signal.SIGCONT)
    time.sleep(SETTLED_S)
    assert proxy.stand_ins.opened == {}


def test_an_id_that_comes_again_after_its_client_left_does_not_run_twice(
    proxy: DeployedProxy,
) -> None:
    # Guards against ids that are forgotten as soon as their client is gone.
    took = threading.Event()
    proxy.stand_ins.on_open = lambda _transport, _line: took.set()
    for number in range(CLIENT_COUNT // 2):
        took.clear()
        client = proxy.open(f"again-{number}", "c=once,d=2000")
        assert took.wait(2.0)
        (reset if number % 2 else socket.socket.close)(client)
        with proxy.open(f"again-{number}", "c=once,d=2000") as again:
            assert read_line(again) == b"ERR"
    assert set(proxy.stand_ins.opened.values()) == {1}
