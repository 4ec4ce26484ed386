"""Interfaces that a handover depends on: transport, clock and log."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

Handle = Any  # a descriptor to be passed, as the transport represents it


class EventLog(Protocol):
    """Writes log lines."""

    def __call__(self, event: str, **values: object) -> None:
        """Write an event with its values."""


class Clock(Protocol):
    """The machine's monotonic clock, in milliseconds."""

    def now(self) -> float:
        """Return the current time."""

    def after(
        self, delay_ms: float, call: Callable[..., None], *args: object
    ) -> object:
        """Schedule a call after a delay."""


class ServerSocket(Protocol):
    """A Unix socket that another process can connect to."""

    def close(self) -> None:
        """Stop accepting connections."""


class Transport(Protocol):
    """The sockets of this process.

    Attributes:
        sockets: the number of descriptors that the connections hold.
        previous_process_sockets: the number of descriptors that the previous process
            still holds; they count towards the limit of this process.
    """

    sockets: int
    previous_process_sockets: int

    def close_handles(self, handles: Sequence[Handle]) -> None:
        """Close descriptors that were received, or were to be sent."""

    def listen_unix(
        self, directory: str | None, name: str, make_machine: Callable[..., Any]
    ) -> ServerSocket:
        """Listen on a Unix socket for other processes; raises OSError."""

    def connect_unix(
        self, directory: str | None, name: str, make_machine: Callable[..., Any]
    ) -> "Connection":
        """Connect to the Unix socket of another process; raises OSError."""


class Connection(Protocol):
    """A Unix socket connection to another process, for bytes and descriptors.

    Attributes:
        transport: the transport that it belongs to.
        machine: the protocol state machine that receives its events.
    """

    transport: Transport
    machine: Any

    def send(self, data: bytes, handles: Sequence[Handle] = ()) -> None:
        """Send bytes, with descriptors."""

    def close(self) -> None:
        """Close the connection; the machine receives nothing more."""
