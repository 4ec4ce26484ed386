"""The calling side of the control socket."""

import json
import socket
from typing import Any

from wheathill.config.errors import ConfigurationError

TIMEOUT_S = 5.0  # for each wait for bytes
RECEIVE_BUFFER = 65_536  # bytes


def call_control_socket(path: str, request: dict[str, Any]) -> dict[str, Any]:
    """Send one request to a running proxy, and return its reply.

    Raises:
        ConfigurationError: Nobody replies at that path.
    """
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
            connection.settimeout(TIMEOUT_S)
            connection.connect(path)
            connection.sendall(json.dumps(request).encode() + b"\n")
            reply: dict[str, Any] = json.loads(_read_line(connection))
            return reply
    except (OSError, ValueError) as error:
        raise ConfigurationError(
            f"{path}: no instance answers there: {error}"
        ) from None


def _read_line(connection: socket.socket) -> bytes:
    line = b""
    while not line.endswith(b"\n"):
        data = connection.recv(RECEIVE_BUFFER)
        if not data:
            break
        line += data
    return line
