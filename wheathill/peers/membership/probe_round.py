"""The order in which members are probed."""

from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.member import Member


class ProbeRound:
    """Each active member in turn, in an order that is drawn anew each round (SWIM).

    A death is so found within two rounds, and by chance sooner.
    """

    def __init__(self, context: MembershipContext) -> None:
        self._context = context
        self._targets: list[Member] = []

    def next_target(self) -> Member | None:
        """Return the member to probe next, None where there is no other."""
        while True:
            if not self._targets:
                self._targets = self._context.table.active_others()
                self._context.rng.shuffle(self._targets)
                if not self._targets:
                    return None
            member = self._targets.pop()
            known = self._context.table.members.get(member.name)
            if member.is_active and known is member:
                return member

    def insert(self, member: Member) -> None:
        """Add a member at a random place of the round.

        At its end those met first would be probed first, and then not for a whole
        round.
        """
        index = int(self._context.rng.random() * (len(self._targets) + 1))
        self._targets.insert(index, member)
