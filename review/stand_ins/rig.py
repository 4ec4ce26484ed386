"""Stand-ins for servers, discovery, clients and the platform, as the pages describe.

Everything runs on loopback addresses and the real clock. The project's program is
started as a process of its own, with the command `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
KEPT, BROKEN, NOT_RUN = 0, 1, 2
ANSWER_SLACK_S = 0.5  # "Up to half a second after its time it only earns nothing"


class NotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write one line to the record and to standard output."""
        self.write(text)
        print(text, flush=True)


@dataclass(eq=False)
class Opened:
    """An OPEN line at a server: when its first and last byte came.

    Attributes:
        session_id: the id that the line names.
        server: the name of the server.
        first_s: when the first byte came.
        last_s: when the line was complete.
    """

    session_id: str
    server: str
    first_s: float
    last_s: float


class Server:
    """A server: answers probes, sets sessions up and answers each of their lines.

    Attributes:
        name: its name on the list.
        address: where it listens, HOST:PORT.
        opened: the OPEN lines that it has received.
        holds: ids of the sessions that are up.
        answer: the answer to an OPEN line, or None for UP.
    """

    def __init__(self, name: str, record: Record, report: str) -> None:
        self.name = name
        self.address = ""
        self.opened: list[Opened] = []
        self.holds: dict[str, asyncio.StreamWriter] = {}
        self.answer: bytes | None = None
        self._record = record
        self._report = report
        self._awake = asyncio.Event()
        self._awake.set()
        self._listening: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, or on the one from before."""
        port = int(self.address.rsplit(":", 1)[1]) if self.address else 0
        self._listening = await asyncio.start_server(self._serve, HOST, port)
        self.address = f"{HOST}:{self._listening.sockets[0].getsockname()[1]}"
        self._record.write(f"{self.name} runs at {self.address}")

    def die(self) -> None:
        """Reset all connections and refuse new ones, as a process that dies."""
        assert self._listening is not None
        self._record.write(f"{self.name} dies")
        self._listening.close()
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()

    def hang(self, on: bool) -> None:
        """Stop to read and answer, or go on; connections still come up."""
        self._record.write(f"{self.name} {'hangs' if on else 'goes on'}")
        if on:
            self._awake.clear()
        else:
            self._awake.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        session_id = ""
        self._writers.add(writer)
        try:
            while first := await reader.read(1):
                first_s = self._record.now()
                await self._awake.wait()
                line = (first + await reader.readuntil(b"\r\n")).strip()
                await self._awake.wait()
                words = line.split(b" ")
                if session_id:
                    writer.write(b"OK\r\n")
                elif words[0] in (b"PING", b"STATS"):
                    text = f"PONG {self._report}" if words[0] == b"STATS" else "PONG"
                    writer.write(text.encode() + b"\r\n")
                elif words[0] == b"OPEN" and len(words) == 4:
                    session_id = words[1].decode()
                    self._on_open(session_id, first_s, line)
                    if not await self._answer_open(session_id, writer):
                        return
                else:
                    writer.write(b"SYNTAX\r\n")
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.holds.pop(session_id, None)
            self._writers.discard(writer)
            writer.close()

    def _on_open(self, session_id: str, first_s: float, line: bytes) -> None:
        opened = Opened(session_id, self.name, first_s, self._record.now())
        self.opened.append(opened)
        self._record.write(f"{self.name} receives {line.decode()}")

    async def _answer_open(self, session_id: str, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(0.002)  # the handshake
        if self.answer is not None:
            self._record.write(f"{self.name} answers {self.answer!r} to {session_id}")
            writer.write(self.answer + b"\r\n")
            await writer.drain()
            return False
        self._record.write(f"{self.name} runs {session_id} and answers UP")
        self.holds[session_id] = writer
        writer.write(f"UP {self.name}/{session_id}\r\n".encode())
        return True


class Discovery:
    """The agent on the proxy's machine: the whole list, or a watch on changes.

    Attributes:
        address: where it listens, HOST:PORT.
        entries: the present list, by name.
        version: the version of the list.
    """

    def __init__(self, record: Record, always_whole: bool = False) -> None:
        """Prepare an empty list.

        A watch begins with what has changed, or `always_whole` with the whole list;
        the page allows both.
        """
        self._always_whole = always_whole
        self.address = ""
        self.entries: dict[str, dict[str, Any]] = {}
        self.version = 40
        self._record = record
        self._listed: dict[str, dict[str, Any]] = {}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._watches: set[asyncio.Queue[dict[str, Any]]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def add(self, server: Server, site: str, block: int) -> None:
        """List a server that has been ready for long."""
        self._listed[server.name] = self.entries[server.name] = {
            "host": server.name,
            "dial": server.address,
            "site": site,
            "class": "m",
            "block": block,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {
            "seq": self.version,
            "whole": True,
            "hosts": list(self.entries.values()),
        }

    def change(self, name: str, health: str, born_ms: int | None = None) -> float:
        """Tell all watches that a server is draining, gone or ready; return when."""
        self.version += 1
        entry = {**self._listed[name], "health": health}
        if born_ms is not None:
            entry["born_ms"] = born_ms
            self._listed[name] = {**entry, "health": "ready"}
        self.entries[name] = entry
        if health == "gone":
            del self.entries[name]
        self._changes.append((self.version, entry))
        self._record.write(f"discovery tells {name} {health}")
        for queue in self._watches:
            queue.put_nowait(self._delta([entry]))
        return self._record.now()

    def _delta(self, hosts: list[dict[str, Any]]) -> dict[str, Any]:
        return {"seq": self.version, "whole": False, "hosts": hosts}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = urlsplit(head.split(b" ")[1].decode())
            query = parse_qs(target.query)
            if "stream" not in query:
                body = json.dumps(self.whole()).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(head + body)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            index = int(query.get("index", ["0"])[0])
            if index and not self._always_whole:
                missed = [entry for at, entry in self._changes if at > index]
                self._send(writer, self._delta(missed) if missed else None)
            else:
                self._send(writer, self.whole())
            self._watches.add(queue)
            while True:
                try:
                    update = await asyncio.wait_for(queue.get(), 2.0)
                except TimeoutError:
                    update = None
                self._send(writer, update)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._watches.discard(queue)
            writer.close()

    @staticmethod
    def _send(writer: asyncio.StreamWriter, update: dict[str, Any] | None) -> None:
        text = (json.dumps(update) if update else "").encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))


@dataclass(eq=False)
class Client:
    """One client's session, from its OPEN line to its end.

    Attributes:
        session_id: its id, new with every connection.
        proxy: the name of the proxy.
        wait_s: how long it waits for UP.
        sent_s: when the line was written whole, None if the proxy was not reached.
        answered_s: when the first line came.
        answer: that line, without its end.
        ended_s: when the connection ended.
        ending: how: "moved" by MOVE, "cut off" without, "left" by this client.
        lines: how many lines were answered after UP.
    """

    session_id: str
    proxy: str
    wait_s: float
    sent_s: float | None = None
    answered_s: float | None = None
    answer: str = ""
    ended_s: float | None = None
    ending: str = ""
    lines: int = 0

    @property
    def is_up(self) -> bool:
        """Whether a server's UP was passed on to it."""
        return self.answer.split(" ")[0] == "UP"


