"""The own zone's quota of limits over the whole fleet. Free of I/O.

Limits are escrowed (O'Neil, "The Escrow Transactional Method", 1986): a quota for each
zone, by the layout that the operator's file states, so that no other zone's view is
needed to keep to the whole. docs/design/zones.md has the proof.
"""

from wheathill.peers.zones.rendezvous import rendezvous_fraction
from wheathill.peers.zones.zone_directory import ZoneDirectory


class ZoneQuota:
    """What the own zone may take of each limit, also while layouts are replaced."""

    def __init__(self, directory: ZoneDirectory) -> None:
        self._directory = directory
        # Whether some proxy holds a layout two versions later than this one's.
        self._is_superseded = False

    def record_layout_version(self, version: int) -> None:
        """Take in which version of the layout a proxy of any zone holds."""
        own_version = self._directory.layout.version
        self._is_superseded = self._is_superseded or version > own_version + 1

    def quota(self) -> float:
        """Return the own zone's quota of every limit over all, between 0 and 1.

        It grows only once all zones whose quotas shrink are through with this layout.
        """
        layout, own = self._directory.layout, self._directory.own_zone
        if self._is_outdated():
            return 0.0
        adopted = self._directory.adopted_layout_version
        shrinking = [zone for zone in layout.zones if zone.quota < zone.previous_quota]
        if all(adopted(zone.name) >= layout.version for zone in shrinking):
            return own.quota
        return min(own.quota, own.previous_quota)

    def _is_outdated(self) -> bool:
        """Tell whether other proxies go by layouts that this one's file is behind."""
        layout, adopted = self._directory.layout, self._directory.adopted_layout_version
        return (
            self._is_superseded
            or adopted(self._directory.own_zone.name) > layout.version
            or any(adopted(zone.name) > layout.version + 1 for zone in layout.zones)
        )

    def round_permits(self, server: str, attempts: float) -> int:
        """Return how many of the own zone's proxies may try a warming server.

        `attempts` are the zone's. A part of an attempt is rounded by a hash of the
        server, so that those of all zones add up to no more than the whole, rounded up.
        """
        quota = self._directory.own_zone.quota
        if quota <= 0.0:
            return 0
        before = self._quota_of_zones_before()
        shift = rendezvous_fraction("rights", server)
        whole = attempts / quota
        return int(whole * (before + quota) + shift) - int(whole * before + shift)

    def _quota_of_zones_before(self) -> float:
        """Return the sum of the quotas of the zones before the own in the layout."""
        before = 0.0
        for zone in self._directory.layout.zones:
            if zone is self._directory.own_zone:
                break
            before += zone.quota
        return before
