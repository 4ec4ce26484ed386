"""Reconciliation with the full state of another replica.

It is needed when this replica was absent for so long that tombstones it had not seen
were collected.
"""

from collections.abc import Iterable

from wheathill.store.entries import EncodedRow, Entry, decode_row
from wheathill.store.entry_key import EntryKey
from wheathill.store.local_writes import LocalWriter
from wheathill.store.replica_state import ReplicaState
from wheathill.store.set_element import SetElementEntry
from wheathill.store.tombstones import TombstoneCollector
from wheathill.store.value_entries import CounterEntry, LastWriterWinsEntry
from wheathill.store.version_vector import Version, VersionVector


class FullStateReconciler:
    """Prepares a replica for the merge of a full state.

    An entry that the sender has seen but no longer stores was deleted there and its
    tombstone collected, so it is removed here too. An entry that was written here in
    the meantime, or received from other absent replicas, is rewritten with a Lamport
    time later than any write that a collected tombstone may supersede.
    """

    def __init__(
        self, state: ReplicaState, writer: LocalWriter, tombstones: TombstoneCollector
    ) -> None:
        self._state = state
        self._writer = writer
        self._tombstones = tombstones

    def remove_deleted(
        self, rows: Iterable[EncodedRow], sender_vector: VersionVector
    ) -> bool:
        """Remove entries and adds that the sender has seen but no longer stores.

        Returns:
            Whether anything was removed.
        """
        sender_entries = dict(decode_row(row) for row in rows)
        has_changed = False
        for key, entry in list(self._state.table.items()):
            sender_entry = sender_entries.get(key)
            if sender_entry is None:
                if sender_vector.covers(entry.current_dots()):
                    self._state.remove(key)
                    has_changed = True
            elif isinstance(entry, SetElementEntry):
                assert isinstance(sender_entry, SetElementEntry)
                has_changed |= self._remove_deleted_adds(
                    key, entry, sender_entry, sender_vector
                )
        return has_changed

    def _remove_deleted_adds(
        self,
        key: EntryKey,
        entry: SetElementEntry,
        sender_entry: SetElementEntry,
        sender_vector: VersionVector,
    ) -> bool:
        """Remove the adds of an element that the sender no longer stores.

        The sender may have the element in the set only because of a later add.
        """
        adds = VersionVector(
            (replica_id, sequence)
            for replica_id, sequence in entry.adds.items()
            if sequence > sender_vector.get(replica_id, 0)
            or sender_entry.adds.get(replica_id, 0) >= sequence
        )
        if len(adds) == len(entry.adds):
            return False
        changes = VersionVector(
            (replica_id, sequence)
            for replica_id, sequence in entry.changes.items()
            if sequence > sender_vector.get(replica_id, 0)
            or replica_id in sender_entry.changes
        )
        remaining_entry = SetElementEntry(
            entry.lamport_time, adds, entry.removals, changes or sender_entry.changes
        )
        self._state.store(key, remaining_entry)
        return True

    def rewrite_unseen(self, sender_vector: VersionVector) -> None:
        """Rewrite live entries that the sender lacks and might treat as superseded."""
        for key, entry in list(self._state.table.items()):
            if self._may_be_superseded(entry, sender_vector):
                self._rewrite(key, entry)

    def _may_be_superseded(self, entry: Entry, sender_vector: VersionVector) -> bool:
        return (
            entry.is_live
            and not sender_vector.covers(entry.current_dots())
            and entry.lamport_time <= self._tombstones.collected_lamport_time
        )

    def _rewrite(self, key: EntryKey, entry: Entry) -> None:
        if isinstance(entry, SetElementEntry):
            self._writer.add_element(key.name, key.subkey)
        elif isinstance(entry, CounterEntry) and key.subkey != self._state.instance:
            # The instance that owns this part of the counter rewrites it itself.
            self._state.remove(key)
        else:
            assert isinstance(entry, LastWriterWinsEntry)
            _, replica_id, sequence = self._state.next_version()
            version = Version(
                self._tombstones.collected_lamport_time + 1, replica_id, sequence
            )
            self._writer.put(key, self._writer.new_entry(key, version, entry.value))
