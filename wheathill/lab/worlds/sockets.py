"""The sockets world: the same scene on free loopback ports, with proxies as processes of their own.

Distance is made by the stand-ins, which hold what comes and goes for as long as the network would: each
gateway listens at one address a proxy, so that it knows who dials. A machine that vanishes stops reading and
writing and lets its backlog fill, so that new connections never come up, as from a machine that is cut off.
"""

import asyncio
import json
import os
import random
import resource
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import time

from wheathill.lab.worlds.host import Host, raise_fault
from wheathill.lab.worlds.tap import Tap
from wheathill.net.clock import Clock
from wheathill.net.transport import Transport

FIRST_PORT, LAST_PORT = (
    20_000,
    32_000,
)  # below those that systems give to outgoing connections
# Of this lab alone: a stand-in that is down for a moment leaves its port, which another lab might take.
LOOPBACK = "127.%d.%d.254" % (os.getpid() // 250 % 250 + 2, os.getpid() % 250)
SPARE_FILES = 16  # a proxy's own, beside its sockets: the interpreter's and the loop's


class SharpSelector(selectors.EpollSelector):
    """Waits to the microsecond: epoll rounds up to a whole ms, which would be a tenth of a short latency, so
    the last part of a wait is spent looking again and again."""

    def select(self, timeout=None):
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        end = time.monotonic() + timeout
        while (left := end - time.monotonic()) > 0:
            found = super().select(left - 0.0015 if left > 0.002 else 0)
            if found:
                return found
        return super().select(0)


class LabClock(Clock):
    """Counts from the start of the run. While it is held it stands at 0, and alarms go off as if that were now."""

    def __init__(self, loop):
        self.held = False
        self.start = loop.time() * 1000
        super().__init__(loop)

    def hold(self):
        self.held = True

    def go(self):
        """The run starts now."""
        self.held = False
        self.start = self.loop.time() * 1000
        self.offset = self.now() - time.time() * 1000

    def now(self):
        return 0.0 if self.held else self.loop.time() * 1000 - self.start

    def at(self, when, call, *args):
        start = self.loop.time() * 1000 if self.held else self.start
        return self.loop.call_at((when + start) / 1000, call, *args)

    def put(self, when, call, args):
        return self.at(when, call, *args)

    @property
    def time(self):
        return self.now()


class Distance:
    """One way from a host to another, in ms; who is cut off from whom."""

    def __init__(self, chance, same, cross, client, jitter):
        self.expovariate = chance.expovariate
        self.same, self.cross, self.client, self.jitter = same, cross, client, jitter
        self.cuts = []

    def delay(self, one, other):
        base = (
            self.client
            if None in (one, other)
            else self.same
            if one == other
            else self.cross
        )
        return base * (1.0 + self.jitter * self.expovariate(1.0))


class FarTap(Tap):
    """A tap that is also the way to the peer: it takes time, and can be cut. `peer` is (name, zone) of a
    proxy, None on the lab's own ways, which take none."""

    def __init__(self, host, machine, wire, peer, distance):
        super().__init__(host, machine, wire)
        self.dialled = wire is None
        self.peer = peer
        self.distance = distance
        self.last_in = self.last_out = 0.0
        self.up_at = 0.0  # the system's own way there and back took no time
        self.waiting = []  # (inwards, call, args) that find no way
        self.gone = False
        host.taps[self] = None

    def delay(self):
        return (
            0.0
            if self.peer is None
            else self.distance.delay(self.host.zone, self.peer[1])
        )

    def blocked(self, on):
        self.host.gate(self.life, super().blocked, on)

    def cut_off(self, inwards):
        if self.host.silent:
            return True
        if self.peer is None or not self.distance.cuts:
            return False
        way = (
            (self.peer[0], self.host.name)
            if inwards
            else (self.host.name, self.peer[0])
        )
        return way in self.distance.cuts

    def pass_on(self, inwards, call, *args):
        if self.waiting or self.cut_off(inwards):
            self.waiting.append((inwards, call, args))
            return
        now = self.host.clock.now()
        wait = self.delay()
        # A microsecond later at the least: the loop does not keep the order of alarms of one time.
        last = self.last_in if inwards else self.last_out
        when = (
            max(last + 0.001, max(now, self.up_at) + wait)
            if wait or last > now
            else now
        )
        if inwards:
            self.last_in = when
        else:
            self.last_out = when
        if when <= now:
            self.arrive(inwards, call, args)
        else:
            self.host.world.clock.at(when, self.arrive, inwards, call, args)

    def arrive(self, inwards, call, args):
        if self.gone:
            # Its process is no more: the system answers for it.
            return self.connection.abort(reset=True) if inwards else None
        if inwards:
            self.host.gate(self.life, call, *args)
        else:
            call(*args)

    def mend(self):
        if self.host.silent:
            return
        waiting, self.waiting = self.waiting, []
        for inwards, call, args in waiting:
            self.pass_on(inwards, call, *args)

    def bury(self):
        """The host has started anew: the peer learns it as soon as it says something, or has said it."""
        self.gone = self.dead = True
        if any(inwards for inwards, *_ in self.waiting):
            self.connection.abort(reset=True)
        self.waiting = []

    # From the wire

    def connected(self):
        self.up_at = self.host.clock.now() + (1 if self.dialled else 2) * self.delay()
        self.pass_on(True, super().connected)

    def received(self, data):
        if self.gone:
            return self.connection.abort(reset=True)
        # What a cut holds is sent again when it heals, also by the system of one that has given it up.
        self.came = self.host.clock.now() if self.came is None else self.came
        self.pass_on(True, super().received, bytes(data))

    def ended(self):
        if self.gone:
            return self.connection.abort(reset=True)
        self.pass_on(True, super().ended)

    def lost(self, reset):
        self.host.taps.pop(self, None)
        if not self.gone:
            self.pass_on(True, super().lost, reset)


class Outwards:
    """The wire as the cuts see it: what they let go still has its way before it."""

    def __init__(self, tap, wire):
        self.tap, self.connection = tap, wire

    def __getattr__(self, name):
        return getattr(self.connection, name)

    def send(self, *parts):
        self.tap.pass_on(False, self.connection.send, *parts)

    def send_eof(self):
        self.tap.pass_on(False, self.connection.send_eof)

    def close_gracefully(self):
        self.tap.pass_on(False, self.connection.close_gracefully)


class SocketHost(Host):
    """A stand-in's machine, inside the lab's own process."""

    def __init__(self, world, name, zone, limits, peers):
        super().__init__(name, zone, world.clock)
        self.world = world
        self.carrier = Transport(world.loop, limits, raise_fault)
        self.taps = {}
        self.doors = []
        self.jams = []
        # One address a proxy that dials it, or a single one.
        self.addresses = {
            peer: (LOOPBACK, world.free_port()) for peer in peers or (None,)
        }

    @property
    def where(self):
        return next(iter(self.addresses.values()))

    def address(self, proxy=None):
        return "%s:%d" % next(
            (
                where
                for peer, where in self.addresses.items()
                if peer and peer[0] == proxy
            ),
            self.where,
        )

    def listen(self, take):
        for peer, where in self.addresses.items():
            self.doors.append(
                self.carrier.listen(
                    lambda wire, peer=peer: take(wire, peer), where, lambda: True
                )
            )

    def close_doors(self):
        doors, self.doors = self.doors, []
        for door in doors:
            door.close()
        for jam in self.jams:
            jam.close()
        self.jams = []

    def tap(self, machine, wire, peer=None):
        tap = FarTap(self, machine, wire, peer, self.world.distance)
        if wire is not None:
            tap.connection = Outwards(tap, wire)
        return tap

    def dial(self, machine, address, peer=None):
        tap = self.tap(machine, None, peer)
        tap.connection = Outwards(tap, self.carrier.connect(tap, address))

    def kill(self):
        self.close_doors()
        for tap in list(self.taps):
            tap.gone = True
            tap.connection.abort(reset=True)
        self.taps.clear()
        self.end()

    def vanish(self):
        self.silent = True
        for door in self.doors:
            # With a full backlog the system drops what asks for a connection, as if nobody were there.
            door.set_paused(True)
            door.sock.listen(0)
            for _ in range(3):
                jam = socket.socket()
                jam.setblocking(False)
                jam.connect_ex(door.sock.getsockname())
                self.jams.append(jam)

    def come_back(self, anew):
        if anew:
            self.close_doors()
            self.end()
            for tap in list(self.taps):
                tap.bury()
            self.taps.clear()
        self.begin()
        for tap in list(self.taps):
            tap.mend()


class SocketSeat:
    """The place of one proxy: a process with its configuration in a file."""

    def __init__(self, world, name, zone, values, log):
        self.world, self.name, self.zone, self.values, self.log = (
            world,
            name,
            zone,
            values,
            log,
        )
        host, _, port = values["listen"].rpartition(":")
        self.where = host, int(port)
        self.process = None
        self.starts = 0
        self.stopped = None
        self.rest = b""
        self.path = os.path.join(world.folder.name, f"{name}.json")

    @property
    def running(self):
        return self.process is not None

    def write(self):
        with open(self.path, "w") as out:
            json.dump(self.values, out)

    def start(self):
        self.starts += 1
        self.write()
        sockets = self.values["limits"]["sockets"] + SPARE_FILES
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wheathill"],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "NODE_CONFIG": self.path},
            preexec_fn=lambda: resource.setrlimit(
                resource.RLIMIT_NOFILE, (sockets, sockets)
            ),
        )
        os.set_blocking(self.process.stdout.fileno(), False)
        self.world.loop.add_reader(
            self.process.stdout.fileno(), self.read, self.process
        )

    def read(self, process):
        data = process.stdout.read(65536)
        if data:
            *lines, self.rest = (self.rest + data).split(b"\n")
            for line in lines:
                fields = json.loads(line)
                self.log(
                    fields.pop("event"),
                    **{
                        name: value
                        for name, value in fields.items()
                        if name not in ("node", "time")
                    },
                )
        elif data == b"":
            self.world.loop.remove_reader(process.stdout.fileno())
            process.stdout.close()
            code = process.wait()
            self.rest = b""
            if process is self.process:
                # It ended by itself: as it was told to, or not.
                self.process = None
                if self.stopped is not None:
                    stopped, self.stopped = self.stopped, None
                    self.world.told_to_end(self)
                    stopped()
                else:
                    self.world.crashed(self.name, code)

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                return next(
                    int(line.split()[1]) / 1024
                    for line in status
                    if line.startswith("VmHWM")
                )
        except (OSError, StopIteration, AttributeError):
            return None

    def kill(self):
        process, self.process = self.process, None
        self.stopped = None
        if process is not None:
            process.kill()
            process.wait()

    def stop(self, stopped):
        self.stopped = stopped
        self.process.send_signal(signal.SIGTERM)

    def reload(self):
        self.write()
        if self.running:
            self.process.send_signal(signal.SIGHUP)

    def pause(self):
        if self.running:
            self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        if self.running:
            self.process.send_signal(signal.SIGCONT)


