"""Transport between proxies: datagrams for short messages, streams for long ones.

Payloads are opaque to it, and the environment supplies the sockets. The first message
to an address waits until the process there has sent its generation: a process that
receives a frame naming no generation, or another one, replies with a `hello` that
states its own. Frames recorded from an earlier exchange are therefore rejected. The
state per address is bounded, and a slow receiver does not delay others.
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

# Longer frames are sent by stream. Fits into one Ethernet packet, as a fragmented
# datagram is lost with any one of its fragments.
MAX_DATAGRAM_BYTES = 1400
MAX_REMOTE_ADDRESSES = 4096  # the oldest are evicted
# Limit of open inbound streams: a share of all sockets, but at least the minimum.
INBOUND_STREAMS_SHARE, MIN_INBOUND_STREAMS = 1 / 16, 4
MAX_UNSENT_PAYLOADS = 4  # per address, while the generation there is unknown
MAX_PREVIOUS_GENERATIONS = 8  # per address


class RemoteAddress:
    """State of a remote address.

    Attributes:
        generation: Generation stated by the process at the address; 0 while unknown.
        previous_generations: Generations of earlier processes at the address.
        unsent: Payloads waiting for the generation.
        stream: The open outbound stream, or None.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.generation = 0
        self.previous_generations: deque[int] = deque(maxlen=MAX_PREVIOUS_GENERATIONS)
        self.unsent: deque[list[Any]] = deque(maxlen=MAX_UNSENT_PAYLOADS)
        self.stream: OutboundStream | None = None


def split_address(address: str) -> tuple[str, int]:
    """Split "HOST:PORT" into host and port, without brackets of an IPv6 host."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class PeerTransport:
    """Sends and receives the messages of one process.

    `on_message(frame, address)` is called for each accepted message; `address` is None
    for a message received on a stream. The constructor raises OSError if a socket
    cannot be opened.
    """

    def __init__(
        self,
        environment: PeerEnvironment,
        authenticator: FrameAuthenticator,
        on_message: Callable[[Frame, str | None], None],
        listen: tuple[str, int],
    ) -> None:
        network, clock = environment.transport, environment.clock
        self._network, self._clock = network, clock
        self.metrics = TransportMetrics(clock, environment.log_event)
        self._authenticator, self._on_message = authenticator, on_message
        self._source_host = listen[0]
        self._stream_context = StreamContext(
            authenticator, self.metrics, clock, network.limits
        )
        self.rate_limiter = SenderRateLimiter()
        self.remote_addresses: dict[str, RemoteAddress] = {}
        # Ordered from oldest to newest.
        self._inbound_streams: OrderedDict[InboundStream, None] = OrderedDict()
        self._max_inbound_streams = max(
            MIN_INBOUND_STREAMS, int(network.limits.max_sockets * INBOUND_STREAMS_SHARE)
        )
        self._server_socket = network.listen(
            self._accept_stream, listen, self._make_room_for_stream
        )
        self._datagram_socket = network.bind_datagram_socket(self, listen)

    def close(self) -> None:
        """Close all sockets and streams."""
        self._server_socket.close()
        self._datagram_socket.close()
        outbound = [
            remote.stream for remote in self.remote_addresses.values() if remote.stream
        ]
        for stream in [*self._inbound_streams, *outbound]:
            stream.end()

    # Sending

    def remote(self, address: str) -> RemoteAddress:
        """Return the state of an address, and create it if there is none."""
        remote = self.remote_addresses.get(address)
        if remote is None:
            remote = self.remote_addresses[address] = RemoteAddress(address)
            while len(self.remote_addresses) > MAX_REMOTE_ADDRESSES:
                self.remote_addresses.pop(next(iter(self.remote_addresses)))
        return remote

    def send(self, address: str, payload: list[Any], is_bulk: bool = False) -> None:
        """Send a payload, by stream if it is bulk or too long for a datagram."""
        remote = self.remote(address)
        if is_bulk:
            self.send_by_stream(remote, payload)
            return
        if not remote.generation:
            remote.unsent.append(payload)
            self._send_hello(address, remote.generation)
            return
        frame = self._authenticator.encode_frame(remote.generation, payload)
        if len(frame) > MAX_DATAGRAM_BYTES:
            self.send_by_stream(remote, payload)
        else:
            self._send_datagram(address, frame)

    def _send_hello(self, address: str, receiver_generation: int) -> None:
        frame = self._authenticator.encode_frame(receiver_generation, [HELLO])
        self._send_datagram(address, frame)

    def _send_datagram(self, address: str, frame: bytes) -> None:
        self.metrics.datagrams_sent += 1
        self.metrics.bytes_sent += len(frame)
        self._datagram_socket.send(frame, split_address(address))

    def send_by_stream(self, remote: RemoteAddress, payload: list[Any]) -> None:
        """Send a payload on the stream to an address, which is opened if needed."""
        if remote.stream is None:
            remote.stream = OutboundStream(
                self._stream_context,
                remote.address,
                lambda closed: _detach_stream(remote, closed),
            )
            remote.stream.connection = self._connect(remote.stream, remote.address)
        remote.stream.send(payload)

    def _connect(self, machine: ProtocolMachine, address: str) -> Connection:
        return self._network.connect(machine, split_address(address), self._source_host)

    def start_fallback_probe(
        self,
        address: str,
        timeout_ms: float,
        on_result: Callable[[ProbeResult], object],
    ) -> None:
        """Probe over TCP whether a process listens at an address."""
        prober = FallbackProber(
            self._clock,
            self._network.limits,
            lambda machine: self._connect(machine, address),
            on_result,
        )
        prober.start(timeout_ms)

    # Receiving

    def received(self, data: bytes, source: tuple[str, int]) -> None:
        """Handle a datagram from `source`, a (host, port) pair."""
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
                # Either the sender does not know this process yet, or the frame is a
                # replay. A genuine sender uses the generation in the reply.
                self._send_hello(address, error.sender_generation)
            return
        self.metrics.messages_received += 1
        self._learn_generation(self.remote(address), frame.generation)
        if frame.payload != [HELLO]:
            self._on_message(frame, address)

    def _learn_generation(self, remote: RemoteAddress, generation: int) -> None:
        """Record the generation at an address, and send the payloads waiting for it."""
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
        """Return whether a later process has replaced that generation at `address`."""
        remote = self.remote_addresses.get(address)
        return remote is not None and self._was_replaced(remote, generation)

    def _accept_stream(self, connection: Connection) -> InboundStream:
        stream = InboundStream(
            self._stream_context,
            connection,
            lambda frame: self._on_message(frame, None),
            lambda closed: self._inbound_streams.pop(closed, None),
        )
        self._inbound_streams[stream] = None
        return stream

    def _make_room_for_stream(self) -> bool:
        """Close the oldest stream if the limit is reached; always accept a new one."""
        if len(self._inbound_streams) >= self._max_inbound_streams:
            next(iter(self._inbound_streams)).end()
        return True


def _detach_stream(remote: RemoteAddress, stream: OutboundStream) -> None:
    if remote.stream is stream:
        remote.stream = None
