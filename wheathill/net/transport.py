"""The sockets of one proxy process: connections, servers and datagrams."""

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
    """What all connections of a process share.

    Attributes:
        loop: the event loop.
        limits: sizes, counts and times of the proxy.
        log: writes an event.
        buffer: the receive buffer of all connections. One is enough: a machine has
            consumed what was received before the next read begins.
        sockets: descriptors that the connections hold.
        lent: descriptors that count here though the process that this one takes over
            from holds them still.
        parting: connections that their machines have closed, until the sockets are
            closed; ordered.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, limits: ProxyLimits, log: EventLog
    ) -> None:
        self.loop = loop
        self.limits = limits
        self.log = log
        self.buffer = memoryview(bytearray(limits.receive_buffer_bytes))
        self.sockets = 0
        self.lent = 0
        self.parting: dict[Any, None] = {}

    @property
    def free(self) -> int:
        """How many more descriptors connections may take; may be negative."""
        limits = self.limits
        return limits.max_sockets - limits.reserved_sockets - self.sockets - self.lent

    def listen(
        self,
        make_machine: Callable[[Connection], Any],
        address: tuple[str, int],
        has_room: Callable[[], bool],
        inherited_descriptor: int | None = None,
    ) -> ServerSocket:
        """Accept connections while `has_room` says so; raises OSError.

        `inherited_descriptor` is that of a socket which listens there already.
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
        """Begin to connect; the machine is told of the result.

        `source` is the host to connect from, where this one has several.
        """
        connection = Connection(self, lambda _: machine)
        connection.start_connecting(address, source)
        return connection

    def adopt(self, descriptor: int, machine: ProtocolMachine) -> Connection:
        """Take over the connection of a descriptor that another process has passed.

        It reads nothing until `hold(False)`.
        """
        connection = machine.wire = Connection(self, lambda _: machine)
        connection.start_adopted(socket.socket(fileno=descriptor))
        return connection

    def drop(self, descriptors: Sequence[int]) -> None:
        """Close descriptors that were passed or were meant to be."""
        for descriptor in descriptors:
            os.close(descriptor)
        self.sockets -= len(descriptors)

    def datagrams(self, machine: object, address: tuple[str, int]) -> DatagramSocket:
        """Bind a socket for datagrams; raises OSError."""
        return DatagramSocket(self, machine, address)

    def meet(
        self,
        directory: str | None,
        name: str,
        make_machine: Callable[[UnixConnection], Any],
    ) -> UnixServerSocket:
        """Listen for other processes of this user on a Unix socket; raises OSError."""
        return UnixServerSocket(self, directory, name, make_machine)

    def reach(
        self,
        directory: str | None,
        name: str,
        make_machine: Callable[[UnixConnection], Any],
    ) -> UnixConnection:
        """Connect to another process; raises OSError where none listens."""
        return connect_unix(self, directory, name, make_machine)
