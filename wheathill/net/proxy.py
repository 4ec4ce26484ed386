"""One proxy: how it starts, serves, reports its state and stops.

Sessions are handled in `session_handling`, configuration and endpoint list in
`update_handling`. These modules turn names of the protocol into objects and leave
decisions to the balancer; they decide only where a descriptor is missing or input
cannot be read.
"""

import random
from dataclasses import replace

from wheathill.log_events import LogEvent
from wheathill.model import Phase, UpdateKind
from wheathill.net.graceful_shutdown import GracefulShutdown
from wheathill.net.metrics import ProxyMetrics
from wheathill.net.protocol_error_log import ProtocolErrorLog
from wheathill.net.session_handling import SessionHandlingMixin
from wheathill.net.session_ids import SessionIds
from wheathill.net.update_handling import UpdateHandlingMixin
from wheathill.policy.balancer import Balancer


class Proxy(SessionHandlingMixin, UpdateHandlingMixin):
    """One proxy process.

    Attributes:
        transport: the sockets of this process.
        metrics: counts since the start.
        listening_socket: accepts the clients.
        handover_coordinator: where another process may take over, or has.
        handed_over: whether another process has taken over.
        peers: the service that connects this proxy with others, if any.
        next_sweep_ms: when the next sweep is due.
        max_sweep_delay_ms: the longest delay of a sweep since the last METRICS event.
        stale_input_until_ms: until then, lines may be read that were received while
            this process was paused.
        initial_settings: the settings that the process was started with.
        zone_indexes: zone name -> index.
        servers: name -> server.
        known_names: names of all servers that were ever listed, those unlisted for the
            longest time first. Each has its `ListedState`, or None if only its name is
            known.
        addresses: server -> (host, port).
        clients: session -> client, in order of arrival.
        awaiting_answer: clients with a line that waits for an answer, longest first.
        silent_clients: clients that have sent no line yet -> when they connected,
            oldest first.
        session_ids: the ids of sessions that are open or over.
        probe_connections: server -> connection for probes, the longest unused first.
        list_version: the version of the endpoint list that was applied.
        watch: the watch on the endpoint list.
        hedge_watch: a second one, while the first is not answered.
        watch_timer: opens the watch again, or a second one.
        watch_opened_ms: when the watch was opened.
        is_reread_pending: whether an entry of the list could not be read; no version is
            noted until the list was requested again.
        consecutive_rereads: how often in a row that has happened.
        early_clients: clients whose OPEN line was received before the first endpoint
            list -> when; None once nobody waits for the list.
        watch_end_reason: why the last watch ended, if nothing was received since.
        consecutive_watch_failures: watches in a row that were not answered.
        ready: whether the proxy accepts sessions.
        shutdown: ends this process gracefully, once it was told to stop.
        client_errors: what clients send against the protocol.
        server_errors: what servers send against the protocol.
        list_errors: what discovery sends against the protocol.
        balancer: takes the decisions.
    """

    def __init__(self, node, transport, clock, log, make_balancer=Balancer):
        self.transport = transport
        self.metrics = ProxyMetrics()
        self.listening_socket = None
        self.handover_coordinator = None
        self.handed_over = False
        self.peers = None
        self.next_sweep_ms = self.max_sweep_delay_ms = 0.0
        self.stale_input_until_ms = 0.0
        self.apply_config(node)
        self.initial_settings = node.raw_config
        self.clock = clock
        self.log_event = log
        self.zone_indexes = {name: index for index, name in enumerate(node.zones)}
        self.servers = {}
        self.known_names = {}
        self.addresses = {}
        self.clients = {}
        self.awaiting_answer = {}
        self.silent_clients = {}
        self.session_ids = SessionIds()
        self.probe_connections = {}
        self.list_version = 0
        self.watch = None
        self.hedge_watch = None
        self.watch_timer = None
        self.watch_opened_ms = 0.0
        self.is_reread_pending = False
        self.consecutive_rereads = 0
        self.early_clients = {}
        self.watch_end_reason = None
        self.consecutive_watch_failures = 0
        self.ready = False
        self.shutdown = GracefulShutdown(self)
        self.client_errors = ProtocolErrorLog(log, clock.now)
        self.server_errors = ProtocolErrorLog(log, clock.now)
        self.list_errors = ProtocolErrorLog(log, clock.now)
        self.balancer = make_balancer(self, random.Random(node.seed), node.policy)

    def now(self):
        """Return the monotonic time in ms."""
        return self.clock.now()

    # Start and stop

    def start(self, taken=False):
        """Begin to serve.

        Args:
            taken: whether the endpoint list and all other state were taken over from
                the process before.
        """
        self.balancer.on_start(self.now())
        self.load_maintenance()
        initial_endpoints, self.node = (
            self.node.initial_endpoints,
            replace(self.node, initial_endpoints={}),
        )
        if initial_endpoints and not taken:
            self.on_endpoint_list(
                initial_endpoints,
                UpdateKind.CACHED
                if self.node.discovery_address
                else UpdateKind.SNAPSHOT,
            )
        if taken or not self.node.discovery_address:
            self.admit_early_clients()
        if self.node.discovery_address:
            self.open_watch()
        self.clock.after(
            0.0 if taken else self.limits.first_list_timeout_ms, self.mark_ready
        )
        self.next_sweep_ms = self.now() + self.limits.sweep_interval_ms
        self.clock.after(self.limits.sweep_interval_ms, self.sweep)
        self.clock.after(self.limits.metrics_interval_ms, self.log_metrics)

    def mark_ready(self):
        """Serve, with or without an endpoint list."""
        self.admit_early_clients()
        if not self.ready and self.stopping_since_ms is None:
            self.ready = True
            self.log_event(LogEvent.READY, servers=len(self.servers))

    def stop(self, on_stopped):
        """Shut down gracefully; `on_stopped` is called once all is done."""
        self.shutdown.begin(on_stopped)

    @property
    def stopping_since_ms(self):
        """When the shutdown began, or None."""
        return self.shutdown.started_ms

    # Metrics

    def log_metrics(self):
        """Log the state and all counts; runs periodically."""
        self.clock.after(self.limits.metrics_interval_ms, self.log_metrics)
        self.log_event(
            LogEvent.METRICS,
            **self.state_metrics(),
            worst_delay=round(self.max_sweep_delay_ms, 1),
            since_start=self.metrics.log_fields(),
        )
        self.max_sweep_delay_ms = 0.0

    def metrics_report(self):
        """Return the metrics for operators; the counts are those of the log."""
        listed = [
            server for server in self.servers.values() if server.phase is not Phase.GONE
        ]
        excluded = self.excluded_servers(self.now())
        return {
            **self.metrics.admin_fields(),
            "pending": len(self.clients),
            "members": len(listed),
            "members_unavailable": sum(
                server.phase is not Phase.READY or server.name in excluded
                for server in listed
            ),
        }

    def state_metrics(self):
        """Return the state that decisions are based on, and the sockets in use."""
        return {
            "sessions": len(self.clients),
            "up": sum(client.is_up for client in self.clients.values()),
            "placed": sum(len(server.sessions) for server in self.servers.values()),
            "sockets": self.transport.sockets,
            "servers": len(self.balancer.endpoint_list.servers),
            "left_out": self.excluded_servers(self.now()),
            "doubted": {
                server.name: round(server.report_correction, 2)
                for server in self.balancer.endpoint_list.servers
                if server.report_correction != 1.0
            },
            "further_withheld": self.balancer.retry_budget.denied,
            **({"peers": self.peers.status.metrics()} if self.peers else {}),
        }

    def excluded_servers(self, now):
        """Return the ready servers that get no new sessions: name -> reason."""
        balancer = self.balancer
        servers = list(balancer.endpoint_list.servers)
        return {
            server.name: reason
            for reason, is_excluded in (
                (
                    "cold, past its budget",
                    lambda server: not balancer.slow_start.allows(now, server),
                ),
                (
                    "full",
                    lambda server: (
                        balancer.load_estimator.expected_load(now, server)
                        >= balancer.load_estimator.overload_threshold
                    ),
                ),
                (
                    "late",
                    lambda server: balancer.load_estimator.has_late_messages(
                        now, server
                    ),
                ),
                (
                    "failing",
                    lambda server: balancer.outlier_detector.is_failing(now, server),
                ),
                ("silent", balancer.outlier_detector.is_unresponsive),
            )
            for server in servers
            if is_excluded(server)
        }
