"""The virtual world: simulated time, hosts and a network in memory, with the carrier and the clock that the
proxy knows. Nothing in it reads the machine's clock; all chance comes from the seed.

A connection follows what the driver on sockets does, byte stream by byte stream: bytes keep their order, a
reader that is held fills a window and then blocks its writer, an end and a reset are told as sockets tell
them.
"""

import random
from collections import deque
from dataclasses import replace
from heapq import heappop, heappush

from wheathill.config import node_of
from wheathill.lab.tap import Tap
from wheathill.net.driver import Guarded
from wheathill.net.operators import OperatorsDoor
from wheathill.net.proxy import Proxy
from wheathill.policy import Balancer

EPOCH = 1_700_000_000_000.0     # wall clock at the start, Unix time in ms: starts of servers are told by it


class Alarm(list):
    """[when, number, call, args]: compared as it stands in the heap, with no object beside it."""

    __slots__ = ()

    def cancel(self):
        self[2] = None


class VirtualClock:
    """Milliseconds since the start; alarms ring in order of time, those of one time in order of setting."""

    def __init__(self):
        self.time = 0.0
        self.alarms = []
        self.set = 0
        self.rung = 0

    def now(self):
        return self.time

    def from_wall(self, wall):
        return wall - EPOCH

    def at(self, when, call, *args):
        return self.put(when, call, args)

    def after(self, wait, call, *args):
        return self.put(self.time + wait, call, args)

    def soon(self, call, *args):
        return self.put(self.time, call, args)

    def put(self, when, call, args):
        self.set = number = self.set + 1
        alarm = Alarm((when if when > self.time else self.time, number, call, args))
        heappush(self.alarms, alarm)
        return alarm

    def run(self, until):
        alarms = self.alarms
        while alarms and alarms[0][0] <= until:
            self.time, _, call, args = heappop(alarms)
            if call is not None:
                self.rung += 1
                call(*args)
        self.time = until


class HostClock:
    """A host's view of the clock: alarms wait while it is paused, and are gone with the process that set
    them."""

    def __init__(self, host, clock):
        self.host = host
        self.clock = clock
        self.now = clock.now
        self.from_wall = clock.from_wall

    def at(self, when, call, *args):
        return self.clock.put(when, self.host.gate, (self.host.life, call, *args))

    def after(self, wait, call, *args):
        return self.clock.put(self.clock.time + wait, self.host.gate, (self.host.life, call, *args))

    def soon(self, call, *args):
        return self.clock.put(self.clock.time, self.host.gate, (self.host.life, call, *args))


class Host:
    """One machine with one process on it. `life` counts its processes: what an earlier one set or held is
    void. Silent: nothing goes out or comes in, and nobody is told."""

    def __init__(self, name, zone, clock):
        self.name = name
        self.zone = zone
        self.clock = HostClock(self, clock)
        self.life = 0
        self.alive = True
        self.paused = False
        self.silent = False
        self.deferred = []
        self.cuts = []          # faults that its next bytes meet (`tap`)

    def gate(self, life, call, *args):
        if life != self.life or not self.alive:
            return
        if self.paused:
            self.deferred.append((life, call, args))
        else:
            call(*args)

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False
        deferred, self.deferred = self.deferred, []
        for life, call, args in deferred:
            self.gate(life, call, *args)

    def end(self):
        """The process is gone."""
        self.alive = self.paused = False
        self.life += 1
        self.deferred = []

    def begin(self):
        self.alive = True
        self.silent = False


class VirtualHost(Host):
    def __init__(self, net, name, zone):
        super().__init__(name, zone, net.clock)
        self.net = net
        self.wires = {}
        self.doors = {}         # address -> Door
        self.posts = []         # to other processes of the same machine
        self.carrier = None

    @property
    def where(self):
        return f"{self.name}.lab", 9000

    def address(self, proxy=None):
        return "%s:%d" % self.where

    def listen(self, take):
        self.carrier.listen(lambda wire: take(wire, None), self.where, lambda: True)

    def tap(self, machine, wire, peer=None):
        return Tap(self, machine, wire)

    def dial(self, machine, address, peer=None):
        tap = self.tap(machine, None)
        tap.wire = self.carrier.connect(tap, address)

    def kill(self):
        """The system resets what the process held."""
        for wire in list(self.wires):
            wire.die()
        self.wires.clear()
        for door in list(self.doors.values()):
            door.close()
        for post in self.posts:
            post.close()
        self.end()

    def vanish(self):
        self.silent = True

    def come_back(self, anew):
        """What stood waiting for it arrives now. A new process knows none of the old one's connections and
        resets each as soon as something comes on it; until then they look open."""
        if anew:
            for wire in self.wires:
                wire.over = wire.gone = True
            self.wires.clear()
            for door in list(self.doors.values()):
                door.close()
            self.end()
        self.begin()
        self.net.heal()


