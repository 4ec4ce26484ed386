"""Selects the server for each attempt of a session."""

import enum
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from itertools import chain

from wheathill.model import (
    AttemptOutcome,
    Server,
    Session,
    SessionEffects,
    Timer,
    TimerKind,
)
from wheathill.policy.endpoint_list import EndpointList
from wheathill.policy.load_estimator import LoadEstimator
from wheathill.policy.outlier_detection import OutlierDetector
from wheathill.policy.path_latency import PathLatency
from wheathill.policy.probing import ProbeScheduler
from wheathill.policy.retry_budget import RetryBudget
from wheathill.policy.retry_rules import may_retry
from wheathill.policy.settings import TICK_INTERVAL_MS
from wheathill.policy.slot_table import SlotTable
from wheathill.policy.slow_start import SlowStartLimiter
from wheathill.policy.stage import Stage

# Maximum number of probes per session. After that, a server of unknown load gets the
# attempt without a probe.
MAX_PROBES_PER_SESSION = 4
# Maximum age of a load report that makes a probe unnecessary, in ms.
RECENT_LOAD_MS = 0.4 * TICK_INTERVAL_MS
# Time for which a server without capacity is not probed again, in ms. It is unlikely to
# have capacity already, and retried sessions used to probe the same full servers.
FULL_SERVER_LIFETIME_MS = 4 * RECENT_LOAD_MS
# Time that a session waits for the answer to a probe, as a fraction of the handshake
# target or of its time left, whichever is shorter.
PROBE_WAIT_SHARE = 1 / 4
# No probe is sent if less than this fraction of the listener's dial timeout is left.
MIN_TIME_SHARE_FOR_PROBE = 1 / 2
# Overload threshold of a server that has no session of the session's group, as a
# fraction of the usual threshold: the value for the first candidate, the reduction per
# further candidate considered, and the minimum.
GROUP_THRESHOLD_SHARE = 0.85
GROUP_THRESHOLD_STEP = 0.07
GROUP_THRESHOLD_MIN_SHARE = 0.45


class CandidateAction(enum.Enum):
    """What to do with a candidate."""

    SKIP = enum.auto()
    PROBE = enum.auto()
    ATTEMPT = enum.auto()


@dataclass(slots=True, eq=False)
class PendingSelection:
    """A session that waits for the answer to a probe of a server."""

    session: Session
    server: Server


