"""SWIM's suspicion mechanism with Lifeguard's dynamic timeout."""

import math

from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.effects import ProbePurpose, SuspicionTimer
from wheathill.peers.membership.member import Member, MemberState

# Lifeguard's alpha: the minimum timeout is this many probe intervals * log10(members).
MIN_TIMEOUT_INTERVALS = 3.0
# Lifeguard's beta: the timeout without confirmations is this multiple of the minimum.
MAX_TIMEOUT_FACTOR = 6.0
# Lifeguard's K: independent confirmations that reduce the timeout to the minimum.
CONFIRMATIONS_FOR_MIN_TIMEOUT = 3


class Suspicion:
    """Marks members as suspect, and sets the deadline for declaring them dead."""

    def __init__(self, context: MembershipContext) -> None:
        self._context = context

    def suspect(
        self, now_ms: float, member: Member, incarnation: int, reported_by: str
    ) -> None:
        """Mark an alive member as suspect on a report of `reported_by`."""
        member.state = MemberState.SUSPECT
        member.incarnation = incarnation
        member.state_since_ms = now_ms
        member.suspected_by = (reported_by,)
        member.suspicion_restarted_ms = None
        self.schedule_deadline(now_ms, member)
        self._context.gossip.add(member, reported_by)
        self._context.effects.member_changed(member, MemberState.ALIVE)

    def confirm(self, now_ms: float, member: Member, reported_by: str) -> None:
        """Shorten a suspicion that `reported_by` confirms independently.

        Each independent confirmation makes the suspicion more reliable.
        """
        is_known = not reported_by or reported_by in member.suspected_by
        if not is_known and len(member.suspected_by) <= CONFIRMATIONS_FOR_MIN_TIMEOUT:
            member.suspected_by += (reported_by,)
            self.schedule_deadline(now_ms, member)
            self._context.gossip.add(member, reported_by)

    def restart(self, now_ms: float, member: Member) -> None:
        """Restart the suspicion timeout of `member`."""
        member.state_since_ms = member.suspicion_restarted_ms = now_ms
        self.schedule_deadline(now_ms, member)

    def schedule_deadline(self, now_ms: float, member: Member) -> None:
        """Set a suspect's deadline and the timer of its final check."""
        member.suspicion_deadline_ms = member.state_since_ms + self._timeout_ms(member)
        at_ms = max(
            now_ms, self._final_check_due_ms(member, member.suspicion_deadline_ms)
        )
        self._context.effects.set_timer(at_ms, SuspicionTimer())

    def is_final_check_due(self, now_ms: float, member: Member) -> bool:
        """Return whether the fallback probe before a suspect's death is due."""
        return (
            member.state == MemberState.SUSPECT
            and member.suspicion_deadline_ms is not None
            and member.final_check_since_ms is None
            and now_ms >= self._final_check_due_ms(member, member.suspicion_deadline_ms)
        )

    def has_expired(self, now_ms: float, member: Member) -> bool:
        """Return whether the deadline of a suspect has passed."""
        deadline_ms = member.suspicion_deadline_ms
        return deadline_ms is not None and now_ms >= deadline_ms

    def _timeout_ms(self, member: Member) -> float:
        """Return Lifeguard's timeout, which shrinks with each confirmation."""
        active_count = self._context.table.active_count()
        interval_ms = self._context.config.probe_interval_ms
        shortest_ms = (
            MIN_TIMEOUT_INTERVALS
            * max(1.0, math.log10(max(1, active_count)))
            * interval_ms
        )
        possible_confirmations = min(CONFIRMATIONS_FOR_MIN_TIMEOUT, active_count - 2)
        if possible_confirmations < 1:
            # There is no other member that could confirm.
            return shortest_ms
        confirmations = min(possible_confirmations, len(member.suspected_by) - 1)
        progress = (
            (MAX_TIMEOUT_FACTOR - 1)
            * math.log(confirmations + 1)
            / math.log(possible_confirmations + 1)
        )
        return shortest_ms * (MAX_TIMEOUT_FACTOR - progress)

    def _final_check_due_ms(self, member: Member, deadline_ms: float) -> float:
        """Return when the final check must start in order to end at the deadline.

        In a small cluster the suspicion timeout is shorter than this probe, so that the
        check would be due as soon as the suspicion restarts. An endless loop would
        follow where each check restarts the suspicion at once: because this instance is
        stalled, or because the member's host accepts connections immediately. At least
        one probe interval therefore passes after a restart.
        """
        due_ms = deadline_ms - self._context.fallback_timeout_ms(
            ProbePurpose.BEFORE_DEATH
        )
        if member.suspicion_restarted_ms is None:
            return due_ms
        return max(
            due_ms,
            member.suspicion_restarted_ms + self._context.config.probe_interval_ms,
        )
