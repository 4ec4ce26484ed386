"""The interfaces between the proxy and its transport, clock and log.

`net` implements them with sockets and the clock of the event loop, the lab in virtual
time on modelled networks.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from wheathill.config.limits import ProxyLimits


class EventLog(Protocol):
    """A function that writes an event to the log."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write the event and its fields."""


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; does nothing once it was made."""


class Clock(Protocol):
    """A monotonic clock in milliseconds, with timers."""

    def now(self) -> float:
        """Return the current monotonic time."""

    def from_wall(self, wall_ms: float) -> float:
        """Return the monotonic time that corresponds to a Unix time in ms."""

    def to_wall(self, monotonic_ms: float) -> float:
        """Return the Unix time in ms that corresponds to a monotonic time."""

    def at(self, when_ms: float, call: Callable[..., object], *args: object) -> Timer:
        """Schedule a call at a monotonic time."""

    def after(
        self, delay_ms: float, call: Callable[..., object], *args: object
    ) -> Timer:
        """Schedule a call after a delay."""

    def soon(self, call: Callable[..., object], *args: object) -> Any:  # noqa: ANN401 - the lab's gives no timer
        """Schedule a call for the next iteration of the event loop."""


class ProtocolMachine(Protocol):
    """The callbacks of a connection, see `net.protocol_machine`.

    Attributes:
        connection: the connection.
        is_input_void_after_reset: whether bytes that were not read when the peer reset
            the connection are dropped.
    """

    connection: Any
    is_input_void_after_reset: bool

    @property
    def is_connect_postponed(self) -> bool:
        """Whether the connection must not be opened yet."""

    def connected(self) -> None:
        """React to an established connection."""

    def adopted(self) -> None:
        """React to a connection that was adopted from another process."""

    def received(self, data: memoryview) -> None:
        """React to received bytes; the buffer is valid only until this returns."""

    def ended(self) -> None:
        """React to the peer's end of stream."""

    def blocked(self, on: bool) -> None:
        """React to a send buffer that is no longer empty, or empty again."""

    def lost(self, reset: bool) -> None:
        """React to a connection that is lost, or could not be established."""

    def fault(self) -> None:
        """React to an exception that a callback has raised."""

    def release(self) -> None:
        """Drop references to the connection, as no more callbacks follow."""


class Connection(Protocol):
    """A bidirectional byte stream.

    Attributes:
        machine: the state machine that gets the callbacks.
        is_write_blocked: whether bytes wait to be sent.
        refused: whether the host has refused the connection.
        holds_descriptor: whether the transport counts it as one of its descriptors.
    """

    machine: Any
    is_write_blocked: bool
    refused: bool
    holds_descriptor: bool

    @property
    def was_established(self) -> bool:
        """Whether the connection was ever established."""

    @property
    def open(self) -> bool:
        """Whether it is established, and neither lost nor closed by the machine."""

    @property
    def quiet(self) -> bool:
        """Whether both directions are open and no received or sent byte is buffered."""

    @property
    def drained(self) -> bool:
        """Whether all bytes were passed to the kernel."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether received bytes wait in the kernel to be read."""

    @property
    def ms_since_receive(self) -> float:
        """The time in ms since bytes were last received from the network."""

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that wait for the peer to read."""

    def send(self, *parts: bytes) -> None:
        """Send bytes, buffered until the peer reads."""

    def set_paused(self, on: bool) -> None:
        """Pause or resume reading."""

    def duplicate(self) -> Any:  # noqa: ANN401 - a descriptor; in virtual time the connection
        """Return a duplicate to pass to another process; raises OSError."""

    def send_eof(self) -> None:
        """End the outgoing stream; what the peer sends is still received."""

    def close_gracefully(self) -> None:
        """Close once all is sent; the machine gets no more callbacks."""

    def abort(self, reset: bool = False) -> None:
        """Close at once, optionally with a TCP reset."""


class UnixConnection(Protocol):
    """A connection to another process, which passes bytes and descriptors.

    Attributes:
        transport: the transport that it belongs to.
        machine: the state machine that gets the callbacks.
    """

    transport: Any
    machine: Any

    def send(self, data: bytes, handles: Sequence[Any] = ()) -> None:
        """Send bytes together with descriptors."""

    def close(self) -> None:
        """Close; the machine gets no more callbacks."""


class ServerSocket(Protocol):
    """A listening socket."""

    @property
    def waiting(self) -> bool:
        """Whether a client waits to be accepted."""

    def set_paused(self, on: bool) -> None:
        """Pause or resume accepting connections."""

    def close(self) -> None:
        """Stop accepting connections."""


class UnixServerSocket(Protocol):
    """A listening Unix socket for other processes."""

    def close(self) -> None:
        """Stop accepting connections."""


class DatagramSocket(Protocol):
    """A UDP socket."""

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, which may be lost."""

    def close(self) -> None:
        """Close the socket."""


class Transport(Protocol):
    """The sockets of one process.

    Attributes:
        limits: sizes, counts and times of the proxy.
        log: writes an event.
        sockets: the number of descriptors that the connections hold.
        previous_process_sockets: the number of descriptors that the process before
            still holds during a handover to this one.
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
        """The number of descriptors left for connections; may be negative."""

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
        """Start connecting; the machine is told the result."""

    def bind_datagram_socket(
        self,
        machine: Any,  # noqa: ANN401 - takes datagrams
        address: tuple[str, int],
    ) -> DatagramSocket:
        """Bind a UDP socket; raises OSError."""

    def adopt(self, handle: Any, machine: ProtocolMachine) -> Connection:  # noqa: ANN401 - what `duplicate` gave
        """Use a connection that another process has passed."""

    def close_handles(self, handles: Sequence[Any]) -> None:
        """Close duplicates that were received, or were to be passed."""

    def listen_unix(
        self, directory: str | None, name: str, make_machine: Callable[[Any], Any]
    ) -> UnixServerSocket:
        """Listen for other processes on a Unix socket; raises OSError."""

    def connect_unix(
        self, directory: str | None, name: str, make_machine: Callable[[Any], Any]
    ) -> UnixConnection:
        """Connect to another process's Unix socket; raises OSError."""


class SocketTransport(Transport, Protocol):
    """The part of a transport that sockets on an asyncio loop use.

    Attributes:
        loop: the event loop.
        buffer: the receive buffer that all connections share.
    """

    loop: asyncio.AbstractEventLoop
    buffer: memoryview
