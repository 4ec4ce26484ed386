"""Frames between instances, without I/O: sealed with the cluster's key, and told from those that are damaged,
foreign, of another key, or played again.

A frame is a head (mark, version, length of the body, CRC-32 of it, first half of its HMAC-SHA256 after RFC 2104)
and a body in msgpack: [cluster, name, birth, the receiver's birth, counter, words]. The receiver's birth makes a
frame good for one process only: what was recorded before that one started names another. The counter makes it
good once.
"""

import hmac
import struct
from collections import OrderedDict
from zlib import crc32

import msgspec

MARK = b"wh"
HEAD = struct.Struct("!2sHII16s")


class Dropped(Exception):
    """A frame that is not taken; its text is the reason, one of a few. `birth`: where an honest sender has to
    learn this process's birth first."""

    def __init__(self, reason, birth=None):
        super().__init__(reason)
        self.birth = birth


def digest(key, body):
    return hmac.digest(key, body, "sha256")[:16]


class Window:
    """Which counters of one sender have come: the highest, and those not far below it."""

    WIDTH = 1024

    def __init__(self):
        self.highest = 0
        self.seen = 0  # bit n: highest - n has come

    def fresh(self, counter):
        """Whether it has not come before; from now on it has."""
        ahead = counter - self.highest
        if ahead > 0:
            self.seen = (self.seen << min(ahead, self.WIDTH) | 1) & (
                1 << self.WIDTH
            ) - 1
            self.highest = counter
            return True
        if -ahead >= self.WIDTH or self.seen >> -ahead & 1:
            return False
        self.seen |= 1 << -ahead
        return True


class Seal:
    """Of one process. `birth` tells it from all others, also from those before it under the same name."""

    VERSION = 1
    SENDERS = 4096  # whose counters are kept

    def __init__(self, cluster, key, name, birth):
        self.cluster, self.key, self.name, self.birth = cluster, key, name, birth
        self.encode = msgspec.msgpack.Encoder().encode
        self.decode = msgspec.msgpack.Decoder(list).decode
        # Receiver's birth -> counter of the last frame for it, the longest unused first; `used`: of those forgotten. One for
        # all passed the window of a receiver whose frames waited in a stream, while a seed answered hundreds.
        self.counters, self.used = OrderedDict(), 0
        self.windows = (
            OrderedDict()
        )  # (name, birth) -> Window, the longest silent first

    def close(self, to_birth, words):
        """A frame as bytes; `to_birth` 0 where it is not known yet."""
        counter = self.counters[to_birth] = self.counters.pop(to_birth, self.used) + 1
        if len(self.counters) > self.SENDERS:
            self.used = max(self.used, self.counters.popitem(last=False)[1])
        body = self.encode(
            [self.cluster, self.name, self.birth, to_birth, counter, words]
        )
        return (
            HEAD.pack(
                MARK, self.VERSION, len(body), crc32(body), digest(self.key, body)
            )
            + body
        )

    def length(self, data, most):
        """Of the whole frame that `data` begins with, None while its head is not complete."""
        if len(data) < HEAD.size:
            return None
        mark, version, length, _, _ = HEAD.unpack_from(data)
        if mark != MARK:
            raise Dropped("damaged")
        if version != self.VERSION:
            raise Dropped("another version")
        if length > most:
            raise Dropped("too long")
        return HEAD.size + length

    def open(self, frame):
        """(name, birth, the receiver's birth, words) of one whole frame. Raises Dropped."""
        if self.length(frame, len(frame)) != len(frame):
            raise Dropped("damaged")
        _, _, _, check, signed = HEAD.unpack_from(frame)
        body = bytes(memoryview(frame)[HEAD.size :])
        if crc32(body) != check:
            raise Dropped("damaged")
        if not hmac.compare_digest(signed, digest(self.key, body)):
            raise Dropped("another key")
        try:
            cluster, name, birth, to_birth, counter, words = self.decode(body)
        except (ValueError, msgspec.MsgspecError):
            raise Dropped("nonsense") from None
        if cluster != self.cluster:
            raise Dropped("another cluster")
        if (
            not isinstance(name, str)
            or not isinstance(words, list)
            or not words
            or not all(isinstance(number, int) for number in (birth, to_birth, counter))
        ):
            raise Dropped("nonsense")
        if birth == self.birth:
            raise Dropped("its own")
        if to_birth != self.birth:
            raise Dropped("for another process", birth)
        self.take(name, birth, counter)
        return name, birth, words

    def take(self, name, birth, counter):
        window = self.windows.get((name, birth))
        if window is None:
            window = self.windows[name, birth] = Window()
            while len(self.windows) > self.SENDERS:
                self.windows.popitem(last=False)
        self.windows.move_to_end((name, birth))
        if not window.fresh(counter):
            raise Dropped("played again")
