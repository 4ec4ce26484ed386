"""The relay between instances that are processes: every datagram and every stream from one to another passes it, and
meets what the script says of its way (`ways`).

Each instance listens at a private address and is known to the others by a public one, which is the relay's. Who sends
is told by its private address, and what it sends comes out at its public one, so that neither end knows of the relay.
A way that is cut, or that loses what is sent, also drops what asks for a connection, by a filter on the listening
socket: the system asks again in its own time, as over a real network. Who doesn't run has no public address: it is
refused.
"""

import asyncio
import ctypes
import socket
import struct

from wheathill.lab.worlds.ways import Ways
from wheathill.net.protocol_machine import ProtocolMachine

SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27


def drop_asked(sock, rules):
    """Of what asks for a connection on `sock`, drops all (None) or a share of what comes from an address; {} ends
    it. A classic socket filter: load the source address (from the network header), compare, return 0 to drop."""
    if not rules:
        try:
            return sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        except OSError:
            return  # there was none
    code = []
    for host, share in rules.items():
        number = struct.unpack("!I", socket.inet_aton(host))[0]
        code.append((0x20, 0, 0, -0x100000 + 12))  # source address
        if share is None:
            code += [(0x15, 0, 1, number), (0x06, 0, 0, 0)]
        else:
            code += [
                (0x15, 0, 3, number),
                (0x20, 0, 0, -0x1000 + 56),
                (0x35, 1, 0, int(share * 0xFFFFFFFF)),
                (0x06, 0, 0, 0),
            ]
    code.append((0x06, 0, 0, 0xFFFFFFFF))
    raw = b"".join(
        struct.pack("HBBI", *step[:3], step[3] & 0xFFFFFFFF) for step in code
    )
    held = ctypes.create_string_buffer(raw)
    sock.setsockopt(
        socket.SOL_SOCKET,
        SO_ATTACH_FILTER,
        struct.pack("HxxxxxxP", len(code), ctypes.addressof(held)),
    )


class Relay(Ways):
    def __init__(self, loop, carrier, clock, chance, usual, jitter):
        super().__init__(clock, chance, usual, jitter)
        self.loop, self.carrier = loop, carrier
        self.ends = {}  # name -> End
        self.streams = {}  # open Pipes

    def end(self, name, private, public):
        self.ends[name] = End(self, name, private, public)

    def name_of(self, host):
        return next(
            (name for name, end in self.ends.items() if end.private[0] == host), None
        )

    def changed(self):
        """What asks for a connection meets the same losses, either way."""
        for name, end in self.ends.items():
            if end.door is None:
                continue
            rules = {}
            for other, far in self.ends.items():
                there, back = self.ways.get((other, name)), self.ways.get((name, other))
                ways = [way for way in (there, back) if way is not None]
                if any(way.cuts for way in ways):
                    rules[far.private[0]] = None
                elif share := 1.0 - self.passes(ways):
                    rules[far.private[0]] = share
            drop_asked(end.door.sock, rules)
        for pipe in list(self.streams):
            pipe.pump()

    @staticmethod
    def passes(ways):
        share = 1.0
        for way in ways:
            share *= 1.0 - way.loss
        return share

    # Datagrams

    def passed(self, end, data, address):
        """One that came to the public address of `end`."""
        one = self.name_of(address[0])
        if one is None or one == end.name:
            return
        self.pass_on(one, end.name, data)

    def arrive(self, one, other, data):
        self.ends[one].put(data, self.ends[other].private)

    def close(self):
        for end in self.ends.values():
            end.close()


