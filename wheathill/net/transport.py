"""Opens the sockets of a proxy process: connections, listeners and datagrams."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from wheathill.net.connection import Connection
from wheathill.net.datagram_socket import DatagramSocket
from wheathill.net.server_socket import ServerSocket
from wheathill.net.socket_options import create_listening_socket
from wheathill.net.unix_connection import (
    UnixConnection,
    UnixServerSocket,
    connect_unix,
)

if TYPE_CHECKING:
    from wheathill.config.limits import ProxyLimits
    from wheathill.net.interfaces import EventLog, ProtocolMachine


class Transport:
    """The state that all connections of a process share.

    Attributes:
        loop: the event loop.
        limits: size, count and time limits of the proxy.
        log: writes an event to the log.
        buffer: the receive buffer of all connections. One is enough, as a machine
            consumes received bytes before the next read starts.
        sockets: the number of descriptors that connections hold.
        previous_process_sockets: the number of descriptors that the process being
            replaced still holds; they count against the limit of this one.
        closing_connections: connections closed by their machines whose sockets are
            still open, in order of closing.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, limits: ProxyLimits, log: EventLog
    ) -> None:
        self.loop = loop
        self.limits = limits
        self.log = log
        self.buffer = memoryview(bytearray(limits.receive_buffer_bytes))
        self.sockets = 0
        self.previous_process_sockets = 0
        self.closing_connections: dict[Any, None] = {}

    @property
    def free(self) -> int:
        """The number of descriptors left for connections; may be negative."""
        limits = self.limits
        return (
            limits.max_sockets
            - limits.reserved_sockets
            - self.sockets
            - self.previous_process_sockets
        )

    def listen(
        self,
        make_machine: Callable[[Connection], Any],
        address: tuple[str, int],
        has_room: Callable[[], bool],
        inherited_descriptor: int | None = None,
    ) -> ServerSocket:
        """Accept connections as long as `has_room` returns true.

        `inherited_descriptor` is that of a socket already listening on the address.

        Raises:
            OSError: the address can't be listened on.
        """
        sock = create_listening_socket(
            address, inherited_descriptor, self.limits.listen_backlog
        )
        return ServerSocket(self, make_machine, sock, has_room)

    def connect(
        self,
        machine: ProtocolMachine,
        address: tuple[str, int],
        source: str | None = None,
    ) -> Connection:
        """Start connecting; the machine is notified of the result.

        `source` is the local address to connect from, if the host has several.
        """
        connection = Connection(self, lambda _: machine)
        connection.start_connecting(address, source)
        return connection

    def adopt(self, descriptor: int, machine: ProtocolMachine) -> Connection:
        """Take over a connection whose descriptor another process has passed.

        Reading is paused until `set_paused(False)`.
        """
        connection = machine.connection = Connection(self, lambda _: machine)
        connection.start_adopted(socket.socket(fileno=descriptor))
        return connection

    def close_handles(self, descriptors: Sequence[int]) -> None:
        """Close descriptors that were received, or duplicated to be passed."""
        for descriptor in descriptors:
            os.close(descriptor)
        self.sockets -= len(descriptors)

    def bind_datagram_socket(
        self, machine: object, address: tuple[str, int]
    ) -> DatagramSocket:
        """Bind a UDP socket; raises OSError."""
        return DatagramSocket(self, machine, address)

    def listen_unix(
        self,
        directory: str | None,
        name: str,
        make_machine: Callable[[UnixConnection], Any],
    ) -> UnixServerSocket:
        """Listen on a Unix socket for processes of the same user; raises OSError."""
        return UnixServerSocket(self, directory, name, make_machine)

    def connect_unix(
        self,
        directory: str | None,
        name: str,
        make_machine: Callable[[UnixConnection], Any],
    ) -> UnixConnection:
        """Connect to another process's Unix socket; raises OSError if none listens."""
        return connect_unix(self, directory, name, make_machine)
