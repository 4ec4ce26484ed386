"""One instance's copy of the store, without I/O: writes at once, and meets the others' copies by and by.

Reconciliation is by version vectors (Parker et al. 1983): `seen` tells, replica by replica, up to which
number its changes are in this copy. Whoever asks sends its own vector and is sent the cells that hold a later
dot. Each start of an instance is a replica of its own, named by chance, so that a directory brought back from
an old copy can't give a dot out twice.

A cell that is absent here while its dots are seen was deleted here: it is not taken in again, however late or
from whoever it comes. Tombstones are dropped once every member that counts has seen them; a member that has
not (it was away) is sent the whole, and drops what it holds of what the sender has seen and no longer has.
What it has written meanwhile, or learnt from others that were away, it writes anew: later than anything that
a dropped tombstone may have won over. Until it has the whole nothing is taken from it (`behind`).

Bounds: `most_cells` and `most_bytes` of all that is alive; over them the oldest cells of the kind with the
lowest worth go, as deletes, and `evicted` counts them. Tombstones are not counted: they go by themselves once
all have seen them, and a member that is gone for long does not count. Forced out sooner, two copies that have
each dropped what the other has not seen would wait for one another for good.
"""

import hashlib

from msgspec import msgpack

from wheathill.store.cells import (
    COUNTER,
    KINDS,
    LEASE,
    REGISTER,
    SET,
    Element,
    Value,
    covers,
    most,
    read,
)

CHUNK = 200  # cells a message
LEASE_MARGIN = 0.1  # a share of a lease's term that its holder gives up early, and others wait longer


