"""What the transport counts, and the log line for messages that it drops."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from wheathill.log_events import LogEvent
from wheathill.peers.environment import Clock
from wheathill.peers.frames import RejectReason

# For each reason; a flood of bad frames must not become a flood of lines.
LOG_INTERVAL_MS = 60_000.0


class DropReason(StrEnum):
    """Why the transport dropped a message, beside what is wrong with its frame."""

    RATE_LIMITED = "too often"
    QUEUE_FULL = "queue full"
    STREAM_CLOSED = "stream cut off"


class TransportMetrics:
    """Counters of one transport.

    Attributes:
        datagrams_sent: frames that left as datagrams.
        messages_received: messages that were accepted, over datagrams and streams.
        bytes_sent: of frames.
        bytes_received: of frames, also of those that were dropped.
        dropped: messages by the text of the reason.
    """

    def __init__(self, clock: Clock, log_event: Callable[..., None]) -> None:
        self._clock, self._log_event = clock, log_event
        self.datagrams_sent = 0
        self.messages_received = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.dropped: dict[str, int] = {}
        self._logged_at_ms: dict[str, float] = {}

    def record_drop(self, reason: RejectReason | DropReason, source: str) -> None:
        """Count a message that was dropped, and log it unless its reason just was."""
        text = reason.value
        self.dropped[text] = self.dropped.get(text, 0) + 1
        now_ms = self._clock.now()
        logged_at_ms = self._logged_at_ms.get(text, -LOG_INTERVAL_MS)
        if now_ms - logged_at_ms >= LOG_INTERVAL_MS:
            self._logged_at_ms[text] = now_ms
            self._log_event(
                LogEvent.FRAME_DROPPED,
                why=text,
                came_from=source,
                so_far=self.dropped[text],
            )

    def as_dict(self) -> dict[str, Any]:
        """Return the counters under the names that operators see."""
        return {
            "sent": self.datagrams_sent,
            "taken": self.messages_received,
            "bytes": self.bytes_sent,
            "bytes_in": self.bytes_received,
            "dropped": dict(self.dropped),
        }
