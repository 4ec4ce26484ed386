"""Unix sockets to other processes of the same user on the same host."""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import TYPE_CHECKING, Any

from wheathill.net.descriptor_passing import receive_message, send_message
from wheathill.net.fault_isolation import FaultIsolation
from wheathill.net.socket_options import peer_user

if TYPE_CHECKING:
    from wheathill.net.interfaces import SocketTransport

LISTEN_BACKLOG = 4  # connections
SOCKET_MODE = 0o600
TEMPORARY_SUFFIX = ".new"  # of a socket's name until it replaces the previous socket


class SocketDirectory:
    """Provides short paths for the Unix sockets in a directory.

    Paths of Unix sockets are limited to some 100 bytes. Within the context, a socket is
    addressed through the directory's descriptor in /proc/self/fd instead.
    """

    def __init__(self, path: str | None) -> None:
        self._path = path or ""  # opening "" raises FileNotFoundError
        self._descriptor = -1

    def __enter__(self) -> Callable[[str], str]:
        """Return a function that maps a socket's name to its path; raises OSError."""
        self._descriptor = os.open(
            self._path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC
        )
        return self._path_of

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the directory."""
        os.close(self._descriptor)

    def _path_of(self, name: str) -> str:
        return f"/proc/self/fd/{self._descriptor}/{name}"


class UnixServerSocket:
    """A listening Unix socket; atomically replaces an existing one of that name."""

    def __init__(
        self,
        transport: SocketTransport,
        directory: str | None,
        name: str,
        make_machine: Callable[[UnixConnection], Any],
    ) -> None:
        """Start listening; raises OSError."""
        self._transport = transport
        self._make_machine = make_machine
        self._sock = _create_unix_socket()
        try:
            with SocketDirectory(directory) as path_of:
                self._bind(path_of(name + TEMPORARY_SUFFIX), path_of(name))
        except OSError:
            self._sock.close()
            raise
        transport.loop.add_reader(self._sock, self._accept)

    def _bind(self, temporary_path: str, path: str) -> None:
        if os.path.lexists(temporary_path):
            os.unlink(temporary_path)
        self._sock.bind(temporary_path)
        os.chmod(temporary_path, SOCKET_MODE)
        self._sock.listen(LISTEN_BACKLOG)
        os.rename(temporary_path, path)

    def _accept(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        UnixConnection(self._transport, sock, self._make_machine)

    def close(self) -> None:
        """Stop accepting and close the socket."""
        self._transport.loop.remove_reader(self._sock)
        self._sock.close()


class UnixConnection(FaultIsolation):
    """A connection to another process that passes bytes and descriptors.

    Attributes:
        transport: the transport that this connection belongs to.
        machine: the protocol state machine that receives events.
    """

    def __init__(
        self,
        transport: SocketTransport,
        sock: socket.socket,
        make_machine: Callable[[UnixConnection], Any],
    ) -> None:
        """Start on a connected socket; close it if the peer runs as another user."""
        self.transport = transport
        self._sock = sock
        self._unsent: deque[tuple[bytes, list[int]]] = deque()
        self._is_closed = False
        self.machine = make_machine(self)
        if peer_user(sock) != os.geteuid():
            self.close()
            return
        transport.loop.add_reader(sock, self._read)
        self.guard(self.machine.connected)

    def _read(self) -> None:
        try:
            message = receive_message(self._sock)
        except (BlockingIOError, InterruptedError):
            return
        self.transport.sockets += len(message.descriptors)
        if message.is_truncated or not message.data:
            self.transport.close_handles(message.descriptors)
            self.close()
            self.guard(self.machine.lost, False)
        else:
            self.guard(self.machine.received, message.data, message.descriptors)

    def send(self, data: bytes, handles: Sequence[int] = ()) -> None:
        """Send bytes and descriptors, or queue them until the socket is writable."""
        if not self._is_closed:
            self._unsent.append((data, list(handles)))
            self._write()

    def _write(self) -> None:
        while self._unsent:
            data, descriptors = self._unsent[0]
            try:
                sent = send_message(self._sock, data, descriptors)
            except (BlockingIOError, InterruptedError):
                self.transport.loop.add_writer(self._sock, self._write)
                return
            except OSError:
                # The reader sees the same error and notifies the machine.
                self._unsent.clear()
                break
            if sent == len(data):
                self._unsent.popleft()
            else:
                self._unsent[0] = data[sent:], []
        self.transport.loop.remove_writer(self._sock)

    def close(self) -> None:
        """Close the connection; the machine is not notified."""
        if not self._is_closed:
            self._is_closed = True
            self.transport.loop.remove_reader(self._sock)
            self.transport.loop.remove_writer(self._sock)
            self._sock.close()


def connect_unix(
    transport: SocketTransport,
    directory: str | None,
    name: str,
    make_machine: Callable[[UnixConnection], Any],
) -> UnixConnection:
    """Connect to another process's Unix socket; raises OSError if none listens."""
    sock = _create_unix_socket()
    try:
        with SocketDirectory(directory) as path_of:
            sock.connect(path_of(name))
    except OSError:
        sock.close()
        raise
    return UnixConnection(transport, sock, make_machine)


def _create_unix_socket() -> socket.socket:
    return socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
