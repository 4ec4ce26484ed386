"""Streams between proxies: a sequence of frames over a connection.

A stream is unidirectional. The accepting process first sends its generation in a
`hello`, and every frame on the stream then names this generation, so that a recorded
stream cannot be replayed to another process. A stream without progress is closed.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wheathill.config.limits import ProxyLimits
from wheathill.net.protocol_machine import ProtocolMachine
from wheathill.peers.connections import Connection
from wheathill.peers.environment import Clock
from wheathill.peers.frames import Frame, FrameAuthenticator, FrameRejectedError
from wheathill.peers.transport_metrics import DropReason, TransportMetrics

HELLO = "hello"
MAX_FRAME_BODY_BYTES = 262_144
MAX_QUEUED_BYTES = 1_048_576  # per receiver
STALL_TIMEOUT_MS = 5000.0  # without progress of a pending frame or `hello`
IDLE_TIMEOUT_MS = 10_000.0  # without anything to send or receive


@dataclass(frozen=True, slots=True)
class StreamContext:
    """Dependencies shared by all streams of a transport."""

    authenticator: FrameAuthenticator
    metrics: TransportMetrics
    clock: Clock
    limits: ProxyLimits


class PeerStream(ProtocolMachine):
    """Base class of inbound and outbound streams.

    `on_closed` is called with the stream when it is closed.
    """

    def __init__(
        self, context: StreamContext, on_closed: Callable[[Any], object]
    ) -> None:
        super().__init__(None, context.limits, context.clock)
        self._authenticator, self._metrics = context.authenticator, context.metrics
        self._on_closed = on_closed
        self._buffer = bytearray()

    def received(self, data: bytes) -> None:
        """Handle all frames that these bytes complete."""
        self._metrics.bytes_received += len(data)
        self._buffer += data
        try:
            while (frame := self._next_frame()) is not None:
                self._handle_frame(frame)
        except FrameRejectedError as error:
            self._metrics.record_drop(error.reason, "a stream")
            self.end()
            return
        # The stall timeout applies per frame, so that a slow sender cannot extend it
        # with single bytes.
        if not self._buffer:
            self.set_timer(IDLE_TIMEOUT_MS, self.end)

    def _next_frame(self) -> bytes | None:
        length = self._authenticator.frame_length(self._buffer, MAX_FRAME_BODY_BYTES)
        if length is None or len(self._buffer) < length:
            return None
        frame = bytes(self._buffer[:length])
        del self._buffer[:length]
        return frame

    def _handle_frame(self, frame: bytes) -> None:
        raise NotImplementedError

    def ended(self) -> None:
        """Close the stream after the other end has closed."""
        self.end()

    def lost(self, reset: bool) -> None:
        """Close the stream after its connection was lost."""
        self.end()

    def fault(self) -> None:
        """Close the stream after one of its callbacks raised an exception."""
        self.end()

    def end(self) -> None:
        """Close the stream."""
        self.timer.cancel()
        self._on_closed(self)
        self._discard_queue()
        self.connection.abort()

    def _discard_queue(self) -> None:
        """Discard payloads that have not been sent."""


class InboundStream(PeerStream):
    """The receiving end of a stream, which another process opened."""

    def __init__(
        self,
        context: StreamContext,
        connection: Connection,
        on_frame: Callable[[Frame], None],
        on_closed: Callable[["InboundStream"], object],
    ) -> None:
        super().__init__(context, on_closed)
        self.connection = connection
        self._on_frame = on_frame

    def connected(self) -> None:
        """Send this process's generation."""
        hello = self._authenticator.encode_frame(0, [HELLO])
        self._metrics.bytes_sent += len(hello)
        self.connection.send(hello)
        self.set_timer(STALL_TIMEOUT_MS, self.end)

    def received(self, data: bytes) -> None:
        """Handle all frames that these bytes complete."""
        if not self._buffer:
            self.set_timer(STALL_TIMEOUT_MS, self.end)
        super().received(data)

    def _handle_frame(self, frame: bytes) -> None:
        accepted = self._authenticator.decode_frame(frame)
        self._metrics.messages_received += 1
        self._on_frame(accepted)


@dataclass(frozen=True, slots=True)
class QueuedPayload:
    """A payload waiting to be sent, and the size of its frame in bytes."""

    payload: list[Any]
    frame_size: int


class OutboundStream(PeerStream):
    """The sending end of a stream to one address.

    Payloads are queued until the receiver has sent its generation. They are dropped if
    the queue is full or the stream closes.
    """

    def __init__(
        self,
        context: StreamContext,
        address: str,
        on_closed: Callable[["OutboundStream"], object],
    ) -> None:
        super().__init__(context, on_closed)
        self._address = address
        self._receiver_generation = 0
        self._queue: deque[QueuedPayload] = deque()
        self._queued_bytes = 0
        self.set_timer(STALL_TIMEOUT_MS, self.end)

    def send(self, payload: list[Any]) -> None:
        """Send a payload, or queue it while it cannot be sent."""
        # Encoded again when sent, as the receiver's generation may be unknown so far.
        generation = self._receiver_generation
        size = len(self._authenticator.encode_frame(generation, payload))
        if size > MAX_FRAME_BODY_BYTES or self._queued_bytes + size > MAX_QUEUED_BYTES:
            self._metrics.record_drop(DropReason.QUEUE_FULL, self._address)
            return
        self._queue.append(QueuedPayload(payload, size))
        self._queued_bytes += size
        if self._receiver_generation:
            self._send_queued()

    def _handle_frame(self, frame: bytes) -> None:
        """Learn the generation from the receiver's `hello`, which names no receiver."""
        try:
            self._authenticator.decode_frame(frame)
        except FrameRejectedError as error:
            if error.sender_generation is None:
                raise
            self._receiver_generation = error.sender_generation
            self._send_queued()

    def _send_queued(self) -> None:
        while self._queue and not self.connection.is_write_blocked:
            queued = self._queue.popleft()
            self._queued_bytes -= queued.frame_size
            self._metrics.bytes_sent += queued.frame_size
            self.connection.send(
                self._authenticator.encode_frame(
                    self._receiver_generation, queued.payload
                )
            )
        is_waiting = bool(self._queue) or self.connection.is_write_blocked
        self.set_timer(STALL_TIMEOUT_MS if is_waiting else IDLE_TIMEOUT_MS, self.end)

    def blocked(self, on: bool) -> None:
        """Wait for a blocked receiver, or continue sending when it reads again."""
        if on:
            self.set_timer(STALL_TIMEOUT_MS, self.end)
        else:
            self._send_queued()

    def _discard_queue(self) -> None:
        if self._queue:
            self._metrics.record_drop(DropReason.STREAM_CLOSED, self._address)
            self._queue.clear()
