"""Stand-ins for the cases of the second review: servers, discovery, clients, platform.

All of them run in the process of the case, on loopback addresses. The project's own
program runs as separate processes, started with the `run` command of the deploy file.
Everything that is sent, answered or told is noted in the case's record.txt.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The protocol page: each time limit is 50 ms longer on sockets.
SLACK_S = 0.05
# A case runs for 120 s at most; the rest is for ending its processes.
LONGEST_RUN_S = 100.0
HEARTBEAT_S = 2.0
CLIENT_LINE_S = 2.0
# After a break, a client comes again within this time (order-entry-pl: 51 to 1,800 ms).
RETURN_S = (0.051, 1.8)


class CannotRunError(Exception):
    """The case could not be played as intended, so it says nothing about the rule."""


def with_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port of the loopback address that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """The record of a run: one JSON line for each note, with the time in seconds."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="ascii")
        self._start = time.monotonic()
        self.notes: list[dict[str, Any]] = []

    def now(self) -> float:
        """Return the time since the start of the run."""
        return time.monotonic() - self._start

    def note(self, what: str, at: float | None = None, **fields: Any) -> None:  # noqa: ANN401
        """Note an event that happens now, or at the time `at`."""
        line = {"t": round(self.now() if at is None else at, 4), "what": what, **fields}
        self.notes.append(line)
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()

    def find(self, what: str, **fields: Any) -> list[dict[str, Any]]:  # noqa: ANN401
        """Return the notes of a kind with these fields."""
        return [
            note
            for note in self.notes
            if note["what"] == what
            and all(note.get(name) == value for name, value in fields.items())
        ]


class Server:
    """A sound server: it takes each session and answers each line and each probe.

    Attributes:
        up_after_s: how long it takes to set a session up.
        capacity: sessions that make a load of 1.
        held: connections of sessions that are up or being set up.
        bears: returns how many new sessions it bears in a second at a time, if that
            is limited; with more it falls over and stays down.
    """

    def __init__(
        self, name: str, record: Record, zone: str = "a", cell: int = 0
    ) -> None:
        self.name, self.zone, self.cell = name, zone, cell
        self.record = record
        self.port = free_port()
        self.up_after_s = 0.005
        self.capacity = 200.0
        self.held: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.bears: Callable[[float], float] | None = None
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for proxies."""
        self._listener = await asyncio.start_server(self._serve, HOST, self.port)

    def kill(self) -> None:
        """End as a killed process does: connections are reset, new ones refused."""
        if self._listener:
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            writer.transport.abort()
        self.held.clear()

    def _falls_over(self, at: float) -> bool:
        """Fall over if more sessions have come within the last second than it bears."""
        if self.bears is None:
            return False
        opens = self.record.find("open", server=self.name)
        count = sum(at - 1.0 < note["t"] <= at for note in opens)
        if count <= self.bears(at):
            return False
        self.record.note("fell over", server=self.name, count=count)
        self.kill()
        return True

    def entry(self, health: str = "ready", born_ms: float = 0) -> dict[str, Any]:
        """Return the server's entry of the list, in discovery's form."""
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": self.zone,
            "class": "m1",
            "block": self.cell,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }

    def report(self) -> bytes:
        """Return the load report of a probe's answer."""
        load = len(self.held) / self.capacity
        return (
            f"active={len(self.held)},waiting=0,cpu={load:.3f},x0={load:.3f}".encode()
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._talk(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.held.discard(writer)
            self._writers.discard(writer)
            writer.close()

    async def _talk(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        session = None
        while True:
            first = await reader.readexactly(1)
            at = self.record.now()
            line = (first + await reader.readuntil(b"\r\n")).rstrip(b"\r\n")
            if line == b"STATS":
                writer.write(b"PONG " + self.report() + b"\r\n")
            elif line == b"PING":
                writer.write(b"PONG\r\n")
            elif session is None:
                session = line.split(b" ")[1].decode()
                self.record.note("open", at, server=self.name, id=session)
                if self._falls_over(at):
                    return
                self.held.add(writer)
                await asyncio.sleep(self.up_after_s)
                writer.write(f"UP r-{self.name}-{session}\r\n".encode())
                self.record.note("up sent", server=self.name, id=session)
            else:
                writer.write(b"got " + line + b"\r\n")
            await writer.drain()


class Agent:
    """Discovery's agent of one proxy.

    Attributes:
        answers_whole: whether the first answer of a watch is the whole list; else it
            holds what has changed since the version that was asked for.
        is_silent: whether it takes connections and says nothing.
    """

    def __init__(self, record: Record, name: str = "agent") -> None:
        self.record, self.name = record, name
        self.port = free_port()
        self.seq = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.answers_whole = False
        self.is_silent = False
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._watches: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for the proxy."""
        self._listener = await asyncio.start_server(self._serve, HOST, self.port)

    def load(self, servers: list[Server], seq: int = 1) -> None:
        """Hold a list of ready servers."""
        self.seq = seq
        self.entries = {server.name: server.entry() for server in servers}

    def known(self) -> dict[str, Any]:
        """Return the whole list as it is now."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}

    def set(self, entry: dict[str, Any]) -> None:
        """Change an entry, and tell the open watches."""
        self.seq += 1
        if entry["health"] == "gone":
            self.entries.pop(entry["host"], None)
        else:
            self.entries[entry["host"]] = entry
        self._changes.append((self.seq, entry))
        for writer in list(self._watches):
            self._tell(writer, False, [entry])

    def reset_watches(self) -> None:
        """Reset the open watches."""
        self.record.note("watches reset", agent=self.name)
        for writer in list(self._watches):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
        self._watches.clear()

    def _tell(
        self, writer: asyncio.StreamWriter, whole: bool, hosts: list[dict[str, Any]]
    ) -> None:
        if self.is_silent:
            return
        body = json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}).encode()
        self._chunk(writer, body + b"\n")
        self.record.note(
            "told",
            agent=self.name,
            seq=self.seq,
            whole=whole,
            hosts={host["host"]: host["health"] for host in hosts},
        )

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, body: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(body), body))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            while self.is_silent:
                await asyncio.sleep(0.02)
            index = int(head.split(b"index=")[1].split(b" ")[0])
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            self._watches.add(writer)
            self._answer(writer, index)
            while True:
                await writer.drain()
                try:
                    if not await asyncio.wait_for(reader.read(1), HEARTBEAT_S):
                        return
                except TimeoutError:
                    if not self.is_silent:
                        self._chunk(writer, b"\n")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()

    def _answer(self, writer: asyncio.StreamWriter, index: int) -> None:
        if self.answers_whole or index == 0 or index > self.seq:
            self._tell(writer, True, list(self.entries.values()))
            return
        changed = [entry for seq, entry in self._changes if seq > index]
        if changed:
            self._tell(writer, False, changed)
        else:
            self._chunk(writer, b"\n")


