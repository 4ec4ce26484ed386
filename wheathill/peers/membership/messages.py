"""The messages of the membership protocol, and their form on the wire.

On the wire a message is a list of its kind and its fields, of numbers, text and lists
only, ready for MessagePack. `encode_message` and `decode_message` are the only places
that know this form.
"""

import reprlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Self

from wheathill.peers.membership.member import Member, MemberState

# Lookups, as the enum's own conversions cost more than the rest of an update.
_STATES_BY_VALUE = {state.value: state for state in MemberState}
_VALUES_BY_STATE = {state: state.value for state in MemberState}


class InvalidMessageError(ValueError):
    """A message that is not of the membership protocol."""


# Not frozen, which would double the cost of the one type made many times a message.
@dataclass(slots=True)
class MemberUpdate:
    """What one instance reports of a member; other messages carry it.

    `reported_by` is the name of the member that came to this by itself, "" where that
    is not known.
    """

    state: MemberState
    name: str
    address: str
    incarnation: int
    generation: int
    reported_by: str

    @classmethod
    def of(cls, member: Member, reported_by: str) -> Self:
        """Return what this instance knows of `member` now."""
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
    """Probes the receiver. `sequence` is repeated by the `Ack`; 0 asks for none."""

    sequence: int
    sender: str
    updates: list[MemberUpdate]


@dataclass(slots=True, frozen=True)
class Ack:
    """Answers the ping of this sequence number."""

    sequence: int
    sender: str
    updates: list[MemberUpdate]


@dataclass(slots=True, frozen=True)
class IndirectPing:
    """SWIM's ping-req: asks the receiver to ping a target in the sender's place."""

    sequence: int
    sender: str
    target_name: str
    target_address: str
    updates: list[MemberUpdate]


@dataclass(slots=True, frozen=True)
class Nack:
    """Lifeguard's nack: the helper is well, and has no answer of the target."""

    sequence: int


@dataclass(slots=True, frozen=True)
class Join:
    """Asks for all that the receiver knows, and introduces the sender."""

    member: MemberUpdate


@dataclass(slots=True, frozen=True)
class StateSync:
    """A part of all that the sender knows (memberlist's push/pull)."""

    updates: list[MemberUpdate]


@dataclass(slots=True, frozen=True)
class NameConflict:
    """Answers a `Join` under a name that another process holds, which is `holder`."""

    holder: MemberUpdate


@dataclass(slots=True, frozen=True)
class DigestRequest:
    """A digest of each bucket of the sender's members, to exchange what differs."""

    digests: list[int]


@dataclass(slots=True, frozen=True)
class StateRequest:
    """Asks for all members in these buckets."""

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
    """Return the form of `message` on the wire."""
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
    """Return the message with this form on the wire.

    It is checked as a whole, down to the type of each field. Kinds with a single field
    may be followed by more, which are ignored.

    Raises:
        InvalidMessageError: It is not of the protocol.
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
    raise InvalidMessageError(f"no message of the protocol: {reprlib.repr(fields)}")


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
    """Decode a member that is described without a reporter: it counts as its own."""
    match fields:
        case [_, name, _, _, _]:
            return _decode_update([*fields, name])
    raise InvalidMessageError(f"no member: {reprlib.repr(fields)}")


def _decode_updates(fields: Sequence[object]) -> list[MemberUpdate]:
    return [_decode_update(update) for update in fields]


def _decode_update(fields: object) -> MemberUpdate:
    # Not by a pattern, which takes three times as long: there are many in a message.
    if not isinstance(fields, (list, tuple)) or len(fields) != 6:
        raise InvalidMessageError(f"no update of a member: {reprlib.repr(fields)}")
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
        raise InvalidMessageError(f"no update of a member: {reprlib.repr(fields)}")
    return MemberUpdate(
        _STATES_BY_VALUE[state], name, address, incarnation, generation, reported_by
    )


def _decode_integers(fields: Sequence[object]) -> list[int]:
    integers = [value for value in fields if isinstance(value, int)]
    if len(integers) != len(fields):
        raise InvalidMessageError(f"not all of them integers: {reprlib.repr(fields)}")
    return integers
