"""Authenticated frames between proxies, free of I/O.

A frame is a header (magic bytes, version, length of the body, its CRC-32, the first
half of its HMAC-SHA256 after RFC 2104) and a body in msgpack: [cluster, sender, the
sender's generation, the receiver's generation, counter, payload]. The receiver's
generation makes a frame valid for one process only: a frame that was recorded before
that process started names another one. The counter makes it valid once.
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
# Senders of which replay windows are kept, and receivers of which counters are.
MAX_TRACKED_PROCESSES = 4096


class RejectReason(StrEnum):
    """Why a frame was not accepted. The values are those of the log and of metrics."""

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
    """A frame that is not accepted.

    Attributes:
        reason: why.
        sender_generation: of a sender that has yet to learn this process's generation,
            else None.
    """

    def __init__(
        self, reason: RejectReason, sender_generation: int | None = None
    ) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.sender_generation = sender_generation


@dataclass(frozen=True, slots=True)
class Frame:
    """An accepted frame: what the process of that name and generation has sent."""

    sender: str
    generation: int
    payload: list[Any]


class ReplayWindow:
    """The counters that have come from one sender (as the window of RFC 4303, 3.4.3).

    Frames may overtake each other, so counters a little below the highest are accepted
    in any order, each of them once.
    """

    WIDTH = 1024

    def __init__(self) -> None:
        self._highest = 0
        self._seen = 0  # bit n: the counter `_highest - n` has come

    def accept(self, counter: int) -> bool:
        """Return whether the counter is new, and note that it has come."""
        ahead = counter - self._highest
        if ahead > 0:
            shifted = self._seen << min(ahead, self.WIDTH) | 1
            self._seen = shifted & ((1 << self.WIDTH) - 1)
            self._highest = counter
            return True
        if -ahead >= self.WIDTH or self._seen >> -ahead & 1:
            return False
        self._seen |= 1 << -ahead
        return True


class SendCounters:
    """The counter of the last frame for each receiver, by its generation.

    One counter for all receivers would pass the replay window of one whose frames wait
    in a stream while a seed answers hundreds of processes that start.
    """

    def __init__(self) -> None:
        # The receiver that was sent to longest ago first.
        self._last: OrderedDict[int, int] = OrderedDict()
        # The highest of the receivers that were dropped: one that is sent to again goes
        # on from there, so that no counter is used twice.
        self._highest_dropped = 0

    def __contains__(self, generation: int) -> bool:
        return generation in self._last

    def next_counter(self, generation: int) -> int:
        """Return the counter of the next frame for the process of that generation."""
        counter = self._last.pop(generation, self._highest_dropped) + 1
        self._last[generation] = counter
        if len(self._last) > MAX_TRACKED_PROCESSES:
            _, dropped = self._last.popitem(last=False)
            self._highest_dropped = max(self._highest_dropped, dropped)
        return counter


def _signature(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, body, "sha256")[:16]


class FrameAuthenticator:
    """Makes and checks the frames of one process.

    `generation` tells the process from all others, also from earlier ones of its name.

    Attributes:
        version: of the frames. Others are rejected.
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
        # By name and generation, the sender that was silent for longest first.
        self._windows: OrderedDict[tuple[str, int], ReplayWindow] = OrderedDict()

    def encode_frame(self, receiver_generation: int, payload: list[Any]) -> bytes:
        """Return a frame; `receiver_generation` is 0 where it is not known yet."""
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
        """Return how many bytes a value takes within a payload."""
        return len(self._encode(value))

    def frame_length(self, data: bytes | bytearray, max_body: int) -> int | None:
        """Return the length of the frame that `data` begins with.

        Returns None while its header is not complete.

        Raises:
            FrameRejectedError: The header is none of this version, or the body is too
            long.
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
        """Return the content of one whole frame.

        Raises:
            FrameRejectedError: It is not accepted.
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
        """Note a counter of a sender.

        Raises:
            FrameRejectedError: It has come before, or is too far below the highest.
        """
        identity = sender, generation
        window = self._windows.get(identity)
        if window is None:
            window = self._windows[identity] = ReplayWindow()
            while len(self._windows) > MAX_TRACKED_PROCESSES:
                self._windows.popitem(last=False)
        self._windows.move_to_end(identity)
        if not window.accept(counter):
            raise FrameRejectedError(RejectReason.REPLAYED)
