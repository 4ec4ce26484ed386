"""Fallback probe over TCP, which checks whether a process listens at an address.

Like memberlist's TCP fallback ping, except that an established connection is a
sufficient answer.
"""

from collections.abc import Callable

from wheathill.config.limits import ProxyLimits
from wheathill.net.protocol_machine import ProtocolMachine
from wheathill.peers.connections import Connection
from wheathill.peers.environment import Clock
from wheathill.peers.membership import ProbeResult

# Connections per probe, started at equal intervals within its timeout. The kernel
# retransmits a SYN only after one second, then after two, which is too rare when a
# quarter of all segments is lost.
CONNECTION_ATTEMPTS = 5


class FallbackProber:
    """A single probe, decided by the first of its connections that has a result.

    `connect` opens a connection for a protocol machine and returns it; `on_result` is
    called once.
    """

    def __init__(
        self,
        clock: Clock,
        limits: ProxyLimits,
        connect: Callable[[ProtocolMachine], Connection],
        on_result: Callable[[ProbeResult], object],
    ) -> None:
        self._clock, self._limits, self._connect = clock, limits, connect
        self._on_result: Callable[[ProbeResult], object] | None = on_result
        self._connections: list[ProbeConnection] = []

    def start(self, timeout_ms: float) -> None:
        """Start the probe, which ends without an answer after `timeout_ms`."""
        self._clock.after(timeout_ms, self._finish, ProbeResult.NO_ANSWER)
        for attempt in range(CONNECTION_ATTEMPTS):
            wait_ms = attempt * timeout_ms / CONNECTION_ATTEMPTS
            self._clock.after(wait_ms, self._open_connection)

    def _open_connection(self) -> None:
        if self._on_result is None:
            return
        connection = ProbeConnection(self._finish, self._limits, self._clock)
        self._connections.append(connection)
        connection.connection = self._connect(connection)

    def _finish(self, result: ProbeResult) -> None:
        on_result, self._on_result = self._on_result, None
        if on_result is not None:
            on_result(result)
        for connection in self._connections:
            connection.connection.abort()
        self._connections = []


class ProbeConnection(ProtocolMachine):
    """Protocol machine of a connection that only has to be established."""

    def __init__(
        self,
        on_result: Callable[[ProbeResult], None],
        limits: ProxyLimits,
        clock: Clock,
    ) -> None:
        super().__init__(None, limits, clock)
        self._on_result = on_result

    def connected(self) -> None:
        """Report that a process listens at the address."""
        self._on_result(ProbeResult.REACHABLE)

    def lost(self, reset: bool) -> None:
        """Report a refused connection.

        Other failures are not reported before the timeout, as the host may be
        unreachable only briefly.
        """
        if self.connection.refused:
            self._on_result(ProbeResult.REFUSED)
