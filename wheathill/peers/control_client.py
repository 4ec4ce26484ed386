"""Client of the control socket."""

import json
import socket
from typing import Any

from wheathill.config.errors import ConfigurationError

SOCKET_TIMEOUT_S = 5.0  # for each socket operation
RECEIVE_BUFFER_BYTES = 65_536


def call_control_socket(path: str, request: dict[str, Any]) -> dict[str, Any]:
    """Send one request to a running proxy and return its reply.

    Raises:
        ConfigurationError: No proxy replies on the socket at `path`.
    """
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
            connection.settimeout(SOCKET_TIMEOUT_S)
            connection.connect(path)
            connection.sendall(json.dumps(request).encode() + b"\n")
            reply: dict[str, Any] = json.loads(_read_line(connection))
            return reply
    except (OSError, ValueError) as error:
        raise ConfigurationError(
            f"{path}: no proxy replied on this control socket: {error}"
        ) from None


def _read_line(connection: socket.socket) -> bytes:
    line = b""
    while not line.endswith(b"\n"):
        data = connection.recv(RECEIVE_BUFFER_BYTES)
        if not data:
            break
        line += data
    return line
