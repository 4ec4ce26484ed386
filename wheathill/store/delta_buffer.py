"""Buffer of local changes that have not been pushed to the other members."""

from dataclasses import dataclass

from wheathill.store.entries import EncodedRow, encode_row
from wheathill.store.entry_key import EntryKey
from wheathill.store.entry_table import EntryTable


@dataclass(frozen=True, slots=True)
class Delta:
    """Changes made by one replica.

    Attributes:
        first_sequence: sequence number of the first change that the entries cover.
        last_sequence: sequence number of the last one. Both are 0 if the entries do not
            cover a contiguous range.
        rows: encoded entries.
    """

    first_sequence: int
    last_sequence: int
    rows: list[EncodedRow]


class DeltaBuffer:
    """Keys of the entries changed by this replica since the last push."""

    def __init__(self) -> None:
        self._keys: dict[EntryKey, None] = {}
        self._has_gap = False  # a changed entry was removed before its push
        self._last_pushed_sequence = 0

    @property
    def is_empty(self) -> bool:
        """Whether there are no changes to push."""
        return not self._keys

    def add(self, key: EntryKey) -> None:
        """Record a local change."""
        self._keys[key] = None

    def record_removal(self, key: EntryKey) -> None:
        """Record that an entry was removed without leaving a tombstone.

        If the entry had unpushed changes, they can no longer be sent, so the next delta
        does not cover a contiguous range.
        """
        self._has_gap |= key in self._keys

    def take(self, table: EntryTable, last_sequence: int) -> Delta:
        """Return the buffered changes and clear the buffer.

        Args:
            table: the entries of this replica.
            last_sequence: sequence number of this replica's last change.
        """
        keys, has_gap = self._keys, self._has_gap
        self._keys, self._has_gap = {}, False
        first_sequence = self._last_pushed_sequence + 1
        self._last_pushed_sequence = last_sequence
        rows = [encode_row(key, table[key]) for key in keys if key in table]
        if has_gap:
            return Delta(0, 0, rows)
        return Delta(first_sequence, last_sequence, rows)
