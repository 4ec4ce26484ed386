"""Estimates the load of servers from load reports and late messages."""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from statistics import fmean, median

from wheathill.model import Server
from wheathill.policy.settings import TICK_INTERVAL_MS, LoadEstimatorSettings

# Time for which a load sample is used, in ms.
SAMPLE_LIFETIME_MS = 5 * TICK_INTERVAL_MS
# Two samples less than this apart, in ms, are averaged. An older sample does not show
# the current load when sessions arrive fast.
SMOOTHING_WINDOW_MS = TICK_INTERVAL_MS
# Approximate age of the load in a report, in ms. Later attempts are not included in it.
REPORT_DELAY_MS = 0.5 * TICK_INTERVAL_MS
# Time after a late message for which a server counts as late, in ms. A second late
# message within twice this time counts as repeated.
LATE_PERIOD_MS = 1.5 * TICK_INTERVAL_MS

# Fields of a load report, by preference. A load over capacity is the most useful one;
# a queue length or a number of connections only ranks the servers.
LOAD_FIELDS = ("x0", "util", "queue")
UTILISATION_FIELDS = ("x0", "util")
# The load at which level 1 begins, in requests if the load is a queue length, else as a
# fraction of capacity. Each further level begins at twice the load.
BASE_QUEUE = 1.0
BASE_LOAD = 0.25

# Initial capacity estimate of a server, in sessions of all proxies.
INITIAL_CAPACITY = 40.0
# Lower bound of the capacity used for the expected load, in sessions. A proxy that has
# just started holds no sessions on servers loaded by other proxies. Without the bound
# it took each of its sessions for the load of a whole server and rejected nearly all.
MIN_CAPACITY = 5.0
# Lower bound of the mean load that a capacity is calculated from.
MIN_MEAN_LOAD = 0.05
# Number of capacity samples whose median is used, so that a single wrong report does
# not determine the estimate.
CAPACITY_SAMPLES = 5
# Sessions arrive slowly while their mean number per server grows by at most this factor
# per tick.
SETTLED_GROWTH = 1.5

# Bounds of the report correction.
MIN_CORRECTION = 0.5
MAX_CORRECTION = 8.0
# Minimum load of a server whose messages are late.
LATE_LOAD = 0.95
# Decay per tick of a report correction above 1 while no message is late. It is faster
# if this proxy has sessions there that would observe a late message.
CORRECTION_DECAY_WITH_SESSIONS = 0.85
CORRECTION_DECAY_WITHOUT_SESSIONS = 0.93
# Change per tick of a report correction of at most 1: the decay while the server
# reports more than its capacity though no message is late, and the recovery otherwise.
OVER_REPORT_DECAY = 0.9
OVER_REPORT_RECOVERY = 1.01


