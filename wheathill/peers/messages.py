"""Messages between proxies as data types, and their encoding in frames. Free of I/O.

The payload of a frame is a list: the fields of a header, which describes the sender's
view of the fleet, followed by the message, itself a list of its kind and its arguments.
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
    """The process that sent a message.

    `address` is None for messages received on a stream.
    """

    name: str
    generation: int
    address: str | None


@dataclass(frozen=True, slots=True)
class ViewHeader:
    """The header of every message in a fleet without zones.

    Attributes:
        digest: digest of the processes that may be active in the sender's view; equal
            digests mean equal views.
        is_established: whether all members have at some time agreed on the sender.
        capacity_estimate: the sender's estimate of how many of its own connections per
            second a warm server can handle.
    """

    digest: str
    is_established: bool
    capacity_estimate: float

    def encode(self) -> tuple[Any, ...]:
        """Return the header fields that precede a message in a frame."""
        return self.digest, self.is_established, round(self.capacity_estimate, 2)

    @classmethod
    def decode(cls, fields: Sequence[Any]) -> Self:
        """Return the header with the given fields.

        Raises ValueError or TypeError if the fields are not a header.
        """
        digest, is_established, capacity_estimate = fields
        return cls(digest, bool(is_established), capacity_estimate)


@dataclass(frozen=True, slots=True)
class ZonedViewHeader:
    """The header of every message in a fleet of several zones.

    Attributes:
        zone: the sender's zone.
        view: the sender's view of its own zone.
        layout_version: version of the zone layout in the sender's configuration.
        table_digest: digest of the sender's replica of the replicated table.
    """

    zone: str
    view: ViewHeader
    layout_version: int
    table_digest: int

    def encode(self) -> tuple[Any, ...]:
        """Return the header fields that precede a message in a frame."""
        return self.zone, *self.view.encode(), self.layout_version, self.table_digest

    @classmethod
    def decode(cls, fields: Sequence[Any]) -> Self:
        """Return the header with the given fields.

        Raises ValueError or TypeError if the fields are not a header.
        """
        zone, *view, layout_version, table_digest = fields
        return cls(zone, ViewHeader.decode(view), layout_version, table_digest)


class MessageKind(StrEnum):
    """The first element of an encoded message; membership defines further kinds."""

    DRAINS = "drains"
    STARTS = "starts"
    HEALTH = "seen"
    VIEW_REQUEST = "view?"
    VIEW_REPLY = "view"
    DIGEST_ANNOUNCEMENT = "note"


@dataclass(frozen=True, slots=True)
class DrainUpdate:
    """Drains that have begun or ended according to the sender's endpoint list."""

    records: tuple[DrainRecord, ...]

    def encode(self) -> list[Any]:
        """Return the message as it is sent in a frame."""
        return [
            MessageKind.DRAINS.value,
            [record.encode() for record in self.records],
        ]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Return the message with the given arguments."""
        return cls(tuple(DrainRecord.decode(fields) for fields in arguments[0]))


@dataclass(frozen=True, slots=True)
class StartUpdate:
    """The latest process starts of servers that the sender knows of."""

    records: tuple[StartRecord, ...]

    def encode(self) -> list[Any]:
        """Return the message as it is sent in a frame."""
        return [
            MessageKind.STARTS.value,
            [record.encode() for record in self.records],
        ]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Return the message with the given arguments."""
        return cls(tuple(StartRecord.decode(fields) for fields in arguments[0]))


@dataclass(frozen=True, slots=True)
class HealthEvidence:
    """The sender's own recent observations of servers' health."""

    reports: tuple[HealthReport, ...]

    def encode(self) -> list[Any]:
        """Return the message as it is sent in a frame."""
        return [
            MessageKind.HEALTH.value,
            [report.encode() for report in self.reports],
        ]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Return the message with the given arguments.

        Reports with a health value that is unknown to this version are skipped.
        """
        reports = [HealthReport.decode(fields) for fields in arguments[0]]
        return cls(tuple(report for report in reports if report is not None))


@dataclass(frozen=True, slots=True)
class ViewRequest:
    """Requests the receiver's complete view, for an operator's comparison of views."""

    request_id: int

    def encode(self) -> list[Any]:
        """Return the message as it is sent in a frame."""
        return [MessageKind.VIEW_REQUEST.value, self.request_id]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Return the message with the given arguments."""
        return cls(arguments[0])


@dataclass(frozen=True, slots=True)
class MemberSummary:
    """The generation and the state of one member in a view that is compared."""

    generation: int
    state: str


@dataclass(frozen=True, slots=True)
class ViewReply:
    """The sender's complete view: a summary of each member, by name."""

    request_id: int
    members: dict[str, MemberSummary]

    def encode(self) -> list[Any]:
        """Return the message as it is sent in a frame."""
        members = {
            name: [member.generation, member.state]
            for name, member in self.members.items()
        }
        return [MessageKind.VIEW_REPLY.value, self.request_id, members]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Return the message with the given arguments."""
        request_id, members = arguments[0], arguments[1]
        summaries = {
            str(name): MemberSummary(generation, str(state))
            for name, (generation, state) in members.items()
        }
        return cls(request_id, summaries)


@dataclass(frozen=True, slots=True)
class DigestAnnouncement:
    """Announces that the sender's view has changed.

    It has no arguments: the digest of the view is in the header.
    """

    def encode(self) -> list[Any]:
        """Return the message as it is sent in a frame."""
        return [MessageKind.DIGEST_ANNOUNCEMENT.value]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Return the message; any arguments are ignored."""
        return cls()


Message = (
    DrainUpdate
    | StartUpdate
    | HealthEvidence
    | ViewRequest
    | ViewReply
    | DigestAnnouncement
)

_MESSAGE_TYPES: dict[str, type[Message]] = {
    MessageKind.DRAINS: DrainUpdate,
    MessageKind.STARTS: StartUpdate,
    MessageKind.HEALTH: HealthEvidence,
    MessageKind.VIEW_REQUEST: ViewRequest,
    MessageKind.VIEW_REPLY: ViewReply,
    MessageKind.DIGEST_ANNOUNCEMENT: DigestAnnouncement,
}


def decode_message(encoded: Sequence[Any]) -> Message | None:
    """Decode a message without its header.

    Returns None if the kind is not a `MessageKind`, as for membership messages. Raises
    ValueError, TypeError, KeyError, IndexError or AttributeError if the message is
    malformed.
    """
    kind, *arguments = encoded
    message_type = _MESSAGE_TYPES.get(kind)
    return None if message_type is None else message_type.decode(arguments)
