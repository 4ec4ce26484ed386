"""Messages of the anti-entropy protocol.

On the wire each is a msgpack array that begins with the message's kind.
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
    """First field of a message on the wire."""

    PUSH = "push"
    REQUEST = "store?"
    REPLY = "store"


@dataclass(frozen=True, slots=True)
class PushMessage:
    """Changes of the sender since its last push.

    Attributes:
        replica_id: replica that made the changes.
        version_vector: what the sender has seen.
        delta: the changes.
    """

    replica_id: str
    version_vector: VersionVector
    delta: Delta

    def encode(self) -> list[Any]:
        """Return the form on the wire."""
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
        """Return the message of its fields behind the kind."""
        replica_id, first_sequence, last_sequence, vector, rows = fields
        delta = Delta(first_sequence, last_sequence, rows)
        return PushMessage(replica_id, _decode_vector(vector), delta)


@dataclass(frozen=True, slots=True)
class RequestMessage:
    """Asks for what the sender lacks.

    Attributes:
        number: number of the request, repeated in the reply.
        version_vector: what the sender has seen.
    """

    number: int
    version_vector: VersionVector

    def encode(self) -> list[Any]:
        """Return the form on the wire."""
        return [MessageKind.REQUEST, self.number, self.version_vector]

    @staticmethod
    def decode(fields: list[Any]) -> RequestMessage:
        """Return the message of its fields behind the kind."""
        number, vector = fields
        return RequestMessage(number, _decode_vector(vector))


@dataclass(frozen=True, slots=True)
class ReplyMessage:
    """One part of the reply to a request.

    Attributes:
        number: number of the request.
        part: index of this part, from 0 up.
        part_count: number of parts of the reply.
        header: the same in all parts.
        rows: encoded entries, decoded one at a time as they are merged.
    """

    number: int
    part: int
    part_count: int
    header: ReplyHeader
    rows: list[EncodedRow]

    def encode(self) -> list[Any]:
        """Return the form on the wire."""
        return [
            MessageKind.REPLY,
            self.number,
            self.part,
            self.part_count,
            self.header.is_full_state,
            self.header.version_vector,
            self.header.collected_vector,
            self.header.collected_lamport_time,
            self.rows,
        ]

    @staticmethod
    def decode(fields: list[Any]) -> ReplyMessage:
        """Return the message of its fields behind the kind."""
        number, part, part_count, *header_fields, rows = fields
        is_full_state, vector, collected_vector, collected_lamport_time = header_fields
        header = ReplyHeader(
            is_full_state,
            _decode_vector(vector),
            _decode_vector(collected_vector),
            collected_lamport_time,
        )
        return ReplyMessage(number, part, part_count, header, rows)


Message = PushMessage | RequestMessage | ReplyMessage

_DECODERS: dict[str, Callable[[list[Any]], Message]] = {
    MessageKind.PUSH: PushMessage.decode,
    MessageKind.REQUEST: RequestMessage.decode,
    MessageKind.REPLY: ReplyMessage.decode,
}


def encode_message(message: Message) -> bytes:
    """Return a message as it goes on the wire."""
    return msgspec.msgpack.encode(message.encode())


def decode_message(data: bytes) -> Message:
    """Return a message that was received.

    Raises:
        MalformedMessageError: the data is no message of the protocol.
    """
    try:
        kind, *fields = msgspec.msgpack.decode(data)
        decode = _DECODERS[kind]
    except (msgspec.DecodeError, TypeError, ValueError, KeyError):
        raise MalformedMessageError("no message of the store") from None
    try:
        return decode(fields)
    except MalformedMessageError:
        raise
    except ValueError:
        raise MalformedMessageError(
            f"{len(fields)} fields in a message {kind!r}"
        ) from None


def _decode_vector(encoded: object) -> VersionVector:
    if not isinstance(encoded, dict):
        raise MalformedMessageError("a version vector is no map")
    return VersionVector(encoded)
