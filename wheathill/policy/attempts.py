"""Makes the attempts of a session, one at a time, and records their outcomes."""

from wheathill.model import Attempt, AttemptOutcome, Server, Session, SessionEffects
from wheathill.policy.load_estimator import LoadEstimator
from wheathill.policy.outlier_detection import OutlierDetector
from wheathill.policy.retry_budget import RetryBudget
from wheathill.policy.settings import TICK_INTERVAL_MS
from wheathill.policy.slot_table import SlotTable
from wheathill.policy.slow_start import SlowStartLimiter
from wheathill.policy.stage import Stage

# Timeout of the first attempt, as a fraction of the time left. It leaves time for a
# retry if the server does not answer, but is long enough that a slow store shared by
# all servers does not get the same request twice.
FIRST_ATTEMPT_TIME_SHARE = 0.6
# A server with a load sample younger than this, in ms, is known to be responsive, and
# its attempt may use all of the time left.
RECENT_SAMPLE_MS = TICK_INTERVAL_MS
# Outcomes that count as failures of the server.
FAILURES = frozenset(
    {
        AttemptOutcome.ERROR,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.TIMED_OUT,
    },
)


class AttemptRunner(Stage):
    """The last stage: makes one attempt at a time, and records its outcome."""

    def __init__(
        self,
        effects: SessionEffects,
        *,
        slot_table: SlotTable,
        load_estimator: LoadEstimator,
        outlier_detector: OutlierDetector,
        slow_start: SlowStartLimiter,
        retry_budget: RetryBudget,
    ) -> None:
        self._effects = effects
        self._slot_table = slot_table
        self._load_estimator = load_estimator
        self._outlier_detector = outlier_detector
        self._slow_start = slow_start
        self._retry_budget = retry_budget

    def enter(self, now_ms: float, session: Session) -> None:
        """Make an attempt at the selected server if the retry budget allows it."""
        if not self._retry_budget.allows(now_ms, session):
            self.previous_stage.on_failed(now_ms, session, None)
            return
        server = _selected_server(session)
        self._retry_budget.record_attempt(now_ms, session)
        session.attempts.append(Attempt(server, now_ms))
        self._slow_start.record_attempt(now_ms, server)
        timeout_ms = session.deadline_ms - now_ms
        is_responsive = (
            self._load_estimator.sample_age_ms(now_ms, server) < RECENT_SAMPLE_MS
        )
        if not is_responsive and len(session.attempts) == 1:
            timeout_ms *= FIRST_ATTEMPT_TIME_SHARE
        self._effects.start_attempt(session, server, timeout_ms)

    def on_accepted(self, now_ms: float, session: Session) -> None:
        """Record that the selected server accepted the session."""
        self.previous_stage.on_accepted(now_ms, session)
        server = _selected_server(session)
        session.accepted_ms = now_ms
        server.sessions[session] = None
        self._slot_table.add_session(now_ms, session)
        self._outlier_detector.record_attempt(now_ms, server, succeeded=True)

    def on_failed(
        self,
        now_ms: float,
        session: Session,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Record the outcome of the last attempt, and pass the session back."""
        attempt = session.attempts[-1]
        attempt.may_have_executed = outcome is None or not outcome.never_executed
        if outcome is AttemptOutcome.NEVER_SENT:
            self._retry_budget.refund_unsent(session)
        if outcome in FAILURES:
            self._outlier_detector.record_attempt(
                now_ms,
                attempt.server,
                succeeded=False,
            )
        self.previous_stage.on_failed(now_ms, session, outcome)


def _selected_server(session: Session) -> Server:
    """Return the server that an earlier stage selected."""
    server = session.server
    assert server is not None
    return server
