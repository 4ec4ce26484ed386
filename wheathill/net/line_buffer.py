"""Framing of a byte stream into lines that end with CRLF."""

from wheathill.net.errors import MalformedLineError

CRLF = b"\r\n"


class LineBuffer:
    """Cuts received bytes into lines, and keeps no more than one unfinished line.

    Attributes:
        max_length: the most bytes of a line, its end included.
        unconsumed: what was received and has not been returned as a line yet.
    """

    def __init__(self, max_length: int) -> None:
        self.max_length = max_length
        self.unconsumed = b""

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self.unconsumed += data

    def next_line(self) -> bytes | None:
        """Return the next whole line without its end, or None where there is none yet.

        Raises:
            MalformedLineError: the line is longer than `max_length`.
        """
        end = self.unconsumed.find(CRLF)
        if (
            end > self.max_length - len(CRLF)
            or end < 0
            and len(self.unconsumed) >= self.max_length
        ):
            raise MalformedLineError(f"a line of over {self.max_length} bytes")
        if end < 0:
            return None
        line = self.unconsumed[:end]
        self.unconsumed = self.unconsumed[end + len(CRLF) :]
        return line
