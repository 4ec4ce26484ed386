"""A TCP connection: passes bytes between a socket and a protocol state machine."""

from __future__ import annotations

import asyncio
import math
import os
import socket
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from wheathill.net.fault_isolation import FaultIsolation
from wheathill.net.protocol_machine import NullMachine
from wheathill.net.socket_options import (
    enable_keep_alive,
    is_readable,
    kernel_unsent_bytes,
    last_receive_ago_ms,
    reset_on_close,
    was_reset,
)

if TYPE_CHECKING:
    from wheathill.net.interfaces import SocketTransport


class Connection(FaultIsolation, asyncio.BufferedProtocol):
    """A TCP connection that was opened, accepted, or passed by another process.

    Attributes:
        transport: the transport that this connection belongs to.
        machine: the protocol state machine that receives events; `NullMachine` once the
            connection has closed.
        asyncio_transport: the asyncio transport, once the connection is established.
        is_write_blocked: whether bytes are waiting in the send buffer.
        refused: whether the host refused the connection (nothing listens there).
        has_sent_eof: whether this side has sent end of stream.
        has_received_eof: whether the peer has sent end of stream.
        is_closing: whether the machine has closed the connection; it gets no further
            events.
        over: whether the machine was told of the loss, or has aborted the connection.
        holds_descriptor: whether the transport counts it among its open descriptors.
    """

    def __init__(
        self, transport: SocketTransport, make_machine: Callable[[Connection], Any]
    ) -> None:
        self.transport = transport
        self.machine = make_machine(self)
        # An asyncio.Transport; `Any` avoids a None check at each use.
        self.asyncio_transport: Any = None
        self._task: asyncio.Task[None] | None = None
        self.is_write_blocked = False
        self.has_sent_eof = False
        self.has_received_eof = False
        self.is_closing = False
        self._discarded_bytes = 0  # received after `is_closing` was set
        self.over = False
        self.holds_descriptor = False
        self._is_adopted = False
        self._is_paused = False
        self._reset_check: asyncio.TimerHandle | None = None
        self.refused = False

    # Establishment

    def start_connecting(self, address: tuple[str, int], source: str | None) -> None:
        """Start connecting; the descriptor is counted from now on."""
        self._set_holds_descriptor(True)
        self._start(self._connect(address, source))

    def start_accepted(self, sock: socket.socket) -> asyncio.Task[None]:
        """Start on an accepted socket; the task ends once the machine was notified."""
        self._set_holds_descriptor(True)
        return self._start(self._register(sock))

    def start_adopted(self, sock: socket.socket) -> None:
        """Start on a socket passed by another process, which is already counted."""
        self._is_adopted = self.holds_descriptor = True
        self._start(self._register(sock))

    def _start(self, establish: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._task = self.transport.loop.create_task(establish)
        task.add_done_callback(self._on_started)
        return task

    def _on_started(self, _task: asyncio.Task[None]) -> None:
        # A finished task references its exception, whose traceback frames reference
        # this connection; drop it to avoid a reference cycle.
        self._task = None
        if self.asyncio_transport is None:
            self._release_machine()

    async def _register(self, sock: socket.socket) -> None:
        try:
            await self.transport.loop.connect_accepted_socket(lambda: self, sock)
        except OSError:
            sock.close()
            self._set_holds_descriptor(False)
            if self._is_adopted:
                self._report_lost(False)

    async def _connect(self, address: tuple[str, int], source: str | None) -> None:
        while self.machine.is_connect_postponed:
            await asyncio.sleep(0)
        try:
            await self.transport.loop.create_connection(
                lambda: self, *address, local_addr=(source, 0) if source else None
            )
        except OSError as error:
            self.refused = isinstance(error, ConnectionRefusedError)
            self._set_holds_descriptor(False)
            self._report_lost(False)

    def _set_holds_descriptor(self, on: bool) -> None:
        self.transport.sockets += on - self.holds_descriptor
        self.holds_descriptor = on

    # Called by asyncio

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401 - see `asyncio_transport`
        """Notify the machine, unless it has aborted the connection attempt."""
        self.asyncio_transport = transport
        self._set_holds_descriptor(True)
        if self.over:
            transport.abort()
            return
        # Report any buffered byte as blocked: a line counts as sent only once its last
        # byte has been handed to the kernel.
        transport.set_write_buffer_limits(high=0)
        enable_keep_alive(
            transport.get_extra_info("socket"), self.transport.limits.keepalive_idle_ms
        )
        if self._is_adopted:
            transport.pause_reading()
            self.guard(self.machine.adopted)
        else:
            self.guard(self.machine.connected)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the receive buffer that all connections share."""
        return self.transport.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes to the machine."""
        if not self.is_closing:
            # A full buffer means that more may be unread, and for long.
            is_more_unread = nbytes == len(self.transport.buffer)
            if not (is_more_unread and self._end_if_reset()):
                self.guard(self.machine.received, self.transport.buffer[:nbytes])
            return
        # After the machine has closed, keep reading so that unread bytes do not reset
        # the connection and lose the last line sent, but only up to a limit.
        self._discarded_bytes += nbytes
        if self._discarded_bytes > self.transport.limits.max_buffered_bytes:
            self.asyncio_transport.pause_reading()

    def eof_received(self) -> bool:
        """Notify the machine once; return whether the transport stays open.

        The connection closes when both sides have sent end of stream; until then this
        side can still send.
        """
        # asyncio reports the same end of stream again after reading was paused and
        # resumed.
        if not self.has_received_eof and not self.is_closing:
            self.has_received_eof = True
            self.guard(self.machine.ended)
        self.has_received_eof = True
        return not self.has_sent_eof

    def pause_writing(self) -> None:
        """Notify the machine that bytes are waiting in the send buffer."""
        self.is_write_blocked = True
        self.guard(self.machine.blocked, True)

    def resume_writing(self) -> None:
        """Notify the machine that the send buffer is empty."""
        self.is_write_blocked = False
        self.guard(self.machine.blocked, False)

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the machine, unless it has closed the connection, and release it."""
        self._cancel_reset_check()
        self.transport.closing_connections.pop(self, None)
        self._set_holds_descriptor(False)
        self._report_lost(error is not None)
        self._release_machine()

    def _report_lost(self, reset: bool) -> None:
        if not self.over and not self.is_closing:
            self.guard(self.machine.lost, reset)
        self.over = True

    def _release_machine(self) -> None:
        """Break reference cycles; the machine is not called any more after this.

        The asyncio transport also stores a bound method of itself, which is deleted
        here.
        """
        machine, self.machine = self.machine, NullMachine
        machine.release()
        attributes = vars(self.asyncio_transport) if self.asyncio_transport else {}
        for name in [
            name
            for name, value in attributes.items()
            if getattr(value, "__self__", None) is self.asyncio_transport
        ]:
            del attributes[name]

    # State

    @property
    def was_established(self) -> bool:
        """Whether the connection was ever established."""
        return self.asyncio_transport is not None

    @property
    def open(self) -> bool:
        """Whether it is established and neither lost, aborted nor closed."""
        return (
            self.asyncio_transport is not None and not self.over and not self.is_closing
        )

    @property
    def drained(self) -> bool:
        """Whether the send buffer is empty and the transport is still usable.

        A failed transport has an empty buffer too, so it is checked for closing.
        """
        return (
            not self.asyncio_transport.is_closing()
            and not self.asyncio_transport.get_write_buffer_size()
        )

    @property
    def quiet(self) -> bool:
        """Whether it is open in both directions and no byte is buffered here."""
        return (
            self.open
            and not self.has_sent_eof
            and not self.has_received_eof
            and not self.is_write_blocked
            and self.drained
        )

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the kernel holds received bytes that were not read yet."""
        return is_readable(self._socket)

    @property
    def ms_since_receive(self) -> float:
        """Milliseconds since bytes last arrived from the network."""
        return last_receive_ago_ms(self._socket)

    @property
    def unsent_bytes(self) -> int:
        """Bytes the peer has not acknowledged; 0 once the kernel has accepted them all.

        The kernel keeps sending what it has accepted, even after this side closes.
        """
        buffered = (
            self.asyncio_transport.get_write_buffer_size()
            if self.asyncio_transport
            else 0
        )
        try:
            return buffered and buffered + kernel_unsent_bytes(self._socket)
        except OSError:
            return buffered

    @property
    def _socket(self) -> socket.socket:
        return self.asyncio_transport.get_extra_info("socket")

    # Called by the machine

    def send(self, *parts: bytes) -> None:
        """Send bytes, or buffer them until the peer reads."""
        if self.open and not self.has_sent_eof:
            self.asyncio_transport.writelines(parts)

    def set_paused(self, on: bool) -> None:
        """Pause or resume reading."""
        if self.open and not self.asyncio_transport.is_closing():
            self._is_paused = on
            if on:
                self.asyncio_transport.pause_reading()
                self._schedule_reset_check()
            else:
                self.asyncio_transport.resume_reading()
                if self.machine.is_input_void_after_reset:
                    # Before the next read.
                    self.transport.loop.call_soon(self._end_if_reset)

    # Resets, which asyncio reports only behind all bytes that were received before, and
    # not at all while reading is paused

    def _schedule_reset_check(self) -> None:
        if self.machine.is_input_void_after_reset and self._reset_check is None:
            self._reset_check = self.transport.loop.call_later(
                self.transport.limits.reset_check_interval_ms / 1000,
                self._check_reset_while_paused,
            )

    def _check_reset_while_paused(self) -> None:
        self._reset_check = None
        if self._is_paused and self.open and not self._end_if_reset():
            self._schedule_reset_check()

    def _cancel_reset_check(self) -> None:
        if self._reset_check is not None:
            self._reset_check.cancel()
            self._reset_check = None

    def _end_if_reset(self) -> bool:
        """Drop what is unread if the peer has reset the connection; return whether."""
        if (
            not self.machine.is_input_void_after_reset
            or not self.open
            or self.asyncio_transport.is_closing()
            or not was_reset(self._socket)
        ):
            return False
        self._report_lost(True)
        self.asyncio_transport.abort()
        return True

    def duplicate(self) -> int:
        """Return a duplicate descriptor, to be passed to another process.

        If the connection was quiet, this side can then be aborted without the peer
        noticing.

        Raises:
            OSError: the descriptor can't be duplicated.
        """
        descriptor = os.dup(self._socket.fileno())
        self.transport.sockets += 1
        return descriptor

    def send_eof(self) -> None:
        """Send end of stream; bytes from the peer are still received."""
        if not self.open or self.has_sent_eof or self.asyncio_transport.is_closing():
            return
        self.has_sent_eof = True
        if self.has_received_eof:
            self.asyncio_transport.close()
            return
        try:
            self.asyncio_transport.write_eof()
        except OSError:
            # The peer has reset the connection, and the loop has not noticed yet.
            self.asyncio_transport.abort()

    def close_gracefully(self) -> None:
        """Close gracefully; the machine gets no further events.

        If the socket were closed immediately, bytes arriving from the peer would make
        the kernel reset the connection, which may discard the last line sent. It is
        closed without that wait only where descriptors run out.
        """
        if not self.open:
            self.abort()
            return
        self.set_paused(False)
        self.send_eof()
        self.is_closing = True
        if self.transport.free < self.transport.limits.reserved_sockets:
            self.asyncio_transport.close()
            return
        self.transport.closing_connections[self] = None
        self._linger(math.inf)

    def _linger(self, unsent_before: float) -> None:
        """Give the peer `linger_ms` to close, and again while it reads buffered bytes.

        A slow reader that still makes progress is not cut off.
        """
        unsent = self.unsent_bytes
        if unsent_before is math.inf or 0 < unsent < unsent_before:
            self.transport.loop.call_later(
                self.transport.limits.linger_ms / 1000, self._linger, unsent
            )
        else:
            self.asyncio_transport.abort()

    def abort(self, reset: bool = False) -> None:
        """Close immediately and discard unsent bytes; `reset` forces a TCP reset."""
        if self.over:
            return
        self.over = True
        self._cancel_reset_check()
        if self.asyncio_transport is None:
            if self._task:
                self._task.cancel()
            self._set_holds_descriptor(False)
            return
        if reset:
            reset_on_close(self._socket)
        self.asyncio_transport.abort()
        # asyncio closes the socket in the next loop iteration, which is before anything
        # started from now on needs a descriptor.
        self._set_holds_descriptor(False)
