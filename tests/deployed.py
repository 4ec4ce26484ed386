"""The program as the deploy file starts it, between stand-ins of its servers and its discovery agent.

The stand-ins run in a thread of the test; clients are blocking sockets of the test itself.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections import Counter
from collections.abc import Callable
from typing import Any

from drive import free_port

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parent.parent
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
BUILT_PYTHON = ".venv/bin/python"  # in the deploy file; tests use their own interpreter
HEARTBEAT_S = 2.0
START_S = 30.0
LISTENERS = [
    {"name": "any", "repeat": "retryable", "dialTimeoutS": 2.0},
    {"name": "once", "repeat": "fragile", "dialTimeoutS": 2.0},
]


class Server(asyncio.Protocol):
    """One connection to a stand-in server, which answers as its `StandIns` say."""

    def __init__(self, stand_ins: StandIns) -> None:
        self._stand_ins = stand_ins
        self._is_up = False
        self._data = b""
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Waits for the first line."""
        self._transport = transport
        self._stand_ins.connections.add(transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Forgets the connection."""
        self._stand_ins.connections.discard(self._transport)

    def data_received(self, data: bytes) -> None:
        """Answers the first line, then what `StandIns.on_data` says."""
        if self._is_up:
            self._stand_ins.on_data(self._transport, data)
            return
        self._data += data
        line, end, rest = self._data.partition(b"\r\n")
        if not end:
            return
        self._data = rest
        if line == b"STATS":
            self._transport.write(b"PONG active=1,cpu=0.1,x0=0.1\r\n")
            return
        self._is_up = True
        self._stand_ins.opened[line.split(b" ")[1].decode()] += 1
        self._stand_ins.on_open(self._transport, line)


class StandIns:
    """Servers and a discovery agent, in a thread of their own.

    Attributes:
        connections: the servers' open connections; asyncio holds none that is paused.
        opened: how often each session id was sent to a server.
        received: bytes that servers got after their first line.
        on_open: called with a server's transport and the OPEN line.
        on_data: called with a server's transport and what came after that line.
    """

    def __init__(self, server_count: int) -> None:
        self.connections: set[asyncio.Transport] = set()
        self.opened: Counter[str] = Counter()
        self.received = 0
        self.on_open: Callable[[Any, bytes], None] = self.accept
        self.on_data: Callable[[Any, bytes], None] = self.echo
        self._loop = asyncio.new_event_loop()
        self._servers: list[asyncio.Server] = []
        self._ports: list[int] = []
        self.discovery_port = 0
        started = threading.Event()
        self._thread = threading.Thread(
            target=self._run, args=(server_count, started), daemon=True
        )
        self._thread.start()
        assert started.wait(START_S)

    def accept(self, transport: asyncio.Transport, _line: bytes) -> None:
        """Answers UP."""
        transport.write(b"UP r\r\n")

    def echo(self, transport: asyncio.Transport, data: bytes) -> None:
        """Sends back what has come."""
        self.received += len(data)
        transport.write(data)

    def swallow(self, _transport: asyncio.Transport, data: bytes) -> None:
        """Sends nothing back."""
        self.received += len(data)

    def run(self, call: Callable[[], None]) -> None:
        """Makes a call in the thread of the stand-ins, and waits for it."""
        done = threading.Event()

        def call_and_set() -> None:
            call()
            done.set()

        self._loop.call_soon_threadsafe(call_and_set)
        assert done.wait(START_S)

    def endpoints(self) -> dict[str, Any]:
        """Returns the whole list of servers, in discovery's form."""
        hosts = [
            {
                "host": f"s{port}",
                "dial": f"{HOST}:{port}",
                "site": "x",
                "class": "m",
                "block": 1,
                "health": "ready",
                "share": 1.0,
                "born_ms": 0,
            }
            for port in self._ports
        ]
        return {"seq": 1, "whole": True, "hosts": hosts}

    def stop(self) -> None:
        """Ends the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self, server_count: int, started: threading.Event) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._listen(server_count))
        started.set()
        self._loop.run_forever()
        self._loop.run_until_complete(self._close())
        self._loop.close()

    async def _close(self) -> None:
        """Ends what is open; whatever stayed would be reported as it is collected."""
        for server in self._servers:
            server.close()
        for connection in self.connections:
            connection.abort()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0)

    async def _listen(self, server_count: int) -> None:
        for _ in range(server_count):
            port = free_port()
            server = await self._loop.create_server(lambda: Server(self), HOST, port)
            self._servers.append(server)
            self._ports.append(port)
        self.discovery_port = free_port()
        self._servers.append(
            await asyncio.start_server(self._watch, HOST, self.discovery_port)
        )

    async def _watch(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            body = json.dumps(self.endpoints()).encode() + b"\n"
            while not writer.is_closing():
                writer.write(b"%x\r\n%s\r\n" % (len(body), body))
                await asyncio.sleep(HEARTBEAT_S)
                body = b"\n"
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


class DeployedProxy:
    """A proxy that the deploy file's `run` starts, with stand-ins of its own.

    Use as a context manager. Attributes:
        stand_ins: its servers and its discovery agent.
        address: where its clients connect.
        processes: the processes that were started, oldest first.
    """

    def __init__(
        self,
        *,
        server_count: int = 4,
        memory_mb: float = 64.0,
        sockets: int = 1024,
        mode: str = "proxy",
    ) -> None:
        self.stand_ins = StandIns(server_count)
        # The platform holds the socket, so that a second process can take over.
        self._listening = socket.create_server((HOST, free_port()), backlog=1024)
        self.address = self._listening.getsockname()
        self.processes: list[subprocess.Popen[bytes]] = []
        self._admin_addresses: list[tuple[str, int]] = []
        self._folder = tempfile.TemporaryDirectory()
        self._path = pathlib.Path(self._folder.name)
        (self._path / "tmp").mkdir()
        config = {
            "name": "n0",
            "seed": "5eed",
            "listen": f"{HOST}:{self.address[1]}",
            "discovery": f"{HOST}:{self.stand_ins.discovery_port}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": self.stand_ins.endpoints(),
            "settings": {
                "listeners": LISTENERS,
                "limits": {"maxDials": 3, "retryAfter": True, "maxRetryAfterS": 1.0},
                "familyInfo": {"mode": mode},
                "dcs": ["x", "y"],
                "tenants": [{"name": "t"}],
                "obligations": {"drainGraceS": 0.5},
            },
        }
        (self._path / "config.json").write_text(json.dumps(config))

    def __enter__(self) -> DeployedProxy:
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        self.stand_ins.stop()
        self._listening.close()
        self._folder.cleanup()

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The process that was started last."""
        return self.processes[-1]

    def start(self) -> None:
        """Starts a process, the second time beside the one that runs, and waits until it is ready."""
        self._admin_addresses.append((HOST, free_port()))
        environ = {
            **os.environ,
            "NODE_CONFIG": str(self._path / "config.json"),
            "NODE_ADMIN_ADDR": "{}:{}".format(*self._admin_addresses[-1]),
            "NODE_FD": str(self._listening.fileno()),
            "TMPDIR": str(self._path / "tmp"),
        }
        with (self._path / f"log-{len(self.processes)}").open("wb") as log:
            self.processes.append(
                subprocess.Popen(
                    ["/bin/sh", "-c", RUN.replace(BUILT_PYTHON, sys.executable)],
                    cwd=ROOT,
                    env=environ,
                    stdout=log,
                    stderr=log,
                    pass_fds=[self._listening.fileno()],
                )
            )
        until = time.monotonic() + START_S
        while time.monotonic() < until and self.status() != 200:
            time.sleep(0.02)
        assert self.status() == 200

    def status(self) -> int:
        """Returns what the last process answers to GET /status, or 0."""
        try:
            return int(self.call("GET /status").split()[1])
        except (OSError, IndexError):
            return 0

    def call(self, request: str) -> str:
        """Makes a call at the last process's door for operators; returns the answer."""
        with socket.create_connection(self._admin_addresses[-1], 5.0) as sock:
            sock.sendall(f"{request} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            return b"".join(iter(lambda: sock.recv(65536), b"")).decode()

    def pending(self) -> int:
        """Returns how many sessions the last process holds."""
        answer = self.call("GET /status/metrics")
        return json.loads(answer.partition("\r\n\r\n")[2])["pending"]

    def log(self) -> str:
        """Returns what all processes have logged."""
        paths = sorted(self._path.glob("log-*"))
        return "".join(path.read_text() for path in paths)

    def signal(self, number: signal.Signals) -> None:
        """Sends the last process a signal."""
        self.process.send_signal(number)

    def memory_mb(self, field: str = "VmHWM") -> float:
        """Returns the last process's peak memory, or another field of its status."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return float(status.partition(f"{field}:")[2].split()[0]) / 1024

    # Clients

    def connect(self) -> socket.socket:
        """Returns a connection of a client."""
        return socket.create_connection(self.address, 8.0)

    def open(self, session_id: str, values: str = "c=any,d=2000") -> socket.socket:
        """Returns a client that has sent its line."""
        client = self.connect()
        client.sendall(f"OPEN {session_id} key-{session_id} {values}\r\n".encode())
        return client

    def up(self, session_id: str, values: str = "c=any,d=2000") -> socket.socket:
        """Returns a client whose session is up."""
        client = self.open(session_id, values)
        assert read_line(client) == b"UP r"
        return client


def wait_until(condition: Callable[[], bool], longest_s: float = 5.0) -> bool:
    """Waits until a condition holds; returns whether it does."""
    until = time.monotonic() + longest_s
    while not condition() and time.monotonic() < until:
        time.sleep(0.02)
    return condition()


def read_line(client: socket.socket) -> bytes:
    """Returns the next line that a client gets, or what came before its connection ended."""
    line = b""
    while not line.endswith(b"\r\n"):
        try:
            data = client.recv(1)
        except ConnectionResetError:
            return line
        if not data:
            return line
        line += data
    return line[:-2]


def reset(client: socket.socket) -> None:
    """Closes a client's connection with a reset, as a close with unread bytes does."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()
