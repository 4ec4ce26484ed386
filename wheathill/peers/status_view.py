"""The status of a peer service, decoded from its reply over the control socket.

Each class is decoded from one object of the reply. The keys of the reply are part of
the interface for operators.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Self


@dataclass(frozen=True, slots=True)
class MemberRow:
    """One member in the proxy's view; times are seconds before the reply.

    Attributes:
        last_seen_s: time since its last message, None for the proxy itself.
        is_surely_gone: whether its death was observed, or it has left.
        agrees: whether it last reported the same view.
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
        """Decode the row of one member."""
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
    """One zone in the proxy's view; None for values not yet reported by its leaders."""

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
        """Decode the row of one zone."""
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
    """The status of the whole fleet, reported by a proxy of a fleet with zones."""

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
        """Decode the fleet status, or return None if the fleet has no zones."""
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
    """The result of comparing the views of all reachable proxies.

    Attributes:
        replied: proxies whose views were compared.
        silent: proxies that didn't reply.
        differing_views: for each member with differing views, its state by proxy.
    """

    replied: list[str]
    silent: list[str]
    differing_views: dict[str, dict[str, str]]

    @classmethod
    def decode(cls, fields: Mapping[str, Any]) -> Self | None:
        """Decode a comparison, or return None if none was requested."""
        if "answered" not in fields:
            return None
        return cls(fields["answered"], fields["silent"], fields["views_differ"])


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """The complete reply.

    Attributes:
        state: state of the proxy's view, a value of `ViewState`.
        dropped: number of messages dropped by its transport, by reason.
        deviations: how its behavior differs because of its peers.
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
        """Decode the status from a reply."""
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