class Proxy:
    """One process of the project's program.

    Args:
        stage: the case that it belongs to.
        name: the name of the process in the record and of its log.
    """

    def __init__(self, stage: "Stage", name: str) -> None:
        self.stage, self.name = stage, name
        self.admin_port = free_port()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it with the `run` command, in the environment of the platform."""
        stage = self.stage
        environ = {
            **os.environ,
            "NODE_NAME": "n1",
            "NODE_LISTEN": f"{HOST}:{stage.port}",
            "NODE_DISCOVERY": stage.config["discovery"],
            "NODE_CONFIG": str(stage.config_path),
            "NODE_ADMIN_ADDR": f"{HOST}:{self.admin_port}",
            "TMPDIR": str(stage.folder / "tmp"),
        }
        descriptors: tuple[int, ...] = ()
        if stage.listening is not None:
            environ["NODE_FD"] = str(stage.listening.fileno())
            descriptors = (stage.listening.fileno(),)
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        with (stage.folder / f"{self.name}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                deploy["run"],
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=log,
                pass_fds=descriptors,
            )
        stage.record.note("process started", proxy=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.stage.record.note("signal", proxy=self.name, signal=number.name)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait_until_ready(self, longest_s: float = 30.0) -> None:
        """Wait for the yes of GET /status; raises CannotRunError without it."""
        until = self.stage.record.now() + longest_s
        while self.stage.record.now() < until:
            with contextlib.suppress(OSError):
                if await self._status() == 200:
                    self.stage.record.note("ready", proxy=self.name)
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError(f"{self.name} was not ready in time")

    async def _status(self) -> int:
        return await self._call("GET", "/status")

    async def call(self, method: str, path: str) -> int:
        """Make a call at the operators' door, and note its answer."""
        status = await self._call(method, path)
        self.stage.record.note(
            "operator", proxy=self.name, call=f"{method} {path}", status=status
        )
        return status

    async def _call(self, method: str, path: str) -> int:
        reader, writer = await asyncio.open_connection(HOST, self.admin_port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 5.0)
            return int(line.split(b" ")[1]) if line else 0
        finally:
            writer.close()

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            if self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self.process.kill()
            await self.process.wait()


