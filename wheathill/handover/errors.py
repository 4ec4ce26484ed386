"""Errors of an upgrade in flight."""


class HandoverError(ValueError):
    """What the other process sent cannot be used; nothing of it has taken effect."""
