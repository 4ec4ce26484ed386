"""What the leaders of a zone state about it, and its form in messages.

In a message a summary is the list `[state, max_active_proxies, reachable_proxies,
digest, unreachable_zones, layout_version, [[name, address] of each leader]]`.
"""

from dataclasses import dataclass
from typing import Any, Self

from wheathill.peers.cluster_view import ViewState

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class ZoneLeader:
    """One who speaks for a zone; `address` is "HOST:PORT"."""

    name: str
    address: str

    def encode(self) -> list[str]:
        """Return the leader as it stands in a summary."""
        return [self.name, self.address]

    @classmethod
    def decode(cls, fields: Any) -> Self:  # noqa: ANN401  # from a message
        """Read a leader of a summary.

        Raises ValueError or TypeError where it is none.
        """
        name, address = fields
        if not isinstance(name, str) or not isinstance(address, str):
            raise ValueError("no leader")
        host, _, port = address.rpartition(":")
        if not host or not 0 < int(port) <= MAX_PORT:
            raise ValueError("no leader")
        return cls(name, address)


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """One zone, as its first leader sees it.

    Attributes:
        state: of the zone alone.
        max_active_proxies: the largest number of its proxies that may be active.
        reachable_proxies: of its members, the leader included.
        digest: of the view that all reachable members have reported, or "".
        unreachable_zones: names of other zones that its leaders don't reach.
        layout_version: the layout that all of its proxies hold, 0 where that is not
            known.
        leaders: the first one first.
    """

    state: ViewState
    max_active_proxies: int
    reachable_proxies: int
    digest: str
    unreachable_zones: tuple[str, ...]
    layout_version: int
    leaders: tuple[ZoneLeader, ...]

    def encode(self) -> list[object]:
        """Return the summary as it stands in a message."""
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
        """Read the summary of a message.

        Raises ValueError or TypeError where it is none.
        """
        state, max_active, reachable, digest, unreachable, version, leaders = fields
        numbers = (max_active, reachable, version)
        if not all(isinstance(number, int) and number >= 0 for number in numbers):
            raise ValueError("no summary")
        if not isinstance(digest, str) or not isinstance(leaders, list):
            raise ValueError("no summary")
        if not isinstance(unreachable, list):
            raise ValueError("no summary")
        if not all(isinstance(name, str) for name in unreachable):
            raise ValueError("no summary")
        return cls(
            ViewState(state),
            max_active,
            reachable,
            digest,
            tuple(unreachable),
            version,
            tuple(ZoneLeader.decode(leader) for leader in leaders),
        )
