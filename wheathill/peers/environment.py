"""What a peer service runs in: the proxy that it serves, its clock, sockets and log."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from wheathill.model import Phase, Server
from wheathill.net.interfaces import Clock


class Closeable(Protocol):
    """An open socket of whatever kind."""

    def close(self) -> None:
        """Close it."""


class ServedProxy(Protocol):
    """The proxy that the service informs, and whose servers it has seen.

    Attributes:
        servers: by name.
        balancer: decides where sessions go.
    """

    servers: Mapping[str, Server]
    balancer: Any

    def on_peer_update(
        self, server: Server, phase: Phase, process_start_ms: float
    ) -> None:
        """Take in a drain, its end or a new start that the own list doesn't say."""


@dataclass(frozen=True, slots=True)
class PeerEnvironment:
    """Everything around a peer service but its settings.

    Attributes:
        proxy: the one that it serves.
        transport: opens sockets.
        clock: gives the time and sets timers.
        log_event: writes an event, with keyword fields, to the log.
    """

    proxy: ServedProxy
    transport: Any
    clock: Clock
    log_event: Callable[..., None]
