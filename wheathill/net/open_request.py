"""The OPEN line, with which a client asks for a session."""

import re

from wheathill.net.errors import MalformedLineError
from wheathill.net.line_buffer import CRLF

PRINTABLE = re.compile(rb"[ -~]+")
NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
TIMEOUT_PREFIX = b"d="  # the one value that changes on the way to a server
WORDS = 4  # OPEN, an id, a key and a list of values


class OpenRequest:
    """A parsed OPEN line.

    The line stays as it was received, and only the position of the value `d` is noted.
    It is checked whole before anything is taken from it: servers answer what they can't
    use with ERR, and a session that is tried at every server would make all of them
    look ill.

    Attributes:
        line: as received, without its end.
        id: of the session.
        key: of the session.
        values: name -> value.
    """

    def __init__(self, line: bytes) -> None:
        """Parse a line without its end; raises MalformedLineError."""
        self.line = line
        words = line.split(b" ")
        if len(words) != WORDS or words[0] != b"OPEN" or not all(words):
            raise MalformedLineError("not OPEN, an id, a key and a list of values")
        if not PRINTABLE.fullmatch(line):
            raise MalformedLineError("an OPEN line is printable ASCII")
        self.id, self.key = words[1].decode(), words[2].decode()
        self.values = _parse_values(words[3].decode())
        self._timeout_start: int | None = None
        self._timeout_end: int | None = None
        start = len(line) - len(words[3])
        for pair in words[3].split(b","):
            if pair.startswith(TIMEOUT_PREFIX):
                self._timeout_start = start + len(TIMEOUT_PREFIX)
                self._timeout_end = start + len(pair)
            start += len(pair) + 1

    def encode(self, remaining_ms: float) -> tuple[bytes, ...]:
        """Return the line for a server, in pieces to be written together.

        It is as the client sent it, but for `d`, where the client gave one: that
        becomes the time that remains.
        """
        if self._timeout_start is None:
            return self.line, CRLF
        return (
            self.line[: self._timeout_start],
            b"%d" % max(0, remaining_ms),
            self.line[self._timeout_end :],
            CRLF,
        )

    def number(self, name: str, default: float | None = None) -> float | None:
        """Return a value as a number from 0 on; raises MalformedLineError."""
        value = self.values.get(name)
        if value is None:
            return default
        if not NUMBER.fullmatch(value):
            raise MalformedLineError(f"{name} is not a number from 0 on")
        return float(value)

    def flag(self, name: str) -> bool:
        """Return whether a value is 1; raises MalformedLineError."""
        value = self.values.get(name, "0")
        if value not in ("0", "1"):
            raise MalformedLineError(f"{name} is neither 0 nor 1")
        return value == "1"


def _parse_values(text: str) -> dict[str, str]:
    pairs = [pair.partition("=") for pair in text.split(",")]
    if not all(name and equals for name, equals, _ in pairs):
        raise MalformedLineError("the values of an OPEN line are name=value")
    values = {name: value for name, _, value in pairs}
    if len(values) < len(pairs):
        raise MalformedLineError("a name stands twice in an OPEN line")
    return values
