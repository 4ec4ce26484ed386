"""Handles the requests that operators send over the control socket."""

import os
from collections.abc import Callable
from typing import Any

from wheathill.peers.control_socket import ControlConnection
from wheathill.peers.environment import Closeable, PeerEnvironment
from wheathill.peers.membership import Membership
from wheathill.peers.status import StatusReporter
from wheathill.peers.view_comparison import ViewComparison


class OperatorRequests:
    """Handles status, view comparison and member removal requests."""

    def __init__(
        self,
        environment: PeerEnvironment,
        membership: Membership,
        status: StatusReporter,
        comparison: ViewComparison,
    ) -> None:
        self._environment = environment
        self._membership = membership
        self._status = status
        self._comparison = comparison

    def listen(self, path: str) -> Closeable:
        """Open the control socket at `path`.

        Raises:
            OSError: The socket can't be opened.
        """
        directory, name = os.path.split(path)
        transport, clock = self._environment.transport, self._environment.clock
        return transport.listen_unix(
            directory or ".",
            name,
            lambda connection: ControlConnection(
                connection, self.handle, transport.limits, clock
            ),
        )

    def handle(
        self, request: dict[str, Any], on_reply: Callable[[dict[str, Any]], None]
    ) -> None:
        """Handle a request; `on_reply` is called immediately or later."""
        if "compare" in request:
            self._comparison.begin(on_reply)
        elif "remove" in request:
            on_reply(self._remove_member(request["remove"]))
        else:
            on_reply(self._status.report())

    def _remove_member(self, name: object) -> dict[str, Any]:
        if self._membership.remove_member(self._environment.clock.now(), str(name)):
            return {"removed": name}
        return {"wrong": f"no other member {name!r}"}