class SocketWorld:
    """As VirtualWorld, in real time. `seed` decides what chance decides here; the machine adds its own."""

    name = "sockets"
    opening = 1000.0

    def __init__(self, seed, network):
        self.loop = asyncio.SelectorEventLoop(SharpSelector())
        self.loop.set_exception_handler(self.fail)
        self.clock = LabClock(self.loop)
        self.distance = Distance(random.Random(f"{seed}/network"), **network)
        self.folder = tempfile.TemporaryDirectory()
        self.next_port = FIRST_PORT + os.getpid() * 97 % (LAST_PORT - FIRST_PORT - 2000)
        self.hosts, self.seats, self.ports = {}, {}, {}
        self.fault = None
        self.spent = {}  # what each instance took, where it is found out
        self.record = None  # the scene's, for what only this world can see
        self.decisions = None
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))

    def free_port(self):
        while True:
            self.next_port += 1
            try:
                with socket.create_server((LOOPBACK, self.next_port)):
                    return self.next_port
            except OSError:
                if self.next_port >= LAST_PORT:
                    raise

    def fail(self, loop, context):
        """A fault in the lab itself ends the run."""
        self.fault = (
            self.fault or context.get("exception") or AssertionError(context["message"])
        )
        loop.stop()

    def wall(self):
        return time.time() * 1000

    def host(self, name, zone, limits, peers=None):
        host = self.hosts[name] = SocketHost(self, name, zone, limits, peers)
        return host

    def proxy_address(self, name):
        port = self.ports.setdefault(name, self.free_port())
        return f"{LOOPBACK}:{port}"

    def proxy(self, name, zone, values, log):
        seat = self.seats[name] = SocketSeat(self, name, zone, values, log)
        return seat

    def slack(self, script):
        """The rules' own 50 ms, and the way there and back."""
        net = script.network
        return 50.0 + 2 * max(net.same_ms, net.cross_ms, net.client_ms) * (
            1 + 8 * net.jitter
        )

    def cut(self, one, other, both):
        self.distance.cuts.append((one, other))
        if both:
            self.distance.cuts.append((other, one))

    def mend(self, one, other):
        self.distance.cuts = [
            cut for cut in self.distance.cuts if cut not in ((one, other), (other, one))
        ]
        for name in (one, other):
            for tap in list(self.hosts[name].taps) if name in self.hosts else ():
                tap.mend()

    def crashed(self, name, code):
        self.record.note("crashed", proxy=name, code=code)

    def told_to_end(self, seat):
        self.record.note("host", name=seat.name, state="ended")

    def sample(self):
        for name, seat in self.seats.items():
            memory = seat.memory_mb() if seat.running else None
            if memory is not None:
                self.record.add_sample(f"memory {name}", memory)
                if memory > seat.values["limits"]["memory_mb"]:
                    self.record.note("over memory", proxy=name, mb=round(memory, 1))

    def settle(self):
        pass  # `opening` is what the proxies have to start

    def run(self, seconds):
        asyncio.set_event_loop(self.loop)
        self.loop.call_at((seconds * 1000 + self.clock.start) / 1000, self.loop.stop)
        self.loop.run_forever()
        if self.fault:
            raise self.fault

    def close(self):
        for seat in self.seats.values():
            if seat.running:
                seat.kill()
        for host in self.hosts.values():
            host.close_doors()
        self.folder.cleanup()
        self.loop.close()
