"""All decisions of wheathill.

One `Balancer` decides for one proxy. Whoever carries the sessions calls its `on_*` methods,
one for each thing that happened, with the time in milliseconds first; it answers by calling the
`Actions` of `wheathill/model.py`, where its interface (Server, Session, Listener, AttemptOutcome) is
defined. Nothing here reads a clock, a file or a socket, and no name is ever looked at: a
server's name is only hashed. The mechanism is that of docs/design.md: a slot table after INCAB
(arXiv paper "In-network Congestion-aware Load Balancing at Transport Layer").
"""

import math
from collections import deque
from itertools import chain

from wheathill.model import (
    LIST_CALL_MS,
    LIST_POLL_MAX_MS,
    PROBE_TIMER,
    TICK_TIMER,
    Attempt,
    AttemptOutcome,
    Phase,
    TimerKind,
    UpdateKind,
)
from wheathill.policy.admission import AdmissionControl
from wheathill.policy.attempts import AttemptRunner
from wheathill.policy.endpoint_list import EndpointList
from wheathill.policy.load_estimator import LoadEstimator
from wheathill.policy.outlier_detection import OutlierDetector
from wheathill.policy.path_latency import PathLatency
from wheathill.policy.probing import ProbeScheduler, ProbingConfig
from wheathill.policy.retry_budget import RetryBudget
from wheathill.policy.server_selection import ServerSelector
from wheathill.policy.slot_table import SlotTable
from wheathill.policy.slow_start import SlowStartLimiter
from wheathill.policy.stage import connect_stages


