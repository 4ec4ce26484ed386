"""Memory of the deployed program under hundreds of clients that cost as much of it as they can."""

import itertools
import socket
import string
import time
from collections.abc import Iterator

import pytest

from deployed import DeployedProxy, read_line

pytestmark = pytest.mark.processes

# Small, with as many descriptors as a proxy may have on the days that are scored.
MEMORY_MB, SOCKETS = 48.0, 1024
MAX_LINE_BYTES = 4096
# Each session takes two descriptors, and some are reserved.
SESSION_COUNT = 420
CLIENT_COUNT = 800
LONGEST_LINE_S = 2.5  # longer than the proxy waits for a first line
LONG_ID_COUNT = 8500  # more than the ids of ended sessions that a proxy remembers


@pytest.fixture
def proxy() -> Iterator[DeployedProxy]:
    """A proxy with a small memory limit; at the end it serves and is within that limit."""
    with DeployedProxy(memory_mb=MEMORY_MB, sockets=SOCKETS) as deployed:
        yield deployed
        assert deployed.process.poll() is None
        assert read_line(deployed.open("last")) == b"UP r"
        assert deployed.memory_mb() < MEMORY_MB


def short_fields(max_bytes: int) -> str:
    """Returns as many fields of an OPEN line as fit."""
    characters = string.ascii_letters + string.digits
    names = itertools.chain(
        characters, map("".join, itertools.product(characters, repeat=2))
    )
    used = {"c", "d", "t", "g", "h", "r", "at"}
    text = "c=any,d=2000"
    for name in names:
        if name not in used:
            field = f",{name}="
            if len(text) + len(field) > max_bytes:
                break
            text += field
    return text


def test_lines_of_very_many_short_fields(proxy: DeployedProxy) -> None:
    # Guards against a line of 4 KB that takes a hundred as long as its session lasts.
    clients = []
    for number in range(SESSION_COUNT):
        head = f"OPEN id{number} key{number} "
        fields = short_fields(MAX_LINE_BYTES - len(head) - len("\r\n"))
        client = proxy.connect()
        client.sendall(f"{head}{fields}\r\n".encode())
        assert read_line(client) == b"UP r"
        clients.append(client)
    assert fields.count(",") > 900
    for client in clients[SESSION_COUNT // 2 :]:
        client.close()


def test_ids_as_long_as_a_line_are_not_remembered_whole(proxy: DeployedProxy) -> None:
    # Guards against the ids of ended sessions that take 4 KB each.
    long_part = "i" * (MAX_LINE_BYTES - 100)
    for number in range(LONG_ID_COUNT):
        with proxy.connect() as client:
            client.sendall(f"OPEN {number}-{long_part} k c=any,d=2000\r\n".encode())
            assert read_line(client) == b"UP r"
    again = proxy.connect()
    again.sendall(f"OPEN {number}-{long_part} k c=any,d=2000\r\n".encode())
    assert read_line(again) == b"ERR"


@pytest.mark.parametrize("piece", [b"x", b"OPEN id k c=any,d=2000" + b",a=" * 1300])
def test_clients_that_stop_within_their_line(
    proxy: DeployedProxy, piece: bytes
) -> None:
    # Guards against half a line of hundreds of clients that is kept without a limit.
    clients = []
    for _ in range(CLIENT_COUNT):
        client = proxy.connect()
        client.sendall(piece)
        clients.append(client)
    until = time.monotonic() + LONGEST_LINE_S
    while time.monotonic() < until:
        clients = [client for client in clients if sends_a_byte(client)]
        time.sleep(0.01)
    assert len(clients) < CLIENT_COUNT


def sends_a_byte(client: socket.socket) -> bool:
    """Sends one byte more; returns whether the connection is still open."""
    try:
        client.send(b"x")
    except OSError:
        client.close()
        return False
    return True


def test_sessions_whose_servers_stop_reading(proxy: DeployedProxy) -> None:
    # Guards against large requests that pile up where their servers don't take them.
    proxy.stand_ins.on_data = lambda transport, _data: transport.pause_reading()
    for number in range(SESSION_COUNT // 2):
        client = proxy.up(f"id{number}")
        client.setblocking(False)
        sent = send_until_blocked(client)
        assert sent > proxy.stand_ins.received


def send_until_blocked(client: socket.socket) -> int:
    """Sends bytes without a line's end until the connection takes no more; returns how many."""
    sent = 0
    try:
        while True:
            sent += client.send(b"y" * 65_536)
    except BlockingIOError:
        return sent


def test_what_a_server_sends_along_with_up_is_not_kept(proxy: DeployedProxy) -> None:
    # Guards against bytes behind UP that stay in memory though they were passed on.
    along = b"z" * 60_000
    proxy.stand_ins.on_open = lambda transport, _line: transport.write(
        b"UP r\r\n" + along
    )
    clients = []
    for number in range(SESSION_COUNT):
        client = proxy.up(f"id{number}")
        left = len(along)
        while left:
            left -= len(client.recv(left))
        clients.append(client)
    for client in clients[SESSION_COUNT // 2 :]:
        client.close()
