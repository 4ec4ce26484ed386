"""All zones of the fleet, as their summaries have them. Free of I/O.

All of it grows with the number of zones only.
"""

from collections.abc import Iterable

from wheathill.config.peers import ZoneLayout
from wheathill.peers.cluster_view import ViewState
from wheathill.peers.replicated_table import ReplicatedTable
from wheathill.peers.zones.zone_summary import ZoneSummary


class ZoneDirectory:
    """The zones, the own one's name being `own_zone`, and what follows for the fleet.

    Attributes:
        layout: of the operator's file.
        own: the own zone's settings.
        others: the other zones' settings by name, in the order of the layout.
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
        """Return the last summary of a zone, or None if there is none yet."""
        record = self._table.summary(zone)
        if record is None:
            return None
        assert isinstance(record.value, ZoneSummary)
        return record.value

    def addresses(self, zone: str) -> list[str]:
        """Return addresses in another zone: its last leaders, then its seeds."""
        summary = self.summary(zone)
        leaders = () if summary is None else summary.leaders
        found = [leader.address for leader in leaders]
        return list(dict.fromkeys([*found, *self.other_zones[zone].seeds]))

    def adopted_layout_version(self, zone: str) -> int:
        """Return the version of the layout that a zone is through with, 0 if unknown.

        All proxies that may be active there have held it. It never falls: a proxy that
        starts with an earlier one later on takes no quota.
        """
        summary = self.summary(zone)
        return 0 if summary is None else summary.layout_version

    def unreachable_zones(self) -> tuple[str, ...]:
        """Return the zones that the own zone's leaders don't reach.

        These are none while the leaders have stated nothing yet.
        """
        summary = self.summary(self.own_zone.name)
        return () if summary is None else summary.unreachable_zones

    # States; those of other zones, given that of the own

    def own_state(self, view_state: ViewState) -> ViewState:
        """Return the own zone's state; one of a single member has converged."""
        if view_state == ViewState.STANDALONE and self.own_zone.proxies <= 1:
            return ViewState.CONVERGED
        return view_state

    def state(self, zone: str, own_state: ViewState) -> ViewState:
        """Return the state of one zone as far as it is known here."""
        if zone == self.own_zone.name:
            return own_state
        if zone in self.unreachable_zones():
            return ViewState.DIVERGED
        summary = self.summary(zone)
        return ViewState.DIVERGED if summary is None else summary.state

    def region_state(self, own_state: ViewState) -> ViewState:
        """Return the state of the own region.

        It is partitioned where no zone of any other region can be reached.
        """
        region = self.own_zone.region
        elsewhere = [
            zone for zone in self.other_zones.values() if zone.region != region
        ]
        nearby = [zone for zone in self.other_zones.values() if zone.region == region]
        unreachable = self.unreachable_zones()
        if elsewhere and all(zone.name in unreachable for zone in elsewhere):
            return ViewState.PARTITIONED
        states = [self.state(zone.name, own_state) for zone in nearby]
        return _combine([own_state, *states])

    def fleet_state(self, own_state: ViewState) -> ViewState:
        """Return the state of the whole fleet."""
        return _combine(self.state(zone.name, own_state) for zone in self.layout.zones)

    def max_active_proxies(self, own_zone_count: int) -> int:
        """Return the largest number of proxies that may be active in the fleet.

        `own_zone_count`: in the own zone. A zone without a summary counts as its layout
        says.
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
