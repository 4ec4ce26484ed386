"""Handling of updates about this instance itself (SWIM's refutation)."""

from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.member import MemberState
from wheathill.peers.membership.messages import MemberUpdate
from wheathill.peers.membership.name_conflicts import NameOwnership


class Refutation:
    """Refutes suspicions of this instance, and supersedes its previous processes."""

    def __init__(self, context: MembershipContext, ownership: NameOwnership) -> None:
        self._context = context
        self._ownership = ownership

    def apply(self, now_ms: float, update: MemberUpdate) -> None:
        """Apply an update about this instance's own name."""
        local = self._context.local
        if update.generation != local.generation:
            self._apply_update_of_other_process(now_ms, update)
        elif update.state == MemberState.LEFT and not self._ownership.is_removed:
            self._ownership.on_removed()
        elif update.state == MemberState.ALIVE:
            self._ownership.on_name_confirmed(now_ms)
        elif (
            update.state in (MemberState.SUSPECT, MemberState.DEAD)
            and update.incarnation >= local.incarnation
            and not self._ownership.is_isolated
        ):
            # Being suspected indicates that this instance is slow (Lifeguard).
            self._context.health.worsen()
            self._context.raise_incarnation(update.incarnation)
            self.refute(update.reported_by)

    def refute(self, reported_by: str) -> None:
        """Send the local state to the reporter of a suspicion and to a few others.

        It is sent immediately, as piggybacked updates may arrive too late.
        """
        informed = self._context.sample_others(self._context.config.indirect_checks)
        suspecting = self._context.table.members.get(reported_by)
        if (
            suspecting is not None
            and suspecting is not self._context.local
            and suspecting not in informed
        ):
            informed.append(suspecting)
        for member in informed:
            self._context.send_ping(member.address, 0, first=self._context.local)

    def _apply_update_of_other_process(
        self, now_ms: float, update: MemberUpdate
    ) -> None:
        is_elsewhere = update.address != self._context.local.address
        if update.state == MemberState.ALIVE and is_elsewhere:
            self._ownership.resolve_conflict(now_ms, update)
            return
        # The update is about a previous process of this name, which is superseded.
        self._ownership.on_name_confirmed(now_ms)
        self._context.raise_incarnation(update.incarnation)
