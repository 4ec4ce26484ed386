"""The `[peers]` table of an operator's file: whom an instance talks to, and with which key."""

import os
import stat
from dataclasses import dataclass

from wheathill.config import Misconfigured, address

LEAST_KEY, MOST_KEY = 16, 4096


@dataclass(frozen=True)
class Told:
    """What an instance is told of its peers. Addresses are "HOST:PORT", `listen` is (host, port); times in ms."""

    name: str
    cluster: str
    listen: tuple
    advertise: str  # where the others reach it
    seeds: tuple
    key: bytes
    roster: tuple  # who is meant to be there; none: `fleet.proxies` says how many, or the zone's `proxies`
    control: str | None  # the path of the control socket
    period: float
    patience: float
    zone: str | None = None  # its own, where the fleet has some
    layout: object = None  # a `Layout`, where `zone` is named


@dataclass(frozen=True)
class Zone:
    """`part` of every limit over all, and what it `was` by the layout before this one."""

    name: str
    region: str
    proxies: int
    seeds: tuple
    part: float
    was: float


@dataclass(frozen=True)
class Layout:
    version: int
    zones: tuple

    def zone(self, name):
        return next(zone for zone in self.zones if zone.name == name)


def layout_of(peers):
    """Parts that are not told go by the number of proxies."""
    if peers.zone is None:
        return None
    whole = sum(zone.proxies for zone in peers.zones)
    zones = []
    for zone in peers.zones:
        part = zone.proxies / whole if zone.part is None else zone.part
        zones.append(
            Zone(
                zone.name,
                zone.region or zone.name,
                zone.proxies,
                tuple(zone.seeds),
                part,
                part if zone.was is None else zone.was,
            )
        )
    return Layout(peers.layout, tuple(zones))


def zone_contradictions(peers, proxies):
    names = [zone.name for zone in peers.zones]
    if peers.zone is None:
        if peers.zones:
            yield "peers.zone: is missing, as peers.zones names some"
        return
    if peers.zone not in names:
        yield f"peers.zone: {peers.zone!r} is none of peers.zones"
    if peers.roster:
        yield "peers.roster: is for a fleet without zones; peers.zones says how many are meant to be there"
    for place, zone in enumerate(peers.zones):
        if zone.name in names[:place]:
            yield f"peers.zones[{place}].name: {zone.name!r} stands at peers.zones[{names.index(zone.name)}] already"
        if not zone.seeds:
            yield f"peers.zones[{place}].seeds: is empty, so that the zone can't be found"
        for at, text in enumerate(zone.seeds):
            try:
                address(text, f"peers.zones[{place}].seeds[{at}]")
            except Misconfigured as wrong:
                yield str(wrong)
    for key in ("part", "was"):
        told = [getattr(zone, key) for zone in peers.zones]
        if any(each is None for each in told):
            if any(each is not None for each in told):
                yield f"peers.zones: {key} is told of some zones and not of others"
        elif sum(told) > 1.0 + 1e-9:
            yield f"peers.zones: {key} sums to {sum(told):g}, which is over 1"
    meant = sum(zone.proxies for zone in peers.zones)
    if not meant:
        yield "peers.zones: proxies is 0 in all of them"
    elif meant != proxies:
        yield f"fleet.proxies: is {proxies}, and the proxies of peers.zones are {meant}"


def contradictions(file):
    peers = file.peers
    for what, text in (
        ("listen", peers.listen),
        ("advertise", peers.advertise),
        *((f"seeds[{place}]", text) for place, text in enumerate(peers.seeds)),
    ):
        if text is not None:
            try:
                address(text, f"peers.{what}")
            except Misconfigured as wrong:
                yield str(wrong)
    if peers.patience_ms >= peers.period_ms:
        yield "peers.patience_ms: is not under peers.period_ms"
    if peers.roster and (peers.name or file.name) not in peers.roster:
        yield f"peers.roster: {peers.name or file.name!r}, this instance, is not one of them"
    if len(dict.fromkeys(peers.roster)) != len(peers.roster):
        yield "peers.roster: a name stands twice"
    yield from zone_contradictions(peers, file.fleet.proxies)


def told_of(file):
    """Raises Misconfigured where the key can't be used."""
    peers = file.peers
    layout = layout_of(peers)
    seeds = peers.seeds or (layout.zone(peers.zone).seeds if layout else ())
    return Told(
        name=peers.name or file.name,
        cluster=peers.cluster,
        listen=address(peers.listen, "peers.listen"),
        advertise=peers.advertise or peers.listen,
        seeds=tuple(seeds),
        key=read_key(peers.key_file),
        roster=tuple(peers.roster),
        control=peers.control,
        period=peers.period_ms,
        patience=peers.patience_ms,
        zone=peers.zone,
        layout=layout,
    )


def read_key(path):
    """The file's bytes, but for white space at its end. Only its owner, who runs this, may read it."""
    try:
        with open(path, "rb") as source:
            state = os.fstat(source.fileno())
            key = source.read(MOST_KEY + 1).rstrip()
    except OSError as wrong:
        raise Misconfigured(f"peers.key_file: {wrong}") from None
    if state.st_uid != os.geteuid() or stat.S_IMODE(state.st_mode) & 0o077:
        raise Misconfigured(
            f"peers.key_file: {path} must be readable by its owner alone, who starts the proxy"
        )
    if not LEAST_KEY <= len(key) <= MOST_KEY:
        raise Misconfigured(
            f"peers.key_file: {path} holds {len(key)} bytes, expected {LEAST_KEY} to {MOST_KEY}"
        )
    return key
