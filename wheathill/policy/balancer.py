"""All decisions of wheathill, joined: which part decides when what happens.

One `Balancer` decides for one proxy. Whoever carries the sessions calls its methods,
one for each thing that happens, with the time in milliseconds first; it answers by
calling the `SessionEffects` of `wheathill.model`, where the types of its interface are
defined. Nothing here reads a clock, a file or a socket, and no name is ever looked at:
a server's name is only hashed. The mechanism is that of docs/design.md: a slot table
after INCAB.
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
from wheathill.policy.parts import PolicyParts
from wheathill.policy.settings import (
    CONNECTION_LIFETIME_MS,
    EARLY_RESET_MS,
    TICK_INTERVAL_MS,
    PolicySettings,
)


class Balancer(PolicyParts):
    """One proxy's decisions: passes on to the parts what happens.

    Attributes:
        due_probes: the servers that are probed until the next tick.
    """

    def __init__(
        self, effects: SessionEffects, rng: random.Random, settings: PolicySettings
    ) -> None:
        """Make the parts; nothing is called before `on_start`.

        Args:
            effects: carries out what is decided.
            rng: the one source of chance, from which all parts draw.
            settings: what this proxy is configured with.
        """
        super().__init__(effects, rng, settings)
        self._is_passthrough = settings.is_passthrough
        self.due_probes: deque[Server] = deque()

    # Start, stop and timers

    def on_start(self, now_ms: float) -> None:
        """Begin to decide."""
        self.endpoint_list.start(now_ms)
        self.slow_start.process_started_ms = now_ms
        # Proxies that start together would otherwise probe every server in the same
        # instant.
        delay_ms = self.uniform(0.1, 1.0) * TICK_INTERVAL_MS
        self.effects.set_timer(TICK_TIMER, now_ms + delay_ms)

    def on_stop(self, now_ms: float, is_last: bool) -> None:
        """Send clients away, as this proxy stops.

        It is called again and again until the end, so that sessions which are accepted
        meanwhile migrate as well. Where packets pass through, connections go on without
        this proxy.
        """
        if not self._is_passthrough:
            self.session_migrator.migrate_all(is_last=is_last)

    def on_timer(self, now_ms: float, timer: Timer) -> None:
        """Do what a timer was set for."""
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
        """Do what is done once in each `TICK_INTERVAL_MS`."""
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
        """Spread the probes that are due evenly over the time until the next tick."""
        ready = self.endpoint_list.servers
        loads = self.load_estimator.loads(now_ms, ready)
        due = self.probe_scheduler.select_due(now_ms, ready, loads)
        self.due_probes = deque(due)
        for index in range(len(due)):
            delay_ms = TICK_INTERVAL_MS * (index + 0.5) / len(due)
            self.effects.set_timer(PROBE_TIMER, now_ms + delay_ms)

    # The list of servers and the fleet

    def on_endpoint_update(
        self, now_ms: float, kind: UpdateKind, entries: Sequence[EndpointEntry]
    ) -> None:
        """Apply an update of the endpoint list, or note that a poll has failed."""
        change = self.endpoint_list.update(now_ms, kind, entries)
        ready = self.endpoint_list.servers
        self.slot_table.update(now_ms, change.joined, dict.fromkeys(change.left), ready)
        for server in change.joined:
            # In another order at each proxy, or all would probe the same servers first.
            age_ms = self.uniform(1.0, 2.0) * CONNECTION_LIFETIME_MS
            server.last_probe_ms = now_ms - age_ms
        for verb, servers in (("joined", change.joined), ("left", change.left)):
            if servers:
                self.effects.log(
                    f"endpoint list: {len(servers)} {verb}, {len(ready)} ready"
                )

    def set_maintenance(
        self, now_ms: float, name: str, is_out: bool, server: Server | None
    ) -> None:
        """Put a server into maintenance mode, or back.

        It drains as by the list, and comes back as one that has just started: it may
        have, before any list says so.

        Args:
            now_ms: the time.
            name: the server's name.
            is_out: whether it is in maintenance from now on.
            server: the server, None where it is not listed now.
        """
        self.endpoint_list.set_maintenance(now_ms, name, is_out)
        if server is not None and (server.phase is Phase.READY) is is_out:
            entry = EndpointEntry(
                server, server.listed_phase, server.weight, server.started_ms
            )
            self.on_endpoint_update(now_ms, UpdateKind.MAINTENANCE, [entry])

    def on_quota_changed(self, now_ms: float, quota: float) -> None:
        """Take this proxy's part of what all proxies may do together.

        It is as far as this proxy knows which others there are.
        """
        self.load_estimator.set_quota(quota)
        self.endpoint_list.set_quota(quota)

    def on_peer_health_reports(
        self,
        now_ms: float,
        failing: Collection[Server],
        failing_here: Collection[Server],
    ) -> None:
        """Take what other proxies see of the servers.

        Args:
            now_ms: the time.
            failing: servers that fail for all proxies: they are tried by one session at
                a time, like those that failed here.
            failing_here: servers that fail for this proxy alone: the path to them is to
                blame, and nothing that set-ups share.
        """
        self.outlier_detector.record_peer_failures(now_ms, failing)
        self.outlier_detector.forget_attempts(failing_here)

    # Sessions

    def on_session(self, now_ms: float, session: Session) -> None:
        """Place a session, or give its final answer."""
        # Clients that come again pay for nothing: in trouble each comes many times.
        # Packets of open connections pay: a proxy that takes over from another knows
        # little of what it is given.
        self.retry_budget.record_session(now_ms)
        if session.mid_flow or not (session.is_client_retry or session.returning):
            self.probe_scheduler.add_session_credit(self.endpoint_list.servers)
        self.admission.enter(now_ms, session)

    def on_session_taken_over(
        self, now_ms: float, session: Session, server: Server
    ) -> None:
        """Take in an open session that another proxy has set up."""
        self._place(session, server, now_ms)
        self.attempt_runner.on_accepted(now_ms, session)

    def on_session_handed_over(
        self, now_ms: float, session: Session, server: Server
    ) -> None:
        """Take in an open session that another process of this proxy has set up."""
        accepted_ms = session.accepted_ms
        self._place(session, server, now_ms if accepted_ms is None else accepted_ms)
        server.sessions[session] = None
        self.slot_table.add_session(now_ms, session)

    def on_session_accepted(self, now_ms: float, session: Session) -> None:
        """Note that the server of an attempt has accepted the session."""
        self.attempt_runner.on_accepted(now_ms, session)

    def on_outcome(
        self,
        now_ms: float,
        session: Session,
        outcome: AttemptOutcome,
        is_closed: bool,
    ) -> None:
        """Take the end of an attempt or of an open session.

        Args:
            now_ms: the time.
            session: the session.
            outcome: how it ended.
            is_closed: whether the session has ended with it, so that nothing more is to
                be done for it.
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
        """Forget a session that has ended, or whose client has left."""
        session.has_ended = True
        self.admission.in_progress.pop(session, None)
        self._remove_from_server(session)

    def on_load_declared(self, now_ms: float, session: Session, load: float) -> None:
        """Take the load that a client declares for its session."""
        session.load = load

    def on_message_latency(
        self, now_ms: float, session: Session, latency_ms: float
    ) -> None:
        """Take how long a message of a session took."""
        target_ms, server = session.listener.message_target_ms, session.server
        if latency_ms <= target_ms or server is None:
            return
        # Where the path alone takes so long the server is not to blame.
        is_path_slow = self.path_latency.is_slow(now_ms, server, target_ms)
        lateness = 0.0 if is_path_slow else latency_ms / target_ms
        self.load_estimator.record_late_message(now_ms, server, lateness)

    def on_message_unanswered(
        self, now_ms: float, session: Session, waited_ms: float
    ) -> None:
        """Take that a message of a session has had no answer for so long."""
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
        """Take the answer to a probe, or that there was none."""
        sent_ms, server.probe_sent_ms = server.probe_sent_ms, None
        if outcome is AttemptOutcome.COMPLETED:
            if sent_ms is not None:
                self.path_latency.record(now_ms, server, now_ms - sent_ms)
            server.unanswered_probes = 0
            self.load_estimator.record_sample(now_ms, server, report)
        elif outcome is not AttemptOutcome.AT_CAPACITY:
            # One that has too many probes to answer is not unresponsive.
            server.unanswered_probes += 1
            self._on_server_failed(now_ms, server)
        is_answered = outcome in (AttemptOutcome.COMPLETED, AttemptOutcome.AT_CAPACITY)
        self.server_selector.on_probe_result(now_ms, server, is_answered)

    def on_load_report(
        self, now_ms: float, server: Server, report: Sequence[float | None]
    ) -> None:
        """Take a load report that came without a probe."""
        self.load_estimator.record_sample(now_ms, server, report)

    def on_server_activity(self, now_ms: float, server: Server) -> None:
        """Note that something was received from a server."""
        server.last_received_ms, server.unanswered_session = now_ms, None

    def _on_server_failed(self, now_ms: float, server: Server) -> None:
        """Remove a server that is not listed any more and gives no answer either."""
        if server.is_removal_unconfirmed:
            left = self.endpoint_list.confirm_removal(now_ms, server)
            self.slot_table.update(now_ms, [], left, self.endpoint_list.servers)
            self.effects.log("endpoint list: 1 left, unresponsive as well")
