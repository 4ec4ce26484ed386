"""Checks of single values that another process sent.

Each function returns the value that it was given, or raises HandoverError.
"""

from typing import TypeVar

from wheathill.handover.errors import HandoverError

ExpectedType = TypeVar("ExpectedType")

# Above any time or counter of a proxy, and below 2**53, from which on floats cannot
# represent all integers.
MAX_MAGNITUDE = 1e15
MAX_SHOWN_CHARACTERS = 40  # of an invalid value in an error message


def require_type(value: object, expected_type: type[ExpectedType]) -> ExpectedType:
    """Require an instance of a type; a bool does not count as an int."""
    if (
        not isinstance(value, expected_type)
        or isinstance(value, bool)
        and expected_type is not bool
    ):
        raise HandoverError(
            f"{shorten(value)!r} is not of type {expected_type.__name__}"
        )
    return value


def require_number(
    value: object, minimum: float = -MAX_MAGNITUDE, maximum: float = MAX_MAGNITUDE
) -> float:
    """Require an integer or a float within both limits."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise HandoverError(f"{shorten(value)!r} is not a number")
    if not minimum <= value <= maximum:
        raise HandoverError(f"{value} is not between {minimum:g} and {maximum:g}")
    return value


def require_optional_number(value: object) -> float | None:
    """Require a number or None."""
    return None if value is None else require_number(value)


def require_count(value: object) -> int:
    """Require a non-negative integer."""
    count = require_type(value, int)
    if count < 0:
        raise HandoverError(f"{count} is negative")
    return count


def shorten(value: object) -> str:
    """Return the beginning of the value's text, for an error message."""
    return str(value)[:MAX_SHOWN_CHARACTERS]
