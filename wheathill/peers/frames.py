"""Encoding and authentication of frames between proxies, without I/O.

A frame consists of a header (magic bytes, version, length of the body, CRC-32 of the
body, first half of its HMAC-SHA256 according to RFC 2104) and a MessagePack body:
[cluster, sender, sender's generation, receiver's generation, counter, payload]. The
receiver's generation makes a frame valid for one process only: a frame recorded before
that process started names another generation. The counter makes it valid only once.
"""

import hmac
import struct
from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from typing import Any
from zlib import crc32

import msgspec

MAGIC = b"wh"
HEADER = struct.Struct("!2sHII16s")
# Limits the senders with a replay window, and the receivers with a counter.
MAX_TRACKED_PROCESSES = 4096


class RejectReason(StrEnum):
    """Why a frame was rejected; the values are used in the log and in metrics."""

    DAMAGED = "damaged"
    OTHER_VERSION = "another version"
    TOO_LONG = "too long"
    OTHER_KEY = "another key"
    MALFORMED = "nonsense"
    OTHER_CLUSTER = "another cluster"
    OWN = "its own"
    OTHER_RECEIVER = "for another process"
    REPLAYED = "played again"


class FrameRejectedError(Exception):
    """A frame was rejected.

    Attributes:
        reason: Why the frame was rejected.
        sender_generation: Generation of the sender if the frame names another receiver
            generation than this process's, else None.
    """

    def __init__(
        self, reason: RejectReason, sender_generation: int | None = None
    ) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.sender_generation = sender_generation


@dataclass(frozen=True, slots=True)
class Frame:
    """An accepted frame with the name and generation of its sender."""

    sender: str
    generation: int
    payload: list[Any]


class ReplayWindow:
    """Anti-replay window over the counters of one sender (as in RFC 4303, 3.4.3).

    Frames may be reordered, so counters that are less than `WIDTH` below the highest
    are accepted in any order, each of them once.
    """

    WIDTH = 1024

    def __init__(self) -> None:
        self._highest = 0
        self._seen_bits = 0  # bit n: counter `_highest - n` was received

    def accept(self, counter: int) -> bool:
        """Return whether the counter is new, and mark it as received."""
        ahead = counter - self._highest
        if ahead > 0:
            shifted = self._seen_bits << min(ahead, self.WIDTH) | 1
            self._seen_bits = shifted & ((1 << self.WIDTH) - 1)
            self._highest = counter
            return True
        if -ahead >= self.WIDTH or self._seen_bits >> -ahead & 1:
            return False
        self._seen_bits |= 1 << -ahead
        return True


class SendCounters:
    """Last used frame counter for each receiver, by the receiver's generation.

    With a single counter for all receivers, a seed that answers hundreds of starting
    processes would advance it beyond the replay window of a receiver whose frames are
    still queued in a stream.
    """

    def __init__(self) -> None:
        # Ordered from least to most recently used.
        self._last: OrderedDict[int, int] = OrderedDict()
        # Highest counter of an evicted receiver. A receiver without an entry continues
        # from it, so that no counter is used twice.
        self._highest_dropped = 0

    def __contains__(self, generation: int) -> bool:
        return generation in self._last

    def next_counter(self, generation: int) -> int:
        """Return the counter of the next frame to the process of `generation`."""
        counter = self._last.pop(generation, self._highest_dropped) + 1
        self._last[generation] = counter
        if len(self._last) > MAX_TRACKED_PROCESSES:
            _, dropped = self._last.popitem(last=False)
            self._highest_dropped = max(self._highest_dropped, dropped)
        return counter


def _signature(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, body, "sha256")[:16]


