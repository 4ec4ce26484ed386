"""A whole proxy in the virtual world between clients, servers, discovery and operators that speak bytes.

Each connection's bytes are kept as they come, with the virtual time, so that a transcript is the same at each run.
Names of the program that these recordings need stand in the first part of this file alone.
"""

import json
import math
from collections.abc import Callable
from typing import Any

from golden_files import text_of
from wheathill.config.limits import ProxyLimits
from wheathill.lab.worlds.virtual import VirtualWorld

NETWORK = {"same": 1.0, "cross": 1.0, "client": 1.0, "jitter": 0.0, "hop": 0.0}
LIMITS = ProxyLimits(
    max_sockets=1000,
    connect_timeout_ms=100.0,
    max_dial_timeout_ms=1000.0,
    probe_idle_timeout_ms=1000.0,
)

# Adapters: one place for each name of the program that may change.


class RecordedProxy:
    """One proxy, n0, on its host; `log` holds (event, fields), `ended_ms` when its process was done."""

    def __init__(self, values: dict) -> None:
        self.ended_ms = math.inf
        self.world = VirtualWorld(1, NETWORK)
        self.log: list[tuple[str, dict]] = []
        self.seat = self.world.proxy(
            "n0", "x", values, lambda event, **fields: self.log.append((event, fields))
        )
        self.seat.calls = True

    def start(self) -> None:
        """Starts the process, which listens for clients and operators."""
        self.seat.start()

    def stop(self) -> None:
        """Tells the process to stop, as SIGTERM does."""
        self.seat.stop(self.on_ended)

    def on_ended(self) -> None:
        """Keeps when the process was done; the connections that it has left would be cut off."""
        self.ended_ms = self.now()

    def now(self) -> float:
        """Returns the virtual time in milliseconds."""
        return self.world.clock.time

    def run(self, wait_ms: float) -> None:
        """Lets virtual time pass."""
        self.world.clock.run(self.now() + wait_ms)

    def host(self, name: str) -> Any:
        """Returns another machine, at NAME.lab:9000."""
        return self.world.host(name, "x", LIMITS)

    def clients_address(self) -> tuple[str, int]:
        """Returns where clients connect."""
        return self.seat.where

    def operators_address(self) -> tuple[str, int]:
        """Returns where operators call."""
        return self.seat.admin

    def internal(self) -> Any:
        """Returns the proxy itself."""
        return self.seat.proxy


class End:
    """The far end of one connection; keeps what it receives. The program's calls have the names of its machines."""

    def __init__(self, scene: "Scene", name: str) -> None:
        self.scene, self.name, self.connection = scene, name, None

    def connected(self) -> None:
        """The connection is up."""

    def received(self, data: bytes) -> None:
        """Keeps bytes that the proxy sent."""
        text = text_of(bytes(data))
        self.scene.note(self.name, "gets", text)
        answer = self.scene.answer(text)
        if answer:
            self.send(answer)

    def ended(self) -> None:
        """Keeps that the proxy sends no more."""
        self.scene.note(self.name, "gets", "(end)")

    def lost(self, reset: bool) -> None:
        """Keeps that the connection is over."""
        self.scene.note(self.name, "gets", "(reset)" if reset else "(closed)")

    def blocked(self, on: bool) -> None:
        """Nothing here waits for that."""

    def fault(self) -> None:
        """A fault of this test."""
        raise AssertionError(self.name)

    def release(self) -> None:
        """Nothing here has to be given up."""

    def send(self, data: bytes | str) -> None:
        """Sends bytes to the proxy."""
        data = data.encode("latin-1") if isinstance(data, str) else data
        self.connection.send(data)

    def finish(self) -> None:
        """Ends sending."""
        self.connection.send_eof()

    def reset(self) -> None:
        """Breaks the connection."""
        self.connection.abort(reset=True)


# What stands around the proxy


