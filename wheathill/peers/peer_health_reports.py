"""Compares the health of servers as observed by several proxies. Performs no I/O.

Each proxy reports only its own observations of the last seconds, and never forwards
those of others, so each observation has one source and is sent only by it. The
comparison finds servers that fail for all proxies, so that this proxy need not find out
with sessions of its own, and servers that fail for this proxy only, where the network
path is at fault and not the server.

A reporter that others contradict has a lower weight: a proxy with a faulty network path
reports many servers as failing that serve other proxies. This proxy's own observations
are newer than reported ones and take precedence.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, Self

# Servers for which reports are kept; bounds memory.
MAX_SERVERS = 4096
# A success of another proxy that is older than the own failure by less than this still
# contradicts it.
CONTRADICTION_WINDOW_MS = 300.0
# Minimum total weight of the reporters of a failing server for it to count as failing
# for all. A reporter's weight is at most 1, so at least two reporters are needed.
MIN_FAILING_WEIGHT = 1.5
# Minimum number of reporters served by a server that fails for this proxy, for the
# network path of this proxy to be considered at fault.
MIN_CONTRADICTING_REPORTERS = 2


class ServerHealth(IntEnum):
    """Observed health of a server; the values are those used in messages."""

    FAILING = 0
    SERVING = 1


_HEALTH_BY_VALUE = {health.value: health for health in ServerHealth}


# Observations and reports are created for each server of each message. They are not
# frozen dataclasses, because those take twice as long to create.
@dataclass(slots=True)
class HealthObservation:
    """The latest observed health of a server, and its time (monotonic clock)."""

    health: ServerHealth
    seen_at_ms: float


@dataclass(slots=True)
class HealthReport:
    """A proxy's observation of a server, made `age_ms` before the report."""

    server: str
    health: ServerHealth
    age_ms: float

    def encode(self) -> list[Any]:
        """Return the report in the form used in messages."""
        return [self.server, int(self.health), self.age_ms]

    @classmethod
    def decode(cls, fields: Sequence[Any]) -> Self | None:
        """Decode a report from a message.

        Returns None if this version doesn't know the health value.

        Raises:
            ValueError: The fields are not a report.
            TypeError: The fields are not a report.
        """
        server, value, age_ms = fields
        health = _HEALTH_BY_VALUE.get(value)
        return None if health is None else cls(server, health, age_ms)


