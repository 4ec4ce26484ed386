"""One instance's replica of the store, without I/O.

It writes at once and converges with the other replicas by anti-entropy, by means of
version vectors. Each start of an instance is a replica of its own, with a random
generation in its id, so that a directory that was restored from an old copy can't give
out a dot twice.
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

    Times in milliseconds are of this process's monotonic clock and never leave it.

    Attributes:
        leases: takes and checks leases.
        exchange: what is sent to and taken from other replicas.
        tombstones: garbage collection of tombstones.
    """

    def __init__(
        self,
        instance: str,
        generation: str,
        persist: PersistCallback,
        limits: StoreLimits,
    ) -> None:
        """Make an empty replica.

        Args:
            instance: name of the instance.
            generation: text that no other start of the instance has.
            persist: called with every change that is to be made durable.
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
        """Name of the instance, the same after a restart."""
        return self._state.instance

    @property
    def replica_id(self) -> str:
        """Id of this start of the instance."""
        return self._state.replica_id

    @property
    def version_vector(self) -> VersionVector:
        """Changes that are included here."""
        return self._state.version_vector

    @property
    def table(self) -> EntryTable:
        """All entries, tombstones included."""
        return self._state.table

    @property
    def evicted_count(self) -> int:
        """Number of entries that were deleted because of the limits."""
        return self._evictor.evicted_count

    def get_register(self, name: str) -> Any:  # noqa: ANN401 - whatever was written
        """Return the value of a register, None where there is none."""
        entry = self._state.table.get(EntryKey(EntryKind.REGISTER, name))
        return entry.value if isinstance(entry, RegisterEntry) else None

    def set_register(self, name: str, value: object) -> None:
        """Write a register; None deletes it."""
        self._writer.write_value(EntryKey(EntryKind.REGISTER, name), value)

    def delete_register(self, name: str) -> None:
        """Delete a register, unless nothing is known of it."""
        self._writer.delete(EntryKey(EntryKind.REGISTER, name))

    def counter_value(self, name: str) -> int:
        """Return the sum of all instances' parts of a counter."""
        parts = self._state.table.live_parts(EntryKind.COUNTER, name)
        return sum(entry.value for _, entry in parts if isinstance(entry, CounterEntry))

    def add_to_counter(self, name: str, amount: int) -> None:
        """Add to a counter, to the part of this instance."""
        self._writer.add_to_counter(name, amount)

    def delete_counter_parts(self, instance: str) -> None:
        """Delete the parts of one instance in all counters.

        It is gone for good, or has restarted and counts from zero.
        """
        self._writer.delete_counter_parts(instance)

    def set_elements(self, name: str) -> list[str]:
        """Return the elements of a set, sorted."""
        parts = self._state.table.live_parts(EntryKind.SET, name)
        return sorted(element for element, _ in parts)

    def add_element(self, name: str, element: str) -> None:
        """Add an element to a set."""
        self._writer.add_element(name, element)

    def remove_element(self, name: str, element: str) -> None:
        """Remove an element from a set, unless nothing is known of it."""
        self._writer.remove_element(name, element)

    def digest(self) -> str:
        """Return a hash of all live entries.

        It is equal at two replicas exactly if they hold the same.

        What a removal leaves behind in an element that is in the set again is not
        covered: one replica may have let go of it, another not yet.
        """
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        table = self._state.table
        for key in sorted(key for key, entry in table.items() if entry.is_live):
            digest.update(msgpack.encode([key, table[key].digest_state()]))
        return digest.hexdigest()

    def snapshot(self) -> ReplicaSnapshot:
        """Return all that is to be kept."""
        return ReplicaSnapshot(
            self._state.lamport_time,
            VersionVector(self._state.version_vector),
            VersionVector(self.tombstones.collected_vector),
            self.tombstones.collected_lamport_time,
            list(self._state.table.items()),
        )

    def load_snapshot(self, snapshot: ReplicaSnapshot, now_ms: float) -> None:
        """Start from a snapshot.

        Which changes were pushed is not known, so none is pushed again. The term of a
        lease counts from now, as nobody knows for how long this instance was away.
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
        """Replace the vectors and the time of collection by those of a log."""
        self._state.version_vector = VersionVector(version_vector)
        self.tombstones.collected_vector = VersionVector(collected_vector)
        self.tombstones.collected_lamport_time = collected_lamport_time

    def load_entry(self, key: EntryKey, entry: Entry | None, now_ms: float) -> None:
        """Replay one change of a log; None where the entry was removed."""
        if entry is None:
            if key in self._state.table:
                self._state.forget(key)
            return
        self._state.table.put(key, entry)
        self._state.observe_time(entry.lamport_time)
        if isinstance(entry, LeaseEntry):
            self._state.lease_first_seen_ms[key] = now_ms

    def include_previous_generation(self, last_replica_id: str | None) -> None:
        """Cover what the last start on this directory changed.

        It made its changes here and in order, so all up to the last are held. This is
        not so of earlier
        starts: the directory may be an old copy that was restored, and what they
            changed after it came
        from others, with gaps.
        """
        for _, entry in self._state.table.items():
            for replica_id, sequence in entry.current_dots():
                if replica_id == last_replica_id:
                    self._state.version_vector.advance(replica_id, sequence)
