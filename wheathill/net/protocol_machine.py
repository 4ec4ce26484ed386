"""Base class of the protocol state machines that connections feed with bytes."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from wheathill.net.line_buffer import LineBuffer

if TYPE_CHECKING:
    from wheathill.config.limits import ProxyLimits
    from wheathill.net.interfaces import Clock


class NullTimer:
    """Null object that replaces a machine's timer while none is set."""

    @staticmethod
    def cancel() -> None:
        """Do nothing."""


class ProtocolMachine:
    """Protocol state machine of one connection.

    The connection calls it on each event. It uses only the connection's `send`,
    `send_eof`, `close_gracefully`, `abort` and `set_paused`, and reports results to its
    owner. It has at most one timer.

    Attributes:
        owner: the object that results are reported to.
        limits: size and time limits of the proxy.
        clock: provides the time and timers.
        lines: buffer of received bytes that were not consumed yet.
        connection: the connection, once there is one.
        timer: the pending timer, or `NullTimer`.
        is_input_void_after_reset: whether bytes that were not read when the peer reset
            the connection are dropped.
    """

    is_input_void_after_reset = False

    def __init__(self, owner: object, limits: ProxyLimits, clock: Clock) -> None:
        self.owner: Any = owner  # its type depends on the subclass
        self.limits = limits
        self.clock = clock
        self.lines = LineBuffer(limits.max_line_bytes)
        self.connection: Any = None
        self.timer: Any = NullTimer

    def set_timer(
        self, delay_ms: float, call: Callable[..., object], *args: object
    ) -> None:
        """Schedule a call after a delay, replacing the pending timer."""
        self.timer.cancel()
        self.timer = self.clock.after(delay_ms, self._on_timer, call, *args)

    def _on_timer(self, call: Callable[..., object], *args: object) -> None:
        # An expired timer still references its callback and thus this machine; drop it
        # to avoid a reference cycle.
        self.timer = NullTimer
        call(*args)

    @property
    def is_connect_postponed(self) -> bool:
        """Whether to postpone the connection attempt.

        Checked immediately before the attempt and again in each loop iteration while it
        is true, as received data that was not processed yet may make the attempt
        unnecessary. In that case the machine aborts the connection.
        """
        return False

    def connected(self) -> None:
        """The connection is established."""

    def adopted(self) -> None:
        """A connection passed by another process is open here; reading is paused."""

    def received(self, data: Any) -> None:  # noqa: ANN401 - Unix sockets pass bytes and descriptors
        """Bytes were received: a memoryview that is valid only during this call."""

    def ended(self) -> None:
        """The peer has sent end of stream."""

    def blocked(self, on: bool) -> None:
        """Bytes are waiting in the send buffer (`on`), or the buffer is empty again."""

    def lost(self, reset: bool) -> None:
        """The connection was lost or could not be established; the last event."""

    def fault(self) -> None:
        """One of the callbacks above has raised an exception."""

    def release(self) -> None:
        """The connection has closed and makes no further calls.

        Also called if `lost` was not. Subclasses drop references that form cycles with
        this machine, as the garbage collector would block the event loop to find them.
        """


class NullMachine:
    """Null object for the machine of a connection that has released its own."""

    is_input_void_after_reset = False

    @staticmethod
    def fault() -> None:
        """Do nothing."""
