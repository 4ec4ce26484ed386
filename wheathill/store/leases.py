"""Leases, timed by each instance's own monotonic clock.

The holder measures the term from before it wrote the lease, the other instances from
when they first saw it, with a safety margin in between. No instance depends on another
instance's clock.
"""

from wheathill.store.entry_key import EntryKey, EntryKind
from wheathill.store.local_writes import LocalWriter
from wheathill.store.replica_state import ReplicaState
from wheathill.store.value_entries import Lease, LeaseEntry

# Fraction of the term by which the holder stops early and the others wait longer, to
# tolerate clocks that run at different rates.
LEASE_MARGIN = 0.1


class LeaseManager:
    """Acquires, renews and checks leases on behalf of a replica."""

    def __init__(self, state: ReplicaState, writer: LocalWriter) -> None:
        self._state = state
        self._writer = writer

    def acquire(self, name: str, now_ms: float, term_ms: float) -> bool:
        """Acquire or renew a lease; return False while another instance may hold it.

        Two partitioned instances may both acquire the same lease. The later write wins
        when they converge, so the protected resource must compare the fencing token,
        which never decreases.
        """
        key = EntryKey(EntryKind.LEASE, name)
        current = self.current(name)
        token = 1
        if current is not None:
            token = current.token
            if current.owner != self._state.replica_id:
                if now_ms < self._expiry_for_others_ms(key, current):
                    return False
                token += 1
            elif not self.holds(name, now_ms):
                token += 1  # it had expired, which another instance may have noticed
        lease = Lease(self._state.replica_id, token, term_ms)
        self._writer.write_value(key, lease.encode())
        self._state.lease_first_seen_ms[key] = now_ms
        return True

    def holds(self, name: str, now_ms: float) -> bool:
        """Return whether this replica holds the lease.

        A process that was suspended for longer than the term no longer holds the lease
        when it resumes, and a restarted process holds none.
        """
        lease = self.current(name)
        if lease is None or lease.owner != self._state.replica_id:
            return False
        acquired_ms = self._state.lease_first_seen_ms[EntryKey(EntryKind.LEASE, name)]
        return now_ms < acquired_ms + lease.term_ms * (1 - LEASE_MARGIN)

    def current(self, name: str) -> Lease | None:
        """Return the lease as last written, even if it has expired."""
        entry = self._state.table.get(EntryKey(EntryKind.LEASE, name))
        if isinstance(entry, LeaseEntry) and entry.is_live:
            return entry.lease
        return None

    def _expiry_for_others_ms(self, key: EntryKey, lease: Lease) -> float:
        first_seen_ms = self._state.lease_first_seen_ms[key]
        return first_seen_ms + lease.term_ms * (1 + LEASE_MARGIN)
