"""The status of a peer service: the report for operators and the logged metrics."""

from dataclasses import dataclass
from typing import Any

from wheathill.config.peers import PeerSettings
from wheathill.peers.cluster_view import ClusterView, ViewState
from wheathill.peers.environment import Clock
from wheathill.peers.fleet_limits import FleetLimits
from wheathill.peers.health_exchange import HealthExchange
from wheathill.peers.membership import Member, Membership, MemberState
from wheathill.peers.server_updates import ServerUpdates
from wheathill.peers.transport import PeerTransport

# Smaller quotas are shown with two significant digits, others with three decimals.
SMALL_QUOTA = 0.01


@dataclass(frozen=True, slots=True)
class StatusSources:
    """The components of a peer service that provide its status."""

    settings: PeerSettings
    clock: Clock
    membership: Membership
    view: ClusterView
    limits: FleetLimits
    server_updates: ServerUpdates
    health: HealthExchange
    transport: PeerTransport


class StatusReporter:
    """Collects the status of a peer service from its components."""

    def __init__(self, sources: StatusSources) -> None:
        self._sources = sources

    def report(self) -> dict[str, Any]:
        """Return the status for operators; its keys are part of the interface."""
        sources, now_ms = self._sources, self._sources.clock.now()
        view, membership = sources.view, sources.membership
        return {
            "name": sources.settings.name,
            "cluster": sources.settings.cluster,
            "state": view.state.value,
            "since_s": _seconds(now_ms - view.state_since_ms),
            "digest": membership.digest(),
            "alone": membership.is_isolated,
            "fleet": view.max_active_proxies(now_ms),
            "share": round(sources.limits.quota(now_ms), 6),
            "members": [
                self._member_row(now_ms, membership.members[name])
                for name in sorted(membership.members)
            ],
            "differs": self.deviations(now_ms),
            "links": sources.transport.metrics.as_dict(),
        }

    def metrics(self) -> dict[str, Any]:
        """Return the metrics that are logged periodically."""
        sources, now_ms = self._sources, self._sources.clock.now()
        return {
            "state": sources.view.state.value,
            "reached": len(sources.view.reachable_names()),
            "fleet": sources.view.max_active_proxies(now_ms),
            "share": round(sources.limits.quota(now_ms), 6),
            **sources.transport.metrics.as_dict(),
        }

    def deviations(self, now_ms: float) -> list[str]:
        """Describe how this proxy's behavior differs because of its peers."""
        sources = self._sources
        deviations = []
        if sources.view.state == ViewState.PARTITIONED:
            deviations.append(
                "is cut off: serves with what it has, tells and takes no evidence of "
                "servers"
            )
        if not sources.limits.has_expected_fleet_size(now_ms):
            quota = _format_quota(sources.limits.quota(now_ms))
            expected = _format_quota(sources.limits.expected_quota())
            deviations.append(
                f"takes {quota} of what all may do, {expected} by its file"
            )
        drained = sources.server_updates.drained_by_peers()
        if drained:
            deviations.append(
                f"sends nothing new to {', '.join(drained)}: "
                "a peer was told that they drain"
            )
        verdict = sources.health.verdict
        if verdict.failing_for_all:
            names = ", ".join(verdict.failing_for_all)
            deviations.append(
                f"tries with one session at a time {names}: they fail for others"
            )
        if verdict.failing_locally_only:
            names = ", ".join(verdict.failing_locally_only)
            deviations.append(f"takes for its own way's fault that {names} fail here")
        return deviations

    def _member_row(self, now_ms: float, member: Member) -> dict[str, Any]:
        is_self = member is self._sources.membership.local
        is_suspect = member.state == MemberState.SUSPECT
        has_left = member.state == MemberState.LEFT
        return {
            "name": member.name,
            "address": member.address,
            "state": member.state.value,
            "since_s": _seconds(now_ms - member.state_since_ms),
            "heard_s": None if is_self else _seconds(now_ms - member.last_seen_ms),
            "accused_by": list(member.suspected_by) if is_suspect else [],
            "surely_gone": member.is_death_confirmed or has_left,
            "agrees": is_self or self._has_same_view(member.name),
        }

    def _has_same_view(self, name: str) -> bool:
        view = self._sources.view
        known = view.members.get(name)
        return known is not None and known.digest == view.digest()


def _seconds(milliseconds: float) -> float:
    return round(milliseconds / 1000, 1)


def _format_quota(quota: float) -> str:
    return f"{quota:.3f}" if quota >= SMALL_QUOTA else f"{quota:.2g}"