class Client:
    """A usual client: one session, with a line every 2 s once it is up.

    Attributes:
        answer: the first word that it was sent, "" if the connection ended before.
        server: the server that the receipt of its UP line names.
        end: how its session ended: "MOVE", "BYE", "cut off", or None while it is open.
    """

    def __init__(self, stage: "Stage", listener: str, values: str = "") -> None:
        self.stage, self.listener, self.values = stage, listener, values
        self.id = f"{stage.rng.getrandbits(64):016x}"
        self.answer: str | None = None
        self.server: str | None = None
        self.end: str | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def play(self) -> None:
        """Open the session, keep it, and note how it ended."""
        stage = self.stage
        try:
            reader, writer = await asyncio.open_connection(HOST, stage.port)
        except OSError:
            stage.record.note("client refused a connection", id=self.id)
            self.answer = ""
            return
        self._writer = writer
        try:
            await self._talk(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            self._on_end("")
        finally:
            writer.close()

    def drop(self) -> None:
        """Break the connection, as a client does whose way to the front has failed."""
        if self._writer is not None and self.end is None:
            self.end = "dropped"
            self._writer.transport.abort()

    async def _talk(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stage = self.stage
        limit_ms = stage.dial_timeouts_ms[self.listener]
        key = f"{stage.rng.getrandbits(64):016x}"
        line = f"OPEN {self.id} {key} c={self.listener},d={limit_ms}{self.values}\r\n"
        writer.write(line.encode())
        stage.record.note("client sent", id=self.id, line=line.rstrip())
        answer = await asyncio.wait_for(reader.readline(), limit_ms / 1000 + 1.0)
        words = answer.decode().split()
        self.answer = words[0] if words else ""
        stage.record.note("client got", id=self.id, line=answer.decode().rstrip())
        if self.answer != "UP":
            return
        self.server = words[1].split("-")[1]
        await self._keep(reader, writer)

    async def _keep(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        speaking = asyncio.create_task(self._speak(writer))
        last = ""
        try:
            while line := await reader.readline():
                last = line.decode().split()[0]
        finally:
            speaking.cancel()
        self._on_end(last)

    async def _speak(self, writer: asyncio.StreamWriter) -> None:
        number = 0
        while True:
            await asyncio.sleep(CLIENT_LINE_S)
            number += 1
            writer.write(b"line %d\r\n" % number)

    def _on_end(self, last: str) -> None:
        if self.stage.is_over or self.end is not None:
            return
        if self.answer is None:
            self.answer = ""
        self.end = last if last in ("MOVE", "BYE") else "cut off"
        self.stage.record.note(
            "session ended", id=self.id, server=self.server, how=self.end
        )
        self.stage.spawn(self._return())

    async def _return(self) -> None:
        await asyncio.sleep(self.stage.rng.uniform(*RETURN_S))
        if not self.stage.is_over and not self.stage.is_front_away:
            self.stage.open(self.listener, ",again=1")


class Stage:
    """One run of a case: its record, temporary folder, stand-ins and processes.

    Attributes:
        config: the configuration of the proxy, as the platform writes it.
        listening: the clients' listening socket, where the platform holds it.
        is_front_away: whether the front has noticed that the proxy ends; clients that
            come again then go to other proxies.
        is_over: whether the judgement was made; what ends from then on says nothing.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir()
        self.rng = random.Random(58)
        self.port = free_port()
        self.listening: socket.socket | None = None
        self.config: dict[str, Any] = {}
        self.config_path = self.folder / "config.json"
        self.dial_timeouts_ms: dict[str, int] = {}
        self.proxies: list[Proxy] = []
        self.servers: dict[str, Server] = {}
        self.clients: list[Client] = []
        self.is_over = False
        self.is_front_away = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def add_servers(self, names: str, **options: Any) -> list[Server]:  # noqa: ANN401
        """Start servers with these names."""
        added = [Server(name, self.record, **options) for name in names.split()]
        for server in added:
            await server.start()
            self.servers[server.name] = server
        return added

    def hold_listening_socket(self) -> None:
        """Listen for clients, as the platform does on days with upgrades."""
        self.listening = socket.create_server((HOST, self.port), backlog=512)

    def configure(self, settings: dict[str, Any], agent: Agent) -> None:
        """Write the configuration of the proxy."""
        self.config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{agent.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 2048},
            "known": agent.known(),
            "settings": settings,
        }
        self.dial_timeouts_ms = {
            listener["name"]: round(listener["dialTimeoutS"] * 1000)
            for listener in settings["listeners"]
        }
        self.write_config()

    def write_config(self) -> None:
        """Replace the file of the configuration."""
        path = self.config_path.with_suffix(".new")
        path.write_text(json.dumps(self.config))
        path.replace(self.config_path)

    async def start_proxy(self, name: str) -> Proxy:
        """Start a process of the proxy and wait until it is ready."""
        proxy = Proxy(self, name)
        self.proxies.append(proxy)
        await proxy.start()
        await proxy.wait_until_ready()
        return proxy

    def spawn(self, work: Awaitable[None]) -> None:
        """Run something in the background until the end of the case."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def open(self, listener: str, values: str = "") -> Client:
        """Let a client come."""
        client = Client(self, listener, values)
        self.clients.append(client)
        self.spawn(client.play())
        return client

    async def traffic(self, listener: str, a_second: float, values: str = "") -> None:
        """Let clients come at an even rate until the end of the case."""
        while not self.is_over:
            self.open(listener, values)
            await asyncio.sleep(1.0 / a_second)

    async def drop_and_return(self, share: float, within_s: float) -> None:
        """Let a share of the clients drop and come again, evenly within a time."""
        up = [each for each in self.clients if each.answer == "UP" and not each.end]
        dropped = up[: round(share * len(up))]
        self.record.note("clients drop", count=len(dropped), of=len(up))
        for client in dropped:
            client.drop()
        start = self.record.now()
        for number, client in enumerate(dropped):
            await self.until(start + within_s * (number + 1) / len(dropped))
            self.open(client.listener, ",again=1")

    async def until(self, at: float) -> None:
        """Wait until a time of the run."""
        await asyncio.sleep(max(0.0, at - self.record.now()))

    async def end(self) -> None:
        """End all processes, stand-ins and clients."""
        self.is_over = True
        for proxy in self.proxies:
            await proxy.end()
        for task in list(self._tasks):
            task.cancel()
        for server in self.servers.values():
            server.kill()
        if self.listening is not None:
            self.listening.close()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            target = pathlib.Path(os.environ["KEEP_LOGS"])
            target.mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob("*.log"):
                shutil.copy(log, target)
        shutil.rmtree(self.folder, ignore_errors=True)


def sends_to(stage: Stage, server: str, after: float, before: float) -> list[str]:
    """Return the sessions whose line came to a server within a time."""
    return [
        note["id"]
        for note in stage.record.find("open", server=server)
        if after < note["t"] < before
    ]


def cut_off(stage: Stage, server: str, after: float) -> int:
    """Return how many sessions of a server ended without BYE or MOVE since a time."""
    ends = stage.record.find("session ended", server=server, how="cut off")
    return sum(note["t"] > after for note in ends)


async def _run(folder: pathlib.Path, play: Callable[[Stage], Awaitable[str]]) -> int:
    stage = Stage(folder)
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        fault = await asyncio.wait_for(play(stage), LONGEST_RUN_S)
        stage.record.note("verdict", broken=bool(fault), why=fault)
        print(f"broken: {fault}" if fault else "held")
        return BROKEN if fault else HELD
    except (CannotRunError, OSError, TimeoutError, asyncio.CancelledError) as error:
        stage.record.note("verdict", broken=None, why=repr(error))
        print(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        await stage.end()


def main(play: Callable[[Stage], Awaitable[str]]) -> None:
    """Play a case and exit with its verdict.

    `play` returns what broke the rule, or "" if it held.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    sys.exit(asyncio.run(_run(folder, play)))