class Door:
    """A listening address. Connections come up in the backlog and are taken in a few at a time."""

    def __init__(self, carrier, make_machine, address, room):
        self.carrier = carrier
        self.host = carrier.host
        self.make_machine = make_machine
        self.room = room
        self.address = address
        self.backlog = deque()
        self.due = False
        self.host.doors[address] = self
        self.host.net.doors[address] = self

    def came(self, wire):
        self.backlog.append(wire)
        self.look()

    def look(self, wait=0.0):
        if not self.due:
            self.due = True
            self.host.clock.after(wait, self.accept)

    def accept(self):
        self.due = False
        for _ in range(self.carrier.limits.accepts):
            if not self.backlog:
                return
            if not self.room():
                return self.look(self.carrier.limits.accept_pause)
            wire = self.backlog.popleft()
            if not wire.gone:
                wire.accepted(self.make_machine)
        if self.backlog:
            self.look()

    def close(self):
        self.host.doors.pop(self.address, None)
        if self.host.net.doors.get(self.address) is self:
            del self.host.net.doors[self.address]
        for wire in self.backlog:
            wire.die()


class VirtualCarrier:
    """What the driver's carrier is on sockets, for one process on one host."""

    def __init__(self, host, limits, log):
        self.host = host
        self.limits = limits
        self.log = log
        self.sockets = 0

    @property
    def free(self):
        return self.limits.sockets - self.limits.spare_sockets - self.sockets

    def listen(self, make_machine, address, room):
        return Door(self, make_machine, tuple(address), room)

    def connect(self, machine, address):
        wire = VirtualWire(self, machine)
        wire.count(True)
        self.host.net.transmit(wire, self.host, tuple(address), wire.host.net.syn, wire, tuple(address))
        return wire


class Network:
    """Who can reach whom, and how long it takes. `same`, `cross`: ms one way inside and between zones;
    `client`: to and from clients; `jitter`: a share of that, exponential; `hop`: what each delivery costs
    beside the way (the system, the loop, the program)."""

    def __init__(self, clock, chance, same, cross, client, jitter, hop):
        self.clock = clock
        self.expovariate = chance.expovariate
        self.same, self.cross, self.client, self.jitter, self.hop = same, cross, client, jitter, hop
        self.doors = {}
        self.hosts_by_address = {}
        self.cuts = []          # (from host name, to host name), each direction by itself
        self.ways = []          # worse ones: (name or zone, name or zone, ms longer, share lost)
        self.random = chance.random
        self.stalled = []       # what waits for a way: (wire, from, to, call, args)

    def delay(self, one, other):
        if one.zone is None or other.zone is None:
            base = self.client
        else:
            base = self.same if one.zone == other.zone else self.cross
        if self.ways:
            base += self.longer(one, other)
        if not self.jitter:
            return self.hop + base
        return self.hop + base * (1.0 + self.jitter * self.expovariate(1.0))

    RESEND = 200.0      # TCP's least retransmission time-out on Linux, ms; doubled each time (RFC 6298)

    def longer(self, one, other):
        """What is lost on the way is sent again until it arrives."""
        more = 0.0
        ends = (one.name, one.zone), (other.name, other.zone)
        for first, second, wait, lost in self.ways:
            if first in ends[0] and second in ends[1] or second in ends[0] and first in ends[1]:
                more += wait
                again = self.RESEND
                while lost and self.random() < lost and again < 60_000.0:
                    more, again = more + again, 2 * again
        return more

    def blocked(self, one, other):
        return one.silent or other.silent or self.cuts and (one.name, other.name) in self.cuts

    def transmit(self, wire, one, to, call, *args):
        """`to` is a host, or the address of one. Each direction of a wire keeps its order."""
        if isinstance(to, tuple):
            door = self.doors.get(to)
            other = door.host if door else self.hosts_by_address.get(to)
            if other is None:
                other = one
        else:
            other = to
        if wire.waiting or self.blocked(one, other):
            wire.waiting += 1
            self.stalled.append((wire, one, to, call, args))
            return
        when = self.clock.time + self.delay(one, other)
        if when < wire.last:
            when = wire.last
        wire.last = when
        self.clock.put(when, call, args)

    def heal(self):
        """TCP sends again what found no way: it arrives once there is one."""
        stalled, self.stalled = self.stalled, []
        for wire, *_ in stalled:
            wire.waiting = 0
        for wire, one, to, call, args in stalled:
            # What an earlier process had sent is not sent again, nor is a start that was given up.
            if not (wire.host is one and wire.life != one.life) and not (wire.gone and call == self.syn):
                self.transmit(wire, one, to, call, *args)

    def cut(self, one, other, both=True):
        self.cuts.append((one, other))
        if both:
            self.cuts.append((other, one))

    def mend(self, one, other):
        self.cuts = [cut for cut in self.cuts if cut not in ((one, other), (other, one))]
        self.heal()

    # The two steps of a connection's start

    def syn(self, wire, address):
        door = self.doors.get(address)
        if wire.gone:
            return
        if door is None or not door.host.alive:
            other = self.hosts_by_address.get(address) or wire.host
            return self.transmit(wire, other, wire.host, wire.refused)
        if len(door.backlog) >= door.carrier.limits.backlog:
            self.clock.after(1000.0, self.syn, wire, address)     # dropped; the system asks again
            return
        far = VirtualWire(door.carrier, None)
        far.peer, wire.peer = wire, far
        far.up = True
        door.host.wires[far] = None
        door.came(far)
        self.transmit(far, door.host, wire.host, wire.came_up)


