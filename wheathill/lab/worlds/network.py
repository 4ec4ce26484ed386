"""An in-memory network between simulated hosts, with the transport interface that the proxy uses.

A connection behaves as one on sockets does: bytes keep their order, a paused reader lets the receive window
fill and then blocks its writer, and an end of stream and a reset are reported as sockets report them.
"""

from collections import deque

from wheathill.lab.worlds.host import Host
from wheathill.lab.worlds.tap import Tap
from wheathill.lab.worlds.ways import Ways
from wheathill.net.fault_isolation import FaultIsolation


class VirtualHost(Host):
    """A host on the simulated network."""

    def __init__(self, net, name, zone):
        super().__init__(name, zone, net.clock)
        self.net = net
        self.wires = {}
        self.doors = {}  # address -> Door
        self.posts = []  # Unix connections to other processes of the same machine
        self.carrier = None

    @property
    def where(self):
        """The address that this host listens on."""
        return f"{self.name}.lab", 9000

    def address(self, proxy=None):
        """Return the address that is given to proxies."""
        return "%s:%d" % self.where

    def listen(self, take):
        """Accept connections; `take` is called with each one."""
        self.carrier.listen(lambda wire: take(wire, None), self.where, lambda: True)

    def tap(self, machine, wire, peer=None):
        """Return a tap between a connection and its state machine."""
        return VirtualTap(self, machine, wire)

    def dial(self, machine, address, peer=None):
        """Connect a state machine to an address."""
        tap = self.tap(machine, None)
        tap.connection = self.carrier.connect(tap, address)

    def kill(self):
        """End the process; the operating system resets its connections."""
        for wire in list(self.wires):
            wire.die()
        self.wires.clear()
        for door in list(self.doors.values()):
            door.close()
        for post in self.posts:
            post.close()
        self.end()

    def vanish(self):
        """Drop all traffic to and from this host, without notice to any peer."""
        self.silent = True

    def come_back(self, anew):
        """Make the host reachable again, and deliver what was stalled.

        A new process knows none of the old one's connections and resets each as soon as data arrives on it;
        until then they look open to the peer.
        """
        if anew:
            for wire in self.wires:
                wire.over = wire.gone = True
            self.wires.clear()
            for door in list(self.doors.values()):
                door.close()
            self.end()
        self.begin()
        self.net.retransmit_stalled()


class VirtualTap(Tap):
    """Fault injection on a simulated connection."""

    @property
    def came(self):
        """When the peer sent the first segment that stalled, if any did."""
        return self.connection.left


class Door:
    """A listening socket. New connections enter the backlog and are accepted a few at a time."""

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
        """Whether connections are in the backlog."""
        return bool(self.backlog)

    def came(self, wire):
        """Add a new connection to the backlog."""
        self.backlog.append(wire)
        self.look()

    def look(self, wait=0.0):
        """Schedule an accept after a delay in ms, unless one is due."""
        if not self.due:
            self.due = True
            self.host.clock.after(wait, self.accept)

    def accept(self):
        """Accept a batch of connections, and schedule the next one if some are left."""
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
        """Stop listening, and reset the connections in the backlog."""
        self.host.doors.pop(self.address, None)
        if self.host.net.doors.get(self.address) is self:
            del self.host.net.doors[self.address]
        for wire in self.backlog:
            wire.die()


class VirtualCarrier:
    """The transport of one process on one host, as `net.transport.Transport` is on sockets."""

    def __init__(self, host, limits, log):
        self.host = host
        self.limits = limits
        self.log = log
        self.sockets = 0
        self.closing_connections = {}

    @property
    def free(self):
        """The number of descriptors left beside the reserved ones."""
        return self.limits.max_sockets - self.limits.reserved_sockets - self.sockets

    def listen(self, make_machine, address, room):
        """Listen at an address."""
        return Door(self, make_machine, tuple(address), room)

    def connect(self, machine, address, source=None):
        """Start a connection; its outcome is reported to the state machine."""
        wire = VirtualWire(self, machine)
        wire.count(True)
        self.host.net.transmit(
            wire, self.host, tuple(address), wire.host.net.syn, wire, tuple(address)
        )
        return wire

    def bind_datagram_socket(self, machine, address):
        """Return a datagram socket bound to an address."""
        return VirtualDatagrams(self, machine, tuple(address))


