"""This proxy's quota of fleet-wide limits, and its permits for warming servers."""

from collections.abc import Callable

from wheathill.peers.cluster_view import ClusterView


class FleetLimits:
    """Quota and permits of one proxy in a fleet without zones.

    `expected_proxies` is the number of proxies that the configuration expects.
    `capacity_estimate()` returns this proxy's estimate of how many of its connections
    a warm server can handle.
    """

    def __init__(
        self,
        view: ClusterView,
        expected_proxies: int,
        capacity_estimate: Callable[[], float],
    ) -> None:
        self._view = view
        self._expected_proxies = expected_proxies
        self._capacity_estimate = capacity_estimate

    def quota(self, now_ms: float) -> float:
        """Return this proxy's fraction of a fleet-wide limit, between 0 and 1."""
        return self._view.quota(now_ms)

    def expected_quota(self) -> float:
        """Return the quota that follows from the configuration alone."""
        return 1 / self._expected_proxies

    def has_expected_fleet_size(self, now_ms: float) -> bool:
        """Return whether as many proxies may be active as the configuration expects."""
        return self._view.max_active_proxies(now_ms) == self._expected_proxies

    def permit(self, server: str, attempts_per_capacity: float) -> float:
        """Return how many attempts per window may go to a warming server.

        See `ClusterView.permit`.
        """
        capacity = self._capacity_estimate()
        return self._view.permit(server, capacity, attempts_per_capacity)
