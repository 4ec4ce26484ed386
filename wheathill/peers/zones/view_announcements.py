"""When a changed view is reported to the leaders of the own zone."""

from wheathill.peers.cluster_view import ClusterView

# Probe intervals, at the most, between two reports of one view.
MAX_REPEAT_INTERVALS = 32.0


class ViewAnnouncements:
    """Reports a changed view at once, then ever more seldom until it is confirmed."""

    def __init__(self, probe_interval_ms: float) -> None:
        self._interval_ms = probe_interval_ms
        # The digest, and whether this proxy is established, as last reported.
        self._announced: tuple[str, bool] | None = None
        self._next_ms = 0.0
        self._wait_ms = probe_interval_ms

    def is_due(self, now_ms: float, view: ClusterView) -> bool:
        """Tell whether to report the view now, and count it as reported."""
        current = view.digest(), view.is_established
        if current != self._announced:
            self._announced = current
            self._next_ms, self._wait_ms = now_ms, self._interval_ms
        elif view.confirmed_digest == view.digest():
            return False
        if now_ms < self._next_ms:
            return False
        self._next_ms = now_ms + self._wait_ms
        self._wait_ms = min(2 * self._wait_ms, MAX_REPEAT_INTERVALS * self._interval_ms)
        return True