class End(asyncio.DatagramProtocol):
    """The public address of one instance."""

    def __init__(self, relay, name, private, public):
        self.relay, self.name, self.private, self.public = relay, name, private, public
        self.door = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(public)
        self.sock.setblocking(False)
        self.transport = None
        self.task = relay.loop.create_task(
            relay.loop.create_datagram_endpoint(lambda: self, sock=self.sock)
        )

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        self.relay.passed(self, data, address)

    def error_received(self, wrong):
        """Nobody listens at a private address: that is what a dead process looks like."""

    def put(self, data, address):
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, address)

    def listens(self, on):
        """Whether its process takes streams."""
        if on and self.door is None:
            self.door = self.relay.carrier.listen(
                lambda wire: Pipe(self.relay, self, wire), self.public, lambda: True
            )
            self.relay.changed()
        elif not on and self.door is not None:
            self.door.close()
            self.door = None

    def close(self):
        self.listens(False)
        if self.transport is not None:
            self.transport.close()
        # The transport would do so at its loop's next turn; there is none after a run.
        self.sock.close()


class Half(ProtocolMachine):
    """One end of a stream through the relay; what comes in goes out at the other."""

    def __init__(self, pipe, relay, wire=None):
        super().__init__(pipe, relay.carrier.limits, relay.clock)
        self.pipe, self.connection = pipe, wire
        self.other = None
        self.waiting = []  # bytes, or None for the end
        self.passed = 0
        self.at = 0.0  # when the last of it arrives
        self.over = False

    def received(self, data):
        self.waiting.append(bytes(data))
        self.pipe.pump()

    def ended(self):
        self.waiting.append(None)
        self.pipe.pump()

    def lost(self, reset):
        self.over = True
        self.pipe.end(reset)

    def fault(self):
        self.pipe.end(True)


class Pipe(Half):
    """A stream: this is the end of who opened it; `far` the end of who is dialled."""

    def __init__(self, relay, end, wire):
        super().__init__(self, relay, wire)
        self.relay, self.end_ = relay, end
        self.dead = False
        self.one = None
        relay.streams[self] = None

    def connected(self):
        host = self.connection.asyncio_transport.get_extra_info("peername")[0]
        self.one = self.relay.name_of(host)
        if self.one is None:
            return self.end(True)
        self.far = self.other = Half(self, self.relay)
        self.far.other = self
        self.far.connection = self.relay.carrier.connect(self.far, self.end_.private)
        self.far.connected = self.pump

    def pump(self):
        """Whatever may pass, passes."""
        if self.dead or self.other is None:
            return
        for half, one, other in (
            (self, self.one, self.end_.name),
            (self.far, self.end_.name, self.one),
        ):
            way = self.relay.way(one, other)
            while (
                half.waiting
                and not way.cuts
                and half.other.connection.open
                and not (way.then and half.passed < 0)
            ):
                data = half.waiting.pop(0)
                self.relay.clock.at(
                    self.when(half, way, data), self.deliver, half, way, data
                )
            if half.waiting and way.cuts:
                way.seen["stream held"] += 1

    def when(self, half, way, data):
        wait = self.relay.usual + way.wait_ms
        now = self.relay.clock.now()
        if way.crawl and data:
            way.seen["crawled"] += 1
            wait += len(data) * 1000 / way.crawl
        half.at = (
            max(half.at + 0.001, now + wait)
            if not way.crawl
            else max(half.at, now) + wait
        )
        return half.at

    def deliver(self, half, way, data):
        if self.dead or half.other.connection is None:
            return
        if data is None:
            return half.other.connection.send_eof()
        if way.then and half.passed >= 0:
            room = way.after - half.passed
            if len(data) >= room:
                half.other.connection.send(data[:room])
                half.passed = -1
                way.seen["stream " + way.then] += 1
                return self.end(True) if way.then == "reset" else None
            half.passed += len(data)
        elif half.passed < 0:
            return  # half open: nothing passes any more
        half.other.connection.send(data)

    def end(self, reset):
        if self.dead:
            return
        self.dead = True
        self.relay.streams.pop(self, None)
        for half in (self, self.other):
            if half is not None and half.connection is not None and not half.over:
                half.connection.abort(reset)
