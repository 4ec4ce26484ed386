"""What happens where two processes go by one name."""

from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.effects import ProbePurpose
from wheathill.peers.membership.member import MemberState
from wheathill.peers.membership.messages import MemberUpdate, NameConflict

MIN_OWNERSHIP_INTERVALS = 10.0  # probe intervals after which a process holds its name
MAX_DEFENCES = 3  # how often a name that is held is defended against one other process


class NameOwnership:
    """Decides whether this instance's name is its own, and rejects others' claims.

    All members hold to the process with the higher incarnation, and of equal ones to
    the one with the lower generation.

    Attributes:
        is_isolated: Whether another process holds the name, or an operator removed this
            instance: it probes nobody, and sends nothing of itself but its claim.
        is_removed: Whether an operator removed it.
        held_since_ms: Since when it holds its name.
    """

    def __init__(self, context: MembershipContext) -> None:
        self._context = context
        self.is_isolated = False
        self.is_removed = False
        self.held_since_ms = 0.0
        # Generation of the other process -> how often the name was defended against it.
        self._defences: dict[int, int] = {}

    def reject_conflicting_claim(self, claim: MemberUpdate) -> bool:
        """Answer a process that joins under a name that another one holds.

        Returns whether another does: it keeps the name while it is there.
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
            # It may have died a moment ago, and its successor be at another address.
            self._context.start_fallback_probe(known, ProbePurpose.NAME_CLAIM)
        return True

    def on_name_conflict(self, now_ms: float, holder: MemberUpdate) -> None:
        """Take note that another process is said to hold this instance's name."""
        local = self._context.local
        if holder.name == local.name and holder.generation != local.generation:
            self.resolve_conflict(now_ms, holder)

    def resolve_conflict(self, now_ms: float, other: MemberUpdate) -> None:
        """Defend the name against another process, or give it up.

        One that has held the name for a while raises its incarnation past the other's,
        a few times. Where both do, after a partition, the lower generation keeps it.
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
            # It keeps asking: the process that holds the name may be gone by then.
            self.is_isolated = True
            self._context.gossip.discard(local)
            self._context.effects.log(
                f"peers: the name {local.name} is held by {other.address}; "
                "this instance stays alone"
            )

    def on_name_confirmed(self, now_ms: float) -> None:
        """Take note that others hold the name to be this instance's."""
        if self.is_isolated and not self.is_removed:
            self.is_isolated = False
            self.held_since_ms = now_ms
            self._context.effects.log(
                f"peers: the name {self._context.local.name} is this instance's"
            )

    def on_removed(self) -> None:
        """Take note that an operator removed this instance."""
        self.is_isolated = self.is_removed = True
        self._context.effects.log(
            "peers: an operator took this instance off; "
            "it comes back with its next start"
        )
