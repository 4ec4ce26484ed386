"""Unix sockets to other processes of the same user on this machine."""

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

BACKLOG = 4  # processes that wait to be accepted
SOCKET_MODE = 0o600
NEW_SUFFIX = ".new"  # of a socket's name until it takes the place of an earlier one


class SocketDirectory:
    """Short paths for the Unix sockets of a directory.

    Their paths are limited to some 100 bytes: within the context, a name stands for a
    path by way of the directory's descriptor.
    """

    def __init__(self, path: str | None) -> None:
        self._path = path or ""  # which opens as no such directory
        self._descriptor = -1

    def __enter__(self) -> Callable[[str], str]:
        """Return the function from a name to its path; raises OSError."""
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
    """A listening Unix socket; one that had the name before is replaced in one step."""

    def __init__(
        self,
        carrier: SocketTransport,
        directory: str | None,
        name: str,
        make_machine: Callable[[UnixConnection], Any],
    ) -> None:
        """Listen; raises OSError."""
        self._carrier = carrier
        self._make_machine = make_machine
        self._sock = _create_unix_socket()
        try:
            with SocketDirectory(directory) as path_of:
                self._bind(path_of(name + NEW_SUFFIX), path_of(name))
        except OSError:
            self._sock.close()
            raise
        carrier.loop.add_reader(self._sock, self._accept)

    def _bind(self, new_path: str, path: str) -> None:
        if os.path.lexists(new_path):
            os.unlink(new_path)
        self._sock.bind(new_path)
        os.chmod(new_path, SOCKET_MODE)
        self._sock.listen(BACKLOG)
        os.rename(new_path, path)

    def _accept(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        UnixConnection(self._carrier, sock, self._make_machine)

    def close(self) -> None:
        """Accept nobody any more."""
        self._carrier.loop.remove_reader(self._sock)
        self._sock.close()


class UnixConnection(FaultIsolation):
    """A connection that passes bytes, and descriptors with them.

    Attributes:
        carrier: the transport that it belongs to.
        machine: fed with what is received.
    """

    def __init__(
        self,
        carrier: SocketTransport,
        sock: socket.socket,
        make_machine: Callable[[UnixConnection], Any],
    ) -> None:
        """Take a connected socket; a process of another user is refused."""
        self.carrier = carrier
        self._sock = sock
        self._unsent: deque[tuple[bytes, list[int]]] = deque()
        self._is_closed = False
        self.machine = make_machine(self)
        if peer_user(sock) != os.geteuid():
            self.close()
            return
        carrier.loop.add_reader(sock, self._read)
        self.guard(self.machine.connected)

    def _read(self) -> None:
        try:
            message = receive_message(self._sock)
        except (BlockingIOError, InterruptedError):
            return
        self.carrier.sockets += len(message.descriptors)
        if message.is_truncated or not message.data:
            self.carrier.drop(message.descriptors)
            self.close()
            self.guard(self.machine.lost, False)
        else:
            self.guard(self.machine.received, message.data, message.descriptors)

    def send(self, data: bytes, handles: Sequence[int] = ()) -> None:
        """Send bytes, with descriptors, now or as soon as the socket takes them."""
        if not self._is_closed:
            self._unsent.append((data, list(handles)))
            self._write()

    def _write(self) -> None:
        while self._unsent:
            data, descriptors = self._unsent[0]
            try:
                sent = send_message(self._sock, data, descriptors)
            except (BlockingIOError, InterruptedError):
                self.carrier.loop.add_writer(self._sock, self._write)
                return
            except OSError:
                # Found by the reader, which tells the machine.
                self._unsent.clear()
                break
            if sent == len(data):
                self._unsent.popleft()
            else:
                self._unsent[0] = data[sent:], []
        self.carrier.loop.remove_writer(self._sock)

    def close(self) -> None:
        """Close; the machine is not called any more."""
        if not self._is_closed:
            self._is_closed = True
            self.carrier.loop.remove_reader(self._sock)
            self.carrier.loop.remove_writer(self._sock)
            self._sock.close()


def connect_unix(
    carrier: SocketTransport,
    directory: str | None,
    name: str,
    make_machine: Callable[[UnixConnection], Any],
) -> UnixConnection:
    """Connect to another process; raises OSError where none listens."""
    sock = _create_unix_socket()
    try:
        with SocketDirectory(directory) as path_of:
            sock.connect(path_of(name))
    except OSError:
        sock.close()
        raise
    return UnixConnection(carrier, sock, make_machine)


def _create_unix_socket() -> socket.socket:
    return socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
