"""Transport between proxies: short messages as datagrams, long ones on streams.

It works over any carrier, and payloads are opaque to it. The first message to an
address waits until the process there has sent its generation: a process that gets a
frame which names none, or another one, replies `hello`, which states the generation to
be named. So a frame that was recorded earlier is valid for nobody. Whatever is held for
an address is bounded, and no receiver waits for another.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

from wheathill.net.protocol_machine import ProtocolMachine
from wheathill.peers.connections import Connection
from wheathill.peers.environment import PeerEnvironment
from wheathill.peers.fallback_probe import FallbackProber
from wheathill.peers.frames import Frame, FrameAuthenticator, FrameRejectedError
from wheathill.peers.membership import ProbeResult
from wheathill.peers.sender_rate_limiter import SenderRateLimiter
from wheathill.peers.streams import (
    HELLO,
    InboundStream,
    OutboundStream,
    StreamContext,
)
from wheathill.peers.transport_metrics import DropReason, TransportMetrics

# Bytes of a datagram; longer frames go by stream. It fits into one packet of Ethernet,
# so that a message is not lost with any one of several fragments.
MAX_DATAGRAM = 1400
MAX_ADDRESSES = 4096  # of which something is held; the oldest are dropped
# How many streams from others may be open: a part of all sockets, but no fewer than the
# minimum.
INBOUND_STREAMS_PART, MIN_INBOUND_STREAMS = 1 / 16, 4
MAX_UNSENT = 4  # payloads that wait for the generation of the process at an address
MAX_PREVIOUS_GENERATIONS = 8


class RemoteAddress:
    """One address that is sent to.

    Attributes:
        generation: of the process there, as it stated; 0 before.
        previous_generations: of the processes there before.
        unsent: payloads that wait for the generation.
        stream: the open one, or None.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.generation = 0
        self.previous_generations: deque[int] = deque(maxlen=MAX_PREVIOUS_GENERATIONS)
        self.unsent: deque[list[Any]] = deque(maxlen=MAX_UNSENT)
        self.stream: OutboundStream | None = None


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of "HOST:PORT"."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class PeerTransport:
    """Sends and receives the messages of one process.

    `on_message(frame, address)` is called for each message that is accepted; `address`
    is None for what came on a stream. Raises OSError where a socket can't be opened.
    """

    def __init__(
        self,
        environment: PeerEnvironment,
        authenticator: FrameAuthenticator,
        on_message: Callable[[Frame, str | None], None],
        listen: tuple[str, int],
    ) -> None:
        carrier, clock = environment.transport, environment.clock
        self._carrier, self._clock = carrier, clock
        self.metrics = TransportMetrics(clock, environment.log_event)
        self._authenticator, self._on_message = authenticator, on_message
        self._source_host = listen[0]
        self._streams = StreamContext(
            authenticator, self.metrics, clock, carrier.limits
        )
        self.rate_limiter = SenderRateLimiter()
        self.remote_addresses: dict[str, RemoteAddress] = {}
        # The oldest first.
        self._inbound: OrderedDict[InboundStream, None] = OrderedDict()
        self._max_inbound = max(
            MIN_INBOUND_STREAMS, int(carrier.limits.max_sockets * INBOUND_STREAMS_PART)
        )
        self._server = carrier.listen(
            self._accept_stream, listen, self._make_room_for_stream
        )
        self._datagrams = carrier.datagrams(self, listen)

    def close(self) -> None:
        """Close all sockets."""
        self._server.close()
        self._datagrams.close()
        outbound = [
            remote.stream for remote in self.remote_addresses.values() if remote.stream
        ]
        for stream in [*self._inbound, *outbound]:
            stream.end()

    # Sending

    def remote(self, address: str) -> RemoteAddress:
        """Return what is held for an address, from now on if there was nothing."""
        remote = self.remote_addresses.get(address)
        if remote is None:
            remote = self.remote_addresses[address] = RemoteAddress(address)
            while len(self.remote_addresses) > MAX_ADDRESSES:
                self.remote_addresses.pop(next(iter(self.remote_addresses)))
        return remote

    def send(self, address: str, payload: list[Any], is_bulk: bool = False) -> None:
        """Send a payload; by stream where it is bulk or too long for a datagram."""
        remote = self.remote(address)
        if is_bulk:
            self.send_by_stream(remote, payload)
            return
        if not remote.generation:
            remote.unsent.append(payload)
            self._send_hello(address, remote.generation)
            return
        frame = self._authenticator.encode_frame(remote.generation, payload)
        if len(frame) > MAX_DATAGRAM:
            self.send_by_stream(remote, payload)
        else:
            self._send_datagram(address, frame)

    def _send_hello(self, address: str, receiver_generation: int) -> None:
        frame = self._authenticator.encode_frame(receiver_generation, [HELLO])
        self._send_datagram(address, frame)

    def _send_datagram(self, address: str, frame: bytes) -> None:
        self.metrics.datagrams_sent += 1
        self.metrics.bytes_sent += len(frame)
        self._datagrams.send(frame, split_address(address))

    def send_by_stream(self, remote: RemoteAddress, payload: list[Any]) -> None:
        """Send a payload on the stream to an address, and open that first if needed."""
        if remote.stream is None:
            remote.stream = OutboundStream(
                self._streams, remote.address, lambda closed: _forget(remote, closed)
            )
            remote.stream.wire = self._connect(remote.stream, remote.address)
        remote.stream.send(payload)

    def _connect(self, machine: ProtocolMachine, address: str) -> Connection:
        return self._carrier.connect(machine, split_address(address), self._source_host)

    def start_fallback_probe(
        self,
        address: str,
        timeout_ms: float,
        on_result: Callable[[ProbeResult], object],
    ) -> None:
        """Find out by connections whether a process listens at an address."""
        prober = FallbackProber(
            self._clock,
            self._carrier.limits,
            lambda machine: self._connect(machine, address),
            on_result,
        )
        prober.start(timeout_ms)

    # Receiving

    def received(self, data: bytes, source: tuple[str, int]) -> None:
        """Handle a datagram of (host, port)."""
        self.metrics.bytes_received += len(data)
        address = f"{source[0]}:{source[1]}"
        if not self.rate_limiter.allow(self._clock.now(), address):
            self.metrics.record_drop(DropReason.RATE_LIMITED, address)
            return
        try:
            frame = self._authenticator.decode_frame(data)
        except FrameRejectedError as error:
            if error.sender_generation is None:
                self.metrics.record_drop(error.reason, address)
            else:
                # The sender does not know this process yet, or the frame is an old one:
                # which of the two shows in what it does with the reply.
                self._send_hello(address, error.sender_generation)
            return
        self.metrics.messages_received += 1
        self._learn_generation(self.remote(address), frame.generation)
        if frame.payload != [HELLO]:
            self._on_message(frame, address)

    def _learn_generation(self, remote: RemoteAddress, generation: int) -> None:
        """Note which process is at an address, and send what has waited for that."""
        if generation == remote.generation or self._was_replaced(remote, generation):
            return
        if remote.generation:
            remote.previous_generations.append(remote.generation)
        remote.generation = generation
        unsent = list(remote.unsent)
        remote.unsent.clear()
        for payload in unsent:
            self.send(remote.address, payload)

    @staticmethod
    def _was_replaced(remote: RemoteAddress, generation: int) -> bool:
        return generation in remote.previous_generations

    def is_replaced(self, address: str, generation: int) -> bool:
        """Return whether a later process has answered at the address of that one."""
        remote = self.remote_addresses.get(address)
        return remote is not None and self._was_replaced(remote, generation)

    def _accept_stream(self, connection: Connection) -> InboundStream:
        stream = InboundStream(
            self._streams,
            connection,
            lambda frame: self._on_message(frame, None),
            lambda closed: self._inbound.pop(closed, None),
        )
        self._inbound[stream] = None
        return stream

    def _make_room_for_stream(self) -> bool:
        """Close the oldest stream for a new one, which is always accepted."""
        if len(self._inbound) >= self._max_inbound:
            next(iter(self._inbound)).end()
        return True


def _forget(remote: RemoteAddress, stream: OutboundStream) -> None:
    if remote.stream is stream:
        remote.stream = None
