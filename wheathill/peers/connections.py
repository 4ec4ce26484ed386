"""Interface of the connections that the peer transport uses."""

from typing import Protocol


class Connection(Protocol):
    """A connection to or from another process.

    Attributes:
        is_write_blocked: Whether unsent bytes are buffered, as the other end does not
            read.
        refused: Whether the host refused the connection because nothing listens.
    """

    is_write_blocked: bool
    refused: bool

    def send(self, *parts: bytes) -> None:
        """Send bytes, or buffer them until the other end reads."""

    def abort(self) -> None:
        """Close the connection and discard unsent bytes."""
