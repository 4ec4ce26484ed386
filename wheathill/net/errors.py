"""Errors in data received from a peer."""


class ProtocolError(Exception):
    """A peer violated the protocol; the message says how."""


class MalformedLineError(ProtocolError):
    """A line is too long or has the wrong syntax."""
