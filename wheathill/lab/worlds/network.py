"""A network in memory between hosts in simulated time, with the carrier that the proxy knows.

A connection follows what the driver on sockets does, byte stream by byte stream: bytes keep their order, a
reader that is held fills a window and then blocks its writer, an end and a reset are told as sockets tell
them.
"""

from collections import deque

from wheathill.lab.worlds.host import Host
from wheathill.lab.worlds.tap import Tap
from wheathill.lab.worlds.ways import Ways
from wheathill.net.fault_isolation import FaultIsolation


class VirtualHost(Host):
    def __init__(self, net, name, zone):
        super().__init__(name, zone, net.clock)
        self.net = net
        self.wires = {}
        self.doors = {}  # address -> Door
        self.posts = []  # to other processes of the same machine
        self.carrier = None

    @property
    def where(self):
        return f"{self.name}.lab", 9000

    def address(self, proxy=None):
        return "%s:%d" % self.where

    def listen(self, take):
        self.carrier.listen(lambda wire: take(wire, None), self.where, lambda: True)

    def tap(self, machine, wire, peer=None):
        return VirtualTap(self, machine, wire)

    def dial(self, machine, address, peer=None):
        tap = self.tap(machine, None)
        tap.connection = self.carrier.connect(tap, address)

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


class VirtualTap(Tap):
    @property
    def came(self):
        return self.connection.left


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

    @property
    def waiting(self):
        return bool(self.backlog)

    def came(self, wire):
        self.backlog.append(wire)
        self.look()

    def look(self, wait=0.0):
        if not self.due:
            self.due = True
            self.host.clock.after(wait, self.accept)

    def accept(self):
        self.due = False
        for _ in range(self.carrier.limits.accept_batch_size):
            if not self.backlog:
                return
            if not self.room():
                return self.look(self.carrier.limits.accept_pause_ms)
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
        self.closing_connections = {}

    @property
    def free(self):
        return self.limits.max_sockets - self.limits.reserved_sockets - self.sockets

    def listen(self, make_machine, address, room):
        return Door(self, make_machine, tuple(address), room)

    def connect(self, machine, address, source=None):
        wire = VirtualWire(self, machine)
        wire.count(True)
        self.host.net.transmit(
            wire, self.host, tuple(address), wire.host.net.syn, wire, tuple(address)
        )
        return wire

    def bind_datagram_socket(self, machine, address):
        return VirtualDatagrams(self, machine, tuple(address))


class VirtualDatagrams(FaultIsolation):
    """What the driver's is on sockets: of one process, on its host's only address for datagrams."""

    def __init__(self, carrier, machine, address):
        self.transport, self.machine, self.address = carrier, machine, address
        self.host, self.life = carrier.host, carrier.host.life
        self.host.net.mail[self.host.name] = self
        self.host.net.hosts_by_address[address] = self.host

    def send(self, data, address):
        other = self.host.net.hosts_by_address.get(tuple(address))
        if other is not None and not self.host.silent:
            self.host.net.links.pass_on(self.host.name, other.name, bytes(data))

    def close(self):
        if self.host.net.mail.get(self.host.name) is self:
            del self.host.net.mail[self.host.name]


class Links(Ways):
    """Between instances: datagrams in memory; streams ask here what befalls them."""

    def __init__(self, net, chance, usual, jitter):
        super().__init__(net.clock, chance, usual, jitter)
        self.net = net
        self.addresses = {}  # name -> where its datagrams come from, also when it is gone

    def arrive(self, one, other, data):
        end = self.net.mail.get(other)
        if end is not None and not end.host.silent:
            end.host.gate(
                end.life, end.guard, end.machine.received, data, self.addresses[one]
            )

    def changed(self):
        self.net.heal()


