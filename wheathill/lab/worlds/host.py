"""A machine with one process on it, in any world: it ends, is paused, falls silent and begins anew."""


class HostClock:
    """A host's view of the clock: alarms wait while it is paused, and are gone with the process that set
    them."""

    def __init__(self, host, clock):
        self.host = host
        self.clock = clock
        self.now = clock.now
        self.from_wall, self.to_wall = clock.from_wall, clock.to_wall

    def at(self, when, call, *args):
        return self.clock.put(when, self.host.gate, (self.host.life, call, *args))

    def after(self, wait, call, *args):
        return self.clock.put(
            self.clock.time + wait, self.host.gate, (self.host.life, call, *args)
        )

    def soon(self, call, *args):
        return self.clock.put(
            self.clock.time, self.host.gate, (self.host.life, call, *args)
        )


class Host:
    """One machine with one process on it. `life` counts its processes: what an earlier one set or held is
    void. Silent: nothing goes out or comes in, and nobody is told."""

    def __init__(self, name, zone, clock):
        self.name = name
        self.zone = zone
        self.clock = HostClock(self, clock)
        self.life = 0
        self.alive = True
        self.paused = False
        self.silent = False
        self.deferred = []
        self.cuts = []  # faults that its next bytes meet (`tap`)

    def gate(self, life, call, *args):
        if life != self.life or not self.alive:
            return
        if self.paused:
            self.deferred.append((life, call, args))
        else:
            call(*args)

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False
        deferred, self.deferred = self.deferred, []
        for life, call, args in deferred:
            self.gate(life, call, *args)

    def end(self):
        """The process is gone."""
        self.alive = self.paused = False
        self.life += 1
        self.deferred = []

    def begin(self):
        self.alive = True
        self.silent = False


def raise_fault(event, **fields):
    """A stand-in's own fault ends the run: a lab that goes on wrongly proves nothing."""
    raise AssertionError(f"{event} in a stand-in: {fields}")
