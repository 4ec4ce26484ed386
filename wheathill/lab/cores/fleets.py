"""A fleet of zones in the virtual world: the control part of each proxy, without sessions, on simulated datagrams and
streams, under scripted or random faults. What must hold is looked at from outside while it runs.
"""

import random

from wheathill.config.limits import ProxyLimits
from wheathill.config.peers import PeerSettings, ZoneLayout, ZoneSettings
from wheathill.lab.cast.sessionless import Sessionless
from wheathill.lab.worlds.host import raise_fault
from wheathill.lab.worlds.network import VirtualCarrier, VirtualHost
from wheathill.lab.worlds.virtual import PEERS_PORT, VirtualWorld
from wheathill.model import Phase, Server
from wheathill.peers import PeerEnvironment, create_peer_service

LIMITS = ProxyLimits(
    max_sockets=1000,
    connect_timeout_ms=100.0,
    max_dial_timeout_ms=1000.0,
    probe_idle_timeout_ms=1000.0,
)
NETWORK = {"same": 1.0, "cross": 5.0, "client": 1.0, "jitter": 0.2, "hop": 0.0}
LOOK = 100.0  # ms between two looks at the shares


class Member(Sessionless):
    """`told`: (server, phase) -> when its peers told it so, first."""

    def __init__(self, clock):
        super().__init__({}, 4.0)
        self.clock = clock
        self.told = {}

    def list(self, peers, name, draining, started):
        """Its own list says so."""
        server = self.servers.setdefault(name, Server(name))
        entry = peers.record_list_entry(
            name, Phase.DRAINING if draining else Phase.READY, started
        )
        server.started_ms = entry.process_start_ms
        server.listed_phase = entry.phase

    def on_peer_update(self, server, phase, born):
        if server.listed_phase is not phase:
            server.listed_phase = phase
            self.told.setdefault((server.name, phase.value), self.clock.now())


