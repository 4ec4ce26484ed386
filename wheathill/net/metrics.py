"""Counters since process start, incremented where an event happens.

The log and the admin endpoint show the same counters.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from wheathill.model import Listener

# Final results of a session as its client sees them: established, rejected or failed.
RESULTS = ("completed", "rejected", "failed")


class ProxyMetrics:
    """Counters of one proxy.

    Attributes:
        counts: event counters by name; the names are keys in the log.
        results: the number of sessions by listener name and result.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.results: dict[str, dict[str, int]] = {}

    def add_listeners(self, names: Iterable[str]) -> None:
        """Add listeners to the metrics; new ones start at 0.

        Listeners removed from the configuration keep their counters.
        """
        for name in names:
            self.results.setdefault(name, dict.fromkeys(RESULTS, 0))

    def count(self, event: str) -> None:
        """Increment the counter of an event."""
        self.counts[event] += 1

    def count_result(self, listener: Listener, result: str) -> None:
        """Count the result of a session, one of `RESULTS`."""
        self.results[listener.name][result] += 1

    def log_fields(self) -> dict[str, Any]:
        """Return all counters in the form that is logged."""
        return {**self.counts, "sessions": self.results}

    def admin_fields(self) -> dict[str, Any]:
        """Return the counters that the admin endpoint shows."""
        return {
            "downstream_requests": self.results,
            "upstream_requests": self.counts["dials sent"],
        }
