"""Lifeguard's local health: how reliable an instance's own observations are."""

from collections import deque

MAX_SCORE = 8  # Lifeguard's S: limits the multiplier of intervals and timeouts to 9
RECENT_PROBE_WINDOW = 16  # probes
# The network counts as lossy if more than this share of recent probes was late or
# unanswered, across at least so many targets: a single target may itself be slow.
LOSSY_LATE_SHARE = 1 / 8
LOSSY_LATE_TARGETS = 2


class LocalHealth:
    """Evidence that this instance or its network is at fault rather than its targets.

    Attributes:
        score: 0 when healthy; raised by each missed ack and by suspicions of this
            instance.
        stalled_since_ms: When this process was last found to have been stopped or
            starved of CPU; None if it was not, or once another instance has answered.
        unanswered_probes: Number of consecutive probes without an ack.
    """

    def __init__(self) -> None:
        self.score = 0
        self.stalled_since_ms: float | None = None
        self.unanswered_probes = 0
        # For each recent probe: the target's name if the ack was late or missing, else
        # None.
        self._late_targets: deque[str | None] = deque(maxlen=RECENT_PROBE_WINDOW)

    @property
    def multiplier(self) -> int:
        """Factor by which probe intervals and timeouts are lengthened."""
        return 1 + self.score

    @property
    def is_stalled(self) -> bool:
        """Whether this process was stalled and no instance has answered it since.

        While it is, missed messages are no evidence against other members.
        """
        return self.stalled_since_ms is not None

    @property
    def is_network_lossy(self) -> bool:
        """Whether many datagrams are lost, so that silence is weaker evidence."""
        late = [name for name in self._late_targets if name is not None]
        return len(set(late)) >= LOSSY_LATE_TARGETS and len(
            late
        ) > LOSSY_LATE_SHARE * len(self._late_targets)

    def worsen(self, amount: int = 1) -> None:
        """Raise the score, as this instance may be slow or partitioned."""
        self.score = min(MAX_SCORE, self.score + amount)

    def improve(self, was_late: bool) -> None:
        """Lower the score after an acknowledged probe.

        An ack in time halves the score, so that an instance recovers quickly after a
        partition in which unreachable members raised it.
        """
        self.score = max(0, self.score - 1) if was_late else self.score // 2

    def on_stall(self, now_ms: float) -> None:
        """Record that this process was stopped or starved of CPU."""
        self.stalled_since_ms = now_ms
        self.worsen()

    def on_ack(self) -> None:
        """Record that another instance has answered."""
        self.stalled_since_ms = None
        self.unanswered_probes = 0

    def record_probe(self, target_name: str, was_late: bool) -> None:
        """Record a completed probe; `was_late` is also true if it was not answered."""
        self._late_targets.append(target_name if was_late else None)
