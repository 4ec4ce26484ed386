"""The dependencies of a peer service: its proxy, clock, sockets and log."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from wheathill.model import Phase, Server
from wheathill.net.interfaces import Clock


class Closeable(Protocol):
    """An open socket of any kind."""

    def close(self) -> None:
        """Close the socket."""


class ServedProxy(Protocol):
    """The proxy that a peer service works for.

    Attributes:
        servers: the servers of its endpoint list, by name.
        balancer: selects the servers of sessions.
    """

    servers: Mapping[str, Server]
    balancer: Any

    def on_peer_update(
        self, server: Server, phase: Phase, process_start_ms: float
    ) -> None:
        """Apply a phase or a process start that the own endpoint list doesn't have."""


@dataclass(frozen=True, slots=True)
class PeerEnvironment:
    """The dependencies of a peer service, other than its settings.

    Attributes:
        proxy: the proxy that the service works for.
        transport: opens sockets.
        clock: returns the time and sets timers.
        log_event: writes an event with keyword fields to the log.
    """

    proxy: ServedProxy
    transport: Any
    clock: Clock
    log_event: Callable[..., None]
