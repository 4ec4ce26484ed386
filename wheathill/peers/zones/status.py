"""The status that a proxy of a fleet of zones reports to operators."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wheathill.config.peers import ZoneSettings
from wheathill.peers.cluster_view import ViewState
from wheathill.peers.replicated_table import ReplicatedTable
from wheathill.peers.status import StatusReporter, StatusSources
from wheathill.peers.zones.zone_directory import ZoneDirectory
from wheathill.peers.zones.zone_quota import ZoneQuota
from wheathill.peers.zones.zone_summary import ZoneSummary


@dataclass(frozen=True, slots=True)
class ZoneStatusSources:
    """The components that provide the status of zones.

    `zone_state()` returns the state of the own zone.
    """

    directory: ZoneDirectory
    quota: ZoneQuota
    table: ReplicatedTable[ZoneSummary]
    zone_state: Callable[[], ViewState]


class ZonedStatus(StatusReporter):
    """Collects the status of a peer service, including the status of all zones."""

    def __init__(self, sources: StatusSources, zone_sources: ZoneStatusSources) -> None:
        super().__init__(sources)
        self._zone_sources = zone_sources

    def report(self) -> dict[str, Any]:
        """Return the status for operators; its keys are part of the interface."""
        directory = self._zone_sources.directory
        own_state = self._zone_sources.zone_state()
        now_ms = self._sources.clock.now()
        own_zone_count = self._sources.view.max_active_proxies(now_ms)
        return {
            **super().report(),
            "zone": directory.own_zone.name,
            "region": directory.own_zone.region,
            "layout": directory.layout.version,
            "part": round(self._zone_sources.quota.quota(), 6),
            "fleet_at_work": directory.max_active_proxies(own_zone_count),
            "region_state": directory.region_state(own_state).value,
            "fleet_state": directory.fleet_state(own_state).value,
            "zones": [self._zone_row(zone) for zone in directory.layout.zones],
            "board": len(self._zone_sources.table.records),
        }

    def _zone_row(self, zone: ZoneSettings) -> dict[str, Any]:
        directory = self._zone_sources.directory
        state = directory.state(zone.name, self._zone_sources.zone_state())
        return {
            "name": zone.name,
            "region": zone.region,
            "meant": zone.proxies,
            "part": round(zone.quota, 6),
            "state": state.value,
            **_summary_row(directory.summary(zone.name)),
        }

    def deviations(self, now_ms: float) -> list[str]:
        """Describe how this proxy's behavior differs because of its peers."""
        deviations = super().deviations(now_ms)
        directory, quota = self._zone_sources.directory, self._zone_sources.quota
        own_zone = directory.own_zone
        if quota.quota() < own_zone.quota:
            adopted_version = directory.adopted_layout_version(own_zone.name)
            deviations.append(
                f"takes {quota.quota():.3g} for its zone's part, "
                f"{own_zone.quota:.3g} by its layout: not all zones hold version "
                f"{directory.layout.version} (its own: {adopted_version})"
            )
        return deviations


def _summary_row(summary: ZoneSummary | None) -> dict[str, Any]:
    """Return the fields of a zone's summary; None or empty without a summary."""
    if summary is None:
        return {
            "at_work": None,
            "reached": None,
            "layout": None,
            "out_of_reach": [],
            "delegates": [],
        }
    return {
        "at_work": summary.max_active_proxies,
        "reached": summary.reachable_proxies,
        "layout": summary.layout_version,
        "out_of_reach": list(summary.unreachable_zones),
        "delegates": [leader.name for leader in summary.leaders],
    }
