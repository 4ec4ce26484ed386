"""Instances that watch one another, in the virtual world: the real membership on simulated datagrams.

Measures how long it takes until a death is known, who is taken for dead without being so, and what it costs.
"""

import random
from dataclasses import replace
from statistics import median

from wheathill.config import Limits
from wheathill.lab.cores.ways import Faults, VirtualPeers
from wheathill.lab.worlds.virtual import VirtualWorld
from wheathill.peers.membership import (
    FallbackProbe,
    Member,
    Membership,
    MembershipConfig,
    MemberState,
    Message,
    ProbeResult,
    Timer,
    decode_message,
    encode_message,
)

# Of any instance: name, address and generation are replaced by its own.
DEFAULT_CONFIG = MembershipConfig(
    name="",
    address="",
    generation=0,
    probe_interval_ms=1000.0,
    probe_timeout_ms=300.0,
    indirect_checks=3,
    retention_ms=60_000.0,
    sync_interval_ms=10_000.0,
)
LIMITS = Limits(sockets=100, connect=100.0, longest_dial=1000.0, idle=1000.0)


class Instance:
    """One process on one host: what a membership asks for, carried out in simulated time."""

    def __init__(self, cluster, host, number, start):
        self.cluster, self.host = cluster, host
        self.clock = host.clock
        self.end = cluster.peers.endpoint(host, self.received)
        rng = random.Random(f"{cluster.seed}/{host.name}/{start}")
        self.membership = Membership(
            self,
            rng,
            replace(
                cluster.config,
                name=cluster.claims.get(host.name, host.name),
                address=host.name,
                generation=rng.getrandbits(48),
            ),
        )
        self.sent = self.fallback_probes = 0

    def received(self, data, came_from):
        self.membership.on_message(
            self.clock.now(), came_from, decode_message(self.cluster.decode(data))
        )

    def send(self, address: str | None, message: Message) -> None:
        self.sent += 1
        self.end.send(address, self.cluster.encode(encode_message(message)))

    def start_fallback_probe(self, probe: FallbackProbe) -> None:
        self.fallback_probes += 1
        self.cluster.peers.knock(
            self.host,
            probe.address,
            probe.timeout_ms,
            lambda result: self.membership.on_fallback_probe_result(
                self.clock.now(), probe, ProbeResult(result)
            ),
        )

    def set_timer(self, at_ms: float, timer: Timer) -> None:
        self.clock.at(at_ms, self.on_timer, timer)

    def on_timer(self, timer: Timer) -> None:
        self.membership.on_timer(self.clock.now(), timer)

    def member_changed(
        self, member: Member, previous_state: MemberState | None
    ) -> None:
        self.cluster.changed(self, member)

    def log(self, text: str) -> None:
        self.cluster.lines.append(f"{self.clock.now():9.0f} {self.host.name} {text}")


