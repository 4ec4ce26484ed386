"""Schedules probes of servers, limited by a credit that sessions add to."""

from collections.abc import Collection, Mapping

from wheathill.model import Server, SessionEffects
from wheathill.policy.settings import TICK_INTERVAL_MS

# Number of probes credited per session. With probes at a fixed rate instead, their
# number would grow with the product of the numbers of proxies and servers.
CREDIT_PER_SESSION = 3.0
# Minimum age of a server's last probe in a round of probes, in ms. With the whole
# interval between rounds, every other round would leave the server out.
MIN_PROBE_INTERVAL_MS = 0.9 * TICK_INTERVAL_MS


class ProbeScheduler:
    """Sends probes that sessions request, and selects servers for periodic rounds.

    Attributes:
        is_enabled: whether servers may be probed at all.
        credit: the number of probes that periodic rounds may send. Probes requested by
            sessions are always sent and reduce it, so it may be negative.
    """

    def __init__(
        self,
        effects: SessionEffects,
        *,
        is_enabled: bool,
        priority_load: float,
    ) -> None:
        """Create a scheduler without credit.

        Args:
            effects: sends the probes.
            is_enabled: whether servers may be probed at all.
            priority_load: servers above this load are probed before all others.
        """
        self._effects = effects
        self._priority_load = priority_load
        self.is_enabled = is_enabled
        self.credit = 0.0

    def add_session_credit(self, servers: Collection[Server]) -> None:
        """Add the credit of a session, up to one probe of every server.

        The cost of probes and their load on servers so depend on the session rate.
        """
        self.credit = min(self.credit + CREDIT_PER_SESSION, float(len(servers)))

    def send(self, now_ms: float, server: Server) -> None:
        """Probe a server, unless a probe to it is in flight."""
        if server.probe_sent_ms is None:
            server.probe_sent_ms = server.last_probe_ms = now_ms
            self.credit -= 1.0
            self._effects.send_probe(server)

    def select_due(
        self,
        now_ms: float,
        servers: Collection[Server],
        loads: Mapping[Server, float],
    ) -> list[Server]:
        """Return the servers to probe in this round, as many as the credit allows.

        Highly loaded servers come first, as they are the next ones to be full. Within
        each class the servers are ordered by their last probe, oldest first.
        """
        if not self.is_enabled or self.credit < 1.0:
            return []
        highly_loaded = {
            server for server, load in loads.items() if load > self._priority_load
        }
        due = [
            server
            for server in servers
            if server.probe_sent_ms is None
            and now_ms - server.last_probe_ms >= MIN_PROBE_INTERVAL_MS
        ]
        due.sort(
            key=lambda server: (server not in highly_loaded, server.last_probe_ms),
        )
        return due[: int(self.credit)]
