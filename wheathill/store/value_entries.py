"""Entries of which the later write wins: registers, parts of counters, and leases."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Self

from wheathill.store.entry_decoding import check, check_fields, decode_vector
from wheathill.store.entry_key import EntryKind
from wheathill.store.version_vector import Dot, Version, VersionVector

VALUE_ENTRY_FIELDS = 5


@dataclass(frozen=True, slots=True)
class Lease:
    """Value of a lease.

    Attributes:
        owner: id of the replica that holds it.
        token: fencing token, which only grows.
        term_ms: for how long it was taken.
    """

    owner: str
    token: int
    term_ms: float

    def encode(self) -> list[Any]:
        """Return the stored form."""
        return [self.owner, self.token, self.term_ms]

    @staticmethod
    def decode(encoded: list[Any]) -> Lease:
        """Return the lease of its stored form."""
        owner, token, term_ms = encoded
        return Lease(owner, token, term_ms)


@dataclass(frozen=True, slots=True)
class LastWriterWinsEntry:
    """Base of entries of which the later write wins.

    Writes are ordered by (Lamport time, replica id, sequence).

    Attributes:
        lamport_time: counts writes, not milliseconds.
        replica_id: replica of the write.
        sequence: number of the write at that replica.
        value: None is a tombstone.
        superseded: replica id -> last sequence number of the writes that this one has
            won over. Who collects the tombstone must have seen these too: one of them
            might arrive late and be taken for new.
    """

    lamport_time: int
    replica_id: str
    sequence: int
    value: Any
    superseded: VersionVector

    @property
    def is_live(self) -> bool:
        """Whether this is no tombstone."""
        return self.value is not None

    @property
    def version(self) -> Version:
        """What orders the writes of one key."""
        return Version(self.lamport_time, self.replica_id, self.sequence)

    @property
    def dot(self) -> Dot:
        """The change that wrote this entry."""
        return Dot(self.replica_id, self.sequence)

    def current_dots(self) -> tuple[tuple[str, int], ...]:
        """Return the dots of the present state."""
        return ((self.replica_id, self.sequence),)

    def all_dots(self) -> tuple[tuple[str, int], ...]:
        """Return the dots of the present state and of all that it has won over."""
        return (*self.superseded.items(), (self.replica_id, self.sequence))

    def digest_state(self) -> list[Any]:
        """Return what a digest of live entries covers."""
        return [*self.version, self.value]

    def merge(self, other: Self) -> Self:
        """Return the later write, with all that either has won over."""
        if self.version < other.version:
            return other.merge(self)
        superseded = self.superseded.merged_with(other.superseded)
        if self.dot != other.dot:
            superseded = superseded.merged_with({other.replica_id: other.sequence})
        if superseded == self.superseded:
            return self
        return type(self)(*self.version, self.value, superseded)

    def encode(self) -> list[Any]:
        """Return the form that is stored and sent."""
        return [
            self.lamport_time,
            self.replica_id,
            self.sequence,
            self.value,
            self.superseded,
        ]

    @classmethod
    def decode(cls, encoded: list[Any]) -> Self:
        """Return the entry of its stored form.

        Raises:
            MalformedEntryError: the data is no such entry.
        """
        check_fields(encoded, VALUE_ENTRY_FIELDS)
        lamport_time, replica_id, sequence, value, superseded = encoded
        check(isinstance(lamport_time, int) and isinstance(replica_id, str))
        check(isinstance(sequence, int) and sequence > 0)
        return cls(lamport_time, replica_id, sequence, value, decode_vector(superseded))


@dataclass(frozen=True, slots=True)
class RegisterEntry(LastWriterWinsEntry):
    """A value that is written as a whole."""


@dataclass(frozen=True, slots=True)
class CounterEntry(LastWriterWinsEntry):
    """One instance's part of a counter; only that instance writes it."""


@dataclass(frozen=True, slots=True)
class LeaseEntry(LastWriterWinsEntry):
    """A lease; the value is the stored form of `Lease`."""

    @property
    def lease(self) -> Lease:
        """The lease that a live entry holds."""
        return Lease.decode(self.value)


VALUE_ENTRY_TYPES: dict[EntryKind, type[LastWriterWinsEntry]] = {
    EntryKind.REGISTER: RegisterEntry,
    EntryKind.COUNTER: CounterEntry,
    EntryKind.LEASE: LeaseEntry,
}


def new_value_entry(
    kind: EntryKind,
    version: Version,
    value: object,
    previous: LastWriterWinsEntry | None,
) -> LastWriterWinsEntry:
    """Return the entry of a write that wins over `previous`.

    A `value` of None makes a tombstone.
    """
    superseded = VersionVector()
    if previous is not None:
        superseded = superseded.merged_with(dict(previous.all_dots()))
    return VALUE_ENTRY_TYPES[kind](*version, value, superseded)
