"""Ids of sessions during an upgrade of the deployed program: none runs at both processes."""

import threading
from collections.abc import Iterator

import pytest

from deployed import DeployedProxy, read_line

pytestmark = pytest.mark.processes


@pytest.fixture
def proxy() -> Iterator[DeployedProxy]:
    """A proxy with four servers."""
    with DeployedProxy() as deployed:
        yield deployed


class Upgrade:
    """An upgrade in which clients that the old process has let in send their lines late."""

    def __init__(self, proxy: DeployedProxy, late_count: int) -> None:
        self.proxy = proxy
        self.late = [proxy.connect() for _ in range(late_count)]
        # One that is answered came after all of them were let in.
        with proxy.connect() as last:
            last.sendall(b"PING\r\n")
            assert read_line(last) == b"PONG"
        proxy.start()

    def send(self, number: int) -> str:
        """Sends the line of a client of the old process; returns its session's id."""
        session_id = f"late-{number}"
        line = f"OPEN {session_id} k{number} c=once,d=2000\r\n"
        self.late[number].sendall(line.encode())
        return session_id


@pytest.mark.parametrize("leaves", [True, False])
def test_an_id_of_the_old_process_does_not_run_again_at_the_new_one(
    proxy: DeployedProxy, leaves: bool
) -> None:
    # Guards against ids that the processes of an upgrade don't tell each other.
    took = threading.Event()
    proxy.stand_ins.on_open = lambda _transport, _line: took.set()
    upgrade = Upgrade(proxy, 10)
    for number in range(10):
        took.clear()
        session_id = upgrade.send(number)
        assert took.wait(2.0)
        if leaves:
            upgrade.late[number].close()
        with proxy.open(session_id, "c=once,d=2000") as again:
            assert read_line(again) == b"ERR"
        assert proxy.stand_ins.opened[session_id] == 1


def test_an_id_of_the_new_process_does_not_run_again_at_the_old_one(
    proxy: DeployedProxy,
) -> None:
    # Guards against ids that only the process knows that was sent them first.
    took = threading.Event()
    upgrade = Upgrade(proxy, 10)
    proxy.stand_ins.on_open = lambda _transport, _line: took.set()
    for number in range(10):
        took.clear()
        with proxy.open(f"late-{number}", "c=once,d=2000"):
            assert took.wait(2.0)
        session_id = upgrade.send(number)
        assert read_line(upgrade.late[number]) == b"ERR"
        assert proxy.stand_ins.opened[session_id] == 1


def test_an_id_of_the_new_process_does_not_run_again_after_a_rollback(
    proxy: DeployedProxy,
) -> None:
    # Guards against ids that are gone with a new process that dies.
    took = threading.Event()
    Upgrade(proxy, 1)
    proxy.stand_ins.on_open = lambda _transport, _line: took.set()
    for number in range(10):
        took.clear()
        with proxy.open(f"id-{number}", "c=once,d=2000"):
            assert took.wait(2.0)
    proxy.process.kill()
    for number in range(10):
        with proxy.open(f"id-{number}", "c=once,d=2000") as again:
            assert read_line(again) == b"ERR"
        assert proxy.stand_ins.opened[f"id-{number}"] == 1
