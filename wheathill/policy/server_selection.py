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

# How many servers are probed for one session at most. With none left, servers whose
# load is not known get the attempt.
MAX_PROBES_PER_SESSION = 4
# A load that was reported within this time counts as known, in ms.
RECENT_LOAD_MS = 0.4 * TICK_INTERVAL_MS
# A server that had no capacity is not probed again for this time, in ms: it hardly has
# any now, and sessions that were retried met the same servers without capacity.
FULL_SERVER_LIFETIME_MS = 4 * RECENT_LOAD_MS
# A session waits for this part of its time for the answer to a probe.
PROBE_WAIT_SHARE = 1 / 4
# With less than this part of the listener's dial timeout left, no probe is sent.
MIN_TIME_SHARE_FOR_PROBE = 1 / 2
# A server that does not hold the session's group is taken as full at this part of the
# usual threshold where it is the first candidate; less by the second for each candidate
# passed before it, down to the third.
GROUP_THRESHOLD_SHARE = 0.85
GROUP_THRESHOLD_STEP = 0.07
GROUP_THRESHOLD_MIN_SHARE = 0.45


class Choice(enum.Enum):
    """What to do with a candidate."""

    SKIP = enum.auto()
    PROBE = enum.auto()
    ATTEMPT = enum.auto()


@dataclass(slots=True, eq=False)
class PendingSelection:
    """A session that waits until a server has answered a probe."""

    session: Session
    server: Server


class ServerSelector(Stage):
    """Selects the slot table's server for the first attempt, and others for retries."""

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
        # Each stays until its timer fires, by the number that the timer carries.
        self._pending: dict[int, PendingSelection] = {}
        self._last_pending_number = 0

    def enter(self, now_ms: float, session: Session) -> None:
        """Select a server for the first attempt of a session.

        A server keeps a connection whose packets arrive mid-flow for a short time only:
        it gets the attempt at once, whether it is an outlier or not. Only a server that
        is warming up keeps its limit: where the guess is wrong, the connection is set
        up anew there.
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
        """Yield the servers that the session may go to, the preferred one first.

        Exception: where the slot table's server is not suitable, those that hold the
        session's group here, then those of the slots after its own. They act only for
        outliers, for servers that were tried or are leaving, for warming ones past
        their limit, and for overloaded ones: shifting slots comes too late for those.
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
        """Attempt the first suitable candidate, or probe it first.

        With no server left the session is rejected: past that load messages are late,
        so that one more session costs those that are placed more than it gains.

        Args:
            now_ms: the monotonic time.
            session: the session.
            candidates: the servers to consider.
            probed: one of the candidates that has just answered the session's probe.
        """
        for server in candidates:
            if not self.is_eligible(now_ms, session, server):
                continue
            choice = self._choose(now_ms, session, server, server is probed)
            if choice is Choice.ATTEMPT:
                self._start_attempt(now_ms, session, server)
                return
            if choice is Choice.PROBE:
                self._send_probe(now_ms, session, server)
                return
        self._use_fallback(now_ms, session)

    def is_eligible(self, now_ms: float, session: Session, server: Server) -> bool:
        """Whether the rules allow an attempt of the session at a server."""
        return (
            self._endpoint_list.may_attempt(now_ms, server, False)
            and may_retry(now_ms, session, server)
            and self._slow_start.allows(now_ms, server)
        )

    def _choose(
        self,
        now_ms: float,
        session: Session,
        server: Server,
        is_probed: bool,
    ) -> Choice:
        """Return what to do with a candidate, and note those that serve as fallback.

        When most servers look like outliers the cause is shared, and crowding the rest
        would not cure it: an outlier that answers probes is the last fallback.
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
            return Choice.SKIP
        if not is_slow:
            session.preferred_server = session.preferred_server or server
            if not is_probed:
                session.candidates_considered += 1
                if self._needs_probe(now_ms, session, server):
                    return Choice.PROBE
        if not self._has_capacity(now_ms, session, server):
            session.found_full_server = True
        elif not is_slow:
            return Choice.ATTEMPT
        elif session.slow_path_candidate is None:
            session.slow_path_candidate = server
        return Choice.SKIP

    def _use_fallback(self, now_ms: float, session: Session) -> None:
        """Attempt a server on a slow path or an outlier, else hand the session back."""
        unhealthy = None if session.found_full_server else session.unhealthy_candidate
        for server in (session.slow_path_candidate, unhealthy):
            if server is not None and self.is_eligible(now_ms, session, server):
                session.slow_path_candidate = session.unhealthy_candidate = None
                self._start_attempt(now_ms, session, server)
                return
        self.previous_stage.on_failed(now_ms, session, None)

    def _needs_probe(self, now_ms: float, session: Session, server: Server) -> bool:
        """Whether a server's load must be known before the session goes there.

        Exception: a server whose load is not known from a moment ago is probed first.
        Among hundreds of proxies each sees too few sessions to pay for following every
        server's load, so that what the others sent meanwhile would not be noticed; an
        unresponsive server shows as well. Not with little time left, and only a few
        times for each session.
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
        """Whether a server can be expected to have capacity for the session.

        Of a server whose load is not known, after others had no capacity, the same is
        to be expected: given attempts all the same, such servers took what no other had
        capacity for, and each new holder of a group added its cost to a full fleet.
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
        """Return the part of the overload threshold that counts for a group's session.

        A server that holds the session's group takes another member for far less than
        one that does not. What is not held through this proxy is likely held through
        others, where its slot leads.
        """
        if server in self._group_holders(session):
            return 1.0
        return max(
            GROUP_THRESHOLD_MIN_SHARE,
            GROUP_THRESHOLD_SHARE
            - GROUP_THRESHOLD_STEP * (session.candidates_considered - 1),
        )

    def _group_holders(self, session: Session) -> Collection[Server]:
        """Return the servers that hold the session's group through this proxy."""
        if session.group is None:
            return ()
        return self._slot_table.group_holders.get(session.group, ())

    def _send_probe(self, now_ms: float, session: Session, server: Server) -> None:
        """Probe a server, and let the session wait for its answer."""
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
        """Go on with the sessions that wait for a server's answer."""
        for session in self._waiting_sessions.pop(server, ()):
            self._resume(now_ms, session, server, is_alive)

    def on_probe_timeout(self, now_ms: float, number: int) -> None:
        """Go on with a session that has waited for long enough."""
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
        """Retry at another server where that is allowed and has a chance."""
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
        """Whether to retry; every retry that is wanted is noted by the retry budget.

        A failed connection is no sign of a common cause: the server alone is gone.
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
