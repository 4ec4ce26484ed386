"""The virtual world: simulated time, hosts and a network in memory, with the carrier and the clock that the
proxy knows. Nothing in it reads the machine's clock; all chance comes from the seed."""

import random

from wheathill.lab.worlds.beside import HeldSeat
from wheathill.lab.worlds.clock import EPOCH, VirtualClock
from wheathill.lab.worlds.host import raise_fault
from wheathill.lab.worlds.network import Network, VirtualCarrier, VirtualHost
from wheathill.lab.worlds.seat import Seat
from wheathill.net.proxy import Proxy
from wheathill.policy import Balancer


class VirtualWorld:
    """Hosts on one network, and the proxies on them. Gives the scene its clock, hosts and proxies."""

    name = "virtual"
    opening = 1000.0         # clients come from then on: the proxies have started

    def __init__(self, seed, network, decisions=Balancer, proxy=Proxy):
        self.clock = VirtualClock()
        self.net = Network(self.clock, random.Random(f"{seed}/network"), **network)
        self.decisions = decisions
        self.make_proxy = proxy

    def wall(self):
        return EPOCH + self.clock.time

    def host(self, name, zone, limits, peers=None):
        host = VirtualHost(self.net, name, zone)
        host.carrier = VirtualCarrier(host, limits, raise_fault)
        self.net.hosts_by_address[host.where] = host
        return host

    @staticmethod
    def proxy_address(name):
        return f"{name}.lab:9000"

    def proxy(self, name, zone, values, log, held=False):
        return (HeldSeat if held else Seat)(self, name, zone, values, log)

    def slack(self, script):
        """One way and back between the farthest, and the jitter that is seldom passed."""
        net = script.network
        # A way that a script makes worse delays what was sent in time: three losses in a row, if it loses.
        worse = max((2 * event.wait_ms + 7 * self.net.RESEND * (event.share > 0)
                     for event in script.event if event.do == "way"), default=0.0)
        return 5.0 + 2 * max(net.same_ms, net.cross_ms, net.client_ms) * (1 + 8 * net.jitter) + worse

    def cut(self, one, other, both):
        self.net.cut(one, other, both)

    def mend(self, one, other):
        self.net.mend(one, other)

    def worse(self, one, other, wait, lost):
        way = one, other, wait, lost
        self.net.ways.append(way)
        return lambda: self.net.ways.remove(way)

    def run(self, seconds):
        self.clock.run(seconds * 1000)

    def sample(self):
        pass        # what a process holds can't be seen here: it is no process

    def close(self):
        pass
