"""The target of a request: its path and its query."""

import re
from dataclasses import dataclass

from wheathill.net.admin.errors import HttpError

HEX_DIGITS = re.compile(rb"[0-9A-Fa-f]{2}")
ABSOLUTE_FORM = "http://"


@dataclass(frozen=True)
class RequestTarget:
    """A target, percent-decoded.

    Attributes:
        path: begins with a slash.
        query: the values of each name, in order.
    """

    path: str
    query: dict[str, list[str]]

    def single_value(self, name: str) -> str:
        """Return the one value of that name.

        Raises:
            HttpError: It is missing, empty or given more than once.
        """
        values = self.query.get(name, [])
        if len(values) > 1:
            raise HttpError(400, f"{name} is given twice")
        if not values or not values[0]:
            raise HttpError(400, f"{name} is missing or empty")
        return values[0]


def parse_target(target: bytes) -> RequestTarget:
    """Return a target in origin or absolute form (RFC 9112 section 3.2).

    Raises:
        HttpError: It has another form, or escapes that are malformed.
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
    """Return the text without escapes; strictly, see RFC 3986 section 2.1.

    Raises:
        HttpError: An escape is malformed, or the escapes are not UTF-8.
    """
    decoded = bytearray()
    rest = text.encode()
    while rest:
        plain, escape, rest = rest.partition(b"%")
        decoded += plain
        if escape:
            if not HEX_DIGITS.match(rest):
                raise HttpError(400, "a % without two hexadecimal digits after it")
            decoded.append(int(rest[:2], 16))
            rest = rest[2:]
    try:
        return decoded.decode()
    except UnicodeDecodeError:
        raise HttpError(400, "escapes that are not UTF-8") from None
