"""What the transport needs of a connection, whatever carries it."""

from typing import Protocol


class Connection(Protocol):
    """A connection of a carrier.

    Attributes:
        is_write_blocked: whether bytes wait to be sent, as the other end does not read.
        refused: whether the host was there, and nothing listened.
    """

    is_write_blocked: bool
    refused: bool

    def send(self, *parts: bytes) -> None:
        """Send bytes, now or once the other end reads."""

    def abort(self) -> None:
        """Close the connection, and drop what was not sent."""
