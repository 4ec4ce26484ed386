"""Members with replicas of the store in the virtual environment, under random faults.

After all faults they must converge to the same digest. Each member has a disk with what
its replica wrote; a restart finds what was synced. A member may be killed,
paused, partitioned in one direction or both, restarted from an old copy of its disk, or
kept away for longer than tombstones live.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from wheathill.config.limits import ProxyLimits
from wheathill.lab.cores.ways import DatagramFaults, VirtualDatagramNetwork
from wheathill.lab.worlds.virtual import VirtualWorld
from wheathill.store.anti_entropy import (
    AntiEntropy,
    AntiEntropyConfig,
    AntiEntropyTimer,
)
from wheathill.store.entries import EncodedEntry, Entry, decode_entry
from wheathill.store.entry_key import EntryKey
from wheathill.store.eviction import StoreLimits
from wheathill.store.messages import Message, decode_message, encode_message
from wheathill.store.replica import Replica
from wheathill.store.version_vector import VersionVector

HOST_LIMITS = ProxyLimits(
    max_sockets=100,
    connect_timeout_ms=100.0,
    max_dial_timeout_ms=1000.0,
    probe_idle_timeout_ms=1000.0,
)
# All latencies come from `DatagramFaults`, none from the environment.
HOP_LATENCIES_MS = {
    "same": 1.0,
    "cross": 1.0,
    "client": 1.0,
    "jitter": 0.0,
    "hop": 0.0,
}
DELAY_MS = 1.0
JITTER_SHARE = 0.5
DISK_SYNC_INTERVAL_MS = 40.0
ANTI_ENTROPY = AntiEntropyConfig(
    request_interval_ms=500.0, push_delay_ms=5.0, reply_timeout_ms=400.0
)
NO_LIMITS = StoreLimits(max_entries=100_000, max_bytes=10_000_000)
LEASE_TERM_MS = 300.0
# Between the copy of a disk and the restart from it, so that changes are lost.
OLD_COPY_AGE_MS = 200.0
CONVERGENCE_MS = 8000.0


@dataclass(frozen=True, slots=True)
class LoggedEntry:
    """A change on disk; None where the entry was removed."""

    key: EntryKey
    encoded: EncodedEntry | None


@dataclass(frozen=True, slots=True)
class LoggedVectors:
    """The vectors of a replica after the changes before it."""

    version_vector: VersionVector
    collected_vector: VersionVector
    collected_lamport_time: int


@dataclass(slots=True)
class SimulatedDisk:
    """Records in the order of writing.

    Attributes:
        records: what was written.
        synced_count: how many of them outlive a kill.
        last_replica_id: replica that ran on it last.
    """

    records: list[LoggedEntry | LoggedVectors] = field(default_factory=list)
    synced_count: int = 0
    last_replica_id: str | None = None

    def copy(self) -> SimulatedDisk:
        """Return a copy of what is synced."""
        return SimulatedDisk(
            self.records[: self.synced_count], self.synced_count, self.last_replica_id
        )

    def drop_unsynced(self) -> None:
        """Drop the records that a kill loses."""
        del self.records[self.synced_count :]


class StoreMember:
    """One start of an instance: replica, anti-entropy and disk."""

    def __init__(self, cluster: StoreCluster, name: str, disk: SimulatedDisk) -> None:
        self.name = name
        self.disk = disk
        self._cluster = cluster
        self._host = cluster.hosts[name]
        self.clock = self._host.clock
        self._endpoint = cluster.network.endpoint(self._host, self._received)
        cluster.start_count += 1
        self.replica = Replica(
            name, f"{cluster.start_count:x}", self._persist, cluster.limits
        )
        now_ms = self.clock.now()
        self._load(now_ms)
        rng = random.Random(f"{cluster.seed}/{name}/{cluster.start_count}")
        self.anti_entropy = AntiEntropy(
            self,
            rng,
            self.replica,
            ANTI_ENTROPY,
            live_members=lambda: list(cluster.hosts),
            collection_members=lambda: cluster.collection_members,
        )
        self.anti_entropy.start(now_ms)
        self.clock.after(DISK_SYNC_INTERVAL_MS, self._sync_disk)

    def send(self, member: str, message: Message) -> None:
        """Send a message to another member."""
        data = encode_message(message)
        self._cluster.sent_bytes += len(data)
        self._endpoint.send(member, data)

    def set_timer(self, at_ms: float, timer: AntiEntropyTimer) -> None:
        """Set a timer of the anti-entropy."""
        self.clock.at(at_ms, self._on_timer, timer)

    def _on_timer(self, timer: AntiEntropyTimer) -> None:
        self.anti_entropy.on_timer(self.clock.now(), timer)

    def _received(self, data: bytes, sender: str) -> None:
        self.anti_entropy.on_message(self.clock.now(), sender, decode_message(data))

    def _load(self, now_ms: float) -> None:
        for record in self.disk.records:
            if isinstance(record, LoggedVectors):
                self.replica.load_vectors(
                    record.version_vector,
                    record.collected_vector,
                    record.collected_lamport_time,
                )
            else:
                entry = (
                    None
                    if record.encoded is None
                    else decode_entry(record.key.kind, record.encoded)
                )
                self.replica.load_entry(record.key, entry, now_ms)
        self.replica.include_previous_generation(self.disk.last_replica_id)
        self.disk.last_replica_id = self.replica.replica_id

    def _persist(self, key: EntryKey, entry: Entry | None) -> None:
        encoded = None
        if entry is not None:
            encoded = msgspec.msgpack.decode(msgspec.msgpack.encode(entry.encode()))
        self.disk.records.append(LoggedEntry(key, encoded))

    def _sync_disk(self) -> None:
        """Write the vectors behind the entries they stand for, and sync."""
        tombstones = self.replica.tombstones
        self.disk.records.append(
            LoggedVectors(
                VersionVector(self.replica.version_vector),
                VersionVector(tombstones.collected_vector),
                tombstones.collected_lamport_time,
            )
        )
        self.disk.synced_count = len(self.disk.records)
        self.clock.after(DISK_SYNC_INTERVAL_MS, self._sync_disk)


class StoreCluster:
    """Members on virtual hosts, with random changes and random faults."""

    def __init__(
        self,
        seed: int,
        member_count: int = 5,
        limits: StoreLimits = NO_LIMITS,
        **fault_rates: float,
    ) -> None:
        """Start the members.

        Args:
            seed: decides all that is random.
            member_count: number of members.
            limits: limits on the entries of each replica.
            fault_rates: chances of faults on the network, as `DatagramFaults` takes them.
        """
        self.seed = seed
        self.limits = limits
        self.rng = random.Random(f"{seed}/copies")
        self.world = VirtualWorld(seed, HOP_LATENCIES_MS)
        self.clock = self.world.clock
        self.faults = DatagramFaults(
            random.Random(f"{seed}/faults"), DELAY_MS, JITTER_SHARE, **fault_rates
        )
        self.network = VirtualDatagramNetwork(self.clock, self.faults)
        self.sent_bytes = 0
        self.start_count = 0
        names = [f"i{number}" for number in range(member_count)]
        self.collection_members = list(names)
        self.hosts = {
            name: self.world.host(name, "east", HOST_LIMITS) for name in names
        }
        self.disks = {name: SimulatedDisk() for name in names}
        self.members = {
            name: StoreMember(self, name, self.disks[name]) for name in names
        }

    def kill(self, name: str) -> None:
        """Kill a member; what was not synced is lost."""
        self.disks[name].drop_unsynced()
        self.hosts[name].end()
        del self.members[name]

    def start(self, name: str, disk: SimulatedDisk | None = None) -> None:
        """Start a member that was killed, on another disk if one is given."""
        self.hosts[name].begin()
        if disk is not None:
            self.disks[name] = disk
        self.members[name] = StoreMember(self, name, self.disks[name])

    def run(self, duration_ms: float) -> None:
        """Let time pass."""
        self.clock.run(self.clock.now() + duration_ms)

    def digests(self) -> dict[str, str]:
        """Return name -> digest of the members that run."""
        return {name: member.replica.digest() for name, member in self.members.items()}

    def change_at_random(self) -> None:
        """Make one random change at one member that runs."""
        running = [name for name in self.members if not self.hosts[name].paused]
        if not running:
            return
        member = self.members[self.rng.choice(running)]
        key = f"k{self.rng.randrange(12)}"
        change = self.rng.randrange(len(CHANGES))
        CHANGES[change](self, member.replica, key)
        member.anti_entropy.schedule_push(self.clock.now())

    def fail_at_random(self) -> None:
        """Make one random fault happen, or end."""
        names = list(self.hosts)
        fault = self.rng.randrange(len(FAULTS))
        FAULTS[fault](self, self.rng.choice(names))
        # Absent members may be left out, as in a long absence: tombstones are collected
        # without waiting for them.
        without_absent = self.rng.random() < 0.5
        self.collection_members = (
            [name for name in names if name in self.members]
            if without_absent
            else names
        )

    def end_faults(self, duration_ms: float) -> None:
        """End all faults, start and resume all members, and let time pass."""
        self.faults.heal()
        self.faults.loss = self.faults.duplication = self.faults.reordering = 0.0
        self.collection_members = list(self.hosts)
        for name, host in self.hosts.items():
            if name not in self.members:
                self.start(name)
            host.resume()
        self.run(duration_ms)

    def set_register(self, replica: Replica, key: str) -> None:
        """Write a random value."""
        replica.set_register(key, self.rng.randrange(1000))

    def delete_register(self, replica: Replica, key: str) -> None:
        """Delete a register."""
        replica.delete_register(key)

    def add_to_counter(self, replica: Replica, key: str) -> None:
        """Count one."""
        replica.add_to_counter(key, 1)

    def add_element(self, replica: Replica, key: str) -> None:
        """Add a random element."""
        replica.add_element(key, f"e{self.rng.randrange(4)}")

    def remove_element(self, replica: Replica, key: str) -> None:
        """Remove a random element."""
        replica.remove_element(key, f"e{self.rng.randrange(4)}")

    def acquire_lease(self, replica: Replica, key: str) -> None:
        """Try to take a lease."""
        replica.leases.acquire(key, self.clock.now(), LEASE_TERM_MS)

    def delete_counter_parts(self, replica: Replica, _key: str) -> None:
        """Delete a random member's parts of all counters."""
        replica.delete_counter_parts(self.rng.choice(list(self.hosts)))

    def kill_if_many(self, name: str) -> None:
        """Kill a member while more than two run."""
        if name in self.members and len(self.members) > 2:
            self.kill(name)

    def start_if_killed(self, name: str) -> None:
        """Start a member that was killed."""
        if name not in self.members:
            self.start(name)

    def pause_if_running(self, name: str) -> None:
        """Pause a member."""
        if name in self.members:
            self.hosts[name].pause()

    def resume(self, name: str) -> None:
        """Resume a member that was paused."""
        self.hosts[name].resume()

    def partition(self, _name: str) -> None:
        """Partition the network at a random place, in one direction or both."""
        names = list(self.hosts)
        split = self.rng.randrange(1, len(names))
        both = self.rng.random() < 0.5
        self.faults.partition(names[:split], names[split:], both=both)

    def heal_partitions(self, _name: str) -> None:
        """End all partitions."""
        self.faults.heal()

    def restore_old_disk(self, name: str) -> None:
        """Restart a member from an old copy of its disk."""
        if name not in self.members:
            return
        disk = self.disks[name].copy()
        self.run(OLD_COPY_AGE_MS)
        if name in self.members:
            self.kill(name)
        self.start(name, disk)


