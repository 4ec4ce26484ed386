"""Interfaces of the connection and the proxy that the admin endpoint uses."""

from collections.abc import Container
from typing import Any, Protocol

from wheathill.config.limits import ProxyLimits


class AdminConnection(Protocol):
    """The connection that carries one request.

    Attributes:
        holds_descriptor: whether it holds a descriptor.
        open: whether it is established and not closed.
        has_unread_bytes: whether received bytes are waiting to be read.
    """

    holds_descriptor: bool
    open: bool
    has_unread_bytes: bool

    def send(self, *parts: bytes) -> None:
        """Send bytes."""

    def close_gracefully(self) -> None:
        """Close the connection once all bytes are sent."""

    def abort(self) -> None:
        """Close the connection immediately."""


class AdministeredProxy(Protocol):
    """The proxy whose status operators query and change.

    Attributes:
        limits: size and time limits of the proxy.
        clock: provides the time and timers.
        ready: whether it accepts sessions.
        handed_over: whether another process has taken over.
        known_names: names of all servers that the endpoint list has ever contained.
    """

    limits: ProxyLimits
    clock: Any
    ready: bool
    handed_over: bool
    known_names: Container[str]

    @property
    def stopping_since_ms(self) -> float | None:
        """When the shutdown began, in ms; None before it."""

    def now(self) -> float:
        """Return the monotonic time in ms."""

    def metrics_report(self) -> dict[str, Any]:
        """Return the metrics that operators see."""

    def set_maintenance(self, name: str, out: bool) -> bool:
        """Put a server into maintenance (`out`) or end it; return whether it persists.

        Raises:
            OSError: The change can't be stored; nothing was changed.
        """
