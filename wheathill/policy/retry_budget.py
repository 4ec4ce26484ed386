"""The retry budget: limits the retries of a proxy within a sliding window."""

from collections import deque
from typing import NamedTuple

from wheathill.model import Session
from wheathill.policy.settings import RetryBudgetSettings

# Tolerance at both ends of the window, in ms, always applied on the strict side. An
# external observer of the budget may use another clock resolution, and so count events
# at the ends of the window differently.
WINDOW_TOLERANCE_MS = 1.0


class Retry(NamedTuple):
    """A retry that was made or requested.

    Attributes:
        at_ms: when it was made or requested.
        priority_weight: the priority weight of its session's listener.
    """

    at_ms: float
    priority_weight: float


class RetryBudget:
    """Limits retries relative to new sessions, with preference for high priority.

    Within any window, this proxy makes at most `free_retries` retries, plus
    `retries_per_session` for each new session. It is unlimited if no window is
    configured. Budget is reserved for sessions of higher priority weight: a session may
    only use what remains after the retries that those requested in the last window. The
    cause of failures is not considered. If sessions of high priority request many
    retries and then stop, the others get too small a budget for one window.

    Attributes:
        free_retries: retries that are allowed without any session.
        retries_per_session: the retries that each session adds.
        session_times_ms: when the sessions of the last window arrived.
        retries: the retries made in the last window.
        requests: the retries requested in the last window.
        denied: the number of denials since the start.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        """Create a budget with an empty window."""
        self.free_retries = settings.free_retries
        self.retries_per_session = settings.retries_per_session
        self._window_ms = settings.window_ms
        # Without a window retries are not limited, so no history is kept.
        capacity = None if self._window_ms else 0
        self.session_times_ms: deque[float] = deque(maxlen=capacity)
        self.retries: deque[Retry] = deque(maxlen=capacity)
        self.requests: deque[Retry] = deque(maxlen=capacity)
        self.denied = 0

    def record_session(self, now_ms: float) -> None:
        """Count a new session."""
        self.session_times_ms.append(now_ms)
        self._expire(now_ms)

    def request(self, now_ms: float, session: Session) -> bool:
        """Count a retry requested for a session, and return whether it is allowed."""
        self.requests.append(Retry(now_ms, session.listener.priority_weight))
        return self.allows(now_ms, session)

    def allows(self, now_ms: float, session: Session) -> bool:
        """Return whether a session may make its next attempt; the first always may."""
        if not self._window_ms or not session.attempts:
            return True
        self._expire(now_ms)
        weight = session.listener.priority_weight
        requested = sum(retry.priority_weight > weight for retry in self.requests)
        made = sum(retry.priority_weight > weight for retry in self.retries)
        room = (
            self.free_retries
            + self.retries_per_session * len(self.session_times_ms)
            - len(self.retries)
            - max(0, requested - made)
        )
        is_denied = room < 1.0
        self.denied += is_denied
        return not is_denied

    def record_attempt(self, now_ms: float, session: Session) -> None:
        """Count an attempt that is about to be made, if it is a retry."""
        if session.attempts:
            self.retries.append(Retry(now_ms, session.listener.priority_weight))

    def refund_unsent(self, session: Session) -> None:
        """Stop counting the last retry of a session, as it was never sent."""
        if len(session.attempts) <= 1:
            return
        retry = Retry(session.attempts[-1].sent_ms, session.listener.priority_weight)
        if retry in self.retries:
            self.retries.remove(retry)

    def _expire(self, now_ms: float) -> None:
        first_ms = now_ms - self._window_ms + WINDOW_TOLERANCE_MS
        while self.session_times_ms and self.session_times_ms[0] <= first_ms:
            self.session_times_ms.popleft()
        first_ms = now_ms - self._window_ms - WINDOW_TOLERANCE_MS
        for history in (self.retries, self.requests):
            while history and history[0].at_ms < first_ms:
                history.popleft()
