"""The session store that every set-up calls: a few calls at a time, a queue with a bound, and slow spells."""

from collections import deque


class Store:
    def __init__(self, clock, chance, record, *, at_once, call_ms, queue):
        self.clock = clock
        self.expovariate = chance.expovariate
        self.record = record
        self.at_once = at_once
        self.call_ms = call_ms
        self.queue = queue
        self.slower = 1.0
        self.busy = 0
        self.waiting = deque()

    def call(self, done):
        """`done` is called with whether it went well; when it is full, at once with False."""
        if self.busy < self.at_once:
            self.serve(done)
        elif len(self.waiting) < self.queue:
            self.waiting.append(done)
        else:
            self.record.counts["store full"] += 1
            self.clock.soon(done, False)

    def serve(self, done):
        self.busy += 1
        self.record.counts["store calls"] += 1
        work = self.call_ms * self.slower * (0.5 + 0.5 * self.expovariate(1.0))
        self.clock.after(work, self.served, done)

    def served(self, done):
        self.busy -= 1
        if self.waiting:
            self.serve(self.waiting.popleft())
        done(True)
