"""Counters of the transport, and rate-limited logging of dropped messages."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from wheathill.log_events import LogEvent
from wheathill.peers.environment import Clock
from wheathill.peers.frames import RejectReason

# Per reason, so that a flood of bad frames does not flood the log.
DROP_LOG_INTERVAL_MS = 60_000.0


class DropReason(StrEnum):
    """Why the transport dropped a message, other than a rejected frame."""

    RATE_LIMITED = "too often"
    QUEUE_FULL = "queue full"
    STREAM_CLOSED = "stream cut off"


class TransportMetrics:
    """Counters of one transport.

    Attributes:
        datagrams_sent: Frames sent as datagrams.
        messages_received: Accepted messages, from datagrams and streams.
        bytes_sent: Bytes of sent frames.
        bytes_received: Bytes of received frames, including dropped ones.
        dropped: Dropped messages by the text of the reason.
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
        """Count a dropped message, and log it at most once per interval and reason."""
        text = reason.value
        self.dropped[text] = self.dropped.get(text, 0) + 1
        now_ms = self._clock.now()
        logged_at_ms = self._logged_at_ms.get(text, -DROP_LOG_INTERVAL_MS)
        if now_ms - logged_at_ms >= DROP_LOG_INTERVAL_MS:
            self._logged_at_ms[text] = now_ms
            self._log_event(
                LogEvent.FRAME_DROPPED,
                why=text,
                came_from=source,
                so_far=self.dropped[text],
            )

    def as_dict(self) -> dict[str, Any]:
        """Return the counters under their external names."""
        return {
            "sent": self.datagrams_sent,
            "taken": self.messages_received,
            "bytes": self.bytes_sent,
            "bytes_in": self.bytes_received,
            "dropped": dict(self.dropped),
        }
