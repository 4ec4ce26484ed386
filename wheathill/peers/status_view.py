"""The status of a proxy among its peers, as it replies over the control socket.

Each class is decoded from one object of the reply; keys of the reply are those that
operators see.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Self


@dataclass(frozen=True, slots=True)
class MemberRow:
    """One member in the proxy's view; times are seconds ago.

    Attributes:
        last_seen_s: None of the proxy itself.
        is_surely_gone: its end was observed, or it has left.
    """

    name: str
    address: str
    state: str
    state_since_s: float
    last_seen_s: float | None
    suspected_by: list[str]
    is_surely_gone: bool
    agrees: bool

    @classmethod
    def decode(cls, fields: Mapping[str, Any]) -> Self:
        """Return the row of one member."""
        return cls(
            name=fields["name"],
            address=fields["address"],
            state=fields["state"],
            state_since_s=fields["since_s"],
            last_seen_s=fields["heard_s"],
            suspected_by=fields["accused_by"],
            is_surely_gone=fields["surely_gone"],
            agrees=fields["agrees"],
        )


@dataclass(frozen=True, slots=True)
class ZoneRow:
    """One zone in the proxy's view; None is what its leaders have not stated yet."""

    name: str
    region: str
    state: str
    active_proxies: int | None
    reachable_proxies: int | None
    expected_proxies: int
    quota: float
    layout_version: int | None
    unreachable_zones: list[str]
    leaders: list[str]

    @classmethod
    def decode(cls, fields: Mapping[str, Any]) -> Self:
        """Return the row of one zone."""
        return cls(
            name=fields["name"],
            region=fields["region"],
            state=fields["state"],
            active_proxies=fields["at_work"],
            reachable_proxies=fields["reached"],
            expected_proxies=fields["meant"],
            quota=fields["part"],
            layout_version=fields["layout"],
            unreachable_zones=fields["out_of_reach"],
            leaders=fields["delegates"],
        )


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """What a proxy of a fleet of zones states beyond its own zone."""

    zone: str
    region: str
    region_state: str
    fleet_state: str
    active_proxies: int
    layout_version: int
    quota: float
    zones: list[ZoneRow]

    @classmethod
    def decode(cls, fields: Mapping[str, Any]) -> Self | None:
        """Return what the reply says of zones, or None where the fleet has none."""
        if "zones" not in fields:
            return None
        return cls(
            zone=fields["zone"],
            region=fields["region"],
            region_state=fields["region_state"],
            fleet_state=fields["fleet_state"],
            active_proxies=fields["fleet_at_work"],
            layout_version=fields["layout"],
            quota=fields["part"],
            zones=[ZoneRow.decode(zone) for zone in fields["zones"]],
        )


@dataclass(frozen=True, slots=True)
class ComparisonResult:
    """Whose views were compared, and where they differ.

    Attributes:
        differing_views: member -> {whose view it is: the member's state in it}.
    """

    replied: list[str]
    silent: list[str]
    differing_views: dict[str, dict[str, str]]

    @classmethod
    def decode(cls, fields: Mapping[str, Any]) -> Self | None:
        """Return the result of a comparison, or None where none was asked for."""
        if "answered" not in fields:
            return None
        return cls(fields["answered"], fields["silent"], fields["views_differ"])


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """The whole reply.

    Attributes:
        state: of the proxy's view, as `ViewState`.
        dropped: messages that its transport dropped, by reason.
        deviations: what it does because of its peers and would not do without.
    """

    name: str
    cluster: str
    state: str
    state_since_s: float
    active_proxies: int
    quota: float
    is_isolated: bool
    fleet: FleetStatus | None
    members: list[MemberRow]
    deviations: list[str]
    dropped: dict[str, int]
    comparison: ComparisonResult | None

    @classmethod
    def decode(cls, fields: Mapping[str, Any]) -> Self:
        """Return the status that a reply states."""
        return cls(
            name=fields["name"],
            cluster=fields["cluster"],
            state=fields["state"],
            state_since_s=fields["since_s"],
            active_proxies=fields["fleet"],
            quota=fields["share"],
            is_isolated=fields["alone"],
            fleet=FleetStatus.decode(fields),
            members=[MemberRow.decode(member) for member in fields["members"]],
            deviations=fields["differs"],
            dropped=fields["links"]["dropped"],
            comparison=ComparisonResult.decode(fields),
        )
