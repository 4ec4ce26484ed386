"""Clusters in the virtual world: the real membership on simulated datagrams.

They measure how long it takes until a death is known, which members are wrongly declared
dead, and how many messages that takes.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from statistics import median
from typing import Any

from wheathill.config.limits import ProxyLimits
from wheathill.lab.cores.ways import DatagramFaults, VirtualDatagramNetwork
from wheathill.lab.worlds.network import VirtualHost
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

# Each instance replaces name, address and generation by its own.
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
LIMITS = ProxyLimits(
    max_sockets=100,
    connect_timeout_ms=100.0,
    max_dial_timeout_ms=1000.0,
    probe_idle_timeout_ms=1000.0,
)
# Faults of datagrams are decided by `DatagramFaults`.
NETWORK = {"same": 1.0, "cross": 1.0, "client": 1.0, "jitter": 0.0, "hop": 0.0}


class SimulatedInstance:
    """One process on one host: the effects of its membership, in simulated time.

    Attributes:
        host: The host of the process.
        membership: Its membership, the same code as in a proxy.
        sent: Number of messages sent.
        fallback_probes: Number of fallback probes started.
    """

    def __init__(
        self, cluster: "MembershipCluster", host: VirtualHost, start: int
    ) -> None:
        """Create the `start`-th process of `host`."""
        self.host = host
        self._cluster = cluster
        self._clock = host.clock
        self._endpoint = cluster.network.endpoint(host, self._on_datagram)
        rng = random.Random(f"{cluster.seed}/{host.name}/{start}")
        config = replace(
            cluster.config,
            name=cluster.claims.get(host.name, host.name),
            address=host.name,
            generation=rng.getrandbits(48),
        )
        self.membership = Membership(self, rng, config)
        self.sent = 0
        self.fallback_probes = 0

    def send(self, address: str | None, message: Message) -> None:
        """Send `message` as a datagram."""
        self.sent += 1
        data = self._cluster.encode(encode_message(message))
        self._endpoint.send(address, data)

    def start_fallback_probe(self, probe: FallbackProbe) -> None:
        """Start a fallback probe in simulated time."""

        def on_result(result: ProbeResult) -> None:
            self.membership.on_fallback_probe_result(self._clock.now(), probe, result)

        self.fallback_probes += 1
        self._cluster.network.start_fallback_probe(
            self.host, probe.address, probe.timeout_ms, on_result
        )

    def set_timer(self, at_ms: float, timer: Timer) -> None:
        """Set a timer in simulated time."""
        self._clock.at(at_ms, self._on_timer, timer)

    def member_changed(
        self,
        member: Member,
        previous_state: MemberState | None,
    ) -> None:
        """Report the change to the cluster."""
        self._cluster.on_member_changed(self, member)

    def log(self, text: str) -> None:
        """Add a line to the cluster's log."""
        line = f"{self._clock.now():9.0f} {self.host.name} {text}"
        self._cluster.lines.append(line)

    def _on_timer(self, timer: Timer) -> None:
        self.membership.on_timer(self._clock.now(), timer)

    def _on_datagram(self, data: bytes, address: str) -> None:
        message = decode_message(self._cluster.decode(data))
        self.membership.on_message(self._clock.now(), address, message)


@dataclass(slots=True, frozen=True)
class FalseDeath:
    """A member was declared dead while it ran."""

    at_ms: float
    observer: str
    member: str


