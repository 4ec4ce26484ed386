"""One client at full speed against the deployed program: what others get meanwhile, and memory."""

import itertools
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from deployed import DeployedProxy, read_line, reset

pytestmark = pytest.mark.processes

MEMORY_MB = 48.0
FLOOD_S = 3.0
PAUSE_S = 0.02
# The protocol page: UP before the time that the client waits, and no line held back for
# over a second. The operators' door answers within a second, whatever the load.
DIAL_TIMEOUT_S, LINE_S, CALL_S = 2.0, 1.0, 1.0
CHUNK_BYTES = 65_536
READ_TIMEOUT_S = 2.0


class Flood:
    """A client that sends as fast as it can until it is told to stop, in a thread.

    Attributes:
        count: how often it has sent.
    """

    def __init__(self, proxy: DeployedProxy, run: "Callable[[Flood], None]") -> None:
        self.proxy = proxy
        self.count = 0
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=run, args=(self,), daemon=True)

    def __enter__(self) -> "Flood":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_over.set()
        self._thread.join()

    def turns(self) -> Iterator[int]:
        """Yields numbers until the flood is over."""
        for number in itertools.count():
            if self._is_over.is_set():
                return
            self.count += 1
            yield number


def in_session(unit: bytes) -> Callable[[Flood], None]:
    """Returns a flood of one line in an open session, whose server sends all of it back."""
    chunk = unit * (CHUNK_BYTES // len(unit))

    def run(flood: Flood) -> None:
        client = flood.proxy.up("flood")
        client.settimeout(READ_TIMEOUT_S)
        threading.Thread(target=read_all, args=(client,), daemon=True).start()
        for _ in flood.turns():
            try:
                client.sendall(chunk)
            except OSError:
                # The proxy moves a session whose lines are not answered in time.
                client = flood.proxy.up(f"flood-{flood.count}")
                client.settimeout(READ_TIMEOUT_S)
                threading.Thread(target=read_all, args=(client,), daemon=True).start()

    return run


def read_all(client: socket.socket) -> None:
    """Reads until the connection ends."""
    try:
        while client.recv(CHUNK_BYTES):
            pass
    except OSError:
        pass


def without_a_session(unit: bytes) -> Callable[[Flood], None]:
    """Returns a flood on connections that never get a session, one after another."""

    def run(flood: Flood) -> None:
        client = flood.proxy.connect()
        for _ in flood.turns():
            try:
                client.sendall(unit)
            except OSError:
                client = flood.proxy.connect()

    return run


def one_a_connection(line: str) -> Callable[[Flood], None]:
    """Returns a flood of lines under ever new names, each on a connection of its own."""

    def run(flood: Flood) -> None:
        for number in flood.turns():
            with flood.proxy.connect() as client:
                client.settimeout(READ_TIMEOUT_S)
                client.sendall(line.format(number).encode())
                client.recv(100)
                reset(client)

    return run


FLOODS = {
    "empty lines": in_session(b"\r\n"),
    "short lines": in_session(b"x\r\n"),
    "unsound LOAD lines": in_session(b"LOAD x\r\n"),
    "BYE lines": in_session(b"BYE x=1\r\n"),
    "no line end": in_session(b"x"),
    "PING": without_a_session(b"PING\r\n"),
    "lines before UP": without_a_session(b"OPEN early k c=any\r\n" + b"x\r\n" * 1000),
    "no request": one_a_connection("HELLO {0}\r\n"),
    "new listeners": one_a_connection("OPEN f{0} k{0} c=any{0},t=t{0}\r\n"),
    "new ids and keys": one_a_connection("OPEN f{0} k{0} c=any,d=2000,g=g{0}\r\n"),
}


class Bystander:
    """Usual clients and an operator's calls: how long each waits for what it gets, in s."""

    def __init__(self, proxy: DeployedProxy) -> None:
        self.proxy = proxy
        self.up_s: list[float] = []
        self.line_s: list[float] = []
        self.call_s: list[float] = []
        self._open = proxy.up("bystander")

    def play(self, number: int) -> None:
        """Opens a session, has a line answered in another, and makes a call."""
        with self.proxy.open(f"new-{number}") as client:
            assert self._timed(self.up_s, lambda: read_line(client)) == b"UP r"
        self._open.sendall(b"hello\r\n")
        answer = self._timed(self.line_s, lambda: read_line(self._open))
        assert answer == b"hello"
        assert self._timed(self.call_s, self.proxy.status) == 200

    @staticmethod
    def _timed(waits_s: list[float], call: Callable[[], object]) -> object:
        start_s = time.monotonic()
        found = call()
        waits_s.append(time.monotonic() - start_s)
        return found


@pytest.mark.parametrize("name", FLOODS)
def test_others_are_served_in_time_beside_a_flood(name: str) -> None:
    # Guards against one client that keeps the proxy from all others, or fills its memory.
    with DeployedProxy(memory_mb=MEMORY_MB) as proxy:
        bystander = Bystander(proxy)
        with Flood(proxy, FLOODS[name]) as flood:
            until = time.monotonic() + FLOOD_S
            for number in itertools.count():
                bystander.play(number)
                time.sleep(PAUSE_S)
                if time.monotonic() > until:
                    break
        assert flood.count > 10
        assert max(bystander.up_s) < DIAL_TIMEOUT_S
        assert max(bystander.line_s) < LINE_S
        assert max(bystander.call_s) < CALL_S
        assert proxy.process.poll() is None
        assert proxy.memory_mb() < MEMORY_MB
