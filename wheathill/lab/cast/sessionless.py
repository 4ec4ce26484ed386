"""What a `PeerService` asks of a proxy and its decisions, and tells them, where there are no sessions."""


class Sessionless:
    """Its servers by name, and what a server bears of its connections, as it finds."""

    external_permits = None  # set by its peers

    def __init__(self, servers, borne):
        self.servers, self.warm_up_capacity_estimate = servers, borne
        self.balancer = self.slow_start = self.load_estimator = self

    def on_quota_changed(self, now, share):
        pass

    def on_peer_health_reports(self, now, failing, here):
        pass

    def on_peer_update(self, server, phase, born):
        pass
