"""A simulated clock, which never reads the time of the machine."""

from heapq import heappop, heappush

# Wall clock at the start of a run, as Unix time in ms. Servers report when they started by it.
EPOCH = 1_700_000_000_000.0


class ScheduledCall(list):
    """A timer: [due time in ms, sequence number, callback, arguments].

    The list is itself the heap's entry and is compared as such, which saves a wrapper object.
    """

    __slots__ = ()

    def cancel(self):
        """Cancel the call; its entry stays in the heap until it is due."""
        self[2] = None


class VirtualClock:
    """A clock in ms since the start of the run.

    Calls are made in the order of their due times, and in the order of scheduling where these are equal.
    """

    def __init__(self):
        self.time = 0.0
        self.scheduled_calls = []
        self.scheduled_count = 0
        self.executed_count = 0

    def now(self):
        """Return the simulated time in ms."""
        return self.time

    def from_wall(self, wall):
        """Convert Unix time in ms to simulated time."""
        return wall - EPOCH

    def to_wall(self, when):
        """Convert simulated time to Unix time in ms."""
        return when + EPOCH

    def at(self, when, call, *args):
        """Schedule a call at a simulated time, or at once if that time is past."""
        return self.put(when, call, args)

    def after(self, wait, call, *args):
        """Schedule a call after a delay in ms."""
        return self.put(self.time + wait, call, args)

    def soon(self, call, *args):
        """Schedule a call at the current time, after all that are due by now."""
        return self.put(self.time, call, args)

    def put(self, when, call, args):
        """Schedule a call with its arguments given as a tuple; returns its timer."""
        self.scheduled_count = number = self.scheduled_count + 1
        timer = ScheduledCall(
            (when if when > self.time else self.time, number, call, args)
        )
        heappush(self.scheduled_calls, timer)
        return timer

    def run(self, until):
        """Make all calls that are due up to a time, and advance the clock to it."""
        scheduled_calls = self.scheduled_calls
        while scheduled_calls and scheduled_calls[0][0] <= until:
            self.time, _, call, args = heappop(scheduled_calls)
            if call is not None:
                self.executed_count += 1
                call(*args)
        self.time = until
