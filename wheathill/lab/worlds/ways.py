"""What befalls all that instances say to one another, in any world: datagrams late, lost, doubled, overtaken, spoilt,
cut off or played again; and the fields that streams obey. A world says how what passes arrives.

Everything that is done to anything is counted, for a fault that did nothing proves nothing.
"""

from collections import Counter


class Way:
    """What holds from one instance to another. Times in ms; shares are chances; `crawl` is bytes a second, `after`
    of a stream's bytes and then `then` (reset, half-open) befall streams."""

    FIELDS = ("loss", "wait_ms", "doubled", "overtaken", "spoilt", "crawl")

    def __init__(self):
        self.cuts = 0  # faults that cut it, which may overlap
        self.loss = self.wait_ms = self.doubled = self.overtaken = self.spoilt = 0.0
        self.crawl = 0
        self.after = self.then = None
        self.kept = None  # datagrams recorded, oldest first
        self.seen = Counter()  # what was done to what passed


class Ways:
    """All of them, by (from, to). `usual`: ms one way, `jitter` a share of it, exponential. `arrive(one, other, data)`
    and `changed()` are the world's."""

    KEPT = 4096

    def __init__(self, clock, chance, usual, jitter):
        self.clock = clock
        self.random, self.expovariate, self.uniform = (
            chance.random,
            chance.expovariate,
            chance.uniform,
        )
        self.usual, self.jitter = usual, jitter
        self.ways = {}
        self.sent = Counter()  # from -> datagrams; (from, kind), where somebody watches
        self.watchers = []  # called with (from, kind) for each datagram
        self.decode = None

    def way(self, one, other):
        way = self.ways.get((one, other))
        if way is None:
            way = self.ways[one, other] = Way()
        return way

    def between(self, ones, others, one_way):
        return [
            self.way(one, other) for one in ones for other in others if one != other
        ] + (
            []
            if one_way
            else [
                self.way(other, one) for one in ones for other in others if one != other
            ]
        )

    def reaches(self, one, other):
        """Whether datagrams go both ways between two instances."""
        return not any(
            way is not None and way.cuts
            for way in (self.ways.get((one, other)), self.ways.get((other, one)))
        )

    # Faults

    def cut(self, ways, on):
        for way in ways:
            way.cuts += 1 if on else -1
        self.changed()

    def change(self, ways, changes):
        """Returns how to undo it. `changes`: fields of Way."""
        before = [{field: getattr(way, field) for field in changes} for way in ways]
        for way in ways:
            for field, value in changes.items():
                setattr(way, field, value)
        self.changed()

        def undo():
            for way, fields in zip(ways, before):
                for field, value in fields.items():
                    setattr(way, field, value)
            self.changed()

        return undo

    # Datagrams

    def pass_on(self, one, other, data):
        """One that `one` has sent to `other`."""
        way = self.way(one, other)
        self.sent[one] += 1
        if self.watchers:
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
                data = data[:place] + bytes([data[place] ^ 0x55]) + data[place + 1 :]
            self.forward(one, other, data, way)
            if way.doubled and self.random() < way.doubled:
                way.seen["doubled"] += 1
                self.forward(one, other, data, way)

    def forward(self, one, other, data, way):
        wait = self.usual * (1.0 + self.jitter * self.expovariate(1.0))
        if way.wait_ms:
            way.seen["late"] += 1
            wait += way.wait_ms
        if way.overtaken and self.random() < way.overtaken:
            way.seen["overtaken"] += 1
            wait += self.uniform(0.0, 50.0 + 4 * way.wait_ms)
        self.clock.after(wait, self.arrive, one, other, data)

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
            self.clock.after(place * 0.5, self.arrive, one, other, data)
