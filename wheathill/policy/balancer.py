"""The balancer: dispatches events to the components of the policy.

One `Balancer` decides for one proxy. The proxy calls one method for each event, with
the time in milliseconds as the first argument, and the balancer calls the
`SessionEffects` that it was given. The types of this interface are defined in
`wheathill.model`. The policy reads no clock, file or socket. It does not interpret
names: the name of a server is only hashed. docs/design.md describes the method, a slot
table based on INCAB.
"""

import random
from collections import deque
from collections.abc import Collection, Sequence

from wheathill.model import (
    PROBE_TIMER,
    TICK_TIMER,
    Attempt,
    AttemptOutcome,
    EndpointEntry,
    Phase,
    Server,
    Session,
    SessionEffects,
    Timer,
    TimerKind,
    UpdateKind,
)
from wheathill.policy.components import PolicyComponents
from wheathill.policy.settings import (
    CONNECTION_LIFETIME_MS,
    EARLY_RESET_MS,
    TICK_INTERVAL_MS,
    PolicySettings,
)


class Balancer(PolicyComponents):
    """Makes the decisions of one proxy.

    Attributes:
        due_probes: the servers still to be probed before the next tick.
    """

    def __init__(
        self, effects: SessionEffects, rng: random.Random, settings: PolicySettings
    ) -> None:
        """Create the components; no effect is called before `on_start`.

        Args:
            effects: carries out the decisions.
            rng: the random number generator shared by all components.
            settings: the configuration.
        """
        super().__init__(effects, rng, settings)
        self._is_passthrough = settings.is_passthrough
        self.due_probes: deque[Server] = deque()

    # Start, stop and timers

    def on_start(self, now_ms: float) -> None:
        """Schedule the first poll of the endpoint list and the first tick."""
        self.endpoint_list.start(now_ms)
        self.slow_start.process_started_ms = now_ms
        # A random delay keeps proxies that start together from probing every server at
        # the same time.
        delay_ms = self.uniform(0.1, 1.0) * TICK_INTERVAL_MS
        self.effects.set_timer(TICK_TIMER, now_ms + delay_ms)

    def on_stop(self, now_ms: float, is_last: bool) -> None:
        """Migrate sessions, as this proxy is shutting down.

        It is called repeatedly during a shutdown, so that sessions accepted meanwhile
        migrate as well. In passthrough mode connections continue without this proxy.
        """
        if not self._is_passthrough:
            self.session_migrator.migrate_all(is_last=is_last)

    def on_timer(self, now_ms: float, timer: Timer) -> None:
        """Handle a timer that has fired."""
        if timer.kind is TimerKind.POLL_ENDPOINT_LIST:
            self.endpoint_list.poll(now_ms)
        elif timer.kind is TimerKind.TICK:
            self.effects.set_timer(TICK_TIMER, now_ms + TICK_INTERVAL_MS)
            self.tick(now_ms)
        elif timer.kind is TimerKind.PROBE_WAIT:
            self.server_selector.on_probe_timeout(now_ms, timer.selection_number)
        elif self.due_probes:
            server = self.due_probes.popleft()
            if server.phase is Phase.READY:
                self.probe_scheduler.send(now_ms, server)

    def tick(self, now_ms: float) -> None:
        """Do the periodic work, once per `TICK_INTERVAL_MS`."""
        ready, table = self.endpoint_list.servers, self.slot_table
        table.finish_transitions(now_ms)
        self.load_estimator.update_report_corrections(now_ms, ready)
        warm = [
            server for server in ready if not self.slow_start.is_warming(now_ms, server)
        ]
        self.load_estimator.update_capacity_estimate(now_ms, warm)
        self._shift_slots(now_ms)
        self.session_migrator.shed_overloaded_servers(now_ms, ready)
        table.active_servers = {
            server: None for server in table.active_servers if server.sessions
        }
        self.session_migrator.migrate_off_draining(now_ms, table.active_servers)
        self._schedule_probes(now_ms)

    def _shift_slots(self, now_ms: float) -> None:
        levels = self.load_estimator.levels(now_ms, self.endpoint_list.servers)
        shift = self.slot_table.shift_slots(
            now_ms,
            levels,
            CONNECTION_LIFETIME_MS,
            lambda server: (
                not self.outlier_detector.is_outlier(now_ms, server)
                and not self.slow_start.is_warming(now_ms, server)
            ),
        )
        if shift:
            self.effects.log(
                f"slot table: {shift.slot_count} slots shifted off a server on level"
                f" {levels[shift.server]}"
            )

    def _schedule_probes(self, now_ms: float) -> None:
        """Schedule the probes that are due, evenly spread until the next tick."""
        ready = self.endpoint_list.servers
        loads = self.load_estimator.loads(now_ms, ready)
        due = self.probe_scheduler.select_due(now_ms, ready, loads)
        self.due_probes = deque(due)
        for index in range(len(due)):
            delay_ms = TICK_INTERVAL_MS * (index + 0.5) / len(due)
            self.effects.set_timer(PROBE_TIMER, now_ms + delay_ms)

    # Endpoint list and other proxies

    def on_endpoint_update(
        self, now_ms: float, kind: UpdateKind, entries: Sequence[EndpointEntry]
    ) -> None:
        """Apply an endpoint list update, or handle a failed poll."""
        change = self.endpoint_list.update(now_ms, kind, entries)
        ready = self.endpoint_list.servers
        self.slot_table.update(now_ms, change.joined, dict.fromkeys(change.left), ready)
        for server in change.joined:
            # A random age gives each proxy its own probe order; otherwise all proxies
            # would probe the same servers first.
            age_ms = self.uniform(1.0, 2.0) * CONNECTION_LIFETIME_MS
            server.last_probe_ms = now_ms - age_ms
        for verb, servers in (("joined", change.joined), ("left", change.left)):
            if servers:
                self.effects.log(
                    f"endpoint list: {len(servers)} {verb}, {len(ready)} ready"
                )

    def set_maintenance(
        self, now_ms: float, name: str, in_maintenance: bool, server: Server | None
    ) -> None:
        """Put a server into maintenance, or end its maintenance.

        A server in maintenance drains as if the endpoint list said so. Afterwards it is
        treated as newly started, as it may have been restarted before the list shows
        it.

        Args:
            now_ms: the monotonic time.
            name: the name of the server.
            in_maintenance: whether maintenance begins or ends.
            server: the server, or None if it is not listed.
        """
        self.endpoint_list.set_maintenance(now_ms, name, in_maintenance)
        if server is not None and (server.phase is Phase.READY) is in_maintenance:
            entry = EndpointEntry(
                server, server.listed_phase, server.weight, server.started_ms
            )
            self.on_endpoint_update(now_ms, UpdateKind.MAINTENANCE, [entry])

    def on_quota_changed(self, now_ms: float, quota: float) -> None:
        """Set this proxy's share of what all known proxies may do together."""
        self.load_estimator.set_quota(quota)
        self.endpoint_list.set_quota(quota)

    def on_peer_health_reports(
        self,
        now_ms: float,
        failing: Collection[Server],
        failing_only_here: Collection[Server],
    ) -> None:
        """Apply what other proxies report on the health of servers.

        Args:
            now_ms: the monotonic time.
            failing: servers that fail for all proxies. They get one trial session at a
                time, like those that failed for this proxy.
            failing_only_here: servers that fail for this proxy only. The cause is the
                network path to them, not a dependency that all set-ups share.
        """
        self.outlier_detector.record_peer_failures(now_ms, failing)
        self.outlier_detector.forget_attempts(failing_only_here)

    # Sessions

    def on_session(self, now_ms: float, session: Session) -> None:
        """Admit a new session and place it, or give its final answer."""
        # Client retries and returning clients add no probe credit, as during an outage
        # each client retries many times. Mid-flow sessions add credit: a proxy that
        # takes over from another one knows little about the servers' load.
        self.retry_budget.record_session(now_ms)
        if session.mid_flow or not (session.is_client_retry or session.returning):
            self.probe_scheduler.add_session_credit(self.endpoint_list.servers)
        self.admission.enter(now_ms, session)

    def on_session_taken_over(
        self, now_ms: float, session: Session, server: Server
    ) -> None:
        """Add an open session that another proxy has set up."""
        self._place(session, server, now_ms)
        self.attempt_runner.on_accepted(now_ms, session)

    def on_session_handed_over(
        self, now_ms: float, session: Session, server: Server
    ) -> None:
        """Add an open session that another process of this proxy has set up."""
        accepted_ms = session.accepted_ms
        self._place(session, server, now_ms if accepted_ms is None else accepted_ms)
        server.sessions[session] = None
        self.slot_table.add_session(now_ms, session)

    def on_session_accepted(self, now_ms: float, session: Session) -> None:
        """Record that the server of the current attempt accepted the session."""
        self.attempt_runner.on_accepted(now_ms, session)

    def on_outcome(
        self,
        now_ms: float,
        session: Session,
        outcome: AttemptOutcome,
        is_closed: bool,
    ) -> None:
        """Handle the end of an attempt or of an open session.

        Args:
            now_ms: the monotonic time.
            session: the session.
            outcome: how it ended.
            is_closed: whether the session itself has ended, so that there is no retry
                and no further answer.
        """
        self._remove_from_server(session)
        server, accepted_ms = session.server, session.accepted_ms
        is_reset = outcome is AttemptOutcome.RESET
        if is_reset and server is not None and accepted_ms is not None:
            self.outlier_detector.record_reset(now_ms, server, accepted_ms)
            if now_ms - accepted_ms < EARLY_RESET_MS:
                self.admission.on_setup_failure(now_ms)
        if is_closed or session.has_ended:
            self.on_client_left(now_ms, session)
            return
        if outcome is AttemptOutcome.CONNECT_FAILED and server is not None:
            self._on_server_failed(now_ms, server)
        self.attempt_runner.on_failed(now_ms, session, outcome)

    def on_client_left(self, now_ms: float, session: Session) -> None:
        """Remove a session that has ended or whose client has left."""
        session.has_ended = True
        self.admission.in_progress.pop(session, None)
        self._remove_from_server(session)

    def on_load_declared(self, now_ms: float, session: Session, load: float) -> None:
        """Record the load that a client declared for its session."""
        session.load = load

    def on_message_latency(
        self, now_ms: float, session: Session, latency_ms: float
    ) -> None:
        """Handle the measured latency of a message."""
        target_ms, server = session.listener.message_target_ms, session.server
        if latency_ms <= target_ms or server is None:
            return
        # If the network path alone exceeds the objective, the server is not the cause.
        is_path_slow = self.path_latency.is_slow(now_ms, server, target_ms)
        latency_ratio = 0.0 if is_path_slow else latency_ms / target_ms
        self.load_estimator.record_late_message(now_ms, server, latency_ratio)

    def on_message_unanswered(
        self, now_ms: float, session: Session, waited_ms: float
    ) -> None:
        """Handle a message that has been unanswered for `waited_ms`."""
        self.session_migrator.on_message_unanswered(now_ms, session, waited_ms)

    def _place(self, session: Session, server: Server, accepted_ms: float) -> None:
        session.slot = self.slot_table.slot_of(session)
        session.server = server
        session.attempts.append(Attempt(server, accepted_ms))

    def _remove_from_server(self, session: Session) -> None:
        if session.server is not None and session in session.server.sessions:
            del session.server.sessions[session]
            self.slot_table.remove_session(session)

    # Servers

    def on_probe_result(
        self,
        now_ms: float,
        server: Server,
        outcome: AttemptOutcome,
        report: Sequence[float | None] | None,
    ) -> None:
        """Handle the result of a probe."""
        sent_ms, server.probe_sent_ms = server.probe_sent_ms, None
        if outcome is AttemptOutcome.COMPLETED:
            if sent_ms is not None:
                self.path_latency.record(now_ms, server, now_ms - sent_ms)
            server.unanswered_probes = 0
            self.load_estimator.record_sample(now_ms, server, report)
        elif outcome is not AttemptOutcome.AT_CAPACITY:
            # A server that rejects a probe for lack of capacity is still responsive.
            server.unanswered_probes += 1
            self._on_server_failed(now_ms, server)
        is_answered = outcome in (AttemptOutcome.COMPLETED, AttemptOutcome.AT_CAPACITY)
        self.server_selector.on_probe_result(now_ms, server, is_answered)

    def on_load_report(
        self, now_ms: float, server: Server, report: Sequence[float | None]
    ) -> None:
        """Record a load report that was not sent in answer to a probe."""
        self.load_estimator.record_sample(now_ms, server, report)

    def on_server_activity(self, now_ms: float, server: Server) -> None:
        """Record that data was received from a server."""
        server.last_received_ms, server.unanswered_session = now_ms, None

    def _on_server_failed(self, now_ms: float, server: Server) -> None:
        """Remove an unresponsive server whose removal was unconfirmed."""
        if server.is_removal_unconfirmed:
            left = self.endpoint_list.confirm_removal(now_ms, server)
            self.slot_table.update(now_ms, [], left, self.endpoint_list.servers)
            self.effects.log("endpoint list: 1 left, unresponsive as well")
