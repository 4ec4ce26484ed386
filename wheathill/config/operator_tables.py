"""The tables of an operator's TOML file: keys, bounds and defaults.

The suffix of a key is its unit, such as milliseconds or seconds. `wheathill schema`
prints the names, docstrings and defaults of the classes. A class has no docstring if
the schema has no description.
"""

from typing import Annotated, Literal

from msgspec import Meta, field

from wheathill.config.peer_tables import Peers
from wheathill.config.tables import (
    Address,
    Count,
    Fraction,
    Name,
    NonNegativeMs,
    PositiveMs,
    Seconds,
    Table,
    Weight,
)


class ListenerTable(Table, frozen=True):
    """One class of sessions."""

    name: Name
    repeat: Literal["repeatable", "referenced", "once-only"] = "once-only"
    scope: Literal["all", "zone", "cell"] = "cell"
    window_s: Seconds = 0.0
    handshake_target_ms: PositiveMs = 500.0
    message_target_ms: PositiveMs = 100.0
    dial_timeout_ms: PositiveMs = 2000.0
    utility: Weight = 1.0


class ServerTable(Table, frozen=True):
    """One server that the file itself lists."""

    name: Name
    address: Address
    zone: Name | None = None
    cell: Count = 0
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    state: Literal["ready", "draining"] = "ready"


class Limits(Table, frozen=True):  # noqa: D101 - a docstring would be printed in the schema
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    memory_mb: Annotated[float, Meta(ge=16)] = 192.0
    connect_ms: PositiveMs = 1000.0
    idle_s: Seconds = 30.0
    dials: Annotated[int, Meta(ge=1, le=100)] = 3
    longest_wait_ms: NonNegativeMs = 1500.0


class Fleet(Table, frozen=True):
    """What holds for all servers, and for the proxies together."""

    proxies: Annotated[int, Meta(ge=1, le=100_000)] = 1
    slots: Literal[512, 1024, 2048, 4096, 8192, 16_384, 32_768, 65_536] = 4096
    weights: Literal["registered", "off"] = "off"
    drain_grace_ms: NonNegativeMs = 500.0
    cold_s: Seconds = 20.0
    cold_start_share: Fraction = 0.1
    cold_multiple: Annotated[float, Meta(gt=0)] = 4.0
    cold_window_ms: PositiveMs = 1000.0
    further_dials_s: Seconds = 0.0
    further_dials_free: Count = 0
    further_dials_share: Fraction = 0.0
    only_draining_binds: bool = False
    probes: bool = False
    report_fields: list[Literal["inflight", "waiting", "cpu", "x0", "active"]] = []


class Prices(Table, frozen=True):  # noqa: D101 - a docstring would be printed in the schema
    crossing: Weight = 0.0
    move: Weight = 0.0


class Goal(Table, frozen=True):
    """How service is judged, as far as it changes what is decided."""

    nines: Fraction = 0.0
    nines_full: Annotated[float, Meta(gt=0, le=1000)] = 3.0


class File(Table, frozen=True):
    """An installation's proxy."""

    name: Name
    listen: Address
    listener: Annotated[list[ListenerTable], Meta(min_length=1)]
    discovery: Address | None = None
    admin_addr: Address | None = None
    server: list[ServerTable] = []
    desk: list[Name] = []
    zone: list[Name] = []
    own_zone: Name | None = None
    groups: bool = False
    packets_pass: bool = False
    seed: str | None = None
    limits: Limits = field(default_factory=Limits)
    fleet: Fleet = field(default_factory=Fleet)
    prices: Prices = field(default_factory=Prices)
    goal: Goal = field(default_factory=Goal)
    peers: Peers | None = None