# A random number picks an item: the order is part of what a seed stands for.
CHANGES: tuple[Callable[[StoreCluster, Replica, str], None], ...] = (
    StoreCluster.set_register,
    StoreCluster.delete_register,
    StoreCluster.add_to_counter,
    StoreCluster.add_element,
    StoreCluster.remove_element,
    StoreCluster.acquire_lease,
    StoreCluster.delete_counter_parts,
)
FAULTS: tuple[Callable[[StoreCluster, str], None], ...] = (
    StoreCluster.kill_if_many,
    StoreCluster.start_if_killed,
    StoreCluster.start_if_killed,
    StoreCluster.pause_if_running,
    StoreCluster.resume,
    StoreCluster.partition,
    StoreCluster.heal_partitions,
    StoreCluster.restore_old_disk,
)


@dataclass(frozen=True, slots=True)
class ConvergenceResult:
    """Outcome of random changes and faults.

    Attributes:
        has_converged: whether all digests are equal at the end.
        digests: member -> digest.
        cluster: the members as they ended.
    """

    has_converged: bool
    digests: dict[str, str]
    cluster: StoreCluster


def run_random_faults(
    seed: int, steps: int = 60, limits: StoreLimits = NO_LIMITS
) -> ConvergenceResult:
    """Make random changes and faults, end the faults, and compare the digests."""
    cluster = StoreCluster(
        seed, limits=limits, loss=0.1, duplication=0.1, reordering=0.2
    )
    for _ in range(steps):
        for _ in range(cluster.rng.randrange(6)):
            cluster.change_at_random()
        if cluster.rng.random() < 0.3:
            cluster.fail_at_random()
        cluster.run(cluster.rng.uniform(1.0, 120.0))
    cluster.end_faults(CONVERGENCE_MS)
    digests = cluster.digests()
    return ConvergenceResult(len(set(digests.values())) == 1, digests, cluster)
