"""Simulated time: nothing here reads the machine's clock."""

from heapq import heappop, heappush

EPOCH = 1_700_000_000_000.0  # wall clock at the start, Unix time in ms: starts of servers are told by it


class Alarm(list):
    """[when, number, call, args]: compared as it stands in the heap, with no object beside it."""

    __slots__ = ()

    def cancel(self):
        self[2] = None


class VirtualClock:
    """Milliseconds since the start; alarms ring in order of time, those of one time in order of setting."""

    def __init__(self):
        self.time = 0.0
        self.alarms = []
        self.set = 0
        self.rung = 0

    def now(self):
        return self.time

    def from_wall(self, wall):
        return wall - EPOCH

    def to_wall(self, when):
        return when + EPOCH

    def at(self, when, call, *args):
        return self.put(when, call, args)

    def after(self, wait, call, *args):
        return self.put(self.time + wait, call, args)

    def soon(self, call, *args):
        return self.put(self.time, call, args)

    def put(self, when, call, args):
        self.set = number = self.set + 1
        alarm = Alarm((when if when > self.time else self.time, number, call, args))
        heappush(self.alarms, alarm)
        return alarm

    def run(self, until):
        alarms = self.alarms
        while alarms and alarms[0][0] <= until:
            self.time, _, call, args = heappop(alarms)
            if call is not None:
                self.rung += 1
                call(*args)
        self.time = until
