"""Errors of the replicated store."""


class StoreError(Exception):
    """Base of all errors that the store raises."""


class DiskError(StoreError):
    """A file of the store can't be read or written.

    The text names the file and what is wrong with it.
    """


class MalformedEntryError(StoreError, ValueError):
    """Data that stands for no entry of the store."""


class MalformedMessageError(StoreError, ValueError):
    """Data that stands for no message of the anti-entropy protocol."""
