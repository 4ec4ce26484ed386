"""Table of a replica's entries, with their sizes and an index of tombstones."""

from collections.abc import ItemsView

from msgspec import msgpack

from wheathill.store.entries import Entry
from wheathill.store.entry_key import EntryKey, EntryKind


class EntryTable:
    """Entries ordered by their last change, oldest first.

    Attributes:
        live_bytes: total encoded size of all entries that are not tombstones.
        live_count: number of entries that are not tombstones.
        tombstones: keys of the tombstones, oldest first: a dict used as an ordered set.
    """

    def __init__(self) -> None:
        self._entries: dict[EntryKey, Entry] = {}
        self._sizes: dict[EntryKey, int] = {}  # bytes; 0 for a tombstone
        self.live_bytes = 0
        self.live_count = 0
        self.tombstones: dict[EntryKey, None] = {}

    def __contains__(self, key: EntryKey) -> bool:
        return key in self._entries

    def __getitem__(self, key: EntryKey) -> Entry:
        return self._entries[key]

    def get(self, key: EntryKey) -> Entry | None:
        """Return the entry for a key, possibly a tombstone, or None."""
        return self._entries.get(key)

    def items(self) -> ItemsView[EntryKey, Entry]:
        """Return all keys and entries, including tombstones."""
        return self._entries.items()

    def put(self, key: EntryKey, entry: Entry) -> None:
        """Add or replace an entry and move it to the end of the order."""
        size = len(msgpack.encode([key, entry.encode()])) if entry.is_live else 0
        self._update_totals(key, size)
        self._entries.pop(key, None)
        self._entries[key] = entry
        self._sizes[key] = size
        self.tombstones.pop(key, None)
        if not entry.is_live:
            self.tombstones[key] = None

    def remove(self, key: EntryKey) -> None:
        """Remove an entry without leaving a tombstone."""
        self._update_totals(key, 0)
        del self._entries[key], self._sizes[key]
        self.tombstones.pop(key, None)

    def oldest_live_key(self, kind: EntryKind) -> EntryKey | None:
        """Return the key of a kind's least recently changed live entry, or None."""
        return next(
            (
                key
                for key, entry in self._entries.items()
                if key.kind == kind and entry.is_live
            ),
            None,
        )

    def live_entries(self, kind: EntryKind, name: str) -> list[tuple[str, Entry]]:
        """Return (subkey, entry) of all live entries with one name."""
        return [
            (key.subkey, entry)
            for key, entry in self._entries.items()
            if key.kind == kind and key.name == name and entry.is_live
        ]

    def _update_totals(self, key: EntryKey, size: int) -> None:
        previous = self._sizes.get(key, 0)
        self.live_bytes += size - previous
        self.live_count += bool(size) - bool(previous)
