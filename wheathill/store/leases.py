"""Leases, timed by each instance's own monotonic clock.

A holder counts the term from before the lease was written, the others from when they
first saw it, with a margin between the two. No instance has to trust another one's
clock.
"""

from wheathill.store.entry_key import EntryKey, EntryKind
from wheathill.store.local_writes import LocalWriter
from wheathill.store.replica_state import ReplicaState
from wheathill.store.value_entries import Lease, LeaseEntry

# Share of a term that its holder gives up early, and that others wait longer: room for
# clocks that run at different rates.
LEASE_MARGIN = 0.1


class LeaseManager:
    """Takes, renews and checks the leases of a replica."""

    def __init__(self, state: ReplicaState, writer: LocalWriter) -> None:
        self._state = state
        self._writer = writer

    def acquire(self, name: str, now_ms: float, term_ms: float) -> bool:
        """Take or renew a lease; return False while another instance may hold it.

        Two instances that can't reach each other may both take one. The later write
        wins when they converge, so what the lease guards must compare the fencing
        token, which only grows.
        """
        key = EntryKey(EntryKind.LEASE, name)
        current = self.current(name)
        token = 1
        if current is not None:
            token = current.token
            if current.owner != self._state.replica_id:
                if now_ms < self._free_for_others_ms(key, current):
                    return False
                token += 1
            elif not self.holds(name, now_ms):
                token += 1  # it had expired: another instance may have seen it so
        lease = Lease(self._state.replica_id, token, term_ms)
        self._writer.write_value(key, lease.encode())
        self._state.lease_first_seen_ms[key] = now_ms
        return True

    def holds(self, name: str, now_ms: float) -> bool:
        """Return whether this replica holds the lease.

        A process that was suspended for longer than the term resumes without it, and a
        restarted one holds nothing.
        """
        lease = self.current(name)
        if lease is None or lease.owner != self._state.replica_id:
            return False
        taken_ms = self._state.lease_first_seen_ms[EntryKey(EntryKind.LEASE, name)]
        return now_ms < taken_ms + lease.term_ms * (1 - LEASE_MARGIN)

    def current(self, name: str) -> Lease | None:
        """Return the lease as it was last written, expired or not."""
        entry = self._state.table.get(EntryKey(EntryKind.LEASE, name))
        if isinstance(entry, LeaseEntry) and entry.is_live:
            return entry.lease
        return None

    def _free_for_others_ms(self, key: EntryKey, lease: Lease) -> float:
        first_seen_ms = self._state.lease_first_seen_ms[key]
        return first_seen_ms + lease.term_ms * (1 + LEASE_MARGIN)