class Balancer:
    """One proxy's decisions: wires the parts and hands them what happens."""

    TICK = 1000.0
    CONNECTION_LIFE = 10_000.0
    EARLY = 5000.0
    MOVE_FROM = 0.9
    SILENCE = 1500.0
    QUIET = 500.0

    def __init__(
        self,
        actions,
        rng,
        *,
        zone,
        proxies,
        report_names,
        may_probe,
        must_ask,
        ask_every,
        drain_grace,
        sized,
        start_share,
        cold_for,
        cold_multiple,
        cold_window,
        most_dials,
        longest_wait,
        crossing_price,
        move_price,
        passes_through,
        budget=None,
        gone_binds=True,
        nines=0.0,
        tells_late=False,
        number=None,
        slots=4096,
    ):
        self.effects, self.passes_through = actions, passes_through
        self.uniform = rng.uniform
        self.slot_table = SlotTable(
            rng.choice,
            size=slots,
            least=4,
            moved_share=0.2,
            hard_time_out=10_000.0,
            keys_kept=4096,
            keys_age=60_000.0,
            zone=zone,
            near=self.nearness(crossing_price, move_price),
            reach=32,
        )
        self.load_estimator = LoadEstimator(
            report_names,
            proxies,
            fresh=5 * self.TICK,
            together=self.TICK,
            floor=5.0,
            late=0.5 * self.TICK,
            full=0.8 - 0.3 * nines,
            late_for=1.5 * self.TICK,
            tells_late=tells_late,
        )
        self.longest_spread = min(ask_every / 2, LIST_POLL_MAX_MS)
        self.endpoint_list = EndpointList(
            actions,
            must_ask,
            min(self.longest_spread, proxies * LIST_CALL_MS),
            drain_grace,
            sized,
            rng.uniform,
            gone_binds,
        )
        self.outlier_detector = OutlierDetector()
        self.path_latency = PathLatency()
        self.slow_start = SlowStartLimiter(
            self.load_estimator,
            start_share,
            cold_for,
            cold_multiple,
            cold_window,
            rng.uniform(0.0, proxies) if number is None else number,
            proxies,
        )
        self.retry_budget = RetryBudget(*(budget or (0.0, 0.0, 0.0)))
        self.admission = AdmissionControl(
            actions,
            rng.uniform,
            self.outlier_detector,
            max_retry_after_ms=longest_wait,
        )
        self.probe_scheduler = ProbeScheduler(
            actions,
            ProbingConfig(
                is_enabled=may_probe,
                priority_load=self.load_estimator.overload_threshold / 2,
            ),
        )
        self.server_selector = ServerSelector(
            actions,
            slot_table=self.slot_table,
            load_estimator=self.load_estimator,
            endpoint_list=self.endpoint_list,
            outlier_detector=self.outlier_detector,
            path_latency=self.path_latency,
            slow_start=self.slow_start,
            retry_budget=self.retry_budget,
            probe_scheduler=self.probe_scheduler,
            max_attempts=most_dials,
        )
        self.attempt_runner = AttemptRunner(
            actions,
            slot_table=self.slot_table,
            load_estimator=self.load_estimator,
            outlier_detector=self.outlier_detector,
            slow_start=self.slow_start,
            retry_budget=self.retry_budget,
        )
        self.due_probes = deque()
        connect_stages(self.admission, self.server_selector, self.attempt_runner)

    @staticmethod
    def nearness(crossing_price, move_price):
        """How much more an own-zone server weighs. Tables that differ by zone cost resets when a
        connection's packets come to another zone, so it must pay well against moving clients."""
        return (
            min(8.0, max(1.0, crossing_price / (2 * move_price))) if move_price else 1.0
        )

    def on_start(self, now):
        self.endpoint_list.start(now)
        self.slow_start.process_started_ms = now
        # Proxies that start together would otherwise probe every server in the same instant.
        self.effects.set_timer(TICK_TIMER, now + self.uniform(0.1, 1.0) * self.TICK)

    def on_endpoint_update(self, now, kind, entries):
        joined, left = self.endpoint_list.update(now, kind, entries)
        self.slot_table.update(
            now, joined, dict.fromkeys(left), self.endpoint_list.servers
        )
        for server in joined:
            # In unlike order at each proxy, or all would probe the same servers first.
            server.last_probe_ms = now - self.uniform(1.0, 2.0) * self.CONNECTION_LIFE
        for what, servers in (("joined", joined), ("left", left)):
            if servers:
                self.effects.log(
                    f"list: {len(servers)} {what}, {len(self.endpoint_list.servers)} ready"
                )

    def set_maintenance(self, now, name, out, server):
        """A server is left out by hand, or put back, also if it is not listed now (`server` None). It drains
        as by list, and comes back as one that has just started: it may have, before any list tells so."""
        held = self.endpoint_list.maintenance_since_ms
        if out:
            held.setdefault(name, now)
        elif name in held:
            self.endpoint_list.maintenance_ended_ms[name] = held.pop(name), now
        if server is not None and (server.phase is Phase.READY) is out:
            self.on_endpoint_update(
                now,
                UpdateKind.MAINTENANCE,
                [(server, server.listed_phase, server.weight, server.started_ms)],
            )

    def on_quota_changed(self, now, share):
        """This proxy's part of what all may do together, as far as it knows who is there."""
        self.load_estimator.set_quota(share)
        self.endpoint_list.poll_spread_ms = min(
            self.longest_spread, LIST_CALL_MS / max(share, 1e-6)
        )

    def on_peer_health_reports(self, now, failing, here):
        """Other proxies' sight: `failing` ones fail for them all and are tried by one session at a time, like
        those that failed here; of those that fail `here` alone the way is to blame, and nothing shared."""
        self.outlier_detector.record_peer_failures(now, failing)
        self.outlier_detector.forget_attempts(here)

    def on_session(self, now, sess):
        # Clients that come again pay for nothing: in trouble each comes many times. Packets of open
        # connections pay: a proxy that takes over from another knows little of what it is handed.
        self.retry_budget.record_session(now)
        if sess.mid_flow or not (sess.is_client_retry or sess.returning):
            self.probe_scheduler.add_session_credit(self.endpoint_list.servers)
        self.admission.enter(now, sess)

    def on_session_taken_over(self, now, sess, server):
        sess.slot = self.slot_table.slot_of(sess)
        sess.server = server
        sess.attempts.append(Attempt(server, now))
        self.attempt_runner.on_accepted(now, sess)

    def on_session_handed_over(self, now, sess, server):
        """A session that another process of this proxy set up."""
        sess.slot = self.slot_table.slot_of(sess)
        sess.server = server
        sess.attempts.append(Attempt(server, sess.accepted_ms))
        server.sessions[sess] = None
        self.slot_table.add_session(now, sess)

    def on_session_accepted(self, now, sess):
        self.attempt_runner.on_accepted(now, sess)

    def on_outcome(self, now, sess, outcome, closed):
        self.forget(sess)
        if outcome is AttemptOutcome.RESET and sess.accepted_ms is not None:
            self.outlier_detector.record_reset(now, sess.server, sess.accepted_ms)
            if now - sess.accepted_ms < self.EARLY:
                self.admission.on_setup_failure(now)
        if closed or sess.has_ended:
            self.on_client_left(now, sess)
        else:
            if outcome is AttemptOutcome.CONNECT_FAILED:
                self.second_witness(now, sess.server)
            self.attempt_runner.on_failed(now, sess, outcome)

    def on_client_left(self, now, sess):
        sess.has_ended = True
        self.admission.in_progress.pop(sess, None)
        self.forget(sess)

    def forget(self, sess):
        if sess.server is not None and sess in sess.server.sessions:
            del sess.server.sessions[sess]
            self.slot_table.remove_session(sess)

    def on_load_declared(self, now, sess, load):
        sess.load = load

    def on_message_latency(self, now, sess, message_ms):
        if message_ms > sess.listener.message_target_ms and sess.server:
            # Where the way alone takes so long the server is not to blame.
            far = self.path_latency.is_slow(
                now, sess.server, sess.listener.message_target_ms
            )
            self.load_estimator.record_late_message(
                now,
                sess.server,
                0.0 if far else message_ms / sess.listener.message_target_ms,
            )

    def on_probe_result(self, now, server, outcome, report):
        sent, server.probe_sent_ms = server.probe_sent_ms, None
        if outcome is AttemptOutcome.COMPLETED:
            if sent is not None:
                self.path_latency.record(now, server, now - sent)
            server.unanswered_probes = 0
            self.load_estimator.record_sample(now, server, report)
        elif outcome is not AttemptOutcome.AT_CAPACITY:
            # One that has too many probes to answer is not a silent one.
            server.unanswered_probes += 1
            self.second_witness(now, server)
        self.server_selector.on_probe_result(
            now,
            server,
            outcome in (AttemptOutcome.COMPLETED, AttemptOutcome.AT_CAPACITY),
        )

    def second_witness(self, now, server):
        if server.is_removal_unconfirmed:
            left = {}
            self.endpoint_list.mark_leaving(now, server, Phase.GONE, left)
            self.endpoint_list.keep_ready()
            self.slot_table.update(now, [], left, self.endpoint_list.servers)
            self.effects.log("list: 1 left, it gives no answer either")

    def on_load_report(self, now, server, report):
        self.load_estimator.record_sample(now, server, report)

    def on_message_unanswered(self, now, sess, waited):
        """A line got nothing back: its server or the way there is gone without a word. Where two wait and
        nothing at all came from there meanwhile, the others need not find out one by one."""
        server = sess.server
        if waited >= self.SILENCE:
            self.effects.migrate(sess)
        elif (
            now - server.last_received_ms >= self.QUIET
            and server.unanswered_session not in (None, sess)
        ):
            server.unanswered_probes = 2 if self.probe_scheduler.is_enabled else 0
            self.effects.log(
                f"move: {len(server.sessions)} connections off a server that says nothing"
            )
            self.send_away(list(server.sessions), 1)
        server.unanswered_session = sess

    def on_server_activity(self, now, server):
        server.last_received_ms, server.unanswered_session = now, None

    def on_stop(self, now, last):
        """Asked again and again until the end, so that those accepted meanwhile are sent away as well. Where
        packets pass through, connections go on without this proxy."""
        if not self.passes_through:
            self.send_away(
                [sess for held in self.slot_table.sessions for sess in held],
                1 if last else 4,
            )

    def send_away(self, sessions, parts):
        """Clients are told to move before their server leaves, or this proxy. A part at a time: all of them
        are set up anew, and at once they would swamp what set-ups depend on."""
        for sess in sessions[: math.ceil(len(sessions) / parts)]:
            self.effects.migrate(sess)

    def on_timer(self, now, timer):
        if timer.kind is TimerKind.POLL_ENDPOINT_LIST:
            self.endpoint_list.poll(now)
        elif timer.kind is TimerKind.TICK:
            self.effects.set_timer(TICK_TIMER, now + self.TICK)
            self.tick(now)
        elif timer.kind is TimerKind.PROBE_WAIT:
            self.server_selector.on_probe_timeout(now, timer.selection_number)
        elif self.due_probes:
            server = self.due_probes.popleft()
            if server.phase is Phase.READY:
                self.probe_scheduler.send(now, server)

    def tick(self, now):
        self.slot_table.finish_transitions(now)
        self.load_estimator.update_report_corrections(now, self.endpoint_list.servers)
        warm = [
            server
            for server in self.endpoint_list.servers
            if not self.slow_start.is_warming(now, server)
        ]
        self.load_estimator.update_capacity_estimate(now, warm)
        levels = self.load_estimator.levels(now, self.endpoint_list.servers)
        shifted = self.slot_table.shift_slots(
            now,
            levels,
            self.CONNECTION_LIFE,
            lambda server: (
                not self.outlier_detector.is_outlier(now, server)
                and not self.slow_start.is_warming(now, server)
            ),
        )
        if shifted:
            self.effects.log(
                f"shift: {shifted[1]} slots off a server on level {levels[shifted[0]]}"
            )
        self.relieve(now)
        self.slot_table.active_servers = {
            server: None for server in self.slot_table.active_servers if server.sessions
        }
        for server in [
            server
            for server in self.slot_table.active_servers
            if server.phase is Phase.DRAINING
        ]:
            # In three ticks: servers were seen to end 3.2 s after this proxy was told.
            self.send_away(
                list(server.sessions),
                max(1, 3 - int((now - server.leaving_since_ms) / self.TICK)),
            )
        due = self.probe_scheduler.select_due(
            now,
            self.endpoint_list.servers,
            self.load_estimator.loads(now, self.endpoint_list.servers),
        )
        self.due_probes = deque(due)
        for place in range(len(due)):
            self.effects.set_timer(
                PROBE_TIMER, now + self.TICK * (place + 0.5) / len(due)
            )

    def relieve(self, now):
        """Exception: polite moves off an overdriven server. Shifted slots only help sessions to come, and
        connections outlive the trouble. They act from the load at which messages miss while other servers
        have room, and from full capacity in any case: past it nobody there is served, and those
        who must wait outside cost less. Whole slots go, so that a group is not spread; half the excess
        at a time, since reports lag behind the moves, but all of it past full capacity."""
        full = self.load_estimator.overload_threshold
        loads = {
            server: load
            for server, load in self.load_estimator.loads(
                now, self.endpoint_list.servers
            ).items()
            if self.load_estimator.reports_utilisation
            and not self.outlier_detector.is_unresponsive(server)
        }
        room = sum(full - load for load in loads.values()) > 0
        late = [
            server
            for server in self.endpoint_list.servers
            if self.load_estimator.is_late(now, server)
        ]
        for server in dict.fromkeys(chain(loads, late)):
            load = loads.get(server, 1.0)
            if (
                load < (self.MOVE_FROM if room else 1.0)
                or now < server.next_migration_ms
            ):
                continue
            excess = 1 - (0.75 if room else 1.0) * full / load
            # By chance in proportion: rounded up by hundreds of proxies that hold one each, all would go.
            share = excess if load >= 1.0 else excess / 2
            count = int(len(server.sessions) * share + self.uniform(0.0, 1.0))
            for sess in sorted(
                server.sessions,
                key=lambda sess: (
                    self.slot_table.preferred_servers[sess.slot] is server,
                    -self.slot_table.claim_scores[sess.slot],
                ),
            )[:count]:
                self.effects.migrate(sess)
            if count:
                server.next_migration_ms = now + 2 * self.TICK
                self.effects.log(
                    f"move: {count} connections off a server at {load:.1f} of its capacity"
                )
