"""Merges entries received from other replicas into this one."""

from collections.abc import Iterable

from wheathill.store.entries import EncodedRow, Entry, decode_row, merge_entries
from wheathill.store.entry_key import EntryKey
from wheathill.store.eviction import Evictor
from wheathill.store.replica_state import ReplicaState
from wheathill.store.set_element import SetElementEntry
from wheathill.store.value_entries import LeaseEntry
from wheathill.store.version_vector import VersionVector


class Merger:
    """Merges received entries one at a time.

    An entry that is absent here although the version vector covers its dots was deleted
    here. It is not added again, however late and from whichever member it arrives.
    """

    def __init__(self, state: ReplicaState, evictor: Evictor) -> None:
        self._state = state
        self._evictor = evictor

    def merge(self, rows: Iterable[EncodedRow], now_ms: float) -> bool:
        """Merge encoded entries; return whether this replica changed.

        The version vector is not advanced, because the entries alone do not show
        whether earlier changes are missing. The caller advances it if none is missing.

        Raises:
            ValueError: an entry is malformed; the entries before it have been merged.
        """
        has_changed = False
        for row in rows:
            has_changed |= self._merge_entry(*decode_row(row), now_ms)
        self._evictor.enforce_limits()
        return has_changed

    def _merge_entry(self, key: EntryKey, entry: Entry, now_ms: float) -> bool:
        state = self._state
        previous = state.table.get(key)
        state.observe_time(entry.lamport_time)
        if previous is None and state.version_vector.covers(entry.current_dots()):
            return False  # already seen, and deleted since
        if isinstance(entry, SetElementEntry):
            assert previous is None or isinstance(previous, SetElementEntry)
            entry = self._without_deleted_adds(entry, previous)
        merged = entry if previous is None else merge_entries(previous, entry)
        if previous is not None and merged == previous:
            return False
        if isinstance(merged, LeaseEntry) and (
            previous is None or merged.current_dots() != previous.current_dots()
        ):
            state.lease_first_seen_ms[key] = now_ms
        state.store(key, merged)
        return True

    def _without_deleted_adds(
        self, entry: SetElementEntry, previous: SetElementEntry | None
    ) -> SetElementEntry:
        """Return the entry without adds that this replica has seen and since removed.

        The version vector covers such adds, but the stored entry no longer has them.
        """
        previous_adds = previous.adds if previous is not None else VersionVector()
        version_vector = self._state.version_vector
        adds = VersionVector(
            (replica_id, sequence)
            for replica_id, sequence in entry.adds.items()
            if sequence > version_vector.get(replica_id, 0)
            or previous_adds.get(replica_id, 0) >= sequence
        )
        if len(adds) == len(entry.adds):
            return entry
        return SetElementEntry(entry.lamport_time, adds, entry.removals, entry.changes)