class MembershipCluster:
    """Several instances; the first is the seed of all.

    Attributes:
        config: Of all instances, except name, address and generation.
        claims: Host name -> the different name that its process uses.
        faults: Faults of the datagrams.
        hosts: Hosts by name.
        instances: The last process of each host, by the host's name.
        lines: The log lines of all instances.
        ended_ms: Host name -> when its process ended.
        paused: Names of the hosts whose process is stopped, which is no death.
        deaths_found_ms: Host that has ended -> {instance: when it declared it dead}.
        false_deaths: Running members that were declared dead.
        false_suspicions: Number of suspicions of running members.
    """

    def __init__(
        self,
        count: int,
        seed: int = 1,
        *,
        claims: dict[str, str] | None = None,
        faults: dict[str, float] | None = None,
        **config: Any,  # noqa: ANN401 - of `MembershipConfig`
    ) -> None:
        """Start `count` instances; `faults` and `config` override the defaults."""
        # Only here, so that what reads this module's names needs no encoder.
        import msgspec

        self.encode: Callable[[object], bytes] = msgspec.msgpack.encode
        self.decode: Callable[[bytes], object] = msgspec.msgpack.decode
        self.seed = seed
        self.config = replace(DEFAULT_CONFIG, **config)
        self.claims = claims or {}
        self.world = VirtualWorld(seed, NETWORK)
        self.clock = self.world.clock
        self.faults = DatagramFaults(
            random.Random(f"{seed}/faults"),
            **{"delay_ms": 1.0, "jitter": 0.5, **(faults or {})},
        )
        self.network = VirtualDatagramNetwork(self.clock, self.faults)
        self.lines: list[str] = []
        self.instances: dict[str, SimulatedInstance] = {}
        self._starts: dict[str, int] = {}
        self.ended_ms: dict[str, float] = {}
        self.paused: set[str] = set()
        self.deaths_found_ms: dict[str, dict[str, float]] = {}
        self.false_deaths: list[FalseDeath] = []
        self.false_suspicions = 0
        names = [f"i{number:03d}" for number in range(count)]
        self.hosts: dict[str, VirtualHost] = {
            name: self.world.host(name, "east", LIMITS) for name in names
        }
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a process on a host, in place of one that has ended."""
        host = self.hosts[name]
        if not host.alive:
            host.begin()
        self.ended_ms.pop(name, None)
        self.deaths_found_ms.pop(name, None)
        self._starts[name] = self._starts.get(name, 0) + 1
        instance = SimulatedInstance(self, host, self._starts[name])
        self.instances[name] = instance
        instance.membership.start(self.clock.now(), [next(iter(self.hosts))])

    def kill(self, name: str) -> None:
        """Kill a process; its host refuses connections from then on."""
        self.end(name, is_host_silent=False)

    def vanish(self, name: str) -> None:
        """Let a host vanish with its process: nothing refuses a connection."""
        self.end(name, is_host_silent=True)

    def end(self, name: str, *, is_host_silent: bool) -> None:
        """Kill a process, or let it vanish with its host."""
        if is_host_silent:
            self.hosts[name].silent = True
        else:
            self.hosts[name].end()
        self._note_end(name)

    def leave(self, name: str) -> None:
        """Let a process announce its end."""
        self.instances[name].membership.leave()
        self._note_end(name)

    def pause(self, name: str) -> None:
        """Stop a process as SIGSTOP does; its host still accepts connections."""
        self.hosts[name].pause()
        self.paused.add(name)

    def resume(self, name: str) -> None:
        """Resume a stopped process."""
        self.hosts[name].resume()
        self.paused.remove(name)

    def run(self, seconds: float) -> None:
        """Let simulated time pass."""
        self.clock.run(self.clock.now() + seconds * 1000)

    def on_member_changed(self, observer: SimulatedInstance, member: Member) -> None:
        """Compare the state that a running instance now holds with the truth."""
        name = observer.host.name
        if name in self.ended_ms or name in self.paused:
            return
        now_ms = self.clock.now()
        has_ended = member.address in self.ended_ms
        if member.state == MemberState.DEAD and has_ended:
            found_ms = self.deaths_found_ms.setdefault(member.address, {})
            found_ms.setdefault(name, now_ms)
        elif member.state == MemberState.DEAD:
            self.false_deaths.append(FalseDeath(now_ms, name, member.name))
        elif member.state == MemberState.SUSPECT and not has_ended:
            self.false_suspicions += 1

    def running(self) -> list[SimulatedInstance]:
        """Return the instances that have not ended and are not stopped."""
        return [
            instance
            for name, instance in self.instances.items()
            if name not in self.ended_ms and name not in self.paused
        ]

    def views(self) -> dict[str, dict[str, MemberState]]:
        """Return for each running instance the state of each member it knows."""
        return {
            instance.host.name: {
                name: member.state
                for name, member in sorted(instance.membership.members.items())
            }
            for instance in self.running()
        }

    def has_converged(self) -> bool:
        """Whether all running instances hold exactly the running ones to be alive."""
        running = self.running()
        names = sorted(instance.membership.local.name for instance in running)
        return all(
            names
            == sorted(
                member.name
                for member in instance.membership.active_members()
                if member.state == MemberState.ALIVE
            )
            for instance in running
        )

    def digest(self) -> list[tuple[str, str, MemberState, int]]:
        """Return all that all instances know of members, to compare two runs."""
        return [
            (name, member.name, member.state, member.incarnation)
            for name, instance in self.instances.items()
            for member in instance.membership.members.values()
        ]

    def messages_sent(self) -> int:
        """Return how many messages the last processes of all hosts have sent."""
        return sum(instance.sent for instance in self.instances.values())

    def _note_end(self, name: str) -> None:
        self.ended_ms[name] = self.clock.now()
        self.deaths_found_ms[name] = {}


@dataclass(slots=True, frozen=True)
class DetectionFigures:
    """How well deaths were detected in clusters of one size at one loss.

    Attributes:
        instances: Number in each cluster.
        loss: Share of the datagrams that were lost.
        first_ms: Median time from a death until the first instance knew it.
        all_ms: Median time until all knew it, infinite where some never did.
        false_deaths: Number in all clusters.
        false_suspicions: Number in all clusters.
        instance_hours: Simulated time in which these were counted.
        messages: Median of the messages that an instance sends a second.
    """

    instances: int
    loss: float
    first_ms: float
    all_ms: float
    false_deaths: int
    false_suspicions: int
    instance_hours: float
    messages: float


def measure_detection(
    count: int,
    loss: float,
    seeds: Iterable[int],
    *,
    kills: int = 1,
    settle_s: float = 20.0,
    observe_s: float = 40.0,
    do_hosts_vanish: bool = False,
) -> DetectionFigures:
    """Kill instances of one cluster for each seed, and measure how that is detected.

    They are killed together `settle_s` seconds after the start, and observed for
    `observe_s`. Where `do_hosts_vanish` nothing refuses a connection to them.
    """
    clusters = []
    message_rates = []
    names = [f"i{number:03d}" for number in range(1, 1 + min(kills, count - 2))]
    for seed in seeds:
        cluster = MembershipCluster(count, seed, faults={"loss": loss})
        cluster.run(settle_s)
        sent_before = cluster.messages_sent()
        for name in names:
            cluster.end(name, is_host_silent=do_hosts_vanish)
        cluster.run(observe_s)
        sent = cluster.messages_sent() - sent_before
        message_rates.append(sent / observe_s / len(cluster.running()))
        clusters.append(cluster)
    first_ms, all_ms = _detection_times_ms(clusters)
    instance_hours = len(clusters) * (settle_s + observe_s) * count / 3600
    return DetectionFigures(
        instances=count,
        loss=loss,
        first_ms=median(first_ms),
        all_ms=median(all_ms),
        false_deaths=sum(len(cluster.false_deaths) for cluster in clusters),
        false_suspicions=sum(cluster.false_suspicions for cluster in clusters),
        instance_hours=round(instance_hours, 2),
        messages=round(median(message_rates), 2),
    )


def _detection_times_ms(
    clusters: Iterable[MembershipCluster],
) -> tuple[list[float], list[float]]:
    """Return for each death how long it took the first and the last instance to know.

    A death that nobody knows is left out.
    """
    first_ms: list[float] = []
    all_ms: list[float] = []
    for cluster in clusters:
        running = [instance.host.name for instance in cluster.running()]
        for name, ended_ms in cluster.ended_ms.items():
            found_ms = cluster.deaths_found_ms[name]
            times_ms = [
                found_ms[observer] - ended_ms
                for observer in running
                if observer in found_ms
            ]
            if times_ms:
                first_ms.append(min(times_ms))
                is_known_to_all = len(times_ms) == len(running)
                all_ms.append(max(times_ms) if is_known_to_all else float("inf"))
    return first_ms, all_ms
