"""A TCP connection: carries bytes between a socket and its protocol state machine."""

from __future__ import annotations

import asyncio
import math
import os
import socket
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from wheathill.net.fault_isolation import FaultIsolation
from wheathill.net.protocol_machine import NoMachine
from wheathill.net.socket_options import (
    enable_keep_alive,
    is_readable,
    kernel_unsent_bytes,
    last_receive_ago_ms,
    reset_on_close,
)

if TYPE_CHECKING:
    from wheathill.net.interfaces import SocketTransport


class Connection(FaultIsolation, asyncio.BufferedProtocol):
    """A connection of whatever origin: connected, accepted, or passed by a process.

    Attributes:
        carrier: the transport that it belongs to.
        machine: the protocol state machine that it feeds, `NoMachine` once it has
            closed.
        transport: asyncio's, once the connection is established.
        full: whether bytes wait to be sent.
        refused: whether the host was there, and nothing listened.
        finished: whether this side sends no more.
        ended: whether the peer sends no more.
        parted: whether the machine has closed it; nothing is told to it any more.
        over: whether the machine was told that it is over, or has aborted it.
        counted: whether the transport counts it as one of its descriptors.
    """

    def __init__(
        self, carrier: SocketTransport, make_machine: Callable[[Connection], Any]
    ) -> None:
        self.carrier = carrier
        self.machine = make_machine(self)
        self.transport: Any = None  # asyncio.Transport, not checked for each call
        self._task: asyncio.Task[None] | None = None
        self.full = False
        self.finished = False
        self.ended = False
        self.parted = False
        self._discarded_bytes = 0  # that came after `parted`
        self.over = False
        self.counted = False
        self._is_adopted = False
        self.refused = False

    # Establishment

    def start_connecting(self, address: tuple[str, int], source: str | None) -> None:
        """Begin to connect; it is counted from now on, as it holds a descriptor."""
        self._count(True)
        self._start(self._connect(address, source))

    def start_accepted(self, sock: socket.socket) -> asyncio.Task[None]:
        """Take an accepted socket; the task ends once the machine has been told."""
        self._count(True)
        return self._start(self._take(sock))

    def start_adopted(self, sock: socket.socket) -> None:
        """Take a socket that another process has passed; its descriptor is counted."""
        self._is_adopted = self.counted = True
        self._start(self._take(sock))

    def _start(self, establish: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._task = self.carrier.loop.create_task(establish)
        task.add_done_callback(self._on_started)
        return task

    def _on_started(self, _task: asyncio.Task[None]) -> None:
        # A task that is done is not kept: it holds its error, whose frames hold this.
        self._task = None
        if self.transport is None:
            self._release_machine()

    async def _take(self, sock: socket.socket) -> None:
        try:
            await self.carrier.loop.connect_accepted_socket(lambda: self, sock)
        except OSError:
            sock.close()
            self._count(False)
            if self._is_adopted:
                self._report_lost(False)

    async def _connect(self, address: tuple[str, int], source: str | None) -> None:
        while self.machine.held_back:
            await asyncio.sleep(0)
        try:
            await self.carrier.loop.create_connection(
                lambda: self, *address, local_addr=(source, 0) if source else None
            )
        except OSError as error:
            self.refused = isinstance(error, ConnectionRefusedError)
            self._count(False)
            self._report_lost(False)

    def _count(self, on: bool) -> None:
        self.carrier.sockets += on - self.counted
        self.counted = on

    # Called by asyncio

    def connection_made(self, transport: Any) -> None:  # noqa: ANN401 - see `transport`
        """Tell the machine, unless it has aborted the attempt."""
        self.transport = transport
        self._count(True)
        if self.over:
            transport.abort()
            return
        # Nothing may lie in the buffer unnoticed: a line counts as sent when its last
        # byte has left.
        transport.set_write_buffer_limits(high=0)
        enable_keep_alive(
            transport.get_extra_info("socket"), self.carrier.limits.keepalive_idle_ms
        )
        if self._is_adopted:
            transport.pause_reading()
            self.guard(self.machine.carried)
        else:
            self.guard(self.machine.connected)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        return self.carrier.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes to the machine."""
        if not self.parted:
            self.guard(self.machine.received, self.carrier.buffer[:nbytes])
            return
        # What comes after the end is read, so that the last line isn't lost, but not
        # without end.
        self._discarded_bytes += nbytes
        if self._discarded_bytes > self.carrier.limits.max_buffered_bytes:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Tell the machine once; return whether the transport stays open.

        Once both sides have finished the connection closes; until then the other
        direction goes on.
        """
        # A reader that was paused and resumed is told of the same end again.
        if not self.ended and not self.parted:
            self.ended = True
            self.guard(self.machine.ended)
        self.ended = True
        return not self.finished

    def pause_writing(self) -> None:
        """Tell the machine that bytes wait to be sent."""
        self.full = True
        self.guard(self.machine.blocked, True)

    def resume_writing(self) -> None:
        """Tell the machine that all bytes have been sent."""
        self.full = False
        self.guard(self.machine.blocked, False)

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the machine, unless it has closed, and release it."""
        self.carrier.parting.pop(self, None)
        self._count(False)
        self._report_lost(error is not None)
        self._release_machine()

    def _report_lost(self, reset: bool) -> None:
        if not self.over and not self.parted:
            self.guard(self.machine.lost, reset)
        self.over = True

    def _release_machine(self) -> None:
        """Leave no cycle of references; nothing is called any more.

        None of the transport's own is left either: asyncio's keeps a bound method of
        itself.
        """
        machine, self.machine = self.machine, NoMachine
        machine.let_go()
        attributes = vars(self.transport) if self.transport else {}
        for name in [
            name
            for name, value in attributes.items()
            if getattr(value, "__self__", None) is self.transport
        ]:
            del attributes[name]

    # State

    @property
    def reached(self) -> bool:
        """Whether it has ever been established."""
        return self.transport is not None

    @property
    def open(self) -> bool:
        """Whether it is established, and neither over nor closed by the machine."""
        return self.transport is not None and not self.over and not self.parted

    @property
    def drained(self) -> bool:
        """Whether the last byte has left; a transport that failed is empty too."""
        return (
            not self.transport.is_closing()
            and not self.transport.get_write_buffer_size()
        )

    @property
    def quiet(self) -> bool:
        """Whether it is open both ways, and no byte is on its way through here."""
        return (
            self.open
            and not self.finished
            and not self.ended
            and not self.full
            and self.drained
        )

    @property
    def unread(self) -> bool:
        """Whether received bytes wait in the system."""
        return is_readable(self._socket)

    @property
    def waited(self) -> float:
        """The ms since bytes last came from the network."""
        return last_receive_ago_ms(self._socket)

    @property
    def to_send(self) -> int:
        """Bytes that wait for the peer to read, 0 once the system has taken them all.

        The system goes on sending those that it has taken.
        """
        held = self.transport.get_write_buffer_size() if self.transport else 0
        try:
            return held and held + kernel_unsent_bytes(self._socket)
        except OSError:
            return held

    @property
    def _socket(self) -> socket.socket:
        return self.transport.get_extra_info("socket")

    # Called by the machine

    def send(self, *parts: bytes) -> None:
        """Send bytes, now or as soon as the peer reads."""
        if self.open and not self.finished:
            self.transport.writelines(parts)

    def hold(self, on: bool) -> None:
        """Pause or resume reading."""
        if self.open and not self.transport.is_closing():
            if on:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def copy(self) -> int:
        """Return another descriptor of the connection, to pass on; raises OSError.

        Once this one is aborted the peer notices nothing, if the connection was quiet.
        """
        descriptor = os.dup(self._socket.fileno())
        self.carrier.sockets += 1
        return descriptor

    def finish(self) -> None:
        """Send no more; what the peer sends is still received."""
        if not self.open or self.finished or self.transport.is_closing():
            return
        self.finished = True
        if self.ended:
            self.transport.close()
            return
        try:
            self.transport.write_eof()
        except OSError:
            # The peer has reset it, which has not been read yet.
            self.transport.abort()

    def part(self) -> None:
        """Close gracefully; the machine is told nothing any more.

        If the socket was closed at once, bytes that the peer sent meanwhile would make
        the kernel reset the connection, and the last line might be lost with it. Where
        descriptors run out it is closed at once.
        """
        if not self.open:
            self.abort()
            return
        self.hold(False)
        self.finish()
        self.parted = True
        if self.carrier.free < self.carrier.limits.reserved_sockets:
            self.transport.close()
            return
        self.carrier.parting[self] = None
        self._linger(math.inf)

    def _linger(self, unsent_before: float) -> None:
        """Wait for the peer's end, or while it reads what waits for it here.

        A slow reader is not cut off.
        """
        unsent = self.to_send
        if unsent_before is math.inf or 0 < unsent < unsent_before:
            self.carrier.loop.call_later(
                self.carrier.limits.linger_ms / 1000, self._linger, unsent
            )
        else:
            self.transport.abort()

    def abort(self, reset: bool = False) -> None:
        """Close at once, with a TCP reset if so wished; drop what was not sent."""
        if self.over:
            return
        self.over = True
        if self.transport is None:
            if self._task:
                self._task.cancel()
            self._count(False)
            return
        if reset:
            reset_on_close(self._socket)
        self.transport.abort()
        # Closed a turn later, but before anything that is begun from now on.
        self._count(False)
