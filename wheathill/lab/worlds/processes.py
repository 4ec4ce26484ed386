"""The processes world: as the sockets world, but each proxy is a `wheathill daemon FILE` with a folder, a file,
ports and a log of its own, that knows its peers; all that they say to one another passes the relay.

What is true is taken from outside: the lab knows which process runs, which stands still, and who can reach whom. What
an instance believes is asked over its control socket, to be judged against that. Children die with the lab, whatever
ends it, by the system's parent-death signal.
"""

import asyncio
import ctypes
import os
import random
import resource
import signal
import subprocess
import sys

import msgspec
import orjson

from wheathill.config.peer_tables import Peers as PeersTable
from wheathill.config.peer_tables import ZoneTable
from wheathill.lab.judging.mutated import program
from wheathill.lab.worlds.outside import Outside, parts_of
from wheathill.lab.worlds.relay import Relay
from wheathill.lab.worlds.sockets import LOOPBACK, SPARE_FILES, SocketSeat, SocketWorld
from wheathill.net.protocol_machine import ProtocolMachine

LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def dies_with_the_lab(sockets=None):
    """Called in the child before the program starts."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if sockets:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))


def toml(values, path=""):
    """Lines of a TOML document: plain keys first, then tables and arrays of tables."""
    tables = []
    for key, value in values.items():
        at = f"{path}.{key}" if path else key
        if isinstance(value, dict):
            tables.append((f"[{at}]", value, at))
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            tables += [(f"[[{at}]]", item, at) for item in value]
        elif value is not None:
            yield f"{key} = {orjson.dumps(value).decode()}"
    for head, value, at in tables:
        yield head
        yield from toml(value, at)


class ProcessSeat(SocketSeat):
    """The place of one instance: its folder stays when its process goes."""

    program = ("-m", "wheathill")

    def __init__(self, world, name, zone, values, log, file):
        super().__init__(world, name, zone, values, log)
        self.file = file
        self.folder = os.path.join(world.folder.name, name)
        os.mkdir(self.folder, 0o700)
        self.path = os.path.join(self.folder, "daemon.toml")
        self.paused = False
        self.burners = []
        self.began = 0.0  # by the loop's time
        self.asker = None
        self.view_asked = 0.0

    def write(self):
        values = msgspec.to_builtins(self.file)
        values["discovery"] = self.values["discovery"]
        values["seed"] = self.values["seed"]
        with open(self.path, "w") as out:
            out.write("\n".join(toml(values)) + "\n")

    def start(self):
        self.starts += 1
        self.began = self.world.loop.time()
        self.write()
        self.paused = False
        sockets = self.values["limits"]["sockets"] + SPARE_FILES + 16
        with open(os.path.join(self.folder, f"errors.{self.starts}"), "wb") as errors:
            self.process = subprocess.Popen(
                [sys.executable, *self.program, "daemon", self.path],
                stdout=subprocess.PIPE,
                stderr=errors,
                env={**os.environ, "TMPDIR": self.folder},
                preexec_fn=lambda: dies_with_the_lab(sockets),
            )
        os.set_blocking(self.process.stdout.fileno(), False)
        self.world.loop.add_reader(
            self.process.stdout.fileno(), self.read, self.process
        )
        self.world.await_listening(self, self.starts)

    def read(self, process):
        super().read(process)
        if not self.running:
            self.world.gone(self)

    def kill(self):
        super().kill()
        self.world.gone(self)

    def state(self):
        """The process's state as the system has it: R, S, T (stopped), ..., or None where there is none."""
        try:
            with open(f"/proc/{self.process.pid}/stat") as stat:
                return stat.read().rpartition(")")[2].split()[0]
        except (OSError, AttributeError):
            return None

    def waited_ms(self):
        """How long it has waited for a core while it could have run."""
        try:
            with open(f"/proc/{self.process.pid}/schedstat") as stat:
                return int(stat.read().split()[1]) / 1e6
        except (OSError, AttributeError):
            return 0.0

    def had_ms(self):
        """The time since its start, but for what it waited for a core: how slow the machine is just now is not its
        fault."""
        return (self.world.loop.time() - self.began) * 1000 - self.waited_ms()

    def cpu_s(self):
        """Processor time, user and system."""
        with open(f"/proc/{self.process.pid}/stat") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def pause(self):
        super().pause()
        self.paused = self.running

    def resume(self):
        super().resume()
        self.paused = False

    def starve(self, neighbours):
        """On one core, beside neighbours that never rest."""
        core = self.world.starved_core
        os.sched_setaffinity(self.process.pid, {core})
        for _ in range(neighbours):
            burner = subprocess.Popen(
                [sys.executable, "-c", "while True: pass"],
                preexec_fn=lambda: dies_with_the_lab(),
            )
            os.sched_setaffinity(burner.pid, {core})
            self.burners.append(burner)

    def feed(self):
        for burner in self.burners:
            burner.kill()
            burner.wait()
        self.burners = []
        if self.running:
            os.sched_setaffinity(self.process.pid, os.sched_getaffinity(0))

    def ask(self):
        """What it believes; one question at a time, as one that stands still answers none."""
        if self.running and self.asker is None:
            asker = Asker(self, self.world)
            try:
                self.world.carrier.connect_unix(self.folder, "control", asker.take)
            except OSError:
                return
            self.asker = asker


