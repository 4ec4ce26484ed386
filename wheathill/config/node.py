"""The configuration of one proxy, with all defaults filled in."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from wheathill.config.limits import ProxyLimits
from wheathill.model import Listener
from wheathill.policy.settings import PolicySettings

# A proxy that has no peers imports nothing for them.
if TYPE_CHECKING:
    from wheathill.config.peers import PeerSettings

# Bytes of the digest in the names of a proxy's files.
FILE_TAG_BYTES = 4


@dataclass(frozen=True)
class NodeConfig:
    """What one proxy is configured with at its start.

    Addresses are (host, port).

    Attributes:
        name: the proxy's name, in its log and its files.
        listen_address: where clients connect.
        listen_fd: the inherited descriptor of the clients' socket; None where the proxy
            binds it.
        admin_address: where operators call; None where there is no such endpoint.
        state_directory: a directory that outlives the process; None where servers in
            maintenance are not kept.
        discovery_address: where the endpoint list is watched; None where
            `initial_endpoints` is the whole list.
        seed: of all chance.
        limits: sizes, counts and times.
        initial_endpoints: the endpoint list that is known at the start, in the form in
            which discovery gives it.
        listeners: the classes of sessions.
        tenants: the names of the tenants, by index.
        zones: the names of the zones, by index.
        uses_groups: whether sessions of one group go to one server.
        migrates_at_shutdown: whether sessions are sent to other proxies at the end.
        report_fields: the names of what servers report.
        policy: the balancer's settings.
        raw_config: the configuration as it was read, without `known`.
        peers: the cluster of proxies; None where it knows no other instance.
    """

    name: str
    listen_address: tuple[str, int]
    listen_fd: int | None
    admin_address: tuple[str, int] | None
    state_directory: str | None
    discovery_address: tuple[str, int] | None
    seed: str
    limits: ProxyLimits
    initial_endpoints: dict[str, Any]
    listeners: Sequence[Listener]
    tenants: Sequence[str]
    zones: Sequence[str]
    uses_groups: bool
    migrates_at_shutdown: bool
    report_fields: Sequence[str]
    policy: PolicySettings
    raw_config: dict[str, Any]
    peers: "PeerSettings | None" = None

    @property
    def file_tag(self) -> str:
        """The mark of its files in `state_directory`, which proxies may share."""
        identity = f"{self.name} {self.listen_address}"
        return hashlib.blake2b(
            identity.encode(), digest_size=FILE_TAG_BYTES
        ).hexdigest()
