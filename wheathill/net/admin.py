"""One call at the operators' door: HTTP/1.1 (RFC 9112), a call to a connection, answered with JSON."""

import re

import orjson

from wheathill.net.lines import END, Malformed
from wheathill.net.machine import Machine

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")  # RFC 9110 section 5.6.2
TARGET = re.compile(rb"[!-~]+")
VERSION = re.compile(rb"HTTP/[0-9]\.[0-9]")


class No(Exception):
    """A call that is answered with something else than 200: the status, what was wrong, more headers."""

    def __init__(self, status, what, **headers):
        super().__init__(what)
        self.status, self.what, self.headers = status, what, headers


def decoded(text):
    """Percent-decoded, strictly: what is no escape is malformed (RFC 3986 section 2.1)."""
    found = bytearray()
    rest = text.encode()
    while rest:
        plain, escape, rest = rest.partition(b"%")
        found += plain
        if escape:
            if not re.match(rb"[0-9A-Fa-f]{2}", rest):
                raise No(400, "a % without two hexadecimal digits after it")
            found.append(int(rest[:2], 16))
            rest = rest[2:]
    try:
        return found.decode()
    except UnicodeDecodeError:
        raise No(400, "escapes that are not UTF-8") from None


def split_target(target):
    """(path, {name: [values]}) of a request's target, in origin or absolute form."""
    text = target.decode()
    if text[:7].lower() == "http://":
        text = "/" + text[7:].partition("/")[2]
    path, _, query = text.partition("#")[0].partition("?")
    if not path.startswith("/"):
        raise No(400, "the target is no path")
    values = {}
    for pair in query.split("&") if query else ():
        name, _, value = pair.partition("=")
        values.setdefault(decoded(name), []).append(decoded(value))
    return decoded(path), values


class Call(Machine):
    """`answer(method, path, query)` gives the object that is sent with 200, or raises No."""

    def __init__(self, wire, answer, limits, clock):
        super().__init__(None, limits, clock)
        self.wire = wire
        self.answer = answer
        self.lines.longest = limits.max_admin_head_bytes
        self.read = Call.request_line
        self.method = self.target = None
        self.head = self.headers = 0  # bytes and lines so far
        self.body = None  # bytes still to come
        self.done = False

    def connected(self):
        self.set_timer(self.limits.admin_request_timeout_ms, self.too_slow)

    def received(self, data):
        if self.done:
            return
        self.lines.feed(data)
        try:
            while not self.done and self.read(self):
                pass
        except Malformed:
            self.say_no(
                No(431, f"a head of over {self.limits.max_admin_head_bytes} bytes")
            )
        except No as no:
            self.say_no(no)

    def head_line(self):
        line = self.lines.next()
        self.head += 0 if line is None else len(line) + len(END)
        if self.head > self.limits.max_admin_head_bytes:
            raise No(431, f"a head of over {self.limits.max_admin_head_bytes} bytes")
        return line

    def request_line(self):
        line = self.head_line()
        if not line:
            return (
                line is not None
            )  # an empty line before it is passed over (section 2.2)
        words = line.split(b" ")
        if (
            len(words) != 3
            or not TOKEN.fullmatch(words[0])
            or not TARGET.fullmatch(words[1])
            or not VERSION.fullmatch(words[2])
        ):
            raise No(400, "the first line is not METHOD TARGET HTTP/1.1")
        if not words[2].startswith(b"HTTP/1."):
            raise No(505, "HTTP/1.1 is spoken here")
        self.method, self.target = words[0].decode(), words[1]
        self.read = Call.header
        return True

    def header(self):
        line = self.head_line()
        if line is None:
            return False
        if not line:
            self.read = Call.skip_body
            return True
        self.headers += 1
        if self.headers > self.limits.max_admin_headers:
            raise No(431, f"more than {self.limits.max_admin_headers} headers")
        name, between, value = line.partition(b":")
        if not between or not TOKEN.fullmatch(name):
            raise No(400, "a header is not NAME: VALUE")
        name, value = name.lower(), value.strip(b" \t")
        if name == b"transfer-encoding":
            raise No(501, "a body has to come with Content-Length")
        if name == b"content-length":
            if not value.isdigit() or self.body not in (None, int(value[:20])):
                raise No(400, "Content-Length is not one number")
            self.body = int(value[:20])
            if self.body > self.limits.max_admin_body_bytes:
                raise No(
                    413, f"a body of over {self.limits.max_admin_body_bytes} bytes"
                )
        return True

    def skip_body(self):
        """No call here needs one; it is read so that the answer isn't lost with what was not read."""
        self.body = (self.body or 0) - len(self.lines.rest)
        self.lines.rest = b""
        if self.body <= 0:
            path, query = split_target(self.target)
            self.say(200, self.answer(self.method, path, query))
        return False

    def say(self, status, found, **headers):
        body = orjson.dumps(found, default=str, option=orjson.OPT_APPEND_NEWLINE)
        self.done = True
        self.lines.rest = b""
        self.timer.cancel()
        more = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self.wire.send(
            f"HTTP/1.1 {status} {REASONS[status]}\r\n{more}Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode(),
            body,
        )
        self.wire.part()

    def say_no(self, no):
        self.say(no.status, {"error": no.what}, **no.headers)

    def too_slow(self):
        self.say_no(
            No(
                408,
                f"no whole call within {self.limits.admin_request_timeout_ms:.0f} ms",
            )
        )

    def ended(self):
        self.say_no(No(400, "half a call"))

    def lost(self, reset):
        self.done = True
        self.timer.cancel()

    def fault(self):
        if self.done:
            return self.wire.abort()
        self.say_no(No(500, "a fault in this program; its log says where"))

    def make_room(self):
        """Another call needs the descriptor."""
        self.lost(False)
        self.wire.abort()
