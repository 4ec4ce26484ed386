"""The watch on the endpoint list that the discovery agent serves.

The watch is an HTTP/1.1 request. The body of the response holds JSON objects and is
chunked, of a stated length, or ends with the connection.
"""

import math
import re

import orjson

from wheathill.net.errors import ProtocolError
from wheathill.net.protocol_machine import ProtocolMachine

# A complete JSON string.
STRING = rb'"[^"\\\x00-\x1f]*+(?:\\.[^"\\\x00-\x1f]*+)*+"'
# One of: a complete object without nested ones (endpoint lists hold thousands), a
# string, a brace or bracket, or the opening quote of an incomplete string. Possessive
# quantifiers prevent backtracking, as every received piece may end within an object.
TOKEN = re.compile(
    rb'\{[^][{}"]*+(?:' + STRING + rb'[^][{}"]*+)*+\}|' + STRING + rb'|[][{}"]'
)
OPENING_OF = {b"}": b"{", b"]": b"["}
CONTROL_CHARACTER = re.compile(rb"[\x00-\x1f]")


class JsonObjectSplitter:
    """Splits a byte stream into JSON objects by matching braces.

    Objects may be indented, and one piece may hold several or only a part of one, so
    neither line ends nor piece boundaries delimit them.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.unconsumed = b""
        self.open_tokens = []  # braces and brackets that are not closed yet
        self.scanned_bytes = 0  # of `unconsumed`

    def feed(self, data):
        """Append received bytes."""
        self.unconsumed += data

    def next(self):
        """Return the next complete object, b"" for an empty line, or None.

        Raises:
            ProtocolError: if the bytes are not a sequence of JSON objects, or one is
                too long.
        """
        if not self.open_tokens:
            self.unconsumed, self.scanned_bytes = self.unconsumed.lstrip(b" \t\r"), 0
            if self.unconsumed.startswith(b"\n"):
                self.unconsumed = self.unconsumed[1:]
                return b""
            if self.unconsumed and not self.unconsumed.startswith(b"{"):
                raise ProtocolError(
                    f"endpoint list is not a JSON object: {self.unconsumed[:20]!r}"
                )
        for token in TOKEN.finditer(self.unconsumed, self.scanned_bytes):
            self.scanned_bytes = token.end()
            if token[0] in (b"{", b"["):
                self.open_tokens.append(token[0])
            elif token[0] in OPENING_OF:
                # Without this check, an object that is never closed would swallow all
                # that follow it.
                if self.open_tokens.pop() != OPENING_OF[token[0]]:
                    raise ProtocolError("endpoint list has unbalanced brackets")
                if not self.open_tokens:
                    found, self.unconsumed = (
                        self.unconsumed[: self.scanned_bytes],
                        self.unconsumed[self.scanned_bytes :],
                    )
                    return found
            elif token[0].endswith(b"}") and not self.open_tokens:
                found, self.unconsumed = (
                    self.unconsumed[: self.scanned_bytes],
                    self.unconsumed[self.scanned_bytes :],
                )
                return found
            elif token[0] == b'"':
                # JSON strings contain no line end. Waiting for the closing quote of
                # such a string would swallow the lists that follow.
                if CONTROL_CHARACTER.search(self.unconsumed, self.scanned_bytes):
                    raise ProtocolError("endpoint list has an unterminated string")
                self.scanned_bytes = token.start()
                break
        if len(self.unconsumed) > self.max_bytes:
            raise ProtocolError("endpoint list exceeds the size limit")
        return None


class Watch(ProtocolMachine):
    """Requests the endpoint list once and passes every object to its owner.

    Any error ends the watch, and the owner opens another one.

    Progress keeps it alive: an object, the empty line that is due while nothing
    changes, or as many bytes of a long list as the receive buffer holds. Fewer bytes
    don't count, since a stream that trickles delivers no list.

    Attributes:
        last_received_ms: when bytes were last received.
        is_answered: whether an object or an empty line was received.
    """

    def __init__(self, host, version, owner, limits, clock):
        super().__init__(owner, limits, clock)
        self.request = (
            f"GET /v1/servers?stream=1&index={version} HTTP/1.1\r\n"
            f"Host: {host}\r\nAccept: application/json\r\n\r\n"
        ).encode()
        # Not a bound method, which would make each watch a reference cycle.
        self.read_step = Watch.read_status
        self.is_chunked = False
        # Of the current chunk, or of the body if the response states its length.
        self.remaining_bytes = None
        self.objects = JsonObjectSplitter(limits.max_list_line_bytes)
        self.bytes_since_progress = 0
        self.last_received_ms = -math.inf
        self.is_answered = False
        self.is_closed = False

    def start(self, connection):
        """Use a connection that is being established."""
        self.connection = connection
        self.restart_silence_timer()

    def restart_silence_timer(self):
        """Note progress; without more of it the watch ends."""
        self.bytes_since_progress = 0
        self.set_timer(self.limits.watch_idle_timeout_ms, self.end, "silent")

    def connected(self):
        """Send the request."""
        self.connection.send(self.request)

    def received(self, data):
        """Parse as much of the response as was received."""
        self.last_received_ms = self.clock.now()
        self.lines.feed(data)
        try:
            while self.read_step(self):
                pass
        except ProtocolError as error:
            self.end(str(error))

    # Steps of the parser: each returns whether the next one may run on what is left.

    def read_status(self):
        """Read the status line."""
        line = self.lines.next_line()
        if line is None:
            return False
        words = line.split(b" ", 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or words[1] != b"200":
            raise ProtocolError(f"response status is not 200: {line[:80]!r}")
        self.read_step = Watch.read_header
        return True

    def read_header(self):
        """Read one header line, or the empty line after the last one."""
        line = self.lines.next_line()
        if line is None:
            return False
        name, _, value = line.partition(b":")
        name, value = name.strip().lower(), value.strip().lower()
        if name == b"transfer-encoding" and value == b"chunked":
            self.is_chunked = True
        elif name == b"content-length":
            if not value.isdigit():
                raise ProtocolError(f"Content-Length is not a number: {value[:20]!r}")
            self.remaining_bytes = int(value)
        if not line:
            self.read_step = (
                Watch.read_chunk_size if self.is_chunked else Watch.read_body
            )
        return True

    def read_body(self):
        """Read a body of a stated length, or until the connection ends."""
        data, self.lines.unconsumed = self.lines.unconsumed, b""
        if self.remaining_bytes is None:
            self.consume(data)
            return False
        self.consume(data[: self.remaining_bytes])
        self.remaining_bytes -= len(data)
        if self.remaining_bytes <= 0:
            # The connection may stay open for another request, but the response is
            # complete.
            raise ProtocolError("response ended")
        return False

    def read_chunk_size(self):
        """Read the line before a chunk."""
        line = self.lines.next_line()
        if line is None:
            return False
        try:
            self.remaining_bytes = int(line.split(b";")[0], 16)
        except ValueError:
            raise ProtocolError(f"invalid chunk size: {line[:20]!r}") from None
        if self.remaining_bytes <= 0:
            raise ProtocolError("response ended")
        self.read_step = Watch.read_chunk
        return True

    def read_chunk(self):
        """Read what was received of a chunk."""
        data = self.lines.unconsumed[: self.remaining_bytes]
        self.lines.unconsumed = self.lines.unconsumed[len(data) :]
        self.remaining_bytes -= len(data)
        self.consume(data)
        if not self.remaining_bytes:
            self.read_step = Watch.read_chunk_end
        return bool(data)

    def read_chunk_end(self):
        """Read the line end after a chunk."""
        line = self.lines.next_line()
        if line:
            raise ProtocolError("chunk is longer than its stated size")
        if line is not None:
            self.read_step = Watch.read_chunk_size
        return line is not None

    def consume(self, data):
        """Deliver the objects that bytes of the body complete."""
        self.objects.feed(data)
        self.bytes_since_progress += len(data)
        while not self.is_closed and (found := self.objects.next()) is not None:
            self.deliver(found)
        if (
            not self.is_closed
            and self.bytes_since_progress >= self.limits.receive_buffer_bytes
        ):
            self.restart_silence_timer()

    def deliver(self, text):
        """Pass an object to the owner; an empty line only shows progress."""
        self.restart_silence_timer()
        if not self.is_answered:
            self.is_answered = True
            self.owner.on_watch_answered(self)
        if not text:
            return
        try:
            endpoint_list = orjson.loads(text)
        except ValueError as error:
            raise ProtocolError(f"endpoint list is not valid JSON: {error}") from None
        self.owner.on_endpoint_list(endpoint_list)

    def ended(self):
        """End, as the agent sends no more."""
        self.end("ended")

    def lost(self, reset):
        """End, as the connection is over or was not established."""
        self.end("lost" if self.connection.was_established else "not reached")

    def fault(self):
        """End, as a callback has raised an exception."""
        self.end("fault")

    def end(self, reason):
        """Close and tell the owner, which opens another watch."""
        if not self.is_closed:
            self.cancel()
            self.owner.on_watch_ended(self, reason)

    def cancel(self):
        """Close without telling the owner; what is still received is dropped."""
        self.is_closed = True
        self.timer.cancel()
        self.connection.abort()
