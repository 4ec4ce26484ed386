"""Requests of operators, which come over the control socket."""

import os
from collections.abc import Callable
from typing import Any

from wheathill.peers.control_socket import ControlConnection
from wheathill.peers.environment import Closeable, PeerEnvironment
from wheathill.peers.membership import Membership
from wheathill.peers.status import StatusReporter
from wheathill.peers.view_comparison import ViewComparison


class OperatorRequests:
    """Answers operators: the status, a comparison of all views, a member's removal."""

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
        """Open the control socket.

        Raises OSError where it can't be opened.
        """
        folder, name = os.path.split(path)
        transport, clock = self._environment.transport, self._environment.clock
        return transport.meet(
            folder or ".",
            name,
            lambda connection: ControlConnection(
                connection, self.handle, transport.limits, clock
            ),
        )

    def handle(
        self, request: dict[str, Any], on_done: Callable[[dict[str, Any]], None]
    ) -> None:
        """Answer a request by calling `on_done`, now or later."""
        if "compare" in request:
            self._comparison.begin(on_done)
        elif "remove" in request:
            on_done(self._remove_member(request["remove"]))
        else:
            on_done(self._status.report())

    def _remove_member(self, name: object) -> dict[str, Any]:
        if self._membership.remove_member(self._environment.clock.now(), str(name)):
            return {"removed": name}
        return {"wrong": f"no other member {name!r}"}
