"""Errors about what a peer has sent."""


class ProtocolError(Exception):
    """A peer has sent what its protocol does not allow; the text says what."""


class MalformedLineError(ProtocolError):
    """A line is too long, or is not what it has to be."""
