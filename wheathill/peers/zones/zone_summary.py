"""The summary of a zone that its leaders publish, and its encoding in messages.

An encoded summary is the list `[state, max_active_proxies, reachable_proxies, digest,
unreachable_zones, layout_version, [[name, address] of each leader]]`.
"""

from dataclasses import dataclass
from typing import Any, Self

from wheathill.peers.cluster_view import ViewState

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class ZoneLeader:
    """A leader of a zone; `address` is "HOST:PORT"."""

    name: str
    address: str

    def encode(self) -> list[str]:
        """Return the leader as it is encoded in a summary."""
        return [self.name, self.address]

    @classmethod
    def decode(cls, fields: Any) -> Self:  # noqa: ANN401  # from a message
        """Return the leader with the given fields of an encoded summary.

        Raises ValueError or TypeError if the fields are not a leader.
        """
        name, address = fields
        if not isinstance(name, str) or not isinstance(address, str):
            raise ValueError("name or address of a zone leader is not a string")
        host, _, port = address.rpartition(":")
        if not host or not 0 < int(port) <= MAX_PORT:
            raise ValueError("address of a zone leader is not HOST:PORT")
        return cls(name, address)


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """The state of one zone according to its first leader.

    Attributes:
        state: state of the zone, independent of other zones.
        max_active_proxies: maximum number of the zone's proxies that may be active.
        reachable_proxies: number of reachable members, including the leader.
        digest: digest of the view that all reachable members have reported, "" if their
            views differ.
        unreachable_zones: names of the other zones that the zone's leaders can't reach.
        layout_version: version of the layout that all of the zone's proxies have, 0 if
            unknown.
        leaders: the leaders in order, the first leader first.
    """

    state: ViewState
    max_active_proxies: int
    reachable_proxies: int
    digest: str
    unreachable_zones: tuple[str, ...]
    layout_version: int
    leaders: tuple[ZoneLeader, ...]

    def encode(self) -> list[object]:
        """Return the summary as it is sent in a message."""
        return [
            self.state.value,
            self.max_active_proxies,
            self.reachable_proxies,
            self.digest,
            list(self.unreachable_zones),
            self.layout_version,
            [leader.encode() for leader in self.leaders],
        ]

    @classmethod
    def decode(cls, fields: Any) -> Self:  # noqa: ANN401  # from a message
        """Return the summary with the given fields of a message.

        Raises ValueError or TypeError if the fields are not a summary.
        """
        state, max_active, reachable, digest, unreachable, version, leaders = fields
        numbers = (max_active, reachable, version)
        if not all(isinstance(number, int) and number >= 0 for number in numbers):
            raise ValueError("a number in a zone summary is not a valid integer")
        if not isinstance(digest, str) or not isinstance(leaders, list):
            raise ValueError("digest or leaders of a zone summary have a wrong type")
        if not isinstance(unreachable, list):
            raise ValueError("unreachable zones of a zone summary are not a list")
        if not all(isinstance(name, str) for name in unreachable):
            raise ValueError("name of an unreachable zone is not a string")
        return cls(
            ViewState(state),
            max_active,
            reachable,
            digest,
            tuple(unreachable),
            version,
            tuple(ZoneLeader.decode(leader) for leader in leaders),
        )
