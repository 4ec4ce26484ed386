"""One instance's replica of the store, free of I/O.

Local writes take effect immediately, and anti-entropy based on version vectors makes
the replicas converge. Each start of an instance is a separate replica with a random
generation in its id, so that no dot is issued twice after a directory has been restored
from an old copy.
"""

import hashlib
from typing import Any

from msgspec import msgpack

from wheathill.store.entries import Entry
from wheathill.store.entry_key import EntryKey, EntryKind
from wheathill.store.entry_table import EntryTable
from wheathill.store.eviction import Evictor, StoreLimits
from wheathill.store.exchange import ReplicaExchange
from wheathill.store.full_state import FullStateReconciler
from wheathill.store.leases import LeaseManager
from wheathill.store.local_writes import LocalWriter
from wheathill.store.merging import Merger
from wheathill.store.replica_state import PersistCallback, ReplicaState
from wheathill.store.snapshot import ReplicaSnapshot
from wheathill.store.tombstones import TombstoneCollector
from wheathill.store.value_entries import CounterEntry, LeaseEntry, RegisterEntry
from wheathill.store.version_vector import VersionVector

DIGEST_BYTES = 16


class Replica:
    """Registers, counters, sets and leases of one instance.

    Times in milliseconds are readings of this process's monotonic clock and are never
    sent to other processes.

    Attributes:
        leases: acquires and checks leases.
        exchange: produces and applies deltas and replies.
        tombstones: garbage collection of tombstones.
    """

    def __init__(
        self,
        instance: str,
        generation: str,
        persist: PersistCallback,
        limits: StoreLimits,
    ) -> None:
        """Create an empty replica.

        Args:
            instance: name of the instance.
            generation: string that is unique to this start of the instance.
            persist: called with every change that must be made durable.
            limits: limits on the live entries.
        """
        self._state = ReplicaState(instance, generation, persist)
        self._evictor = Evictor(self._state, limits)
        self._writer = LocalWriter(self._state, self._evictor)
        self.leases = LeaseManager(self._state, self._writer)
        self.tombstones = TombstoneCollector(self._state)
        self.exchange = ReplicaExchange(
            self._state,
            Merger(self._state, self._evictor),
            FullStateReconciler(self._state, self._writer, self.tombstones),
            self.tombstones,
        )

    @property
    def instance(self) -> str:
        """Name of the instance, which is stable across restarts."""
        return self._state.instance

    @property
    def replica_id(self) -> str:
        """Id of this start of the instance."""
        return self._state.replica_id

    @property
    def version_vector(self) -> VersionVector:
        """Changes that this replica includes."""
        return self._state.version_vector

    @property
    def table(self) -> EntryTable:
        """All entries, including tombstones."""
        return self._state.table

    @property
    def evicted_count(self) -> int:
        """Number of entries deleted because of the limits."""
        return self._evictor.evicted_count

    def get_register(self, name: str) -> Any:  # noqa: ANN401 - any encodable value
        """Return the value of a register, or None if it is not set."""
        entry = self._state.table.get(EntryKey(EntryKind.REGISTER, name))
        return entry.value if isinstance(entry, RegisterEntry) else None

    def set_register(self, name: str, value: object) -> None:
        """Write a register; None deletes it."""
        self._writer.write_value(EntryKey(EntryKind.REGISTER, name), value)

    def delete_register(self, name: str) -> None:
        """Delete a register if the table contains it."""
        self._writer.delete(EntryKey(EntryKind.REGISTER, name))

    def counter_value(self, name: str) -> int:
        """Return the value of a counter: the sum of all instances' parts."""
        entries = self._state.table.live_entries(EntryKind.COUNTER, name)
        return sum(
            entry.value for _, entry in entries if isinstance(entry, CounterEntry)
        )

    def add_to_counter(self, name: str, amount: int) -> None:
        """Add an amount to this instance's part of a counter."""
        self._writer.add_to_counter(name, amount)

    def delete_counter_parts(self, instance: str) -> None:
        """Delete the parts owned by one instance from all counters.

        Used when the instance is gone permanently, or has restarted and counts from
        zero.
        """
        self._writer.delete_counter_parts(instance)

    def set_elements(self, name: str) -> list[str]:
        """Return the elements of a set in sorted order."""
        entries = self._state.table.live_entries(EntryKind.SET, name)
        return sorted(element for element, _ in entries)

    def add_element(self, name: str, element: str) -> None:
        """Add an element to a set."""
        self._writer.add_element(name, element)

    def remove_element(self, name: str, element: str) -> None:
        """Remove an element from a set if the table contains it."""
        self._writer.remove_element(name, element)

    def digest(self) -> str:
        """Return a hash of all live entries.

        The digests of two replicas are equal exactly if their live entries are equal.

        Traces of a removal in a set element that was added again are not covered,
        because one replica may have discarded them already while another has not.
        """
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        table = self._state.table
        for key in sorted(key for key, entry in table.items() if entry.is_live):
            digest.update(msgpack.encode([key, table[key].digest_state()]))
        return digest.hexdigest()

    def snapshot(self) -> ReplicaSnapshot:
        """Return a snapshot of everything that must be stored."""
        return ReplicaSnapshot(
            self._state.lamport_time,
            VersionVector(self._state.version_vector),
            VersionVector(self.tombstones.collected_vector),
            self.tombstones.collected_lamport_time,
            list(self._state.table.items()),
        )

    def load_snapshot(self, snapshot: ReplicaSnapshot, now_ms: float) -> None:
        """Restore the replica from a snapshot.

        The snapshot does not record which changes were pushed, so none is pushed again.
        Lease terms start at `now_ms`, because it is unknown how long this instance was
        absent.
        """
        self._state.lamport_time = snapshot.lamport_time
        self.load_vectors(
            snapshot.version_vector,
            snapshot.collected_vector,
            snapshot.collected_lamport_time,
        )
        for key, entry in snapshot.entries:
            self.load_entry(key, entry, now_ms)

    def load_vectors(
        self,
        version_vector: VersionVector,
        collected_vector: VersionVector,
        collected_lamport_time: int,
    ) -> None:
        """Restore the vectors and the Lamport time of collection from a log record."""
        self._state.version_vector = VersionVector(version_vector)
        self.tombstones.collected_vector = VersionVector(collected_vector)
        self.tombstones.collected_lamport_time = collected_lamport_time

    def load_entry(self, key: EntryKey, entry: Entry | None, now_ms: float) -> None:
        """Replay one change from a log; an `entry` of None removes the entry."""
        if entry is None:
            if key in self._state.table:
                self._state.remove_from_memory(key)
            return
        self._state.table.put(key, entry)
        self._state.observe_time(entry.lamport_time)
        if isinstance(entry, LeaseEntry):
            self._state.lease_first_seen_ms[key] = now_ms

    def include_previous_generation(self, last_replica_id: str | None) -> None:
        """Include the changes of the last generation that used this directory.

        That generation made its changes here and in order, so all of them up to the
        last one are present. This does not hold for earlier generations: the directory
        may have been restored from an old copy, and their changes made after that copy
        arrived from other members, possibly with gaps.

        Args:
            last_replica_id: id of the replica that last used the directory, or None.
        """
        for _, entry in self._state.table.items():
            for replica_id, sequence in entry.current_dots():
                if replica_id == last_replica_id:
                    self._state.version_vector.advance(replica_id, sequence)
