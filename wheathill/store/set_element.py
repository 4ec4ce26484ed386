"""Elements of observed-remove sets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from wheathill.store.entry_decoding import decode_vector, require, require_field_count
from wheathill.store.version_vector import Dot, Version, VersionVector

SET_ELEMENT_FIELDS = 4


@dataclass(frozen=True, slots=True)
class SetElementEntry:
    """One element of an observed-remove set.

    The element is in the set while some add has not been observed by any removal, so an
    add wins over a concurrent removal.

    Attributes:
        lamport_time: Lamport time of the last change.
        adds: replica id -> sequence number of its last add.
        removals: replica id -> sequence number up to which its adds were observed by a
            removal.
        changes: replica id -> sequence number of its last change.
    """

    lamport_time: int
    adds: VersionVector
    removals: VersionVector
    changes: VersionVector

    @property
    def is_live(self) -> bool:
        """Whether the element is in the set."""
        return any(
            sequence > self.removals.get(replica_id, 0)
            for replica_id, sequence in self.adds.items()
        )

    def current_dots(self) -> tuple[tuple[str, int], ...]:
        """Return the dot of each replica's last change."""
        return tuple(self.changes.items())

    def all_dots(self) -> tuple[tuple[str, int], ...]:
        """Return `current_dots`, as adds and removals do not supersede writes."""
        return self.current_dots()

    def digest_state(self) -> list[Any]:
        """Return the adds that no removal has observed, sorted."""
        return sorted(
            [replica_id, sequence]
            for replica_id, sequence in self.adds.items()
            if sequence > self.removals.get(replica_id, 0)
        )

    def with_add(self, version: Version) -> SetElementEntry:
        """Return the element after an add."""
        dot = Dot(version.replica_id, version.sequence)
        return SetElementEntry(
            version.lamport_time,
            self.adds.including(dot),
            self.removals,
            self.changes.including(dot),
        )

    def with_removal(self, version: Version) -> SetElementEntry:
        """Return the element after a removal that observed all its current adds."""
        return SetElementEntry(
            version.lamport_time,
            self.adds,
            self.removals.merged_with(self.adds),
            self.changes.including(Dot(version.replica_id, version.sequence)),
        )

    def merge(self, other: SetElementEntry) -> SetElementEntry:
        """Return the join of this entry and another one."""
        return SetElementEntry(
            max(self.lamport_time, other.lamport_time),
            self.adds.merged_with(other.adds),
            self.removals.merged_with(other.removals),
            self.changes.merged_with(other.changes),
        )

    def encode(self) -> list[Any]:
        """Return the form for disk and wire, with the replicas sorted."""
        return [
            self.lamport_time,
            *(
                dict(sorted(vector.items()))
                for vector in (self.adds, self.removals, self.changes)
            ),
        ]

    @classmethod
    def decode(cls, encoded: list[Any]) -> SetElementEntry:
        """Decode the entry from its stored form.

        Raises:
            MalformedEntryError: the data is not a valid set element.
        """
        require_field_count(encoded, SET_ELEMENT_FIELDS)
        lamport_time, adds, removals, changes = encoded
        require(isinstance(lamport_time, int) and bool(changes))
        return cls(
            lamport_time,
            decode_vector(adds),
            decode_vector(removals),
            decode_vector(changes),
        )


NEW_SET_ELEMENT = SetElementEntry(0, VersionVector(), VersionVector(), VersionVector())
