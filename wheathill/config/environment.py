"""Configuration from environment variables."""

import socket
from collections.abc import Mapping
from dataclasses import dataclass

from wheathill.config.errors import ConfigurationError


@dataclass(frozen=True)
class EnvironmentDefaults:
    """Values from the environment, as strings, that the configuration may omit.

    Attributes:
        name: the proxy's name.
        listen: the address that clients connect to, "HOST:PORT".
        discovery: the address of the discovery service, "HOST:PORT".
        admin_address: the address of the admin endpoint, "HOST:PORT".
        listen_fd: the number of an inherited file descriptor of a socket that listens
            for clients.
        state_directory: a directory that persists across restarts.
    """

    name: str | None = None
    listen: str | None = None
    discovery: str | None = None
    admin_address: str | None = None
    listen_fd: str | None = None
    state_directory: str | None = None


def read_environment(environ: Mapping[str, str]) -> EnvironmentDefaults:
    """Return the values of the environment variables."""
    return EnvironmentDefaults(
        name=environ.get("NODE_NAME"),
        listen=environ.get("NODE_LISTEN"),
        discovery=environ.get("NODE_DISCOVERY"),
        admin_address=environ.get("NODE_ADMIN_ADDR"),
        listen_fd=environ.get("NODE_FD"),
        state_directory=environ.get("TMPDIR"),
    )


def parse_listen_fd(text: str | None, variable: str) -> int | None:
    """Return the inherited file descriptor of a listening socket, or None if unset.

    The descriptor is only inspected, and stays open.

    Args:
        text: the value of the environment variable.
        variable: the name of the environment variable, for the error message.

    Raises:
        ConfigurationError: the value is not the descriptor of a listening stream
            socket.
    """
    if text is None:
        return None
    if not text.isdecimal():
        raise ConfigurationError(f"{variable}: {text!r} is not a file descriptor")
    try:
        sock = socket.socket(fileno=int(text))
    except OSError as error:
        raise ConfigurationError(f"{variable}: descriptor {text}: {error}") from None
    try:
        if sock.type != socket.SOCK_STREAM or not sock.getsockopt(
            socket.SOL_SOCKET, socket.SO_ACCEPTCONN
        ):
            raise ConfigurationError(
                f"{variable}: descriptor {text} is not a listening stream socket"
            )
    finally:
        sock.detach()
    return int(text)
