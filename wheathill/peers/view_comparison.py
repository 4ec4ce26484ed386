"""Views of all reachable proxies, set side by side for an operator."""

from collections.abc import Callable
from typing import Any

from wheathill.peers.environment import Clock
from wheathill.peers.membership import Membership
from wheathill.peers.messages import MemberSummary, Message, ViewReply, ViewRequest

# Milliseconds for the views of others to come.
REPLY_WAIT_MS = 1000.0

View = dict[str, MemberSummary]


class ViewComparison:
    """Asks the others for their views and reports where they differ.

    `send(address, message)` sends to a member; `status_report()` is what the report
    begins with.
    """

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        send: Callable[[str, Message], None],
        status_report: Callable[[], dict[str, Any]],
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._send = send
        self._status_report = status_report
        self._last_request_id = 0
        # By the number of the request, then by the name of the member.
        self._views: dict[int, dict[str, View]] = {}

    def begin(self, on_done: Callable[[dict[str, Any]], None]) -> None:
        """Ask all that can be reached, and call `on_done` with the report in a second.

        What has not come by then is left out.
        """
        self._last_request_id += 1
        request_id = self._last_request_id
        me = self._membership.local
        self._views[request_id] = {me.name: self._own_view()}
        for member in self._membership.active_members():
            if member is not me:
                self._send(member.address, ViewRequest(request_id))
        self._clock.after(REPLY_WAIT_MS, self._finish, request_id, on_done)

    def reply(self, request: ViewRequest) -> ViewReply:
        """Return the answer to another's request."""
        return ViewReply(request.request_id, self._own_view())

    def record_reply(self, source: str, reply: ViewReply) -> None:
        """Take in the view of the member `source`, unless it comes too late."""
        if reply.request_id in self._views:
            self._views[reply.request_id][source] = reply.members

    def _own_view(self) -> View:
        return {
            name: MemberSummary(member.generation, member.state.value)
            for name, member in self._membership.members.items()
        }

    def _finish(
        self, request_id: int, on_done: Callable[[dict[str, Any]], None]
    ) -> None:
        views = self._views.pop(request_id)
        silent = [
            member.name
            for member in self._membership.active_members()
            if member.name not in views
        ]
        on_done(
            {
                **self._status_report(),
                "answered": sorted(views),
                "silent": silent,
                "views_differ": _differences(views),
            }
        )


def _differences(views: dict[str, View]) -> dict[str, dict[str, str]]:
    """Return, for each member that is seen differently, its state by viewer."""
    unknown = MemberSummary(0, "unknown")
    differences = {}
    for name in sorted({name for view in views.values() for name in view}):
        seen = {
            viewer: view.get(name, unknown) for viewer, view in sorted(views.items())
        }
        if len(set(seen.values())) > 1:
            differences[name] = {viewer: each.state for viewer, each in seen.items()}
    return differences
