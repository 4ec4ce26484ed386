"""Snapshot of a replica."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from wheathill.store.entries import Entry, decode_row, encode_row
from wheathill.store.entry_key import EntryKey
from wheathill.store.version_vector import VersionVector


@dataclass(frozen=True, slots=True)
class ReplicaSnapshot:
    """Complete durable state of a replica.

    Attributes:
        lamport_time: Lamport time of the latest change made or received.
        version_vector: changes that the replica includes.
        collected_vector: dots of the collected tombstones.
        collected_lamport_time: latest Lamport time of the collected tombstones.
        entries: keys and entries, in the order of their last change.
    """

    lamport_time: int
    version_vector: VersionVector
    collected_vector: VersionVector
    collected_lamport_time: int
    entries: list[tuple[EntryKey, Entry]]

    def encode(self) -> list[Any]:
        """Return the stored form of the snapshot."""
        return [
            self.lamport_time,
            self.version_vector,
            self.collected_vector,
            self.collected_lamport_time,
            [encode_row(key, entry) for key, entry in self.entries],
        ]

    @staticmethod
    def decode(encoded: list[Any]) -> ReplicaSnapshot:
        """Decode a snapshot from its stored form.

        Raises:
            ValueError: the data is not a valid snapshot.
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
