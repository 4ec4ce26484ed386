"""Load levels of servers, estimated from probes and from late messages."""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from statistics import fmean, median

from wheathill.model import Server
from wheathill.policy.settings import TICK_INTERVAL_MS, LoadEstimatorSettings

# A load sample is used for so long, in ms.
SAMPLE_LIFETIME_MS = 5 * TICK_INTERVAL_MS
# Samples that lie closer together than this, in ms, are averaged. An older one says how
# the load was before the rush.
SMOOTHING_WINDOW_MS = TICK_INTERVAL_MS
# What a server reports is about so old, in ms: later attempts are not in it yet.
REPORT_DELAY_MS = 0.5 * TICK_INTERVAL_MS
# After a late message a server counts as late for so long, in ms, and a second one
# within twice as long is a repetition.
LATE_PERIOD_MS = 1.5 * TICK_INTERVAL_MS

# Load over capacity says most; a queue or a count of connections only orders the
# servers.
LOAD_FIELDS = ("x0", "util", "queue")
UTILISATION_FIELDS = ("x0", "util")
# The first level begins here, and each further one at twice the load: requests where
# the load is a queue, else a part of capacity.
BASE_QUEUE = 1.0
BASE_LOAD = 0.25

# Until some connections are held: this proxy's part of a few dozen in all.
INITIAL_CAPACITY = 40.0
# A proxy that has just started holds nothing on servers that others have loaded:
# without a floor, in connections, it took each of its connections for a whole server
# and refused nearly all.
MIN_CAPACITY = 5.0
# Smaller mean loads count as this one when a capacity is worked out.
MIN_MEAN_LOAD = 0.05
# Capacities that are kept: not the last one alone, as one odd report would count for
# all.
CAPACITY_SAMPLES = 5
# Sessions come slowly while their mean number grows by no more than this in a tick.
SETTLED_GROWTH = 1.5

# Bounds of the factor by which a server's reports are corrected.
MIN_CORRECTION = 0.5
MAX_CORRECTION = 8.0
# The load that a server has at least where messages are late.
LATE_LOAD = 0.95
# What is left of a correction upwards after a tick without a late message: less where
# sessions of this proxy would have noticed one.
CORRECTION_DECAY_WITH_SESSIONS = 0.85
CORRECTION_DECAY_WITHOUT_SESSIONS = 0.93
# The change of a correction downwards in a tick: while the server reports more than its
# capacity though no message is late, and while it does not.
OVER_REPORT_DECAY = 0.9
OVER_REPORT_RECOVERY = 1.01


