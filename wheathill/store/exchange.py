"""What a replica sends to others and takes from them, without the protocol."""

from dataclasses import dataclass

from wheathill.store.delta_buffer import Delta
from wheathill.store.entries import EncodedRow, encode_row
from wheathill.store.full_state import FullStateReconciler
from wheathill.store.merging import Merger
from wheathill.store.replica_state import ReplicaState
from wheathill.store.tombstones import TombstoneCollector
from wheathill.store.version_vector import VersionVector

MAX_ROWS_PER_MESSAGE = 200


@dataclass(frozen=True, slots=True)
class ReplyHeader:
    """What all parts of a reply state of the replica that made it.

    Attributes:
        is_full_state: whether the reply holds all entries, not only those that the
            other lacks.
        version_vector: vector that the reply brings the other to.
        collected_vector: dots of the tombstones that were dropped.
        collected_lamport_time: latest Lamport time of these.
    """

    is_full_state: bool
    version_vector: VersionVector
    collected_vector: VersionVector
    collected_lamport_time: int


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply in at least one part, each of which one message holds."""

    header: ReplyHeader
    parts: list[list[EncodedRow]]


class ReplicaExchange:
    """Answers version vectors with entries, and takes pushes and replies in.

    Nothing is taken from a replica that is behind the collection of tombstones, until
    it has taken the full state itself.
    """

    def __init__(
        self,
        state: ReplicaState,
        merger: Merger,
        reconciler: FullStateReconciler,
        tombstones: TombstoneCollector,
    ) -> None:
        self._state = state
        self._merger = merger
        self._reconciler = reconciler
        self._tombstones = tombstones

    @property
    def has_delta(self) -> bool:
        """Whether there are local changes to push."""
        return not self._state.delta.is_empty

    def take_delta(self) -> Delta:
        """Return the local changes since the last call."""
        return self._state.delta.take(self._state.table, self._state.last_sequence)

    def apply_push(self, replica_id: str, delta: Delta, now_ms: float) -> bool:
        """Merge changes of one replica; return whether this one changed.

        With none missing before them the changes count as seen, else the next reply
        brings the rest.
        """
        has_changed = self._merger.merge(delta.rows, now_ms)
        seen = self._state.version_vector
        first = delta.first_sequence
        if first and seen.get(replica_id, 0) >= first - 1:
            seen.advance(replica_id, delta.last_sequence)
        return has_changed

    def reply_to(self, member: str, vector: VersionVector) -> Reply:
        """Return what a member with that vector lacks."""
        self._tombstones.record_peer_vector(member, vector)
        is_full_state = self._tombstones.is_behind(vector)
        rows = [
            encode_row(key, entry)
            for key, entry in self._state.table.items()
            if is_full_state or not vector.covers(entry.current_dots())
        ]
        parts = [
            rows[start : start + MAX_ROWS_PER_MESSAGE]
            for start in range(0, len(rows), MAX_ROWS_PER_MESSAGE)
        ]
        header = ReplyHeader(
            is_full_state,
            VersionVector(self._state.version_vector),
            VersionVector(self._tombstones.collected_vector),
            self._tombstones.collected_lamport_time,
        )
        return Reply(header, parts or [[]])

    def apply_reply(
        self, header: ReplyHeader, rows: list[EncodedRow], now_ms: float
    ) -> bool:
        """Merge all entries of a reply; return whether this replica changed."""
        vector = header.version_vector
        if self._tombstones.is_behind(vector):
            return False  # the sender needs the full state itself first
        has_changed = False
        if header.is_full_state:
            self._tombstones.adopt(
                header.collected_vector, header.collected_lamport_time
            )
            has_changed = self._reconciler.remove_deleted(rows, vector)
            self._reconciler.rewrite_unseen(vector)
        has_changed |= self._merger.merge(rows, now_ms)
        self._state.version_vector = self._state.version_vector.merged_with(vector)
        return has_changed
