"""Monotonic time in milliseconds and timers, both taken from the event loop."""

import asyncio
import time
from collections.abc import Callable


class Clock:
    """A monotonic clock in milliseconds.

    The offset to wall time is determined once at startup, so that a given wall time,
    such as a server's start time, always converts to the same monotonic value.

    Attributes:
        loop: the event loop.
        offset: monotonic time minus Unix time, in ms.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.offset = self.now() - time.time() * 1000

    def now(self) -> float:
        """Return the current monotonic time."""
        return self.loop.time() * 1000

    def from_wall(self, wall_ms: float) -> float:
        """Convert a Unix time in milliseconds to monotonic time."""
        return wall_ms + self.offset

    def to_wall(self, monotonic_ms: float) -> float:
        """Convert a monotonic time to Unix time in milliseconds."""
        return monotonic_ms - self.offset

    def at(
        self, when_ms: float, call: Callable[..., object], *args: object
    ) -> asyncio.TimerHandle:
        """Schedule a call at a monotonic time."""
        return self.loop.call_at(when_ms / 1000, call, *args)

    def after(
        self, delay_ms: float, call: Callable[..., object], *args: object
    ) -> asyncio.TimerHandle:
        """Schedule a call after a delay."""
        return self.loop.call_later(delay_ms / 1000, call, *args)

    def soon(self, call: Callable[..., object], *args: object) -> asyncio.Handle:
        """Schedule a call for the next iteration of the event loop."""
        return self.loop.call_soon(call, *args)
