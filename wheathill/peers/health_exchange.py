"""Health of servers, exchanged with other proxies, and what follows from it here."""

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

# Milliseconds; what was seen longer ago is no evidence.
FRESHNESS_MS = 3000.0
# Probes in a row without an answer, from which a server counts as failing.
FAILING_AFTER_UNANSWERED_PROBES = 2


@dataclass(frozen=True, slots=True)
class EvidenceLimits:
    """How much evidence of servers is sent, however many members there are.

    Attributes:
        recipients_per_interval: members that it is sent to each probe interval.
        servers_per_message: that one message names.
    """

    recipients_per_interval: int
    servers_per_message: int


class HealthExchange:
    """Reports what this proxy has seen of servers, and judges what others report.

    `max_servers`: in one message. `verdict` is what was last found.
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
        """Return the last that this proxy itself has seen of each server, by name."""
        found = {}
        for name, server in self._proxy.servers.items():
            last = _last_observation(server)
            if now_ms - last.seen_at_ms < FRESHNESS_MS:
                found[name] = last
        return found

    def evidence(
        self, now_ms: float, own: Mapping[str, HealthObservation]
    ) -> HealthEvidence | None:
        """Return what to send of the own observations, None where there are none."""
        if not own:
            return None
        # Failing servers first: that a server serves is known to most anyway.
        seen = sorted(own.items(), key=lambda item: (item[1].health, item[0]))
        return HealthEvidence(
            tuple(
                HealthReport(name, last.health, round(now_ms - last.seen_at_ms, 1))
                for name, last in seen[: self._max_servers]
            )
        )

    def record(self, now_ms: float, source: str, evidence: HealthEvidence) -> None:
        """Take in what the member `source` has seen."""
        self._reports.record(now_ms, source, evidence.reports)

    def forget_source(self, source: str) -> None:
        """Drop what a member has reported that is gone."""
        self._reports.forget_source(source)

    def apply_verdict(
        self,
        now_ms: float,
        own: Mapping[str, HealthObservation],
        is_partitioned: bool,
    ) -> None:
        """Judge all servers anew, and hand the verdict to the balancer.

        Nothing is judged by others' word while this proxy is partitioned off.
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


def _last_observation(server: Server) -> HealthObservation:
    seen = [(server.last_received_ms, ServerHealth.SERVING)]
    if server.load_samples:
        seen.append((server.load_samples[-1][0], ServerHealth.SERVING))
    if server.recent_results:
        seen_at_ms, is_success = server.recent_results[-1]
        seen.append((seen_at_ms, ServerHealth(bool(is_success))))
    if server.unanswered_probes >= FAILING_AFTER_UNANSWERED_PROBES:
        seen.append((server.last_probe_ms, ServerHealth.FAILING))
    last_seen_at_ms, health = max(seen)
    return HealthObservation(health, last_seen_at_ms)
