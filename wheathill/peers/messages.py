"""What proxies send each other, as types, and how it stands in a frame. Free of I/O.

A frame's payload is a list: a header, which says what the sender's view of the fleet
is, and then the message itself as a list of its kind and its arguments.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Self

from wheathill.peers.drain_registry import DrainRecord
from wheathill.peers.peer_health_reports import HealthReport
from wheathill.peers.start_registry import StartRecord


@dataclass(frozen=True, slots=True)
class Sender:
    """The process that a message came from.

    `address` is None for what came on a stream.
    """

    name: str
    generation: int
    address: str | None


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


class MessageKind(StrEnum):
    """The first word of a message; membership has kinds of its own."""

    DRAINS = "drains"
    STARTS = "starts"
    HEALTH = "seen"
    VIEW_REQUEST = "view?"
    VIEW_REPLY = "view"
    DIGEST_ANNOUNCEMENT = "note"


@dataclass(frozen=True, slots=True)
class DrainUpdate:
    """Servers that drain, or no longer do, as the sender's own list says."""

    records: tuple[DrainRecord, ...]

    def encode(self) -> list[Any]:
        """Return the message as it stands in a frame."""
        return [
            MessageKind.DRAINS.value,
            [record.encode() for record in self.records],
        ]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Read what follows the kind of such a message."""
        return cls(tuple(DrainRecord.decode(fields) for fields in arguments[0]))


@dataclass(frozen=True, slots=True)
class StartUpdate:
    """Starts of servers' processes, the latest that the sender knows."""

    records: tuple[StartRecord, ...]

    def encode(self) -> list[Any]:
        """Return the message as it stands in a frame."""
        return [
            MessageKind.STARTS.value,
            [record.encode() for record in self.records],
        ]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Read what follows the kind of such a message."""
        return cls(tuple(StartRecord.decode(fields) for fields in arguments[0]))


@dataclass(frozen=True, slots=True)
class HealthEvidence:
    """What the sender itself has seen of servers lately."""

    reports: tuple[HealthReport, ...]

    def encode(self) -> list[Any]:
        """Return the message as it stands in a frame."""
        return [
            MessageKind.HEALTH.value,
            [report.encode() for report in self.reports],
        ]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Read what follows the kind of such a message.

        Reports whose health this version doesn't know are left out.
        """
        reports = [HealthReport.decode(fields) for fields in arguments[0]]
        return cls(tuple(report for report in reports if report is not None))


@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Asks for the receiver's whole view, for an operator who compares them."""

    request_id: int

    def encode(self) -> list[Any]:
        """Return the message as it stands in a frame."""
        return [MessageKind.VIEW_REQUEST.value, self.request_id]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Read what follows the kind of such a message."""
        return cls(arguments[0])


@dataclass(frozen=True, slots=True)
class MemberSummary:
    """One member in a view that is compared: its process and its state."""

    generation: int
    state: str


@dataclass(frozen=True, slots=True)
class ViewReply:
    """The sender's whole view: by name, what it holds of each member."""

    request_id: int
    members: dict[str, MemberSummary]

    def encode(self) -> list[Any]:
        """Return the message as it stands in a frame."""
        members = {
            name: [member.generation, member.state]
            for name, member in self.members.items()
        }
        return [MessageKind.VIEW_REPLY.value, self.request_id, members]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Read what follows the kind of such a message."""
        request_id, members = arguments[0], arguments[1]
        summaries = {
            str(name): MemberSummary(generation, str(state))
            for name, (generation, state) in members.items()
        }
        return cls(request_id, summaries)


@dataclass(frozen=True, slots=True)
class DigestAnnouncement:
    """Says nothing but its header: the sender's view has changed."""

    def encode(self) -> list[Any]:
        """Return the message as it stands in a frame."""
        return [MessageKind.DIGEST_ANNOUNCEMENT.value]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Read what follows the kind of such a message, which is ignored."""
        return cls()


Message = (
    DrainUpdate
    | StartUpdate
    | HealthEvidence
    | ViewRequest
    | ViewReply
    | DigestAnnouncement
)

_MESSAGES: dict[str, type[Message]] = {
    MessageKind.DRAINS: DrainUpdate,
    MessageKind.STARTS: StartUpdate,
    MessageKind.HEALTH: HealthEvidence,
    MessageKind.VIEW_REQUEST: ViewRequest,
    MessageKind.VIEW_REPLY: ViewReply,
    MessageKind.DIGEST_ANNOUNCEMENT: DigestAnnouncement,
}


def decode_message(words: Sequence[Any]) -> Message | None:
    """Read a message, given as it stands in a frame, without its header.

    Returns None where its kind is none of these, such as those of membership. Raises
    ValueError, TypeError, KeyError, IndexError or AttributeError where it can't be
    read.
    """
    kind, *arguments = words
    message_type = _MESSAGES.get(kind)
    return None if message_type is None else message_type.decode(arguments)
