"""What a `PeerService` asks of a proxy and its decisions, and tells them, where there are no sessions."""


class Sessionless:
    """Its servers by name, and what a server bears of its connections, as it finds."""

    rights = None  # set by its peers

    def __init__(self, servers, borne):
        self.servers, self.borne = servers, borne
        self.balancer = self.cold = self.levels = self

    def on_fleet(self, now, share):
        pass

    def on_witnesses(self, now, failing, here):
        pass

    def told_by_peers(self, server, phase, born):
        pass
