"""Stand-in for the proxy that a `PeerService` belongs to, for runs without sessions."""


class Sessionless:
    """Stand-in for a proxy, its balancer, slow start and load estimator.

    It has the attributes that a `PeerService` reads and ignores what it is told;
    subclasses override the callbacks that they need.

    Attributes:
        servers: the servers by name.
        warm_up_capacity_estimate: the capacity estimate for slow start.
        external_permits: set by the peer service; see `SlowStart.external_permits`.
    """

    external_permits = None

    def __init__(self, servers, warm_up_capacity_estimate):
        self.servers, self.warm_up_capacity_estimate = (
            servers,
            warm_up_capacity_estimate,
        )
        self.balancer = self.slow_start = self.load_estimator = self

    def on_quota_changed(self, now, quota):
        """Ignore a new quota."""

    def on_peer_health_reports(self, now, failing, here):
        """Ignore what the peers report about the health of servers."""

    def on_peer_update(self, server, phase, born):
        """Ignore a phase of a server that was learned from a peer."""
