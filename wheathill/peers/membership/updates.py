"""Processing of updates about members from other instances."""

from collections.abc import Iterable

from wheathill.peers.membership.anti_entropy import AntiEntropy
from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.death_checks import DeathChecks
from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.messages import MemberUpdate
from wheathill.peers.membership.refutation import Refutation
from wheathill.peers.membership.suspicion import Suspicion
from wheathill.peers.membership.transitions import Transitions

# Number of probe intervals for which recent direct contact with a member overrides a
# report of its death. It grows with the cluster size between these bounds, as a member
# is heard from directly about twice per probe round: of seven members, one was not
# heard from for five intervals and was wrongly declared dead.
MIN_CONTACT_INTERVALS = 5.0
MAX_CONTACT_INTERVALS = 20.0
CONTACT_INTERVALS_PER_MEMBER = 2.0


class UpdateHandler:
    """Applies updates to the member table according to SWIM's precedence rules."""

    def __init__(
        self,
        context: MembershipContext,
        suspicion: Suspicion,
        transitions: Transitions,
        death_checks: DeathChecks,
        refutation: Refutation,
        anti_entropy: AntiEntropy,
    ) -> None:
        self._context = context
        self._suspicion = suspicion
        self._transitions = transitions
        self._death_checks = death_checks
        self._refutation = refutation
        self._anti_entropy = anti_entropy

    def apply_all(self, now_ms: float, updates: Iterable[MemberUpdate]) -> None:
        """Apply updates in order, except those about removed processes."""
        table = self._context.table
        for update in updates:
            if table.is_removed(update.name, update.generation):
                continue
            if update.name == table.local.name:
                self._refutation.apply(now_ms, update)
                continue
            known = table.members.get(update.name)
            if known is None:
                self._apply_to_unknown(now_ms, update)
            elif known.generation != update.generation:
                self._apply_to_other_process(now_ms, known, update)
            else:
                self._apply_to_known(now_ms, known, update)

    def on_contact(
        self, now_ms: float, name: str, generation: int, address: str
    ) -> None:
        """Record that a process has sent a current message, not a replayed one.

        A process with the name and address of a known member but another generation is
        the successor of that member, whether or not its death was detected.
        """
        table = self._context.table
        known = table.members.get(name)
        if (
            known is None
            or known is table.local
            or known.generation == generation
            or known.address != address
            or table.is_removed(name, generation)
        ):
            return
        if self._context.config.digest_sync:
            # Other members keep the predecessor until the successor raises its
            # incarnation above it. With digest sync only differences are exchanged, so
            # the successor learns of this only from here.
            self._anti_entropy.send_member(address, known)
        table.mark_removed(known)
        successor = MemberUpdate(
            MemberState.ALIVE,
            name,
            address,
            known.incarnation,
            generation,
            table.local.name,
        )
        self._transitions.mark_alive(now_ms, known, successor)

    def _apply_to_unknown(self, now_ms: float, update: MemberUpdate) -> None:
        if update.state == MemberState.DEAD:
            self._transitions.add_dead(now_ms, update)
        elif update.state != MemberState.LEFT:
            member = self._transitions.add_alive(now_ms, update)
            if update.state == MemberState.SUSPECT:
                self._suspicion.suspect(
                    now_ms, member, update.incarnation, update.reported_by
                )

    def _apply_to_other_process(
        self, now_ms: float, known: Member, update: MemberUpdate
    ) -> None:
        """Replace `known` by another process of its name if that takes precedence.

        Generations have no order in time, but a process that is confirmed dead, or that
        was replaced at its address, is never accepted again. Of two running processes
        the one with the lower generation wins, so that all members agree.
        """
        has_precedence = (
            update.incarnation,
            -update.generation,
        ) > (
            known.incarnation,
            -known.generation,
        ) and known.address != update.address
        is_successor = (
            update.incarnation > known.incarnation
            or has_precedence
            or not known.is_active
        )
        if update.state != MemberState.ALIVE or not is_successor:
            return
        if known.state == MemberState.ALIVE and known.address != update.address:
            self._context.effects.log(
                f"peers: {update.name} is at {update.address} now, "
                f"and was at {known.address}"
            )
        self._transitions.mark_alive(now_ms, known, update)

    def _apply_to_known(
        self, now_ms: float, known: Member, update: MemberUpdate
    ) -> None:
        match update.state:
            case MemberState.ALIVE:
                if update.incarnation > known.incarnation:
                    self._transitions.mark_alive(now_ms, known, update)
            case MemberState.SUSPECT:
                self._apply_suspicion(now_ms, known, update)
            case MemberState.DEAD:
                self._apply_death(now_ms, known, update)
            case MemberState.LEFT:
                if known.is_active and update.incarnation >= known.incarnation:
                    known.incarnation = update.incarnation
                    self._transitions.mark_left(now_ms, known, update.reported_by)

    def _apply_suspicion(
        self, now_ms: float, known: Member, update: MemberUpdate
    ) -> None:
        if (
            known.state == MemberState.SUSPECT
            and update.incarnation == known.incarnation
        ):
            self._suspicion.confirm(now_ms, known, update.reported_by)
        elif (
            known.state == MemberState.ALIVE and update.incarnation >= known.incarnation
        ):
            self._suspicion.suspect(
                now_ms, known, update.incarnation, update.reported_by
            )
            self._death_checks.check_suspected_by_others(now_ms, known)

    def _apply_death(self, now_ms: float, known: Member, update: MemberUpdate) -> None:
        if not known.is_active or update.incarnation < known.incarnation:
            return
        if now_ms - known.last_seen_ms < self._contact_window_ms():
            self._death_checks.check_reported_dead(now_ms, known, update)
            return
        known.incarnation = update.incarnation
        self._transitions.mark_dead(now_ms, known, update.reported_by)

    def _contact_window_ms(self) -> float:
        """Return for how long direct contact overrides a report of death."""
        intervals = CONTACT_INTERVALS_PER_MEMBER * len(self._context.table.members)
        intervals = max(MIN_CONTACT_INTERVALS, intervals)
        intervals = min(MAX_CONTACT_INTERVALS, intervals)
        return intervals * self._context.config.probe_interval_ms
