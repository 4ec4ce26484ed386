"""The OPEN line, by which a client requests a session."""

import re

from wheathill.bounded_name import bounded_name
from wheathill.net.errors import MalformedLineError
from wheathill.net.line_buffer import CRLF

PRINTABLE = re.compile(rb"[ -~]+")
NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
# The only value that is changed before the line is sent to a server.
TIMEOUT_PREFIX = b"d="
WORD_COUNT = 4  # OPEN, id, key, values
# The names of the values that are read here. Others are only passed on, and a line may
# hold a thousand of them.
USED_VALUES = frozenset(("c", "t", "d", "g", "h", "r", "again", "mid", "at"))


class OpenRequest:
    """A parsed OPEN line.

    The line is kept as received, with the position of the value `d`.

    It is validated completely before any value is used. Servers answer an invalid line
    with ERR, so a session that is retried at every server would make all of them look
    unhealthy.

    Attributes:
        line: the line as received, without its line end.
        id: the id of the session.
        key: the key of the session.
        values: name -> value, of the names in `USED_VALUES`.
    """

    def __init__(self, line: bytes) -> None:
        """Parse a line without its line end; raises MalformedLineError."""
        self.line = line
        words = line.split(b" ")
        if len(words) != WORD_COUNT or words[0] != b"OPEN" or not all(words):
            raise MalformedLineError("OPEN line is not of the form: OPEN id key values")
        if not PRINTABLE.fullmatch(line):
            raise MalformedLineError(
                "OPEN line has characters that are not printable ASCII"
            )
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

    @property
    def remembered_id(self) -> str:
        """The id in the form in which it is remembered after the session's end."""
        return bounded_name(self.id)

    def encode(self, remaining_ms: float) -> tuple[bytes, ...]:
        """Return the line for a server, in pieces to be written together.

        It is the client's line, with the remaining time as the value `d` if the client
        has sent one.
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
        """Return a value as a non-negative number; raises MalformedLineError."""
        value = self.values.get(name)
        if value is None:
            return default
        if not NUMBER.fullmatch(value):
            raise MalformedLineError(f"OPEN value {name} is not a non-negative number")
        return float(value)

    def flag(self, name: str) -> bool:
        """Return whether a value is 1, by default 0; raises MalformedLineError."""
        value = self.values.get(name, "0")
        if value not in ("0", "1"):
            raise MalformedLineError(f"OPEN value {name} is neither 0 nor 1")
        return value == "1"


def _parse_values(text: str) -> dict[str, str]:
    pairs = [pair.partition("=") for pair in text.split(",")]
    if not all(name and equals for name, equals, _ in pairs):
        raise MalformedLineError("OPEN values are not of the form name=value")
    if len({name for name, _, _ in pairs}) < len(pairs):
        raise MalformedLineError("OPEN values have a duplicate name")
    return {name: value for name, _, value in pairs if name in USED_VALUES}
