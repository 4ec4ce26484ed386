"""What the process environment states beside a configuration."""

import socket
from collections.abc import Mapping
from dataclasses import dataclass

from wheathill.config.errors import ConfigurationError


@dataclass(frozen=True)
class EnvironmentDefaults:
    """Values that stand in where the configuration states none, as text.

    Attributes:
        name: the proxy's name.
        listen: where clients connect, "HOST:PORT".
        discovery: where discovery answers, "HOST:PORT".
        admin_address: where operators call, "HOST:PORT".
        listen_fd: the number of an inherited descriptor that listens for clients.
        state_directory: a directory that outlives the process.
    """

    name: str | None = None
    listen: str | None = None
    discovery: str | None = None
    admin_address: str | None = None
    listen_fd: str | None = None
    state_directory: str | None = None


def read_environment(environ: Mapping[str, str]) -> EnvironmentDefaults:
    """Return what the environment variables state."""
    return EnvironmentDefaults(
        name=environ.get("NODE_NAME"),
        listen=environ.get("NODE_LISTEN"),
        discovery=environ.get("NODE_DISCOVERY"),
        admin_address=environ.get("NODE_ADMIN_ADDR"),
        listen_fd=environ.get("NODE_FD"),
        state_directory=environ.get("TMPDIR"),
    )


def inherited_listener(text: str | None, path: str) -> int | None:
    """Return the descriptor that `text` names, or None where it names none.

    The descriptor is looked at and stays as it is.

    Raises:
        ConfigurationError: It is no stream socket that listens; `path` is the variable
            that is named.
    """
    if text is None:
        return None
    if not text.isdecimal():
        raise ConfigurationError(f"{path}: {text!r} is no descriptor")
    try:
        listener = socket.socket(fileno=int(text))
    except OSError as error:
        raise ConfigurationError(f"{path}: descriptor {text}: {error}") from None
    try:
        if listener.type != socket.SOCK_STREAM or not listener.getsockopt(
            socket.SOL_SOCKET, socket.SO_ACCEPTCONN
        ):
            raise ConfigurationError(
                f"{path}: descriptor {text} is no stream socket that listens"
            )
    finally:
        listener.detach()
    return int(text)
