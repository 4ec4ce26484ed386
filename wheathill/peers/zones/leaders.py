"""Selection of the leaders of a zone."""

from collections.abc import Iterable

from wheathill.peers.membership import Member
from wheathill.peers.zones.rendezvous import rendezvous_weight

# A zone stays in contact with the others while one of its leaders does; more leaders
# would only send the same messages again.
MAX_LEADERS = 3


def select_leaders(zone: str, members: Iterable[Member]) -> list[Member]:
    """Return the leaders of a zone; the first one writes the zone's summary.

    Leaders are selected by rendezvous hashing: members with equal views select the same
    leaders, and when a leader dies, the next member in the order takes its place.
    """
    ranked = sorted(
        members,
        key=lambda member: rendezvous_weight(zone, member.name, member.generation),
    )
    return ranked[:MAX_LEADERS]
