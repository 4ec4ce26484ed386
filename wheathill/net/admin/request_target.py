"""Parses the target of an HTTP request into path and query."""

import re
from dataclasses import dataclass

from wheathill.net.admin.errors import HttpError

HEX_DIGITS = re.compile(rb"[0-9A-Fa-f]{2}")
ABSOLUTE_FORM = "http://"


@dataclass(frozen=True)
class RequestTarget:
    """A request target after percent-decoding.

    Attributes:
        path: the path, which begins with a slash.
        query: the values of each query parameter, in order.
    """

    path: str
    query: dict[str, list[str]]

    def single_value(self, name: str) -> str:
        """Return the value of a parameter that must be given exactly once.

        Raises:
            HttpError: The parameter is missing, empty or given more than once.
        """
        values = self.query.get(name, [])
        if len(values) > 1:
            raise HttpError(400, f"{name} is given twice")
        if not values or not values[0]:
            raise HttpError(400, f"{name} is missing or empty")
        return values[0]


def parse_target(target: bytes) -> RequestTarget:
    """Parse a target in origin form or absolute form (RFC 9112 section 3.2).

    Raises:
        HttpError: The target has another form, or contains malformed escapes.
    """
    text = target.decode()
    if text[: len(ABSOLUTE_FORM)].lower() == ABSOLUTE_FORM:
        text = "/" + text[len(ABSOLUTE_FORM) :].partition("/")[2]
    path, _, query = text.partition("#")[0].partition("?")
    if not path.startswith("/"):
        raise HttpError(400, "the target is no path")
    values: dict[str, list[str]] = {}
    for pair in query.split("&") if query else ():
        name, _, value = pair.partition("=")
        values.setdefault(percent_decoded(name), []).append(percent_decoded(value))
    return RequestTarget(percent_decoded(path), values)


def percent_decoded(text: str) -> str:
    """Decode percent escapes strictly, as RFC 3986 section 2.1 defines them.

    Raises:
        HttpError: An escape is malformed, or the decoded bytes are not UTF-8.
    """
    decoded = bytearray()
    remaining = text.encode()
    while remaining:
        plain, escape, remaining = remaining.partition(b"%")
        decoded += plain
        if escape:
            if not HEX_DIGITS.match(remaining):
                raise HttpError(400, "a % without two hexadecimal digits after it")
            decoded.append(int(remaining[:2], 16))
            remaining = remaining[2:]
    try:
        return decoded.decode()
    except UnicodeDecodeError:
        raise HttpError(400, "escapes that are not UTF-8") from None
