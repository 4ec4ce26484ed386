"""Eviction of entries when a replica exceeds its limits.

Tombstones do not count towards the limits. They are collected once all members have
seen them, not counting members that have been absent for long. If tombstones were
evicted earlier, two replicas that had each dropped one that the other had not seen
would wait for each other's full state forever.
"""

from dataclasses import dataclass

from wheathill.store.entries import Entry
from wheathill.store.entry_key import EntryKey, EntryKind
from wheathill.store.replica_state import ReplicaState
from wheathill.store.set_element import SetElementEntry
from wheathill.store.value_entries import new_value_entry

KINDS_BY_PRIORITY = (
    EntryKind.REGISTER,
    EntryKind.LEASE,
    EntryKind.SET,
    EntryKind.COUNTER,
)


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits on the live entries of a replica.

    Attributes:
        max_entries: maximum number of live entries.
        max_bytes: maximum total encoded size of the live entries.
        kinds_by_priority: kinds in order of decreasing priority; entries of the last
            kind are evicted first.
    """

    max_entries: int
    max_bytes: int
    kinds_by_priority: tuple[EntryKind, ...] = KINDS_BY_PRIORITY


class Evictor:
    """Deletes the oldest entries of the lowest-priority kind while a limit is exceeded.

    Attributes:
        evicted_count: number of entries deleted so far.
    """

    def __init__(self, state: ReplicaState, limits: StoreLimits) -> None:
        self._state = state
        self._limits = limits
        self.evicted_count = 0

    def enforce_limits(self) -> None:
        """Evict entries until the limits are met or no live entry is left."""
        table = self._state.table
        while (
            table.live_bytes > self._limits.max_bytes
            or table.live_count > self._limits.max_entries
        ):
            key = self._next_eviction_key()
            if key is None:
                return
            self.evicted_count += 1
            self._state.store_local_change(key, self._tombstone(key))

    def _next_eviction_key(self) -> EntryKey | None:
        for kind in reversed(self._limits.kinds_by_priority):
            key = self._state.table.oldest_live_key(kind)
            if key is not None:
                return key
        return None

    def _tombstone(self, key: EntryKey) -> Entry:
        previous = self._state.table[key]
        version = self._state.next_version()
        if isinstance(previous, SetElementEntry):
            return previous.with_removal(version)
        return new_value_entry(key.kind, version, None, previous)