class VirtualDatagrams(FaultIsolation):
    """The datagram socket of one process; a host has only one address for datagrams."""

    def __init__(self, carrier, machine, address):
        self.transport, self.machine, self.address = carrier, machine, address
        self.host, self.life = carrier.host, carrier.host.life
        self.host.net.mail[self.host.name] = self
        self.host.net.hosts_by_address[address] = self.host

    def send(self, data, address):
        """Send a datagram; it is dropped if nobody has the address."""
        other = self.host.net.hosts_by_address.get(tuple(address))
        if other is not None and not self.host.silent:
            self.host.net.links.pass_on(self.host.name, other.name, bytes(data))

    def close(self):
        """Close the socket."""
        if self.host.net.mail.get(self.host.name) is self:
            del self.host.net.mail[self.host.name]


class Links(Ways):
    """The links between instances: delivers datagrams, and holds the faults that streams meet."""

    def __init__(self, net, chance, usual, jitter):
        super().__init__(net.clock, chance, usual, jitter)
        self.net = net
        self.addresses = {}  # name -> source address of its datagrams, kept after its process ended

    def arrive(self, one, other, data):
        """Deliver a datagram to its destination, if that still has a socket."""
        end = self.net.mail.get(other)
        if end is not None and not end.host.silent:
            end.host.gate(
                end.life, end.guard, end.machine.received, data, self.addresses[one]
            )

    def changed(self):
        """Retransmit stalled segments after a fault began or ended."""
        self.net.retransmit_stalled()


