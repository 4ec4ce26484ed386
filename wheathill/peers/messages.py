"""What proxies send each other, as types, and how it stands in a frame. Free of I/O.

A frame's payload is a list: a header, which says what the sender's view of the fleet
is, and then the message itself as a list of its kind and its arguments.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Self


@dataclass(frozen=True, slots=True)
class ViewHeader:
    """What each message says of its sender's view of the fleet.

    Attributes:
        digest: of the processes that may be active; equal where views agree.
        is_established: whether all have agreed on the sender once.
        capacity_estimate: connections a second that a warm server bears of the
            sender's, as the sender finds.
    """

    digest: str
    is_established: bool
    capacity_estimate: float

    def encode(self) -> tuple[Any, ...]:
        """Return the header as it stands before a message."""
        return self.digest, self.is_established, round(self.capacity_estimate, 2)

    @classmethod
    def decode(cls, fields: Sequence[Any]) -> Self:
        """Read the header of a message.

        Raises ValueError or TypeError where it is none.
        """
        digest, is_established, capacity_estimate = fields
        return cls(digest, bool(is_established), capacity_estimate)


@dataclass(frozen=True, slots=True)
class ZonedViewHeader:
    """What each message says of its sender, in a fleet of several zones.

    Attributes:
        zone: the sender's.
        view: of the sender's zone.
        layout_version: the layout of zones that the sender's configuration states.
        table_digest: of the sender's copy of the replicated table.
    """

    zone: str
    view: ViewHeader
    layout_version: int
    table_digest: int

    def encode(self) -> tuple[Any, ...]:
        """Return the header as it stands before a message."""
        return self.zone, *self.view.encode(), self.layout_version, self.table_digest

    @classmethod
    def decode(cls, fields: Sequence[Any]) -> Self:
        """Read the header of a message.

        Raises ValueError or TypeError where it is none.
        """
        zone, *view, layout_version, table_digest = fields
        return cls(zone, ViewHeader.decode(view), layout_version, table_digest)