class Replica:
    """`name` is the instance's, `birth` text that no other start has. `write(key, cell)` is told of every
    change that is to be made durable. Times are this instance's own monotonic ms, and never leave it."""

    def __init__(
        self,
        name,
        birth,
        write,
        *,
        most_cells,
        most_bytes,
        worth=(REGISTER, LEASE, SET, COUNTER),
    ):
        self.name = name
        self.id = f"{name}/{birth}"
        self.write = write
        self.most_cells, self.most_bytes = most_cells, most_bytes
        self.worth = worth  # kinds, the worthiest first
        self.cells = {}  # (kind, key, part) -> cell
        self.sizes = {}  # the same -> bytes, 0 for a tombstone
        self.bytes = dict.fromkeys(KINDS, 0)
        self.counts = dict.fromkeys(KINDS, 0)
        self.seen = {}  # replica -> number
        self.time = 0
        self.collected = {}  # dots of the tombstones that were dropped, as a vector
        self.floor = 0  # the latest time of these
        self.others = {}  # member -> its vector as last told
        self.since = {}  # (kind, key, part) of leases -> when first seen here
        self.tombs = {}  # keys of tombstones, oldest first -> None
        self.evicted = 0
        self.fresh = {}  # keys changed here, not yet pushed -> None
        self.gap = False  # and one of them was dropped since, with what it said
        self.told = 0  # the last number of this replica that was pushed

    # Reading

    def get(self, key, kind=REGISTER):
        cell = self.cells.get((kind, key, ""))
        return cell.value if cell is not None else None

    def parts(self, kind, key):
        return [
            (part, cell)
            for (its, named, part), cell in self.cells.items()
            if its == kind and named == key and cell.alive
        ]

    def count(self, key):
        return sum(cell.value for _, cell in self.parts(COUNTER, key))

    def members(self, key):
        return sorted(part for part, _ in self.parts(SET, key))

    # Writing: at once, here

    def dot(self):
        self.time += 1
        number = self.seen[self.id] = self.seen.get(self.id, 0) + 1
        return self.time, self.id, number

    def set(self, key, value, kind=REGISTER, part=""):
        key = kind, key, part
        self.put(key, Value(*self.dot(), value, self.over(key)))

    def over(self, key):
        """What a new write of it wins over."""
        old = self.cells.get(key)
        return most({}, dict(old.all_dots())) if old is not None else {}

    def delete(self, key, kind=REGISTER, part=""):
        if (kind, key, part) in self.cells:
            self.set(key, None, kind, part)

    def add(self, key, by):
        """Each instance writes its own part only; what a counter stands at is the sum of them."""
        cell = self.cells.get((COUNTER, key, self.name))
        self.set(key, (cell.value or 0 if cell else 0) + by, COUNTER, self.name)

    def forget_counts(self, name):
        """The parts of an instance that is gone for good, or has started anew and counts from nothing."""
        for kind, key, part in [
            found for found in self.cells if found[0] == COUNTER and found[2] == name
        ]:
            if self.cells[kind, key, part].alive:
                self.delete(key, COUNTER, part)

    def include(self, key, element):
        self.change_element(
            key,
            element,
            lambda cell, replica, number: (
                {**cell.adds, replica: number},
                cell.removals,
            ),
        )

    def exclude(self, key, element):
        if (SET, key, element) in self.cells:
            self.change_element(
                key,
                element,
                lambda cell, _replica, _number: (
                    cell.adds,
                    most(cell.removals, cell.adds),
                ),
            )

    def change_element(self, key, element, change):
        old = self.cells.get((SET, key, element)) or Element(0, {}, {}, {})
        time, replica, number = self.dot()
        adds, removals = change(old, replica, number)
        self.put(
            (SET, key, element),
            Element(time, adds, removals, {**old.changes, replica: number}),
        )

    # Leases

    def acquire(self, key, now, term):
        """Takes or renews a lease for `term` ms; False while another may hold it. Two that can't reach each
        other may both take one: the later write wins when they meet, and what the lease guards must compare
        its number, which only grows."""
        cell = self.cells.get((LEASE, key, ""))
        number = 1
        if cell is not None and cell.alive:
            owner, number, theirs = cell.value
            if owner != self.id:
                if now < self.since[LEASE, key, ""] + theirs * (1 + LEASE_MARGIN):
                    return False
                number += 1
            elif not self.holds(key, now):
                number += 1  # it had run out: others may have thought so
        self.set(key, [self.id, number, term], LEASE)
        self.since[LEASE, key, ""] = now
        return True

    def holds(self, key, now):
        """Counted from before it was written, by this process's own clock: one that slept for longer wakes
        without it, and a start anew holds nothing."""
        cell = self.cells.get((LEASE, key, ""))
        return (
            cell is not None
            and cell.alive
            and cell.value[0] == self.id
            and now < self.since[LEASE, key, ""] + cell.value[2] * (1 - LEASE_MARGIN)
        )

    def lease(self, key):
        """(owner, number) or None."""
        cell = self.cells.get((LEASE, key, ""))
        return (
            (cell.value[0], cell.value[1]) if cell is not None and cell.alive else None
        )

    # Keeping

    def put(self, key, cell):
        """A change made here."""
        self.store(key, cell)
        self.write(key, cell)
        self.fresh[key] = None
        self.keep_bounds()

    def store(self, key, cell):
        size = len(msgpack.encode([key, cell.words()])) if cell.alive else 0
        self.weigh(key, size)
        # In order of the last change, so that the oldest stand first.
        self.cells.pop(key, None)
        self.cells[key], self.sizes[key] = cell, size
        self.tombs.pop(key, None)
        if not cell.alive:
            self.tombs[key] = None

    def weigh(self, key, size):
        old = self.sizes.get(key, 0)
        self.bytes[key[0]] += size - old
        self.counts[key[0]] += bool(size) - bool(old)

    def drop(self, key):
        self.weigh(key, 0)
        del self.cells[key], self.sizes[key]
        self.tombs.pop(key, None)
        self.since.pop(key, None)
        self.gap |= key in self.fresh

    def keep_bounds(self):
        while (
            sum(self.bytes.values()) > self.most_bytes
            or sum(self.counts.values()) > self.most_cells
        ):
            if not self.evict():
                return

    def evict(self):
        for kind in reversed(self.worth):
            key = next(
                (
                    key
                    for key, cell in self.cells.items()
                    if key[0] == kind and cell.alive
                ),
                None,
            )
            if key is not None:
                self.evicted += 1
                if kind == SET:
                    old = self.cells[key]
                    time, replica, number = self.dot()
                    gone = Element(
                        time,
                        old.adds,
                        most(old.removals, old.adds),
                        {**old.changes, replica: number},
                    )
                else:
                    gone = Value(*self.dot(), None, self.over(key))
                self.store(key, gone)
                self.write(key, gone)
                self.fresh[key] = None
                return True
        return False

    # Meeting others

    def take_fresh(self):
        """What was changed here since the last call: (first, last, cells), the numbers that they stand for;
        (0, 0, cells) where one is gone already, as then they stand for no whole range."""
        fresh, gap = self.fresh, self.gap
        self.fresh, self.gap = {}, False
        first, last = self.told + 1, self.seen.get(self.id, 0)
        self.told = last
        cells = [[*key, self.cells[key].words()] for key in fresh if key in self.cells]
        return (0, 0, cells) if gap else (first, last, cells)

    def merge(self, words, now):
        """Takes cells in; True if this copy changed. Does not move the vector: only a whole answer may."""
        changed = False
        for kind, name, part, state in words:
            cell = read(kind, state)
            key = kind, name, part
            old = self.cells.get(key)
            self.time = max(self.time, cell.time)
            if old is None and covers(self.seen, cell.dots()):
                continue  # seen, and deleted since
            if kind == SET:
                cell = self.without_deleted(cell, old)
            new = cell if old is None else old.merge(cell)
            if old is not None and new.words() == old.words():
                continue
            if kind == LEASE and (old is None or new.dots() != old.dots()):
                self.since[key] = now
            self.store(key, new)
            self.write(key, new)
            changed = True
        self.keep_bounds()
        return changed

    def without_deleted(self, cell, old):
        """Of an element: adds that were seen here and are no longer held were removed here."""
        held = old.adds if old is not None else {}
        adds = {
            replica: number
            for replica, number in cell.adds.items()
            if number > self.seen.get(replica, 0) or held.get(replica, 0) >= number
        }
        return (
            cell
            if len(adds) == len(cell.adds)
            else Element(cell.time, adds, cell.removals, cell.changes)
        )

    def pushed(self, replica, first, last, words, now):
        """Changes `first` to `last` of one replica, pushed as they were made: with none missing before them
        they count as seen, else the next reconciliation brings the rest."""
        changed = self.merge(words, now)
        if first and self.seen.get(replica, 0) >= first - 1:
            self.seen[replica] = max(self.seen.get(replica, 0), last)
        return changed

    def answer(self, member, vector):
        """For a member with that vector: (whole, chunks of cells, the vector that they bring it to, what was
        collected here and its latest time)."""
        self.note(member, vector)
        whole = self.behind(vector)
        wanted = [
            [*key, cell.words()]
            for key, cell in self.cells.items()
            if whole or not covers(vector, cell.dots())
        ]
        chunks = [
            wanted[place : place + CHUNK] for place in range(0, len(wanted), CHUNK)
        ] or [[]]
        return whole, chunks, dict(self.seen), dict(self.collected), self.floor

    def behind(self, vector):
        """Whether who has this vector has still to be sent the whole from here."""
        return not covers(vector, self.collected.items())

    def answered(self, whole, cells, vector, collected, floor, now):
        """All cells of an answer, and the sender's vector as it stood when it was made."""
        changed = False
        if self.behind(vector):
            return False  # the sender needs the whole itself first
        if whole:
            self.collected = most(self.collected, collected)
            self.floor = max(self.floor, floor)
            self.time = max(self.time, floor)
            changed = self.let_go(cells, vector)
            self.write_anew(vector)
        changed |= self.merge(cells, now)
        self.seen = most(self.seen, vector)
        return changed

    def let_go(self, cells, vector):
        """Of what the sender has seen and no longer has: deleted there, and its tombstone dropped."""
        held = {
            (kind, name, part): read(kind, state) for kind, name, part, state in cells
        }
        changed = False
        for key, cell in list(self.cells.items()):
            theirs = held.get(key)
            if theirs is None:
                if covers(vector, cell.dots()):
                    self.drop(key)
                    self.write(key, None)
                    changed = True
            elif key[0] == SET:
                # An element may be in by a later add only: those that the sender let go of go here too.
                adds = {
                    replica: number
                    for replica, number in cell.adds.items()
                    if number > vector.get(replica, 0)
                    or theirs.adds.get(replica, 0) >= number
                }
                if len(adds) < len(cell.adds):
                    changes = {
                        replica: number
                        for replica, number in cell.changes.items()
                        if number > vector.get(replica, 0) or replica in theirs.changes
                    }
                    kept = Element(
                        cell.time, adds, cell.removals, changes or theirs.changes
                    )
                    self.store(key, kept)
                    self.write(key, kept)
                    changed = True
        return changed

    def write_anew(self, vector):
        """What is not known where tombstones were dropped, at a time that these can't have won over."""
        for key, cell in list(self.cells.items()):
            if not cell.alive or covers(vector, cell.dots()) or cell.time > self.floor:
                continue
            if key[0] == SET:
                self.include(key[1], key[2])
            elif key[0] != COUNTER or key[2] == self.name:
                time, replica, number = self.dot()
                self.put(
                    key,
                    Value(self.floor + 1, replica, number, cell.value, self.over(key)),
                )
            else:
                # Another instance's part of a counter: that instance writes it anew itself.
                self.drop(key)
                self.write(key, None)

    def note(self, member, vector):
        self.others[member] = most(self.others.get(member, {}), vector)

    def collect(self, members):
        """Drops the tombstones that every one of `members`, those that count, has seen."""
        vectors = [
            self.others.get(member, {}) for member in members if member != self.name
        ] + [self.seen]
        for key in list(self.tombs):
            if all(covers(vector, self.cells[key].all_dots()) for vector in vectors):
                self.collect_one(key)

    def collect_one(self, key):
        self.collected = most(
            self.collected, most({}, dict(self.cells[key].all_dots()))
        )
        self.floor = max(self.floor, self.cells[key].time)
        self.drop(key)
        self.write(key, None)

    # The whole

    def digest(self):
        """Of all that is alive: equal at two copies exactly if they hold the same. What a removal leaves
        behind in an element that is in again is no part of it: one copy may have let go of it, another not
        yet."""
        found = hashlib.blake2b(digest_size=16)
        for key in sorted(key for key, cell in self.cells.items() if cell.alive):
            found.update(msgpack.encode([key, self.cells[key].live()]))
        return found.hexdigest()

    def image(self):
        """All of it as words, for a snapshot."""
        return [
            self.time,
            dict(self.seen),
            dict(self.collected),
            self.floor,
            [[*key, cell.words()] for key, cell in self.cells.items()],
        ]

    def load(self, image, now):
        """From a snapshot, or one started from. What of it was pushed or not is not known: nothing is fresh.
        A lease's term is counted from now, as nobody knows how long this instance was away."""
        self.time, seen, collected, self.floor, cells = image
        self.seen, self.collected = dict(seen), dict(collected)
        for kind, name, part, state in cells:
            key = kind, name, part
            self.load_cell(key, state, now)

    def load_cell(self, key, state, now):
        """One record of a log: a cell as it stood, or None where it was dropped."""
        if state is None:
            if key in self.cells:
                self.drop(key)
            return
        cell = read(key[0], state)
        self.store(key, cell)
        self.time = max(self.time, cell.time)
        if key[0] == LEASE:
            self.since[key] = now

    def own_seen(self, last):
        """What the start of this instance that ran last on this directory (its replica's id) changed was
        changed here, in order: all up to the last is held. Not so of earlier ones: the directory may be an
        old copy that was brought back, and what they changed after it came from others, with gaps."""
        for cell in self.cells.values():
            for replica, number in cell.dots():
                if replica == last:
                    self.seen[replica] = max(self.seen.get(replica, 0), number)