class Scene:
    """`lines`: the transcript. Ends are named by who is there and a running number.

    `answer`: gives what is sent back at once for what has come, or nothing.
    """

    @staticmethod
    def no_answer(_text: str) -> str:
        """Sends nothing back."""
        return ""

    def __init__(
        self,
        names: tuple[str, ...] = ("a", "b"),
        known: bool = True,
        discovery: bool = False,
        **settings: Any,
    ) -> None:
        self.lines: list[str] = []
        self.answer: Callable[[str], str] = self.no_answer
        self.counts: dict[str, int] = {}
        self.accepted: dict[str, list[End]] = {}
        self.names, self.sequence = names, 0
        self.proxy = RecordedProxy(self.values(known, discovery, settings))
        for name in (*names, "disco"):
            self.listen(name)
        self.clients = self.proxy.host("clients")

    def values(self, known: bool, discovery: bool, settings: dict) -> dict:
        """Returns the platform's configuration."""
        return {
            "name": "n0",
            "seed": "5eed",
            "listen": "n0.lab:9000",
            "discovery": "disco.lab:9000" if discovery else False,
            "limits": {"sockets": 256},
            "known": self.list(*self.names) if known else {},
            "settings": {
                "listeners": [
                    {"name": "any", "repeat": "retryable", "dialTimeoutS": 2.0},
                    {"name": "once", "repeat": "fragile", "dialTimeoutS": 2.0},
                ],
                "limits": {"maxDials": 3, "retryAfter": True, "maxRetryAfterS": 1.0},
                "familyInfo": {"mode": "pass"},
                "dcs": ["x", "y"],
                "tenants": [{"name": "t"}],
                "obligations": {"drainGraceS": 0.5},
                **settings,
            },
        }

    def list(self, *names: str, whole: bool = True, **changed: Any) -> dict:
        """Returns a list of servers as discovery gives it, with the next version."""
        self.sequence += 1
        usual = {
            "site": "x",
            "class": "m",
            "block": 1,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }
        hosts = [
            {"host": name, "dial": f"{name}.lab:9000", **usual, **changed}
            for name in names
        ]
        return {"seq": self.sequence, "whole": whole, "hosts": hosts}

    def note(self, name: str, what: str, text: str) -> None:
        """Adds one line to the transcript."""
        self.lines.append(f"{self.proxy.now():.1f} {name} {what} {text}")

    def new_end(self, name: str) -> End:
        """Returns an end with the next number of that name."""
        self.counts[name] = self.counts.get(name, 0) + 1
        return End(self, f"{name}-{self.counts[name]}")

    def listen(self, name: str) -> None:
        """Takes the proxy's connections to that machine in."""
        host, ends = self.proxy.host(name), self.accepted.setdefault(name, [])

        def accept(wire: Any) -> End:
            end = self.new_end(name)
            end.connection = wire
            ends.append(end)
            self.note(end.name, "is", "connected")
            return end

        host.carrier.listen(accept, host.where, lambda: True)

    def connect(self, name: str, address: tuple[str, int]) -> End:
        """Returns the end of a new connection to the proxy."""
        end = self.new_end(name)
        end.connection = self.clients.carrier.connect(end, address)
        return end

    def client(self, data: str = "", then_ms: float = 20.0) -> End:
        """A client that connects and sends that, then lets time pass."""
        end = self.connect("client", self.proxy.clients_address())
        self.proxy.run(5.0)
        if data:
            end.send(data)
        self.proxy.run(then_ms)
        return end

    def open(
        self, number: int, values: str = "c=any,t=t,d=1500", then_ms: float = 20.0
    ) -> End:
        """A client that sends its line, with an id and a key of that number."""
        return self.client(f"OPEN id{number} key{number} {values}\r\n", then_ms)

    def server(self) -> End:
        """The server's end of the last dial."""
        ends = [end for name in self.names for end in self.accepted[name]]
        return (
            ends[-1] if len(ends) == 1 else max(ends, key=lambda end: self.order(end))
        )

    def order(self, end: End) -> int:
        """Returns where the transcript says that this end was connected."""
        return next(
            place
            for place, line in enumerate(self.lines)
            if line.endswith(f"{end.name} is connected")
        )

    def call(self, data: str) -> str:
        """One call at the operators' address, and the whole answer."""
        end = self.connect("operator", self.proxy.operators_address())
        self.proxy.run(5.0)
        before = len(self.lines)
        end.send(data)
        self.proxy.run(50.0)
        gets = f"{end.name} gets "
        parts = [
            line.partition(gets)[2] for line in self.lines[before:] if gets in line
        ]
        return "".join(parts)

    def tell(self, found: dict | str) -> None:
        """Discovery sends one chunk."""
        text = found if isinstance(found, str) else json.dumps(found) + "\n"
        self.accepted["disco"][-1].send(f"{len(text):x}\r\n{text}\r\n")
        self.proxy.run(20.0)

    def pass_time(self, seconds: int) -> None:
        """Lets time pass while discovery says once a second that nothing changes."""
        for _ in range(seconds):
            self.tell("\n")
            self.proxy.run(980.0)


def started(*names: str, wait_ms: float = 20.0, **settings: Any) -> Scene:
    """Returns a scene whose proxy has started and knows its servers."""
    scene = Scene(names or ("a", "b"), **settings)
    scene.proxy.start()
    scene.proxy.run(wait_ms)
    return scene
