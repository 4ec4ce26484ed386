"""The tables of an operator's file that configure the cluster.

Field names are the keys of the file. Class names and docstrings are part of the output
of `wheathill schema`.
"""

from typing import Annotated

from msgspec import Meta

from wheathill.config.tables import Address, Count, Fraction, Name, Table


class ZoneTable(Table, frozen=True):
    """One zone of a fleet of several, told alike to all instances."""

    name: Name
    proxies: Count
    seeds: list[Address]
    region: Name | None = None
    # Fraction of every fleet-wide limit, by default the zone's fraction of all proxies.
    part: Fraction | None = None
    # The value of `part` in the previous layout.
    was: Fraction | None = None


class Peers(Table, frozen=True):
    """The other instances, where this one is to know them."""

    cluster: Name
    listen: Address
    key_file: Annotated[str, Meta(min_length=1)]
    name: Name | None = None
    advertise: Address | None = None
    seeds: list[Address] = []
    roster: list[Name] = []
    control: Annotated[str, Meta(min_length=1)] | None = None
    period_ms: Annotated[float, Meta(ge=50, le=60_000)] = 1000.0
    patience_ms: Annotated[float, Meta(ge=10, le=60_000)] = 300.0
    zone: Name | None = None  # this proxy's zone, one of `zones`
    layout: Annotated[int, Meta(ge=1, le=1_000_000)] = 1  # version of `zones`
    zones: Annotated[list[ZoneTable], Meta(max_length=64)] = []
