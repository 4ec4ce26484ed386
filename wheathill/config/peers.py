"""The `[peers]` table of an operator's file: the other proxies of the cluster, their zones, and the key they share."""

import os
import stat
from collections.abc import Iterator
from dataclasses import dataclass

from wheathill.config import Misconfigured, address

# Bytes of a shared key. The shortest is that of HMAC-SHA256 truncated to 16 bytes, as frames carry it; nobody means
# a longer one than the longest, which is more likely the wrong file.
SHORTEST_KEY, LONGEST_KEY = 16, 4096


@dataclass(frozen=True)
class ZoneSettings:
    """One zone of the fleet, stated alike to all its proxies.

    `quota` is the zone's fraction of every limit that holds for the whole fleet; `previous_quota` is its fraction by the
    layout before this one.
    """

    name: str
    region: str
    proxies: int
    seeds: tuple[str, ...]
    quota: float
    previous_quota: float


@dataclass(frozen=True)
class ZoneLayout:
    """All zones of the fleet, in the order of the operator's file."""

    version: int
    zones: tuple[ZoneSettings, ...]

    def zone(self, name: str) -> ZoneSettings:
        """Return the zone of that name, which must be one of the layout's."""
        return next(zone for zone in self.zones if zone.name == name)


@dataclass(frozen=True)
class PeerSettings:
    """What a proxy needs to take part in its cluster.

    Addresses are "HOST:PORT", but for `listen`, which is (host, port). `advertise_address` is where other members reach
    this one. Where `expected_members` is empty, `fleet.proxies` or the zone's `proxies` says how many there should be.
    `zone` and `layout` are None in a fleet without zones.
    """

    name: str
    cluster: str
    listen: tuple[str, int]
    advertise_address: str
    seeds: tuple[str, ...]
    shared_key: bytes
    expected_members: tuple[str, ...]
    control_socket_path: str | None
    probe_interval_ms: float
    probe_timeout_ms: float
    zone: str | None = None
    layout: ZoneLayout | None = None


def read_zone_layout(peers):
    """Parts that are not told go by the number of proxies."""
    if peers.zone is None:
        return None
    whole = sum(zone.proxies for zone in peers.zones)
    zones = []
    for zone in peers.zones:
        quota = zone.proxies / whole if zone.part is None else zone.part
        zones.append(
            ZoneSettings(
                name=zone.name,
                region=zone.region or zone.name,
                proxies=zone.proxies,
                seeds=tuple(zone.seeds),
                quota=quota,
                previous_quota=quota if zone.was is None else zone.was,
            )
        )
    return ZoneLayout(peers.layout, tuple(zones))


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


def read_peer_settings(file):
    """Raises Misconfigured where the key can't be used."""
    peers = file.peers
    layout = read_zone_layout(peers)
    seeds = peers.seeds or (layout.zone(peers.zone).seeds if layout else ())
    return PeerSettings(
        name=peers.name or file.name,
        cluster=peers.cluster,
        listen=address(peers.listen, "peers.listen"),
        advertise_address=peers.advertise or peers.listen,
        seeds=tuple(seeds),
        shared_key=read_key(peers.key_file),
        expected_members=tuple(peers.roster),
        control_socket_path=peers.control,
        probe_interval_ms=peers.period_ms,
        probe_timeout_ms=peers.patience_ms,
        zone=peers.zone,
        layout=layout,
    )


def read_key(path):
    """The file's bytes, but for white space at its end. Only its owner, who runs this, may read it."""
    try:
        with open(path, "rb") as source:
            state = os.fstat(source.fileno())
            key = source.read(LONGEST_KEY + 1).rstrip()
    except OSError as wrong:
        raise Misconfigured(f"peers.key_file: {wrong}") from None
    if state.st_uid != os.geteuid() or stat.S_IMODE(state.st_mode) & 0o077:
        raise Misconfigured(
            f"peers.key_file: {path} must be readable by its owner alone, who starts the proxy"
        )
    if not SHORTEST_KEY <= len(key) <= LONGEST_KEY:
        raise Misconfigured(
            f"peers.key_file: {path} holds {len(key)} bytes, expected {SHORTEST_KEY} to {LONGEST_KEY}"
        )
    return key
