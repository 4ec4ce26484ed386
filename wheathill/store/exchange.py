"""Deltas and replies that a replica produces and applies, apart from the protocol."""

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
    """State of the replying replica, repeated in all parts of a reply.

    Attributes:
        is_full_state: whether the reply contains all entries, not only those that the
            requester lacks.
        version_vector: changes that the requester includes once it has applied the
            reply.
        collected_vector: dots of the collected tombstones.
        collected_lamport_time: latest Lamport time of the collected tombstones.
    """

    is_full_state: bool
    version_vector: VersionVector
    collected_vector: VersionVector
    collected_lamport_time: int


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply split into one or more parts, each of which fits one message."""

    header: ReplyHeader
    parts: list[list[EncodedRow]]


class ReplicaExchange:
    """Answers version vectors with entries, and applies pushes and replies.

    Replies from a replica that lacks collected tombstones are ignored until it has
    applied the full state itself; `AntiEntropy` ignores its pushes as well.
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
        """Merge changes made by another replica; return whether this one changed.

        The version vector advances only if no earlier change of that replica is
        missing; otherwise the next reply delivers the missing changes.
        """
        has_changed = self._merger.merge(delta.rows, now_ms)
        vector = self._state.version_vector
        first_sequence = delta.first_sequence
        if first_sequence and vector.get(replica_id, 0) >= first_sequence - 1:
            vector.advance(replica_id, delta.last_sequence)
        return has_changed

    def reply_to(self, member: str, vector: VersionVector) -> Reply:
        """Return the entries that a member with the given version vector lacks."""
        self._tombstones.record_peer_vector(member, vector)
        is_full_state = self._tombstones.needs_full_state(vector)
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
        if self._tombstones.needs_full_state(vector):
            return False  # the sender must apply the full state first
        has_changed = False
        if header.is_full_state:
            self._tombstones.merge_collected(
                header.collected_vector, header.collected_lamport_time
            )
            has_changed = self._reconciler.remove_deleted(rows, vector)
            self._reconciler.rewrite_unseen(vector)
        has_changed |= self._merger.merge(rows, now_ms)
        self._state.version_vector = self._state.version_vector.merged_with(vector)
        return has_changed
