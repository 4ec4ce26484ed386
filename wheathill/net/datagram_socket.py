"""A socket for datagrams."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING, Any

from wheathill.net.fault_isolation import FaultIsolation
from wheathill.net.socket_options import address_family

if TYPE_CHECKING:
    from wheathill.net.interfaces import SocketTransport

MAX_EARLY = 64  # datagrams kept until the loop has the socket; older ones are lost


class DatagramSocket(FaultIsolation, asyncio.DatagramProtocol):
    """One socket for datagrams; what can't be sent at once is lost, as datagrams are.

    Attributes:
        carrier: the transport that it belongs to.
        machine: called with each datagram and the host and port that it is from.
        transport: asyncio's, once the loop has the socket.
    """

    def __init__(
        self,
        carrier: SocketTransport,
        machine: Any,  # noqa: ANN401 - whatever takes datagrams
        address: tuple[str, int],
    ) -> None:
        """Bind the address; raises OSError."""
        self.carrier = carrier
        self.machine = machine
        self.transport: Any = None
        self._early: deque[tuple[bytes, tuple[str, int]]] = deque(maxlen=MAX_EARLY)
        sock = socket.socket(address_family(address[0]), socket.SOCK_DGRAM)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        # Kept: the loop itself holds tasks by weak references only.
        self._task = carrier.loop.create_task(
            carrier.loop.create_datagram_endpoint(lambda: self, sock=sock)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send what has waited for the loop to take the socket."""
        self.transport = transport
        for data, address in self._early:
            self.send(data, address)

    def datagram_received(self, data: bytes, address: tuple[Any, ...]) -> None:
        """Pass a datagram to the machine."""
        self.guard(self.machine.received, data, address[:2])

    def error_received(self, error: Exception) -> None:
        """Ignore that a host refuses; whoever needs to know finds out."""

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, or lose it where the socket's buffer is full."""
        if self.transport is None:
            self._early.append((data, address))
        elif not self.transport.get_write_buffer_size():
            self.transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
