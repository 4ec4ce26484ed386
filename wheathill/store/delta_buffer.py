"""Local changes that were not pushed to the other members yet."""

from dataclasses import dataclass

from wheathill.store.entries import EncodedRow, encode_row
from wheathill.store.entry_key import EntryKey
from wheathill.store.entry_table import EntryTable


@dataclass(frozen=True, slots=True)
class Delta:
    """Changes of one replica.

    Attributes:
        first_sequence: first change that the entries stand for.
        last_sequence: last of these. Both are 0 where the entries stand for no whole
            range.
        rows: encoded entries.
    """

    first_sequence: int
    last_sequence: int
    rows: list[EncodedRow]


class DeltaBuffer:
    """Keys that were changed here since the last push."""

    def __init__(self) -> None:
        self._keys: dict[EntryKey, None] = {}
        self._has_gap = False  # a changed entry was removed before it was pushed
        self._last_pushed_sequence = 0

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to push."""
        return not self._keys

    def add(self, key: EntryKey) -> None:
        """Note a local change."""
        self._keys[key] = None

    def entry_removed(self, key: EntryKey) -> None:
        """Note that an entry was removed without a trace.

        What its change would have sent is lost with it.
        """
        self._has_gap |= key in self._keys

    def take(self, table: EntryTable, last_sequence: int) -> Delta:
        """Return and clear what has gathered.

        Args:
            table: the entries of this replica.
            last_sequence: the last change of this replica.
        """
        keys, has_gap = self._keys, self._has_gap
        self._keys, self._has_gap = {}, False
        first_sequence = self._last_pushed_sequence + 1
        self._last_pushed_sequence = last_sequence
        rows = [encode_row(key, table[key]) for key in keys if key in table]
        if has_gap:
            return Delta(0, 0, rows)
        return Delta(first_sequence, last_sequence, rows)
