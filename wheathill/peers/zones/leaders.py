"""Which members speak for a zone."""

from collections.abc import Iterable

from wheathill.peers.membership import Member
from wheathill.peers.zones.rendezvous import rendezvous_weight

# A zone is heard while one of them is; more would only repeat each other.
MAX_LEADERS = 3


def select_leaders(zone: str, members: Iterable[Member]) -> list[Member]:
    """Return the zone's leaders, the first of whom writes its summary.

    They are chosen by rendezvous hashing, so that equal views choose alike, and a death
    promotes the next.
    """
    ranked = sorted(
        members,
        key=lambda member: rendezvous_weight(zone, member.name, member.generation),
    )
    return ranked[:MAX_LEADERS]
