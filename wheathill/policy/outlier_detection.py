"""Passive health checking: servers whose attempts and probes fail."""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from wheathill.model import Server
from wheathill.policy.settings import CONNECTION_LIFETIME_MS, EARLY_RESET_MS

# After so many probes in a row without an answer a server counts as unresponsive.
MAX_UNANSWERED_PROBES = 2
# A server is failing from so many failures among its last results, and where these are
# at least a third of the results.
MIN_FAILURES = 2
MAX_RESULTS_PER_FAILURE = 3
# How long a failure counts against a server, in ms.
RESULT_LIFETIME_MS = CONNECTION_LIFETIME_MS
# Failures within this time of each other are one failure: what breaks together failed
# once. Also the unit of the wait for the next trial, in ms.
FAILURE_INTERVAL_MS = 250.0
# How long a trial session must stand until the server gets others again, in ms.
TRIAL_MS = 0.4 * EARLY_RESET_MS
# How many attempts are kept for the search for a common cause, and for how long, in ms.
ATTEMPTS_KEPT = 16
ATTEMPT_LIFETIME_MS = 5000.0
# From so many failing servers on a common cause is assumed. Two are enough: one proxy
# among hundreds sees hardly more before its clients give up.
MIN_FAILING_SERVERS = 2


@dataclass(slots=True, eq=False)
class RecordedAttempt:
    """One of the last attempts at any server.

    Attributes:
        at_ms: when it ended.
        server: where it was made.
        succeeded: whether the session was set up, and was not reset soon afterwards.
    """

    at_ms: float
    server: Server
    succeeded: bool


class OutlierDetector:
    """Which servers fail, judged by the attempts and probes of this proxy alone.

    Attributes:
        recent_attempts: the last attempts at all servers, oldest first.
    """

    def __init__(self) -> None:
        self.recent_attempts: deque[RecordedAttempt] = deque(maxlen=ATTEMPTS_KEPT)

    def record_attempt(self, now_ms: float, server: Server, succeeded: bool) -> None:
        """Record how an attempt at a server ended."""
        self.recent_attempts.append(RecordedAttempt(now_ms, server, succeeded))
        server.recent_results.append((now_ms, succeeded))

    def record_reset(self, now_ms: float, server: Server, accepted_ms: float) -> None:
        """Record that a session was reset that the server had accepted.

        If its attempt is among the last ones, that one failed, and no other: all
        sessions of a server that crashes are reset at once, which is the trouble of one
        server and not a common cause.
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
        """Take servers for failing that fail for all other proxies."""
        for server in servers:
            if not self.is_outlier(now_ms, server):
                server.recent_results.extend([(now_ms, False)] * MIN_FAILURES)

    def forget_attempts(self, servers: Collection[Server]) -> None:
        """Leave attempts at these servers out of the search for a common cause."""
        self.recent_attempts = deque(
            (
                attempt
                for attempt in self.recent_attempts
                if attempt.server not in servers
            ),
            maxlen=ATTEMPTS_KEPT,
        )

    def is_outlier(self, now_ms: float, server: Server) -> bool:
        """Whether sessions should rather go to other servers."""
        return self.is_unresponsive(server) or self.is_failing(now_ms, server)

    def is_unresponsive(self, server: Server) -> bool:
        """Whether the last probes of a server remained without an answer."""
        return server.unanswered_probes >= MAX_UNANSWERED_PROBES

    def is_failing(self, now_ms: float, server: Server) -> bool:
        """Whether sessions fail at a server, apart from the next trial.

        There is no fixed time after which it returns. One session at a time tries it,
        and until that one has stood for a while nothing else goes there. Each failure
        among the last results doubles the wait for the next trial.
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
                return now_ms - at_ms < TRIAL_MS
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
        """Whether attempts fail at many servers at once.

        What all servers depend on is then overloaded, and further attempts would
        overload it more. Servers are counted as well as attempts: a few servers that
        fail in turn take many attempts, without any common cause.
        """
        since_ms = now_ms - ATTEMPT_LIFETIME_MS
        results: dict[Server, list[bool]] = {}
        for attempt in self.recent_attempts:
            if attempt.at_ms > since_ms:
                results.setdefault(attempt.server, []).append(attempt.succeeded)
        failing = sum(2 * sum(each) <= len(each) for each in results.values())
        attempts = sum(len(each) for each in results.values())
        succeeded = sum(sum(each) for each in results.values())
        return (
            failing >= MIN_FAILING_SERVERS
            and 2 * failing >= len(results)
            and 2 * succeeded <= attempts
        )


def _trial_wait_ms(failures_ms: list[float]) -> float:
    """Return how long after the last failure the next trial has to wait."""
    separate = 1 + sum(
        later_ms - earlier_ms > FAILURE_INTERVAL_MS
        for earlier_ms, later_ms in zip(failures_ms, failures_ms[1:], strict=False)
    )
    return FAILURE_INTERVAL_MS * 2 ** (separate + 1)
