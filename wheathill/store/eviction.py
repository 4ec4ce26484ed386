"""Eviction of entries when a replica reaches its limits.

Tombstones do not count: they go by themselves once all members have seen them, and a
member that is gone for long does not count. If they were evicted sooner, two replicas
that have each dropped what the other has not seen would wait for one another for good.
"""

from dataclasses import dataclass

from wheathill.store.entries import Entry
from wheathill.store.entry_key import EntryKey, EntryKind
from wheathill.store.replica_state import ReplicaState
from wheathill.store.set_element import SetElementEntry
from wheathill.store.value_entries import new_value_entry

KINDS_BY_VALUE = (
    EntryKind.REGISTER,
    EntryKind.LEASE,
    EntryKind.SET,
    EntryKind.COUNTER,
)


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits on the live entries of a replica.

    Attributes:
        max_entries: number of live entries.
        max_bytes: their encoded size.
        kinds_by_value: the most valuable kind first; the last is evicted first.
    """

    max_entries: int
    max_bytes: int
    kinds_by_value: tuple[EntryKind, ...] = KINDS_BY_VALUE


class Evictor:
    """Deletes the oldest entries of the least valuable kind over a limit."""

    def __init__(self, state: ReplicaState, limits: StoreLimits) -> None:
        self._state = state
        self._limits = limits
        self.evicted_count = 0

    def enforce_limits(self) -> None:
        """Evict until the limits hold or nothing is left to evict."""
        table = self._state.table
        while (
            table.live_bytes > self._limits.max_bytes
            or table.live_count > self._limits.max_entries
        ):
            key = self._next_key()
            if key is None:
                return
            self.evicted_count += 1
            self._state.store_local_change(key, self._tombstone(key))

    def _next_key(self) -> EntryKey | None:
        for kind in reversed(self._limits.kinds_by_value):
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
