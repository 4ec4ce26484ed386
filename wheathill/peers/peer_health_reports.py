"""The health of servers as seen by several proxies, compared. Free of I/O.

Each proxy reports what it has seen by itself in the last seconds, never what was
reported to it: evidence has one source and travels once. Two questions are answered.
Does a server fail for all, so that this proxy need not find out by sessions of its own?
Does one fail for this proxy alone, so that the network path is at fault and not the
server?

A reporter that others contradict weighs less: one behind a bad path calls many servers
failing by which others are served. What this proxy sees itself is newer than what is
reported to it, and takes precedence.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, Self

# Servers of which reports are kept, a bound on memory.
MAX_SERVERS = 4096
# Milliseconds between what two proxies saw of one server, at the most, for them to
# contradict each other.
CONTRADICTION_WINDOW_MS = 300.0
# Weight of agreeing reporters from which a server counts as failing for all: two
# reporters at least.
REQUIRED_WEIGHT = 1.5
# Reporters that are served by a server which fails here, for the path from here to be
# at fault.
REQUIRED_CONTRADICTIONS = 2


class ServerHealth(IntEnum):
    """How a server was seen; the numbers are those of the messages."""

    FAILING = 0
    SERVING = 1


_HEALTH_BY_VALUE = {health.value: health for health in ServerHealth}


# Observations and reports are made for each server of each message: not frozen, which
# would double what it costs to make one.
@dataclass(slots=True)
class HealthObservation:
    """What was last seen of a server, and when (monotonic clock)."""

    health: ServerHealth
    seen_at_ms: float


@dataclass(slots=True)
class HealthReport:
    """What another proxy has seen of a server, `age_ms` before the report."""

    server: str
    health: ServerHealth
    age_ms: float

    def encode(self) -> list[Any]:
        """Return the report as it stands in a message."""
        return [self.server, int(self.health), self.age_ms]

    @classmethod
    def decode(cls, fields: Sequence[Any]) -> Self | None:
        """Read a report of a message.

        Returns None where its health is one that this version doesn't know. Raises
        ValueError or TypeError where it is no report.
        """
        server, value, age_ms = fields
        health = _HEALTH_BY_VALUE.get(value)
        return None if health is None else cls(server, health, age_ms)


@dataclass(frozen=True, slots=True)
class HealthVerdict:
    """What follows from all reports: names of servers, in order."""

    failing_for_all: tuple[str, ...] = ()
    failing_locally_only: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Tell whether any server fails."""
        return bool(self.failing_for_all or self.failing_locally_only)


class PeerHealthReports:
    """The reports of other proxies that are recent enough to count.

    `freshness_ms`: how long a report weighs anything.
    """

    def __init__(self, freshness_ms: float) -> None:
        self._freshness_ms = freshness_ms
        # By server, then by the name of the reporter.
        self._reports: dict[str, dict[str, HealthObservation]] = {}

    def record(
        self, now_ms: float, source: str, reports: Iterable[HealthReport]
    ) -> None:
        """Take in what `source` has seen itself."""
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
        """Drop all reports of a member that is gone."""
        for by_source in self._reports.values():
            by_source.pop(source, None)

    def verdict(
        self, now_ms: float, own: Mapping[str, HealthObservation]
    ) -> HealthVerdict:
        """Judge all servers that were reported.

        `own`: what this proxy itself last saw of each.
        """
        weights = self._reporter_weights(now_ms)
        for_all, here_alone = [], []
        for server in sorted(self._reports):
            by_source = self._reports[server]
            if _fails_here_alone(by_source.values(), own.get(server)):
                here_alone.append(server)
            elif _fails_for_all(by_source, weights, own.get(server)):
                for_all.append(server)
        return HealthVerdict(tuple(for_all), tuple(here_alone))

    def _reporter_weights(self, now_ms: float) -> dict[str, float]:
        """Weigh each reporter by how often others contradict it.

        The weight is 1, less the share of the servers that it calls failing and by
        which as many others are served.
        """
        failing, serving = ServerHealth.FAILING, ServerHealth.SERVING
        claims: dict[str, int] = {}
        contradicted: dict[str, int] = {}
        for server in list(self._reports):
            by_source = self._drop_outdated(now_ms, server)
            if not by_source:
                del self._reports[server]
                continue
            served = sum(seen.health is serving for seen in by_source.values())
            is_contradicted = 2 * served >= len(by_source)
            for source, seen in by_source.items():
                if seen.health is failing:
                    claims[source] = claims.get(source, 0) + 1
                    contradicted[source] = contradicted.get(source, 0) + is_contradicted
        return {
            source: 1.0 - contradicted[source] / count
            for source, count in claims.items()
        }

    def _drop_outdated(
        self, now_ms: float, server: str
    ) -> dict[str, HealthObservation]:
        by_source = self._reports[server]
        outdated = [
            source
            for source, seen in by_source.items()
            if now_ms - seen.seen_at_ms >= self._freshness_ms
        ]
        for source in outdated:
            del by_source[source]
        return by_source


def _times(reports: Iterable[HealthObservation], health: ServerHealth) -> list[float]:
    return [seen.seen_at_ms for seen in reports if seen.health is health]


def _fails_here_alone(
    reports: Collection[HealthObservation], own: HealthObservation | None
) -> bool:
    """Tell whether others were served after it failed here.

    Or so soon before that the server hardly broke for all in between.
    """
    if (
        own is None
        or own.health is not ServerHealth.FAILING
        or _times(reports, ServerHealth.FAILING)
    ):
        return False
    serving = _times(reports, ServerHealth.SERVING)
    contradicting = sum(
        seen > own.seen_at_ms - CONTRADICTION_WINDOW_MS for seen in serving
    )
    return contradicting >= REQUIRED_CONTRADICTIONS


def _fails_for_all(
    by_source: Mapping[str, HealthObservation],
    weights: Mapping[str, float],
    own: HealthObservation | None,
) -> bool:
    """Tell whether enough reporters agree, and nobody has been served since.

    One that is served speaks against all that were not: a server that is up serves
    somebody.
    """
    failing, serving = ServerHealth.FAILING, ServerHealth.SERVING
    weight = sum(
        weights.get(source, 1.0)
        for source, seen in by_source.items()
        if seen.health is failing
    )
    if weight < REQUIRED_WEIGHT:
        return False
    first_failure_ms = min(_times(by_source.values(), failing))
    served_at_ms = _times(by_source.values(), serving)
    if served_at_ms and max(served_at_ms) > first_failure_ms:
        return False
    return own is None or own.health is not serving or own.seen_at_ms < first_failure_ms
