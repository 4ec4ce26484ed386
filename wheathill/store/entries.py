"""Entries of the store: conflict-free replicated data types.

An entry belongs to one key. Each change of it carries a dot: which change of which
replica it is. Merging is commutative, associative and idempotent for every kind (a join
of a semilattice, after Shapiro, Preguiça, Baquero, Zawirski, "Conflict-free Replicated
Data Types", 2011), so duplicate, late and outdated copies do no harm. Entries are never
changed in place.

Each class has one `encode` and one `decode`; the encoded form is what goes to disk and
to other members.
"""

from typing import Any

from wheathill.store.entry_key import EntryKey, EntryKind
from wheathill.store.errors import MalformedEntryError
from wheathill.store.set_element import SetElementEntry
from wheathill.store.value_entries import VALUE_ENTRY_TYPES, LastWriterWinsEntry

EncodedEntry = list[Any]
# [kind, name, part, encoded entry]
EncodedRow = list[Any]

Entry = LastWriterWinsEntry | SetElementEntry


def merge_entries(one: Entry, other: Entry) -> Entry:
    """Return the join of two entries of one key."""
    if isinstance(one, SetElementEntry):
        assert isinstance(other, SetElementEntry)
        return one.merge(other)
    assert isinstance(other, LastWriterWinsEntry)
    return one.merge(other)


def decode_entry(kind: str, encoded: EncodedEntry) -> Entry:
    """Return an entry of its stored form.

    Raises:
        MalformedEntryError: there is no such kind, or the data is no entry of that
            kind.
    """
    try:
        known_kind = EntryKind(kind)
    except ValueError:
        raise MalformedEntryError(f"{kind!r} is no kind of entry") from None
    if known_kind is EntryKind.SET:
        return SetElementEntry.decode(encoded)
    return VALUE_ENTRY_TYPES[known_kind].decode(encoded)


def encode_row(key: EntryKey, entry: Entry) -> EncodedRow:
    """Return an entry with its key, as it is stored and sent."""
    return [*key, entry.encode()]


def decode_row(row: EncodedRow) -> tuple[EntryKey, Entry]:
    """Return key and entry of their stored form.

    Raises:
        ValueError: the data is no such row; `MalformedEntryError` where the entry is at
            fault.
    """
    kind, name, part, encoded = row
    entry = decode_entry(kind, encoded)
    return EntryKey(EntryKind(kind), name, part), entry
