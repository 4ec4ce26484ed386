"""Logs what peers send against the protocol, at a limited rate.

A peer may break the protocol thousands of times with one read. A line for each of them
would keep the event loop from everybody else, and fill the queue of the log.
"""

from __future__ import annotations

from collections.abc import Callable

from wheathill.config.limits import ProxyLimits
from wheathill.log_events import LogEvent
from wheathill.net.interfaces import EventLog


class ProtocolErrorLog:
    """Protocol errors of one kind of peers: clients, servers or discovery.

    Attributes:
        total: how many there were since the start, logged or not.
    """

    def __init__(self, log_event: EventLog, now: Callable[[], float]) -> None:
        """Use a log and a source of the monotonic time in ms."""
        self.total = 0
        self._log_event = log_event
        self._now = now
        self._window_start_ms = 0.0
        self._logged_in_window = 0

    def add(self, limits: ProxyLimits, what: str, **fields: object) -> None:
        """Count an error, and log it unless many were logged within the window."""
        self.total += 1
        now_ms = self._now()
        if now_ms - self._window_start_ms >= limits.protocol_error_window_ms:
            self._window_start_ms, self._logged_in_window = now_ms, 0
        self._logged_in_window += 1
        if self._logged_in_window <= limits.max_protocol_errors_logged:
            self._log_event(
                LogEvent.PROTOCOL_ERROR, what=what, so_far=self.total, **fields
            )