class LoadEstimator:
    """Estimates load, load level and capacity from the last reports of each server.

    Attributes:
        overload_threshold: the load from which a server takes no new sessions.
        reports_utilisation: whether reports state a load over capacity.
        quota: this proxy's share of what all proxies may do together.
        capacity_estimate: how many sessions of this proxy a warm server can take.
        capacity_samples: the last samples, whose median is `capacity_estimate`.
        settled_capacity_samples: those taken since sessions first arrived slowly.
        previous_mean_sessions: the mean number of sessions of this proxy on a warm
            server at the previous tick.
    """

    def __init__(self, settings: LoadEstimatorSettings, proxy_count: int) -> None:
        """Create an estimator without samples, with an equal quota for each proxy."""
        self._report_fields = settings.report_fields
        self._load_field = next(
            (name for name in LOAD_FIELDS if name in self._report_fields), None
        )
        self._base_load = BASE_QUEUE if self._load_field == "queue" else BASE_LOAD
        self._reports_late_messages = settings.reports_late_messages
        self.overload_threshold = settings.overload_threshold
        self.reports_utilisation = self._load_field in UTILISATION_FIELDS
        self.quota = 1.0 / proxy_count
        self.capacity_estimate = INITIAL_CAPACITY * self.quota
        self.capacity_samples: deque[float] = deque(maxlen=CAPACITY_SAMPLES)
        self.settled_capacity_samples: deque[float] = deque(maxlen=CAPACITY_SAMPLES)
        self.previous_mean_sessions = 0.0

    # Reports

    def record_sample(
        self, now_ms: float, server: Server, report: Sequence[float | None] | None
    ) -> None:
        """Record a load report of a server; an invalid one is ignored."""
        if (
            not self._load_field
            or not report
            or len(report) != len(self._report_fields)
        ):
            return
        load = report[self._report_fields.index(self._load_field)]
        if load is not None and 0 <= load < math.inf:
            server.load_samples.append((now_ms, load))

    def sample_age_ms(self, now_ms: float, server: Server) -> float:
        """Return the age of the last sample, or infinity without one."""
        return now_ms - server.load_samples[-1][0] if server.load_samples else math.inf

    def load(self, now_ms: float, server: Server) -> float | None:
        """Return the corrected load from the last samples, or None if unknown."""
        # Limited to two samples, as this is called for dozens of servers per session.
        samples = server.load_samples
        if not samples or samples[-1][0] <= now_ms - SAMPLE_LIFETIME_MS:
            return None
        (earlier_ms, earlier), (last_ms, last) = samples[0], samples[-1]
        is_smoothed = earlier_ms > last_ms - SMOOTHING_WINDOW_MS
        load = (earlier + last) / 2 if is_smoothed else last
        return load * server.report_correction

    def loads(self, now_ms: float, servers: Iterable[Server]) -> dict[Server, float]:
        """Return the known loads.

        Among hundreds of proxies, each one knows the load of few servers at a time.
        """
        return {
            server: load
            for server in servers
            if (load := self.load(now_ms, server)) is not None
        }

    def expected_load(self, now_ms: float, server: Server) -> float:
        """Return the load including attempts since the report, or 0 if unknown.

        Without these attempts, all sessions between two probes would go to the server
        with the lowest reported load.
        """
        load = self.load(now_ms, server) if self.reports_utilisation else None
        if load is None:
            return 0.0
        since_ms = server.load_samples[-1][0] - REPORT_DELAY_MS
        attempts = sum(at_ms > since_ms for at_ms in server.attempt_times_ms)
        return load + attempts / max(MIN_CAPACITY, self.capacity_estimate)

    # Capacity

    def update_capacity_estimate(
        self, now_ms: float, warm_servers: Sequence[Server]
    ) -> None:
        """Estimate how many sessions of this proxy a warm server can take.

        One proxy among hundreds has less than one session per server, so the estimate
        is the mean number of its sessions on all servers over the servers' mean load.
        """
        reported = [
            server
            for server in warm_servers
            if self.reports_utilisation
            and self.sample_age_ms(now_ms, server) < SMOOTHING_WINDOW_MS
        ]
        loads = [
            load / min(1.0, server.report_correction)
            for server, load in self.loads(now_ms, reported).items()
        ]
        session_count = sum(len(server.sessions) for server in warm_servers)
        mean_sessions = session_count / max(1, len(warm_servers))
        if mean_sessions and loads:
            capacity = mean_sessions / max(MIN_MEAN_LOAD, fmean(loads))
            self._add_capacity_sample(capacity, mean_sessions)
        self.previous_mean_sessions = mean_sessions

    def _add_capacity_sample(self, capacity: float, mean_sessions: float) -> None:
        self.capacity_samples.append(capacity)
        self.capacity_estimate = median(self.capacity_samples)
        # Load reports lag behind arriving sessions: after a start, while they arrive
        # fast, more are open than the reports show. A first estimate of six times the
        # real capacity overloaded all warming servers.
        if (
            self.settled_capacity_samples
            or mean_sessions <= SETTLED_GROWTH * self.previous_mean_sessions
        ):
            self.settled_capacity_samples.append(capacity)

    @property
    def warm_up_capacity_estimate(self) -> float:
        """The capacity estimate for slow start.

        Until sessions arrive slowly, it is bounded by the initial estimate.
        """
        if self.settled_capacity_samples:
            return median(self.settled_capacity_samples)
        return min(self.capacity_estimate, INITIAL_CAPACITY * self.quota)

    def set_quota(self, quota: float) -> None:
        """Set this proxy's share of what all proxies may do together.

        The estimates follow a larger quota by themselves, but would follow a smaller
        one too late, so they are scaled down.
        """
        reduction = min(1.0, quota / self.quota) if self.quota else 1.0
        self.capacity_samples = self._scaled(self.capacity_samples, reduction)
        self.settled_capacity_samples = self._scaled(
            self.settled_capacity_samples, reduction
        )
        if self.capacity_samples:
            self.capacity_estimate *= reduction
        else:
            self.capacity_estimate = INITIAL_CAPACITY * quota
        self.quota = quota

    @staticmethod
    def _scaled(samples: deque[float], factor: float) -> deque[float]:
        return deque((sample * factor for sample in samples), CAPACITY_SAMPLES)

    # Late messages

    def record_late_message(
        self, now_ms: float, server: Server, latency_ratio: float
    ) -> None:
        """Raise the report correction of a server after a late message.

        A server whose messages miss their latency objective is at least near its
        capacity, whatever it reports. The correction is raised from the second late
        message within twice `LATE_PERIOD_MS` on. It decays with each tick without a
        late message, see `update_report_corrections`.

        Args:
            now_ms: the monotonic time.
            server: the server that the message went to.
            latency_ratio: its latency over the objective; 0 if the network path is the
                cause.
        """
        is_repeated = now_ms - server.last_late_message_ms < 2 * LATE_PERIOD_MS
        server.last_late_message_ms = now_ms
        load = self.load(now_ms, server) if self.reports_utilisation else None
        if load and latency_ratio and is_repeated:
            factor = max(1.0, LATE_LOAD * min(1.0, latency_ratio) / load)
            server.report_correction = min(
                MAX_CORRECTION, server.report_correction * factor
            )

    def has_late_messages(self, now_ms: float, server: Server) -> bool:
        """Return whether a message to a server recently missed its latency objective.

        This is known without a probe. It shows that the server is at its capacity, but
        not how far beyond.
        """
        return now_ms - server.last_late_message_ms < LATE_PERIOD_MS

    def update_report_corrections(
        self, now_ms: float, servers: Iterable[Server]
    ) -> None:
        """Decay the report corrections of servers without late messages.

        Conversely, a server reports too much if it reports more than its capacity while
        no message of this proxy's sessions there is late; its correction is lowered. If
        late messages are not observed, no report is contradicted.
        """
        for server in servers:
            if server.report_correction > 1.0 and not self.has_late_messages(
                now_ms, server
            ):
                decay = (
                    CORRECTION_DECAY_WITH_SESSIONS
                    if server.sessions
                    else CORRECTION_DECAY_WITHOUT_SESSIONS
                )
                server.report_correction = max(1.0, server.report_correction * decay)
            elif (
                self._reports_late_messages
                and now_ms - server.last_late_message_ms > SAMPLE_LIFETIME_MS
                and server.report_correction <= 1.0
            ):
                self._correct_over_report(now_ms, server)

    def _correct_over_report(self, now_ms: float, server: Server) -> None:
        load = self.load(now_ms, server) or 0.0
        if load < server.report_correction:
            recovered = server.report_correction * OVER_REPORT_RECOVERY
            server.report_correction = min(1.0, recovered)
            return
        oldest = next(iter(server.sessions), None)
        if oldest is None or oldest.accepted_ms is None:
            return
        if now_ms - oldest.accepted_ms > SAMPLE_LIFETIME_MS:
            reduced = server.report_correction * OVER_REPORT_DECAY
            server.report_correction = max(MIN_CORRECTION, reduced)

    # Levels

    def level(self, load: float) -> int:
        """Return the level of a load; each one begins at twice the load of the last."""
        if load < self._base_load:
            return 0
        return 1 + int(math.log2(load / self._base_load))

    def levels(
        self, now_ms: float, servers: Sequence[Server] | dict[Server, None]
    ) -> dict[Server, int]:
        """Return the level of each server, or the median level if it is unknown.

        If most loads are unknown, all servers get the same level. Otherwise the slot
        tables of hundreds of proxies, each shifted by the few loads that it knows,
        would diverge, and groups would be spread over several servers.
        """
        if self._load_field:
            loads = self.loads(now_ms, servers)
        else:
            counts = [len(server.sessions) for server in servers]
            mean = fmean(counts or [0]) or 1.0
            loads = {server: len(server.sessions) / mean for server in servers}
        levels = {server: self.level(load) for server, load in loads.items()}
        if 2 * len(levels) < len(servers):
            levels = {}
        median_level = int(median(levels.values())) if levels else 0
        return {server: levels.get(server, median_level) for server in servers}
