"""Last-writer-wins entries: registers, parts of counters, and leases."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Self

from wheathill.store.entry_decoding import decode_vector, require, require_field_count
from wheathill.store.entry_key import EntryKind
from wheathill.store.version_vector import Dot, Version, VersionVector

VALUE_ENTRY_FIELDS = 5


@dataclass(frozen=True, slots=True)
class Lease:
    """Value of a lease.

    Attributes:
        owner: id of the replica that holds it.
        token: fencing token, which never decreases.
        term_ms: duration of the lease from each acquisition or renewal.
    """

    owner: str
    token: int
    term_ms: float

    def encode(self) -> list[Any]:
        """Return the stored form of the lease."""
        return [self.owner, self.token, self.term_ms]

    @staticmethod
    def decode(encoded: list[Any]) -> Lease:
        """Decode a lease from its stored form."""
        owner, token, term_ms = encoded
        return Lease(owner, token, term_ms)


@dataclass(frozen=True, slots=True)
class LastWriterWinsEntry:
    """Base class of entries whose latest write wins.

    Writes are ordered by (Lamport time, replica id, sequence).

    Attributes:
        lamport_time: Lamport time of the write.
        replica_id: replica that made the write.
        sequence: sequence number of the write at that replica.
        value: value that was written; None marks a tombstone.
        superseded: replica id -> last sequence number of the writes that this one
            superseded. A tombstone is collected only once these have been seen too,
            because one that arrived late would otherwise be treated as new.
    """

    lamport_time: int
    replica_id: str
    sequence: int
    value: Any
    superseded: VersionVector

    @property
    def is_live(self) -> bool:
        """Whether the entry is not a tombstone."""
        return self.value is not None

    @property
    def version(self) -> Version:
        """Version of the write, which orders the writes to one key."""
        return Version(self.lamport_time, self.replica_id, self.sequence)

    @property
    def dot(self) -> Dot:
        """Dot of the change that wrote this entry."""
        return Dot(self.replica_id, self.sequence)

    def current_dots(self) -> tuple[tuple[str, int], ...]:
        """Return the dots of the current state."""
        return ((self.replica_id, self.sequence),)

    def all_dots(self) -> tuple[tuple[str, int], ...]:
        """Return the dots of the current state and of all superseded writes."""
        return (*self.superseded.items(), (self.replica_id, self.sequence))

    def digest_state(self) -> list[Any]:
        """Return the fields that a digest of live entries covers."""
        return [*self.version, self.value]

    def merge(self, other: Self) -> Self:
        """Return the later write, with all writes that either entry superseded."""
        if self.version < other.version:
            return other.merge(self)
        superseded = self.superseded.merged_with(other.superseded)
        if self.dot != other.dot:
            superseded = superseded.merged_with({other.replica_id: other.sequence})
        if superseded == self.superseded:
            return self
        return type(self)(*self.version, self.value, superseded)

    def encode(self) -> list[Any]:
        """Return the form for disk and wire."""
        return [
            self.lamport_time,
            self.replica_id,
            self.sequence,
            self.value,
            self.superseded,
        ]

    @classmethod
    def decode(cls, encoded: list[Any]) -> Self:
        """Decode the entry from its stored form.

        Raises:
            MalformedEntryError: the data is not a valid entry of this class.
        """
        require_field_count(encoded, VALUE_ENTRY_FIELDS)
        lamport_time, replica_id, sequence, value, superseded = encoded
        require(isinstance(lamport_time, int) and isinstance(replica_id, str))
        require(isinstance(sequence, int) and sequence > 0)
        return cls(lamport_time, replica_id, sequence, value, decode_vector(superseded))


@dataclass(frozen=True, slots=True)
class RegisterEntry(LastWriterWinsEntry):
    """Register: a value that each write replaces as a whole."""


@dataclass(frozen=True, slots=True)
class CounterEntry(LastWriterWinsEntry):
    """One instance's part of a counter, to which only that instance adds."""


@dataclass(frozen=True, slots=True)
class LeaseEntry(LastWriterWinsEntry):
    """Lease entry, whose value is the stored form of `Lease`."""

    @property
    def lease(self) -> Lease:
        """The decoded lease; the entry must be live."""
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
    """Return an entry for a write that supersedes `previous`.

    A `value` of None creates a tombstone.
    """
    superseded = VersionVector()
    if previous is not None:
        superseded = superseded.merged_with(dict(previous.all_dots()))
    return VALUE_ENTRY_TYPES[kind](*version, value, superseded)