class Network:
    """The reachability and latency between hosts.

    Args:
        clock: the simulated clock.
        chance: the random generator.
        same: one-way latency within a zone, in ms.
        cross: one-way latency between zones, in ms.
        client: one-way latency to and from clients, in ms.
        jitter: mean of the exponential jitter, as a fraction of the latency.
        hop: processing cost of each delivery (kernel, event loop, program), in ms.
    """

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
        self.cuts = []  # (from host name, to host name), one entry per direction
        self.ways = []  # degraded paths: (name or zone, name or zone, extra ms, loss rate)
        self.random = chance.random
        self.stalled = []  # segments without a path: (wire, from, to, call, args)
        self.links = None  # between instances that are peers
        self.mail = {}  # host name -> VirtualDatagrams

    def delay(self, one, other, resend):
        """Return the one-way delay in ms; `resend` is the initial retransmission time-out in ms."""
        if one.zone is None or other.zone is None:
            base = self.client
        else:
            base = self.same if one.zone == other.zone else self.cross
        if self.ways:
            base += self.extra_delay(one, other, resend)
        if (
            self.links is not None
            and (way := self.links.ways.get((one.name, other.name))) is not None
        ):
            base += way.wait_ms + self.retransmission_delay(way.loss, resend)
        if not self.jitter:
            return self.hop + base
        return self.hop + base * (1.0 + self.jitter * self.expovariate(1.0))

    # TCP retransmission time-outs in ms, doubled each time (RFC 6298): the minimum on Linux, and the initial one, which
    # holds for SYN and its answer, as no round trip has been measured yet.
    RESEND, INITIAL_RESEND = 200.0, 1000.0
    HANDSHAKE_STEPS = dict.fromkeys(("syn", "came_up", "on_refused"))

    def extra_delay(self, one, other, resend):
        """Return the extra delay of degraded paths in ms; lost segments are retransmitted until they arrive."""
        more = 0.0
        ends = (one.name, one.zone), (other.name, other.zone)
        for first, second, wait, lost in self.ways:
            if (
                first in ends[0]
                and second in ends[1]
                or second in ends[0]
                and first in ends[1]
            ):
                more += wait + self.retransmission_delay(lost, resend)
        return more

    def retransmission_delay(self, lost, resend):
        """Return the delay in ms that losses add to one segment."""
        more, again = 0.0, resend
        while lost and self.random() < lost and again < 60_000.0:
            more, again = more + again, 2 * again
        return more

    def blocked(self, one, other):
        """Return whether nothing gets from one host to another."""
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

    def apply_stream_faults(self, wire, data):
        """Apply the faults of a link to stream bytes: throttling, reset, half-open. Returns the bytes to send."""
        way = self.links and self.links.ways.get((wire.host.name, wire.peer.host.name))
        if not way or data is None:
            return data
        if way.crawl:
            way.seen["crawled"] += 1
            wire.last = max(wire.last, self.clock.time) + len(data) * 1000 / way.crawl
        if wire.passed < 0:
            return None  # half-open: no more bytes pass
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
        """Deliver a segment to a host or an address; each direction of a connection keeps its order."""
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
        resend = (
            self.INITIAL_RESEND
            if call.__name__ in self.HANDSHAKE_STEPS
            else self.RESEND
        )
        when = self.clock.time + self.delay(one, other, resend)
        if when < wire.last:
            when = wire.last
        wire.last = when
        self.clock.put(when, call, args)

    def retransmit_stalled(self):
        """Retransmit the stalled segments, as TCP does; they arrive once there is a path."""
        stalled, self.stalled = self.stalled, []
        for wire, *_ in stalled:
            wire.waiting = 0
        for wire, one, to, call, args in stalled:
            # Segments of an ended process are not retransmitted, nor is the SYN of an abandoned connection.
            if not (wire.host is one and wire.life != one.life) and not (
                wire.gone and call == self.syn
            ):
                self.transmit(wire, one, to, call, *args)

    def cut(self, one, other, both=True):
        """Cut the path between two hosts, in one direction or both."""
        self.cuts.append((one, other))
        if both:
            self.cuts.append((other, one))

    def mend(self, one, other):
        """Restore the path between two hosts."""
        self.cuts = [
            cut for cut in self.cuts if cut not in ((one, other), (other, one))
        ]
        self.retransmit_stalled()

    # The two steps of the TCP handshake

    def syn(self, wire, address):
        """Handle a SYN at the listening host."""
        door = self.doors.get(address)
        if wire.gone:
            return
        if door is None or not door.host.alive:
            other = self.hosts_by_address.get(address) or wire.host
            return self.transmit(wire, other, wire.host, wire.on_refused)
        if len(door.backlog) >= door.carrier.limits.listen_backlog:
            self.clock.after(
                1000.0, self.syn, wire, address
            )  # dropped as the backlog is full; the kernel retransmits the SYN
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
        self.up = False  # established
        self.gone = False  # closed at this end
        self.is_write_blocked = False
        self.finished = False
        self.ended = False
        self.is_closing = False
        self.over = False
        self.held = False
        self.copied = False  # duplicated, to be passed to another process
        self.holds_descriptor = False
        self.refused = False
        self.inbox = deque()  # unread bytes; None for the end of the stream
        self.unsent = deque()
        self.on_way = 0  # bytes sent that the peer has not read yet
        self.last = 0.0  # arrival time of the last segment sent
        self.came = 0.0  # arrival time of the last bytes
        self.left = None  # when the peer sent the first segment that stalled
        self.passed = (
            0  # bytes passed by a link that breaks streams off; -1: no more bytes pass
        )
        self.waiting = 0  # stalled segments

    def count(self, on):
        """Count or release the descriptor of this end."""
        self.transport.sockets += on - self.holds_descriptor
        self.holds_descriptor = on

    # Receiving

    def came_up(self):
        """Handle the answer to the SYN."""
        self.host.gate(self.life, self.connected)

    def connected(self):
        """Report an established connection to the state machine."""
        if self.gone:
            return
        self.up = True
        self.host.wires[self] = None
        if self.over:
            return self.close()
        self.guard(self.machine.connected)

    def accepted(self, make_machine):
        """Attach a state machine to an accepted connection."""
        self.machine = make_machine(self)
        self.count(True)
        self.guard(self.machine.connected)
        if self.inbox:
            self.host.clock.soon(self.read)

    def on_refused(self):
        """Handle a refused SYN."""
        self.host.gate(self.life, self.report_refused)

    def report_refused(self):
        """Report a refused connection to the state machine."""
        if not self.gone:
            self.gone = self.refused = True
            self.count(False)
            self.report_lost(False)

    def arrive(self, data):
        """Receive bytes, or None for the end of the stream."""
        if self.gone:
            return self.reset_peer()
        self.came = self.host.net.clock.time
        self.inbox.append(data)
        if self.machine is not None:
            self.host.gate(self.life, self.read)

    def read(self):
        """Pass received bytes to the state machine until it pauses."""
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
        """Handle the end of the stream."""
        if not self.ended and not self.is_closing:
            self.ended = True
            self.guard(self.machine.ended)
        self.ended = True
        if self.finished and not self.gone:
            self.close()
            if not self.over:
                self.host.clock.soon(self.report_lost, False)

    def was_reset(self):
        """Handle a reset by the peer."""
        self.host.gate(self.life, self.on_reset)

    def on_reset(self):
        """Close this end after a reset, and report it."""
        if not self.gone:
            self.leave()
            if (
                self.machine is not None
            ):  # None while it is passed to another process, which gets the report
                self.report_lost(True)

    def report_lost(self, reset):
        """Report the loss of the connection once."""
        if not self.over and not self.is_closing:
            self.over = True
            self.guard(self.machine.lost, reset)
        self.over = True

    # Sending

    def send(self, *parts):
        """Queue bytes and send what the window allows."""
        if self.open and not self.finished:
            self.unsent.append(b"".join(parts))
            self.pump()

    def pump(self):
        """Send queued bytes while the window has room."""
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
                    data = self.host.net.apply_stream_faults(self, data)
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
        """End the outgoing stream after the queued bytes."""
        if self.open and not self.finished:
            self.finished = True
            if self.ended:
                self.close()
                if not self.over:
                    self.host.clock.soon(self.report_lost, False)
            else:
                self.unsent.append(None)
                self.pump()

    def close_gracefully(self):
        """End the outgoing stream, and close after the linger time."""
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
        """Close without further callbacks."""
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
        """Close this end; bytes that are unread or still arrive cause a reset at the peer."""
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
        """Release all that this end holds."""
        self.gone = True
        self.inbox.clear()
        self.unsent.clear()
        self.host.wires.pop(self, None)
        self.transport.closing_connections.pop(self, None)
        self.count(False)

    def reset_peer(self):
        """Send a reset to the peer."""
        if self.peer is not None:
            self.host.net.transmit(self, self.host, self.peer.host, self.peer.was_reset)

    def die(self):
        """Reset the peer as this end's process has ended; no callback is made."""
        if not self.gone:
            self.over = self.gone = True
            self.reset_peer()

    def set_paused(self, on):
        """Pause or resume reading."""
        if self.open and not self.gone:
            self.held = on
            if not on and self.inbox:
                self.host.clock.soon(self.read)

    @property
    def quiet(self):
        """Whether the connection is established and nothing is pending."""
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
        """Duplicate the descriptor for another process."""
        self.copied = True
        self.transport.sockets += 1
        return self

    @property
    def was_established(self):
        """Whether the connection was ever established."""
        return self.up

    @property
    def open(self):
        """Whether the connection is usable by its state machine."""
        return self.up and not self.over and not self.is_closing

    @property
    def ms_since_receive(self):
        """Time in ms since the last bytes arrived, whether read or not."""
        return self.transport.host.clock.now() - self.came

    @property
    def has_unread_bytes(self):
        """Whether received bytes are unread."""
        return bool(self.inbox)

    @property
    def unsent_bytes(self):
        """The number of bytes queued and not sent."""
        return sum(len(data) for data in self.unsent if data)

    @property
    def drained(self):
        """Whether all queued bytes were sent."""
        return not self.gone and not self.unsent
