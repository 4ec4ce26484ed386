"""Links between instances: short messages as datagrams, what is long as frames on streams, over whatever
carrier there is. Knows nothing of what is said.

The first message to an instance waits until that one has told its birth: whoever is sent a frame that names no
or another birth answers `hello`, which the sender then names. So a frame that was recorded earlier is good for
nobody. Bounded for each peer: what waits, what is in flight, how often one is heard; a stream on which nothing
moves is cut off. No peer waits for another.
"""

from collections import OrderedDict, deque

from wheathill.net.machine import Machine
from wheathill.peers.frames import Dropped

HELLO = "hello"


class Peer:
    """One address that is sent to."""

    def __init__(self, address):
        self.address = address
        self.birth = 0  # of the process there, as it said itself
        self.past = deque(maxlen=8)  # of those before it
        self.unsent = deque(maxlen=4)  # words that wait for its birth
        self.stream = None


class Links:
    """`heard(name, birth, address, words)` is called for each message that is taken; `address` is None for what
    came on a stream."""

    DATAGRAM = 1400  # bytes; more goes by stream
    FRAME = 262_144
    QUEUE = 1_048_576  # bytes that wait for one peer
    STANDS = 5000.0  # ms without any progress
    IDLE = 10_000.0
    BURST, RATE = 400, 200.0  # messages of one address: at once, and a second
    ADDRESSES = 4096  # whose rates are kept

    def __init__(self, carrier, clock, log, seal, heard, listen):
        self.carrier, self.clock, self.log, self.seal, self.heard = (
            carrier,
            clock,
            log,
            seal,
            heard,
        )
        self.limits = carrier.limits
        self.source = listen[0]
        self.streams = max(4, self.limits.sockets // 16)  # that others have opened
        self.peers = {}  # "HOST:PORT" -> Peer
        self.inward = OrderedDict()  # streams that others have opened, oldest first
        self.rates = OrderedDict()  # address -> [messages left, when]
        self.dropped = {}  # reason -> how often
        self.logged = {}  # reason -> when last
        self.sent = self.taken = 0  # messages
        self.bytes = self.bytes_in = (
            0  # of frames: sent, and come, damaged ones with them
        )
        self.door = carrier.listen(lambda wire: Inward(self, wire), listen, self.room)
        self.post = carrier.datagrams(self, listen)

    def close(self):
        self.door.close()
        self.post.close()
        for stream in [
            *self.inward,
            *(peer.stream for peer in self.peers.values() if peer.stream),
        ]:
            stream.end()

    # Out

    def peer(self, address):
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = Peer(address)
            while len(self.peers) > self.ADDRESSES:
                self.peers.pop(next(iter(self.peers)))
        return peer

    def send(self, address, words, bulk=False):
        peer = self.peer(address)
        if bulk:
            return self.stream(peer, words)
        if not peer.birth:
            peer.unsent.append(words)
            return self.greet(peer)
        frame = self.seal.close(peer.birth, words)
        if len(frame) > self.DATAGRAM:
            return self.stream(peer, words)
        self.put(address, frame)

    def greet(self, peer):
        self.put(peer.address, self.seal.close(peer.birth, [HELLO]))

    def put(self, address, frame):
        self.sent += 1
        self.bytes += len(frame)
        self.post.send(frame, parts(address))

    def stream(self, peer, words):
        if peer.stream is None:
            peer.stream = Outward(self, peer)
            peer.stream.wire = self.carrier.connect(
                peer.stream, parts(peer.address), self.source
            )
        peer.stream.say(words)

    def knock(self, address, wait, told):
        """Whether a process listens there, found by connections: `told` with "up", "refused" or "nothing"."""
        Knocks(self, address, wait, told).begin()

    # In

    def room(self):
        """The oldest stream makes room for a new one."""
        if len(self.inward) >= self.streams:
            next(iter(self.inward)).end()
        return True

    def received(self, data, came_from):
        """A datagram; `came_from` is (host, port)."""
        self.bytes_in += len(data)
        address = f"{came_from[0]}:{came_from[1]}"
        if not self.allowed(address):
            return self.drop("too often", address)
        try:
            name, birth, words = self.seal.open(data)
        except Dropped as why:
            if why.birth is None:
                return self.drop(str(why), address)
            # It has not heard of this process yet, or the frame is an old one: which of them shows.
            return self.put(address, self.seal.close(why.birth, [HELLO]))
        self.taken += 1
        self.learn(self.peer(address), birth)
        if words != [HELLO]:
            self.heard(name, birth, address, words)

    def learn(self, peer, birth):
        """What frames for this process say of the one that they come from."""
        if birth == peer.birth or birth in peer.past:
            return
        if peer.birth:
            peer.past.append(peer.birth)
        peer.birth = birth
        unsent, peer.unsent = peer.unsent, deque(maxlen=4)
        for words in unsent:
            self.send(peer.address, words)

    def allowed(self, address):
        now = self.clock.now()
        rate = self.rates.get(address)
        if rate is None:
            rate = self.rates[address] = [self.BURST, now]
            while len(self.rates) > self.ADDRESSES:
                self.rates.popitem(last=False)
        rate[0] = min(self.BURST, rate[0] + (now - rate[1]) * self.RATE / 1000)
        rate[1] = now
        if rate[0] < 1.0:
            return False
        rate[0] -= 1.0
        return True

    def drop(self, reason, address):
        """Counted; one line a minute for each reason."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
        now = self.clock.now()
        if now - self.logged.get(reason, -60_000.0) >= 60_000.0:
            self.logged[reason] = now
            self.log(
                "peers: dropped",
                why=reason,
                came_from=address,
                so_far=self.dropped[reason],
            )

    def figures(self):
        return {
            "sent": self.sent,
            "taken": self.taken,
            "bytes": self.bytes,
            "bytes_in": self.bytes_in,
            "dropped": dict(self.dropped),
        }


def parts(address):
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Knocks:
    """Several connections, one after another within the time: the system sends the first segment of each again after
    a second, then two, which is too seldom where a quarter is lost. The first that is answered counts for all."""

    TRIES = 5

    def __init__(self, links, address, wait, told):
        self.links, self.address, self.wait, self.told = links, address, wait, told
        self.knocks = []

    def begin(self):
        self.links.clock.after(self.wait, self.over, "nothing")
        for number in range(self.TRIES):
            self.links.clock.after(number * self.wait / self.TRIES, self.ask)

    def ask(self):
        if self.told is not None:
            knock = Knock(self.links, self.over)
            self.knocks.append(knock)
            knock.wire = self.links.carrier.connect(
                knock, parts(self.address), self.links.source
            )

    def over(self, how):
        told, self.told = self.told, None
        if told is not None:
            told(how)
        for knock in self.knocks:
            knock.wire.abort()
        self.knocks = []


class Knock(Machine):
    """Only asks whether a connection comes up."""

    def __init__(self, links, told):
        super().__init__(links, links.limits, links.clock)
        self.told = told

    def connected(self):
        self.told("up")

    def lost(self, reset):
        # What can't be reached at all may be so for a moment: that, too, is only said when the time is over.
        if self.wire.refused:
            self.told("refused")


class Stream(Machine):
    """Frames one after another; cut off where a frame has begun and nothing of it follows."""

    def __init__(self, links):
        super().__init__(links, links.limits, links.clock)
        self.links = links
        self.rest = bytearray()
        self.birth = 0  # of the process at the other end

    def received(self, data):
        self.links.bytes_in += len(data)
        self.rest += data
        try:
            while (
                length := self.links.seal.length(self.rest, Links.FRAME)
            ) is not None and len(self.rest) >= length:
                frame = bytes(self.rest[:length])
                del self.rest[:length]
                self.frame(frame)
        except Dropped as why:
            self.links.drop(str(why), "a stream")
            return self.end()
        # A slow one gets the same time for each frame, not for each byte.
        if not self.rest:
            self.set_timer(Links.IDLE, self.end)

    def ended(self):
        self.end()

    def lost(self, reset):
        self.end()

    def fault(self):
        self.end()

    def end(self):
        self.timer.cancel()
        self.left()
        self.wire.abort()

    def left(self):
        pass


class Inward(Stream):
    """One that another instance has opened, and speaks on. Told this process's birth first."""

    def __init__(self, links, wire):
        super().__init__(links)
        self.wire = wire
        links.inward[self] = None

    def connected(self):
        hello = self.links.seal.close(0, [HELLO])
        self.links.bytes += len(hello)
        self.wire.send(hello)
        self.set_timer(Links.STANDS, self.end)

    def received(self, data):
        if not self.rest:
            self.set_timer(Links.STANDS, self.end)
        super().received(data)

    def frame(self, frame):
        name, birth, words = self.links.seal.open(frame)
        self.links.taken += 1
        self.links.heard(name, birth, None, words)

    def left(self):
        self.links.inward.pop(self, None)


class Outward(Stream):
    """To one peer: what is said waits until it has told its birth, and is dropped where it does not read."""

    def __init__(self, links, peer):
        super().__init__(links)
        self.peer = peer
        self.unsent = deque()
        self.waiting = 0
        self.set_timer(Links.STANDS, self.end)

    def say(self, words):
        # The size of what waits is that of the frame, which is made again for the birth that it is for.
        size = len(self.links.seal.close(self.birth, words))
        if size > Links.FRAME or self.waiting + size > Links.QUEUE:
            return self.links.drop("queue full", self.peer.address)
        self.unsent.append((words, size))
        self.waiting += size
        if self.birth:
            self.pump()

    def frame(self, frame):
        """The other end's `hello`, which names nobody."""
        try:
            self.links.seal.open(frame)
        except Dropped as why:
            if why.birth is None:
                raise
            self.birth = why.birth
            self.pump()

    def pump(self):
        while self.unsent and not self.wire.full:
            words, size = self.unsent.popleft()
            self.waiting -= size
            self.links.bytes += size
            self.wire.send(self.links.seal.close(self.birth, words))
        self.set_timer(
            Links.STANDS if self.unsent or self.wire.full else Links.IDLE, self.end
        )

    def blocked(self, on):
        if on:
            self.set_timer(Links.STANDS, self.end)
        else:
            self.pump()

    def left(self):
        if self.peer.stream is self:
            self.peer.stream = None
        if self.unsent:
            self.links.drop("stream cut off", self.peer.address)
            self.unsent.clear()
