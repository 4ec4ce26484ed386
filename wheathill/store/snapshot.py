"""Snapshot of a whole replica."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from wheathill.store.entries import Entry, decode_row, encode_row
from wheathill.store.entry_key import EntryKey
from wheathill.store.version_vector import VersionVector


@dataclass(frozen=True, slots=True)
class ReplicaSnapshot:
    """All that a replica keeps.

    Attributes:
        lamport_time: time of the last change.
        version_vector: changes that are included.
        collected_vector: dots of the tombstones that were dropped.
        collected_lamport_time: latest Lamport time of these.
        entries: keys and entries, in the order of their last change.
    """

    lamport_time: int
    version_vector: VersionVector
    collected_vector: VersionVector
    collected_lamport_time: int
    entries: list[tuple[EntryKey, Entry]]

    def encode(self) -> list[Any]:
        """Return the stored form."""
        return [
            self.lamport_time,
            self.version_vector,
            self.collected_vector,
            self.collected_lamport_time,
            [encode_row(key, entry) for key, entry in self.entries],
        ]

    @staticmethod
    def decode(encoded: list[Any]) -> ReplicaSnapshot:
        """Return the snapshot of its stored form.

        Raises:
            ValueError: the data is no snapshot.
        """
        lamport_time, version_vector, collected_vector, collected_lamport_time, rows = (
            encoded
        )
        return ReplicaSnapshot(
            lamport_time,
            VersionVector(version_vector),
            VersionVector(collected_vector),
            collected_lamport_time,
            [decode_row(row) for row in rows],
        )
