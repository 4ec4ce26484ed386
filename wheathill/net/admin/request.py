"""Protocol machine for one HTTP/1.1 request (RFC 9112) with a JSON response."""

import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from wheathill.config.limits import ProxyLimits
from wheathill.net.admin.errors import HttpError
from wheathill.net.admin.request_target import RequestTarget, parse_target
from wheathill.net.admin.response import encode_response
from wheathill.net.errors import ProtocolError
from wheathill.net.line_buffer import CRLF
from wheathill.net.protocol_machine import ProtocolMachine

# Needed for type checking only; not importing it at run time saves memory.
if TYPE_CHECKING:
    from wheathill.net.admin.interfaces import AdminConnection

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")  # RFC 9110 section 5.6.2
TARGET = re.compile(rb"[!-~]+")
VERSION = re.compile(rb"HTTP/[0-9]\.[0-9]")
SUPPORTED_VERSIONS = b"HTTP/1."
# Digits of a Content-Length that are parsed; a number this long exceeds any limit.
MAX_LENGTH_DIGITS = 20

Answer = Callable[[str, RequestTarget], Any]


class AdminRequest(ProtocolMachine):
    """Reads one request, sends one response, and closes the connection.

    The callback `answer` gets the method and the target. It returns the value that is
    sent with status 200, or raises `HttpError`.

    Attributes:
        done: whether the response was sent or the connection was lost.
    """

    def __init__(
        self,
        connection: "AdminConnection",
        answer: Answer,
        limits: ProxyLimits,
        clock: Any,  # noqa: ANN401 - the type of the transport's clock
    ) -> None:
        super().__init__(None, limits, clock)
        self.connection = connection
        self.done = False
        self._answer = answer
        self.lines.max_length = limits.max_admin_head_bytes
        # A plain function; a bound method would create a reference cycle.
        self._read_next = AdminRequest._read_request_line
        self._method, self._target = "", b""
        self._head_bytes = self._header_count = 0
        self._content_length: int | None = None

    def connected(self) -> None:
        """Start the timeout for receiving the whole request."""
        self.set_timer(self.limits.admin_request_timeout_ms, self._time_out)

    def received(self, data: bytes) -> None:
        """Continue parsing; answer once the request is complete or invalid."""
        if self.done:
            return
        self.lines.feed(data)
        try:
            while not self.done and self._read_next(self):
                pass
        except ProtocolError:
            self._send_error(self._head_too_large())
        except HttpError as error:
            self._send_error(error)

    def ended(self) -> None:
        """The client has sent end of stream before the request was complete."""
        self._send_error(HttpError(400, "half a call"))

    def lost(self, reset: bool) -> None:
        """The connection was lost."""
        self.done = True
        self.timer.cancel()

    def fault(self) -> None:
        """A callback or handler raised an exception, which was logged already."""
        if self.done:
            self.connection.abort()
        else:
            message = "a fault in this program; its log says where"
            self._send_error(HttpError(500, message))

    def evict(self) -> None:
        """Close the connection immediately, as another request needs its descriptor."""
        self.lost(False)
        self.connection.abort()

    # Parser states. Each returns whether parsing can continue.

    def _head_too_large(self) -> HttpError:
        return HttpError(
            431, f"a head of over {self.limits.max_admin_head_bytes} bytes"
        )

    def _next_head_line(self) -> bytes | None:
        line = self.lines.next_line()
        if line is not None:
            self._head_bytes += len(line) + len(CRLF)
        if self._head_bytes > self.limits.max_admin_head_bytes:
            raise self._head_too_large()
        return line

    def _read_request_line(self) -> bool:
        line = self._next_head_line()
        if not line:
            # Empty lines before the request line are ignored (RFC 9112 section 2.2).
            return line is not None
        parts = line.split(b" ")
        if (
            len(parts) != 3
            or not TOKEN.fullmatch(parts[0])
            or not TARGET.fullmatch(parts[1])
            or not VERSION.fullmatch(parts[2])
        ):
            raise HttpError(400, "the first line is not METHOD TARGET HTTP/1.1")
        method, self._target, version = parts
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
        """Read and discard the body, then answer.

        No request needs a body. It is read because closing a socket with unread bytes
        resets the connection, which could discard the response.
        """
        self._content_length = (self._content_length or 0) - len(self.lines.unconsumed)
        self.lines.unconsumed = b""
        if self._content_length <= 0:
            target = parse_target(self._target)
            self._send(200, self._answer(self._method, target), {})
        return False

    # Responses

    def _send(self, status: int, value: object, headers: dict[str, str]) -> None:
        head, body = encode_response(status, value, headers)
        self.done = True
        self.lines.unconsumed = b""
        self.timer.cancel()
        self.connection.send(head, body)
        self.connection.close_gracefully()

    def _send_error(self, error: HttpError) -> None:
        self._send(error.status, {"error": error.message}, error.headers)

    def _time_out(self) -> None:
        timeout_ms = self.limits.admin_request_timeout_ms
        self._send_error(HttpError(408, f"no whole call within {timeout_ms:.0f} ms"))
