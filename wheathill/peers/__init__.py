"""The other proxies of one cluster: membership, and what follows from it.

Off unless an operator's file switches it on; nothing of it is imported before.
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
    """Return the service that `settings` ask for, with zones or without.

    `generation` is a number that no other process of this name has.
    `expected_proxies`: how many the configuration names, this one included. Raises
    OSError where a socket can't be opened.
    """
    if settings.layout is None:
        from wheathill.peers.peer_service import PeerService

        return PeerService(settings, environment, generation, expected_proxies)
    from wheathill.peers.zones.service import ZonedPeerService

    return ZonedPeerService(settings, environment, generation, expected_proxies)
