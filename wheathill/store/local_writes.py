"""Changes made by this replica, which take effect locally at once."""

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
    """Applies the local changes of a replica, each with the next version."""

    def __init__(self, state: ReplicaState, evictor: Evictor) -> None:
        self._state = state
        self._evictor = evictor

    def put(self, key: EntryKey, entry: Entry) -> None:
        """Store a local change and evict entries that then exceed the limits."""
        self._state.store_local_change(key, entry)
        self._evictor.enforce_limits()

    def write_value(self, key: EntryKey, value: object) -> None:
        """Write a register, a lease or one part of a counter; None deletes it."""
        self.put(key, self.new_entry(key, self._state.next_version(), value))

    def new_entry(
        self, key: EntryKey, version: Version, value: object
    ) -> LastWriterWinsEntry:
        """Return an entry that supersedes the one currently stored for the key."""
        previous = self._state.table.get(key)
        assert previous is None or isinstance(previous, LastWriterWinsEntry)
        return new_value_entry(key.kind, version, value, previous)

    def delete(self, key: EntryKey) -> None:
        """Write a tombstone if the table contains the key."""
        if key in self._state.table:
            self.write_value(key, None)

    def add_to_counter(self, name: str, amount: int) -> None:
        """Add to this instance's own part of a counter."""
        key = EntryKey(EntryKind.COUNTER, name, self._state.instance)
        previous = self._state.table.get(key)
        count = previous.value or 0 if isinstance(previous, CounterEntry) else 0
        self.write_value(key, count + amount)

    def delete_counter_parts(self, instance: str) -> None:
        """Delete the parts owned by one instance from all counters."""
        keys = [
            key
            for key, _ in self._state.table.items()
            if key.kind == EntryKind.COUNTER and key.subkey == instance
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
        """Remove an element from a set if the table contains it."""
        key = EntryKey(EntryKind.SET, name, element)
        previous = self._state.table.get(key)
        if isinstance(previous, SetElementEntry):
            self.put(key, previous.with_removal(self._state.next_version()))
