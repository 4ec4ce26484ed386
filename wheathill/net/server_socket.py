"""A listening TCP socket."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from wheathill.log_events import LogEvent
from wheathill.net.connection import Connection
from wheathill.net.socket_options import is_readable

if TYPE_CHECKING:
    from wheathill.net.interfaces import SocketTransport


class ServerSocket:
    """Accepts a limited number of connections per loop iteration.

    That way their first lines are read before the next connections take up descriptors;
    asyncio's own servers accept the whole backlog at once. Connections that can't be
    accepted yet stay in the backlog.

    Attributes:
        sock: the listening socket.
    """

    def __init__(
        self,
        transport: SocketTransport,
        make_machine: Callable[[Connection], Any],
        sock: socket.socket,
        has_room: Callable[[], bool],
    ) -> None:
        """Start accepting on a listening socket as long as `has_room` returns true."""
        self.sock = sock
        self._transport = transport
        self._make_machine = make_machine
        self._has_room = has_room
        self._resume_timer: asyncio.TimerHandle | None = None
        self._is_paused = False
        self._is_backing_off = False  # paused only for `accept_pause_ms`
        # Accepted connections whose machine was not notified yet, in order.
        self._starting: dict[Connection, None] = {}
        self.set_paused(False)

    def set_paused(self, on: bool) -> None:
        """Pause or resume accepting; has no effect on a closed socket.

        While paused, the kernel still completes handshakes into the backlog.
        """
        if self.sock.fileno() < 0:
            return
        loop = self._transport.loop
        self._is_paused, self._is_backing_off = on, False
        if self._resume_timer:
            self._resume_timer.cancel()
        if on:
            loop.remove_reader(self.sock)
        else:
            loop.add_reader(self.sock, self._accept)

    def close(self) -> None:
        """Stop accepting and close the socket."""
        self.set_paused(True)
        self.sock.close()

    @property
    def waiting(self) -> bool:
        """Whether a new connection is starting up or waits to be accepted here."""
        if self._starting:
            return True
        is_accepting = not self._is_paused or self._is_backing_off
        return self.sock.fileno() >= 0 and is_accepting and is_readable(self.sock)

    def _accept(self) -> None:
        for _ in range(self._transport.limits.accept_batch_size):
            if not self._has_room():
                self._back_off()
                return
            try:
                accepted, _ = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                self._transport.log(
                    LogEvent.INTERNAL_ERROR, where="accept", what=repr(error)
                )
                self._back_off()
                return
            self._start(accepted)

    def _start(self, accepted: socket.socket) -> None:
        connection = Connection(self._transport, self._make_machine)
        self._starting[connection] = None
        connection.start_accepted(accepted).add_done_callback(
            lambda _: self._starting.pop(connection)
        )

    def _back_off(self) -> None:
        self.set_paused(True)
        self._is_backing_off = True
        self._resume_timer = self._transport.loop.call_later(
            self._transport.limits.accept_pause_ms / 1000, self.set_paused, False
        )
