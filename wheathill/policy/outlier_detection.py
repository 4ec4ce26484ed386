"""Outlier detection: finds servers whose attempts fail or that are unresponsive."""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from wheathill.model import Server
from wheathill.policy.settings import CONNECTION_LIFETIME_MS, EARLY_RESET_MS

# Number of consecutive unanswered probes from which a server counts as unresponsive.
MAX_UNANSWERED_PROBES = 2
# A server is failing if its last results contain at least this many failures, and if
# these are at least a third of the results.
MIN_FAILURES = 2
MAX_RESULTS_PER_FAILURE = 3
# Time for which a result is taken into account, in ms.
RESULT_LIFETIME_MS = CONNECTION_LIFETIME_MS
# Consecutive failures no further apart than this, in ms, count as one, as they have one
# cause. Also the base of the delay until the next trial.
FAILURE_INTERVAL_MS = 250.0
# Time that a trial session must stay open before the server gets other sessions, in ms.
MIN_TRIAL_DURATION_MS = 0.4 * EARLY_RESET_MS
# Number of attempts kept for the detection of a common cause, and the time in ms for
# which they are taken into account.
ATTEMPTS_KEPT = 16
ATTEMPT_LIFETIME_MS = 5000.0
# Number of failing servers from which a common cause is assumed. One proxy among
# hundreds hardly sees more than two before its clients give up.
MIN_FAILING_SERVERS = 2


@dataclass(slots=True, eq=False)
class RecordedAttempt:
    """An attempt kept for the detection of a common cause.

    Attributes:
        at_ms: when it ended.
        server: the server.
        succeeded: whether the session was set up, and was not reset soon afterwards.
    """

    at_ms: float
    server: Server
    succeeded: bool


class OutlierDetector:
    """Detects outliers: servers that fail or do not answer probes.

    Attributes:
        recent_attempts: the last attempts at all servers, oldest first.
    """

    def __init__(self) -> None:
        self.recent_attempts: deque[RecordedAttempt] = deque(maxlen=ATTEMPTS_KEPT)

    def record_attempt(self, now_ms: float, server: Server, succeeded: bool) -> None:
        """Record the result of an attempt at a server."""
        self.recent_attempts.append(RecordedAttempt(now_ms, server, succeeded))
        server.recent_results.append((now_ms, succeeded))

    def record_reset(self, now_ms: float, server: Server, accepted_ms: float) -> None:
        """Record that a session was reset after the server had accepted it.

        If the attempt of the session is still recorded, it is changed to a failure, and
        no further failure is added. A crashing server resets all of its sessions at the
        same time, which is a failure of one server and not a common cause.
        """
        server.recent_results.append((now_ms, False))
        for attempt in self.recent_attempts:
            if (
                attempt.succeeded
                and attempt.at_ms == accepted_ms
                and attempt.server is server
            ):
                attempt.succeeded = False
                return

    def record_peer_failures(self, now_ms: float, servers: Iterable[Server]) -> None:
        """Mark servers as failing that fail for all proxies."""
        for server in servers:
            if not self.is_outlier(now_ms, server):
                server.recent_results.extend([(now_ms, False)] * MIN_FAILURES)

    def forget_attempts(self, servers: Collection[Server]) -> None:
        """Exclude recorded attempts at these servers from a common cause."""
        self.recent_attempts = deque(
            (
                attempt
                for attempt in self.recent_attempts
                if attempt.server not in servers
            ),
            maxlen=ATTEMPTS_KEPT,
        )

    def is_outlier(self, now_ms: float, server: Server) -> bool:
        """Whether sessions should go to other servers if possible."""
        return self.is_unresponsive(server) or self.is_failing(now_ms, server)

    def is_unresponsive(self, server: Server) -> bool:
        """Whether a server has left the last probes unanswered."""
        return server.unanswered_probes >= MAX_UNANSWERED_PROBES

    def is_failing(self, now_ms: float, server: Server) -> bool:
        """Whether attempts at a server fail, and no trial session is due.

        The ejection of a failing server has no fixed duration. The server gets one
        trial session at a time, and no other until a trial has stayed open for
        `MIN_TRIAL_DURATION_MS`. Each separate failure among the last results doubles
        the delay until the next trial.
        """
        since_ms = now_ms - RESULT_LIFETIME_MS
        failures_ms = [
            at_ms
            for at_ms, succeeded in server.recent_results
            if at_ms > since_ms and not succeeded
        ]
        if len(failures_ms) < MIN_FAILURES:
            return False
        results = [result for result in server.recent_results if result[0] > since_ms]
        if MAX_RESULTS_PER_FAILURE * len(failures_ms) < len(results):
            return False
        last_failure_ms = failures_ms[-1]
        for at_ms, succeeded in results:
            if succeeded and at_ms > last_failure_ms:
                return now_ms - at_ms < MIN_TRIAL_DURATION_MS
        return self._is_trial_in_flight(
            now_ms,
            server,
            last_failure_ms,
        ) or now_ms - last_failure_ms < _trial_wait_ms(failures_ms)

    @staticmethod
    def _is_trial_in_flight(
        now_ms: float,
        server: Server,
        last_failure_ms: float,
    ) -> bool:
        attempts_ms = server.attempt_times_ms
        return bool(attempts_ms) and (
            last_failure_ms < attempts_ms[-1] > now_ms - FAILURE_INTERVAL_MS * 2
        )

    def has_common_cause(self, now_ms: float) -> bool:
        """Whether attempts fail at many servers at the same time.

        A dependency that all servers share is then overloaded, and further attempts
        would increase the overload. Both servers and attempts are counted, as a few
        servers that fail in turn cause many failed attempts without a common cause.
        """
        since_ms = now_ms - ATTEMPT_LIFETIME_MS
        results: dict[Server, list[bool]] = {}
        for attempt in self.recent_attempts:
            if attempt.at_ms > since_ms:
                results.setdefault(attempt.server, []).append(attempt.succeeded)
        failing_servers = sum(
            2 * sum(outcomes) <= len(outcomes) for outcomes in results.values()
        )
        attempts = sum(len(outcomes) for outcomes in results.values())
        succeeded = sum(sum(outcomes) for outcomes in results.values())
        return (
            failing_servers >= MIN_FAILING_SERVERS
            and 2 * failing_servers >= len(results)
            and 2 * succeeded <= attempts
        )


def _trial_wait_ms(failures_ms: list[float]) -> float:
    """Return the delay between the last failure and the next trial."""
    separate_failures = 1 + sum(
        later_ms - earlier_ms > FAILURE_INTERVAL_MS
        for earlier_ms, later_ms in zip(failures_ms, failures_ms[1:], strict=False)
    )
    return FAILURE_INTERVAL_MS * 2 ** (separate_failures + 1)
