"""When servers are probed for their load, and how many probes sessions pay for."""


class ProbeScheduler:
    """Sends probes: the asked ones, and within what sessions pay for a round over the fleet."""

    def __init__(self, actions, allowed, a_session, every, near_full):
        self.actions, self.allowed, self.a_session = actions, allowed, a_session
        self.every, self.near_full = every, near_full
        self.earned = 0.0

    def session(self, servers):
        # A probe has its price by the session and its work at the server: by the clock, all
        # proxies probing all servers would grow with the product of both.
        self.earned = min(self.earned + self.a_session, float(len(servers)))

    def send(self, now, server):
        if server.probe_sent_ms is None:
            server.probe_sent_ms = server.last_probe_ms = now
            self.earned -= 1.0
            self.actions.send_probe(server)

    def due(self, now, servers, figures):
        """Those near full first, then those not asked for longest."""
        if not self.allowed or self.earned < 1.0:
            return []
        near = {
            server: None
            for server, figure in figures.items()
            if figure > self.near_full
        }
        due = [
            server
            for server in servers
            if server.probe_sent_ms is None and now - server.last_probe_ms >= self.every
        ]
        return sorted(
            due, key=lambda server: (server not in near, server.last_probe_ms)
        )[: int(self.earned)]
