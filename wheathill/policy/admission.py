"""Admission control: lets sessions in, and gives the final answer at last."""

import math
from collections.abc import Callable

from wheathill.model import AttemptOutcome, Session, SessionEffects
from wheathill.policy.outlier_detection import OutlierDetector
from wheathill.policy.retry_rules import may_reject
from wheathill.policy.settings import EARLY_RESET_MS
from wheathill.policy.stage import Stage

# Limits of the sessions that may be in set-up at once. Below one, set-ups are spaced
# instead: among hundreds of proxies one each is still too many.
MAX_CONCURRENCY = 256
MIN_CONCURRENCY = 1 / 32
# The mean pause between two set-ups where the limit is one, in ms; it grows as the
# limit falls below that.
SPACING_MS = 250.0
# The limit is halved once in this time at most, in ms: failures of set-ups that started
# before it was halved say nothing of the new limit.
REDUCTION_INTERVAL_MS = 500.0
# For so long after it was halved the limit does not grow, in ms.
REDUCTION_HOLD_MS = EARLY_RESET_MS


class AdmissionControl(Stage):
    """Takes a session in, and gives its final answer when no later stage could.

    Exception: while set-ups fail at many servers, the number of sessions in set-up is
    limited. The limit is halved as set-ups fail and grows as they succeed, additively
    from one on and doubling below. Clients that return together would otherwise keep
    overloaded what all set-ups depend on.

    Attributes:
        in_progress: the sessions that have not got their result yet, oldest first.
        concurrency_limit: how many there may be.
        limit_reduced_ms: when the limit was last halved.
        next_admission_ms: no session is admitted before this time.
    """

    def __init__(
        self,
        effects: SessionEffects,
        uniform: Callable[[float, float], float],
        outlier_detector: OutlierDetector,
        max_retry_after_ms: float,
    ) -> None:
        self._effects = effects
        self._uniform = uniform
        self._outlier_detector = outlier_detector
        self._max_retry_after_ms = max_retry_after_ms
        self.in_progress: dict[Session, None] = {}
        self.concurrency_limit = float(MAX_CONCURRENCY)
        self.limit_reduced_ms = -math.inf
        self.next_admission_ms = -math.inf

    def enter(self, now_ms: float, session: Session) -> None:
        """Admit a session, or reject it where it came too late or the limit is reached.

        A session whose packets came from another proxy is set up already, and does not
        fall under the limit.
        """
        is_limited = (
            len(self.in_progress) >= max(1.0, self.concurrency_limit)
            or now_ms < self.next_admission_ms
        )
        if session.deadline_ms <= now_ms or (is_limited and not session.mid_flow):
            self.on_failed(now_ms, session, None)
            return
        self.in_progress[session] = None
        self._space_admissions(now_ms)
        self.next_stage.enter(now_ms, session)

    def _space_admissions(self, now_ms: float) -> None:
        if self.concurrency_limit < 1.0:
            pause_ms = SPACING_MS / self.concurrency_limit * self._uniform(0.5, 1.5)
            self.next_admission_ms = now_ms + pause_ms

    def on_accepted(self, now_ms: float, session: Session) -> None:
        """Raise the limit, unless it was halved a short while ago."""
        self.in_progress.pop(session, None)
        if now_ms >= self.limit_reduced_ms + REDUCTION_HOLD_MS:
            limit = self.concurrency_limit
            self.concurrency_limit = min(
                MAX_CONCURRENCY,
                limit + min(limit, 1 / limit),
            )

    def on_setup_failure(self, now_ms: float) -> None:
        """Halve the limit where the failure has a cause that all servers share."""
        if (
            not self._outlier_detector.has_common_cause(now_ms)
            or now_ms < self.limit_reduced_ms + REDUCTION_INTERVAL_MS
        ):
            return
        in_use = min(self.concurrency_limit, max(1, len(self.in_progress)))
        self.concurrency_limit = max(MIN_CONCURRENCY, in_use / 2)
        self.limit_reduced_ms = now_ms
        self._space_admissions(now_ms)
        self._effects.log(
            f"admission: at most {self.concurrency_limit:.2g} concurrent set-ups",
        )

    def on_failed(
        self,
        now_ms: float,
        session: Session,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Give the session its final answer."""
        self.in_progress.pop(session, None)
        if outcome in (AttemptOutcome.ERROR, AttemptOutcome.TIMED_OUT):
            self.on_setup_failure(now_ms)
        session.has_ended = True
        if may_reject(session):
            wait_ms = max(
                session.listener.handshake_target_ms,
                self.next_admission_ms - now_ms,
            )
            self._effects.reject(session, min(self._max_retry_after_ms, wait_ms))
        else:
            self._effects.fail(session)
