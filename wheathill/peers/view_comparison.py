"""Compares the views of all reachable proxies for an operator."""

from collections.abc import Callable
from typing import Any

from wheathill.peers.environment import Clock
from wheathill.peers.membership import Membership
from wheathill.peers.messages import MemberSummary, Message, ViewReply, ViewRequest

# Time for the other proxies to reply with their views.
REPLY_WAIT_MS = 1000.0

View = dict[str, MemberSummary]


class ViewComparison:
    """Requests the views of other members and reports their differences.

    `send(address, message)` sends to a member. `status_report()` returns the status to
    which the result of the comparison is added.
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
        # By request ID, then by name of the member.
        self._views: dict[int, dict[str, View]] = {}

    def begin(self, on_report: Callable[[dict[str, Any]], None]) -> None:
        """Request all views, and call `on_report` after `REPLY_WAIT_MS`.

        Views that arrive later are left out.
        """
        self._last_request_id += 1
        request_id = self._last_request_id
        local = self._membership.local
        self._views[request_id] = {local.name: self._own_view()}
        for member in self._membership.active_members():
            if member is not local:
                self._send(member.address, ViewRequest(request_id))
        self._clock.after(REPLY_WAIT_MS, self._finish, request_id, on_report)

    def reply(self, request: ViewRequest) -> ViewReply:
        """Return the reply to another proxy's request."""
        return ViewReply(request.request_id, self._own_view())

    def record_reply(self, source: str, reply: ViewReply) -> None:
        """Store the view of the member `source`, unless it arrives too late."""
        if reply.request_id in self._views:
            self._views[reply.request_id][source] = reply.members

    def _own_view(self) -> View:
        return {
            name: MemberSummary(member.generation, member.state.value)
            for name, member in self._membership.members.items()
        }

    def _finish(
        self, request_id: int, on_report: Callable[[dict[str, Any]], None]
    ) -> None:
        views = self._views.pop(request_id)
        silent = [
            member.name
            for member in self._membership.active_members()
            if member.name not in views
        ]
        on_report(
            {
                **self._status_report(),
                "answered": sorted(views),
                "silent": silent,
                "views_differ": _differences(views),
            }
        )


def _differences(views: dict[str, View]) -> dict[str, dict[str, str]]:
    """Return the state by viewer of each member whose views differ."""
    unknown = MemberSummary(0, "unknown")
    differences = {}
    for name in sorted({name for view in views.values() for name in view}):
        summaries = {
            viewer: view.get(name, unknown) for viewer, view in sorted(views.items())
        }
        if len(set(summaries.values())) > 1:
            differences[name] = {
                viewer: summary.state for viewer, summary in summaries.items()
            }
    return differences
