"""What the state machines share."""

from wheathill.net.lines import Lines


class NoTimer:
    """Stands where none was set."""

    @staticmethod
    def cancel():
        pass


class Machine:
    """Fed by a wire, of which it knows only `send`, `finish`, `part`, `abort` and `hold`; tells `door` what
    it found. Has one timer at a time."""

    def __init__(self, door, limits, clock):
        self.door = door
        self.limits = limits
        self.clock = clock
        self.lines = Lines(limits.max_line_bytes)
        self.wire = None
        self.timer = NoTimer

    def set_timer(self, wait, call, *args):
        self.timer.cancel()
        self.timer = self.clock.after(wait, self.rang, call, *args)

    def rang(self, call, *args):
        # An alarm that has rung still holds its call, and so the machine that holds it.
        self.timer = NoTimer
        call(*args)

    @property
    def held_back(self):
        """Whether the connection is not to be begun yet, asked right before, a turn later again: what lies unread
        here may be against it. A machine that finds so ends its wire."""
        return False

    def connected(self):
        """The connection is up."""

    def carried(self):
        """A connection that another process held is up here; nothing is read yet."""

    def received(self, data):
        """Bytes came, which are only good until this returns."""

    def ended(self):
        """The peer sends no more."""

    def blocked(self, on):
        """Bytes wait to be sent, or no longer."""

    def lost(self, reset):
        """The connection is over, or never came up. Nothing follows."""

    def fault(self):
        """One of the above raised an exception."""

    def let_go(self):
        """The wire is gone, also where that was not told as `lost`, and will call nothing any more. What holds this
        machine in turn is given up here: the loop would stand for as long as it took to find all such cycles."""


class NoMachine:
    """Stands where a wire has let its own go."""

    @staticmethod
    def fault():
        pass
