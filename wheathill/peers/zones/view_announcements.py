"""Schedule for announcing a changed view to the leaders of the own zone."""

from wheathill.peers.cluster_view import ClusterView

# Maximum time between two announcements of the same view, in probe intervals.
MAX_REPEAT_INTERVALS = 32.0


class ViewAnnouncements:
    """Announces a changed view at once, and then repeatedly until it is confirmed.

    The time between two announcements doubles, up to a maximum.
    """

    def __init__(self, probe_interval_ms: float) -> None:
        self._interval_ms = probe_interval_ms
        # The digest and whether this proxy is established, as last announced.
        self._announced: tuple[str, bool] | None = None
        self._next_announcement_ms = 0.0
        self._repeat_interval_ms = probe_interval_ms

    def is_due(self, now_ms: float, view: ClusterView) -> bool:
        """Return whether to announce the view now; if so, it counts as announced."""
        current = view.digest(), view.is_established
        if current != self._announced:
            self._announced = current
            self._next_announcement_ms, self._repeat_interval_ms = (
                now_ms,
                self._interval_ms,
            )
        elif view.confirmed_digest == view.digest():
            return False
        if now_ms < self._next_announcement_ms:
            return False
        self._next_announcement_ms = now_ms + self._repeat_interval_ms
        self._repeat_interval_ms = min(
            2 * self._repeat_interval_ms, MAX_REPEAT_INTERVALS * self._interval_ms
        )
        return True
