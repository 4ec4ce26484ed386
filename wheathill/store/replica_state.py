"""State shared by the components of one replica."""

from collections.abc import Callable

from wheathill.store.delta_buffer import DeltaBuffer
from wheathill.store.entries import Entry
from wheathill.store.entry_key import EntryKey
from wheathill.store.entry_table import EntryTable
from wheathill.store.version_vector import Version, VersionVector

# Called with each change that must be made durable; None if the entry was removed.
PersistCallback = Callable[[EntryKey, Entry | None], None]


class ReplicaState:
    """Entries, Lamport clock and version vector of a replica.

    Attributes:
        instance: name of the instance, which is stable across restarts.
        replica_id: id of this start of the instance.
        table: all entries, including tombstones.
        lamport_time: Lamport time of the latest change made or received.
        version_vector: replica id -> sequence number up to which its changes are
            included.
        lease_first_seen_ms: time at which each lease was first seen here, by this
            process's monotonic clock.
        delta: local changes that have not been pushed yet.
    """

    def __init__(
        self, instance: str, generation: str, persist: PersistCallback
    ) -> None:
        self.instance = instance
        self.replica_id = f"{instance}/{generation}"
        self.table = EntryTable()
        self.lamport_time = 0
        self.version_vector = VersionVector()
        self.lease_first_seen_ms: dict[EntryKey, float] = {}
        self.delta = DeltaBuffer()
        self._persist = persist

    @property
    def last_sequence(self) -> int:
        """Sequence number of the last local change, or 0 if there was none."""
        return self.version_vector.get(self.replica_id, 0)

    def next_version(self) -> Version:
        """Advance the Lamport clock and the sequence number for a local change."""
        self.lamport_time += 1
        sequence = self.version_vector[self.replica_id] = self.last_sequence + 1
        return Version(self.lamport_time, self.replica_id, sequence)

    def observe_time(self, lamport_time: int) -> None:
        """Advance the Lamport clock to at least a time received from elsewhere."""
        self.lamport_time = max(self.lamport_time, lamport_time)

    def store(self, key: EntryKey, entry: Entry) -> None:
        """Store and persist an entry."""
        self.table.put(key, entry)
        self._persist(key, entry)

    def store_local_change(self, key: EntryKey, entry: Entry) -> None:
        """Store and persist a local change, and buffer it for the next push."""
        self.store(key, entry)
        self.delta.add(key)

    def remove(self, key: EntryKey) -> None:
        """Remove an entry without leaving a tombstone, and persist the removal."""
        self.remove_from_memory(key)
        self._persist(key, None)

    def remove_from_memory(self, key: EntryKey) -> None:
        """Remove an entry without leaving a tombstone, in memory only."""
        self.table.remove(key)
        self.lease_first_seen_ms.pop(key, None)
        self.delta.record_removal(key)
