"""The relay between instances that are processes: every datagram and every stream from one to another passes it,
late, lost, doubled, overtaken, spoilt, cut off, crawling, reset, or played again.

Each instance listens at a private address and is known to the others by a public one, which is the relay's. Who sends
is told by its private address, and what it sends comes out at its public one, so that neither end knows of the relay.
A way that is cut, or that loses what is sent, also drops what asks for a connection, by a filter on the listening
socket: the system asks again in its own time, as over a real network. Who doesn't run has no public address: it is
refused.

Everything that is done to anything is counted, for a fault that did nothing proves nothing.
"""

import asyncio
import ctypes
import socket
import struct
from collections import Counter

from wheathill.net.machine import Machine

SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27


def drop_asked(sock, rules):
    """Of what asks for a connection on `sock`, drops all (None) or a share of what comes from an address; {} ends
    it. A classic socket filter: load the source address (from the network header), compare, return 0 to drop."""
    if not rules:
        try:
            return sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        except OSError:
            return      # there was none
    code = []
    for host, share in rules.items():
        number = struct.unpack("!I", socket.inet_aton(host))[0]
        code.append((0x20, 0, 0, -0x100000 + 12))       # source address
        if share is None:
            code += [(0x15, 0, 1, number), (0x06, 0, 0, 0)]
        else:
            code += [(0x15, 0, 3, number), (0x20, 0, 0, -0x1000 + 56), (0x35, 1, 0, int(share * 0xffffffff)),
                     (0x06, 0, 0, 0)]
    code.append((0x06, 0, 0, 0xffffffff))
    raw = b"".join(struct.pack("HBBI", *step[:3], step[3] & 0xffffffff) for step in code)
    held = ctypes.create_string_buffer(raw)
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HxxxxxxP", len(code), ctypes.addressof(held)))


class Way:
    """What holds from one instance to another. Times in ms; shares are chances; `crawl` is bytes a second, `after`
    of a stream's bytes and then `then` (reset, half-open) befall streams."""

    FIELDS = ("loss", "wait_ms", "doubled", "overtaken", "spoilt", "crawl")

    def __init__(self):
        self.cuts = 0           # faults that cut it, which may overlap
        self.loss = self.wait_ms = self.doubled = self.overtaken = self.spoilt = 0.0
        self.crawl = 0
        self.after = self.then = None
        self.kept = None        # datagrams recorded, oldest first
        self.seen = Counter()   # what was done to what passed


class Relay:
    KEPT = 4096

    def __init__(self, loop, carrier, clock, chance, usual_ms, jitter):
        self.loop, self.carrier, self.clock = loop, carrier, clock
        self.random, self.expovariate, self.uniform = chance.random, chance.expovariate, chance.uniform
        self.usual, self.jitter = usual_ms, jitter
        self.ends = {}          # name -> End
        self.ways = {}          # (from, to) -> Way
        self.sent = Counter()   # (from, kind) -> how often; (from, to) -> datagrams
        self.watchers = []      # called with (from, kind) for each datagram
        self.streams = {}       # open Pipes
        self.decode = None

    def end(self, name, private, public):
        self.ends[name] = End(self, name, private, public)

    def way(self, one, other):
        way = self.ways.get((one, other))
        if way is None:
            way = self.ways[one, other] = Way()
        return way

    def name_of(self, host):
        return next((name for name, end in self.ends.items() if end.private[0] == host), None)

    def filter(self):
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
        way = self.way(one, end.name)
        kind = self.kind(data)
        self.sent[one, kind] += 1
        for watch in self.watchers:
            watch(one, kind)
        if way.kept is not None and len(way.kept) < self.KEPT:
            way.kept.append(data)
        way.seen["datagrams"] += 1
        if way.cuts:
            way.seen["cut"] += 1
        elif way.loss and self.random() < way.loss:
            way.seen["lost"] += 1
        else:
            if way.spoilt and self.random() < way.spoilt:
                way.seen["spoilt"] += 1
                place = int(self.random() * len(data))
                data = data[:place] + bytes([data[place] ^ 0x55]) + data[place + 1:]
            self.forward(one, end, data, way)
            if way.doubled and self.random() < way.doubled:
                way.seen["doubled"] += 1
                self.forward(one, end, data, way)

    def forward(self, one, end, data, way):
        wait = self.usual * (1.0 + self.jitter * self.expovariate(1.0))
        if way.wait_ms:
            way.seen["late"] += 1
            wait += way.wait_ms
        if way.overtaken and self.random() < way.overtaken:
            way.seen["overtaken"] += 1
            wait += self.uniform(0.0, 50.0 + 4 * way.wait_ms)
        self.clock.after(wait, self.arrive, one, end, data)

    def arrive(self, one, end, data):
        self.ends[one].put(data, end.private)

    def kind(self, data):
        """What kind of message it is, read past the head: nothing in a frame is secret."""
        if self.decode is None:
            import msgspec
            self.decode = msgspec.msgpack.Decoder(list).decode
        try:
            words = self.decode(data[28:])[5]
            return words[0] if len(words) == 1 else words[-1][0]
        except (ValueError, TypeError, IndexError):
            return "?"

    def replay(self, one, other):
        """All that was recorded from one to another, once more."""
        way = self.way(one, other)
        for place, data in enumerate(way.kept or ()):
            way.seen["replayed"] += 1
            self.clock.after(place * 0.5, self.arrive, one, self.ends[other], data)

    def close(self):
        for end in self.ends.values():
            end.close()


