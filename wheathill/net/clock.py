"""The event loop's time in milliseconds, and its timers."""

import asyncio
import time
from collections.abc import Callable


class Clock:
    """A monotonic clock in milliseconds.

    The offset to wall time is determined once, so that a wall time, as a server's
    start, keeps one monotonic value for good.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.offset = self.now() - time.time() * 1000

    def now(self) -> float:
        """Return the monotonic time."""
        return self.loop.time() * 1000

    def from_wall(self, wall_ms: float) -> float:
        """Return the monotonic time of a Unix time in milliseconds."""
        return wall_ms + self.offset

    def to_wall(self, monotonic_ms: float) -> float:
        """Return the Unix time, in milliseconds, of a monotonic time."""
        return monotonic_ms - self.offset

    def at(
        self, when_ms: float, call: Callable[..., object], *args: object
    ) -> asyncio.TimerHandle:
        """Call at a monotonic time."""
        return self.loop.call_at(when_ms / 1000, call, *args)

    def after(
        self, delay_ms: float, call: Callable[..., object], *args: object
    ) -> asyncio.TimerHandle:
        """Call after a delay."""
        return self.loop.call_later(delay_ms / 1000, call, *args)

    def soon(self, call: Callable[..., object], *args: object) -> asyncio.Handle:
        """Call in the loop's next turn."""
        return self.loop.call_soon(call, *args)
