"""When servers are probed for their load, and how many probes sessions pay for."""

from collections.abc import Collection, Mapping

from wheathill.model import Server, SessionEffects
from wheathill.policy.settings import TICK_INTERVAL_MS

# How many probes one session pays for. By the clock instead, all proxies probing all
# servers would grow with the product of both.
CREDIT_PER_SESSION = 3.0
# A server is probed in a round only when its last probe is so old, in ms: a little less
# than the second between two rounds, which would otherwise leave out every other one.
MIN_PROBE_INTERVAL_MS = 0.9 * TICK_INTERVAL_MS


class ProbeScheduler:
    """Sends probes: those that a session asks for, and rounds over the fleet.

    Attributes:
        is_enabled: whether servers may be probed at all.
        credit: how many probes are paid for. Probes that a session asks for are always
            sent, so that it may be negative.
    """

    def __init__(
        self,
        effects: SessionEffects,
        *,
        is_enabled: bool,
        priority_load: float,
    ) -> None:
        """Begin without credit.

        Args:
            effects: carries the probes out.
            is_enabled: whether servers may be probed at all.
            priority_load: servers above this load are probed before all others.
        """
        self._effects = effects
        self._priority_load = priority_load
        self.is_enabled = is_enabled
        self.credit = 0.0

    def add_session_credit(self, servers: Collection[Server]) -> None:
        """Credit a session's probes, up to one round over the servers.

        A probe has its price by the session and its work at the server.
        """
        self.credit = min(self.credit + CREDIT_PER_SESSION, float(len(servers)))

    def send(self, now_ms: float, server: Server) -> None:
        """Probe a server, unless a probe of it is in flight."""
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
        """Return the servers to probe in this round, as far as the credit goes.

        Those with a high load come first, as they are the next to be full, then those
        that have not been probed for longest.
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
