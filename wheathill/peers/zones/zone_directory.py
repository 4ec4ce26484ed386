"""The zones of the fleet, according to the layout and their summaries. Free of I/O.

Memory and time grow with the number of zones, not with the number of proxies.
"""

from collections.abc import Iterable

from wheathill.config.peers import ZoneLayout
from wheathill.peers.cluster_view import ViewState
from wheathill.peers.replicated_table import ReplicatedTable
from wheathill.peers.zones.zone_summary import ZoneSummary


class ZoneDirectory:
    """The zones, and the states of zones, region and fleet that follow from them.

    Attributes:
        layout: the layout in the configuration file.
        own_zone: the settings of the own zone.
        other_zones: the settings of the other zones by name, in the order of the
            layout.
    """

    def __init__(
        self,
        layout: ZoneLayout,
        own_zone_name: str,
        table: ReplicatedTable[ZoneSummary],
    ) -> None:
        self.layout = layout
        self.own_zone = layout.zone(own_zone_name)
        self.other_zones = {
            zone.name: zone for zone in layout.zones if zone is not self.own_zone
        }
        self._table = table

    def summary(self, zone: str) -> ZoneSummary | None:
        """Return the latest summary of a zone, or None if there is none yet."""
        record = self._table.summary(zone)
        if record is None:
            return None
        assert isinstance(record.value, ZoneSummary)
        return record.value

    def addresses(self, zone: str) -> list[str]:
        """Return addresses in another zone: its last known leaders, then its seeds."""
        summary = self.summary(zone)
        leaders = () if summary is None else summary.leaders
        leader_addresses = [leader.address for leader in leaders]
        return list(dict.fromkeys([*leader_addresses, *self.other_zones[zone].seeds]))

    def adopted_layout_version(self, zone: str) -> int:
        """Return the version of the layout that a zone has adopted, 0 if unknown.

        All proxies that may be active in the zone have had this version. It never
        decreases: a proxy that later starts with an earlier version takes no quota.
        """
        summary = self.summary(zone)
        return 0 if summary is None else summary.layout_version

    def unreachable_zones(self) -> tuple[str, ...]:
        """Return the zones that the own zone's leaders can't reach.

        Returns an empty tuple while the own zone has no summary.
        """
        summary = self.summary(self.own_zone.name)
        return () if summary is None else summary.unreachable_zones

    # States. Those of other zones and of the fleet depend on the state of the own zone.

    def own_state(self, view_state: ViewState) -> ViewState:
        """Return the state of the own zone, given the state of its view.

        A standalone proxy counts as converged if its zone has no other proxies.
        """
        if view_state == ViewState.STANDALONE and self.own_zone.proxies <= 1:
            return ViewState.CONVERGED
        return view_state

    def state(self, zone: str, own_state: ViewState) -> ViewState:
        """Return the state of a zone as known to this proxy."""
        if zone == self.own_zone.name:
            return own_state
        if zone in self.unreachable_zones():
            return ViewState.DIVERGED
        summary = self.summary(zone)
        return ViewState.DIVERGED if summary is None else summary.state

    def region_state(self, own_state: ViewState) -> ViewState:
        """Return the state of the own region.

        The region is partitioned if no zone of any other region is reachable.
        """
        region = self.own_zone.region
        in_other_regions = [
            zone for zone in self.other_zones.values() if zone.region != region
        ]
        in_own_region = [
            zone for zone in self.other_zones.values() if zone.region == region
        ]
        unreachable = self.unreachable_zones()
        if in_other_regions and all(
            zone.name in unreachable for zone in in_other_regions
        ):
            return ViewState.PARTITIONED
        states = [self.state(zone.name, own_state) for zone in in_own_region]
        return _combine([own_state, *states])

    def fleet_state(self, own_state: ViewState) -> ViewState:
        """Return the state of the whole fleet."""
        return _combine(self.state(zone.name, own_state) for zone in self.layout.zones)

    def max_active_proxies(self, own_zone_count: int) -> int:
        """Return the maximum number of proxies that may be active in the fleet.

        `own_zone_count` is the number in the own zone. A zone without a summary counts
        with the number in the layout.
        """
        total = own_zone_count
        for name, zone in self.other_zones.items():
            summary = self.summary(name)
            total += zone.proxies if summary is None else summary.max_active_proxies
        return total


def _combine(states: Iterable[ViewState]) -> ViewState:
    if all(state == ViewState.CONVERGED for state in states):
        return ViewState.CONVERGED
    return ViewState.DIVERGED
