"""The own zone's quota of fleet-wide limits. Free of I/O.

Limits are escrowed (O'Neil, "The Escrow Transactional Method", 1986): the layout in the
configuration file assigns a quota to each zone, so that the limit holds without any
knowledge of other zones' views. docs/design/zones.md has the proof.
"""

from wheathill.peers.zones.rendezvous import rendezvous_fraction
from wheathill.peers.zones.zone_directory import ZoneDirectory


class ZoneQuota:
    """The quota of the own zone, including the transition between two layouts."""

    def __init__(self, directory: ZoneDirectory) -> None:
        self._directory = directory
        # Whether some proxy has a layout at least two versions later than this proxy's.
        self._is_superseded = False

    def record_layout_version(self, version: int) -> None:
        """Record the version of the layout that a proxy of any zone has."""
        own_version = self._directory.layout.version
        self._is_superseded = self._is_superseded or version > own_version + 1

    def quota(self) -> float:
        """Return the own zone's fraction of every fleet-wide limit, between 0 and 1.

        It grows only once all zones whose quotas shrink have adopted this layout.
        """
        layout, own_zone = self._directory.layout, self._directory.own_zone
        if self._is_outdated():
            return 0.0
        adopted = self._directory.adopted_layout_version
        shrinking = [zone for zone in layout.zones if zone.quota < zone.previous_quota]
        if all(adopted(zone.name) >= layout.version for zone in shrinking):
            return own_zone.quota
        return min(own_zone.quota, own_zone.previous_quota)

    def _is_outdated(self) -> bool:
        """Return whether this proxy's layout is too old to take a quota.

        Other zones may be one version ahead, the own zone may not.
        """
        layout, adopted = self._directory.layout, self._directory.adopted_layout_version
        return (
            self._is_superseded
            or adopted(self._directory.own_zone.name) > layout.version
            or any(adopted(zone.name) > layout.version + 1 for zone in layout.zones)
        )

    def permit_count(self, server: str, attempts: float) -> int:
        """Return how many of the own zone's proxies get a permit for a warming server.

        `attempts` is the number of attempts of the own zone. Fractions of an attempt
        are rounded with an offset that is a hash of the server, so that the permits of
        all zones sum to at most the number of attempts of the fleet, rounded up.
        """
        quota = self._directory.own_zone.quota
        if quota <= 0.0:
            return 0
        preceding_quota = self._sum_of_preceding_quotas()
        offset = rendezvous_fraction("rights", server)
        fleet_attempts = attempts / quota
        return int(fleet_attempts * (preceding_quota + quota) + offset) - int(
            fleet_attempts * preceding_quota + offset
        )

    def _sum_of_preceding_quotas(self) -> float:
        """Return the sum of the quotas of the zones that precede the own one."""
        preceding_quota = 0.0
        for zone in self._directory.layout.zones:
            if zone is self._directory.own_zone:
                break
            preceding_quota += zone.quota
        return preceding_quota
