"""State that the parts of one replica share."""

from collections.abc import Callable

from wheathill.store.delta_buffer import DeltaBuffer
from wheathill.store.entries import Entry
from wheathill.store.entry_key import EntryKey
from wheathill.store.entry_table import EntryTable
from wheathill.store.version_vector import Version, VersionVector

# Called with each change that is to be made durable; None where an entry was removed.
PersistCallback = Callable[[EntryKey, Entry | None], None]


class ReplicaState:
    """Entries, clock and version vector of a replica.

    Attributes:
        instance: name of the instance, the same after a restart.
        replica_id: id of this start of the instance.
        lamport_time: time of the last change that was made or seen.
        version_vector: replica id -> up to which number its changes are included here.
        lease_first_seen_ms: when each lease was first seen here, by this process's
            monotonic clock.
        delta: local changes that were not pushed yet.
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
        """Sequence number of the last local change, 0 before the first."""
        return self.version_vector.get(self.replica_id, 0)

    def next_version(self) -> Version:
        """Advance clock and sequence number for a local change."""
        self.lamport_time += 1
        sequence = self.version_vector[self.replica_id] = self.last_sequence + 1
        return Version(self.lamport_time, self.replica_id, sequence)

    def observe_time(self, lamport_time: int) -> None:
        """Advance the clock to a time that was seen elsewhere."""
        self.lamport_time = max(self.lamport_time, lamport_time)

    def store(self, key: EntryKey, entry: Entry) -> None:
        """Store an entry and make it durable."""
        self.table.put(key, entry)
        self._persist(key, entry)

    def store_local_change(self, key: EntryKey, entry: Entry) -> None:
        """Store a change that was made here, which is to be pushed."""
        self.store(key, entry)
        self.delta.add(key)

    def remove(self, key: EntryKey) -> None:
        """Remove an entry without a trace, and make that durable."""
        self.forget(key)
        self._persist(key, None)

    def forget(self, key: EntryKey) -> None:
        """Remove an entry without a trace, in memory only."""
        self.table.remove(key)
        self.lease_first_seen_ms.pop(key, None)
        self.delta.entry_removed(key)
