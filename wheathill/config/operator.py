"""The operator's own TOML file: its keys, their limits and defaults, and the node that they make.

Names and units are the operators' (milliseconds and seconds by the ending of the key). A file is checked
whole, then turned into the platform's form, so that `node_of` gives both the same checks and defaults.
"""

import hashlib
import os
from dataclasses import replace
from typing import Annotated, Literal

from msgspec import Meta, field

from wheathill.config import (
    Misconfigured,
    address,
    checked,
    node_of,
    peers,
    surroundings,
)
from wheathill.config.peer_tables import Peers
from wheathill.config.tables import (
    Address,
    Count,
    Ms,
    Name,
    Price,
    Seconds,
    Share,
    Table,
    Wait,
)


class ListenerTable(Table):
    """One class of sessions."""

    name: Name
    repeat: Literal["repeatable", "referenced", "once-only"] = "once-only"
    scope: Literal["all", "zone", "cell"] = "cell"
    window_s: Seconds = 0.0
    handshake_target_ms: Ms = 500.0
    message_target_ms: Ms = 100.0
    dial_timeout_ms: Ms = 2000.0
    utility: Price = 1.0


class ServerTable(Table):
    """One server that the file itself lists."""

    name: Name
    address: Address
    zone: Name | None = None
    cell: Count = 0
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    state: Literal["ready", "draining"] = "ready"


class Limits(Table):
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    memory_mb: Annotated[float, Meta(ge=16)] = 192.0
    connect_ms: Ms = 1000.0
    idle_s: Seconds = 30.0
    dials: Annotated[int, Meta(ge=1, le=100)] = 3
    longest_wait_ms: Wait = 1500.0


class Fleet(Table):
    """What holds for all servers, and for the proxies together."""

    proxies: Annotated[int, Meta(ge=1, le=100_000)] = 1
    slots: Literal[512, 1024, 2048, 4096, 8192, 16_384, 32_768, 65_536] = 4096
    weights: Literal["registered", "off"] = "off"
    drain_grace_ms: Wait = 500.0
    cold_s: Seconds = 20.0
    cold_start_share: Share = 0.1
    cold_multiple: Annotated[float, Meta(gt=0)] = 4.0
    cold_window_ms: Ms = 1000.0
    further_dials_s: Seconds = 0.0
    further_dials_free: Count = 0
    further_dials_share: Share = 0.0
    only_draining_binds: bool = False
    probes: bool = False
    report_fields: list[Literal["inflight", "waiting", "cpu", "x0", "active"]] = []


class Prices(Table):
    crossing: Price = 0.0
    move: Price = 0.0


class Goal(Table):
    """How service is judged, as far as it changes what is decided."""

    nines: Share = 0.0
    nines_full: Annotated[float, Meta(gt=0, le=1000)] = 3.0


class File(Table):
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


REPEATS = {"repeatable": "retryable", "referenced": "dedup", "once-only": "fragile"}


def contradictions(file):
    """What each key allows by itself, but not beside the others."""
    for what, names in (
        ("listener", [item.name for item in file.listener]),
        ("desk", file.desk),
        ("zone", file.zone),
        ("server", [item.name for item in file.server]),
    ):
        for place, name in enumerate(names):
            if name in names[:place]:
                yield f"{what}[{place}]: {name!r} stands at {what}[{names.index(name)}] already"
    if not file.fleet.further_dials_s and (
        file.fleet.further_dials_free or file.fleet.further_dials_share
    ):
        yield "fleet.further_dials_s: is missing beside further_dials_free or further_dials_share"
    if file.own_zone is not None and file.own_zone not in file.zone:
        yield f"own_zone: {file.own_zone!r} is not one of zone"
    for place, item in enumerate(file.server):
        if item.zone is not None and item.zone not in file.zone:
            yield f"server[{place}].zone: {item.zone!r} is not one of zone"
    if file.discovery is None and not file.server:
        yield "discovery: is missing, and no server is listed"
    for place, item in enumerate(file.listener):
        if item.handshake_target_ms > item.dial_timeout_ms:
            yield f"listener[{place}].handshake_target_ms: is over its dial_timeout_ms"
        if item.repeat == "referenced" and not item.window_s:
            yield f"listener[{place}].window_s: a referenced listener needs its servers' dedup window"
    for where, text in (
        ("listen", file.listen),
        ("discovery", file.discovery),
        ("admin_addr", file.admin_addr),
        *(
            (f"server[{place}].address", item.address)
            for place, item in enumerate(file.server)
        ),
    ):
        if text is not None:
            try:
                address(text, where)
            except Misconfigured as wrong:
                yield str(wrong)

    if file.peers is not None:
        yield from peers.contradictions(
            file.peers, proxy_name=file.name, fleet_size=file.fleet.proxies
        )


