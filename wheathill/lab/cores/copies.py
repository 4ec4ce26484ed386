"""Copies of the store in the virtual world, under random faults: they must come to the same digest.

Each instance has a disk: what its replica wrote, of which a start anew finds what was synced. It may be
killed, paused, cut off in one direction or both, started from an old copy of its disk, or kept away longer
than tombstones live.
"""

import random

import msgspec

from wheathill.config import Limits
from wheathill.lab.cores.ways import Faults, VirtualPeers
from wheathill.lab.worlds.virtual import VirtualWorld
from wheathill.store.replica import Replica
from wheathill.store.sync import Sync

LIMITS = Limits(sockets=100, connect=100.0, longest_dial=1000.0, idle=1000.0)
SYNC_MS = 40.0  # between two syncs of a disk


class Disk:
    """Records in the order of writing; `synced` of them outlive a kill."""

    def __init__(self):
        self.image = None
        self.last = None  # the id of the replica that ran on it last
        self.records = []
        self.synced = 0

    def copy(self):
        other = Disk()
        other.image, other.last, other.records = (
            self.image,
            self.last,
            self.records[: self.synced],
        )
        other.synced = self.synced
        return other


class Copy:
    """One instance: replica, sync and disk."""

    def __init__(self, copies, name, disk):
        self.copies, self.name, self.disk = copies, name, disk
        self.host = copies.hosts[name]
        self.clock = self.host.clock
        self.end = copies.peers.endpoint(self.host, self.received)
        copies.births += 1
        self.replica = Replica(
            name,
            f"{copies.births:x}",
            self.write,
            most_cells=copies.most_cells,
            most_bytes=copies.most_bytes,
        )
        now = self.clock.now()
        if disk.image is not None:
            self.replica.load(disk.image, now)
        for record in disk.records:
            if record[0] == "seen":
                self.replica.seen, self.replica.collected = (
                    dict(record[1]),
                    dict(record[2]),
                )
                self.replica.floor = record[3]
            else:
                self.replica.load_cell(record[1], record[2], now)
        self.replica.own_seen(disk.last)
        disk.last = self.replica.id
        rng = random.Random(f"{copies.seed}/{name}/{copies.births}")
        self.sync = Sync(
            self,
            rng,
            self.replica,
            lambda: list(copies.hosts),
            lambda: copies.counted,
            every=500.0,
            gather=5.0,
            patience=400.0,
        )
        self.sync.start(now)
        self.clock.after(SYNC_MS, self.sync_disk)

    def write(self, key, cell):
        self.disk.records.append(
            (
                "cell",
                key,
                None
                if cell is None
                else msgspec.msgpack.decode(msgspec.msgpack.encode(cell.words())),
            )
        )

    def sync_disk(self):
        """What a start finds: cells first, then the vector that they bring it to."""
        self.disk.records.append(
            (
                "seen",
                dict(self.replica.seen),
                dict(self.replica.collected),
                self.replica.floor,
            )
        )
        self.disk.synced = len(self.disk.records)
        self.clock.after(SYNC_MS, self.sync_disk)

    def received(self, data, came_from):
        self.sync.on_message(self.clock.now(), came_from, msgspec.msgpack.decode(data))

    def send(self, member, words):
        data = msgspec.msgpack.encode(words)
        self.copies.bytes += len(data)
        self.end.send(member, data)

    def alarm(self, at, what):
        self.clock.at(at, self.ring, what)

    def ring(self, what):
        self.sync.on_alarm(self.clock.now(), what)


