"""Confines an exception in one connection's callback to that connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from wheathill.log_events import LogEvent

if TYPE_CHECKING:
    from wheathill.net.interfaces import EventLog


class FaultIsolation:
    """Base class of connections that catch exceptions of their state machine.

    Connections on sockets and simulated connections of the lab share it.

    Attributes:
        transport: the transport, whose log is written to.
        machine: the protocol state machine that is called.
    """

    transport: Any
    machine: Any

    def guard(self, call: Callable[..., object], *args: object) -> None:
        """Call; on an exception, log it and let the machine end this connection.

        The machine still sends a final answer. Other connections are not affected.
        """
        try:
            call(*args)
        except Exception as error:
            log_fault(self.transport.log, call, error)
            self.machine.fault()


def log_fault(
    log_event: EventLog, call: Callable[..., object], error: Exception
) -> None:
    """Log an exception that a callback raised."""
    log_event(
        LogEvent.INTERNAL_ERROR,
        where=getattr(call, "__qualname__", str(call)),
        what=repr(error),
        line=_raising_line(error),
    )


def _raising_line(error: Exception) -> str:
    """Return the file and line of the innermost frame, as `file.py:123`."""
    trace = error.__traceback__
    if trace is None:
        return ""
    while trace.tb_next:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename.rpartition('/')[2]}:{trace.tb_lineno}"
