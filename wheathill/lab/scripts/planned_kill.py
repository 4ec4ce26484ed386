"""When the platform kills a proxy process that it has told to stop."""

from collections.abc import Iterable

from wheathill.config.operator_tables import ListenerTable

# The platform counts this much of the longest dial timeout at most.
MAX_COUNTED_DIAL_TIMEOUT_MS = 3000.0
# What it waits in addition.
KILL_MARGIN_MS = 700.0


def planned_kill_delay_ms(listeners: Iterable[ListenerTable]) -> float:
    """Return the time between SIGTERM and SIGKILL at a planned restart."""
    longest_ms = max(listener.dial_timeout_ms for listener in listeners)
    return min(longest_ms, MAX_COUNTED_DIAL_TIMEOUT_MS) + KILL_MARGIN_MS
