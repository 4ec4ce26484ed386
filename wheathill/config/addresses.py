"""Parsing of addresses in the configuration."""

from wheathill.config.errors import ConfigurationError

MAX_PORT = 65_535


def parse_address(text: str, path: str) -> tuple[str, int]:
    """Return the host, without any IPv6 brackets, and the port of "HOST:PORT".

    Args:
        text: the address.
        path: the path of the key, for the error message.

    Raises:
        ConfigurationError: the text is not a valid address.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigurationError(f"{path}: {text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)