class VirtualWire(Guarded):
    """One end of a connection, as `net.driver.Wire` is on sockets."""

    WINDOW = 262_144

    def __init__(self, carrier, machine):
        self.carrier = carrier
        self.host = carrier.host
        self.life = carrier.host.life
        self.machine = machine
        self.peer = None
        self.up = False             # the connection stands
        self.gone = False           # and no longer
        self.full = False
        self.finished = False
        self.ended = False
        self.parted = False
        self.over = False
        self.held = False
        self.copied = False         # another process is to have it
        self.counted = False
        self.inbox = deque()        # bytes, or None for the end, that were not read yet
        self.unsent = deque()
        self.on_way = 0             # bytes sent and not read by the peer
        self.last = 0.0             # when the last thing sent arrives
        self.waiting = 0            # things sent that found no way yet

    def count(self, on):
        self.carrier.sockets += on - self.counted
        self.counted = on

    # What arrives

    def came_up(self):
        self.host.gate(self.life, self.connected)

    def connected(self):
        if self.gone:
            return
        self.up = True
        self.host.wires[self] = None
        if self.over:
            return self.close()
        self.guard(self.machine.connected)

    def accepted(self, make_machine):
        self.machine = make_machine(self)
        self.count(True)
        self.guard(self.machine.connected)
        if self.inbox:
            self.host.clock.soon(self.read)

    def refused(self):
        self.host.gate(self.life, self.tell_refused)

    def tell_refused(self):
        if not self.gone:
            self.gone = True
            self.count(False)
            self.tell_lost(False)

    def arrive(self, data):
        if self.gone:
            return self.reset_peer()
        self.inbox.append(data)
        if self.machine is not None:
            self.host.gate(self.life, self.read)

    def read(self):
        while self.inbox and not self.held and not self.gone:
            data = self.inbox.popleft()
            if data is None:
                self.eof()
            else:
                peer = self.peer
                peer.on_way -= len(data)
                if peer.unsent:
                    self.host.net.transmit(self, self.host, peer.host, peer.pump)
                if not self.parted:
                    self.guard(self.machine.received, memoryview(data))

    def eof(self):
        if not self.ended and not self.parted:
            self.ended = True
            self.guard(self.machine.ended)
        self.ended = True
        if self.finished and not self.gone:
            self.close()
            if not self.over:
                self.host.clock.soon(self.tell_lost, False)

    def was_reset(self):
        self.host.gate(self.life, self.take_reset)

    def take_reset(self):
        if not self.gone:
            self.leave()
            if self.machine is not None:        # on its way to another process: that one is told
                self.tell_lost(True)

    def tell_lost(self, reset):
        if not self.over and not self.parted:
            self.over = True
            self.guard(self.machine.lost, reset)
        self.over = True

    # What is sent

    def send(self, *parts):
        if self.open and not self.finished:
            self.unsent.append(b"".join(parts))
            self.pump()

    def pump(self):
        if self.gone:
            return
        while self.unsent and (self.unsent[0] is None or self.on_way < self.WINDOW):
            data = self.unsent.popleft()
            if data is not None:
                room = self.WINDOW - self.on_way
                if len(data) > room:
                    self.unsent.appendleft(data[room:])
                    data = data[:room]
                self.on_way += len(data)
            self.host.net.transmit(self, self.host, self.peer.host, self.peer.arrive, data)
        full = bool(self.unsent)
        if full is not self.full:
            self.full = full
            if not self.over and not self.parted:
                self.guard(self.machine.blocked, full)

    def finish(self):
        if self.open and not self.finished:
            self.finished = True
            if self.ended:
                self.close()
                if not self.over:
                    self.host.clock.soon(self.tell_lost, False)
            else:
                self.unsent.append(None)
                self.pump()

    def part(self):
        if not self.open:
            return self.abort()
        self.hold(False)
        self.finish()
        self.parted = True
        if self.gone:
            return
        if self.carrier.free < self.carrier.limits.spare_sockets:
            return self.close()
        self.host.clock.after(self.carrier.limits.linger, self.close)

    def abort(self, reset=False):
        if self.over:
            return
        self.over = True
        if self.copied:
            self.machine = None
            return self.count(False)
        if not self.up:
            self.gone = True
            return self.count(False)
        self.close(reset)

    def close(self, reset=False):
        """Gone at this end; bytes that were not read, or that still come, make it a reset at the other."""
        if self.gone:
            return
        if reset or any(data for data in self.inbox):
            self.reset_peer()
        elif not self.finished or self.unsent:
            self.host.net.transmit(self, self.host, self.peer.host, self.peer.arrive, None)
        self.leave()

    def leave(self):
        self.gone = True
        self.inbox.clear()
        self.unsent.clear()
        self.host.wires.pop(self, None)
        self.count(False)

    def reset_peer(self):
        if self.peer is not None:
            self.host.net.transmit(self, self.host, self.peer.host, self.peer.was_reset)

    def die(self):
        """Its process is gone: no callback, only the reset."""
        if not self.gone:
            self.over = self.gone = True
            self.reset_peer()

    def hold(self, on):
        if self.open and not self.gone:
            self.held = on
            if not on and self.inbox:
                self.host.clock.soon(self.read)

    @property
    def quiet(self):
        return self.open and not self.gone and not self.finished and not self.ended and not self.full \
            and self.drained and not self.inbox

    def copy(self):
        self.copied = True
        self.carrier.sockets += 1
        return self

    @property
    def reached(self):
        return self.up

    @property
    def open(self):
        return self.up and not self.over and not self.parted

    @property
    def unread(self):
        return bool(self.inbox)

    @property
    def drained(self):
        return not self.gone and not self.unsent