class End(asyncio.DatagramProtocol):
    """The public address of one instance."""

    def __init__(self, relay, name, private, public):
        self.relay, self.name, self.private, self.public = relay, name, private, public
        self.door = None
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(public)
        sock.setblocking(False)
        self.transport = None
        self.task = relay.loop.create_task(relay.loop.create_datagram_endpoint(lambda: self, sock=sock))

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
            self.door = self.relay.carrier.listen(lambda wire: Pipe(self.relay, self, wire), self.public,
                                                  lambda: True)
            self.relay.filter()
        elif not on and self.door is not None:
            self.door.close()
            self.door = None

    def close(self):
        self.listens(False)
        if self.transport is not None:
            self.transport.close()


class Half(Machine):
    """One end of a stream through the relay; what comes in goes out at the other."""

    def __init__(self, pipe, relay, wire=None):
        super().__init__(pipe, relay.carrier.limits, relay.clock)
        self.pipe, self.wire = pipe, wire
        self.other = None
        self.waiting = []       # bytes, or None for the end
        self.passed = 0
        self.at = 0.0           # when the last of it arrives
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
        host = self.wire.transport.get_extra_info("peername")[0]
        self.one = self.relay.name_of(host)
        if self.one is None:
            return self.end(True)
        self.far = self.other = Half(self, self.relay)
        self.far.other = self
        self.far.wire = self.relay.carrier.connect(self.far, self.end_.private)
        self.far.connected = self.pump

    def pump(self):
        """Whatever may pass, passes."""
        if self.dead or self.other is None:
            return
        for half, one, other in ((self, self.one, self.end_.name), (self.far, self.end_.name, self.one)):
            way = self.relay.way(one, other)
            while half.waiting and not way.cuts and half.other.wire.open and not (way.then and half.passed < 0):
                data = half.waiting.pop(0)
                self.relay.clock.at(self.when(half, way, data), self.deliver, half, way, data)
            if half.waiting and way.cuts:
                way.seen["stream held"] += 1

    def when(self, half, way, data):
        wait = self.relay.usual + way.wait_ms
        now = self.relay.clock.now()
        if way.crawl and data:
            way.seen["crawled"] += 1
            wait += len(data) * 1000 / way.crawl
        half.at = max(half.at + 0.001, now + wait) if not way.crawl else max(half.at, now) + wait
        return half.at

    def deliver(self, half, way, data):
        if self.dead or half.other.wire is None:
            return
        if data is None:
            return half.other.wire.finish()
        if way.then and half.passed >= 0:
            room = way.after - half.passed
            if len(data) >= room:
                half.other.wire.send(data[:room])
                half.passed = -1
                way.seen["stream " + way.then] += 1
                return self.end(True) if way.then == "reset" else None
            half.passed += len(data)
        elif half.passed < 0:
            return      # half open: nothing passes any more
        half.other.wire.send(data)

    def end(self, reset):
        if self.dead:
            return
        self.dead = True
        self.relay.streams.pop(self, None)
        for half in (self, self.other):
            if half is not None and half.wire is not None and not half.over:
                half.wire.abort(reset)
