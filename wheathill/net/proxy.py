"""One proxy's life: how it starts, serves, tells of itself and stops. What it carries and what it is told are
rooms of their own (`carried`, `told`).

Names of the protocol become objects at this door; nothing is decided here but what the machine itself
cannot do (no descriptor left) or what cannot be read.
"""

import random
from collections import OrderedDict
from dataclasses import replace

from wheathill.log_events import LogEvent
from wheathill.model import Phase, UpdateKind
from wheathill.net.carried import Carried
from wheathill.net.metrics import ProxyMetrics
from wheathill.net.told import Told
from wheathill.policy.balancer import Balancer


class Proxy(Carried, Told):
    def __init__(self, node, carrier, clock, log, decisions=Balancer):
        self.carrier = carrier
        self.metrics = ProxyMetrics()
        self.door = None  # where clients are taken in
        self.upgrade = None  # where another process may take over, or has
        self.handed_over = False
        self.peers = None  # other instances, where they are known
        self.swept = self.worst_delay = (
            0.0  # when a sweep was due; the longest one was late since logged
        )
        self.old_until = 0.0  # until then lines may be read that have lain here while this process stood still
        self.take(node)
        self.started_with = node.source
        self.clock = clock
        self.log_event = log
        self.zones = {name: place for place, name in enumerate(node.zones)}
        self.servers = {}  # by name
        self.names = {}  # of all that were ever listed, the longest unlisted first
        self.addresses = {}  # Server -> (host, port)
        self.clients = {}  # Session -> Client, in order of arrival
        self.asking = {}  # clients with a line that waits for an answer, the longest waiting first
        self.silent = {}  # clients that have sent no line yet, oldest first
        # Of sessions taken, oldest first -> whether it is open. Ordered: a dict's oldest is found ever more slowly.
        self.ids = OrderedDict()
        self.links = {}  # Server -> ProbeLink, the longest unused first
        self.seen = 0  # version of the list
        self.watch = None
        self.beside = None  # another, asked while the first has not answered
        self.next_watch = None  # the alarm that opens it again, or one beside it
        self.asked_at = 0.0  # when it was opened
        self.gap = False  # an entry of the list could not be read: no version is noted
        self.gaps = 0  # how often in a row
        self.early = {}  # clients whose line came before the first list -> when
        self.watch_why = None  # it ended last time, and nothing came since
        self.list_failures = 0  # calls for the list in a row
        self.ready = False
        self.stopping = None  # since when
        self.stop_last = 0.0  # when those that are left are sent away
        self.bad_since = self.bad_logged = 0
        self.balancer = decisions(self, random.Random(node.seed), node.policy)

    def now(self):
        return self.clock.now()

    # Start and stop

    def start(self, taken=False):
        """`taken`: the list and all else are those of the process before."""
        self.balancer.on_start(self.now())
        self.load_maintenance()
        known, self.node = (
            self.node.initial_endpoints,
            replace(self.node, initial_endpoints={}),
        )
        if known and not taken:
            self.listed(
                known,
                UpdateKind.CACHED
                if self.node.discovery_address
                else UpdateKind.SNAPSHOT,
            )
        if taken or not self.node.discovery_address:
            self.first_list_over()
        if self.node.discovery_address:
            self.open_watch()
        self.clock.after(
            0.0 if taken else self.limits.first_list_timeout_ms, self.get_ready
        )
        self.swept = self.now() + self.limits.sweep_interval_ms
        self.clock.after(self.limits.sweep_interval_ms, self.sweep)
        self.clock.after(self.limits.metrics_interval_ms, self.log_metrics)

    def get_ready(self):
        self.first_list_over()
        if not self.ready and self.stopping is None:
            self.ready = True
            self.log_event(LogEvent.READY, servers=len(self.servers))

    def stop(self, stopped):
        """Newcomers still come for a while and are served; `stopped` is called when all is done."""
        if self.stopping is None:
            self.stopping = self.now()
            self.ready = False
            # Where packets pass through, what is open goes on at other proxies once this one is killed, but
            # breaks if it ends by itself: all its clients then came back at once, and were refused.
            # Settled now: a configuration that comes later may shorten the dial timeouts of who is in already.
            most = (
                self.limits.max_dial_timeout_ms + self.limits.shutdown_margin_ms
                if self.node.migrates_at_shutdown
                else self.limits.passthrough_shutdown_ms
            )
            self.stop_last = self.stopping + most
            self.log_event(LogEvent.SHUTDOWN_STARTED, sessions=len(self.clients))
            if self.node.listen_fd is not None and self.door:
                # Others listen on the same socket: whoever waits there is theirs.
                self.door.close()
            self.clock.after(
                self.limits.sweep_interval_ms
                if self.handed_over
                else min(
                    self.limits.shutdown_accept_ms, most - self.limits.sweep_interval_ms
                ),
                self.wait_for_end,
                stopped,
            )
            if not self.handed_over:
                self.balancer.on_stop(self.stopping, False)

    def wait_for_end(self, stopped):
        now = self.now()
        last = now >= self.stop_last
        if last or not self.handed_over:
            self.balancer.on_stop(now, last)
        if last:
            self.answer_all()
        if last or not self.expected():
            self.log_event(
                LogEvent.SHUTDOWN_FINISHED,
                sessions=len(self.clients),
                since_start=self.metrics.for_log(),
            )
            self.see_off(stopped, now + self.limits.shutdown_linger_ms)
        else:
            self.clock.after(
                min(self.limits.sweep_interval_ms, self.stop_last - now),
                self.wait_for_end,
                stopped,
            )

    def expected(self):
        """Whether a session is here or may be: of who was let in, or waits to be, a line may have come that was not
        read. Who has sent PING only looks whether this proxy is there. One that was taken over from waits for them all."""
        return bool(
            self.clients
            or self.early
            or self.door
            and self.door.waiting
            or any(
                self.handed_over or not client.pings or client.wire.has_unread_bytes
                for client in self.silent
            )
        )

    def see_off(self, stopped, until):
        """The last answers and MOVE lines are on their way: the end follows them, as closing with bytes unread or
        unsent would cut them off, but not later than the time in which this proxy may be killed."""
        now, parting = self.now(), list(self.carrier.closing_connections)
        if parting and (
            now < until
            or now < self.stop_last + self.limits.shutdown_linger_ms
            and any(wire.unsent_bytes for wire in parting)
        ):
            self.clock.after(
                self.limits.shutdown_poll_interval_ms, self.see_off, stopped, until
            )
        else:
            stopped()

    def log_metrics(self):
        self.clock.after(self.limits.metrics_interval_ms, self.log_metrics)
        self.log_event(
            LogEvent.METRICS,
            **self.beliefs(),
            worst_delay=round(self.worst_delay, 1),
            since_start=self.metrics.for_log(),
        )
        self.worst_delay = 0.0

    def metrics_report(self):
        """What operators are told; the counts are those of the log."""
        listed = [
            server for server in self.servers.values() if server.phase is not Phase.GONE
        ]
        left_out = self.left_out(self.now())
        return {
            **self.metrics.for_operators(),
            "pending": len(self.clients),
            "members": len(listed),
            "members_unavailable": sum(
                server.phase is not Phase.READY or server.name in left_out
                for server in listed
            ),
        }

    def beliefs(self):
        """What the decisions take for true, beside what the sockets hold."""
        return {
            "sessions": len(self.clients),
            "up": sum(client.up for client in self.clients.values()),
            "placed": sum(len(server.sessions) for server in self.servers.values()),
            "sockets": self.carrier.sockets,
            "servers": len(self.balancer.endpoint_list.servers),
            "left_out": self.left_out(self.now()),
            "doubted": {
                server.name: round(server.report_correction, 2)
                for server in self.balancer.endpoint_list.servers
                if server.report_correction != 1.0
            },
            "further_withheld": self.balancer.retry_budget.denied,
            **({"peers": self.peers.status.metrics()} if self.peers else {}),
        }

    def left_out(self, now):
        """The ready servers that nothing new goes to, by name, and why."""
        balancer = self.balancer
        servers = list(balancer.endpoint_list.servers)
        return {
            server.name: why
            for why, test in (
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
            if test(server)
        }
