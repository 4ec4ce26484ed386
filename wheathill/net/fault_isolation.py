"""Keeps a fault in one connection's callback from the other connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from wheathill.log_events import LogEvent

if TYPE_CHECKING:
    from wheathill.net.interfaces import EventLog


class FaultIsolation:
    """What each kind of connection does with its machine, on sockets and in the lab.

    Attributes:
        carrier: the transport, which has the log.
        machine: the protocol state machine that is called.
    """

    carrier: Any
    machine: Any

    def guard(self, call: Callable[..., object], *args: object) -> None:
        """Call; an exception ends this connection, with an answer, and no other."""
        try:
            call(*args)
        except Exception as error:
            log_fault(self.carrier.log, call, error)
            self.machine.fault()


def log_fault(
    log_event: EventLog, call: Callable[..., object], error: Exception
) -> None:
    """Log an exception that a callback has raised."""
    log_event(
        LogEvent.INTERNAL_ERROR,
        where=getattr(call, "__qualname__", str(call)),
        what=repr(error),
        line=_raising_line(error),
    )


def _raising_line(error: Exception) -> str:
    """Return file and line of the innermost frame."""
    trace = error.__traceback__
    if trace is None:
        return ""
    while trace.tb_next:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename.rpartition('/')[2]}:{trace.tb_lineno}"
