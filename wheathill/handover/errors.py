"""Exceptions raised during a handover."""


class HandoverError(ValueError):
    """Raised for invalid data of the other process; nothing of it was applied."""