class Asker(ProtocolMachine):
    """One question at a control socket."""

    def __init__(self, seat, world):
        super().__init__(seat, world.carrier.limits, world.clock)
        self.seat, self.world = seat, world
        self.process = seat.process
        self.text = b""

    def take(self, wire):
        self.connection = wire
        return self

    def connected(self):
        self.set_timer(3000.0, self.over)
        self.connection.send(b"{}\n")

    def received(self, data, handles=()):
        self.text += data
        if self.text.endswith(b"\n"):
            found = orjson.loads(self.text)
            self.over()
            # What a process said that is gone says nothing of the next one.
            if self.seat.process is self.process:
                self.world.believes(self.seat, found)

    def lost(self, reset):
        self.over()

    def fault(self):
        self.over()

    def over(self):
        self.timer.cancel()
        self.connection.close()
        if self.seat.asker is self:
            self.seat.asker = None


class ProcessWorld(Outside, SocketWorld):
    name = "processes"
    opening = 1500.0
    START = 5000.0  # ms of its own that a process has until it listens

    def __init__(self, seed, network, limits, started=None):
        super().__init__(seed, network)
        self.clock.hold()
        from wheathill.lab.worlds.host import raise_fault
        from wheathill.net.transport import Transport

        self.carrier = Transport(self.loop, limits, raise_fault)
        self.ways = Relay(
            self.loop,
            self.carrier,
            self.clock,
            random.Random(f"{seed}/relay"),
            network["same"],
            network["jitter"],
        )
        self.program = started or ProcessSeat.program
        self.seed = seed
        self.key = self.key_file("key")
        self.starved_core = min(os.sched_getaffinity(0))
        self.peers = {}  # name -> (private, public)

    def key_file(self, name):
        path = os.path.join(self.folder.name, name)
        with open(
            path, "wb", opener=lambda path, flags: os.open(path, flags, 0o600)
        ) as out:
            out.write(random.Random(f"{self.seed}/{name}").randbytes(24).hex().encode())
        return path

    # Addresses

    def peers_of(self, name, names):
        """(private, public) of an instance, as (host, port) each. Private hosts differ by lab and instance."""
        if name not in self.peers:
            private = f"{LOOPBACK.rpartition('.')[0]}.{names.index(name) + 1}", 20_000
            self.peers[name] = private, (LOOPBACK, self.free_port())
            self.ways.end(name, *self.peers[name])
        return self.peers[name]

    def peers_table(self, name, zone_of, told, odd):
        names = list(zone_of)
        private, public = self.peers_of(name, names)

        def seeds_of(some):
            return [
                "%s:%d" % self.peers_of(other, names)[1] for other in some[: told.seeds]
            ]

        zones = (
            {
                "zone": zone_of[name],
                "zones": [
                    ZoneTable(zone, len(within), seeds_of(within))
                    for zone, within in parts_of(names, zone_of)
                ],
            }
            if told.zoned
            else {}
        )
        return PeersTable(
            cluster=odd and odd.cluster or "lab",
            listen="%s:%d" % private,
            advertise="%s:%d" % public,
            key_file=self.key_file(f"key of {name}") if odd and odd.key else self.key,
            name=odd and odd.claims,
            seeds=[] if told.zoned else seeds_of(names),
            roster=names if told.roster else [],
            **zones,
            control=os.path.join(self.folder.name, name, "control"),
            period_ms=told.period_ms,
            patience_ms=told.patience_ms,
        )

    def proxy(self, name, zone, values, log, file, odd=None):
        seat = self.seats[name] = ProcessSeat(self, name, zone, values, log, file)
        seat.program = (
            program("speaks-another-version") if odd and odd.version else self.program
        )
        return seat

    # Truth

    def await_listening(self, seat, start):
        """Its public address opens as soon as something listens at the private one."""
        if seat.starts != start or not seat.running or seat.name not in self.peers:
            return
        Finder(self, seat, start).begin()

    def starting(self):
        return {
            name: round(seat.had_ms())
            for name, seat in self.seats.items()
            if seat.running and name in self.peers and self.ways.ends[name].door is None
        }

    def gone(self, seat):
        if seat.name in self.peers:
            self.ways.ends[seat.name].listens(False)

    def settle(self):
        """A script's time counts from when all listen: how long so many processes take to start on a busy machine would
        else decide what its first faults meet, and whether there is any view yet."""
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(self.all_listen())
        except RuntimeError:
            raise self.fault or RuntimeError(
                "the loop was stopped while processes started"
            ) from None
        self.ways.sent.clear()
        self.clock.go()

    async def all_listen(self):
        while starting := self.starting():
            for name, had in starting.items():
                if had > self.START:
                    raise AssertionError(
                        f"{name} doesn't listen, {had} ms of its own time after its start"
                    )
            await asyncio.sleep(0.01)

    def run(self, seconds):
        if self.peers:
            self.watch()
        super().run(seconds)
        # Of those that have run from the start.
        lasting = [
            seat for seat in self.seats.values() if seat.running and seat.starts == 1
        ]
        if lasting:
            self.spent = {
                "cpu_share": round(
                    sum(seat.cpu_s() for seat in lasting) / len(lasting) / seconds, 4
                ),
                "memory_mb": round(max(seat.memory_mb() for seat in lasting), 1),
                "datagrams_s": self.datagrams_s(
                    [seat.name for seat in lasting], seconds
                ),
            }

    def close(self):
        for seat in self.seats.values():
            seat.feed()
        self.ways.close()
        super().close()


class Finder(ProtocolMachine):
    """Tries the private address of a process that has started until it takes streams."""

    EVERY = 10.0

    def __init__(self, world, seat, start):
        super().__init__(world, world.carrier.limits, world.clock)
        self.world, self.seat, self.start = world, seat, start

    def begin(self):
        self.connection = self.world.carrier.connect(
            self, self.world.peers[self.seat.name][0]
        )

    def connected(self):
        self.connection.abort()
        if self.seat.starts == self.start and self.seat.running:
            self.world.ways.ends[self.seat.name].listens(True)

    def lost(self, reset):
        if not self.connection.open:
            self.clock.after(
                self.EVERY, self.world.await_listening, self.seat, self.start
            )
