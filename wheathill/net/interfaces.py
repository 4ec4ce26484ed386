"""The interfaces between the proxy and whatever carries its bytes.

`net` implements them on sockets and on the loop's clock, the lab in virtual time and
with modelled networks.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from wheathill.config.limits import ProxyLimits


class EventLog(Protocol):
    """Writes an event to the log."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write the event and its fields."""


class Timer(Protocol):
    """A call that has been arranged."""

    def cancel(self) -> None:
        """Let the call not happen."""


class Clock(Protocol):
    """Monotonic milliseconds, and timers."""

    def now(self) -> float:
        """Return the present time."""

    def from_wall(self, wall_ms: float) -> float:
        """Return the monotonic time of a Unix time."""

    def to_wall(self, monotonic_ms: float) -> float:
        """Return the Unix time of a monotonic time."""

    def at(self, when_ms: float, call: Callable[..., object], *args: object) -> Timer:
        """Call at a time."""

    def after(
        self, delay_ms: float, call: Callable[..., object], *args: object
    ) -> Timer:
        """Call after a delay."""

    def soon(self, call: Callable[..., object], *args: object) -> Any:  # noqa: ANN401 - the lab's gives no timer
        """Call as soon as what runs has returned."""


class ProtocolMachine(Protocol):
    """What a connection calls; see `net.protocol_machine` for each call's meaning.

    Attributes:
        wire: the connection.
    """

    wire: Any

    @property
    def is_connect_postponed(self) -> bool:
        """Whether the connection is not to be attempted yet."""

    def connected(self) -> None:
        """The connection is established."""

    def adopted(self) -> None:
        """A connection that another process held is open here."""

    def received(self, data: memoryview) -> None:
        """Bytes were received; they are valid only until this returns."""

    def ended(self) -> None:
        """The peer sends no more."""

    def blocked(self, on: bool) -> None:
        """Bytes wait to be sent, or no longer."""

    def lost(self, reset: bool) -> None:
        """The connection is over, or was never established."""

    def fault(self) -> None:
        """A call to the machine has raised an exception."""

    def release(self) -> None:
        """Nothing is called any more."""


class Connection(Protocol):
    """A stream of bytes each way.

    Attributes:
        machine: the state machine that is fed.
        is_write_blocked: whether bytes wait to be sent.
        refused: whether the host was there, and nothing listened.
        holds_descriptor: whether the transport counts it as one of its descriptors.
    """

    machine: Any
    is_write_blocked: bool
    refused: bool
    holds_descriptor: bool

    @property
    def was_established(self) -> bool:
        """Whether it has ever been established."""

    @property
    def open(self) -> bool:
        """Whether it is established, and neither over nor closed by the machine."""

    @property
    def quiet(self) -> bool:
        """Whether it is open both ways, and no byte is on its way through here."""

    @property
    def drained(self) -> bool:
        """Whether the last byte has left."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether received bytes wait to be read."""

    @property
    def ms_since_receive(self) -> float:
        """The ms since bytes last came from the network."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the peer to read."""

    def send(self, *parts: bytes) -> None:
        """Send bytes, now or as soon as the peer reads."""

    def set_paused(self, on: bool) -> None:
        """Pause or resume reading."""

    def duplicate(self) -> Any:  # noqa: ANN401 - a descriptor; in virtual time the connection
        """Return what another process needs to have the connection; raises OSError."""

    def send_eof(self) -> None:
        """Send no more; what the peer sends is still received."""

    def close_gracefully(self) -> None:
        """Close gracefully; the machine is told nothing any more."""

    def abort(self, reset: bool = False) -> None:
        """Close at once, with a reset where that is asked for."""


class UnixConnection(Protocol):
    """A connection to another process, which passes bytes and descriptors.

    Attributes:
        transport: the transport that it belongs to.
        machine: the state machine that is fed.
    """

    transport: Any
    machine: Any

    def send(self, data: bytes, handles: Sequence[Any] = ()) -> None:
        """Send bytes, with descriptors."""

    def close(self) -> None:
        """Close; the machine is not called any more."""


class ServerSocket(Protocol):
    """A listening socket."""

    @property
    def waiting(self) -> bool:
        """Whether somebody is on the way in."""

    def set_paused(self, on: bool) -> None:
        """Accept nobody for now, or go on."""

    def close(self) -> None:
        """Accept nobody any more."""


class UnixServerSocket(Protocol):
    """A Unix socket at which other processes may connect."""

    def close(self) -> None:
        """Accept nobody any more."""


class DatagramSocket(Protocol):
    """A socket for datagrams."""

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, which may be lost."""

    def close(self) -> None:
        """Close the socket."""


class Transport(Protocol):
    """The sockets of one process.

    Attributes:
        limits: sizes, counts and times of the proxy.
        log: writes an event.
        sockets: descriptors that the connections hold.
        previous_process_sockets: descriptors that the process which this one takes
            over from holds still.
        closing_connections: connections that their machines have closed, until the
            sockets are closed.
    """

    limits: ProxyLimits
    log: EventLog
    sockets: int
    previous_process_sockets: int
    closing_connections: dict[Any, None]

    @property
    def free(self) -> int:
        """How many more descriptors connections may take; may be negative."""

    def listen(
        self,
        make_machine: Callable[[Any], Any],
        address: tuple[str, int],
        has_room: Callable[[], bool],
    ) -> ServerSocket:
        """Accept connections while `has_room` says so; raises OSError."""

    def connect(
        self,
        machine: ProtocolMachine,
        address: tuple[str, int],
        source: str | None = None,
    ) -> Connection:
        """Begin to connect; the machine is told of the result."""

    def bind_datagram_socket(
        self,
        machine: Any,  # noqa: ANN401 - takes datagrams
        address: tuple[str, int],
    ) -> DatagramSocket:
        """Bind a socket for datagrams; raises OSError."""

    def adopt(self, handle: Any, machine: ProtocolMachine) -> Connection:  # noqa: ANN401 - what `duplicate` gave
        """Take over a connection that another process has passed."""

    def close_handles(self, handles: Sequence[Any]) -> None:
        """Close what was passed or was meant to be."""

    def listen_unix(
        self, directory: str | None, name: str, make_machine: Callable[[Any], Any]
    ) -> UnixServerSocket:
        """Listen for other processes on a Unix socket; raises OSError."""

    def connect_unix(
        self, directory: str | None, name: str, make_machine: Callable[[Any], Any]
    ) -> UnixConnection:
        """Connect to another process's Unix socket; raises OSError."""


class SocketTransport(Transport, Protocol):
    """What sockets on an asyncio loop need of their transport.

    Attributes:
        loop: the event loop.
        buffer: the receive buffer of all connections.
    """

    loop: asyncio.AbstractEventLoop
    buffer: memoryview
