"""Writes the log events of a peer service, which docs/fleet.md describes."""

from collections.abc import Callable

from wheathill.config.peers import PeerSettings
from wheathill.log_events import LogEvent
from wheathill.peers.cluster_view import ClusterView, ViewState
from wheathill.peers.membership import Member, MemberState


class PeerEventLog:
    """Writes each kind of event with its fields through `log_event`."""

    def __init__(self, log_event: Callable[..., None]) -> None:
        self.log_event = log_event

    def started(self, settings: PeerSettings) -> None:
        """Log that the service starts and joins its cluster."""
        self.log_event(
            LogEvent.MEMBERSHIP,
            at=settings.advertise_address,
            cluster=settings.cluster,
            seeds=len(settings.seeds),
        )

    def membership_message(self, text: str) -> None:
        """Log a message of membership about this proxy's own name or clock."""
        self.log_event(LogEvent.MEMBERSHIP, what=text)

    def member_changed(
        self, member: Member, previous_state: MemberState | None
    ) -> None:
        """Log a member's state change; a new member has no previous state."""
        is_suspect = member.state == MemberState.SUSPECT
        is_dead = member.state == MemberState.DEAD
        self.log_event(
            LogEvent.MEMBER_STATE_CHANGED,
            peer=member.name,
            state=member.state.value,
            was=None if previous_state is None else previous_state.value,
            address=member.address,
            by=list(member.suspected_by) if is_suspect else None,
            surely=member.is_death_confirmed if is_dead else None,
        )

    def view_changed(
        self,
        view: ClusterView,
        previous_state: ViewState,
        previous_since_ms: float,
        now_ms: float,
    ) -> None:
        """Log the new state of the view and how long the previous one lasted."""
        self.log_event(
            LogEvent.CLUSTER_VIEW_CHANGED,
            state=view.state.value,
            was=previous_state.value,
            after=round(now_ms - previous_since_ms),
            reached=len(view.reachable_names()),
            fleet=view.max_active_proxies(now_ms),
        )
