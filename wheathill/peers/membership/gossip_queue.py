"""The updates that ride on other messages (SWIM's infection-style dissemination)."""

import math
from dataclasses import dataclass
from operator import attrgetter

from wheathill.peers.membership.member import Member
from wheathill.peers.membership.messages import MemberUpdate


@dataclass(slots=True)
class QueuedUpdate:
    """An update that is still being passed on."""

    member: Member
    reported_by: str
    transmissions: int = 0


_TRANSMISSIONS = attrgetter("transmissions")


class GossipQueue:
    """The members whose last update is passed on, the least often sent first.

    Each is sent about log10(members) times, then no more, which is enough to reach all
    with high probability.
    """

    def __init__(self, retransmit_multiplier: float) -> None:
        """Begin empty.

        Each update is sent `retransmit_multiplier` * log10(members + 1) times.
        """
        self._retransmit_multiplier = retransmit_multiplier
        self._queued: dict[Member, QueuedUpdate] = {}

    def add(self, member: Member, reported_by: str) -> None:
        """Pass on the state of `member` from now on, as often as any new update."""
        self._queued[member] = QueuedUpdate(member, reported_by)

    def discard(self, member: Member) -> None:
        """Pass on nothing of `member` any more."""
        self._queued.pop(member, None)

    def clear(self) -> None:
        """Pass on nothing any more."""
        self._queued.clear()

    def take(
        self, limit: int, member_count: int, first: Member | None = None
    ) -> list[MemberUpdate]:
        """Return up to `limit` updates, and count them as sent.

        `first` is among them, and leads them, however often it was sent.
        """
        chosen = self._by_priority()[:limit]
        if first is not None and first not in chosen:
            chosen = [first, *chosen[: limit - 1]]
        most_transmissions = math.ceil(
            self._retransmit_multiplier * math.log10(member_count + 1)
        )
        return [self._take(member, most_transmissions) for member in chosen]

    def _by_priority(self) -> list[Member]:
        """Return the members, those gone first, each of both by transmissions.

        At a start of hundreds the newcomers would delay news of the gone. The queue is
        long then, and ordered for each message: hence two sorts by a key of C.
        """
        queued = self._queued.values()
        gone = [update for update in queued if not update.member.is_active]
        active = [update for update in queued if update.member.is_active]
        gone.sort(key=_TRANSMISSIONS)
        active.sort(key=_TRANSMISSIONS)
        return [update.member for update in (*gone, *active)]

    def _take(self, member: Member, most_transmissions: int) -> MemberUpdate:
        queued = self._queued.get(member)
        if queued is None:
            return MemberUpdate.of(member, reported_by="")
        queued.transmissions += 1
        if queued.transmissions >= most_transmissions:
            del self._queued[member]
        return MemberUpdate.of(member, queued.reported_by)
