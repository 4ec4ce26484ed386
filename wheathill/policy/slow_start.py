"""Slow start: limits attempts to servers that are still warming up."""

import math
from collections.abc import Callable

from wheathill.model import Server
from wheathill.policy.load_estimator import LoadEstimator
from wheathill.policy.settings import SlowStartSettings

# Multiples of the golden ratio fill the circle evenly (Steinhaus's three gap theorem).
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
# A quarter of what a server can take is left for retries, probes and handshakes.
PERMITTED_PART = 0.75
# A hash draw is a 16-bit number.
HASH_DRAW_RANGE = 2**16


class SlowStartLimiter:
    """Rule 4: this proxy's part of what a server that has just started can take.

    A part of less than one attempt is neither rounded up nor kept for later: in a herd
    all proxies would use theirs at once. The windows in which it makes a whole attempt
    go by the proxy's index, so that the sum over all is right though the proxies can't
    communicate (docs/design/cold-servers.md).

    Attributes:
        proxy_count: how many proxies there are.
        proxy_index: this one's number among them.
        process_started_ms: when this process began; the one before it may have made
            attempts. Infinite before the start, and once another process took over.
        external_permits: where proxies know each other, what gives this one's attempts
            for a server's name and the attempts per session that the server can take.
    """

    def __init__(
        self,
        settings: SlowStartSettings,
        load_estimator: LoadEstimator,
        proxy_index: float,
        proxy_count: int,
    ) -> None:
        """Allow nothing to warming servers until `process_started_ms` is set."""
        self._load_estimator = load_estimator
        self._initial_share = settings.initial_share
        self._duration_ms = settings.duration_ms
        self._rate_multiple = settings.rate_multiple
        self._window_ms = max(1.0, settings.window_ms)
        self.proxy_index, self.proxy_count = proxy_index, proxy_count
        self.process_started_ms = math.inf
        self.external_permits: Callable[[str, float], float] | None = None

    def is_warming(self, now_ms: float, server: Server) -> bool:
        """Return whether a server has started so recently that it is still slow."""
        if server.started_ms is None:
            return False
        return now_ms < server.started_ms + self._duration_ms

    def rotation_position(self, now_ms: float, server: Server) -> float:
        """Return a number from 0 to 1, another one in each window.

        No two proxies begin a window together. Below a part lies about that part of all
        proxies, see `GOLDEN_RATIO`.
        """
        age_ms = max(0.0, now_ms - (server.started_ms or 0.0))
        window = age_ms / self._window_ms + self.proxy_index / self.proxy_count
        turn = (self.proxy_index + int(window)) * GOLDEN_RATIO
        return (turn + server.hash_draws[0] / HASH_DRAW_RANGE) % 1.0

    def allows(self, now_ms: float, server: Server) -> bool:
        """Return whether an attempt may be made at a server."""
        if not self.is_warming(now_ms, server):
            return True
        permitted = self._permitted_attempts(now_ms, server)
        server.warmup_attempt_times_ms[:] = [
            at_ms
            for at_ms in server.warmup_attempt_times_ms
            if at_ms > now_ms - self._window_ms
        ]
        whole, fraction = divmod(permitted, 1.0)
        threshold = self._rotation_threshold(permitted, fraction)
        has_turn = self.rotation_position(now_ms, server) < threshold
        return (
            len(server.warmup_attempt_times_ms) < whole + has_turn
            and now_ms >= self.process_started_ms + self._window_ms
        )

    def record_attempt(self, now_ms: float, server: Server) -> None:
        """Count an attempt that is made at a server."""
        server.attempt_times_ms.append(now_ms)
        if self.is_warming(now_ms, server):
            server.warmup_attempt_times_ms.append(now_ms)

    def _permitted_attempts(self, now_ms: float, server: Server) -> float:
        """Return this proxy's part of the attempts in a window, with a fraction.

        A server fills over its warm-up at the fastest.
        """
        age_ms = max(0.0, now_ms - (server.started_ms or 0.0))
        share = (
            self._initial_share + (1 - self._initial_share) * age_ms / self._duration_ms
        )
        attempts_per_session = (
            PERMITTED_PART
            * share
            * self._rate_multiple
            * self._window_ms
            / self._duration_ms
        )
        if self.external_permits is None:
            return attempts_per_session * self._load_estimator.warm_up_capacity_estimate
        return self.external_permits(server.name, attempts_per_session)

    def _rotation_threshold(self, permitted: float, fraction: float) -> float:
        """Return below which rotation position a proxy has one attempt more.

        Two turns that follow one another fall into one window of the server's: each has
        half of the fraction. But for so few proxies that one attempt more of each is
        within what chance has beyond what is allowed.
        """
        allowed = permitted * self.proxy_count / PERMITTED_PART
        random_excess = allowed / 4 + 2 * math.sqrt(allowed) + 2
        excess = self.proxy_count * (1.0 - fraction)
        is_within_chance = excess <= PERMITTED_PART * random_excess
        return fraction if is_within_chance else fraction / 2
