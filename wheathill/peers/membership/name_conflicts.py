"""Resolution of conflicts between processes that use the same name."""

from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.effects import ProbePurpose
from wheathill.peers.membership.member import MemberState
from wheathill.peers.membership.messages import MemberUpdate, NameConflict

MIN_OWNERSHIP_INTERVALS = 10.0  # probe intervals before an instance defends its name
MAX_DEFENCES = 3  # against one other process


class NameOwnership:
    """Decides whether this instance owns its name, and rejects conflicting claims.

    All members prefer the process with the higher incarnation, and of equal ones that
    with the lower generation.

    Attributes:
        is_isolated: Whether another process holds the name, or an operator removed this
            instance. An isolated instance probes no member and sends nothing about
            itself except joins.
        is_removed: Whether an operator removed this instance.
        held_since_ms: When this instance acquired its name.
    """

    def __init__(self, context: MembershipContext) -> None:
        self._context = context
        self.is_isolated = False
        self.is_removed = False
        self.held_since_ms = 0.0
        # Number of defences by the generation of the other process.
        self._defences: dict[int, int] = {}

    def reject_conflicting_claim(self, claim: MemberUpdate) -> bool:
        """Reject a join under a name that another process holds.

        Return whether the claim was rejected. The holder keeps the name while it is
        running.
        """
        known = self._context.table.members.get(claim.name)
        if (
            known is None
            or known.generation == claim.generation
            or known.address == claim.address
        ):
            return False
        is_local = known is self._context.local
        if not is_local and known.state != MemberState.ALIVE:
            return False
        if known.claimed_by_generation != claim.generation:
            known.claimed_by_generation = claim.generation
            self._context.effects.log(
                f"peers: {claim.address} claims the name {claim.name}, "
                f"which {known.address} holds"
            )
        holder = MemberUpdate.of(known, reported_by=known.name)
        self._context.effects.send(claim.address, NameConflict(holder))
        if not is_local:
            # The holder may have just died, with its successor at another address.
            self._context.start_fallback_probe(known, ProbePurpose.NAME_CLAIM)
        return True

    def on_name_conflict(self, now_ms: float, holder: MemberUpdate) -> None:
        """Handle a report that another process holds this instance's name."""
        local = self._context.local
        if holder.name == local.name and holder.generation != local.generation:
            self.resolve_conflict(now_ms, holder)

    def resolve_conflict(self, now_ms: float, other: MemberUpdate) -> None:
        """Defend the name against another process, or give it up.

        An instance that has held the name for a while raises its incarnation above the
        other's, a limited number of times. If both do so, as after a partition, the
        lower generation keeps the name.
        """
        local = self._context.local
        other_rank = (other.incarnation, -other.generation)
        if other_rank < (local.incarnation, -local.generation) or self.is_removed:
            return
        held_ms = now_ms - self.held_since_ms
        min_ownership_ms = (
            MIN_OWNERSHIP_INTERVALS * self._context.config.probe_interval_ms
        )
        is_held = not self.is_isolated and held_ms >= min_ownership_ms
        defences = self._defences.get(other.generation, 0)
        if is_held and (defences < MAX_DEFENCES or local.generation < other.generation):
            self._defences[other.generation] = defences + 1
            self._context.raise_incarnation(other.incarnation)
        elif not self.is_isolated:
            # Joins are still sent, as the process that holds the name may end later.
            self.is_isolated = True
            self._context.gossip.discard(local)
            self._context.effects.log(
                f"peers: the name {local.name} is held by {other.address}; "
                "this instance stays alone"
            )

    def on_name_confirmed(self, now_ms: float) -> None:
        """Record that other instances attribute the name to this instance."""
        if self.is_isolated and not self.is_removed:
            self.is_isolated = False
            self.held_since_ms = now_ms
            self._context.effects.log(
                f"peers: the name {self._context.local.name} is this instance's"
            )

    def on_removed(self) -> None:
        """Record that an operator removed this instance."""
        self.is_isolated = self.is_removed = True
        self._context.effects.log(
            "peers: an operator took this instance off; "
            "it comes back with its next start"
        )
