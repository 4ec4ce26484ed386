"""Slow start: limits attempts at servers that are warming up."""

import math
from collections.abc import Callable

from wheathill.model import Server
from wheathill.policy.load_estimator import LoadEstimator
from wheathill.policy.settings import SlowStartSettings

# Multiples of the golden ratio modulo 1 are evenly distributed (three-gap theorem).
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
# Fraction of a warming server's capacity that permits may use. The rest is reserved for
# retries, probes and handshakes.
PERMITTED_SHARE = 0.75
# A hash draw is a 16-bit number.
HASH_DRAW_RANGE = 2**16


class SlowStartLimiter:
    """Limits attempts at a warming server to this proxy's share of its capacity.

    A share of less than one attempt is neither rounded up nor accumulated, as all
    proxies might use their attempts at the same time (thundering herd). Instead, the
    index of the proxy determines the windows in which it may make a whole attempt, so
    that the sum over all proxies is right although they do not communicate
    (docs/design/cold-servers.md).

    Attributes:
        proxy_count: the number of proxies.
        proxy_index: the index of this proxy among them.
        process_started_ms: when this process started. No attempt is allowed within the
            following window, as the previous process may have made some. Infinite
            before the start, and after another process took over.
        external_permits: if proxies know each other, returns the attempts permitted to
            this proxy, given the name of a server and the permitted attempts per window
            and session of its capacity.
    """

    def __init__(
        self,
        settings: SlowStartSettings,
        load_estimator: LoadEstimator,
        proxy_index: float,
        proxy_count: int,
    ) -> None:
        """Create a limiter that permits nothing until `process_started_ms` is set."""
        self._load_estimator = load_estimator
        self._initial_share = settings.initial_share
        self._duration_ms = settings.duration_ms
        self._rate_multiple = settings.rate_multiple
        self._window_ms = max(1.0, settings.window_ms)
        self.proxy_index, self.proxy_count = proxy_index, proxy_count
        self.process_started_ms = math.inf
        self.external_permits: Callable[[str, float], float] | None = None

    def is_warming(self, now_ms: float, server: Server) -> bool:
        """Return whether a server is still warming up after its start."""
        if server.started_ms is None:
            return False
        return now_ms < server.started_ms + self._duration_ms

    def rotation_position(self, now_ms: float, server: Server) -> float:
        """Return this proxy's position in the rotation, a number from 0 to 1.

        It changes with each window, and each proxy begins its windows at another time.
        The positions are evenly distributed over the proxies, see `GOLDEN_RATIO`: the
        fraction of proxies below a threshold is about the threshold itself.
        """
        age_ms = max(0.0, now_ms - (server.started_ms or 0.0))
        window = age_ms / self._window_ms + self.proxy_index / self.proxy_count
        rotation = (self.proxy_index + int(window)) * GOLDEN_RATIO
        return (rotation + server.hash_draws[0] / HASH_DRAW_RANGE) % 1.0

    def allows(self, now_ms: float, server: Server) -> bool:
        """Return whether slow start permits an attempt at a server."""
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
        has_extra_attempt = self.rotation_position(now_ms, server) < threshold
        return (
            len(server.warmup_attempt_times_ms) < whole + has_extra_attempt
            and now_ms >= self.process_started_ms + self._window_ms
        )

    def record_attempt(self, now_ms: float, server: Server) -> None:
        """Record an attempt at a server."""
        server.attempt_times_ms.append(now_ms)
        if self.is_warming(now_ms, server):
            server.warmup_attempt_times_ms.append(now_ms)

    def _permitted_attempts(self, now_ms: float, server: Server) -> float:
        """Return the attempts permitted to this proxy per window, not rounded.

        At the permitted rate a server fills up no faster than within its warm-up, times
        the configured multiple.
        """
        age_ms = max(0.0, now_ms - (server.started_ms or 0.0))
        share = (
            self._initial_share + (1 - self._initial_share) * age_ms / self._duration_ms
        )
        attempts_per_session = (
            PERMITTED_SHARE
            * share
            * self._rate_multiple
            * self._window_ms
            / self._duration_ms
        )
        if self.external_permits is None:
            return attempts_per_session * self._load_estimator.warm_up_capacity_estimate
        return self.external_permits(server.name, attempts_per_session)

    def _rotation_threshold(self, permitted: float, fraction: float) -> float:
        """Return the rotation position below which one more attempt is permitted.

        One window of the server overlaps two windows of a proxy, so each of these gets
        half of the fraction. The whole fraction is used with so few proxies that one
        more attempt of each stays within the random variation beyond the allowed rate.
        """
        allowed = permitted * self.proxy_count / PERMITTED_SHARE
        random_excess = allowed / 4 + 2 * math.sqrt(allowed) + 2
        excess = self.proxy_count * (1.0 - fraction)
        is_within_chance = excess <= PERMITTED_SHARE * random_excess
        return fraction if is_within_chance else fraction / 2
