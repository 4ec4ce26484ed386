"""The board: what every instance of a fleet of zones holds, few records whatever the number of instances. Free of I/O.

A record is [key, epoch, counter, writer, value]. Of two with one key the one with the later (epoch, counter, writer) is
held (last writer wins, by Lamport's clocks, 1978), so the order of arrival changes nothing. There is one for each
server that drains or has just started, whose epoch is the start of its process (wall clock, ms) and whose value is
[whether it drains, when that was written (wall clock, ms)]; and one for each zone, with epoch 0, which the zone's
delegates write. What a list says of a server is written without a writer's name: lists that say the same in the same
order make the same versions, so that a drain of which all are told at once is one record, not one of each.

Two boards are compared by digests of buckets, which are kept, not worked out anew (anti-entropy: Demers et al.,
"Epidemic Algorithms for Replicated Database Maintenance", 1987).
"""

import hashlib

SERVER, ZONE = "s/", "z/"


def digest(record):
    return int.from_bytes(
        hashlib.blake2b(repr(record[:4]).encode(), digest_size=6).digest(), "big"
    )


def version(record):
    return record[1], record[2], record[3]


class Board:
    BUCKETS = 32
    MOST = 4096  # servers; those that were last written of stay
    AHEAD = 60_000.0  # ms; what lies further in the future is no start
    DRAINING, STARTED = (
        86_400_000.0,
        600_000.0,
    )  # ms that a record is held, of a drain and of a start

    def __init__(self, zones, check):
        """`zones`: names of those of which there may be a record; `check(value)` raises ValueError or TypeError where
        that is no summary."""
        self.zones, self.check = dict.fromkeys(zones), check
        self.records = {}  # key -> record
        self.sums = [0] * self.BUCKETS
        self.digest = 0
        self.listed = {}  # server -> version of the record that its own list's "drains" agreed with

    # Records

    @classmethod
    def bucket(cls, key):
        return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % cls.BUCKETS

    def flip(self, record):
        each = digest(record)
        self.sums[self.bucket(record[0])] ^= each
        self.digest ^= each

    def hold(self, record):
        held = self.records.pop(record[0], None)
        if held is not None:
            self.flip(held)
        self.records[record[0]] = record
        self.flip(record)

    def drop(self, key):
        self.flip(self.records.pop(key))

    def merge(self, wall, records):
        """Returns those of them that are news, and are held from now on. Raises ValueError or TypeError, with none held,
        where one is no record."""
        news = []
        for record in [self.read(*record) for record in records]:
            held = self.records.get(record[0])
            if held is not None and version(held) >= version(record):
                continue
            if record[0].startswith(SERVER) and (
                record[1] > wall + self.AHEAD
                or self.over(wall, record)
                or not self.room(record)
            ):
                continue
            self.hold(record)
            news.append(record)
        return news

    def read(self, key, epoch, counter, writer, value):
        if (
            not isinstance(writer, str)
            or not isinstance(counter, int)
            or not 0 <= counter < 2**48
            or not 0 <= epoch < 2**48
        ):
            raise ValueError("no record")
        if key.startswith(SERVER):
            draining, written = value
            return [
                key,
                float(epoch),
                counter,
                writer,
                [bool(draining), float(written)],
            ]
        if not key.startswith(ZONE) or key[len(ZONE) :] not in self.zones or epoch:
            raise ValueError("a record of nothing")
        self.check(value)
        return [key, 0, counter, writer, value]

    def over(self, wall, record):
        draining, written = record[4]
        return (
            max(record[1], written) + (self.DRAINING if draining else self.STARTED)
            < wall
        )

    def room(self, record):
        """Of too many the oldest go, at every instance the same ones."""
        if record[0] in self.records or len(self.records) < self.MOST + len(self.zones):
            return True
        oldest = min(
            (held for held in self.records.values() if held[0].startswith(SERVER)),
            key=self.age,
        )
        if self.age(oldest) >= self.age(record):
            return False
        self.drop(oldest[0])
        return True

    @staticmethod
    def age(record):
        return record[4][1], record[1], record[0]

    def forget(self, wall):
        for key in [
            key
            for key, record in self.records.items()
            if key.startswith(SERVER) and self.over(wall, record)
        ]:
            self.drop(key)

    # Differences

    def differing(self, sums):
        if len(sums) != self.BUCKETS:
            raise ValueError("not as many buckets")
        return [
            place
            for place, (mine, theirs) in enumerate(zip(self.sums, sums))
            if mine != theirs
        ]

    def within(self, buckets):
        """{bucket: records in it} of these, in one look at all that is held."""
        found = {bucket: [] for bucket in buckets}
        for key, record in sorted(self.records.items()):
            found.get(self.bucket(key), []).append(record)
        return found

    def ahead(self, buckets, records):
        """What this board has in `buckets` that is later than `records`, which are all that another has there."""
        theirs = {record[0]: version(record) for record in records}
        return [
            record
            for some in self.within(buckets).values()
            for record in some
            if record[0] not in theirs or theirs[record[0]] < version(record)
        ]

    # Zones

    def summary(self, zone):
        """The record of what was last said of a zone; None where nothing was."""
        return self.records.get(ZONE + zone)

    def write_summary(self, zone, writer, value):
        """Returns the record that is to be told."""
        held = self.summary(zone)
        record = [ZONE + zone, 0, (held[2] if held else 0) + 1, writer, value]
        self.hold(record)
        return record

    # Servers

    def list_says(self, wall, server, draining, started):
        """What the own list says now, in its order. Returns the record that is to be told to others, or None.

        A drain that the list calls over is over for all where the record is the one that the list had agreed with, or
        written: what was written since may be of another drain, of which the list doesn't know yet."""
        key, start = SERVER + server, started or 0.0
        held = self.records.get(key)
        before = self.listed.get(server)
        if draining:
            if (
                held is None
                or held[1] < start
                or not held[4][0]
                and held[1] == start
                and before is None
            ):
                record = self.write(wall, key, start, True)
                if record is not None:
                    self.agree(server, record)
                return record
            if before is None and held[4][0]:
                self.agree(server, held)
            return None
        self.listed.pop(server, None)
        if (
            before is not None
            and held is not None
            and held[4][0]
            and version(held) == before
        ):
            return self.write(wall, key, max(start, held[1]), False)
        if wall - self.STARTED < start <= wall + self.AHEAD and (
            held is None or held[1] < start
        ):
            record = [key, start, 0, "", [False, start]]
            return record if self.merge(wall, [record]) else None
        return None

    def write(self, wall, key, start, draining):
        held = self.records.get(key)
        counter = held[2] + 1 if held is not None and held[1] == start else 1
        record = [key, start, counter, "", [draining, wall]]
        return record if self.merge(wall, [record]) else None

    def agree(self, server, record):
        self.listed[server] = version(record)
        while len(self.listed) > self.MOST:
            del self.listed[next(iter(self.listed))]

    def drains(self, server, started):
        """Whether the process that started then (wall clock, ms; 0.0: not told) was told to drain."""
        held = self.records.get(SERVER + server)
        return held is not None and held[4][0] and (started or 0.0) <= held[1]

    def start(self, server, started):
        """The latest start that anyone was told of."""
        held = self.records.get(SERVER + server)
        return max(started or 0.0, held[1] if held is not None else 0.0)
