"""Checks of single values that another process sent.

Each returns the value that it was given, or raises HandoverError.
"""

from typing import TypeVar

from wheathill.handover.errors import HandoverError

Kind = TypeVar("Kind")

# Wider than any clock or counter here, and far from where floats lose whole numbers.
NUMBER_LIMIT = 1e15
SHOWN_CHARACTERS = 40  # of a refused value, in the log


def require_type(value: object, kind: type[Kind]) -> Kind:
    """Require an instance of `kind`; a flag is no number."""
    if not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
        raise HandoverError(f"{shorten(value)!r} is no {kind.__name__}")
    return value


def require_number(
    value: object, lowest: float = -NUMBER_LIMIT, highest: float = NUMBER_LIMIT
) -> float:
    """Require an integer or a float within both limits."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise HandoverError(f"{shorten(value)!r} is no number")
    if not lowest <= value <= highest:
        raise HandoverError(f"{value} is not within {lowest:g} and {highest:g}")
    return value


def require_optional_number(value: object) -> float | None:
    """Require a number or None."""
    return None if value is None else require_number(value)


def require_count(value: object) -> int:
    """Require an integer from 0 on."""
    count = require_type(value, int)
    if count < 0:
        raise HandoverError(f"{count} is below 0")
    return count


def shorten(value: object) -> str:
    """Return the beginning of the value's text, for an error."""
    return str(value)[:SHOWN_CHARACTERS]
