"""This proxy's quota of fleet-wide limits, and its permits, in a fleet of zones."""

from collections.abc import Callable

from wheathill.peers.cluster_view import ClusterView
from wheathill.peers.fleet_limits import FleetLimits
from wheathill.peers.zones.zone_directory import ZoneDirectory
from wheathill.peers.zones.zone_quota import ZoneQuota


class ZonedLimits(FleetLimits):
    """Quota and permits of one proxy, as fractions of its zone's quota."""

    def __init__(
        self,
        view: ClusterView,
        expected_proxies: int,
        capacity_estimate: Callable[[], float],
        directory: ZoneDirectory,
        zone_quota: ZoneQuota,
    ) -> None:
        super().__init__(view, expected_proxies, capacity_estimate)
        self._directory = directory
        self._zone_quota = zone_quota

    def quota(self, now_ms: float) -> float:
        """Return this proxy's fraction of a fleet-wide limit, between 0 and 1."""
        return self._zone_quota.quota() * super().quota(now_ms)

    def expected_quota(self) -> float:
        """Return the quota that follows from the configuration alone."""
        return self._directory.own_zone.quota / self._expected_proxies

    def permit(self, server: str, attempts_per_capacity: float) -> float:
        """Return how many attempts per window may go to a warming server.

        See `ClusterView.permit`.
        """
        if not self._zone_quota.quota():
            return 0.0
        capacity = self._capacity_estimate()
        return self._view.permit(
            server, capacity, attempts_per_capacity, self._zone_quota.permit_count
        )
