"""Delays, losses and cuts between members, put between their control part and the real sockets.

Datagrams are shaped where they are sent; streams by the side that opens them, both ways. Modelled, as no kernel does it
on loopback: a lost datagram is gone; across a cut one way only datagrams arrive the other way, and nothing else, as all
else needs answers; a connection's first segment, or its answer, that is lost or cut off goes again after
1 s, 2 s, 4 s, so that nobody answers meanwhile and nobody refuses; a lost segment of a stream (1,400 bytes) comes after
200 ms, doubled each time, and all that follows it waits; a stream across a cut holds what is on it until the cut is over.
Everything that was done to a message is counted.
"""

import math
from collections import Counter

from wheathill.net.fault_isolation import FaultIsolation

SEGMENT, RESEND, FIRST_AGAIN = 1400, 200.0, 1000.0
JITTER = 0.1


class Shape:
    """Of one process. `clock` is the fleet's; `cut`: the region that is cut off, or None. `prompt`: what is sent here is
    not delayed, as that would wake up the process once more for each message, and its cost is to be told."""

    def __init__(self, layout, clock, rng, loss, prompt=False):
        self.layout, self.clock, self.random, self.loss = (
            layout,
            clock,
            rng.random,
            loss,
        )
        self.prompt = prompt
        self.cut, self.out = None, False
        self.counts = Counter()
        self.distance = layout.distance()
        self.ticks = {}  # ms -> what is to be called then: one alarm for all of them
        self.held = []  # (wire, arguments) of streams across a cut

    def cuts(self, one, other):
        return self.cut is not None and (self.layout.region(one) == self.cut) != (
            self.layout.region(other) == self.cut
        )

    def loses(self, one, other):
        """Whether the cut takes a datagram of one to the other."""
        return self.cuts(one, other) and (
            not self.out or self.layout.region(one) == self.cut
        )

    def wait(self, one, other):
        """ms for this message from one to the other."""
        if self.prompt:
            return 0.0
        near = self.layout.zone(one) == self.layout.zone(other)
        far = (
            self.layout.ways[0]
            if near
            else self.distance[self.layout.region(one), self.layout.region(other)]
        )
        return far * (1.0 + JITTER * self.random())

    def at(self, when, call, *args):
        if self.prompt and when <= self.clock.now():
            return call(*args)
        tick = math.ceil(when)
        if tick in self.ticks:
            self.ticks[tick].append((call, args))
        else:
            self.ticks[tick] = [(call, args)]
            self.clock.at(tick, self.ring, tick)

    def ring(self, tick):
        for call, args in self.ticks.pop(tick):
            call(*args)

    def set_cut(self, region, out=False):
        """`out`: only what leaves the region is lost."""
        self.cut, self.out = region, out
        if region is None:
            held, self.held = self.held, []
            for wire, args in held:
                wire.carry(*args)

    def again(self, size):
        """ms by which losses delay so many bytes of a stream."""
        latest = 0.0
        for _ in range(1 + size // SEGMENT if self.loss else 0):
            wait, step = 0.0, RESEND
            while self.random() < self.loss:
                self.counts["segments sent again"] += 1
                wait, step = wait + step, 2 * step
            latest = max(latest, wait)
        return latest


class ShapedCarrier:
    """What one member has for a `net.transport.Transport`; `inner` is the process's real one."""

    def __init__(self, inner, shape, number):
        self.inner, self.shape, self.number = inner, shape, number
        self.loop, self.limits, self.log = inner.loop, inner.limits, inner.log
        self.wires = {}  # that this member has opened

    def listen(self, make_machine, address, room):
        return self.inner.listen(make_machine, address, room)

    def bind_datagram_socket(self, machine, address):
        return ShapedPost(self, machine, address)

    def connect(self, machine, address, source=None):
        return ShapedWire(self, machine, address, source)

    def kill(self):
        for wire in list(self.wires):
            wire.vanish()


class ShapedPost:
    def __init__(self, carrier, machine, address):
        self.carrier, self.shape = carrier, carrier.shape
        self.post = carrier.inner.bind_datagram_socket(machine, address)
        self.open = True

    def send(self, data, address):
        shape, one, other = (
            self.shape,
            self.carrier.number,
            self.shape.layout.number_at(address[0]),
        )
        if shape.loses(one, other):
            shape.counts["datagrams cut off"] += 1
        elif shape.loss and shape.random() < shape.loss:
            shape.counts["datagrams lost"] += 1
        else:
            shape.counts["datagrams delayed"] += 1
            shape.at(
                shape.clock.now() + shape.wait(one, other), self.put, data, address
            )

    def put(self, data, address):
        if self.open:
            self.post.send(data, address)

    def close(self):
        self.open = False
        self.post.close()


class ShapedWire(FaultIsolation):
    """To the machine a `net.connection.Connection`; to the real wire a machine."""

    def __init__(self, carrier, machine, address, source):
        self.transport, self.shape, self.machine = carrier, carrier.shape, machine
        self.address, self.source = address, source
        self.one, self.other = carrier.number, self.shape.layout.number_at(address[0])
        self.connection = None
        self.is_write_blocked = self.refused = self.over = False
        self.latest = {
            True: 0.0,
            False: 0.0,
        }  # when the last of each way arrives; True: out
        carrier.wires[self] = None
        self.attempt(FIRST_AGAIN)

    @property
    def is_connect_postponed(self):
        return self.machine.is_connect_postponed

    @property
    def is_input_void_after_reset(self):
        return self.machine.is_input_void_after_reset

    def attempt(self, again):
        shape = self.shape
        if self.over:
            return
        if shape.cuts(self.one, self.other):
            shape.counts["connection attempts cut off"] += 1
        elif shape.loss and shape.random() > (1.0 - shape.loss) ** 2:
            shape.counts["connection attempts lost"] += 1
        else:
            return shape.at(
                shape.clock.now() + shape.wait(self.one, self.other), self.dial
            )
        shape.clock.after(again, self.attempt, 2 * again)

    def dial(self):
        if not self.over:
            self.connection = self.transport.inner.connect(
                self, self.address, self.source
            )

    # Ways

    def carry(self, out, call, *args):
        """In order, later."""
        shape = self.shape
        if shape.cuts(self.one, self.other):
            shape.counts["stream parts held by a cut"] += 1
            shape.held.append((self, (out, call, *args)))
            return
        size = len(args[0]) if args and isinstance(args[0], bytes) else 0
        shape.counts["stream parts delayed"] += 1
        when = shape.clock.now() + shape.wait(self.one, self.other) + shape.again(size)
        self.latest[out] = max(self.latest[out], when)
        shape.at(self.latest[out], call, *args)

    # From the machine

    def send(self, *parts):
        if not self.over:
            self.carry(True, self.put, b"".join(parts))

    def put(self, data):
        if self.connection.open and not self.connection.asyncio_transport.is_closing():
            self.connection.send(data)

    def abort(self, reset=False):
        """What has been sent arrives before."""
        if not self.over:
            self.leave()
            if self.connection is not None:
                self.shape.at(
                    max(self.shape.clock.now(), self.latest[True]),
                    self.connection.abort,
                    reset,
                )

    def vanish(self):
        """Its process is dead."""
        if not self.over:
            self.leave()
            if self.connection is not None:
                self.connection.abort()

    def leave(self):
        self.over = True
        self.transport.wires.pop(self, None)

    # From the real wire

    def connected(self):
        self.carry(False, self.tell, "connected")

    def received(self, data):
        self.carry(False, self.take, bytes(data))

    def ended(self):
        self.carry(False, self.tell, "ended")

    def lost(self, reset):
        self.carry(False, self.end, reset)

    def release(self):
        pass  # what is still on its way is told later

    def blocked(self, on):
        self.is_write_blocked = on
        self.tell("blocked", on)

    def fault(self):
        self.tell("fault")

    def take(self, data):
        self.tell("received", data)

    def end(self, reset):
        if not self.over:
            self.refused = self.connection.refused
            self.leave()
            self.guard(self.machine.lost, reset)
            self.machine.release()

    def tell(self, what, *args):
        if not self.over:
            self.guard(getattr(self.machine, what), *args)
