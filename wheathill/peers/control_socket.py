"""Server side of the control socket: one JSON line as request, one as reply.

It is a Unix socket that only the proxy's owner can use. It stays available when the
proxy is fully loaded, because it doesn't use the descriptors available to clients.
"""

from collections.abc import Callable, Sequence
from typing import Any

import orjson

from wheathill.config.limits import ProxyLimits
from wheathill.net.protocol_machine import ProtocolMachine
from wheathill.peers.environment import Clock

MAX_REQUEST_BYTES = 65_536
CONNECTION_TIMEOUT_MS = 5000.0  # from the connection's start to its end

ReplyCallback = Callable[[dict[str, Any]], None]


class ControlConnection(ProtocolMachine):
    """One connection to the control socket.

    `handle_request(request, on_reply)` calls `on_reply` with the reply, immediately or
    later.
    """

    def __init__(
        self,
        connection: Any,  # noqa: ANN401  # a Unix connection of the transport
        handle_request: Callable[[dict[str, Any], ReplyCallback], None],
        limits: ProxyLimits,
        clock: Clock,
    ) -> None:
        super().__init__(None, limits, clock)
        self.connection, self._handle_request = connection, handle_request
        self._received = b""

    def connected(self) -> None:
        """Start the timer that limits the connection's duration."""
        self.set_timer(CONNECTION_TIMEOUT_MS, self.end)

    def received(self, data: bytes, handles: Sequence[int] = ()) -> None:
        """Buffer the data, and handle the request once its line is complete.

        Any descriptors passed over the Unix connection are closed.
        """
        self.connection.transport.close_handles(handles)
        self._received += data
        line, line_end, _ = self._received.partition(b"\n")
        if line_end:
            self._received = b""
            self._on_request_line(line)
        elif len(self._received) > MAX_REQUEST_BYTES:
            self.end()

    def _on_request_line(self, line: bytes) -> None:
        try:
            request = orjson.loads(line)
            if not isinstance(request, dict):
                raise ValueError("no object")
        except ValueError as error:
            self._reply({"wrong": f"not a request: {error}"})
            return
        self._handle_request(request, self._reply)

    def _reply(self, reply: dict[str, Any]) -> None:
        self.connection.send(orjson.dumps(reply, option=orjson.OPT_APPEND_NEWLINE))

    def lost(self, reset: bool) -> None:
        """Close this end after the peer has closed the connection."""
        self.end()

    def fault(self) -> None:
        """Close the connection after an exception in its handler."""
        self.end()

    def end(self) -> None:
        """Close the connection."""
        self.timer.cancel()
        self.connection.close()
