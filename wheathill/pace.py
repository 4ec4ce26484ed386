"""How fast servers of one kind work, where nothing is reported: figures for the decisions.

What a set-up takes beyond the way there is work at the server, and hardly grows with load below the full one
(docs/design/unreported.md). One says little, so those of all servers of a kind count together, each
in ratio to the mean over all kinds, and a few that say "like the mean" stand beside them.
"""

import math
from collections import deque
from statistics import fmean


class Pace:
    JITTER = 5.0        # ms: set-ups that cost the server nothing differ by so much
    MOST = 4.0          # times the mean: one heavy set-up is not a slow machine
    STEPS = 3           # to a factor of two: tables that differ for little would split groups among proxies

    def __init__(self, doubt, kept, age):
        self.doubt, self.kept, self.age = doubt, kept, age
        self.least = {}     # zone -> the shortest that a set-up there ever took: the way
        self.took = {}      # kind -> the last few (when, zone, ms)

    def set_up(self, now, server, ms):
        self.least[server.zone] = min(ms, self.least.get(server.zone, ms))
        self.took.setdefault(server.kind, deque(maxlen=self.kept)).append((now, server.zone, ms))

    def factors(self, now):
        """Of kinds, against the mean of all: 2 works twice as fast."""
        worked = {kind: [ms - self.least[zone] for when, zone, ms in took
                         if when > now - self.age and ms - self.least[zone] > self.JITTER]
                  for kind, took in self.took.items()}
        every = [ms for spent in worked.values() for ms in spent]
        mean = fmean(every) if every else 1.0
        return {kind: self.step((self.doubt + sum(min(self.MOST, ms / mean) for ms in spent))
                                / (self.doubt + len(spent))) for kind, spent in worked.items()}

    def step(self, slower):
        return 2.0 ** (round(-self.STEPS * math.log2(slower)) / self.STEPS)
