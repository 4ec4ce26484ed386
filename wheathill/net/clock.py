"""The time in milliseconds, and alarms."""

import time


class Clock:
    """Monotonic; `from_wall` is worked out once, so that a server's start keeps one value for good."""

    def __init__(self, loop):
        self.loop = loop
        self.offset = self.now() - time.time() * 1000

    def now(self):
        return self.loop.time() * 1000

    def from_wall(self, wall):
        return wall + self.offset

    def to_wall(self, when):
        return when - self.offset

    def at(self, when, call, *args):
        return self.loop.call_at(when / 1000, call, *args)

    def after(self, wait, call, *args):
        return self.loop.call_later(wait / 1000, call, *args)

    def soon(self, call, *args):
        return self.loop.call_soon(call, *args)
