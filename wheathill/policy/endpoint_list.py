"""The endpoint list as this proxy follows it: who joined, who left, who may get attempts."""

import math

from wheathill.model import LIST_POLL_MAX_MS, POLL_TIMER, Phase, UpdateKind


class EndpointList:
    """Follows the list of servers; tells who joined and who left."""

    def __init__(
        self, actions, must_ask, spread, drain_grace, sized, uniform, gone_binds
    ):
        self.gone_binds, self.poll_spread_ms, self.actions, self.sized = (
            gone_binds,
            spread,
            actions,
            sized,
        )
        self.must_ask, self.drain_grace, self.uniform = must_ask, drain_grace, uniform
        self.servers = {}  # ready ones, in order of name: the same at every proxy
        self.maintenance_since_ms = {}  # names of those that are out by hand -> since when
        self.maintenance_ended_ms = {}  # of those put back -> (since when they were out, until when)
        self.following, self.asked, self.failures = False, None, 0

    def start(self, now):
        """The list service is one for all and does not grow with them: a call by every proxy at the start
        would be turned away for most, and their next ones too."""
        if self.must_ask:
            self.actions.set_timer(
                POLL_TIMER, now + self.uniform(0.0, self.poll_spread_ms)
            )

    def poll(self, now):
        if self.must_ask and not self.following and self.asked is None:
            self.asked = now
            self.actions.poll_endpoint_list(True)

    def update(self, now, kind, entries):
        """Entries are (server, phase, weight, started). Returns (joined, left)."""
        if kind is UpdateKind.FAILED:
            # Every proxy meets the failure at once; asking again together would keep the list
            # service down, so the wait doubles and is spread.
            self.following, self.asked, self.failures = False, None, self.failures + 1
            wait = min(
                LIST_POLL_MAX_MS,
                max(500.0, self.poll_spread_ms / 2) * 2.0 ** min(self.failures, 5),
            )
            self.actions.set_timer(POLL_TIMER, now + wait * self.uniform(0.5, 1.0))
            return [], []
        if kind in (UpdateKind.DELTA, UpdateKind.SNAPSHOT) and self.asked is not None:
            self.following, self.asked, self.failures = True, None, 0
        joined, left, listed = {}, {}, {}
        for server, phase, weight, started in entries:
            listed[server] = None
            server.listed_phase, server.is_removal_unconfirmed = phase, False
            if phase is Phase.READY and server.name in self.maintenance_since_ms:
                phase = Phase.DRAINING
            since, until = self.maintenance_ended_ms.get(server.name, (-math.inf, None))
            if (
                started is None
                and until is not None
                or started is not None
                and started < since
            ):
                started = until  # that it was restarted meanwhile may not be told yet
            restarted = started is not None and (
                server in self.servers
                if server.started_ms is None
                else started > server.started_ms
            )
            # Only a registered size is the same at every proxy; a live weight would tear tables apart.
            server.weight = weight if self.sized and weight and weight > 0 else 1.0
            server.started_ms = started
            if phase is Phase.READY:
                if server not in self.servers or restarted:
                    joined[server] = None
                    # A new process knows nothing of what the old one was judged by.
                    for known in (
                        server.load_samples,
                        server.probe_latencies,
                        server.recent_results,
                        server.attempt_times_ms,
                    ):
                        known.clear()
                    (
                        server.unanswered_probes,
                        server.probe_sent_ms,
                        server.report_correction,
                    ) = 0, None, 1.0
                server.phase = Phase.READY
            elif server.phase is Phase.READY or server in self.servers:
                self.handle_missing(now, server, phase, left)
            else:
                server.phase = phase
        if kind not in (UpdateKind.DELTA, UpdateKind.MAINTENANCE):
            for server in [server for server in self.servers if server not in listed]:
                self.handle_missing(now, server, Phase.GONE, left)
        self.servers.update(joined)
        self.keep_ready()
        return [server for server in joined if server in self.servers], list(left)

    def keep_ready(self):
        self.servers = {
            server: None
            for server in sorted(self.servers, key=lambda server: server.name)
            if server.phase is Phase.READY
        }

    def handle_missing(self, now, server, phase, left):
        """Where only draining binds, a list without a server is one witness: it leaves when it also gives no
        answer. One that was seen draining is never ready here, so no silence of a list brings it back."""
        if phase is Phase.GONE and not self.gone_binds:
            server.is_removal_unconfirmed = True
        else:
            self.mark_leaving(now, server, phase, left)

    @staticmethod
    def mark_leaving(now, server, phase, left):
        server.phase = phase
        server.leaving_since_ms = now
        left[server] = None

    def may_attempt(self, now, server, mid_flow):
        """Rule 3. A draining server still carries on what it holds, but only within the grace."""
        if server.phase is Phase.READY:
            return True
        return (
            mid_flow
            and server.phase is Phase.DRAINING
            and now < server.leaving_since_ms + self.drain_grace / 2
        )
