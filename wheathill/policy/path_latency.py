"""Estimates the latency of the network path to each server."""

from collections import deque
from statistics import median

from wheathill.model import Server
from wheathill.policy.settings import TICK_INTERVAL_MS

# Time for which a sample is used, in ms: five rounds of probes.
SAMPLE_LIFETIME_MS = 5 * TICK_INTERVAL_MS
# Number of samples kept per zone.
SAMPLES_PER_ZONE = 8
# Minimum number of recent samples of a zone for an estimate of its other servers.
MIN_ZONE_SAMPLES = 3


class PathLatency:
    """Estimates the latency between this proxy and each server from the last probes.

    Messages are assumed to take as long as probes. If a probe exceeds the latency
    objective of messages, either the path is slow or the server is overloaded; for
    clients this makes no difference. For a server without a recent probe, samples of
    other servers in its zone are used.

    The estimate is too high if probes are queued and messages are not. For that reason
    it only ranks servers on a slow path behind others, and never excludes one.
    """

    def __init__(self) -> None:
        self._zone_samples: dict[int, deque[tuple[float, float]]] = {}

    def record(self, now_ms: float, server: Server, latency_ms: float) -> None:
        """Record the latency of a probe."""
        server.probe_latencies.append((now_ms, latency_ms))
        samples = self._zone_samples.setdefault(
            server.zone,
            deque(maxlen=SAMPLES_PER_ZONE),
        )
        samples.append((now_ms, latency_ms))

    def is_slow(self, now_ms: float, server: Server, target_ms: float) -> bool:
        """Whether the path latency of a server exceeds the latency objective.

        A single slow probe is not sufficient if the previous recent probe of the same
        server was within the objective.
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
