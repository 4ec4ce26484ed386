"""Addresses as settings state them."""

from wheathill.config.errors import ConfigurationError

MAX_PORT = 65_535


def parse_address(text: str, path: str) -> tuple[str, int]:
    """Return the host and the port of "HOST:PORT", an IPv6 host without its brackets.

    Raises:
        ConfigurationError: It is no address; `path` is the key that is named.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigurationError(f"{path}: {text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)
