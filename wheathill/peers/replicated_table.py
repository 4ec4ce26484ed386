"""A small table, fully replicated to every proxy of a fleet of zones. Free of I/O.

Of two records with the same key, the table keeps the one with the greater version: last
writer wins, by logical clocks (Lamport, "Time, Clocks, and the Ordering of Events in a
Distributed System", 1978). The result doesn't depend on the order of arrival.

Replicas are compared by the digests of buckets of keys, which are maintained
incrementally (anti-entropy: Demers et al., "Epidemic Algorithms for Replicated Database
Maintenance", 1987). A digest request contains the digests of all buckets, the reply all
records in the buckets that differ, and the requester then sends back the records in
these buckets of which it has newer versions.
"""

import hashlib
from collections.abc import Iterable, Sequence
from typing import Generic

from wheathill.peers.table_records import (
    ZONE_PREFIX,
    SummaryT,
    TableRecord,
)

BUCKET_COUNT = 32
# Maximum number of servers with a record; the least recently written are evicted.
MAX_SERVER_RECORDS = 4096
# Maximum difference between the clocks of machines. A process start that is further in
# the future is rejected.
MAX_CLOCK_SKEW_MS = 60_000.0
# How long the record of a server is kept. A drain may take a day; a start matters only
# while the server warms up and some endpoint lists are not yet up to date.
DRAIN_RETENTION_MS = 86_400_000.0
START_RETENTION_MS = 600_000.0


def _record_digest(record: TableRecord[SummaryT]) -> int:
    text = repr(record.versioned_key()).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=6).digest(), "big")


def _bucket_index(key: str) -> int:
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def _eviction_order(record: TableRecord[SummaryT]) -> tuple[float, float, str]:
    """Return the sort key of servers' records by age; the lowest is evicted first."""
    return record.server_state.written_ms, record.epoch, record.key


class ReplicatedTable(Generic[SummaryT]):
    """The replica of one member.

    `zones` are the names of the zones that may have a record.

    Attributes:
        records: the records by key.
        bucket_digests: for each bucket, the XOR of the digests of its records.
        digest: the XOR of the digests of all records. With XOR the same operation adds
            a record to a digest and removes it.
    """

    def __init__(self, zones: Iterable[str]) -> None:
        self._zone_count = len(frozenset(zones))
        self.records: dict[str, TableRecord[SummaryT]] = {}
        self.bucket_digests = [0] * BUCKET_COUNT
        self.digest = 0

    def _toggle_digests(self, record: TableRecord[SummaryT]) -> None:
        digest = _record_digest(record)
        self.bucket_digests[_bucket_index(record.key)] ^= digest
        self.digest ^= digest

    def _put(self, record: TableRecord[SummaryT]) -> None:
        current = self.records.pop(record.key, None)
        if current is not None:
            self._toggle_digests(current)
        self.records[record.key] = record
        self._toggle_digests(record)

    def remove(self, key: str) -> None:
        """Remove the record of `key`, which must be in the table."""
        self._toggle_digests(self.records.pop(key))

    # Merging

    def merge(
        self, wall_ms: float, records: Iterable[TableRecord[SummaryT]]
    ) -> list[TableRecord[SummaryT]]:
        """Add the records that are newer than the replica's, and return these."""
        newer = []
        for record in records:
            if self._merge_one(wall_ms, record):
                newer.append(record)
        return newer

    def _merge_one(self, wall_ms: float, record: TableRecord[SummaryT]) -> bool:
        current = self.records.get(record.key)
        if current is not None and current.version >= record.version:
            return False
        if record.server is not None and not self._admit(wall_ms, record):
            return False
        self._put(record)
        return True

    def _admit(self, wall_ms: float, record: TableRecord[SummaryT]) -> bool:
        """Return whether to add a server's record; evicts another one if needed."""
        if record.epoch > wall_ms + MAX_CLOCK_SKEW_MS:
            return False
        return not self._is_expired(wall_ms, record) and self._make_room(record)

    @staticmethod
    def _is_expired(wall_ms: float, record: TableRecord[SummaryT]) -> bool:
        state = record.server_state
        retention = DRAIN_RETENTION_MS if state.is_draining else START_RETENTION_MS
        return max(record.epoch, state.written_ms) + retention < wall_ms

    def _make_room(self, record: TableRecord[SummaryT]) -> bool:
        """Evict the oldest record of a server if the table is full.

        Returns False if `record` itself is the oldest. The order of eviction is the
        same at every replica.
        """
        limit = MAX_SERVER_RECORDS + self._zone_count
        if record.key in self.records or len(self.records) < limit:
            return True
        servers = [entry for entry in self.records.values() if entry.server is not None]
        oldest = min(servers, key=_eviction_order)
        if _eviction_order(oldest) >= _eviction_order(record):
            return False
        self.remove(oldest.key)
        return True

    def remove_expired(self, wall_ms: float) -> None:
        """Remove the records of servers whose retention time has passed."""
        expired = [
            key
            for key, record in self.records.items()
            if record.server is not None and self._is_expired(wall_ms, record)
        ]
        for key in expired:
            self.remove(key)

    # Anti-entropy

    def differing_buckets(self, bucket_digests: Sequence[int]) -> list[int]:
        """Return the buckets whose digests differ from those of another replica.

        Raises:
            ValueError: The other replica has a different number of buckets.
        """
        if len(bucket_digests) != BUCKET_COUNT:
            raise ValueError("wrong number of bucket digests")
        pairs = zip(self.bucket_digests, bucket_digests, strict=True)
        return [bucket for bucket, (own, other) in enumerate(pairs) if own != other]

    def records_by_bucket(
        self, buckets: Iterable[int]
    ) -> dict[int, list[TableRecord[SummaryT]]]:
        """Return the records in each of `buckets`, sorted by key."""
        by_bucket: dict[int, list[TableRecord[SummaryT]]] = {
            bucket: [] for bucket in buckets
        }
        for key in sorted(self.records):
            bucket = _bucket_index(key)
            if bucket in by_bucket:
                by_bucket[bucket].append(self.records[key])
        return by_bucket

    def newer_records(
        self, buckets: Iterable[int], records: Iterable[TableRecord[SummaryT]]
    ) -> list[TableRecord[SummaryT]]:
        """Return the records in `buckets` that another replica lacks.

        `records` are all records that the other replica has in these buckets.
        """
        versions = {record.key: record.version for record in records}
        return [
            record
            for bucket_records in self.records_by_bucket(buckets).values()
            for record in bucket_records
            if record.key not in versions or versions[record.key] < record.version
        ]

    # Zones

    def summary(self, zone: str) -> TableRecord[SummaryT] | None:
        """Return the record of a zone's latest summary, or None if there is none."""
        return self.records.get(ZONE_PREFIX + zone)

    def write_summary(
        self, zone: str, writer: str, summary: SummaryT
    ) -> TableRecord[SummaryT]:
        """Store a new summary of a zone, and return its record for sending."""
        current = self.summary(zone)
        counter = (current.counter if current else 0) + 1
        record = TableRecord(ZONE_PREFIX + zone, 0, counter, writer, summary)
        self._put(record)
        return record