class Copies:
    def __init__(
        self, seed, count=5, most_cells=100_000, most_bytes=10_000_000, **faults
    ):
        self.seed = seed
        self.most_cells, self.most_bytes = most_cells, most_bytes
        self.rng = random.Random(f"{seed}/copies")
        self.world = VirtualWorld(
            seed, {"same": 1.0, "cross": 1.0, "client": 1.0, "jitter": 0.0, "hop": 0.0}
        )
        self.clock = self.world.clock
        self.faults = Faults(random.Random(f"{seed}/faults"), 1.0, 0.5, **faults)
        self.peers = VirtualPeers(self.clock, self.faults)
        self.bytes = self.births = 0
        names = [f"i{number}" for number in range(count)]
        self.counted = list(names)
        self.hosts = {name: self.world.host(name, "east", LIMITS) for name in names}
        self.disks = {name: Disk() for name in names}
        self.copies = {name: Copy(self, name, self.disks[name]) for name in names}

    def kill(self, name):
        """What was not synced is lost."""
        disk = self.disks[name]
        del disk.records[disk.synced :]
        self.hosts[name].end()
        del self.copies[name]

    def start(self, name, disk=None):
        self.hosts[name].begin()
        if disk is not None:
            self.disks[name] = disk
        self.copies[name] = Copy(self, name, self.disks[name])

    def run(self, ms):
        self.clock.run(self.clock.now() + ms)

    def digests(self):
        return {name: copy.replica.digest() for name, copy in self.copies.items()}

    def write(self):
        """One random change at one instance that runs."""
        draw = self.rng
        running = [name for name in self.copies if not self.hosts[name].paused]
        if not running:
            return
        copy = self.copies[draw.choice(running)]
        replica, key = copy.replica, f"k{draw.randrange(12)}"
        what = draw.randrange(7)
        if what == 0:
            replica.set(key, draw.randrange(1000))
        elif what == 1:
            replica.delete(key)
        elif what == 2:
            replica.add(key, 1)
        elif what == 3:
            replica.include(key, f"e{draw.randrange(4)}")
        elif what == 4:
            replica.exclude(key, f"e{draw.randrange(4)}")
        elif what == 5:
            replica.acquire(key, self.clock.now(), 300.0)
        else:
            replica.forget_counts(draw.choice(list(self.hosts)))
        copy.sync.changed(self.clock.now())

    def trouble(self):
        """One random fault, or the end of one."""
        draw, names = self.rng, list(self.hosts)
        what, name = draw.randrange(8), draw.choice(names)
        if what == 0 and name in self.copies and len(self.copies) > 2:
            self.kill(name)
        elif what in (1, 2) and name not in self.copies:
            self.start(name)
        elif what == 3 and name in self.copies:
            self.hosts[name].pause()
        elif what == 4:
            self.hosts[name].resume()
        elif what == 5:
            split = draw.randrange(1, len(names))
            self.faults.cut(names[:split], names[split:], both=draw.random() < 0.5)
        elif what == 6:
            self.faults.mend()
        elif what == 7 and name in self.copies:
            old = self.disks[name].copy()
            self.run(200.0)
            if name in self.copies:
                self.kill(name)
            self.start(name, old)
        # Who is away for long does not count: tombstones go without it.
        self.counted = (
            [name for name in names if name in self.copies]
            if draw.random() < 0.5
            else names
        )

    def calm(self, ms):
        """All faults over; what runs meets."""
        self.faults.mend()
        self.faults.loss = self.faults.doubled = self.faults.overtaken = 0.0
        self.counted = list(self.hosts)
        for name, host in self.hosts.items():
            if name not in self.copies:
                self.start(name)
            host.resume()
        self.run(ms)


def converges(seed, steps=60, **more):
    """Plays random changes and faults; (whether all digests are equal at the end, the digests)."""
    copies = Copies(seed, loss=0.1, doubled=0.1, overtaken=0.2, **more)
    for _ in range(steps):
        for _ in range(copies.rng.randrange(6)):
            copies.write()
        if copies.rng.random() < 0.3:
            copies.trouble()
        copies.run(copies.rng.uniform(1.0, 120.0))
    copies.calm(8000.0)
    found = copies.digests()
    return len(set(found.values())) == 1, found, copies
