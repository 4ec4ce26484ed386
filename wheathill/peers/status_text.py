"""Formats a status as the lines that `wheathill peers` prints."""

from collections.abc import Iterator

from wheathill.peers.membership import MemberState
from wheathill.peers.status_view import (
    ComparisonResult,
    FleetStatus,
    MemberRow,
    PeerStatus,
    ZoneRow,
)

MEMBER_COLUMNS = [
    "member",
    "state",
    "since",
    "heard",
    "agrees",
    "address",
    "accused by",
]
ZONE_COLUMNS = [
    "zone",
    "region",
    "state",
    "at work",
    "reached",
    "meant",
    "part",
    "layout",
    "out of reach",
    "delegates",
]
UNKNOWN = "-"


def status_lines(status: PeerStatus) -> Iterator[str]:
    """Yield the lines of a status."""
    yield (
        f"{status.name} of {status.cluster}: {status.state} for"
        f" {status.state_since_s:.0f} s, {status.active_proxies} may be at work,"
        f" share {status.quota:g}" + (", alone" if status.is_isolated else "")
    )
    if status.fleet is not None:
        yield from _fleet_lines(status.fleet)
    rows = [MEMBER_COLUMNS, *(_member_cells(member) for member in status.members)]
    yield from _aligned(rows)
    for deviation in status.deviations:
        yield f"because of its peers it {deviation}"
    if status.dropped:
        counts = [f"{count} ({reason})" for reason, count in status.dropped.items()]
        yield "dropped: " + ", ".join(counts)
    if status.comparison is not None:
        yield from _comparison_lines(status.comparison)


def _fleet_lines(fleet: FleetStatus) -> Iterator[str]:
    yield (
        f"zone {fleet.zone}, region {fleet.region} {fleet.region_state},"
        f" fleet {fleet.fleet_state}: {fleet.active_proxies} may be at work,"
        f" layout {fleet.layout_version}, the zone's part {fleet.quota:g}"
    )
    yield from _aligned([ZONE_COLUMNS, *(_zone_cells(zone) for zone in fleet.zones)])


def _zone_cells(zone: ZoneRow) -> list[str]:
    return [
        zone.name,
        zone.region,
        zone.state,
        _number_text(zone.active_proxies),
        _number_text(zone.reachable_proxies),
        str(zone.expected_proxies),
        f"{zone.quota:g}",
        _number_text(zone.layout_version),
        " ".join(zone.unreachable_zones) or UNKNOWN,
        " ".join(zone.leaders) or UNKNOWN,
    ]


def _number_text(number: int | None) -> str:
    return UNKNOWN if number is None else str(number)


def _member_cells(member: MemberRow) -> list[str]:
    is_death_observed = member.state == MemberState.DEAD and member.is_surely_gone
    last_seen = UNKNOWN if member.last_seen_s is None else f"{member.last_seen_s:.0f} s"
    return [
        member.name,
        member.state + (" (seen)" if is_death_observed else ""),
        f"{member.state_since_s:.0f} s",
        last_seen,
        "yes" if member.agrees else "no",
        member.address,
        " ".join(member.suspected_by),
    ]


def _comparison_lines(comparison: ComparisonResult) -> Iterator[str]:
    asked = "asked: " + ", ".join(comparison.replied)
    if comparison.silent:
        asked += ", no answer from " + ", ".join(comparison.silent)
    yield asked
    for member, states in comparison.differing_views.items():
        views = [f"{viewer} {state}" for viewer, state in states.items()]
        yield f"views of {member} differ: " + ", ".join(views)
    if not comparison.differing_views:
        yield "all views alike"


def _aligned(rows: list[list[str]]) -> Iterator[str]:
    """Yield a line for each row, with each column as wide as its longest cell."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        yield "  ".join(cells).rstrip()
