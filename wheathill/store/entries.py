"""Entries of the store: conflict-free replicated data types.

An entry belongs to one key. Each change of an entry is identified by a dot: the replica
that made it and its sequence number there. Merging is commutative, associative and
idempotent for every kind (the join of a semilattice, see Shapiro, Preguiça, Baquero,
Zawirski, "Conflict-free Replicated Data Types", 2011), so duplicate, delayed and
outdated copies are harmless. Entries are immutable.

Each class has an `encode` and a `decode` method; the encoded form is used both on disk
and on the wire.
"""

from typing import Any

from wheathill.store.entry_key import EntryKey, EntryKind
from wheathill.store.errors import MalformedEntryError
from wheathill.store.set_element import SetElementEntry
from wheathill.store.value_entries import VALUE_ENTRY_TYPES, LastWriterWinsEntry

EncodedEntry = list[Any]
# [kind, name, subkey, encoded entry]
EncodedRow = list[Any]

Entry = LastWriterWinsEntry | SetElementEntry


def merge_entries(entry: Entry, other: Entry) -> Entry:
    """Return the join of two entries with the same key."""
    if isinstance(entry, SetElementEntry):
        assert isinstance(other, SetElementEntry)
        return entry.merge(other)
    assert isinstance(other, LastWriterWinsEntry)
    return entry.merge(other)


def decode_entry(kind: str, encoded: EncodedEntry) -> Entry:
    """Decode an entry from its stored form.

    Raises:
        MalformedEntryError: the kind is unknown, or the data is not a valid entry of
            that kind.
    """
    try:
        entry_kind = EntryKind(kind)
    except ValueError:
        raise MalformedEntryError(f"unknown entry kind {kind!r}") from None
    if entry_kind is EntryKind.SET:
        return SetElementEntry.decode(encoded)
    return VALUE_ENTRY_TYPES[entry_kind].decode(encoded)


def encode_row(key: EntryKey, entry: Entry) -> EncodedRow:
    """Encode an entry together with its key, for storage and transmission."""
    return [*key, entry.encode()]


def decode_row(row: EncodedRow) -> tuple[EntryKey, Entry]:
    """Decode a key and its entry from their stored form.

    Raises:
        ValueError: the data is not a valid row; a `MalformedEntryError` if the entry
            itself is invalid.
    """
    kind, name, subkey, encoded = row
    entry = decode_entry(kind, encoded)
    return EntryKey(EntryKind(kind), name, subkey), entry
