"""What the admin endpoint needs of a connection and of the proxy."""

from collections.abc import Container
from typing import Any, Protocol

from wheathill.config.limits import ProxyLimits


class AdminConnection(Protocol):
    """The transport of one request."""

    counted: bool  # whether it holds a descriptor
    open: bool  # whether it is up
    unread: bool  # whether bytes have come that were not read yet

    def send(self, *parts: bytes) -> None:
        """Send bytes."""

    def part(self) -> None:
        """End the connection once all is sent."""

    def abort(self) -> None:
        """End the connection at once."""


class AdministeredProxy(Protocol):
    """The proxy that operators see and change."""

    limits: ProxyLimits
    clock: Any
    ready: bool
    handed_over: bool  # whether another process has taken over
    stopping_since_ms: float | None  # since when, in ms
    known_names: Container[str]  # of all servers that were ever listed

    def now(self) -> float:
        """Return the monotonic time in ms."""

    def metrics_report(self) -> dict[str, Any]:
        """Return the metrics for operators."""

    def set_maintenance(self, name: str, out: bool) -> bool:
        """Take a server out of service or back in; return whether that outlives us.

        Raises:
            OSError: It can't be kept, and nothing was changed.
        """
