"""A fleet of zones in the virtual world, under scripted or random faults.

Each member is a proxy's peer service without sessions, on simulated datagrams and streams. The sum of the quotas is
checked from outside while the fleet runs.
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
QUOTA_CHECK_INTERVAL_MS = 100.0


class Member(Sessionless):
    """A proxy without sessions. `told`: (server, phase) -> when its peers first reported that phase."""

    def __init__(self, clock):
        super().__init__({}, 4.0)
        self.clock = clock
        self.told = {}

    def list(self, peers, name, draining, started):
        """Apply an entry of the proxy's own endpoint list."""
        server = self.servers.setdefault(name, Server(name))
        entry = peers.record_list_entry(
            name, Phase.DRAINING if draining else Phase.READY, started
        )
        server.started_ms = entry.process_start_ms
        server.listed_phase = entry.phase

    def on_peer_update(self, server, phase, process_start_ms):
        """Record a phase that peers have reported."""
        if server.listed_phase is not phase:
            server.listed_phase = phase
            self.told.setdefault((server.name, phase.value), self.clock.now())


class Fleet:
    """The members of all zones, on simulated hosts.

    `zones` is {zone: (region, number of members)}. A member is named ZONE-N; the first two of each zone are its seeds.
    `files` is the version of the layout in each member's configuration; `layouts` are by version. `lines` are the log
    events of all members. `largest_quota_sum` is the largest sum of quotas seen; `quota_overruns` has (when, sum) for
    each check where the sum exceeded one.
    """

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
        self.files = dict.fromkeys(self.zone_of, 1)
        self.hosts, self.peers, self.proxies, self.starts = {}, {}, {}, {}
        self.largest_quota_sum, self.quota_overruns = 0.0, []
        self.lines = []
        for name, zone in self.zone_of.items():
            host = self.hosts[name] = VirtualHost(self.net, name, zone)
            self.net.hosts_by_address[self.address(name)] = host
            self.ways.addresses[name] = self.address(name)
        if loss:
            self.lose(loss)

    def layout(self, version, parts=None, was=None):
        """Return a layout; `parts` and `was` are {zone: its quota}, by default in proportion to the members."""
        total = sum(count for _, count in self.zones.values())
        found = []
        for zone, (region, count) in self.zones.items():
            part = parts[zone] if parts else count / total
            seeds = tuple("%s:%d" % self.address(name) for name in self.names[zone][:2])
            found.append(
                ZoneSettings(
                    zone, region, count, seeds, part, was[zone] if was else part
                )
            )
        return ZoneLayout(version, tuple(found))

    @staticmethod
    def address(name):
        """Return a member's address."""
        return f"{name}.lab", PEERS_PORT

    def start(self, name):
        """Start a member's process."""
        zone = self.zone_of[name]
        layout = self.layouts[self.files[name]]
        listen = self.address(name)
        self.starts[name] = self.starts.get(name, 0) + 1
        host = self.hosts[name]
        host.begin()
        seeds = next(each.seeds for each in layout.zones if each.name == zone)
        settings = PeerSettings(
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
            settings,
            PeerEnvironment(
                proxy, VirtualCarrier(host, LIMITS, raise_fault), host.clock, log
            ),
            generation,
            len(self.zone_of),
        )
        host.clock.soon(peers.start)

    def start_all(self, within=1000.0):
        """Start all members at random times within so many ms."""
        for name in self.zone_of:
            self.clock.after(self.random.uniform(0.0, within), self.start, name)

    def kill(self, name):
        """Kill a member's process; its host refuses connections from then on."""
        self.hosts[name].kill()
        self.net.mail.pop(name, None)
        self.peers.pop(name, None)
        self.proxies.pop(name, None)

    def pairs(self, ones):
        """Return the links between some members and all others."""
        others = [name for name in self.zone_of if name not in ones]
        return self.ways.between(ones, others, one_way=False)

    def names_in_region(self, region):
        """Return the names of a region's members."""
        return [
            name for name, zone in self.zone_of.items() if self.zones[zone][0] == region
        ]

    def cut(self, ones, on=True):
        """Partition some members from all others, or end that."""
        self.ways.cut(self.pairs(dict.fromkeys(ones)), on)

    def lose(self, loss):
        """Set the share of datagrams that is lost on every link."""
        names = list(self.zone_of)
        self.ways.change(self.ways.between(names, names, one_way=True), {"loss": loss})

    def inject_random_faults(self, seconds, restarts=1.0, cuts=True):
        """Run for so many seconds with random faults, one second apart in the mean.

        Processes or all processes of a zone are killed, and restarted at once or some time later; regions, zones and
        parts of a zone are partitioned from all others for a while.
        """
        end = self.clock.now() + seconds * 1000
        rng = self.random
        regions = list(dict.fromkeys(region for region, _ in self.zones.values()))
        while self.clock.now() < end:
            self.run(rng.expovariate(1.0))
            fault = rng.random()
            if fault < 0.75:
                zone = rng.choice(list(self.zones))
                names = (
                    self.names[zone] if fault < 0.1 else rng.sample(self.names[zone], 1)
                )
                for name in names:
                    if name in self.peers:
                        self.kill(name)
                        self.clock.after(
                            rng.choice((50.0, 1500.0, 15_000.0))
                            * rng.uniform(0.5, 1.5)
                            / restarts,
                            self.start,
                            name,
                        )
            elif cuts:
                zone = rng.choice(list(self.zones))
                within = self.names[zone]
                names = rng.choice(
                    (
                        self.names_in_region(rng.choice(regions)),
                        within,
                        rng.sample(within, rng.randint(1, len(within))),
                    )
                )
                self.cut(names)
                self.clock.after(rng.uniform(500.0, 20_000.0), self.cut, names, False)

    # Running and observing

    def run(self, seconds):
        """Let simulated time pass, and check the quotas."""
        end = self.clock.now() + seconds * 1000
        while self.clock.now() < end:
            self.clock.run(min(end, self.clock.now() + QUOTA_CHECK_INTERVAL_MS))
            self.check_quotas()

    def check_quotas(self):
        """Record the sum of the quotas that the members apply."""
        total = sum(peers.applied_quota or 0.0 for peers in self.peers.values())
        self.largest_quota_sum = max(self.largest_quota_sum, total)
        if total > 1.0 + 1e-9:
            self.quota_overruns.append((self.clock.now(), total))

    def states(self, names=None):
        """Return how many members report each (zone state, region state, fleet state)."""
        found = {}
        for name in [name for name in names or self.peers if name in self.peers]:
            peers = self.peers[name]
            zone_state, directory = peers.zone_state(), peers.zone_directory
            state = (
                zone_state,
                directory.region_state(zone_state),
                directory.fleet_state(zone_state),
            )
            found[state] = found.get(state, 0) + 1
        return found

    def run_until(self, holds, most):
        """Run until `holds()`; return the seconds it took, None if it took more than `most`."""
        began = self.clock.now()
        while not holds():
            if self.clock.now() - began >= most * 1000:
                return None
            self.run(0.1)
        return (self.clock.now() - began) / 1000

    def has_converged(self):
        """Whether all members report that zone, region and fleet have converged."""
        return list(self.states()) == [("agreed", "agreed", "agreed")]

    def change(self, server, at, draining=True, started=0.0):
        """Change a server's phase in one member's list, and return when; the others list the server as ready."""
        for name, peers in self.peers.items():
            proxy = self.proxies[name]
            if name != at and server not in proxy.servers:
                proxy.list(peers, server, False, started)
            proxy.told.pop((server, "draining" if draining else "ready"), None)
        self.proxies[at].list(self.peers[at], server, draining, started)
        return self.clock.now()

    def propagation_times_s(self, server, since, names=None, draining=True):
        """Return after how many seconds each member was told of a change, without those that were not."""
        key = server, "draining" if draining else "ready"
        return [
            (proxy.told[key] - since) / 1000
            for name, proxy in self.proxies.items()
            if key in proxy.told and (names is None or name in names)
        ]

    def rates(self, seconds):
        """Return (bytes, datagrams) that each member sends per second, over the next seconds."""
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
