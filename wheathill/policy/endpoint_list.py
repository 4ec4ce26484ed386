"""The endpoint list: the known servers, and which of them may get attempts."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from wheathill.model import (
    ENDPOINT_LIST_CALL_MS,
    MAX_LIST_POLL_INTERVAL_MS,
    POLL_TIMER,
    EndpointEntry,
    Phase,
    Server,
    SessionEffects,
    UpdateKind,
)
from wheathill.policy.settings import EndpointListSettings

# Minimum base of the delay after a failed poll, in ms. The delay doubles with each
# failure, up to `MAX_BACKOFF_DOUBLINGS` times.
MIN_BACKOFF_MS = 500.0
MAX_BACKOFF_DOUBLINGS = 5
# Lower bound of the quota, which prevents a division by zero.
MIN_QUOTA = 1e-6


class MaintenancePeriod(NamedTuple):
    """The period in which a server was in maintenance.

    Attributes:
        started_ms: when maintenance began.
        ended_ms: when maintenance ended.
    """

    started_ms: float
    ended_ms: float


class EndpointChange(NamedTuple):
    """The servers that an update of the list has added and removed.

    Attributes:
        joined: servers that have become ready or have restarted.
        left: servers that are no longer ready.
    """

    joined: list[Server]
    left: list[Server]


class EndpointList:
    """Polls the endpoint list, applies its updates, and tracks maintenance.

    Attributes:
        servers: the ready servers, ordered by name, so that the order is the same at
            every proxy.
        listed: the servers that are listed as ready or draining, in any order.
        maintenance_since_ms: for each server in maintenance, by name, when it began.
        maintenance_ended_ms: for servers no longer in maintenance, by name, the last
            period of it.
        poll_spread_ms: the time over which the proxies spread their polls.
    """

    def __init__(
        self,
        effects: SessionEffects,
        uniform: Callable[[float, float], float],
        settings: EndpointListSettings,
        proxy_count: int,
    ) -> None:
        """Create an empty list; polling begins with `start`."""
        self._effects = effects
        self._uniform = uniform
        self._is_polled = settings.is_polled
        self._drain_grace_ms = settings.drain_grace_ms
        self._uses_weights = settings.uses_weights
        self._removes_unlisted_servers = settings.removes_unlisted_servers
        self._max_spread_ms = min(
            settings.poll_interval_ms / 2, MAX_LIST_POLL_INTERVAL_MS
        )
        self.poll_spread_ms = min(
            self._max_spread_ms, proxy_count * ENDPOINT_LIST_CALL_MS
        )
        self.servers: dict[Server, None] = {}
        self.listed: dict[Server, None] = {}
        self.maintenance_since_ms: dict[str, float] = {}
        self.maintenance_ended_ms: dict[str, MaintenancePeriod] = {}
        self._is_watching = False
        self._polled_at_ms: float | None = None
        self._failed_polls = 0

    # Polling

    def start(self, now_ms: float) -> None:
        """Schedule the first poll.

        It is delayed at random, as the capacity of the list service does not grow with
        the number of proxies. If all of them polled at their start, the service would
        reject most polls, and the following ones as well.
        """
        if self._is_polled:
            delay_ms = self._uniform(0.0, self.poll_spread_ms)
            self._effects.set_timer(POLL_TIMER, now_ms + delay_ms)

    def poll(self, now_ms: float) -> None:
        """Poll the list, unless it is watched already or a poll is in flight."""
        if self._is_polled and not self._is_watching and self._polled_at_ms is None:
            self._polled_at_ms = now_ms
            self._effects.poll_endpoint_list(True)

    def set_quota(self, quota: float) -> None:
        """Set the spread of polls from this proxy's share among all proxies."""
        spread_ms = ENDPOINT_LIST_CALL_MS / max(quota, MIN_QUOTA)
        self.poll_spread_ms = min(self._max_spread_ms, spread_ms)

    def _on_poll_failed(self, now_ms: float) -> None:
        """Schedule the next poll, with exponential backoff and jitter.

        Polls of all proxies fail at the same time; simultaneous retries would keep the
        list service overloaded.
        """
        self._end_poll(is_watching=False, failed_polls=self._failed_polls + 1)
        doublings = min(self._failed_polls, MAX_BACKOFF_DOUBLINGS)
        first_ms = max(MIN_BACKOFF_MS, self.poll_spread_ms / 2)
        wait_ms = min(MAX_LIST_POLL_INTERVAL_MS, first_ms * 2.0**doublings)
        delay_ms = wait_ms * self._uniform(0.5, 1.0)
        self._effects.set_timer(POLL_TIMER, now_ms + delay_ms)

    def _end_poll(self, *, is_watching: bool, failed_polls: int) -> None:
        self._is_watching = is_watching
        self._polled_at_ms = None
        self._failed_polls = failed_polls

    # Updates

    def update(
        self, now_ms: float, kind: UpdateKind, entries: Sequence[EndpointEntry]
    ) -> EndpointChange:
        """Apply an update of the list, and return which servers joined and left."""
        if kind is UpdateKind.FAILED:
            self._on_poll_failed(now_ms)
            return EndpointChange([], [])
        answers_poll = kind in (UpdateKind.DELTA, UpdateKind.SNAPSHOT)
        if answers_poll and self._polled_at_ms is not None:
            self._end_poll(is_watching=True, failed_polls=0)
        joined: dict[Server, None] = {}
        left: dict[Server, None] = {}
        for entry in entries:
            self._apply_entry(now_ms, entry, joined, left)
        if kind not in (UpdateKind.DELTA, UpdateKind.MAINTENANCE):
            named = {entry.server: None for entry in entries}
            for server in [server for server in self.servers if server not in named]:
                self._handle_removal(now_ms, server, Phase.GONE, left)
            self._unlist([server for server in self.listed if server not in named])
        self.servers.update(joined)
        self._keep_ready_servers()
        ready_joined = [server for server in joined if server in self.servers]
        return EndpointChange(ready_joined, list(left))

    def confirm_removal(self, now_ms: float, server: Server) -> dict[Server, None]:
        """Remove a server whose removal was unconfirmed, and return it as a mapping."""
        left: dict[Server, None] = {}
        self._remove(now_ms, server, Phase.GONE, left)
        self._keep_ready_servers()
        return left

    def set_maintenance(self, now_ms: float, name: str, in_maintenance: bool) -> None:
        """Record that the maintenance of a server begins or ends."""
        if in_maintenance:
            self.maintenance_since_ms.setdefault(name, now_ms)
        elif name in self.maintenance_since_ms:
            since_ms = self.maintenance_since_ms.pop(name)
            self.maintenance_ended_ms[name] = MaintenancePeriod(since_ms, now_ms)

    def may_attempt(self, now_ms: float, server: Server, mid_flow: bool) -> bool:
        """Return whether the phase of a server allows an attempt.

        A draining server continues its open sessions, but only within the drain grace:
        mid-flow sessions may go to it for half of that time.
        """
        if server.phase is Phase.READY:
            return True
        return (
            mid_flow
            and server.phase is Phase.DRAINING
            and now_ms < server.leaving_since_ms + self._drain_grace_ms / 2
        )

    def _apply_entry(
        self,
        now_ms: float,
        entry: EndpointEntry,
        joined: dict[Server, None],
        left: dict[Server, None],
    ) -> None:
        server, phase = entry.server, entry.phase
        server.listed_phase, server.is_removal_unconfirmed = phase, False
        if phase is Phase.GONE:
            self.listed.pop(server, None)
        else:
            self.listed[server] = None
        if phase is Phase.READY and server.name in self.maintenance_since_ms:
            phase = Phase.DRAINING
        started_ms = self._effective_start_ms(server.name, entry.started_ms)
        has_restarted = self._has_restarted(server, started_ms)
        # Only registered sizes are the same at every proxy; with weights that change at
        # runtime their slot tables would differ.
        weight = entry.weight if self._uses_weights else None
        server.weight = weight if weight and weight > 0 else 1.0
        server.started_ms = started_ms
        if phase is Phase.READY:
            if server not in self.servers or has_restarted:
                joined[server] = None
                self._forget_process(server)
            server.phase = Phase.READY
        elif server.phase is Phase.READY or server in self.servers:
            self._handle_removal(now_ms, server, phase, left)
        else:
            server.phase = phase

    def _effective_start_ms(self, name: str, started_ms: float | None) -> float | None:
        """Return the start time of a server, considering its last maintenance.

        A server may have been restarted during maintenance although the list does not
        show it yet, so it counts as started when maintenance ended.
        """
        period = self.maintenance_ended_ms.get(name)
        if period and (started_ms is None or started_ms < period.started_ms):
            return period.ended_ms
        return started_ms

    def _has_restarted(self, server: Server, started_ms: float | None) -> bool:
        if started_ms is None:
            return False
        if server.started_ms is None:
            return server in self.servers
        return started_ms > server.started_ms

    @staticmethod
    def _forget_process(server: Server) -> None:
        """Reset the state that belongs to the previous process of a server."""
        server.load_samples.clear()
        server.probe_latencies.clear()
        server.recent_results.clear()
        server.attempt_times_ms.clear()
        server.unanswered_probes = 0
        server.probe_sent_ms = None
        server.report_correction = 1.0

    def _handle_removal(
        self, now_ms: float, server: Server, phase: Phase, left: dict[Server, None]
    ) -> None:
        """Remove a server that is draining, gone or no longer listed.

        If the settings do not remove unlisted servers, a server that is gone leaves
        once it also fails to answer. A draining server leaves the ready servers at
        once, so its absence from a later list does not bring it back. One in
        maintenance leaves in any case.
        """
        is_proof = (
            self._removes_unlisted_servers or server.name in self.maintenance_since_ms
        )
        if phase is Phase.GONE and not is_proof:
            server.is_removal_unconfirmed = True
        else:
            self._remove(now_ms, server, phase, left)

    def _unlist(self, servers: Sequence[Server]) -> None:
        """Note that a complete list lacks servers, whether they are in use or not.

        One in maintenance must not be put back as what it was listed before.
        """
        if self._removes_unlisted_servers:
            for server in servers:
                server.listed_phase = Phase.GONE
                del self.listed[server]

    @staticmethod
    def _remove(
        now_ms: float, server: Server, phase: Phase, left: dict[Server, None]
    ) -> None:
        server.phase = phase
        server.leaving_since_ms = now_ms
        left[server] = None

    def _keep_ready_servers(self) -> None:
        self.servers = {
            server: None
            for server in sorted(self.servers, key=lambda server: server.name)
            if server.phase is Phase.READY
        }