class Network:
    """Who can reach whom, and how long it takes. `same`, `cross`: ms one way inside and between zones;
    `client`: to and from clients; `jitter`: a share of that, exponential; `hop`: what each delivery costs
    beside the way (the system, the loop, the program)."""

    def __init__(self, clock, chance, same, cross, client, jitter, hop):
        self.clock = clock
        self.expovariate = chance.expovariate
        self.same, self.cross, self.client, self.jitter, self.hop = (
            same,
            cross,
            client,
            jitter,
            hop,
        )
        self.doors = {}
        self.hosts_by_address = {}
        self.cuts = []  # (from host name, to host name), each direction by itself
        self.ways = []  # worse ones: (name or zone, name or zone, ms longer, share lost)
        self.random = chance.random
        self.stalled = []  # what waits for a way: (wire, from, to, call, args)
        self.links = None  # between instances that know one another
        self.mail = {}  # host name -> VirtualDatagrams

    def delay(self, one, other, resend):
        """`resend`: ms after which what is lost goes again for the first time."""
        if one.zone is None or other.zone is None:
            base = self.client
        else:
            base = self.same if one.zone == other.zone else self.cross
        if self.ways:
            base += self.longer(one, other, resend)
        if (
            self.links is not None
            and (way := self.links.ways.get((one.name, other.name))) is not None
        ):
            base += way.wait_ms + self.sent_again(way.loss, resend)
        if not self.jitter:
            return self.hop + base
        return self.hop + base * (1.0 + self.jitter * self.expovariate(1.0))

    # TCP's retransmission time-outs, ms, doubled each time (RFC 6298): the least one on Linux, and that of a connection's first
    # segment and its answer, of whose way nothing is known.
    RESEND, FIRST_AGAIN = 200.0, 1000.0
    FIRST = dict.fromkeys(("syn", "came_up", "turned_away"))

    def longer(self, one, other, resend):
        """What is lost on the way is sent again until it arrives."""
        more = 0.0
        ends = (one.name, one.zone), (other.name, other.zone)
        for first, second, wait, lost in self.ways:
            if (
                first in ends[0]
                and second in ends[1]
                or second in ends[0]
                and first in ends[1]
            ):
                more += wait + self.sent_again(lost, resend)
        return more

    def sent_again(self, lost, resend):
        more, again = 0.0, resend
        while lost and self.random() < lost and again < 60_000.0:
            more, again = more + again, 2 * again
        return more

    def blocked(self, one, other):
        if (
            one.silent
            or other.silent
            or self.cuts
            and (one.name, other.name) in self.cuts
        ):
            return True
        way = self.links and self.links.ways.get((one.name, other.name))
        if way and way.cuts:
            way.seen["stream held"] += 1
        return bool(way and way.cuts)

    def befall(self, wire, data):
        """What of a stream's bytes may be sent; it crawls, is reset or stands half open as its way says."""
        way = self.links and self.links.ways.get((wire.host.name, wire.peer.host.name))
        if not way or data is None:
            return data
        if way.crawl:
            way.seen["crawled"] += 1
            wire.last = max(wire.last, self.clock.time) + len(data) * 1000 / way.crawl
        if wire.passed < 0:
            return None  # half open: nothing passes any more
        if way.then and wire.passed + len(data) >= way.after:
            data, wire.passed = data[: way.after - wire.passed], -1
            way.seen["stream " + way.then] += 1
            if way.then == "reset":
                wire.reset_peer()
                wire.was_reset()
        elif way.then:
            wire.passed += len(data)
        return data

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
            if wire.peer is not None and wire.peer.left is None:
                wire.peer.left = self.clock.time
            self.stalled.append((wire, one, to, call, args))
            return
        resend = self.FIRST_AGAIN if call.__name__ in self.FIRST else self.RESEND
        when = self.clock.time + self.delay(one, other, resend)
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
            if not (wire.host is one and wire.life != one.life) and not (
                wire.gone and call == self.syn
            ):
                self.transmit(wire, one, to, call, *args)

    def cut(self, one, other, both=True):
        self.cuts.append((one, other))
        if both:
            self.cuts.append((other, one))

    def mend(self, one, other):
        self.cuts = [
            cut for cut in self.cuts if cut not in ((one, other), (other, one))
        ]
        self.heal()

    # The two steps of a connection's start

    def syn(self, wire, address):
        door = self.doors.get(address)
        if wire.gone:
            return
        if door is None or not door.host.alive:
            other = self.hosts_by_address.get(address) or wire.host
            return self.transmit(wire, other, wire.host, wire.turned_away)
        if len(door.backlog) >= door.carrier.limits.listen_backlog:
            self.clock.after(
                1000.0, self.syn, wire, address
            )  # dropped; the system asks again
            return
        far = VirtualWire(door.carrier, None)
        far.peer, wire.peer = wire, far
        far.up = True
        door.host.wires[far] = None
        door.came(far)
        self.transmit(far, door.host, wire.host, wire.came_up)