class Seat:
    """The place of one proxy: its host, and whatever proxy runs on it at the time."""

    def __init__(self, world, name, zone, values, log):
        self.world, self.name, self.zone, self.values, self.log = world, name, zone, values, log
        self.host = VirtualHost(world.net, name, zone)
        world.net.hosts_by_address[self.host.where] = self.host
        self.where = self.host.where
        self.proxy = None
        self.starts = 0
        self.calls = False          # operators may call

    @property
    def admin(self):
        """Where operators call the process that runs now."""
        return self.where[0], 9600 + self.starts

    def open_to_operators(self, carrier):
        if self.calls:
            door = OperatorsDoor(self.proxy)
            carrier.listen(door.call, self.admin, door.room)

    @property
    def running(self):
        return self.proxy is not None

    def start(self):
        self.starts += 1
        node = node_of(self.values)
        self.host.begin()
        carrier = VirtualCarrier(self.host, node.limits, self.log)
        self.proxy = self.world.make_proxy(node, carrier, self.host.clock, self.log, self.world.decisions)
        carrier.listen(self.proxy.client, self.where, self.proxy.room)
        self.open_to_operators(carrier)
        self.proxy.start()

    def kill(self):
        self.host.kill()
        self.proxy = None

    def stop(self, stopped):
        self.proxy.stop(stopped)

    def reload(self):
        self.proxy.reload(node_of(self.values))

    def pause(self):
        self.host.pause()

    def resume(self):
        self.host.resume()


