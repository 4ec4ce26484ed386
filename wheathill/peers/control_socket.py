"""The control socket: a Unix socket of the proxy's owner, a line of JSON each way.

It works however busy the proxy is, as it takes none of the descriptors that clients may
hold.
"""

from collections.abc import Callable, Sequence
from typing import Any

import orjson

from wheathill.config.limits import ProxyLimits
from wheathill.net.protocol_machine import ProtocolMachine
from wheathill.peers.environment import Clock

MAX_REQUEST = 65_536  # bytes
REQUEST_TIMEOUT_MS = 5000.0  # from the connection to its end

OnDone = Callable[[dict[str, Any]], None]


class ControlConnection(ProtocolMachine):
    """One caller.

    `handle_request(request, on_done)` calls `on_done` with the reply, now or later.
    """

    def __init__(
        self,
        connection: Any,  # noqa: ANN401  # a Unix connection of the carrier
        handle_request: Callable[[dict[str, Any], OnDone], None],
        limits: ProxyLimits,
        clock: Clock,
    ) -> None:
        super().__init__(None, limits, clock)
        self.wire, self._handle_request = connection, handle_request
        self._received = b""

    def connected(self) -> None:
        """Give the caller a limited time."""
        self.set_timer(REQUEST_TIMEOUT_MS, self.end)

    def received(self, data: bytes, handles: Sequence[int] = ()) -> None:
        """Handle the request once its line is complete.

        Descriptors, which a Unix connection may carry, are closed.
        """
        self.wire.transport.close_handles(handles)
        self._received += data
        line, line_end, _ = self._received.partition(b"\n")
        if line_end:
            self._received = b""
            self._on_request_line(line)
        elif len(self._received) > MAX_REQUEST:
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
        self.wire.send(orjson.dumps(reply, option=orjson.OPT_APPEND_NEWLINE))

    def lost(self, reset: bool) -> None:
        """Close this end as well."""
        self.end()

    def fault(self) -> None:
        """Close the connection after an exception in it."""
        self.end()

    def end(self) -> None:
        """Close the connection."""
        self.timer.cancel()
        self.wire.close()
