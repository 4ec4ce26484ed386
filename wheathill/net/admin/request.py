"""One request on one connection: HTTP/1.1 (RFC 9112), answered with JSON."""

import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from wheathill.config.limits import ProxyLimits
from wheathill.net.admin.errors import HttpError
from wheathill.net.admin.request_target import RequestTarget, parse_target
from wheathill.net.admin.response import encode_response
from wheathill.net.lines import END, Malformed
from wheathill.net.machine import Machine

# Only their types are needed, and memory is short.
if TYPE_CHECKING:
    from wheathill.net.admin.interfaces import AdminConnection

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")  # RFC 9110 section 5.6.2
TARGET = re.compile(rb"[!-~]+")
VERSION = re.compile(rb"HTTP/[0-9]\.[0-9]")
SUPPORTED_VERSIONS = b"HTTP/1."
# Digits of a Content-Length that are read; any number as long is over the limit.
MAX_LENGTH_DIGITS = 20

Answer = Callable[[str, RequestTarget], Any]


class AdminRequest(Machine):
    """Reads one request, sends one response, and closes the connection.

    `answer` takes the method and the target; it returns the value that is sent with
    200, or raises `HttpError`.
    """

    def __init__(
        self,
        connection: "AdminConnection",
        answer: Answer,
        limits: ProxyLimits,
        clock: Any,  # noqa: ANN401 - the type of the transport's clock
    ) -> None:
        super().__init__(None, limits, clock)
        self.wire = connection
        self.done = False
        self._answer = answer
        self.lines.longest = limits.max_admin_head_bytes
        # Not a bound method, by which the request would hold itself.
        self._read_next = AdminRequest._read_request_line
        self._method, self._target = "", b""
        self._head_bytes = self._header_count = 0
        self._content_length: int | None = None

    def connected(self) -> None:
        """Give the whole request a time to come."""
        self.set_timer(self.limits.admin_request_timeout_ms, self._time_out)

    def received(self, data: bytes) -> None:
        """Read on, and answer once the request is whole or found to be wrong."""
        if self.done:
            return
        self.lines.feed(data)
        try:
            while not self.done and self._read_next(self):
                pass
        except Malformed:
            self._send_error(self._head_too_large())
        except HttpError as error:
            self._send_error(error)

    def ended(self) -> None:
        """The caller sends no more, and the request is not whole."""
        self._send_error(HttpError(400, "half a call"))

    def lost(self, reset: bool) -> None:
        """The connection is over."""
        self.done = True
        self.timer.cancel()

    def fault(self) -> None:
        """A handler, or this, raised an exception, which was logged."""
        if self.done:
            self.wire.abort()
        else:
            message = "a fault in this program; its log says where"
            self._send_error(HttpError(500, message))

    def make_room(self) -> None:
        """End the connection at once, as another request needs its descriptor."""
        self.lost(False)
        self.wire.abort()

    # Reading. Each returns whether the next part may be read.

    def _head_too_large(self) -> HttpError:
        return HttpError(
            431, f"a head of over {self.limits.max_admin_head_bytes} bytes"
        )

    def _next_head_line(self) -> bytes | None:
        line = self.lines.next()
        if line is not None:
            self._head_bytes += len(line) + len(END)
        if self._head_bytes > self.limits.max_admin_head_bytes:
            raise self._head_too_large()
        return line

    def _read_request_line(self) -> bool:
        line = self._next_head_line()
        if not line:
            # An empty line before it is passed over (section 2.2).
            return line is not None
        words = line.split(b" ")
        if (
            len(words) != 3
            or not TOKEN.fullmatch(words[0])
            or not TARGET.fullmatch(words[1])
            or not VERSION.fullmatch(words[2])
        ):
            raise HttpError(400, "the first line is not METHOD TARGET HTTP/1.1")
        method, self._target, version = words
        if not version.startswith(SUPPORTED_VERSIONS):
            raise HttpError(505, "HTTP/1.1 is spoken here")
        self._method = method.decode()
        self._read_next = AdminRequest._read_header
        return True

    def _read_header(self) -> bool:
        line = self._next_head_line()
        if line is None:
            return False
        if not line:
            self._read_next = AdminRequest._skip_body
            return True
        self._header_count += 1
        if self._header_count > self.limits.max_admin_headers:
            raise HttpError(431, f"more than {self.limits.max_admin_headers} headers")
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.fullmatch(name):
            raise HttpError(400, "a header is not NAME: VALUE")
        if name.lower() == b"transfer-encoding":
            raise HttpError(501, "a body has to come with Content-Length")
        if name.lower() == b"content-length":
            self._read_content_length(value.strip(b" \t"))
        return True

    def _read_content_length(self, value: bytes) -> None:
        digits = value[:MAX_LENGTH_DIGITS]
        if not value.isdigit() or self._content_length not in (None, int(digits)):
            raise HttpError(400, "Content-Length is not one number")
        self._content_length = int(digits)
        if self._content_length > self.limits.max_admin_body_bytes:
            raise HttpError(
                413, f"a body of over {self.limits.max_admin_body_bytes} bytes"
            )

    def _skip_body(self) -> bool:
        """Read the body to its end and answer.

        No request here needs one; it is read so that the response is not lost with
        what was not read.
        """
        self._content_length = (self._content_length or 0) - len(self.lines.rest)
        self.lines.rest = b""
        if self._content_length <= 0:
            target = parse_target(self._target)
            self._send(200, self._answer(self._method, target), {})
        return False

    # Answering

    def _send(self, status: int, value: object, headers: dict[str, str]) -> None:
        head, body = encode_response(status, value, headers)
        self.done = True
        self.lines.rest = b""
        self.timer.cancel()
        self.wire.send(head, body)
        self.wire.part()

    def _send_error(self, error: HttpError) -> None:
        self._send(error.status, {"error": error.message}, error.headers)

    def _time_out(self) -> None:
        timeout_ms = self.limits.admin_request_timeout_ms
        self._send_error(HttpError(408, f"no whole call within {timeout_ms:.0f} ms"))
