"""Latency of the network path between this proxy and each server."""

from collections import deque
from statistics import median

from wheathill.model import Server
from wheathill.policy.settings import TICK_INTERVAL_MS

# For how long a measurement stands for the path, in ms: five rounds of probes.
SAMPLE_LIFETIME_MS = 5 * TICK_INTERVAL_MS
# How many measurements are kept for a zone, as a whole.
SAMPLES_PER_ZONE = 8
# With fewer measurements than these, a zone says nothing of a server in it.
MIN_ZONE_SAMPLES = 3


class PathLatency:
    """How long an answer takes from a server to this proxy, by the last few probes.

    Messages take as long as probes. Where the path alone misses their latency
    objective, either the path is slow or the server is overloaded, and the difference
    is nothing to whoever waits. For a server that was not probed recently, the others
    of its zone are measured instead.

    The estimate is wrong where probes wait and messages do not. For that reason it only
    ranks a server behind those that answer in time, and never excludes one.
    """

    def __init__(self) -> None:
        self._zone_samples: dict[int, deque[tuple[float, float]]] = {}

    def record(self, now_ms: float, server: Server, latency_ms: float) -> None:
        """Record that a probe of a server took so long."""
        server.probe_latencies.append((now_ms, latency_ms))
        samples = self._zone_samples.setdefault(
            server.zone,
            deque(maxlen=SAMPLES_PER_ZONE),
        )
        samples.append((now_ms, latency_ms))

    def is_slow(self, now_ms: float, server: Server, target_ms: float) -> bool:
        """Whether the path to a server takes longer than the objective of a message.

        One slow probe is not enough where an earlier one of the same server is known
        that was in time and still counts.
        """
        samples, since_ms = server.probe_latencies, now_ms - SAMPLE_LIFETIME_MS
        if samples and samples[-1][0] > since_ms:
            (earlier_at_ms, earlier_ms), (_, latest_ms) = samples[0], samples[-1]
            return latest_ms > target_ms and (
                earlier_ms > target_ms or earlier_at_ms <= since_ms
            )
        in_zone = [
            latency_ms
            for at_ms, latency_ms in self._zone_samples.get(server.zone, ())
            if at_ms > since_ms
        ]
        return len(in_zone) >= MIN_ZONE_SAMPLES and median(in_zone) > target_ms
