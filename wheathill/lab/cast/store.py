"""Simulated session store that gateways call whenever they set up a session.

It serves a limited number of calls at a time, has a bounded queue and can be slowed down.
"""

from collections import deque


class Store:
    """Session store with limited concurrency and a bounded queue.

    Attributes:
        at_once: the calls that are served concurrently.
        call_ms: the mean duration of a call.
        queue: the most calls that may wait.
        slowdown: factor on the duration of calls, 1 for normal speed.
        busy: the calls that are being served.
        waiting: callbacks of the calls in the queue.
    """

    def __init__(self, clock, chance, record, *, at_once, call_ms, queue):
        self.clock = clock
        self.expovariate = chance.expovariate
        self.record = record
        self.at_once = at_once
        self.call_ms = call_ms
        self.queue = queue
        self.slowdown = 1.0
        self.busy = 0
        self.waiting = deque()

    def call(self, on_result):
        """Call `on_result` with whether the call succeeded.

        If the queue is full, the call fails at once.
        """
        if self.busy < self.at_once:
            self._serve(on_result)
        elif len(self.waiting) < self.queue:
            self.waiting.append(on_result)
        else:
            self.record.counts["store full"] += 1
            self.clock.soon(on_result, False)

    def _serve(self, on_result):
        self.busy += 1
        self.record.counts["store calls"] += 1
        duration_ms = self.call_ms * self.slowdown * (0.5 + 0.5 * self.expovariate(1.0))
        self.clock.after(duration_ms, self._complete, on_result)

    def _complete(self, on_result):
        self.busy -= 1
        if self.waiting:
            self._serve(self.waiting.popleft())
        on_result(True)
