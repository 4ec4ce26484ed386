"""The virtual world: simulated time, hosts and an in-memory network, behind the proxy's transport and clock interfaces.

Nothing in it reads the machine's clock, and all random draws come from the seed.
"""

import random

from wheathill.config.peers import PeerSettings, ZoneLayout, ZoneSettings
from wheathill.lab.worlds.beside import HeldSeat
from wheathill.lab.worlds.clock import EPOCH, VirtualClock
from wheathill.lab.worlds.host import raise_fault
from wheathill.lab.worlds.network import Links, Network, VirtualCarrier, VirtualHost
from wheathill.lab.worlds.outside import Outside, parts_of
from wheathill.lab.worlds.seat import Seat
from wheathill.net.proxy import Proxy
from wheathill.policy.balancer import Balancer

PEERS_PORT = 9700


class VirtualWorld(Outside):
    """Hosts on a simulated network and the proxies on them; provides a scene with clock, hosts and proxies."""

    name = "virtual"
    opening = 1000.0  # ms; clients connect from then on, when the proxies have started

    def __init__(self, seed, network, decisions=Balancer, proxy=Proxy):
        self.clock = VirtualClock()
        self.seed = seed
        self.net = Network(self.clock, random.Random(f"{seed}/network"), **network)
        self.ways = Links(
            self.net,
            random.Random(f"{seed}/relay"),
            network["same"] + network["hop"],
            network["jitter"],
        )
        self.decisions = decisions
        self.make_proxy = proxy
        self.seats = {}
        self.record = None  # the scene's
        self.spent = {}

    def wall(self):
        """Return the simulated wall clock as Unix time in ms."""
        return EPOCH + self.clock.time

    def host(self, name, zone, limits, peers=None):
        """Create a host on the network."""
        host = VirtualHost(self.net, name, zone)
        host.carrier = VirtualCarrier(host, limits, raise_fault)
        self.net.hosts_by_address[host.where] = host
        return host

    @staticmethod
    def proxy_address(name):
        """Return the address of a proxy by name."""
        return f"{name}.lab:9000"

    def proxy(self, name, zone, values, log, held=False, told=None, odd=None):
        """Create the place of a proxy, which is not started yet."""
        seat = self.seats[name] = (HeldSeat if held else Seat)(
            self, name, zone, values, log
        )
        seat.told, seat.odd = told, odd
        if told:
            self.net.links = self.ways
            self.ways.addresses[name] = told.listen
        return seat

    def peers_told(self, name, zone_of, proxies, odd):
        """Return the peer settings of an instance; `zone_of` maps the names of all instances to zones."""
        names = list(zone_of)
        listen = f"{name}.lab", PEERS_PORT
        layout = None
        if proxies.zoned:
            layout = ZoneLayout(
                1,
                tuple(
                    ZoneSettings(
                        zone,
                        zone,
                        len(within),
                        tuple(
                            f"{other}.lab:{PEERS_PORT}"
                            for other in within[: proxies.seeds]
                        ),
                        len(within) / len(names),
                        len(within) / len(names),
                    )
                    for zone, within in parts_of(names, zone_of)
                ),
            )
            names = [other for other in names if zone_of[other] == zone_of[name]]
        return PeerSettings(
            name=odd and odd.claims or name,
            cluster=odd and odd.cluster or "lab",
            listen=listen,
            advertise_address="%s:%d" % listen,
            shared_key=b"another key" if odd and odd.key else b"the lab's own key",
            seeds=tuple(
                f"{other}.lab:{PEERS_PORT}" for other in names[: proxies.seeds]
            ),
            expected_members=tuple(names) if proxies.roster else (),
            control_socket_path=None,
            probe_interval_ms=proxies.period_ms,
            probe_timeout_ms=proxies.patience_ms,
            zone=zone_of[name] if layout else None,
            layout=layout,
        )

    def slack(self, script):
        """Return the longest round trip in ms, with jitter that is rarely exceeded."""
        net = script.network
        # A path that a script degrades delays what was sent in time; a lossy one by up to three losses in a row.
        worse = max(
            (
                2 * event.wait_ms + 7 * self.net.RESEND * (event.share > 0)
                for event in script.event
                if event.do == "way"
            ),
            default=0.0,
        )
        return (
            5.0
            + 2 * max(net.same_ms, net.cross_ms, net.client_ms) * (1 + 8 * net.jitter)
            + worse
        )

    def cut(self, one, other, both):
        """Cut the path between two hosts."""
        self.net.cut(one, other, both)

    def mend(self, one, other):
        """Restore the path between two hosts."""
        self.net.mend(one, other)

    def worse(self, one, other, wait, lost):
        """Degrade a path; returns a function that restores it."""
        way = one, other, wait, lost
        self.net.ways.append(way)
        return lambda: self.net.ways.remove(way)

    def settle(self):
        """Wait until the proxies have started."""
        pass  # a proxy has started as soon as it exists

    def run(self, seconds):
        """Run the world for a simulated time in seconds."""
        if self.net.links is not None:
            self.watch()
        self.clock.run(seconds * 1000)
        if self.net.links is not None:
            lasting = [
                name
                for name, seat in self.seats.items()
                if seat.running and seat.starts == 1
            ]
            self.spent = {"datagrams_s": self.datagrams_s(lasting, seconds)}

    def sample(self):
        """Sample the resources of the processes."""
        pass  # there is no process whose resources could be sampled

    def close(self):
        """Release the resources of the world."""
        pass
