"""The order in which members are probed."""

from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.member import Member


class ProbeRound:
    """Selects each active member once per round, in a new random order (SWIM).

    A death is therefore detected within two rounds, and usually sooner.
    """

    def __init__(self, context: MembershipContext) -> None:
        self._context = context
        self._targets: list[Member] = []

    def next_target(self) -> Member | None:
        """Return the next member to probe, or None if there is no other member."""
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
        """Add a member at a random position of the current round.

        If new members were placed last, those discovered first would be probed first,
        and then not again for a whole round.
        """
        index = int(self._context.rng.random() * (len(self._targets) + 1))
        self._targets.insert(index, member)
