"""Settings of the cluster, its zones and its shared key: the `[peers]` table."""

import os
import stat
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wheathill.config.addresses import parse_address
from wheathill.config.errors import ConfigurationError

# Not imported at run time: `peer_tables` requires msgspec, which users of the settings
# alone do not need.
if TYPE_CHECKING:
    from wheathill.config.peer_tables import Peers as PeersTable
    from wheathill.config.peer_tables import ZoneTable

# Bounds of the shared key's length. Frames carry 16 bytes of an HMAC-SHA256, which a
# shorter key would weaken. If the file is longer than the maximum, the path probably
# names the wrong file.
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 4096
# Tolerance for rounding errors in a sum of quotas, which must not exceed 1.
QUOTA_SUM_TOLERANCE = 1e-9


@dataclass(frozen=True)
class ZoneSettings:
    """One zone of the fleet, configured identically at all proxies.

    Attributes:
        name: the zone's name.
        region: the name of the zone's region.
        proxies: the expected number of proxies in the zone.
        seeds: the addresses through which proxies of the zone can be found.
        quota: the zone's fraction of every fleet-wide limit.
        previous_quota: the zone's quota in the previous layout.
    """

    name: str
    region: str
    proxies: int
    seeds: tuple[str, ...]
    quota: float
    previous_quota: float


@dataclass(frozen=True)
class ZoneLayout:
    """All zones of the fleet.

    Attributes:
        version: the version of the layout.
        zones: the zones, in the order of the operator's file.
    """

    version: int
    zones: tuple[ZoneSettings, ...]

    def zone(self, name: str) -> ZoneSettings:
        """Return the zone with that name, which must be in the layout."""
        return next(zone for zone in self.zones if zone.name == name)


@dataclass(frozen=True)
class PeerSettings:
    """The settings of a proxy as a member of its cluster.

    Addresses are "HOST:PORT", except for `listen`.

    Attributes:
        name: the proxy's name in the cluster.
        cluster: the cluster's name.
        listen: the (host, port) on which the proxy listens for other members.
        advertise_address: the address at which other members reach this one.
        seeds: the addresses through which members can be found.
        shared_key: the key that authenticates members of the cluster.
        expected_members: the names of all expected members. If it is empty,
            `fleet.proxies` or the zone's `proxies` is their expected number.
        control_socket_path: the path of the control socket, or None for no socket.
        probe_interval_ms: the interval between probes of other members.
        probe_timeout_ms: the timeout of a direct probe.
        zone: the name of this proxy's zone, or None in a fleet without zones.
        layout: all zones, or None in a fleet without zones.
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
    """Return the zone layout, or None if the fleet has no zones.

    A quota defaults to the zone's fraction of all proxies, and a previous quota to the
    current one.
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


def consistency_errors(
    table: "PeersTable", *, proxy_name: str, fleet_size: int
) -> Iterator[str]:
    """Yield a message for each value that is valid but inconsistent with others.

    Args:
        table: the `[peers]` table.
        proxy_name: the file's `name`.
        fleet_size: the file's `fleet.proxies`.
    """
    addresses = [
        ("peers.listen", table.listen),
        ("peers.advertise", table.advertise),
        *((f"peers.seeds[{index}]", seed) for index, seed in enumerate(table.seeds)),
    ]
    for key, text in addresses:
        if text is not None:
            yield from _address_errors(key, text)
    if table.patience_ms >= table.period_ms:
        yield "peers.patience_ms: must be less than peers.period_ms"
    name = table.name or proxy_name
    if table.roster and name not in table.roster:
        yield f"peers.roster: must include this instance, {name!r}"
    if len(dict.fromkeys(table.roster)) != len(table.roster):
        yield "peers.roster: contains a duplicate name"
    yield from _zone_layout_errors(table, fleet_size)


def _zone_layout_errors(table: "PeersTable", fleet_size: int) -> Iterator[str]:
    if table.zone is None:
        if table.zones:
            yield "peers.zone: is missing, but peers.zones is not empty"
        return
    names = [zone.name for zone in table.zones]
    if table.zone not in names:
        yield f"peers.zone: {table.zone!r} is not listed in peers.zones"
    if table.roster:
        yield (
            "peers.roster: cannot be combined with zones;"
            " peers.zones states the expected number of proxies"
        )
    for index in range(len(table.zones)):
        yield from _zone_errors(table.zones, index)
    yield from _quota_errors("part", [zone.part for zone in table.zones])
    yield from _quota_errors("was", [zone.was for zone in table.zones])
    expected = sum(zone.proxies for zone in table.zones)
    if not expected:
        yield "peers.zones: proxies is 0 in every zone"
    elif expected != fleet_size:
        yield (
            f"fleet.proxies: is {fleet_size},"
            f" but peers.zones has {expected} proxies in total"
        )


def _zone_errors(zones: "list[ZoneTable]", index: int) -> Iterator[str]:
    """Yield the errors of one zone, including duplication of an earlier one."""
    key, zone = f"peers.zones[{index}]", zones[index]
    first_index = [other.name for other in zones].index(zone.name)
    if first_index < index:
        yield f"{key}.name: {zone.name!r} is already used by peers.zones[{first_index}]"
    if not zone.seeds:
        yield f"{key}.seeds: is empty, so the zone cannot be found"
    for seed_index, seed in enumerate(zone.seeds):
        yield from _address_errors(f"{key}.seeds[{seed_index}]", seed)


def _quota_errors(key: str, quotas: list[float | None]) -> Iterator[str]:
    """Yield an error unless all or none are configured, with a sum of at most 1."""
    configured = [quota for quota in quotas if quota is not None]
    if len(configured) < len(quotas):
        if configured:
            yield f"peers.zones: {key} is set for some zones but not for others"
    elif sum(configured) > 1.0 + QUOTA_SUM_TOLERANCE:
        yield f"peers.zones: {key} sums to {sum(configured):g}, which exceeds 1"


def _address_errors(key: str, text: str) -> Iterator[str]:
    try:
        parse_address(text, key)
    except ConfigurationError as error:
        yield str(error)


def read_peer_settings(table: "PeersTable", *, proxy_name: str) -> PeerSettings:
    """Return the settings, including the shared key, which is read from its file.

    Args:
        table: the `[peers]` table.
        proxy_name: the file's `name`, which is the default for the name of the member.

    Raises:
        ConfigurationError: the key file cannot be read, or is invalid or insecure.
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
        shared_key=_read_shared_key(table.key_file),
        expected_members=tuple(table.roster),
        control_socket_path=table.control,
        probe_interval_ms=table.period_ms,
        probe_timeout_ms=table.patience_ms,
        zone=table.zone,
        layout=layout,
    )


def _read_shared_key(path: str) -> bytes:
    """Return the contents of the key file without trailing white space.

    Access must be limited to the user that runs the proxy, because anyone with the key
    is accepted as a member of the cluster.
    """
    try:
        with open(path, "rb") as source:
            file_status = os.fstat(source.fileno())
            key = source.read(MAX_KEY_BYTES + 1).rstrip()
    except OSError as error:
        raise ConfigurationError(f"peers.key_file: {error}") from None
    if file_status.st_uid != os.geteuid() or stat.S_IMODE(file_status.st_mode) & 0o077:
        raise ConfigurationError(
            f"peers.key_file: {path} must be owned by the user that starts the proxy,"
            " and accessible to no other user"
        )
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise ConfigurationError(
            f"peers.key_file: {path} holds {len(key)} bytes,"
            f" expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
        )
    return key
