"""The `[peers]` table of an operator's file: the cluster, its zones, the shared key."""

import os
import stat
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wheathill.config.addresses import parse_address
from wheathill.config.errors import ConfigurationError

# The tables need msgspec, which a reader of settings alone does without.
if TYPE_CHECKING:
    from wheathill.config.peer_tables import Peers as PeersTable
    from wheathill.config.peer_tables import ZoneTable

# Bytes of a shared key. Frames carry 16 bytes of HMAC-SHA256, which a shorter key would
# weaken; past the longest the path is more likely that of the wrong file.
SHORTEST_KEY, LONGEST_KEY = 16, 4096
QUOTA_ROUNDING = 1e-9  # how far a sum of quotas may pass 1 by the rounding of floats


@dataclass(frozen=True)
class ZoneSettings:
    """One zone of the fleet, stated alike to all its proxies.

    `quota` is the zone's fraction of every limit that holds for the whole fleet;
    `previous_quota` is its fraction by the layout before this one.
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

    Addresses are "HOST:PORT", but for `listen`, which is (host, port). Other members
    reach this one at `advertise_address`. Where `expected_members` is empty,
    `fleet.proxies` or the zone's `proxies` says how many there should be. `zone` and
    `layout` are None in a fleet without zones.
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


def read_zone_layout(table: "PeersTable") -> ZoneLayout | None:
    """Return the layout of the zones, or None where the file names no zone.

    A quota that is left out is the fraction of all proxies that are in the zone; a
    previous one that is left out is the same as the present one.
    """
    if table.zone is None:
        return None
    fleet_size = sum(zone.proxies for zone in table.zones)
    zones = []
    for zone in table.zones:
        quota = zone.proxies / fleet_size if zone.part is None else zone.part
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
    return ZoneLayout(table.layout, tuple(zones))


def contradictions(
    table: "PeersTable", *, proxy_name: str, fleet_size: int
) -> Iterator[str]:
    """Yield a message for each value that is valid by itself but not beside the others.

    `proxy_name` and `fleet_size` are the file's `name` and `fleet.proxies`.
    """
    addresses = [
        ("peers.listen", table.listen),
        ("peers.advertise", table.advertise),
        *((f"peers.seeds[{index}]", seed) for index, seed in enumerate(table.seeds)),
    ]
    for key, text in addresses:
        if text is not None:
            yield from _address_faults(key, text)
    if table.patience_ms >= table.period_ms:
        yield "peers.patience_ms: is not under peers.period_ms"
    name = table.name or proxy_name
    if table.roster and name not in table.roster:
        yield f"peers.roster: {name!r}, this instance, is not one of them"
    if len(dict.fromkeys(table.roster)) != len(table.roster):
        yield "peers.roster: a name stands twice"
    yield from _zone_contradictions(table, fleet_size)


def _zone_contradictions(table: "PeersTable", fleet_size: int) -> Iterator[str]:
    if table.zone is None:
        if table.zones:
            yield "peers.zone: is missing, as peers.zones names some"
        return
    names = [zone.name for zone in table.zones]
    if table.zone not in names:
        yield f"peers.zone: {table.zone!r} is none of peers.zones"
    if table.roster:
        yield (
            "peers.roster: is for a fleet without zones;"
            " peers.zones says how many are meant to be there"
        )
    for index in range(len(table.zones)):
        yield from _faults_of_zone(table.zones, index)
    yield from _quota_faults("part", [zone.part for zone in table.zones])
    yield from _quota_faults("was", [zone.was for zone in table.zones])
    expected = sum(zone.proxies for zone in table.zones)
    if not expected:
        yield "peers.zones: proxies is 0 in all of them"
    elif expected != fleet_size:
        yield (
            f"fleet.proxies: is {fleet_size},"
            f" and the proxies of peers.zones are {expected}"
        )


def _faults_of_zone(zones: "list[ZoneTable]", index: int) -> Iterator[str]:
    """Yield what is wrong with one entry of `peers.zones`, given those before it."""
    key, zone = f"peers.zones[{index}]", zones[index]
    first_index = [other.name for other in zones].index(zone.name)
    if first_index < index:
        yield f"{key}.name: {zone.name!r} stands at peers.zones[{first_index}] already"
    if not zone.seeds:
        yield f"{key}.seeds: is empty, so that the zone can't be found"
    for seed_index, seed in enumerate(zone.seeds):
        yield from _address_faults(f"{key}.seeds[{seed_index}]", seed)


def _quota_faults(key: str, quotas: list[float | None]) -> Iterator[str]:
    """Yield what is wrong with quotas: all or none are stated, and sum to 1 at most."""
    stated = [quota for quota in quotas if quota is not None]
    if len(stated) < len(quotas):
        if stated:
            yield f"peers.zones: {key} is told of some zones and not of others"
    elif sum(stated) > 1.0 + QUOTA_ROUNDING:
        yield f"peers.zones: {key} sums to {sum(stated):g}, which is over 1"


def _address_faults(key: str, text: str) -> Iterator[str]:
    try:
        parse_address(text, key)
    except ConfigurationError as error:
        yield str(error)


def read_peer_settings(table: "PeersTable", *, proxy_name: str) -> PeerSettings:
    """Return the settings, with the shared key read from its file.

    Raises:
        ConfigurationError: The key can't be used.
    """
    layout = read_zone_layout(table)
    seeds: Sequence[str] = table.seeds
    if not seeds and layout is not None and table.zone is not None:
        seeds = layout.zone(table.zone).seeds
    return PeerSettings(
        name=table.name or proxy_name,
        cluster=table.cluster,
        listen=parse_address(table.listen, "peers.listen"),
        advertise_address=table.advertise or table.listen,
        seeds=tuple(seeds),
        shared_key=_read_key(table.key_file),
        expected_members=tuple(table.roster),
        control_socket_path=table.control,
        probe_interval_ms=table.period_ms,
        probe_timeout_ms=table.patience_ms,
        zone=table.zone,
        layout=layout,
    )


def _read_key(path: str) -> bytes:
    """Return the file's bytes without white space at their end.

    Only its owner, who runs the proxy, may have access: whoever has the key counts as
    a member of the cluster.
    """
    try:
        with open(path, "rb") as source:
            state = os.fstat(source.fileno())
            key = source.read(LONGEST_KEY + 1).rstrip()
    except OSError as error:
        raise ConfigurationError(f"peers.key_file: {error}") from None
    if state.st_uid != os.geteuid() or stat.S_IMODE(state.st_mode) & 0o077:
        raise ConfigurationError(
            f"peers.key_file: {path} must be readable by its owner alone,"
            " who starts the proxy"
        )
    if not SHORTEST_KEY <= len(key) <= LONGEST_KEY:
        raise ConfigurationError(
            f"peers.key_file: {path} holds {len(key)} bytes,"
            f" expected {SHORTEST_KEY} to {LONGEST_KEY}"
        )
    return key