class HeldSeat(Seat):
    """Of a proxy whose clients' socket the platform holds: a second process may be started beside."""

    def __init__(self, world, name, zone, values, log):
        from wheathill.lab import beside
        super().__init__(world, name, zone, values, log)
        self.beside = beside
        self.door = beside.HeldDoor(world.net, name, zone, self.where, beside.PLATFORM)
        self.places = {}
        self.old = None             # (host, proxy) that was taken over from

    def start(self):
        from wheathill.handover.upgrade import Upgrade
        self.starts += 1
        node = replace(node_of(self.values), listen_fd=3, state="")
        self.host.begin()
        carrier = self.beside.ProcessCarrier(self.host, node.limits, self.log, self.door, self.places)
        self.proxy = self.world.make_proxy(node, carrier, self.host.clock, self.log, self.world.decisions)
        self.proxy.door = carrier.open_door(self.proxy.client, self.proxy.room)
        self.open_to_operators(carrier)
        Upgrade(self.proxy, carrier, self.host.clock, self.log).begin()

    def upgrade(self, longest):
        """A second process beside; at its yes the first is told to stop, and killed when it had its time."""
        self.old = self.host, self.proxy
        self.host = VirtualHost(self.world.net, self.name, self.zone)
        self.start()
        self.wait_for_yes(*self.old, longest)

    def wait_for_yes(self, host, proxy, longest):
        clock = self.world.clock
        if not self.running:
            return
        if not self.proxy.ready:
            return clock.after(20.0, self.wait_for_yes, host, proxy, longest)
        if host.alive:
            host.clock.soon(proxy.stop, host.kill)
            clock.after(longest + 700.0, host.kill)

    def kill(self):
        if self.old:
            self.old[0].kill()
        super().kill()


def raise_fault(event, **fields):
    """A stand-in's own fault ends the run: a lab that goes on wrongly proves nothing."""
    raise AssertionError(f"{event} in a stand-in: {fields}")


class VirtualWorld:
    """Hosts on one network, and the proxies on them. Gives the scene its clock, hosts and proxies."""

    name = "virtual"
    opening = 1000.0         # clients come from then on: the proxies have started

    def __init__(self, seed, network, decisions=Balancer, proxy=Proxy):
        self.clock = VirtualClock()
        self.net = Network(self.clock, random.Random(f"{seed}/network"), **network)
        self.decisions = decisions
        self.make_proxy = proxy

    def wall(self):
        return EPOCH + self.clock.time

    def host(self, name, zone, limits, peers=None):
        host = VirtualHost(self.net, name, zone)
        host.carrier = VirtualCarrier(host, limits, raise_fault)
        self.net.hosts_by_address[host.where] = host
        return host

    @staticmethod
    def proxy_address(name):
        return f"{name}.lab:9000"

    def proxy(self, name, zone, values, log, held=False):
        return (HeldSeat if held else Seat)(self, name, zone, values, log)

    def slack(self, script):
        """One way and back between the farthest, and the jitter that is seldom passed."""
        net = script.network
        # A way that a script makes worse delays what was sent in time: three losses in a row, if it loses.
        worse = max((2 * event.wait_ms + 7 * self.net.RESEND * (event.share > 0)
                     for event in script.event if event.do == "way"), default=0.0)
        return 5.0 + 2 * max(net.same_ms, net.cross_ms, net.client_ms) * (1 + 8 * net.jitter) + worse

    def cut(self, one, other, both):
        self.net.cut(one, other, both)

    def mend(self, one, other):
        self.net.mend(one, other)

    def worse(self, one, other, wait, lost):
        way = one, other, wait, lost
        self.net.ways.append(way)
        return lambda: self.net.ways.remove(way)

    def run(self, seconds):
        self.clock.run(seconds * 1000)

    def sample(self):
        pass        # what a process holds can't be seen here: it is no process

    def close(self):
        pass
