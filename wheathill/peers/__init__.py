"""Coordination between the proxies of one cluster, built on membership.

Disabled unless the operator's configuration file enables it; the service modules are
imported only then.
"""

from typing import TYPE_CHECKING

from wheathill.config.peers import PeerSettings
from wheathill.peers.environment import PeerEnvironment

if TYPE_CHECKING:
    from wheathill.peers.peer_service import PeerService


def create_peer_service(
    settings: PeerSettings,
    environment: PeerEnvironment,
    generation: int,
    expected_proxies: int,
) -> "PeerService":
    """Return the peer service for `settings`, with or without zones.

    Args:
        settings: the checked `[peers]` settings.
        environment: the proxy, sockets, clock and log that the service uses.
        generation: a number that no other process of this name uses.
        expected_proxies: how many proxies the configuration expects, including this
            one.

    Raises:
        OSError: A socket can't be opened.
    """
    if settings.layout is None:
        from wheathill.peers.peer_service import PeerService

        return PeerService(settings, environment, generation, expected_proxies)
    from wheathill.peers.zones.service import ZonedPeerService

    return ZonedPeerService(settings, environment, generation, expected_proxies)
