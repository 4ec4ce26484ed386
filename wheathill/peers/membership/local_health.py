"""Lifeguard's local health: how far an instance may trust what it observes."""

from collections import deque

MAX_SCORE = 8  # Lifeguard's S: intervals and timeouts are 9 times as long at the most
RECENT_PROBES = 16  # by which the loss of datagrams is judged
LOSSY_SHARE = 1 / 8  # of the recent probes that were late or unanswered
LOSSY_TARGETS = (
    2  # different members whose probes were: a single one may itself be slow
)


class LocalHealth:
    """Signs that this instance or its network is at fault, and not who it probes.

    Attributes:
        score: 0 where it is well; each missed answer or suspicion of it makes it more
            careful.
        stalled_since_ms: Since when it has been stopped or starved and nobody has
            answered it, None if it was not.
        unanswered_probes: Probes in a row that nobody answered.
    """

    def __init__(self) -> None:
        self.score = 0
        self.stalled_since_ms: float | None = None
        self.unanswered_probes = 0
        # Of the last probes the target's name where the answer was late or none came,
        # else None.
        self._late_targets: deque[str | None] = deque(maxlen=RECENT_PROBES)

    @property
    def multiplier(self) -> int:
        """By how much probes are made less often, and answers are awaited longer."""
        return 1 + self.score

    @property
    def is_stalled(self) -> bool:
        """Whether this process was stopped and nobody has answered it since.

        What it has missed says nothing of others.
        """
        return self.stalled_since_ms is not None

    @property
    def is_network_lossy(self) -> bool:
        """Whether datagrams are being lost: silence is a weaker sign of death."""
        late = [name for name in self._late_targets if name is not None]
        return len(set(late)) >= LOSSY_TARGETS and len(late) > LOSSY_SHARE * len(
            self._late_targets
        )

    def worsen(self, amount: int = 1) -> None:
        """Take note of signs that this instance is slow or cut off."""
        self.score = min(MAX_SCORE, self.score + amount)

    def improve(self, was_late: bool) -> None:
        """Take note of an answered probe.

        After an answer in time the score is halved: an instance that was partitioned
        raised it by those that it could not reach, and is well again soon.
        """
        self.score = max(0, self.score - 1) if was_late else self.score // 2

    def on_stall(self, now_ms: float) -> None:
        """Take note that this process has been stopped or starved."""
        self.stalled_since_ms = now_ms
        self.worsen()

    def on_ack(self) -> None:
        """Take note that another instance has answered."""
        self.stalled_since_ms = None
        self.unanswered_probes = 0

    def record_probe(self, target_name: str, was_late: bool) -> None:
        """Take note of a probe that has ended; `was_late` also where no answer came."""
        self._late_targets.append(target_name if was_late else None)
