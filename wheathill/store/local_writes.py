"""Changes that are made at this replica; they take effect here at once."""

from wheathill.store.entries import Entry
from wheathill.store.entry_key import EntryKey, EntryKind
from wheathill.store.eviction import Evictor
from wheathill.store.replica_state import ReplicaState
from wheathill.store.set_element import NEW_SET_ELEMENT, SetElementEntry
from wheathill.store.value_entries import (
    CounterEntry,
    LastWriterWinsEntry,
    new_value_entry,
)
from wheathill.store.version_vector import Version


class LocalWriter:
    """Makes the local changes of a replica, with the next version of each."""

    def __init__(self, state: ReplicaState, evictor: Evictor) -> None:
        self._state = state
        self._evictor = evictor

    def put(self, key: EntryKey, entry: Entry) -> None:
        """Store a local change, and evict what exceeds the limits by it."""
        self._state.store_local_change(key, entry)
        self._evictor.enforce_limits()

    def write_value(self, key: EntryKey, value: object) -> None:
        """Write a register, a lease or a part of a counter; None deletes it."""
        self.put(key, self.new_entry(key, self._state.next_version(), value))

    def new_entry(
        self, key: EntryKey, version: Version, value: object
    ) -> LastWriterWinsEntry:
        """Return an entry that wins over what is stored under that key."""
        previous = self._state.table.get(key)
        assert previous is None or isinstance(previous, LastWriterWinsEntry)
        return new_value_entry(key.kind, version, value, previous)

    def delete(self, key: EntryKey) -> None:
        """Write a tombstone, unless nothing is known under that key."""
        if key in self._state.table:
            self.write_value(key, None)

    def add_to_counter(self, name: str, amount: int) -> None:
        """Add to this instance's own part of a counter."""
        key = EntryKey(EntryKind.COUNTER, name, self._state.instance)
        previous = self._state.table.get(key)
        count = previous.value or 0 if isinstance(previous, CounterEntry) else 0
        self.write_value(key, count + amount)

    def delete_counter_parts(self, instance: str) -> None:
        """Delete the parts of one instance in all counters."""
        keys = [
            key
            for key, _ in self._state.table.items()
            if key.kind == EntryKind.COUNTER and key.part == instance
        ]
        for key in keys:
            if self._state.table[key].is_live:
                self.delete(key)

    def add_element(self, name: str, element: str) -> None:
        """Add an element to a set."""
        key = EntryKey(EntryKind.SET, name, element)
        previous = self._state.table.get(key) or NEW_SET_ELEMENT
        assert isinstance(previous, SetElementEntry)
        self.put(key, previous.with_add(self._state.next_version()))

    def remove_element(self, name: str, element: str) -> None:
        """Remove an element from a set, unless nothing is known of it."""
        key = EntryKey(EntryKind.SET, name, element)
        previous = self._state.table.get(key)
        if isinstance(previous, SetElementEntry):
            self.put(key, previous.with_removal(self._state.next_version()))
