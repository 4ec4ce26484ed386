"""Queue of piggybacked updates (SWIM's infection-style dissemination)."""

import math
from dataclasses import dataclass
from operator import attrgetter

from wheathill.peers.membership.member import Member
from wheathill.peers.membership.messages import MemberUpdate


@dataclass(slots=True)
class QueuedUpdate:
    """An update that is still being disseminated."""

    member: Member
    reported_by: str
    transmissions: int = 0


_TRANSMISSIONS = attrgetter("transmissions")


class GossipQueue:
    """Members whose latest update is disseminated, least often sent first.

    Each update is sent a number of times proportional to log10(members), which reaches
    all members with high probability.
    """

    def __init__(self, retransmit_multiplier: float) -> None:
        """Create an empty queue.

        Each update is sent `retransmit_multiplier` * log10(members + 1) times.
        """
        self._retransmit_multiplier = retransmit_multiplier
        self._queued: dict[Member, QueuedUpdate] = {}

    def add(self, member: Member, reported_by: str) -> None:
        """Queue the state of `member` as a new update, replacing an older one."""
        self._queued[member] = QueuedUpdate(member, reported_by)

    def discard(self, member: Member) -> None:
        """Remove the update about `member`, if there is one."""
        self._queued.pop(member, None)

    def clear(self) -> None:
        """Remove all updates."""
        self._queued.clear()

    def take(
        self, limit: int, member_count: int, first: Member | None = None
    ) -> list[MemberUpdate]:
        """Return up to `limit` updates, and count them as sent.

        If `first` is not among the selected members, its update is put in front of
        theirs, even if it is no longer queued.
        """
        selected = self._by_priority()[:limit]
        if first is not None and first not in selected:
            selected = [first, *selected[: limit - 1]]
        max_transmissions = math.ceil(
            self._retransmit_multiplier * math.log10(member_count + 1)
        )
        return [self._take_update(member, max_transmissions) for member in selected]

    def _by_priority(self) -> list[Member]:
        """Return inactive members, then active ones, each ordered by transmissions.

        When hundreds of members start, updates about them would delay those about
        members that died or left. The queue is long then and is sorted for each
        message, so two sorts with a key function in C are used.
        """
        queued = self._queued.values()
        inactive = [update for update in queued if not update.member.is_active]
        active = [update for update in queued if update.member.is_active]
        inactive.sort(key=_TRANSMISSIONS)
        active.sort(key=_TRANSMISSIONS)
        return [update.member for update in (*inactive, *active)]

    def _take_update(self, member: Member, max_transmissions: int) -> MemberUpdate:
        queued = self._queued.get(member)
        if queued is None:
            return MemberUpdate.of(member, reported_by="")
        queued.transmissions += 1
        if queued.transmissions >= max_transmissions:
            del self._queued[member]
        return MemberUpdate.of(member, queued.reported_by)
