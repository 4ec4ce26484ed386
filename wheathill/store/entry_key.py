"""Identity of entries."""

from enum import StrEnum
from typing import NamedTuple


class EntryKind(StrEnum):
    """Data types of the store; the values are what is stored and sent."""

    REGISTER = "register"
    COUNTER = "counter"
    SET = "set"
    LEASE = "lease"


class EntryKey(NamedTuple):
    """Identity of an entry.

    `part` is the instance that owns this part of a counter, or the element of a set; it
    is empty for registers and leases. The tuple is encoded as an array of three
    strings.
    """

    kind: EntryKind
    name: str
    part: str = ""