@dataclass(frozen=True, slots=True)
class HealthVerdict:
    """Result of comparing all reports: server names, sorted.

    Attributes:
        failing_for_all: servers that fail for all proxies.
        failing_locally_only: servers that fail for this proxy, but serve others.
    """

    failing_for_all: tuple[str, ...] = ()
    failing_locally_only: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Return whether any server is failing."""
        return bool(self.failing_for_all or self.failing_locally_only)


class PeerHealthReports:
    """The recent health reports of other proxies.

    Observations older than `freshness_ms` are dropped.
    """

    def __init__(self, freshness_ms: float) -> None:
        self._freshness_ms = freshness_ms
        # By server, then by name of the reporter.
        self._reports: dict[str, dict[str, HealthObservation]] = {}

    def record(
        self, now_ms: float, source: str, reports: Iterable[HealthReport]
    ) -> None:
        """Store the observations reported by the member `source`."""
        for report in reports:
            if not 0 <= report.age_ms < self._freshness_ms:
                continue
            seen_at_ms = now_ms - report.age_ms
            by_source = self._reports.setdefault(report.server, {})
            known = by_source.get(source)
            known_at_ms = -1.0 if known is None else known.seen_at_ms
            if known_at_ms <= seen_at_ms:
                by_source[source] = HealthObservation(report.health, seen_at_ms)
        while len(self._reports) > MAX_SERVERS:
            del self._reports[next(iter(self._reports))]

    def forget_source(self, source: str) -> None:
        """Remove all reports of a member that is dead or has left."""
        for by_source in self._reports.values():
            by_source.pop(source, None)

    def verdict(
        self, now_ms: float, own: Mapping[str, HealthObservation]
    ) -> HealthVerdict:
        """Evaluate all servers that were reported.

        `own` contains this proxy's own latest observations, by server.
        """
        weights = self._reporter_weights(now_ms)
        for_all, locally_only = [], []
        for server in sorted(self._reports):
            by_source = self._reports[server]
            if _fails_locally_only(by_source.values(), own.get(server)):
                locally_only.append(server)
            elif _fails_for_all(by_source, weights, own.get(server)):
                for_all.append(server)
        return HealthVerdict(tuple(for_all), tuple(locally_only))

    def _reporter_weights(self, now_ms: float) -> dict[str, float]:
        """Return the weight of each reporter of a failing server.

        The weight is 1, reduced by the fraction of its failure reports that are
        contradicted: at least half of the reporters of the server are served by it.
        """
        failing, serving = ServerHealth.FAILING, ServerHealth.SERVING
        failure_reports: dict[str, int] = {}
        contradicted: dict[str, int] = {}
        for server in list(self._reports):
            by_source = self._drop_outdated(now_ms, server)
            if not by_source:
                del self._reports[server]
                continue
            served = sum(
                observation.health is serving for observation in by_source.values()
            )
            is_contradicted = 2 * served >= len(by_source)
            for source, observation in by_source.items():
                if observation.health is failing:
                    failure_reports[source] = failure_reports.get(source, 0) + 1
                    contradicted[source] = contradicted.get(source, 0) + is_contradicted
        return {
            source: 1.0 - contradicted[source] / count
            for source, count in failure_reports.items()
        }

    def _drop_outdated(
        self, now_ms: float, server: str
    ) -> dict[str, HealthObservation]:
        by_source = self._reports[server]
        outdated = [
            source
            for source, observation in by_source.items()
            if now_ms - observation.seen_at_ms >= self._freshness_ms
        ]
        for source in outdated:
            del by_source[source]
        return by_source


def _observation_times(
    observations: Iterable[HealthObservation], health: ServerHealth
) -> list[float]:
    return [
        observation.seen_at_ms
        for observation in observations
        if observation.health is health
    ]


def _fails_locally_only(
    observations: Collection[HealthObservation], own: HealthObservation | None
) -> bool:
    """Return whether a server fails for this proxy while it serves others.

    Another proxy contradicts the own failure if it was served later, or so shortly
    before that the server is unlikely to have failed for all in between.
    """
    if (
        own is None
        or own.health is not ServerHealth.FAILING
        or _observation_times(observations, ServerHealth.FAILING)
    ):
        return False
    served_at_ms = _observation_times(observations, ServerHealth.SERVING)
    contradicting = sum(
        at_ms > own.seen_at_ms - CONTRADICTION_WINDOW_MS for at_ms in served_at_ms
    )
    return contradicting >= MIN_CONTRADICTING_REPORTERS


def _fails_for_all(
    by_source: Mapping[str, HealthObservation],
    weights: Mapping[str, float],
    own: HealthObservation | None,
) -> bool:
    """Return whether enough reporters saw a failure and no proxy was served since.

    One proxy that is served outweighs all failure reports, because a server that has
    failed for all serves none.
    """
    failing, serving = ServerHealth.FAILING, ServerHealth.SERVING
    weight = sum(
        weights.get(source, 1.0)
        for source, observation in by_source.items()
        if observation.health is failing
    )
    if weight < MIN_FAILING_WEIGHT:
        return False
    first_failure_ms = min(_observation_times(by_source.values(), failing))
    served_at_ms = _observation_times(by_source.values(), serving)
    if served_at_ms and max(served_at_ms) > first_failure_ms:
        return False
    return own is None or own.health is not serving or own.seen_at_ms < first_failure_ms
