"""Exchanges server health with other proxies, and applies the resulting verdict."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from wheathill.log_events import LogEvent
from wheathill.model import Server
from wheathill.peers.environment import ServedProxy
from wheathill.peers.messages import HealthEvidence
from wheathill.peers.peer_health_reports import (
    HealthObservation,
    HealthReport,
    HealthVerdict,
    PeerHealthReports,
    ServerHealth,
)

# Older observations are not used as evidence.
FRESHNESS_MS = 3000.0
# Consecutive probes without an answer after which a server counts as failing.
FAILING_AFTER_UNANSWERED_PROBES = 2


@dataclass(frozen=True, slots=True)
class EvidenceLimits:
    """Bounds of the health evidence sent, independent of the number of members.

    Attributes:
        recipients_per_interval: members that get evidence in each probe interval.
        servers_per_message: servers reported in one message.
    """

    recipients_per_interval: int
    servers_per_message: int


class HealthExchange:
    """Reports this proxy's server observations, and evaluates those of other proxies.

    `max_servers` bounds the servers reported in one message.

    Attributes:
        verdict: the result of the last evaluation.
    """

    def __init__(
        self, proxy: ServedProxy, log_event: Callable[..., None], max_servers: int
    ) -> None:
        self._proxy = proxy
        self._log_event = log_event
        self._max_servers = max_servers
        self._reports = PeerHealthReports(FRESHNESS_MS)
        self.verdict = HealthVerdict()

    def observe(self, now_ms: float) -> dict[str, HealthObservation]:
        """Return this proxy's own latest observation of each server, by name.

        Servers without a recent observation are left out.
        """
        observations = {}
        for name, server in self._proxy.servers.items():
            latest = _latest_observation(server)
            if now_ms - latest.seen_at_ms < FRESHNESS_MS:
                observations[name] = latest
        return observations

    def evidence(
        self, now_ms: float, own: Mapping[str, HealthObservation]
    ) -> HealthEvidence | None:
        """Return the own observations to send, or None if there are none."""
        if not own:
            return None
        # Failing servers come first: most members observe working servers themselves.
        by_health = sorted(own.items(), key=lambda item: (item[1].health, item[0]))
        return HealthEvidence(
            tuple(
                HealthReport(name, latest.health, round(now_ms - latest.seen_at_ms, 1))
                for name, latest in by_health[: self._max_servers]
            )
        )

    def record(self, now_ms: float, source: str, evidence: HealthEvidence) -> None:
        """Store the evidence reported by the member `source`."""
        self._reports.record(now_ms, source, evidence.reports)

    def forget_source(self, source: str) -> None:
        """Remove the reports of a member that is dead or has left."""
        self._reports.forget_source(source)

    def apply_verdict(
        self,
        now_ms: float,
        own: Mapping[str, HealthObservation],
        is_partitioned: bool,
    ) -> None:
        """Evaluate the health of all servers, and pass the verdict to the balancer.

        Reports of other proxies are ignored while this proxy is partitioned.
        """
        verdict = HealthVerdict()
        if not is_partitioned:
            verdict = self._reports.verdict(now_ms, own)
        if verdict != self.verdict:
            self.verdict = verdict
            self._log_event(
                LogEvent.PEER_HEALTH_VERDICT,
                fail_for_all=list(verdict.failing_for_all),
                fail_here_alone=list(verdict.failing_locally_only),
            )
        if verdict:
            servers = self._proxy.servers
            self._proxy.balancer.on_peer_health_reports(
                now_ms,
                [servers[name] for name in verdict.failing_for_all if name in servers],
                [
                    servers[name]
                    for name in verdict.failing_locally_only
                    if name in servers
                ],
            )


def _latest_observation(server: Server) -> HealthObservation:
    observations = [(server.last_received_ms, ServerHealth.SERVING)]
    if server.load_samples:
        observations.append((server.load_samples[-1][0], ServerHealth.SERVING))
    if server.recent_results:
        seen_at_ms, is_success = server.recent_results[-1]
        observations.append((seen_at_ms, ServerHealth(bool(is_success))))
    if server.unanswered_probes >= FAILING_AFTER_UNANSWERED_PROBES:
        observations.append((server.last_probe_ms, ServerHealth.FAILING))
    last_seen_at_ms, health = max(observations)
    return HealthObservation(health, last_seen_at_ms)
