"""Errors of the replicated store."""


class StoreError(Exception):
    """Base class of all errors raised by the store."""


class DiskError(StoreError):
    """A file of the store can't be read or written.

    The message names the file and the problem.
    """


class MalformedEntryError(StoreError, ValueError):
    """Data is not a valid entry of the store."""


class MalformedMessageError(StoreError, ValueError):
    """Data is not a valid message of the anti-entropy protocol."""
