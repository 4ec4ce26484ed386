"""Passive health checking: servers whose attempts and probes fail."""

from collections import deque
from itertools import chain


class OutlierDetector:
    """Who answers, judged by the last few dials and probes of this proxy alone."""

    def __init__(self, pause, stood, memory, shared_memory):
        self.pause, self.stood = pause, stood
        self.dials = deque(maxlen=16)
        self.shared_memory, self.memory = shared_memory, memory

    def dialled(self, now, server, well):
        self.dials.append((now, server, well))
        server.recent_results.append((now, well))

    def broke(self, now, server, accepted):
        """A session was reset that had been set up. If its set-up is among the last few, that is what failed, and
        no other one: all sessions of a server that dies are reset at once, and are one server's trouble."""
        server.recent_results.append((now, False))
        if (accepted, server, True) in self.dials:
            self.dials[self.dials.index((accepted, server, True))] = (
                accepted,
                server,
                False,
            )

    def silent(self, server):
        return server.unanswered_probes >= 2

    def failing(self, now, server):
        """No fixed time stands for its return: one session at a time tries it, and until that one has stood
        a while nothing else goes there; each failure among the last few doubles the wait for the next try."""
        recent = [
            (when, well)
            for when, well in server.recent_results
            if when > now - self.memory
        ]
        bad = [when for when, well in recent if not well]
        if len(bad) < 2 or 3 * len(bad) < len(recent):
            return False
        tries = [when for when, well in recent if well and when > bad[-1]]
        if tries:
            return now - tries[0] < self.stood
        trial = (
            server.attempt_times_ms
            and bad[-1] < server.attempt_times_ms[-1] > now - self.pause * 2
        )
        # What breaks together failed once.
        failed = 1 + sum(
            later - earlier > self.pause for earlier, later in zip(bad, bad[1:])
        )
        return trial or now - bad[-1] < self.pause * 2 ** (failed + 1)

    def shared_trouble(self, now):
        """Set-ups fail at many servers at once: what they all depend on is swamped, and dialling on
        would swamp it more."""
        met = {}
        for when, server, well in self.dials:
            if when > now - self.shared_memory:
                met.setdefault(server, []).append(well)
        # By servers too, not by dials alone: a few that fail by turns take many dials, with no common cause.
        # Two are enough: one proxy among hundreds sees hardly more before its clients give up.
        bad = sum(2 * sum(well) <= len(well) for well in met.values())
        dials = list(chain.from_iterable(met.values()))
        return bad >= 2 and 2 * bad >= len(met) and 2 * sum(dials) <= len(dials)

    def ill(self, now, server):
        return self.silent(server) or self.failing(now, server)
