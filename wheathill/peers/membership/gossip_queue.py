"""The updates that ride on other messages (SWIM's infection-style dissemination)."""

import math
from dataclasses import dataclass

from wheathill.peers.membership.member import Member
from wheathill.peers.membership.messages import MemberUpdate


@dataclass(slots=True)
class QueuedUpdate:
    """An update that is still being passed on."""

    reported_by: str
    transmissions: int = 0


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
        self._queued[member] = QueuedUpdate(reported_by)

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
        # The members that are gone lead: at a start of hundreds the newcomers would
        # delay them.
        queued = sorted(
            self._queued.items(),
            key=lambda item: (item[0].is_active, item[1].transmissions),
        )
        chosen = [member for member, _ in queued[:limit]]
        if first is not None and first not in chosen:
            chosen = [first, *chosen[: limit - 1]]
        most_transmissions = math.ceil(
            self._retransmit_multiplier * math.log10(member_count + 1)
        )
        return [self._take(member, most_transmissions) for member in chosen]

    def _take(self, member: Member, most_transmissions: int) -> MemberUpdate:
        queued = self._queued.get(member)
        if queued is None:
            return MemberUpdate.of(member, reported_by="")
        queued.transmissions += 1
        if queued.transmissions >= most_transmissions:
            del self._queued[member]
        return MemberUpdate.of(member, queued.reported_by)
