"""Slow start: limits attempts to servers that are still warming up."""

import math


class SlowStartLimiter:
    """Rule 4: this proxy's part of what a server that has just started can take.

    Less than one dial is neither rounded up nor kept for later: in a herd all would use theirs at once. In
    which windows it makes a whole one goes by the proxy's number, so that the sum over all is right though
    they can't talk to one another (docs/design/cold-servers.md)."""

    GOLDEN = (math.sqrt(5) - 1) / 2

    def __init__(
        self, levels, start_share, cold_for, multiple, window, number, proxies
    ):
        self.levels, self.start_share, self.cold_for = levels, start_share, cold_for
        self.multiple, self.window, self.proxy_index, self.proxy_count = (
            multiple,
            max(1.0, window),
            number,
            proxies,
        )
        self.process_started_ms = (
            math.inf
        )  # this process began; the one before it may have dialled
        self.external_permits = None  # where proxies know each other: (server, dials for each borne) -> own dials

    def is_warming(self, now, server):
        return server.started_ms is not None and now < server.started_ms + self.cold_for

    def rotation_position(self, now, server):
        """Between 0 and 1, anew each window, which no two proxies begin together. Multiples of the golden
        ratio fill the circle evenly (Steinhaus's three gaps): below a part lies that part of the proxies."""
        window = (
            max(0.0, now - server.started_ms) / self.window
            + self.proxy_index / self.proxy_count
        )
        return (
            (self.proxy_index + int(window)) * self.GOLDEN
            + server.hash_draws[0] / 2**16
        ) % 1.0

    def allows(self, now, server):
        if not self.is_warming(now, server):
            return True
        ready = (
            self.start_share
            + (1 - self.start_share) * max(0.0, now - server.started_ms) / self.cold_for
        )
        # A server fills over its warm-up at the fastest; a quarter is left for repeats, probes, handshakes.
        unit = 0.75 * ready * self.multiple * self.window / self.cold_for
        part = (
            unit * self.levels.warm_up_capacity_estimate
            if self.external_permits is None
            else self.external_permits(server.name, unit)
        )
        server.warmup_attempt_times_ms[:] = [
            when for when in server.warmup_attempt_times_ms if when > now - self.window
        ]
        whole, rest = divmod(part, 1.0)
        # Two turns that follow one another fall into one window of the server's: each has half of the part. But
        # for so few proxies that one dial more of each is within what chance has beyond what is allowed.
        allowed = part * self.proxy_count / 0.75
        few = self.proxy_count * (1.0 - rest) <= 0.75 * (
            allowed / 4 + 2 * math.sqrt(allowed) + 2
        )
        most = whole + (
            self.rotation_position(now, server) < (rest if few else rest / 2)
        )
        return (
            len(server.warmup_attempt_times_ms) < most
            and now >= self.process_started_ms + self.window
        )

    def record_attempt(self, now, server):
        server.attempt_times_ms.append(now)
        if self.is_warming(now, server):
            server.warmup_attempt_times_ms.append(now)
