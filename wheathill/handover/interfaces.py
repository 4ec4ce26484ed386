"""What a handover needs of its surroundings: the transport, the clock and the log."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

Handle = Any  # a descriptor that goes over, as the transport has it


class EventLog(Protocol):
    """Writes a line to the log."""

    def __call__(self, event: str, **values: object) -> None:
        """Write the event and its values."""


class Clock(Protocol):
    """The machine's monotonic clock, in milliseconds."""

    def now(self) -> float:
        """Return the present time."""

    def after(self, wait: float, call: Callable[..., None], *args: object) -> object:
        """Call after a wait."""


class ServerSocket(Protocol):
    """The Unix socket at which another process may connect."""

    def close(self) -> None:
        """Let nobody connect any more."""


class Transport(Protocol):
    """The sockets of this process.

    Attributes:
        sockets: how many descriptors it holds.
        previous_process_sockets: how many of its descriptors another process holds
            still.
    """

    sockets: int
    previous_process_sockets: int

    def close_handles(self, handles: Sequence[Handle]) -> None:
        """Close descriptors that came over or were meant to."""

    def listen_unix(
        self, directory: str | None, name: str, make_machine: Callable[..., Any]
    ) -> ServerSocket:
        """Listen for other processes on a Unix socket; raises OSError."""

    def connect_unix(
        self, directory: str | None, name: str, make_machine: Callable[..., Any]
    ) -> "Connection":
        """Connect to another process's Unix socket; raises OSError."""


class Connection(Protocol):
    """A Unix socket to another process, which passes bytes and descriptors.

    Attributes:
        transport: the transport that it belongs to.
        machine: the end of the handover that it feeds.
    """

    transport: Transport
    machine: Any

    def send(self, data: bytes, handles: Sequence[Handle] = ()) -> None:
        """Send bytes, with descriptors."""

    def close(self) -> None:
        """Close; nothing comes any more."""