@dataclass(eq=False)
class Clients:
    """Opens sessions at a given rate, as clients behind a front do.

    Attributes:
        record: where sessions are written down.
        listeners: pairs of a listener's name and its dial timeout in s.
        life_s: how long a session stays open.
        everyone: all clients so far.
    """

    record: Record
    listeners: list[tuple[str, float]]
    life_s: float
    chance: random.Random = field(default_factory=lambda: random.Random(7))
    everyone: list[Client] = field(default_factory=list)
    _numbers: itertools.count[int] = field(default_factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def open(self, proxy: str, address: str) -> Client:
        """Open one session at a proxy."""
        name, wait_s = self.listeners[next(self._numbers) % len(self.listeners)]
        session_id = f"{self.chance.getrandbits(64):016x}"
        client = Client(session_id, proxy, wait_s)
        self.everyone.append(client)
        task = asyncio.create_task(self._play(client, name, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return client

    async def come(
        self, proxy: str, address: str, per_s: float, until_s: float
    ) -> None:
        """Open sessions at a steady rate until a time of the record."""
        due_s = self.record.now()
        while due_s < until_s:
            await asyncio.sleep(max(0.0, due_s - self.record.now()))
            self.open(proxy, address)
            due_s += 1 / per_s

    async def _play(self, client: Client, listener: str, address: str) -> None:
        host, port = address.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            client.ending = "not reached"
            return
        try:
            key, group = self.chance.getrandbits(64), self.chance.getrandbits(20)
            values = f"c={listener},d={client.wait_s * 1000:.0f},g=g{group:x}"
            line = f"OPEN {client.session_id} {key:016x} {values}"
            writer.write(line.encode() + b"\r\n")
            client.sent_s = self.record.now()
            self.record.write(f"to {client.proxy}: {line}")
            await self._wait_for_answer(client, reader)
            if client.is_up:
                await self._stay(client, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            client.ending = client.ending or "cut off"
        finally:
            client.ended_s = self.record.now()
            self.record.write(
                f"end of {client.session_id} at {client.proxy}:"
                f" {client.ending or 'answered'}"
            )
            writer.close()

    async def _wait_for_answer(
        self, client: Client, reader: asyncio.StreamReader
    ) -> None:
        limit_s = client.wait_s + ANSWER_SLACK_S
        try:
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), limit_s)
        except TimeoutError:
            client.ending = "never answered"
            return
        client.answered_s = self.record.now()
        client.answer = line.decode().strip()
        self.record.write(f"answer to {client.session_id}: {client.answer}")

    async def _stay(
        self,
        client: Client,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        leaves_s = self.record.now() + self.life_s * self.chance.uniform(0.5, 1.5)
        while self.record.now() < leaves_s:
            writer.write(b"line\r\n")
            pause = asyncio.create_task(asyncio.sleep(2.0))
            while not pause.done():
                read = asyncio.create_task(reader.readuntil(b"\r\n"))
                await asyncio.wait({read, pause}, return_when="FIRST_COMPLETED")
                if not read.done():
                    read.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        await read
                    break
                if read.result().strip() == b"MOVE":
                    client.ending = "moved"
                    pause.cancel()
                    return
                client.lines += 1
        client.ending = "left"


class Proxy:
    """One proxy process, started by the command `run` of the deploy file.

    Attributes:
        name: its name.
        address: where clients connect.
        process: the process.
        log: the path of its log.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        record: Record,
        *,
        address: str = "",
        part: str = "",
        **config: object,
    ) -> None:
        """Prepare a process; `part` tells the processes of one proxy apart."""
        self.name = name
        self.address = address or f"{HOST}:{free_port()}"
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{name}{part}.log"
        self._record = record
        self._path = folder / f"{name}{part}.json"
        self.config = {
            "name": name,
            "listen": self.address,
            "seed": f"{random.Random(name).getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **config,
        }

    def start(
        self, environment: dict[str, str] | None = None, fds: tuple[int, ...] = ()
    ) -> None:
        """Start a process, in the background."""
        self._path.write_text(json.dumps(self.config))
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                    "NODE_NAME": self.name,
                    "NODE_LISTEN": str(self.config["listen"]),
                    "NODE_DISCOVERY": str(self.config["discovery"]),
                    "NODE_CONFIG": str(self._path),
                    **(environment or {}),
                },
                pass_fds=fds,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        RUNNING.append(self.process)
        self._record.write(f"{self.name} starts, process {self.process.pid}")

    async def wait_until_ready(self, limit_s: float = 10.0) -> None:
        """Wait until it answers PING with PONG, as the front does."""
        until_s = self._record.now() + limit_s
        while self._record.now() < until_s:
            await asyncio.sleep(0.1)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                host, port = self.address.rsplit(":", 1)
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"PING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if answer == b"PONG\r\n":
                    self._record.write(f"{self.name} is ready")
                    return
        raise NotRunError(f"{self.name} was not ready in time")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None


RUNNING: list[subprocess.Popen[bytes]] = []


def free_port() -> int:
    """Return the number of a port that is free at the moment."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


async def call(address: str, method: str, target: str) -> tuple[int, str]:
    """Make one call at an operators' door; return the status and the body."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"{method} {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
    head, _, body = (await asyncio.wait_for(reader.read(), 3.0)).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split(b" ")[1]), body.decode()


def end_all() -> None:
    """End every process that was started here."""
    for process in RUNNING:
        if process.poll() is None:
            process.kill()
        process.wait()


Play = Callable[[Record, pathlib.Path, bool], Awaitable[bool]]


def _on_terminated(*_: object) -> None:
    end_all()
    os._exit(NOT_RUN)


async def _bounded(play: Play, record: Record, folder: str, trouble: bool) -> bool:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda *_: None)  # of stand-ins that are cancelled
    return await asyncio.wait_for(play(record, pathlib.Path(folder), trouble), 110)


def main(play: Play) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if held, 2 if not run.

    The first argument names the file of the record. `play` gets the record, a
    temporary folder and whether there is trouble, and returns whether the rule held.
    """
    signal.signal(signal.SIGTERM, _on_terminated)
    record = Record(pathlib.Path(sys.argv[1]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"played {'with' if trouble else 'without'} the disruption")
    code = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            try:
                held = asyncio.run(_bounded(play, record, folder, trouble))
                code = KEPT if held else BROKEN
            finally:
                end_all()
                for log in sorted(pathlib.Path(folder).glob("*.log")):
                    record.write(f"log of {log.stem}:")
                    for line in log.read_text(errors="replace").splitlines():
                        record.write("  " + line[:300])
    except NotRunError as error:
        record.say(f"the case could not run: {error}")
    except Exception:
        record.say("the case could not run:\n" + traceback.format_exc())
    record.say({KEPT: "rule kept", BROKEN: "RULE BROKEN", NOT_RUN: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)  # the stand-ins' connections need no orderly end
