"""The retry budget: how many retries a proxy may make in a window."""

from collections import deque
from typing import NamedTuple

from wheathill.model import Session
from wheathill.policy.settings import RetryBudgetSettings

# Whoever counts retries does so in units of its own, so that events at either end of
# the window may be in it or not: the stricter reading counts, by this many ms.
WINDOW_TOLERANCE_MS = 1.0


class Retry(NamedTuple):
    """A retry that was made or requested.

    Attributes:
        at_ms: when.
        priority_weight: that of its session.
    """

    at_ms: float
    priority_weight: float


class RetryBudget:
    """Rule 5, where it is stated.

    Within any window, this proxy's retries number at most `free_retries` plus
    `retries_per_session` for each session that it took. Sessions of more priority go
    first: one of less is retried only with what the others leave, at the rate at which
    they requested retries of late. No form of trouble is looked at; where sessions of
    priority request many retries and then stop, the others find too little for one
    window.

    Attributes:
        free_retries: retries that no session has to pay for.
        retries_per_session: what each session adds.
        session_times_ms: when the sessions of the last window came.
        retries: those that were made in it.
        requests: those that were requested in it.
        denied: how many retries were denied since the start.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        """Begin with an empty window."""
        self.free_retries = settings.free_retries
        self.retries_per_session = settings.retries_per_session
        self._window_ms = settings.window_ms
        # Without a window nothing is limited, so that nothing need be kept.
        capacity = None if self._window_ms else 0
        self.session_times_ms: deque[float] = deque(maxlen=capacity)
        self.retries: deque[Retry] = deque(maxlen=capacity)
        self.requests: deque[Retry] = deque(maxlen=capacity)
        self.denied = 0

    def record_session(self, now_ms: float) -> None:
        """Count a session that was taken."""
        self.session_times_ms.append(now_ms)
        self._expire(now_ms)

    def request(self, now_ms: float, session: Session) -> bool:
        """Count a retry that a session needs, and return whether it is allowed."""
        self.requests.append(Retry(now_ms, session.listener.priority_weight))
        return self.allows(now_ms, session)

    def allows(self, now_ms: float, session: Session) -> bool:
        """Return whether a session may have its next attempt; the first one is free."""
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
        """Count an attempt that is about to be made, where it is a retry."""
        if session.attempts:
            self.retries.append(Retry(now_ms, session.listener.priority_weight))

    def refund_unsent(self, session: Session) -> None:
        """Take back the last retry of a session, as it was never sent."""
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
