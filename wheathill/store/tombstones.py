"""Garbage collection of tombstones.

A tombstone is dropped once every member that counts has seen it. A member that has not
(it was away) is behind: it has to be sent the full state, and nothing is taken from it
before.
"""

from collections.abc import Iterable, Mapping

from wheathill.store.entry_key import EntryKey
from wheathill.store.replica_state import ReplicaState
from wheathill.store.version_vector import VersionVector


class TombstoneCollector:
    """Drops tombstones that all members have seen, and knows which were dropped.

    Attributes:
        collected_vector: dots of the dropped tombstones, as a version vector.
        collected_lamport_time: latest Lamport time of these.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._peer_vectors: dict[str, VersionVector] = {}
        self.collected_vector = VersionVector()
        self.collected_lamport_time = 0

    def record_peer_vector(self, member: str, vector: Mapping[str, int]) -> None:
        """Note what a member has seen."""
        known = self._peer_vectors.get(member, VersionVector())
        self._peer_vectors[member] = known.merged_with(vector)

    def is_behind(self, vector: VersionVector) -> bool:
        """Return whether a replica with this vector lacks a dropped tombstone."""
        return not vector.covers(self.collected_vector.items())

    def collect(self, members: Iterable[str]) -> None:
        """Drop the tombstones that every one of `members` has seen."""
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

    def adopt(
        self, collected_vector: Mapping[str, int], collected_lamport_time: int
    ) -> None:
        """Take over what another replica has dropped, before its state is merged."""
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