def platform_form(file):
    """The same, in the form that the platform tells a proxy."""
    hosts = [
        {
            "host": item.name,
            "dial": item.address,
            "site": item.zone,
            "block": item.cell,
            "health": item.state,
            "share": item.weight,
            "born_ms": 0,
        }
        for item in file.server
    ]
    limits, fleet = file.limits, file.fleet
    # Without a seed of its own each instance still needs another one than its neighbours.
    seed = (
        file.seed
        or hashlib.blake2b(
            f"{file.name} {file.listen}".encode(), digest_size=8
        ).hexdigest()
    )
    return {
        "name": file.name,
        "listen": file.listen,
        "discovery": file.discovery or False,
        "seed": seed,
        "admin_addr": file.admin_addr,
        "limits": {"sockets": limits.sockets, "memory_mb": limits.memory_mb},
        "known": {"seq": 0, "whole": True, "hosts": hosts},
        "settings": {
            "listeners": [
                {
                    "name": item.name,
                    "repeat": REPEATS[item.repeat],
                    "dedupScope": item.scope,
                    "windowS": item.window_s,
                    "handshakeTargetS": item.handshake_target_ms / 1000,
                    "dialTimeoutS": item.dial_timeout_ms / 1000,
                    "utility": item.utility,
                }
                for item in file.listener
            ],
            "tenants": [{"name": name} for name in file.desk],
            "dcs": file.zone,
            "zone": file.zone.index(file.own_zone) if file.own_zone else 0,
            "balancers": fleet.proxies,
            "slots": fleet.slots,
            "weightSource": "nominal" if fleet.weights == "registered" else "off",
            "limits": {
                "maxDials": limits.dials,
                "mayProbe": fleet.probes,
                "retryAfter": limits.longest_wait_ms > 0,
                "maxRetryAfterS": limits.longest_wait_ms / 1000,
                "connectTimeoutS": limits.connect_ms / 1000,
                "idleCloseS": limits.idle_s,
            },
            "obligations": {
                "drainGraceS": fleet.drain_grace_ms / 1000,
                "startCapacity": fleet.cold_start_share,
                "coldS": fleet.cold_s,
                "tipMultiple": fleet.cold_multiple,
                "tipAfterS": fleet.cold_window_ms / 1000,
                "onlyDrainingBinds": fleet.only_draining_binds,
                **(
                    {
                        "ratioSpanS": fleet.further_dials_s,
                        "freeResends": fleet.further_dials_free,
                        "resendRatio": fleet.further_dials_share,
                    }
                    if fleet.further_dials_s
                    else {}
                ),
            },
            "goal": {"logLossPart": file.goal.nines, "ninesFull": file.goal.nines_full},
            "prices": {"crossZone": file.prices.crossing, "moves": file.prices.move},
            "report": {
                "how": "on_probe" if fleet.probes else "off",
                "names": fleet.report_fields,
            },
            "familyInfo": {
                "mode": "pass" if file.packets_pass else "proxy",
                "groups": file.groups,
                "messageAimS": [
                    item.message_target_ms / 1000 for item in file.listener
                ],
            },
        },
    }


def file_of(values):
    file = checked.read(values, File)
    wrong = list(contradictions(file))
    if wrong:
        raise Misconfigured("\n".join(wrong))
    return file


def read(path):
    """The file says all but what is handed to the process: `$NODE_FD`, `$TMPDIR`, and `$NODE_ADMIN_ADDR` where
    it names none."""
    values = checked.load(path)
    file = file_of(values)
    node = node_of(
        {**platform_form(file), "peers": values.get("peers")}, surroundings(os.environ)
    )
    if file.peers is None:
        return node
    return replace(
        node, peers=peers.read_peer_settings(file.peers, proxy_name=file.name)
    )
