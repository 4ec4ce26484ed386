"""The messages of a handover: typed here, named fields of JSON objects on the wire.

Each stands for one field of an object, `{"name": value}`; an object with several fields
is several messages. `encode` returns the whole object, `decode` takes the value alone.
The sections of a state are messages as well, see `state_codec`.
"""

from dataclasses import dataclass

from wheathill.handover.errors import HandoverError

PROTOCOL_VERSION = 1  # of the conversation; processes of another one are refused

# The wire's names.
HELLO = "hello"
REJECTION = "no"
STATE_COMPLETE = "told"
STATE_APPLIED = "took"
SESSIONS = "sessions"
SESSIONS_RECEIVED = "carried"
DESCRIPTORS_HELD = "held"
MAINTENANCE = "hand"


@dataclass(frozen=True, slots=True)
class Hello:
    """The new process asks for the state."""

    proxy_name: str
    version: int = PROTOCOL_VERSION

    def encode(self) -> dict:
        """Return the message's object."""
        return {HELLO: [self.version, self.proxy_name]}

    def matches(self, value: object) -> bool:
        """Return whether another process's value says the same."""
        return value == [self.version, self.proxy_name]


@dataclass(frozen=True, slots=True)
class Rejection:
    """The old process does not hand over now."""

    reason: str

    def encode(self) -> dict:
        """Return the message's object."""
        return {REJECTION: self.reason}

    @classmethod
    def decode(cls, value: object) -> "Rejection":
        """Return the message of a value, whatever it is: it is only logged."""
        return cls(str(value))


@dataclass(frozen=True, slots=True)
class StateComplete:
    """The old process has sent its whole state, and accepts no longer."""

    def encode(self) -> dict:
        """Return the message's object."""
        return {STATE_COMPLETE: True}


@dataclass(frozen=True, slots=True)
class StateApplied:
    """The new process accepts: with the state, or as from nothing."""

    with_state: bool

    def encode(self) -> dict:
        """Return the message's object."""
        return {STATE_APPLIED: self.with_state}

    @classmethod
    def decode(cls, value: object) -> "StateApplied":
        """Return the message of a value."""
        return cls(value is True)


@dataclass(frozen=True, slots=True)
class SessionBatch:
    """Some sessions; two descriptors of each come along, the client's first."""

    sessions: list[dict]

    def encode(self) -> dict:
        """Return the message's object."""
        return {SESSIONS: self.sessions}

    @classmethod
    def decode(cls, value: object, descriptor_count: int) -> "SessionBatch":
        """Return the message of a value, with sessions that are not decoded yet.

        Raises:
            HandoverError: if it is no list, or more than came with descriptors.
        """
        if not isinstance(value, list) or descriptor_count < 2 * len(value):
            raise HandoverError("sessions without their handles")
        return cls(value)


@dataclass(frozen=True, slots=True)
class SessionsReceived:
    """The new process has a batch, and has not read a byte of its sessions yet."""

    count: int

    def encode(self) -> dict:
        """Return the message's object."""
        return {SESSIONS_RECEIVED: self.count}

    def matches(self, value: object) -> bool:
        """Return whether another process's value says the same."""
        return value == self.count


@dataclass(frozen=True, slots=True)
class DescriptorsHeld:
    """The old process still holds so many, which the new one takes off its own."""

    count: int

    def encode(self) -> dict:
        """Return the message's object."""
        return {DESCRIPTORS_HELD: self.count}

    @classmethod
    def decode(cls, value: object) -> "DescriptorsHeld":
        """Return the message of a value.

        Raises:
            ValueError, TypeError: if it is no number.
        """
        return cls(int(value))  # type: ignore[call-overload]  # TypeError says so


@dataclass(frozen=True, slots=True)
class MaintenanceChange:
    """An operator's call at the other process: a server out of use, or back."""

    server_name: str
    is_out: bool

    def encode(self) -> dict:
        """Return the message's object."""
        return {MAINTENANCE: [self.server_name, self.is_out]}

    @classmethod
    def decode(cls, value: object) -> "MaintenanceChange":
        """Return the message of a value.

        Raises:
            HandoverError: if its parts are not a name and a flag.
            ValueError, TypeError: if it does not have two parts.
        """
        name: object
        is_out: object
        name, is_out = value  # type: ignore[misc]  # TypeError says so
        if not isinstance(name, str) or not isinstance(is_out, bool):
            raise HandoverError("hand without a name")
        return cls(name, is_out)
