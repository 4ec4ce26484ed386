"""Latency of the network path between this proxy and each server."""

from collections import deque
from statistics import median


class PathLatency:
    """How long an answer takes from a server to this proxy and back, by the last few probes.

    Messages take as long: where that alone misses their target, the way is slow or the server swamped; alike
    to who waits. Of one not asked of late the others of its zone tell. It could do harm where probes wait and
    messages don't; so it only puts a server behind those that answer in time."""

    def __init__(self, fresh):
        self.fresh = fresh
        self.zones = {}  # zone -> the last few (when, ms) of its servers

    def took(self, now, server, ms):
        server.probe_latencies.append((now, ms))
        self.zones.setdefault(server.zone, deque(maxlen=8)).append((now, ms))

    def slow(self, now, server, target):
        took, since = server.probe_latencies, now - self.fresh
        if took and took[-1][0] > since:
            return took[-1][1] > target and (took[0][1] > target or took[0][0] <= since)
        alike = [ms for when, ms in self.zones.get(server.zone, ()) if when > since]
        return len(alike) >= 3 and median(alike) > target
