"""Messages of the membership protocol and their wire format.

On the wire a message is a list of its kind and its fields, made up of numbers, strings
and lists so that it can be encoded as MessagePack. Only this module depends on the
format.
"""

import reprlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Self

from wheathill.peers.membership.member import Member, MemberState

# Lookup tables, as the enum's conversions cost more than the rest of an update.
_STATES_BY_VALUE = {state.value: state for state in MemberState}
_VALUES_BY_STATE = {state: state.value for state in MemberState}


class InvalidMessageError(ValueError):
    """A message that violates the membership protocol."""


# Not frozen, which would double the cost of creating one; a message holds many.
@dataclass(slots=True)
class MemberUpdate:
    """The state of a member that one instance reports; carried by other messages.

    `reported_by` is the name of the member that originated the report, "" if unknown.
    """

    state: MemberState
    name: str
    address: str
    incarnation: int
    generation: int
    reported_by: str

    @classmethod
    def of(cls, member: Member, reported_by: str) -> Self:
        """Return an update with the current state of `member`."""
        return cls(
            member.state,
            member.name,
            member.address,
            member.incarnation,
            member.generation,
            reported_by,
        )


@dataclass(slots=True, frozen=True)
class Ping:
    """Probes the receiver; the `Ack` repeats `sequence`, and 0 requests no ack."""

    sequence: int
    sender: str
    updates: list[MemberUpdate]


@dataclass(slots=True, frozen=True)
class Ack:
    """Acknowledges the ping with this sequence number."""

    sequence: int
    sender: str
    updates: list[MemberUpdate]


@dataclass(slots=True, frozen=True)
class IndirectPing:
    """SWIM's ping-req: asks the receiver to ping a target on the sender's behalf."""

    sequence: int
    sender: str
    target_name: str
    target_address: str
    updates: list[MemberUpdate]


@dataclass(slots=True, frozen=True)
class Nack:
    """Lifeguard's nack: the helper is responsive, but has no ack of the target."""

    sequence: int


@dataclass(slots=True, frozen=True)
class Join:
    """Requests the receiver's full state, and introduces the sender."""

    member: MemberUpdate


@dataclass(slots=True, frozen=True)
class StateSync:
    """A part of the sender's state (memberlist's push/pull)."""

    updates: list[MemberUpdate]


@dataclass(slots=True, frozen=True)
class NameConflict:
    """Rejects a `Join` under a name that another process, `holder`, holds."""

    holder: MemberUpdate


@dataclass(slots=True, frozen=True)
class DigestRequest:
    """Carries a digest per bucket of the sender's members, to find differences."""

    digests: list[int]


@dataclass(slots=True, frozen=True)
class StateRequest:
    """Requests the state of all members in these buckets."""

    buckets: list[int]


Message = (
    Ping
    | Ack
    | IndirectPing
    | Nack
    | Join
    | StateSync
    | NameConflict
    | DigestRequest
    | StateRequest
)


def encode_message(message: Message) -> list[Any]:
    """Return the wire format of `message`."""
    match message:
        case Ping(sequence, sender, updates):
            return ["ping", sequence, sender, _encode_updates(updates)]
        case Ack(sequence, sender, updates):
            return ["ack", sequence, sender, _encode_updates(updates)]
        case IndirectPing(sequence, sender, target_name, target_address, updates):
            return [
                "ask",
                sequence,
                sender,
                target_name,
                target_address,
                _encode_updates(updates),
            ]
        case Nack(sequence):
            return ["nack", sequence]
        case Join(member):
            return ["join", _encode_member(member)]
        case StateSync(updates):
            return ["state", _encode_updates(updates)]
        case NameConflict(holder):
            return ["clash", _encode_member(holder)]
        case DigestRequest(digests):
            return ["compare", digests]
    return ["want", message.buckets]


def decode_message(fields: object) -> Message:
    """Decode a message from its wire format.

    The whole message is validated, including the type of each field. Extra fields are
    ignored for kinds that have a single field.

    Raises:
        InvalidMessageError: The message violates the protocol.
    """
    match fields:
        case ["ping", int(sequence), str(sender), [*updates]]:
            return Ping(sequence, sender, _decode_updates(updates))
        case ["ack", int(sequence), str(sender), [*updates]]:
            return Ack(sequence, sender, _decode_updates(updates))
        case ["ask", int(sequence), str(sender), str(name), str(address), [*updates]]:
            decoded = _decode_updates(updates)
            return IndirectPing(sequence, sender, name, address, decoded)
        case ["nack", int(sequence), *_]:
            return Nack(sequence)
        case ["join", member, *_]:
            return Join(_decode_member(member))
        case ["state", [*updates], *_]:
            return StateSync(_decode_updates(updates))
        case ["clash", holder, *_]:
            return NameConflict(_decode_member(holder))
        case ["compare", [*digests], *_]:
            return DigestRequest(_decode_integers(digests))
        case ["want", [*buckets], *_]:
            return StateRequest(_decode_integers(buckets))
    raise InvalidMessageError(f"unknown or malformed message: {reprlib.repr(fields)}")


def _encode_member(update: MemberUpdate) -> list[Any]:
    return [
        _VALUES_BY_STATE[update.state],
        update.name,
        update.address,
        update.incarnation,
        update.generation,
    ]


def _encode_updates(updates: list[MemberUpdate]) -> list[Any]:
    return [[*_encode_member(update), update.reported_by] for update in updates]


def _decode_member(fields: object) -> MemberUpdate:
    """Decode an update without a reporter; the member counts as its own reporter."""
    match fields:
        case [_, name, _, _, _]:
            return _decode_update([*fields, name])
    raise InvalidMessageError(f"malformed member: {reprlib.repr(fields)}")


def _decode_updates(fields: Sequence[object]) -> list[MemberUpdate]:
    return [_decode_update(update) for update in fields]


def _decode_update(fields: object) -> MemberUpdate:
    # A pattern match would take three times as long, and a message holds many updates.
    if not isinstance(fields, (list, tuple)) or len(fields) != 6:
        raise InvalidMessageError(f"malformed update: {reprlib.repr(fields)}")
    state, name, address, incarnation, generation, reported_by = fields
    if not (
        isinstance(state, str)
        and state in _STATES_BY_VALUE
        and isinstance(name, str)
        and isinstance(address, str)
        and isinstance(incarnation, int)
        and isinstance(generation, int)
        and isinstance(reported_by, str)
    ):
        raise InvalidMessageError(f"malformed update: {reprlib.repr(fields)}")
    return MemberUpdate(
        _STATES_BY_VALUE[state], name, address, incarnation, generation, reported_by
    )


def _decode_integers(fields: Sequence[object]) -> list[int]:
    integers = [value for value in fields if isinstance(value, int)]
    if len(integers) != len(fields):
        raise InvalidMessageError(
            f"list has values that are not integers: {reprlib.repr(fields)}"
        )
    return integers