class Fleet:
    """`zones`: {zone: (region, how many)}. A member is named ZONE-N; the first two of each zone are its seeds."""

    def __init__(
        self,
        zones,
        seed=1,
        loss=0.0,
        period=1000.0,
        parts=None,
        versions=None,
        held=None,
    ):
        self.world = VirtualWorld(seed, NETWORK)
        self.world.net.links = self.world.ways
        self.clock, self.net, self.ways = (
            self.world.clock,
            self.world.net,
            self.world.ways,
        )
        self.random = random.Random(f"{seed}/faults")
        self.seed, self.period, self.loss = seed, period, loss
        self.zones = zones
        self.names = {
            zone: [f"{zone}-{number}" for number in range(count)]
            for zone, (_, count) in zones.items()
        }
        self.zone_of = {
            name: zone for zone, names in self.names.items() for name in names
        }
        self.layouts = {1: self.layout(1)}
        self.files = dict.fromkeys(
            self.zone_of, 1
        )  # name -> version of the layout in its file
        self.hosts, self.peers, self.proxies, self.starts = {}, {}, {}, {}
        self.largest, self.over = (
            0.0,
            [],
        )  # the largest sum of shares; (when, sum) where it passed the whole
        self.lines = []
        for name, zone in self.zone_of.items():
            host = self.hosts[name] = VirtualHost(self.net, name, zone)
            self.net.hosts_by_address[self.address(name)] = host
            self.ways.addresses[name] = self.address(name)
        if loss:
            self.lose(loss)

    def layout(self, version, parts=None, was=None):
        """`parts`, `was`: {zone: its part}; by the number of members where left out."""
        whole = sum(count for _, count in self.zones.values())
        found = []
        for zone, (region, count) in self.zones.items():
            part = parts[zone] if parts else count / whole
            seeds = tuple("%s:%d" % self.address(name) for name in self.names[zone][:2])
            found.append(
                ZoneSettings(
                    zone, region, count, seeds, part, was[zone] if was else part
                )
            )
        return ZoneLayout(version, tuple(found))

    @staticmethod
    def address(name):
        return f"{name}.lab", PEERS_PORT

    def start(self, name):
        zone = self.zone_of[name]
        layout = self.layouts[self.files[name]]
        listen = self.address(name)
        self.starts[name] = self.starts.get(name, 0) + 1
        host = self.hosts[name]
        host.begin()
        seeds = next(each.seeds for each in layout.zones if each.name == zone)
        told = PeerSettings(
            name=name,
            cluster="lab",
            listen=listen,
            advertise_address="%s:%d" % listen,
            seeds=seeds,
            shared_key=b"the lab's own",
            expected_members=(),
            control_socket_path=None,
            probe_interval_ms=self.period,
            probe_timeout_ms=0.3 * self.period,
            zone=zone,
            layout=layout,
        )
        proxy = self.proxies[name] = Member(host.clock)
        generation = (
            random.Random(f"{self.seed}/{name}/{self.starts[name]}").getrandbits(48) | 1
        )

        def log(event, **fields):
            self.lines.append((self.clock.now(), name, event, fields))

        peers = self.peers[name] = create_peer_service(
            told,
            PeerEnvironment(
                proxy, VirtualCarrier(host, LIMITS, raise_fault), host.clock, log
            ),
            generation,
            len(self.zone_of),
        )
        host.clock.soon(peers.start)

    def start_all(self, within=1000.0):
        for name in self.zone_of:
            self.clock.after(self.random.uniform(0.0, within), self.start, name)

    def kill(self, name):
        """Its machine says that the process is gone: connections to it are refused."""
        self.hosts[name].kill()
        self.net.mail.pop(name, None)
        self.peers.pop(name, None)
        self.proxies.pop(name, None)

    def pairs(self, ones):
        others = [name for name in self.zone_of if name not in ones]
        return self.ways.between(ones, others, one_way=False)

    def of_region(self, region):
        return [
            name for name, zone in self.zone_of.items() if self.zones[zone][0] == region
        ]

    def cut(self, ones, on=True):
        self.ways.cut(self.pairs(dict.fromkeys(ones)), on)

    def lose(self, loss):
        names = list(self.zone_of)
        self.ways.change(self.ways.between(names, names, one_way=True), {"loss": loss})

    def trouble(self, seconds, restarts=1.0, cuts=True):
        """Random faults, a second apart in the mean: processes that are killed and come back, some at once and some a while
        later, whole zones among them; regions and parts of a zone that are cut off for a while."""
        end = self.clock.now() + seconds * 1000
        chance = self.random
        regions = list(dict.fromkeys(region for region, _ in self.zones.values()))
        while self.clock.now() < end:
            self.run(chance.expovariate(1.0))
            what = chance.random()
            if what < 0.75:
                zone = chance.choice(list(self.zones))
                names = (
                    self.names[zone]
                    if what < 0.1
                    else chance.sample(self.names[zone], 1)
                )
                for name in names:
                    if name in self.peers:
                        self.kill(name)
                        self.clock.after(
                            chance.choice((50.0, 1500.0, 15_000.0))
                            * chance.uniform(0.5, 1.5)
                            / restarts,
                            self.start,
                            name,
                        )
            elif cuts:
                zone = chance.choice(list(self.zones))
                within = self.names[zone]
                names = chance.choice(
                    (
                        self.of_region(chance.choice(regions)),
                        within,
                        chance.sample(within, chance.randint(1, len(within))),
                    )
                )
                self.cut(names)
                self.clock.after(
                    chance.uniform(500.0, 20_000.0), self.cut, names, False
                )

    # Running and looking

    def run(self, seconds):
        end = self.clock.now() + seconds * 1000
        while self.clock.now() < end:
            self.clock.run(min(end, self.clock.now() + LOOK))
            self.look()

    def look(self):
        total = sum(peers.applied_quota or 0.0 for peers in self.peers.values())
        self.largest = max(self.largest, total)
        if total > 1.0 + 1e-9:
            self.over.append((self.clock.now(), total))

    def states(self, names=None):
        found = {}
        for name in [name for name in names or self.peers if name in self.peers]:
            peers = self.peers[name]
            mine, directory = peers.zone_state(), peers.zone_directory
            state = mine, directory.region_state(mine), directory.fleet_state(mine)
            found[state] = found.get(state, 0) + 1
        return found

    def until(self, holds, most):
        """Seconds until `holds()`, None where that takes longer than `most`."""
        began = self.clock.now()
        while not holds():
            if self.clock.now() - began >= most * 1000:
                return None
            self.run(0.1)
        return (self.clock.now() - began) / 1000

    def all_agree(self):
        return list(self.states()) == [("agreed", "agreed", "agreed")]

    def change(self, server, at, draining=True, started=0.0):
        """A drain is told to one, as by its list; all others know the server as ready."""
        for name, peers in self.peers.items():
            proxy = self.proxies[name]
            if name != at and server not in proxy.servers:
                proxy.list(peers, server, False, started)
            proxy.told.pop((server, "draining" if draining else "ready"), None)
        self.proxies[at].list(self.peers[at], server, draining, started)
        return self.clock.now()

    def in_force(self, server, since, names=None, draining=True):
        """Seconds after `since`, of each that was told; who was not is missing."""
        what = server, "draining" if draining else "ready"
        return [
            (proxy.told[what] - since) / 1000
            for name, proxy in self.proxies.items()
            if what in proxy.told and (names is None or name in names)
        ]

    def rates(self, seconds):
        """Bytes and messages sent a second, of each, over the next seconds."""
        before = {
            name: (
                peers.transport.metrics.bytes_sent,
                peers.transport.metrics.datagrams_sent,
            )
            for name, peers in self.peers.items()
        }
        self.run(seconds)
        return {
            name: tuple(
                (new - old) / seconds
                for new, old in zip(
                    (
                        peers.transport.metrics.bytes_sent,
                        peers.transport.metrics.datagrams_sent,
                    ),
                    before[name],
                )
            )
            for name, peers in self.peers.items()
            if name in before
        }
