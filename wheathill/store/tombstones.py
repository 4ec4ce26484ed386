"""Garbage collection of tombstones.

A tombstone is collected once all members passed to `collect` have seen it. A member
that was absent and has not seen a collected tombstone must be sent the full state, and
none of its entries are merged before it has applied that state.
"""

from collections.abc import Iterable, Mapping

from wheathill.store.entry_key import EntryKey
from wheathill.store.replica_state import ReplicaState
from wheathill.store.version_vector import VersionVector


class TombstoneCollector:
    """Collects tombstones that all members have seen, and records their dots.

    Attributes:
        collected_vector: dots of the collected tombstones, as a version vector.
        collected_lamport_time: latest Lamport time of the collected tombstones.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._peer_vectors: dict[str, VersionVector] = {}
        self.collected_vector = VersionVector()
        self.collected_lamport_time = 0

    def record_peer_vector(self, member: str, vector: Mapping[str, int]) -> None:
        """Record the changes that a member includes."""
        previous = self._peer_vectors.get(member, VersionVector())
        self._peer_vectors[member] = previous.merged_with(vector)

    def needs_full_state(self, vector: VersionVector) -> bool:
        """Return whether a replica with this vector lacks a collected tombstone."""
        return not vector.covers(self.collected_vector.items())

    def collect(self, members: Iterable[str]) -> None:
        """Collect the tombstones that every one of `members` has seen."""
        vectors = [
            self._peer_vectors.get(member, VersionVector())
            for member in members
            if member != self._state.instance
        ]
        vectors.append(self._state.version_vector)
        table = self._state.table
        for key in list(table.tombstones):
            dots = table[key].all_dots()
            if all(vector.covers(dots) for vector in vectors):
                self._drop(key)

    def merge_collected(
        self, collected_vector: Mapping[str, int], collected_lamport_time: int
    ) -> None:
        """Include another replica's collected tombstones, before merging its state."""
        self.collected_vector = self.collected_vector.merged_with(collected_vector)
        self.collected_lamport_time = max(
            self.collected_lamport_time, collected_lamport_time
        )
        self._state.observe_time(collected_lamport_time)

    def _drop(self, key: EntryKey) -> None:
        entry = self._state.table[key]
        self.collected_vector = self.collected_vector.merged_with(
            dict(entry.all_dots())
        )
        self.collected_lamport_time = max(
            self.collected_lamport_time, entry.lamport_time
        )
        self._state.remove(key)
