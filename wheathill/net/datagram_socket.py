"""A UDP socket on the event loop."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING, Any

from wheathill.net.fault_isolation import FaultIsolation
from wheathill.net.socket_options import address_family

if TYPE_CHECKING:
    from wheathill.net.interfaces import SocketTransport

# Datagrams queued until the event loop has registered the socket; the oldest ones are
# dropped first.
MAX_QUEUED_DATAGRAMS = 64


class DatagramSocket(FaultIsolation, asyncio.DatagramProtocol):
    """A UDP socket; a datagram that can't be sent immediately is dropped.

    Attributes:
        transport: the transport that this socket belongs to.
        machine: receives each datagram with the sender's host and port.
        asyncio_transport: asyncio's transport, once the loop has registered the socket.
    """

    def __init__(
        self,
        transport: SocketTransport,
        machine: Any,  # noqa: ANN401 - any object with a `received` method
        address: tuple[str, int],
    ) -> None:
        """Bind the address.

        Raises:
            OSError: the address can't be bound.
        """
        self.transport = transport
        self.machine = machine
        self.asyncio_transport: Any = None
        self._queued: deque[tuple[bytes, tuple[str, int]]] = deque(
            maxlen=MAX_QUEUED_DATAGRAMS
        )
        sock = socket.socket(address_family(address[0]), socket.SOCK_DGRAM)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        # The event loop holds only weak references to tasks, so keep a strong one.
        self._task = transport.loop.create_task(
            transport.loop.create_datagram_endpoint(lambda: self, sock=sock)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the datagrams that were queued before the loop had the socket."""
        self.asyncio_transport = transport
        for data, address in self._queued:
            self.send(data, address)

    def datagram_received(self, data: bytes, address: tuple[Any, ...]) -> None:
        """Pass a datagram to the machine."""
        self.guard(self.machine.received, data, address[:2])

    def error_received(self, error: Exception) -> None:
        """Ignore ICMP errors; senders that need to know detect the loss themselves."""

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; drop it if the buffer is full or the socket is closed."""
        if self.asyncio_transport is None:
            self._queued.append((data, address))
        elif not (
            self.asyncio_transport.is_closing()
            or self.asyncio_transport.get_write_buffer_size()
        ):
            self.asyncio_transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self.asyncio_transport is not None:
            self.asyncio_transport.close()
