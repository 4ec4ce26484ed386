"""Splits a byte stream into lines that end with CRLF."""

from wheathill.net.errors import MalformedLineError

CRLF = b"\r\n"


class LineBuffer:
    """Splits received bytes into lines; buffers at most one incomplete line.

    Attributes:
        max_length: maximum bytes of a line, including its CRLF.
        unconsumed: received bytes that were not returned as a line yet.
    """

    def __init__(self, max_length: int) -> None:
        self.max_length = max_length
        self.unconsumed = b""

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self.unconsumed += data

    def next_line(self) -> bytes | None:
        """Return the next line without its CRLF, or None if it is incomplete.

        Raises:
            MalformedLineError: the line is longer than `max_length`.
        """
        end = self.unconsumed.find(CRLF)
        if (
            end > self.max_length - len(CRLF)
            or end < 0
            and len(self.unconsumed) >= self.max_length
        ):
            raise MalformedLineError(f"line exceeds {self.max_length} bytes")
        if end < 0:
            return None
        line = self.unconsumed[:end]
        self.unconsumed = self.unconsumed[end + len(CRLF) :]
        return line
