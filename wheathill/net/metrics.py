"""Counts since the start: each event once, where it happens.

The log and the admin endpoint show the same counts.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from wheathill.model import Listener

# How a session can end for its client: brought up, refused or failed.
RESULTS = ("completed", "rejected", "failed")


class ProxyMetrics:
    """Counts of one proxy.

    Attributes:
        counts: by event. The names of the events are keys of the log.
        results: the number of sessions by the listener's name and the result.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.results: dict[str, dict[str, int]] = {}

    def add_listeners(self, names: Iterable[str]) -> None:
        """Show these listeners from now on, from 0 where they are new.

        One that the settings no longer name keeps its counts.
        """
        for name in names:
            self.results.setdefault(name, dict.fromkeys(RESULTS, 0))

    def count(self, event: str) -> None:
        """Count an event."""
        self.counts[event] += 1

    def count_result(self, listener: Listener, result: str) -> None:
        """Count a session that was brought up, refused or has failed."""
        self.results[listener.name][result] += 1

    def for_log(self) -> dict[str, Any]:
        """Return all counts, as the log has them."""
        return {**self.counts, "sessions": self.results}

    def for_operators(self) -> dict[str, Any]:
        """Return the counts that the admin endpoint shows."""
        return {
            "downstream_requests": self.results,
            "upstream_requests": self.counts["dials sent"],
        }
