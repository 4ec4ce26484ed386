"""Keys that identify entries."""

from enum import StrEnum
from typing import NamedTuple


class EntryKind(StrEnum):
    """Data types of the store; the values are used on disk and on the wire."""

    REGISTER = "register"
    COUNTER = "counter"
    SET = "set"
    LEASE = "lease"


class EntryKey(NamedTuple):
    """Key of an entry, encoded as an array of three strings.

    Attributes:
        kind: data type of the entry.
        name: name of the register, counter, set or lease.
        subkey: for a counter the instance that owns this part of it, for a set the
            element; empty for registers and leases.
    """

    kind: EntryKind
    name: str
    subkey: str = ""