class ServerSelector(Stage):
    """The second stage: selects a server for the first attempt and for each retry."""

    def __init__(
        self,
        effects: SessionEffects,
        *,
        slot_table: SlotTable,
        load_estimator: LoadEstimator,
        endpoint_list: EndpointList,
        outlier_detector: OutlierDetector,
        path_latency: PathLatency,
        slow_start: SlowStartLimiter,
        retry_budget: RetryBudget,
        probe_scheduler: ProbeScheduler,
        max_attempts: int,
    ) -> None:
        self._effects = effects
        self._slot_table = slot_table
        self._load_estimator = load_estimator
        self._endpoint_list = endpoint_list
        self._outlier_detector = outlier_detector
        self._path_latency = path_latency
        self._slow_start = slow_start
        self._retry_budget = retry_budget
        self._probe_scheduler = probe_scheduler
        self._max_attempts = max_attempts
        self._waiting_sessions: dict[Server, dict[Session, None]] = {}
        # Keyed by the selection number of the timer; removed when the timer fires.
        self._pending: dict[int, PendingSelection] = {}
        self._last_pending_number = 0

    def enter(self, now_ms: float, session: Session) -> None:
        """Select a server for the first attempt of a session.

        A server keeps a mid-flow connection for a short time only, so the server that
        should have it gets the attempt at once, even if it is an outlier. The limit of
        slow start still applies: if that server does not have the connection, the
        session is set up there anew.
        """
        session.slot = self._slot_table.slot_of(session)
        if session.mid_flow:
            server = self._slot_table.find_mid_flow(session.key, session.slot)
            if (
                server is not None
                and self._endpoint_list.may_attempt(now_ms, server, True)
                and self._slow_start.allows(now_ms, server)
            ):
                self._start_attempt(now_ms, session, server)
                return
        session.candidates = self._candidates(now_ms, session)
        self._select(now_ms, session, session.candidates)

    def _candidates(self, now_ms: float, session: Session) -> Iterator[Server]:
        """Yield the servers that the session may go to, the slot table's server first.

        It is followed by the servers that have sessions of the same group, and by those
        of the following slots. They are used if the slot table's server is an outlier,
        was tried before, is leaving, is warming up and at its limit, or is overloaded,
        since shifting slots would take effect too late.
        """
        first = self._slot_table.assign(now_ms, session.key, session.slot)
        seen = {attempt.server for attempt in session.attempts}
        holders = list(self._group_holders(session))
        following = self._slot_table.following_servers(session.slot)
        for server in chain((first,), holders, following):
            if server is not None and server not in seen:
                seen.add(server)
                yield server

    def _select(
        self,
        now_ms: float,
        session: Session,
        candidates: Iterable[Server],
        probed: Server | None = None,
    ) -> None:
        """Start an attempt at the first suitable candidate, or a probe of it.

        Without a suitable server or a fallback the session is passed back: beyond that
        load messages are late, and one more session costs the open ones more than it
        gains.

        Args:
            now_ms: the monotonic time.
            session: the session.
            candidates: the servers to consider.
            probed: the candidate that has just answered the session's probe, if any.
        """
        for server in candidates:
            if not self.is_eligible(now_ms, session, server):
                continue
            action = self._evaluate_candidate(now_ms, session, server, server is probed)
            if action is CandidateAction.ATTEMPT:
                self._start_attempt(now_ms, session, server)
                return
            if action is CandidateAction.PROBE:
                self._send_probe(now_ms, session, server)
                return
        self._use_fallback(now_ms, session)

    def is_eligible(self, now_ms: float, session: Session, server: Server) -> bool:
        """Whether phase, retry rules and slow start allow an attempt at a server."""
        return (
            self._endpoint_list.may_attempt(now_ms, server, False)
            and may_retry(now_ms, session, server)
            and self._slow_start.allows(now_ms, server)
        )

    def _evaluate_candidate(
        self,
        now_ms: float,
        session: Session,
        server: Server,
        is_probed: bool,
    ) -> CandidateAction:
        """Return what to do with a candidate, and record it as a fallback if suitable.

        If most servers look like outliers the cause is a shared one, and moving their
        load to the others would not help. The last fallback is therefore an outlier
        that answers probes.
        """
        is_slow = self._path_latency.is_slow(
            now_ms,
            server,
            session.listener.message_target_ms,
        )
        if self._outlier_detector.is_outlier(now_ms, server):
            if (
                session.unhealthy_candidate is None
                and not self._outlier_detector.is_unresponsive(server)
            ):
                session.unhealthy_candidate = server
            return CandidateAction.SKIP
        if not is_slow:
            session.preferred_server = session.preferred_server or server
            if not is_probed:
                session.candidates_considered += 1
                if self._needs_probe(now_ms, session, server):
                    return CandidateAction.PROBE
        if not self._has_capacity(now_ms, session, server):
            session.found_full_server = True
        elif not is_slow:
            return CandidateAction.ATTEMPT
        elif session.slow_path_candidate is None:
            session.slow_path_candidate = server
        return CandidateAction.SKIP

    def _use_fallback(self, now_ms: float, session: Session) -> None:
        """Try a server on a slow path, then an outlier, else pass the session back."""
        unhealthy = None if session.found_full_server else session.unhealthy_candidate
        for server in (session.slow_path_candidate, unhealthy):
            if server is not None and self.is_eligible(now_ms, session, server):
                session.slow_path_candidate = session.unhealthy_candidate = None
                self._start_attempt(now_ms, session, server)
                return
        self.previous_stage.on_failed(now_ms, session, None)

    def _needs_probe(self, now_ms: float, session: Session, server: Server) -> bool:
        """Whether a server has to be probed before an attempt there.

        A server without a recent load report is probed first. Among hundreds of
        proxies, each one has too few sessions for the probe credit to cover every
        server, and would not observe the load that the other proxies add. The probe
        also detects an unresponsive server. No probe is sent with little time left, and
        the number of probes per session is limited.
        """
        if (
            session.probes_requested >= MAX_PROBES_PER_SESSION
            or not self._probe_scheduler.is_enabled
            or not self._load_estimator.reports_utilisation
        ):
            return False
        age_ms = self._load_estimator.sample_age_ms(now_ms, server)
        return (
            age_ms > RECENT_LOAD_MS
            and not self._load_estimator.has_late_messages(now_ms, server)
            and (
                age_ms > FULL_SERVER_LIFETIME_MS
                or self._has_capacity(now_ms, session, server)
            )
            and session.deadline_ms - now_ms
            > session.listener.dial_timeout_ms * MIN_TIME_SHARE_FOR_PROBE
        )

    def _has_capacity(self, now_ms: float, session: Session, server: Server) -> bool:
        """Whether a server is expected to have capacity for the session.

        If the preferred server has no capacity, the same is assumed of servers whose
        load is unknown. Otherwise such servers would take all sessions that no other
        server has capacity for, and each further server that takes sessions of a group
        would add the cost of the group although all servers are full.
        """
        estimator = self._load_estimator
        if (
            server is not session.preferred_server
            and self._probe_scheduler.is_enabled
            and estimator.reports_utilisation
            and estimator.load(now_ms, server) is None
        ):
            return False
        threshold = estimator.overload_threshold
        if session.group is not None:
            threshold *= self._group_threshold_share(session, server)
        return estimator.expected_load(
            now_ms, server
        ) < threshold and not estimator.has_late_messages(now_ms, server)

    def _group_threshold_share(self, session: Session, server: Server) -> float:
        """Return the fraction of the overload threshold that applies to a session.

        A further session of a group costs far less at a server that has sessions of
        that group. A group without sessions through this proxy probably has some
        through other proxies, at the server of its slot.
        """
        if server in self._group_holders(session):
            return 1.0
        return max(
            GROUP_THRESHOLD_MIN_SHARE,
            GROUP_THRESHOLD_SHARE
            - GROUP_THRESHOLD_STEP * (session.candidates_considered - 1),
        )

    def _group_holders(self, session: Session) -> Collection[Server]:
        """Return the servers that have sessions of the group through this proxy."""
        if session.group is None:
            return ()
        return self._slot_table.group_holders.get(session.group, ())

    def _send_probe(self, now_ms: float, session: Session, server: Server) -> None:
        """Probe a server, and suspend the selection until it answers."""
        session.probes_requested += 1
        self._waiting_sessions.setdefault(server, {})[session] = None
        self._last_pending_number += 1
        number = self._last_pending_number
        self._pending[number] = PendingSelection(session, server)
        wait_ms = PROBE_WAIT_SHARE * min(
            session.listener.handshake_target_ms,
            session.deadline_ms - now_ms,
        )
        self._effects.set_timer(Timer(TimerKind.PROBE_WAIT, number), now_ms + wait_ms)
        self._probe_scheduler.send(now_ms, server)

    def on_probe_result(self, now_ms: float, server: Server, is_alive: bool) -> None:
        """Resume the selections that wait for a probe of this server."""
        for session in self._waiting_sessions.pop(server, ()):
            self._resume(now_ms, session, server, is_alive)

    def on_probe_timeout(self, now_ms: float, number: int) -> None:
        """Resume a selection whose probe was not answered in time."""
        pending = self._pending.pop(number)
        waiting = self._waiting_sessions.get(pending.server, {})
        if pending.session in waiting:
            del waiting[pending.session]
            self._resume(now_ms, pending.session, pending.server, is_alive=False)

    def _resume(
        self,
        now_ms: float,
        session: Session,
        server: Server,
        is_alive: bool,
    ) -> None:
        if session.has_ended:
            return
        candidates = session.candidates or ()
        if is_alive:
            self._select(now_ms, session, chain((server,), candidates), probed=server)
            return
        if session.unhealthy_candidate is None:
            session.unhealthy_candidate = server
        self._select(now_ms, session, candidates)

    def _start_attempt(self, now_ms: float, session: Session, server: Server) -> None:
        session.server = server
        self.next_stage.enter(now_ms, session)

    def on_failed(
        self,
        now_ms: float,
        session: Session,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Retry at another server, if that is allowed and may succeed."""
        if not self._should_retry(now_ms, session, outcome):
            self.previous_stage.on_failed(now_ms, session, outcome)
            return
        session.candidates = session.candidates or self._candidates(now_ms, session)
        self._select(now_ms, session, session.candidates)

    def _should_retry(
        self,
        now_ms: float,
        session: Session,
        outcome: AttemptOutcome | None,
    ) -> bool:
        """Whether to retry; the retry budget counts the request if one is useful.

        A failed connection does not indicate a common cause: only that server is gone.
        """
        if outcome is None or outcome is AttemptOutcome.CANCELLED:
            return False
        if outcome is not AttemptOutcome.CONNECT_FAILED and (
            self._outlier_detector.has_common_cause(now_ms)
        ):
            return False
        return (
            len(session.attempts) < self._max_attempts
            and session.deadline_ms > now_ms
            and self._retry_budget.request(now_ms, session)
        )
