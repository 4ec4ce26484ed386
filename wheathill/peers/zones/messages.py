"""Messages about the replicated table, sent within zones and between them.

An encoded message is a list of its kind and its arguments, as in `peers.messages`. The
messages contain records in encoded form, for two reasons: the number of records that
fit into a datagram depends on their encoded size, and a reply counts as received even
if one of its records can't be decoded, such as the record of a zone that this member's
layout doesn't contain yet.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Self

EncodedRecord = Sequence[object]


class TableMessageKind(StrEnum):
    """The first element of an encoded message about the table."""

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
        """Return the message as it is sent in a frame."""
        return [TableMessageKind.UPDATE.value, self.records]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Return the message with the given arguments."""
        return cls(arguments[0])


@dataclass(frozen=True, slots=True)
class TableDigestRequest:
    """Requests the records in the buckets that differ.

    Attributes:
        reply_address: the address to send the reply to.
        bucket_digests: the digests of all buckets of the sender's replica.
    """

    reply_address: str
    bucket_digests: Sequence[int]

    def encode(self) -> list[Any]:
        """Return the message as it is sent in a frame."""
        return [
            TableMessageKind.DIGEST_REQUEST.value,
            self.reply_address,
            self.bucket_digests,
        ]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Return the message with the given arguments."""
        reply_address, bucket_digests = arguments
        return cls(reply_address, bucket_digests)


@dataclass(frozen=True, slots=True)
class DeltaReply:
    """Answers a digest request with all records in some of the buckets that differ.

    Attributes:
        reply_address: the address to send the records to that the sender lacks.
        buckets: the buckets that the reply covers.
        records: all of the sender's records in these buckets, in the order of the
            buckets.
    """

    reply_address: str
    buckets: Sequence[int]
    records: Sequence[EncodedRecord]

    def encode(self) -> list[Any]:
        """Return the message as it is sent in a frame."""
        return [
            TableMessageKind.DELTA_REPLY.value,
            self.reply_address,
            self.buckets,
            self.records,
        ]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Return the message with the given arguments."""
        reply_address, buckets, records = arguments
        return cls(reply_address, buckets, records)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A leader's periodic message to another zone.

    Attributes:
        reply_address: the address to send the reply to.
        records: the record of the sender's zone summary; empty if there is none yet.
    """

    reply_address: str
    records: Sequence[EncodedRecord]

    def encode(self) -> list[Any]:
        """Return the message as it is sent in a frame."""
        return [TableMessageKind.HEARTBEAT.value, self.reply_address, self.records]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Return the message with the given arguments."""
        return cls(arguments[0], arguments[1])


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answers a heartbeat.

    Attributes:
        records: the record of the sender's zone summary; empty if there is none yet.
    """

    records: Sequence[EncodedRecord]

    def encode(self) -> list[Any]:
        """Return the message as it is sent in a frame."""
        return [TableMessageKind.HEARTBEAT_REPLY.value, self.records]

    @classmethod
    def decode(cls, arguments: Sequence[Any]) -> Self:
        """Return the message with the given arguments."""
        return cls(arguments[0])


TableMessage = (
    TableUpdate | TableDigestRequest | DeltaReply | Heartbeat | HeartbeatReply
)

_MESSAGE_TYPES: dict[str, type[TableMessage]] = {
    TableMessageKind.UPDATE: TableUpdate,
    TableMessageKind.DIGEST_REQUEST: TableDigestRequest,
    TableMessageKind.DELTA_REPLY: DeltaReply,
    TableMessageKind.HEARTBEAT: Heartbeat,
    TableMessageKind.HEARTBEAT_REPLY: HeartbeatReply,
}


def decode_table_message(kind: str, arguments: Sequence[Any]) -> TableMessage | None:
    """Decode a message, given its kind and its arguments.

    Returns None if the kind is not a `TableMessageKind`. Raises ValueError, TypeError
    or IndexError if the message is malformed.
    """
    message_type = _MESSAGE_TYPES.get(kind)
    return None if message_type is None else message_type.decode(arguments)
