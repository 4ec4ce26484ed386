"""Counts since the start: each event once, where it happens; log and operators' door tell the same."""

from collections import Counter

RESULTS = ("completed", "rejected", "failed")


class Figures:
    def __init__(self):
        self.counts = Counter()  # by event
        self.results = {}  # listener's name -> {result: sessions}

    def know(self, names):
        """Each stands there from the start; one that the settings no longer name keeps its counts."""
        for name in names:
            self.results.setdefault(name, dict.fromkeys(RESULTS, 0))

    def count(self, what):
        self.counts[what] += 1

    def ended(self, listener, result):
        """A session was brought up, refused or has failed."""
        self.results[listener.name][result] += 1

    def since_start(self):
        return {**self.counts, "sessions": self.results}

    def told(self):
        return {
            "downstream_requests": self.results,
            "upstream_requests": self.counts["dials sent"],
        }
