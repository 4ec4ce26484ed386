"""The complete configuration of one proxy, with all defaults applied."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from wheathill.config.limits import ProxyLimits
from wheathill.model import Listener
from wheathill.policy.settings import PolicySettings

# Not imported at run time, so that a proxy without peers does not load it.
if TYPE_CHECKING:
    from wheathill.config.peers import PeerSettings

# Length of the digest that distinguishes the files of different proxies, in bytes.
FILE_TAG_BYTES = 4


@dataclass(frozen=True)
class NodeConfig:
    """The configuration of one proxy.

    Addresses are (host, port).

    Attributes:
        name: the proxy's name, used in its log and file names.
        listen_address: the address that clients connect to.
        listen_fd: the inherited file descriptor of the socket that listens for clients,
            or None if the proxy binds its own.
        admin_address: the address of the admin endpoint, or None if there is none.
        state_directory: a directory that persists across restarts, or None if the
            servers in maintenance are not stored.
        discovery_address: the address of the discovery service, whose endpoint list is
            watched, or None if `initial_endpoints` is the complete list.
        seed: the seed of all random numbers.
        limits: resource limits and timeouts.
        initial_endpoints: the endpoint list that is known at startup, in the format of
            the discovery service.
        listeners: the classes of sessions.
        tenants: the names of the tenants, by index.
        zones: the names of the zones, by index.
        uses_groups: whether sessions of one group are sent to the same server.
        migrates_at_shutdown: whether a shutdown migrates sessions to other proxies.
        report_fields: the names of the values in load reports, in order.
        policy: the balancer's settings.
        raw_config: the configuration as it was read, without `known`.
        peers: the settings of the proxy's cluster, or None if it is not in a cluster.
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
        """The proxy's id in file names, as proxies may share a `state_directory`."""
        identity = f"{self.name} {self.listen_address}"
        return hashlib.blake2b(
            identity.encode(), digest_size=FILE_TAG_BYTES
        ).hexdigest()
