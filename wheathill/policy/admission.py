"""Admission control: admits sessions, and rejects or fails those not placed."""

import math
from collections.abc import Callable

from wheathill.model import AttemptOutcome, Session, SessionEffects
from wheathill.policy.outlier_detection import OutlierDetector
from wheathill.policy.retry_rules import may_reject
from wheathill.policy.settings import EARLY_RESET_MS
from wheathill.policy.stage import Stage

# Bounds of the concurrency limit, in sessions being set up. Below 1, set-ups are spaced
# in time instead, as one set-up at each of hundreds of proxies is still too many.
MAX_CONCURRENCY = 256
MIN_CONCURRENCY = 1 / 32
# Mean interval between two set-ups at a concurrency limit of 1, in ms. It is inversely
# proportional to the limit below that.
ADMISSION_INTERVAL_MS = 250.0
# Minimum time between two reductions of the limit, in ms. Failures of set-ups that
# started before a reduction say nothing about the new limit.
REDUCTION_INTERVAL_MS = 500.0
# Time after a reduction during which the limit is not raised, in ms.
REDUCTION_HOLD_MS = EARLY_RESET_MS


class AdmissionControl(Stage):
    """The first stage: admits sessions, and rejects or fails those not placed.

    While set-ups fail at many servers, the number of sessions being set up is limited.
    The limit is halved when set-ups fail. It grows when they succeed: additively from 1
    on, and by doubling below 1. Without it, clients that reconnect at the same time
    would keep a dependency that all set-ups share overloaded.

    Attributes:
        in_progress: the sessions that are being set up, oldest first.
        concurrency_limit: the maximum number of sessions being set up.
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
        """Admit a session, unless its deadline has passed or the limit is reached.

        The limit does not apply to a mid-flow session, as it is already set up.
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
            pause_ms = (
                ADMISSION_INTERVAL_MS / self.concurrency_limit * self._uniform(0.5, 1.5)
            )
            self.next_admission_ms = now_ms + pause_ms

    def on_accepted(self, now_ms: float, session: Session) -> None:
        """Raise the limit, unless it was reduced recently."""
        self.in_progress.pop(session, None)
        if now_ms >= self.limit_reduced_ms + REDUCTION_HOLD_MS:
            limit = self.concurrency_limit
            self.concurrency_limit = min(
                MAX_CONCURRENCY,
                limit + min(limit, 1 / limit),
            )

    def on_setup_failure(self, now_ms: float) -> None:
        """Halve the limit if set-up failures have a cause common to all servers."""
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
        """Reject or fail the session."""
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
