"""Messages about the replicated table, which pass within zones and between them.

Each is a list of its kind and its arguments, as the messages of `peers.messages` are.
Records stand in them encoded: how many fit a datagram is measured on that form, and a
reply is an answer even where a record in it can't be read, as one of a zone that this
member's layout doesn't name yet.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Self

EncodedRecord = Sequence[object]


class TableMessageKind(StrEnum):
    """The first word of a message about the table."""

    UPDATE = "news"
    DIGEST_REQUEST = "differ"
    DELTA_REPLY = "have"
    HEARTBEAT = "beat"
    HEARTBEAT_REPLY = "beaten"


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """Records that are new to the sender, or that the receiver lacks."""

    records: Sequence[EncodedRecord]

    def encode(self) -> list[Any]:
        """Return the message as it stands in a frame."""
        return [TableMessageKind.UPDATE.value, self.records]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Read what follows the kind of such a message."""
        return cls(arguments[0])


@dataclass(frozen=True, slots=True)
class TableDigestRequest:
    """Asks for the records in buckets that differ.

    Attributes:
        reply_address: where to.
        bucket_digests: of the sender's replica.
    """

    reply_address: str
    bucket_digests: Sequence[int]

    def encode(self) -> list[Any]:
        """Return the message as it stands in a frame."""
        return [
            TableMessageKind.DIGEST_REQUEST.value,
            self.reply_address,
            self.bucket_digests,
        ]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Read what follows the kind of such a message."""
        reply_address, bucket_digests = arguments
        return cls(reply_address, bucket_digests)


@dataclass(frozen=True, slots=True)
class DeltaReply:
    """Answers a digest request with all records of some of the buckets that differ.

    Attributes:
        reply_address: the sender's, to which goes what it lacks.
        buckets: of which `records` are all that the sender has.
        records: in the order of the buckets.
    """

    reply_address: str
    buckets: Sequence[int]
    records: Sequence[EncodedRecord]

    def encode(self) -> list[Any]:
        """Return the message as it stands in a frame."""
        return [
            TableMessageKind.DELTA_REPLY.value,
            self.reply_address,
            self.buckets,
            self.records,
        ]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Read what follows the kind of such a message."""
        reply_address, buckets, records = arguments
        return cls(reply_address, buckets, records)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A leader's message to another zone, with its own zone's summary.

    Attributes:
        reply_address: where the reply goes.
        records: that of the summary, if there is one.
    """

    reply_address: str
    records: Sequence[EncodedRecord]

    def encode(self) -> list[Any]:
        """Return the message as it stands in a frame."""
        return [TableMessageKind.HEARTBEAT.value, self.reply_address, self.records]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Read what follows the kind of such a message."""
        return cls(arguments[0], arguments[1])


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answers a heartbeat, with the summary of the sender's zone, if there is one."""

    records: Sequence[EncodedRecord]

    def encode(self) -> list[Any]:
        """Return the message as it stands in a frame."""
        return [TableMessageKind.HEARTBEAT_REPLY.value, self.records]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Read what follows the kind of such a message."""
        return cls(arguments[0])


TableMessage = (
    TableUpdate | TableDigestRequest | DeltaReply | Heartbeat | HeartbeatReply
)

_MESSAGES: dict[str, type[TableMessage]] = {
    TableMessageKind.UPDATE: TableUpdate,
    TableMessageKind.DIGEST_REQUEST: TableDigestRequest,
    TableMessageKind.DELTA_REPLY: DeltaReply,
    TableMessageKind.HEARTBEAT: Heartbeat,
    TableMessageKind.HEARTBEAT_REPLY: HeartbeatReply,
}


def decode_table_message(kind: str, arguments: Sequence[Any]) -> TableMessage | None:
    """Read a message, given by its kind and what follows it in a frame.

    Returns None where the kind is none of these. Raises ValueError, TypeError or
    IndexError where it can't be read.
    """
    message_type = _MESSAGES.get(kind)
    return None if message_type is None else message_type.decode(arguments)
