"""What the store is made of: cells that merge the same in whatever order they meet.

A cell belongs to one (kind, key, part). Each change of it carries a dot, (replica, number): which change of
which replica it is. Merging is commutative, associative and idempotent for every kind (a join of a
semilattice, after Shapiro, Preguiça, Baquero, Zawirski, "Conflict-free Replicated Data Types", 2011), so
copies, late ones and old ones do no harm. Cells are never changed in place.
"""

REGISTER, COUNTER, SET, LEASE = "register", "counter", "set", "lease"
KINDS = (REGISTER, COUNTER, SET, LEASE)


class Value:
    """A register, a lease or one instance's part of a counter: the later write wins, by (time, replica),
    where time is Lamport's and counts writes. `value` None is a tombstone. `over`: replica -> the last number
    of what it has won over; whoever drops it must have seen these too, or one of them might come late and be
    taken in."""

    __slots__ = ("time", "replica", "number", "value", "over")

    def __init__(self, time, replica, number, value, over):
        self.time, self.replica, self.number, self.value, self.over = (
            time,
            replica,
            number,
            value,
            over,
        )

    @property
    def alive(self):
        return self.value is not None

    def dots(self):
        return ((self.replica, self.number),)

    def all_dots(self):
        return (*self.over.items(), (self.replica, self.number))

    def live(self):
        return [self.time, self.replica, self.number, self.value]

    def merge(self, other):
        if (self.time, self.replica, self.number) < (
            other.time,
            other.replica,
            other.number,
        ):
            return other.merge(self)
        over = most(self.over, other.over)
        if (self.replica, self.number) != (other.replica, other.number):
            over = most(over, {other.replica: other.number})
        return (
            self
            if over == self.over
            else Value(self.time, self.replica, self.number, self.value, over)
        )

    def words(self):
        return [self.time, self.replica, self.number, self.value, self.over]

    @staticmethod
    def read(words):
        time, replica, number, value, over = words
        check(
            isinstance(time, int)
            and isinstance(replica, str)
            and isinstance(number, int)
            and number > 0
        )
        check(
            isinstance(over, dict)
            and all(isinstance(each, int) for each in over.values())
        )
        return Value(time, replica, number, value, over)


class Element:
    """One element of a set: it is in while some add was not seen by any removal, so that of an add and a
    removal at the same time the add wins. `adds`, `removals`: replica -> the last number of its adds, and up
    to which those were seen by a removal; `changes`: replica -> number of its last change."""

    __slots__ = ("time", "adds", "removals", "changes")

    def __init__(self, time, adds, removals, changes):
        self.time, self.adds, self.removals, self.changes = (
            time,
            adds,
            removals,
            changes,
        )

    @property
    def alive(self):
        return any(
            number > self.removals.get(replica, 0)
            for replica, number in self.adds.items()
        )

    @property
    def value(self):
        return self.alive or None

    def live(self):
        """The adds by which it is in."""
        return sorted(
            [replica, number]
            for replica, number in self.adds.items()
            if number > self.removals.get(replica, 0)
        )

    def dots(self):
        return tuple(self.changes.items())

    all_dots = dots

    def merge(self, other):
        return Element(
            max(self.time, other.time),
            most(self.adds, other.adds),
            most(self.removals, other.removals),
            most(self.changes, other.changes),
        )

    def words(self):
        return [
            self.time,
            *(
                dict(sorted(each.items()))
                for each in (self.adds, self.removals, self.changes)
            ),
        ]

    @staticmethod
    def read(words):
        time, adds, removals, changes = words
        check(isinstance(time, int) and changes)
        for each in (adds, removals, changes):
            check(
                isinstance(each, dict)
                and all(isinstance(number, int) for number in each.values())
            )
        return Element(time, adds, removals, changes)


def read(kind, words):
    """A cell from its words; ValueError for what is none."""
    check(
        kind in KINDS
        and isinstance(words, list)
        and len(words) == (4 if kind == SET else 5)
    )
    return (Element if kind == SET else Value).read(words)


def check(good):
    if not good:
        raise ValueError("no cell of the store")


def most(one, other):
    """The larger of each, in one order of replicas for all."""
    return {
        replica: max(one.get(replica, 0), other.get(replica, 0))
        for replica in sorted({**one, **other})
    }


def covers(vector, dots):
    """Whether a version vector (replica -> number) has all the dots."""
    return all(vector.get(replica, 0) >= number for replica, number in dots)
