"""Messages of the anti-entropy protocol.

On the wire each message is a msgpack array that begins with the kind of the message.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from wheathill.store.delta_buffer import Delta
from wheathill.store.entries import EncodedRow
from wheathill.store.errors import MalformedMessageError
from wheathill.store.exchange import ReplyHeader
from wheathill.store.version_vector import VersionVector


class MessageKind(StrEnum):
    """Kind of a message: its first field on the wire."""

    PUSH = "push"
    REQUEST = "store?"
    REPLY = "store"


@dataclass(frozen=True, slots=True)
class PushMessage:
    """Changes made by the sender since its last push.

    Attributes:
        replica_id: replica that made the changes.
        version_vector: changes that the sender includes.
        delta: the changes.
    """

    replica_id: str
    version_vector: VersionVector
    delta: Delta

    def encode(self) -> list[Any]:
        """Return the fields in wire order, the kind first."""
        return [
            MessageKind.PUSH,
            self.replica_id,
            self.delta.first_sequence,
            self.delta.last_sequence,
            self.version_vector,
            self.delta.rows,
        ]

    @staticmethod
    def decode(fields: list[Any]) -> PushMessage:
        """Decode the message from the fields that follow the kind."""
        replica_id, first_sequence, last_sequence, vector, rows = fields
        delta = Delta(first_sequence, last_sequence, rows)
        return PushMessage(replica_id, _decode_vector(vector), delta)


@dataclass(frozen=True, slots=True)
class RequestMessage:
    """Asks for the changes that the sender lacks.

    Attributes:
        request_id: id of the request, repeated in the reply.
        version_vector: changes that the sender includes.
    """

    request_id: int
    version_vector: VersionVector

    def encode(self) -> list[Any]:
        """Return the fields in wire order, the kind first."""
        return [MessageKind.REQUEST, self.request_id, self.version_vector]

    @staticmethod
    def decode(fields: list[Any]) -> RequestMessage:
        """Decode the message from the fields that follow the kind."""
        request_id, vector = fields
        return RequestMessage(request_id, _decode_vector(vector))


@dataclass(frozen=True, slots=True)
class ReplyMessage:
    """One part of the reply to a request.

    Attributes:
        request_id: id of the request.
        part_index: index of this part, starting at 0.
        part_count: number of parts of the reply.
        header: state of the replying replica, identical in all parts.
        rows: encoded entries, which are decoded one at a time during the merge.
    """

    request_id: int
    part_index: int
    part_count: int
    header: ReplyHeader
    rows: list[EncodedRow]

    def encode(self) -> list[Any]:
        """Return the fields in wire order, the kind first."""
        return [
            MessageKind.REPLY,
            self.request_id,
            self.part_index,
            self.part_count,
            self.header.is_full_state,
            self.header.version_vector,
            self.header.collected_vector,
            self.header.collected_lamport_time,
            self.rows,
        ]

    @staticmethod
    def decode(fields: list[Any]) -> ReplyMessage:
        """Decode the message from the fields that follow the kind."""
        request_id, part_index, part_count, *header_fields, rows = fields
        is_full_state, vector, collected_vector, collected_lamport_time = header_fields
        header = ReplyHeader(
            is_full_state,
            _decode_vector(vector),
            _decode_vector(collected_vector),
            collected_lamport_time,
        )
        return ReplyMessage(request_id, part_index, part_count, header, rows)


Message = PushMessage | RequestMessage | ReplyMessage

_DECODERS: dict[str, Callable[[list[Any]], Message]] = {
    MessageKind.PUSH: PushMessage.decode,
    MessageKind.REQUEST: RequestMessage.decode,
    MessageKind.REPLY: ReplyMessage.decode,
}


def encode_message(message: Message) -> bytes:
    """Encode a message for transmission."""
    return msgspec.msgpack.encode(message.encode())


def decode_message(data: bytes) -> Message:
    """Decode a received message.

    Raises:
        MalformedMessageError: the data is not a valid message of the protocol.
    """
    try:
        kind, *fields = msgspec.msgpack.decode(data)
        decode = _DECODERS[kind]
    except (msgspec.DecodeError, TypeError, ValueError, KeyError):
        raise MalformedMessageError("not a message of the store protocol") from None
    try:
        return decode(fields)
    except MalformedMessageError:
        raise
    except ValueError:
        raise MalformedMessageError(
            f"unexpected field count {len(fields)} in a {kind!r} message"
        ) from None


def _decode_vector(encoded: object) -> VersionVector:
    if not isinstance(encoded, dict):
        raise MalformedMessageError("version vector is not a map")
    return VersionVector(encoded)
