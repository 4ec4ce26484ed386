"""Discovery's watch: HTTP/1.1 with an answer, in chunks, of a stated length or to its end, that holds JSON objects."""

import math
import re

import orjson

from wheathill.net.errors import ProtocolError
from wheathill.net.protocol_machine import ProtocolMachine

# A string that is whole
STRING = rb'"[^"\\\x00-\x1f]*+(?:\\.[^"\\\x00-\x1f]*+)*+"'
# An object that is whole and holds no other, as lists do by thousands; a string; what opens or closes an object or array;
# or the quote of a string that is cut off. Nothing is gone over twice (possessive): objects are cut off at every piece.
MARK = re.compile(
    rb'\{[^][{}"]*+(?:' + STRING + rb'[^][{}"]*+)*+\}|' + STRING + rb'|[][{}"]'
)
CLOSES = {b"}": b"{", b"]": b"["}
CONTROL = re.compile(rb"[\x00-\x1f]")


class Objects:
    """Cuts a text into JSON objects by their braces: lists may come indented, several in a piece or one over many,
    so that neither a line's end nor a piece's says where one ends."""

    def __init__(self, longest):
        self.longest = longest
        self.rest = b""
        self.open = []  # braces and brackets
        self.seen = 0  # so far `rest` was looked at

    def feed(self, data):
        self.rest += data

    def next(self):
        """The next whole object, b"" for an empty line between two, or None. Raises ProtocolError."""
        if not self.open:
            self.rest, self.seen = self.rest.lstrip(b" \t\r"), 0
            if self.rest.startswith(b"\n"):
                self.rest = self.rest[1:]
                return b""
            if self.rest and not self.rest.startswith(b"{"):
                raise ProtocolError(f"not a list: {self.rest[:20]!r}")
        for mark in MARK.finditer(self.rest, self.seen):
            self.seen = mark.end()
            if mark[0] in (b"{", b"["):
                self.open.append(mark[0])
            elif mark[0] in CLOSES:
                # Else one that never closes would swallow all that follow it.
                if self.open.pop() != CLOSES[mark[0]]:
                    raise ProtocolError("not a list: what closes was not open")
                if not self.open:
                    found, self.rest = self.rest[: self.seen], self.rest[self.seen :]
                    return found
            elif mark[0].endswith(b"}") and not self.open:
                found, self.rest = self.rest[: self.seen], self.rest[self.seen :]
                return found
            elif mark[0] == b'"':
                # No string holds a line's end: waited for, its other quote would swallow the lists to come.
                if CONTROL.search(self.rest, self.seen):
                    raise ProtocolError("not a list: a string without end")
                self.seen = mark.start()
                break
        if len(self.rest) > self.longest:
            raise ProtocolError("a list too long")
        return None


class Watch(ProtocolMachine):
    """Asks once, then hands every object to `door`; whatever goes wrong ends it, and `door` opens another.

    It lives by what it tells: a list, the empty line that is due while nothing changes, or so much of a long list
    as the receive buffer holds. Bytes alone don't count, since a stream that trickles tells nothing."""

    def __init__(self, host, since, door, limits, clock):
        super().__init__(door, limits, clock)
        self.request = (
            f"GET /v1/servers?stream=1&index={since} HTTP/1.1\r\n"
            f"Host: {host}\r\nAccept: application/json\r\n\r\n"
        ).encode()
        self.read = (
            Watch.status
        )  # not bound: that would be a cycle of references for each watch
        self.chunked = False
        self.left = (
            None  # bytes of the present chunk, or of the answer where it says how many
        )
        self.objects = Objects(limits.max_list_line_bytes)
        self.untold = 0  # bytes since it last told something
        self.came = -math.inf  # when bytes last did
        self.answered = False
        self.left_for_good = False

    def start(self, wire):
        self.wire = wire
        self.quiet_from_now()

    def quiet_from_now(self):
        self.untold = 0
        self.set_timer(self.limits.watch_silence_timeout_ms, self.end, "silent")

    def connected(self):
        self.wire.send(self.request)

    def received(self, data):
        self.came = self.clock.now()
        self.lines.feed(data)
        try:
            while self.read(self):
                pass
        except ProtocolError as wrong:
            self.end(str(wrong))

    def status(self):
        line = self.lines.next_line()
        if line is None:
            return False
        words = line.split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or words[1] != b"200":
            raise ProtocolError(f"answered {line[:80]!r}")
        self.read = Watch.header
        return True

    def header(self):
        line = self.lines.next_line()
        if line is None:
            return False
        name, _, value = line.partition(b":")
        name, value = name.strip().lower(), value.strip().lower()
        if name == b"transfer-encoding" and value == b"chunked":
            self.chunked = True
        elif name == b"content-length":
            if not value.isdigit():
                raise ProtocolError(f"an answer of {value[:20]!r} bytes")
            self.left = int(value)
        if not line:
            self.read = Watch.chunk_size if self.chunked else Watch.plain
        return True

    def plain(self):
        """A body without chunks: as long as it says, or until the connection ends."""
        data, self.lines.unconsumed = self.lines.unconsumed, b""
        if self.left is None:
            self.take(data)
            return False
        self.take(data[: self.left])
        self.left -= len(data)
        if self.left <= 0:
            # The connection may stay open for another request, but this one's answer is over.
            raise ProtocolError("the answer ended")
        return False

    def chunk_size(self):
        line = self.lines.next_line()
        if line is None:
            return False
        try:
            self.left = int(line.split(b";")[0], 16)
        except ValueError:
            raise ProtocolError(f"a chunk of size {line[:20]!r}") from None
        if self.left <= 0:
            raise ProtocolError("the answer ended")
        self.read = Watch.chunk
        return True

    def chunk(self):
        data = self.lines.unconsumed[: self.left]
        self.lines.unconsumed = self.lines.unconsumed[len(data) :]
        self.left -= len(data)
        self.take(data)
        if not self.left:
            self.read = Watch.chunk_end
        return bool(data)

    def chunk_end(self):
        line = self.lines.next_line()
        if line:
            raise ProtocolError("a chunk longer than it says")
        if line is not None:
            self.read = Watch.chunk_size
        return line is not None

    def take(self, data):
        self.objects.feed(data)
        self.untold += len(data)
        while not self.left_for_good and (found := self.objects.next()) is not None:
            self.tells(found)
        if not self.left_for_good and self.untold >= self.limits.receive_buffer_bytes:
            self.quiet_from_now()

    def tells(self, found):
        self.quiet_from_now()
        if not self.answered:
            self.answered = True
            self.owner.watch_answered(self)
        if not found:
            return
        try:
            told = orjson.loads(found)
        except ValueError as wrong:
            raise ProtocolError(f"not a list: {wrong}") from None
        self.owner.listed(told)

    def ended(self):
        self.end("ended")

    def lost(self, reset):
        self.end("lost" if self.wire.was_established else "not reached")

    def fault(self):
        self.end("fault")

    def end(self, why):
        if not self.left_for_good:
            self.leave()
            self.owner.watch_over(self, why)

    def leave(self):
        """Nothing that still comes is told, and `door` opens no other for it."""
        self.left_for_good = True
        self.timer.cancel()
        self.wire.abort()