class LoadEstimator:
    """Turns the last few load reports of each server into doubling levels.

    Attributes:
        overload_threshold: the load from which a server takes no new sessions.
        reports_utilisation: whether reports are a load over capacity.
        quota: this proxy's part of what all proxies may do together.
        capacity_estimate: how many of this proxy's sessions a warm server can take.
        capacity_samples: the last findings that this is the median of.
        settled_capacity_samples: those of them since sessions came slowly for the first
            time.
        previous_mean_sessions: of this proxy on a warm server, a tick ago.
    """

    def __init__(self, settings: LoadEstimatorSettings, proxy_count: int) -> None:
        """Know nothing yet, with an even part of the load for each proxy."""
        self._fields = settings.report_fields
        self._load_field = next(
            (name for name in LOAD_FIELDS if name in self._fields), None
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
        """Take a load report of a server; one that can't be read counts as none."""
        if not self._load_field or not report or len(report) != len(self._fields):
            return
        load = report[self._fields.index(self._load_field)]
        if load is not None and 0 <= load < math.inf:
            server.load_samples.append((now_ms, load))

    def sample_age_ms(self, now_ms: float, server: Server) -> float:
        """Return how old the last sample is, infinite where there is none."""
        return now_ms - server.load_samples[-1][0] if server.load_samples else math.inf

    def load(self, now_ms: float, server: Server) -> float | None:
        """Return the corrected load by the last samples, None where it is unknown."""
        # Two samples at most: this is called for dozens of servers a session.
        samples = server.load_samples
        if not samples or samples[-1][0] <= now_ms - SAMPLE_LIFETIME_MS:
            return None
        (earlier_ms, earlier), (last_ms, last) = samples[0], samples[-1]
        is_smoothed = earlier_ms > last_ms - SMOOTHING_WINDOW_MS
        load = (earlier + last) / 2 if is_smoothed else last
        return load * server.report_correction

    def loads(self, now_ms: float, servers: Iterable[Server]) -> dict[Server, float]:
        """Return the known loads.

        With hundreds of proxies each one sees few servers at a time.
        """
        return {
            server: load
            for server in servers
            if (load := self.load(now_ms, server)) is not None
        }

    def expected_load(self, now_ms: float, server: Server) -> float:
        """Return the load with the attempts since its report; 0 where it is unknown.

        Without these all sessions between two probes would crowd onto the server that
        looked best.
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
        """Estimate what a warm server can take, in this proxy's own sessions.

        A proxy among hundreds holds less than one session a server: only the sessions
        on all servers together, over the servers' mean load, say it.
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
        # Loads are reported later than sessions come: after a start, while they come
        # fast, more of them are open than was reported. A first finding of six times
        # the truth pushed all warming servers over.
        if (
            self.settled_capacity_samples
            or mean_sessions <= SETTLED_GROWTH * self.previous_mean_sessions
        ):
            self.settled_capacity_samples.append(capacity)

    @property
    def warm_up_capacity_estimate(self) -> float:
        """The capacity estimate as far as warming servers may be filled by it."""
        if self.settled_capacity_samples:
            return median(self.settled_capacity_samples)
        return min(self.capacity_estimate, INITIAL_CAPACITY * self.quota)

    def set_quota(self, quota: float) -> None:
        """Set this proxy's part of what all proxies may do together.

        What is found follows a larger part by itself, but a smaller one too late.
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
        self, now_ms: float, server: Server, lateness: float
    ) -> None:
        """Correct a server's reports by a message that missed its latency objective.

        Evidence before reports: where messages miss their objective a server is near
        its capacity at least, whatever it reports. The correction needs a second late
        message within twice `LATE_PERIOD_MS`. Each tick without one takes a part of it
        back, see `update_report_corrections`.

        Args:
            now_ms: the time.
            server: where the message went.
            lateness: its latency over the objective; 0 where the network path is to
                blame.
        """
        is_repeated = now_ms - server.last_late_message_ms < 2 * LATE_PERIOD_MS
        server.last_late_message_ms = now_ms
        load = self.load(now_ms, server) if self.reports_utilisation else None
        if load and lateness and is_repeated:
            factor = max(1.0, LATE_LOAD * min(1.0, lateness) / load)
            server.report_correction = min(
                MAX_CORRECTION, server.report_correction * factor
            )

    def has_late_messages(self, now_ms: float, server: Server) -> bool:
        """Return whether messages there miss their latency objective.

        It is known without any probe, and means that the server is at its capacity; by
        how much it is over is unknown.
        """
        return now_ms - server.last_late_message_ms < LATE_PERIOD_MS

    def update_report_corrections(
        self, now_ms: float, servers: Iterable[Server]
    ) -> None:
        """Take corrections back where no message is late.

        Also the other way: a server that reports to be over its capacity, while no
        message of this proxy's sessions there is late, reports too much. Where late
        messages are not noticed nothing speaks against a report.
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
        """Return the level of a load: each one stands for twice that of the last."""
        if load < self._base_load:
            return 0
        return 1 + int(math.log2(load / self._base_load))

    def levels(
        self, now_ms: float, servers: Sequence[Server] | dict[Server, None]
    ) -> dict[Server, int]:
        """Return the level of each server, or the median where it is unknown.

        Exception: with most unknown, a level says nothing against the others'. Tables
        of hundreds of proxies, each shifted by the few loads that it happened to see,
        drift apart, and groups with them.
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
        middle = int(median(levels.values())) if levels else 0
        return {server: levels.get(server, middle) for server in servers}
