"""Typed messages of the handover protocol.

On the wire, a message is a field of a JSON object, `{"name": value}`; an object with
several fields contains several messages. `encode` returns the whole object, `decode`
and `matches` take only the value. The sections of a state are messages too, see
`state_codec`.
"""

from dataclasses import dataclass

from wheathill.handover.errors import HandoverError
from wheathill.handover.validation import require_type

PROTOCOL_VERSION = 1  # a process with another version is rejected

# Message names on the wire.
HELLO = "hello"
REJECTION = "no"
STATE_COMPLETE = "told"
STATE_APPLIED = "took"
SESSIONS = "sessions"
SESSIONS_RECEIVED = "carried"
DESCRIPTORS_HELD = "held"
MAINTENANCE = "hand"
SESSION_IDS = "used"

MAX_SESSION_IDS = 1000  # in a message


@dataclass(frozen=True, slots=True)
class Hello:
    """Sent by the new process to request the state."""

    proxy_name: str
    version: int = PROTOCOL_VERSION

    def encode(self) -> dict:
        """Return the message's object."""
        return {HELLO: [self.version, self.proxy_name]}

    def matches(self, value: object) -> bool:
        """Return whether a received value has the same version and proxy name."""
        return value == [self.version, self.proxy_name]


@dataclass(frozen=True, slots=True)
class Rejection:
    """Sent by the old process if it cannot hand over now."""

    reason: str

    def encode(self) -> dict:
        """Return the message's object."""
        return {REJECTION: self.reason}

    @classmethod
    def decode(cls, value: object) -> "Rejection":
        """Return the message for any value; an unknown reason is only logged."""
        return cls(str(value))


@dataclass(frozen=True, slots=True)
class StateComplete:
    """The old process has sent its whole state and accepts no more connections."""

    def encode(self) -> dict:
        """Return the message's object."""
        return {STATE_COMPLETE: True}


@dataclass(frozen=True, slots=True)
class StateApplied:
    """The new process accepts connections, with the state applied or without it."""

    with_state: bool

    def encode(self) -> dict:
        """Return the message's object."""
        return {STATE_APPLIED: self.with_state}

    @classmethod
    def decode(cls, value: object) -> "StateApplied":
        """Return the message for a value; anything but true means without."""
        return cls(value is True)


@dataclass(frozen=True, slots=True)
class SessionBatch:
    """Sessions with two descriptors each, that of the client connection first."""

    sessions: list[dict]

    def encode(self) -> dict:
        """Return the message's object."""
        return {SESSIONS: self.sessions}

    @classmethod
    def decode(cls, value: object, descriptor_count: int) -> "SessionBatch":
        """Return the message for a value, with its sessions not decoded yet.

        Raises:
            HandoverError: if it is not a list, or there are too few descriptors.
        """
        if not isinstance(value, list) or descriptor_count < 2 * len(value):
            raise HandoverError("sessions are not a list, or descriptors are missing")
        return cls(value)


@dataclass(frozen=True, slots=True)
class SessionsReceived:
    """Acknowledges a batch, before a byte of its sessions is read."""

    count: int

    def encode(self) -> dict:
        """Return the message's object."""
        return {SESSIONS_RECEIVED: self.count}

    def matches(self, value: object) -> bool:
        """Return whether a received value is the same count."""
        return value == self.count


@dataclass(frozen=True, slots=True)
class DescriptorsHeld:
    """The number of descriptors that the old process still holds.

    The new process reduces its own limit by it.
    """

    count: int

    def encode(self) -> dict:
        """Return the message's object."""
        return {DESCRIPTORS_HELD: self.count}

    @classmethod
    def decode(cls, value: object) -> "DescriptorsHeld":
        """Return the message for a value.

        Raises:
            ValueError, TypeError: if it is not a number.
        """
        return cls(int(value))  # type: ignore[call-overload]  # raises TypeError


@dataclass(frozen=True, slots=True)
class MaintenanceChange:
    """An operator has started or ended the maintenance of a server."""

    server_name: str
    is_in_maintenance: bool

    def encode(self) -> dict:
        """Return the message's object."""
        return {MAINTENANCE: [self.server_name, self.is_in_maintenance]}

    @classmethod
    def decode(cls, value: object) -> "MaintenanceChange":
        """Return the message for a value.

        Raises:
            HandoverError: if its elements are not a name and a bool.
            ValueError, TypeError: if it does not have two elements.
        """
        name: object
        is_in_maintenance: object
        name, is_in_maintenance = value  # type: ignore[misc]  # raises TypeError
        if not isinstance(name, str) or not isinstance(is_in_maintenance, bool):
            raise HandoverError("maintenance change is not a server name and a bool")
        return cls(name, is_in_maintenance)


@dataclass(frozen=True, slots=True)
class SessionIdsUsed:
    """Session ids that a process has taken since the old one sent its state.

    The other process rejects a session with one of them. Either process sends them only
    if the other understands them: the old one says so in its state, the new one by its
    first message, which may be empty.
    """

    session_ids: list[str]

    def encode(self) -> dict:
        """Return the message's object."""
        return {SESSION_IDS: self.session_ids}

    @classmethod
    def decode(cls, value: object) -> "SessionIdsUsed":
        """Return the message for a value.

        Raises:
            HandoverError: if it is not a list of a limited number of strings.
        """
        session_ids = require_type(value, list)
        if len(session_ids) > MAX_SESSION_IDS:
            raise HandoverError(f"more than {MAX_SESSION_IDS} session ids")
        return cls([require_type(session_id, str) for session_id in session_ids])
