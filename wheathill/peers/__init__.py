"""Talk among instances of one cluster: who is there, and frames between them. Off unless an operator's file
switches it on; nothing of it is imported before."""


def instance_of(told):
    """The class of the instance that a `config.peers.PeerSettings` asks for."""
    if told.layout is None:
        from wheathill.peers.instance import Peers

        return Peers
    from wheathill.peers.zoned import ZonedPeers

    return ZonedPeers
