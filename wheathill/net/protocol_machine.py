"""The base of all protocol state machines, which are fed bytes."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from wheathill.net.line_buffer import LineBuffer

if TYPE_CHECKING:
    from wheathill.config.limits import ProxyLimits
    from wheathill.net.interfaces import Clock


class NoTimer:
    """Stands for a machine's timer while none is set."""

    @staticmethod
    def cancel() -> None:
        """Do nothing."""


class ProtocolMachine:
    """A state machine of one connection.

    It is fed by the connection, of which it uses only `send`, `finish`, `part`, `abort`
    and `hold`, and reports what it finds to its owner. It has one timer at a time.

    Attributes:
        owner: who is told what the machine finds.
        limits: sizes and times of the proxy.
        clock: gives the time and sets timers.
        lines: what was received and not consumed yet.
        wire: the connection, once there is one.
        timer: the one that is set, or `NoTimer`.
    """

    def __init__(self, owner: object, limits: ProxyLimits, clock: Clock) -> None:
        self.owner: Any = owner  # each kind of machine has its own kind of owner
        self.limits = limits
        self.clock = clock
        self.lines = LineBuffer(limits.max_line_bytes)
        self.wire: Any = None
        self.timer: Any = NoTimer

    def set_timer(
        self, delay_ms: float, call: Callable[..., object], *args: object
    ) -> None:
        """Call after a delay, instead of what the timer was set for."""
        self.timer.cancel()
        self.timer = self.clock.after(delay_ms, self._on_timer, call, *args)

    def _on_timer(self, call: Callable[..., object], *args: object) -> None:
        # A timer that has expired still holds its call, and so the machine that holds
        # it.
        self.timer = NoTimer
        call(*args)

    @property
    def held_back(self) -> bool:
        """Whether the connection is not to be attempted yet.

        Asked right before the attempt, and a turn of the loop later again: what lies
        unread in this process may be against it. A machine that finds so ends its
        connection.
        """
        return False

    def connected(self) -> None:
        """The connection is established."""

    def carried(self) -> None:
        """A connection that another process held is open here; nothing is read yet."""

    def received(self, data: Any) -> None:  # noqa: ANN401 - Unix sockets give bytes and descriptors
        """Bytes were received: a memoryview, valid only until this returns."""

    def ended(self) -> None:
        """The peer sends no more."""

    def blocked(self, on: bool) -> None:
        """Bytes wait to be sent, or no longer."""

    def lost(self, reset: bool) -> None:
        """The connection is over, or was never established; nothing else follows."""

    def fault(self) -> None:
        """One of the callbacks above has raised an exception."""

    def let_go(self) -> None:
        """The connection has closed and calls nothing any more.

        It is called also where `lost` was not. What holds this machine in turn is given
        up here: the loop would stand for as long as the collector took to find such
        cycles.
        """


class NoMachine:
    """Stands for the machine of a connection that has let go of its own."""

    @staticmethod
    def fault() -> None:
        """Do nothing."""
