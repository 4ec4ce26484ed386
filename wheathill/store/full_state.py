"""Taking over the full state of another replica.

It is needed after an absence that outlasted tombstones.
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

    What the sender has seen and no longer has was deleted there, and its tombstone
    dropped: it goes here too. What was written here meanwhile, or learnt from others
        that were away, is written again, later than
    anything that a dropped tombstone may have won over.
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
        """Remove what the sender has seen and no longer has.

        Return whether anything was removed.
        """
        sender_entries = dict(decode_row(row) for row in rows)
        has_changed = False
        for key, entry in list(self._state.table.items()):
            theirs = sender_entries.get(key)
            if theirs is None:
                if sender_vector.covers(entry.current_dots()):
                    self._state.remove(key)
                    has_changed = True
            elif isinstance(entry, SetElementEntry):
                assert isinstance(theirs, SetElementEntry)
                has_changed |= self._remove_deleted_adds(
                    key, entry, theirs, sender_vector
                )
        return has_changed

    def _remove_deleted_adds(
        self,
        key: EntryKey,
        entry: SetElementEntry,
        theirs: SetElementEntry,
        sender_vector: VersionVector,
    ) -> bool:
        """Remove the adds that the sender let go of.

        The element may be in the set there by a later add only.
        """
        adds = VersionVector(
            (replica_id, sequence)
            for replica_id, sequence in entry.adds.items()
            if sequence > sender_vector.get(replica_id, 0)
            or theirs.adds.get(replica_id, 0) >= sequence
        )
        if len(adds) == len(entry.adds):
            return False
        changes = VersionVector(
            (replica_id, sequence)
            for replica_id, sequence in entry.changes.items()
            if sequence > sender_vector.get(replica_id, 0)
            or replica_id in theirs.changes
        )
        kept = SetElementEntry(
            entry.lamport_time, adds, entry.removals, changes or theirs.changes
        )
        self._state.store(key, kept)
        return True

    def rewrite_unseen(self, sender_vector: VersionVector) -> None:
        """Write again what is not known where tombstones were dropped."""
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
            self._writer.add_element(key.name, key.part)
        elif isinstance(entry, CounterEntry) and key.part != self._state.instance:
            # The instance that owns this part of the counter writes it again itself.
            self._state.remove(key)
        else:
            assert isinstance(entry, LastWriterWinsEntry)
            _, replica_id, sequence = self._state.next_version()
            version = Version(
                self._tombstones.collected_lamport_time + 1, replica_id, sequence
            )
            self._writer.put(key, self._writer.new_entry(key, version, entry.value))