class FrameAuthenticator:
    """Encodes and verifies the frames of one process.

    `generation` distinguishes the process from all others, including earlier ones of
    its name.

    Attributes:
        version: Frame format version; frames of other versions are rejected.
    """

    version = 1

    def __init__(
        self, *, cluster: str, shared_key: bytes, name: str, generation: int
    ) -> None:
        self._cluster, self._key = cluster, shared_key
        self._name, self._generation = name, generation
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(list).decode
        self.counters = SendCounters()
        # By name and generation, ordered from least to most recently used.
        self._replay_windows: OrderedDict[tuple[str, int], ReplayWindow] = OrderedDict()

    def encode_frame(self, receiver_generation: int, payload: list[Any]) -> bytes:
        """Return an encoded frame; `receiver_generation` is 0 while it is unknown."""
        counter = self.counters.next_counter(receiver_generation)
        body = self._encode(
            [
                self._cluster,
                self._name,
                self._generation,
                receiver_generation,
                counter,
                payload,
            ]
        )
        signature = _signature(self._key, body)
        header = HEADER.pack(MAGIC, self.version, len(body), crc32(body), signature)
        return header + body

    def encoded_size(self, value: object) -> int:
        """Return the size of a value within a payload, in bytes."""
        return len(self._encode(value))

    def frame_length(self, data: bytes | bytearray, max_body: int) -> int | None:
        """Return the length of the frame at the start of `data`.

        Return None while its header is incomplete.

        Raises:
            FrameRejectedError: The header is invalid or of another version, or the body
                is longer than `max_body`.
        """
        if len(data) < HEADER.size:
            return None
        magic, version, body_length, _, _ = HEADER.unpack_from(data)
        if magic != MAGIC:
            raise FrameRejectedError(RejectReason.DAMAGED)
        if version != self.version:
            raise FrameRejectedError(RejectReason.OTHER_VERSION)
        if body_length > max_body:
            raise FrameRejectedError(RejectReason.TOO_LONG)
        return HEADER.size + body_length

    def decode_frame(self, frame: bytes) -> Frame:
        """Verify and decode one complete frame.

        Raises:
            FrameRejectedError: The frame is malformed, not authentic, replayed, or not
                for this process.
        """
        body = self._verified_body(frame)
        try:
            cluster, sender, generation, receiver, counter, payload = self._decode(body)
        except (ValueError, msgspec.MsgspecError):
            raise FrameRejectedError(RejectReason.MALFORMED) from None
        if cluster != self._cluster:
            raise FrameRejectedError(RejectReason.OTHER_CLUSTER)
        numbers = generation, receiver, counter
        if not isinstance(sender, str) or not isinstance(payload, list) or not payload:
            raise FrameRejectedError(RejectReason.MALFORMED)
        if not all(isinstance(number, int) for number in numbers):
            raise FrameRejectedError(RejectReason.MALFORMED)
        if generation == self._generation:
            raise FrameRejectedError(RejectReason.OWN)
        if receiver != self._generation:
            raise FrameRejectedError(RejectReason.OTHER_RECEIVER, generation)
        self.accept_counter(sender, generation, counter)
        return Frame(sender, generation, payload)

    def _verified_body(self, frame: bytes) -> bytes:
        if self.frame_length(frame, len(frame)) != len(frame):
            raise FrameRejectedError(RejectReason.DAMAGED)
        _, _, _, checksum, signature = HEADER.unpack_from(frame)
        body = bytes(memoryview(frame)[HEADER.size :])
        if crc32(body) != checksum:
            raise FrameRejectedError(RejectReason.DAMAGED)
        if not hmac.compare_digest(signature, _signature(self._key, body)):
            raise FrameRejectedError(RejectReason.OTHER_KEY)
        return body

    def accept_counter(self, sender: str, generation: int, counter: int) -> None:
        """Mark a counter of a sender as received.

        Raises:
            FrameRejectedError: The counter was already received, or is below the replay
                window.
        """
        identity = sender, generation
        window = self._replay_windows.get(identity)
        if window is None:
            window = self._replay_windows[identity] = ReplayWindow()
            while len(self._replay_windows) > MAX_TRACKED_PROCESSES:
                self._replay_windows.popitem(last=False)
        self._replay_windows.move_to_end(identity)
        if not window.accept(counter):
            raise FrameRejectedError(RejectReason.REPLAYED)