class VirtualWire(FaultIsolation):
    """One end of a connection, as `net.connection.Connection` is on sockets."""

    WINDOW = 262_144

    def __init__(self, carrier, machine):
        self.transport = carrier
        self.host = carrier.host
        self.life = carrier.host.life
        self.machine = machine
        self.peer = None
        self.up = False  # the connection stands
        self.gone = False  # and no longer
        self.is_write_blocked = False
        self.finished = False
        self.ended = False
        self.is_closing = False
        self.over = False
        self.held = False
        self.copied = False  # another process is to have it
        self.holds_descriptor = False
        self.refused = False
        self.inbox = deque()  # bytes, or None for the end, that were not read yet
        self.unsent = deque()
        self.on_way = 0  # bytes sent and not read by the peer
        self.last = 0.0  # when the last thing sent arrives
        self.came = 0.0  # when the last bytes came
        self.left = None  # when the first that found no way left the peer
        self.passed = (
            0  # bytes that a way which cuts streams off has let pass; -1: none any more
        )
        self.waiting = 0  # things sent that found no way yet

    def count(self, on):
        self.transport.sockets += on - self.holds_descriptor
        self.holds_descriptor = on

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

    def turned_away(self):
        self.host.gate(self.life, self.tell_refused)

    def tell_refused(self):
        if not self.gone:
            self.gone = self.refused = True
            self.count(False)
            self.tell_lost(False)

    def arrive(self, data):
        if self.gone:
            return self.reset_peer()
        self.came = self.host.net.clock.time
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
                if not self.is_closing:
                    self.guard(self.machine.received, memoryview(data))

    def eof(self):
        if not self.ended and not self.is_closing:
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
            if (
                self.machine is not None
            ):  # on its way to another process: that one is told
                self.tell_lost(True)

    def tell_lost(self, reset):
        if not self.over and not self.is_closing:
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
                if self.host.net.links is not None:
                    data = self.host.net.befall(self, data)
                    if not data:
                        continue
            self.host.net.transmit(
                self, self.host, self.peer.host, self.peer.arrive, data
            )
        full = bool(self.unsent)
        if full is not self.is_write_blocked:
            self.is_write_blocked = full
            if not self.over and not self.is_closing:
                self.guard(self.machine.blocked, full)

    def send_eof(self):
        if self.open and not self.finished:
            self.finished = True
            if self.ended:
                self.close()
                if not self.over:
                    self.host.clock.soon(self.tell_lost, False)
            else:
                self.unsent.append(None)
                self.pump()

    def close_gracefully(self):
        if not self.open:
            return self.abort()
        self.set_paused(False)
        self.send_eof()
        self.is_closing = True
        if self.gone:
            return
        if self.transport.free < self.transport.limits.reserved_sockets:
            return self.close()
        self.transport.closing_connections[self] = None
        self.host.clock.after(self.transport.limits.linger_ms, self.close)

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
            self.host.net.transmit(
                self, self.host, self.peer.host, self.peer.arrive, None
            )
        self.leave()

    def leave(self):
        self.gone = True
        self.inbox.clear()
        self.unsent.clear()
        self.host.wires.pop(self, None)
        self.transport.closing_connections.pop(self, None)
        self.count(False)

    def reset_peer(self):
        if self.peer is not None:
            self.host.net.transmit(self, self.host, self.peer.host, self.peer.was_reset)

    def die(self):
        """Its process is gone: no callback, only the reset."""
        if not self.gone:
            self.over = self.gone = True
            self.reset_peer()

    def set_paused(self, on):
        if self.open and not self.gone:
            self.held = on
            if not on and self.inbox:
                self.host.clock.soon(self.read)

    @property
    def quiet(self):
        return (
            self.open
            and not self.gone
            and not self.finished
            and not self.ended
            and not self.is_write_blocked
            and self.drained
            and not self.inbox
        )

    def duplicate(self):
        self.copied = True
        self.transport.sockets += 1
        return self

    @property
    def was_established(self):
        return self.up

    @property
    def open(self):
        return self.up and not self.over and not self.is_closing

    @property
    def ms_since_receive(self):
        """ms since the last bytes came, read or not."""
        return self.transport.host.clock.now() - self.came

    @property
    def has_unread_bytes(self):
        return bool(self.inbox)

    @property
    def unsent_bytes(self):
        return sum(len(data) for data in self.unsent if data)

    @property
    def drained(self):
        return not self.gone and not self.unsent