class Cluster:
    """`count` instances, the first of which is everybody's seed. `claims`: host -> another name than its
    own."""

    def __init__(
        self, count, seed=1, delay=1.0, jitter=0.5, claims=None, faults=None, **settings
    ):
        import msgspec

        self.encode, self.decode = msgspec.msgpack.encode, msgspec.msgpack.decode
        self.seed = seed
        self.config = replace(DEFAULT_CONFIG, **settings)
        self.claims = claims or {}
        self.world = VirtualWorld(
            seed, {"same": 1.0, "cross": 1.0, "client": 1.0, "jitter": 0.0, "hop": 0.0}
        )
        self.clock = self.world.clock
        self.faults = Faults(
            random.Random(f"{seed}/faults"), delay, jitter, **(faults or {})
        )
        self.peers = VirtualPeers(self.clock, self.faults)
        self.lines = []
        self.instances = {}
        self.starts = {}
        self.dead = {}  # host -> since when it is really gone
        self.paused = {}  # who stands still, and is no death
        self.found = {}  # host -> {instance: when it had it as dead}
        self.false = []  # (when, who, about whom): taken for dead without being so
        self.suspected = 0  # the same, suspected only
        names = [f"i{number:03d}" for number in range(count)]
        self.hosts = {name: self.world.host(name, "east", LIMITS) for name in names}
        for name in names:
            self.start(name)

    def start(self, name):
        host = self.hosts[name]
        if not host.alive:
            host.begin()
        self.dead.pop(name, None)
        self.found.pop(name, None)
        number = self.starts[name] = self.starts.get(name, 0) + 1
        instance = self.instances[name] = Instance(
            self, host, len(self.instances), number
        )
        instance.membership.start(self.clock.now(), [next(iter(self.hosts))])

    def kill(self, name):
        self.hosts[name].end()
        self.dead[name] = self.clock.now()
        self.found[name] = {}

    def vanish(self, name):
        """Its machine is gone: nothing says that the process is."""
        self.hosts[name].silent = True
        self.dead[name] = self.clock.now()
        self.found[name] = {}

    def pause(self, name):
        self.hosts[name].pause()
        self.paused[name] = None

    def resume(self, name):
        self.hosts[name].resume()
        del self.paused[name]

    def run(self, seconds):
        self.clock.run(self.clock.now() + seconds * 1000)

    def changed(self, instance, member):
        if instance.host.name in self.dead or instance.host.name in self.paused:
            return
        if member.state == MemberState.DEAD:
            if member.address in self.dead:
                self.found.setdefault(member.address, {}).setdefault(
                    instance.host.name, self.clock.now()
                )
            else:
                self.false.append((self.clock.now(), instance.host.name, member.name))
        elif member.state == MemberState.SUSPECT and member.address not in self.dead:
            self.suspected += 1

    def running(self):
        return [
            instance
            for name, instance in self.instances.items()
            if name not in self.dead and name not in self.paused
        ]

    def views(self):
        """What each running instance has, as {name: state}."""
        return {
            instance.host.name: {
                name: member.state
                for name, member in sorted(instance.membership.members.items())
            }
            for instance in self.running()
        }

    def agreed(self):
        """Whether all running instances have exactly each other as there."""
        there = sorted(instance.membership.local.name for instance in self.running())
        return all(
            there
            == sorted(
                member.name
                for member in instance.membership.active_members()
                if member.state == MemberState.ALIVE
            )
            for instance in self.running()
        )

    def digest(self):
        return [
            (name, member.name, member.state, member.incarnation)
            for name, instance in self.instances.items()
            for member in instance.membership.members.values()
        ]


def measure(count, loss, seeds, kills=1, quiet=20.0, watched=40.0, machines=False):
    """For one size and loss: ms until the first and until all others have a death, false deaths and
    suspicions an instance and hour, messages a second and instance. `machines`: they
    vanish with their machines, so that nothing refuses a connection."""
    first, everyone, false, suspected, messages, time = [], [], 0, 0, [], 0.0
    for seed in seeds:
        cluster = Cluster(count, seed, faults={"loss": loss})
        cluster.run(quiet)
        before = sum(instance.sent for instance in cluster.instances.values())
        gone = [f"i{number:03d}" for number in range(1, 1 + min(kills, count - 2))]
        for name in gone:
            (cluster.vanish if machines else cluster.kill)(name)
        cluster.run(watched)
        alive = cluster.running()
        for name in gone:
            when = [cluster.found[name].get(instance.host.name) for instance in alive]
            known = [at - (quiet * 1000) for at in when if at is not None]
            if known:
                first.append(min(known))
                everyone.append(
                    max(known) if len(known) == len(alive) else float("inf")
                )
        sent = sum(instance.sent for instance in cluster.instances.values()) - before
        messages.append(sent / watched / len(alive))
        false += len(cluster.false)
        suspected += cluster.suspected
        time += (quiet + watched) * count / 3600
    return {
        "instances": count,
        "loss": loss,
        "first_ms": median(first),
        "all_ms": median(everyone),
        "false_deaths": false,
        "false_suspicions": suspected,
        "instance_hours": round(time, 2),
        "messages": round(median(messages), 2),
    }
