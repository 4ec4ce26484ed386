"""A small table that every proxy of a fleet of zones holds whole, free of I/O.

Of two records with one key the one with the greater version is held (last writer
wins, by the clocks of Lamport, "Time, Clocks, and the Ordering of Events in a
Distributed System", 1978), so the order of arrival changes nothing.

Two replicas are compared by digests of buckets, which are kept up to date and not
recomputed (anti-entropy: Demers et al., "Epidemic Algorithms for Replicated Database
Maintenance", 1987). A digest request carries the digests of all buckets, the reply all
records of the buckets that differ, and a delta what the requester has newer than those.
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
# Servers of which records are held; those that were written last stay.
MAX_SERVER_RECORDS = 4096
# Clocks of machines may differ by so much; a start that lies further ahead is none.
MAX_CLOCK_SKEW_MS = 60_000.0
# How long a server's record is held. A drain may take a day; a start is of interest
# only while the server warms up and lists are still behind.
DRAIN_RETENTION_MS = 86_400_000.0
START_RETENTION_MS = 600_000.0


def _record_digest(record: TableRecord[SummaryT]) -> int:
    text = repr(record.versioned_key()).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=6).digest(), "big")


def _bucket_of(key: str) -> int:
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def _age_order(record: TableRecord[SummaryT]) -> tuple[float, float, str]:
    """Return what servers' records are sorted by, the one to be dropped first."""
    return record.server_state.written_ms, record.epoch, record.key


class ReplicatedTable(Generic[SummaryT]):
    """One member's replica of the table, with a record for each of `zones` at most.

    `digest` is the XOR of the digests of all records, and `bucket_digests` of those in
    each bucket, so that a record is added and removed by the same operation.
    """

    def __init__(self, zones: Iterable[str]) -> None:
        self._zone_count = len(frozenset(zones))
        self.records: dict[str, TableRecord[SummaryT]] = {}
        self.bucket_digests = [0] * BUCKET_COUNT
        self.digest = 0

    def _toggle_digests(self, record: TableRecord[SummaryT]) -> None:
        digest = _record_digest(record)
        self.bucket_digests[_bucket_of(record.key)] ^= digest
        self.digest ^= digest

    def _put(self, record: TableRecord[SummaryT]) -> None:
        held = self.records.pop(record.key, None)
        if held is not None:
            self._toggle_digests(held)
        self.records[record.key] = record
        self._toggle_digests(record)

    def remove(self, key: str) -> None:
        """Drop the record of `key`, which must be held."""
        self._toggle_digests(self.records.pop(key))

    # Merging

    def merge(
        self, wall_ms: float, records: Iterable[TableRecord[SummaryT]]
    ) -> list[TableRecord[SummaryT]]:
        """Take the records that are newer than those held, and return these."""
        newer = []
        for record in records:
            if self._merge_one(wall_ms, record):
                newer.append(record)
        return newer

    def _merge_one(self, wall_ms: float, record: TableRecord[SummaryT]) -> bool:
        held = self.records.get(record.key)
        if held is not None and held.version >= record.version:
            return False
        if record.server is not None and not self._accepts(wall_ms, record):
            return False
        self._put(record)
        return True

    def _accepts(self, wall_ms: float, record: TableRecord[SummaryT]) -> bool:
        """Whether a server's record may be held; drops another one to make room."""
        if record.epoch > wall_ms + MAX_CLOCK_SKEW_MS:
            return False
        return not self._is_expired(wall_ms, record) and self._make_room(record)

    @staticmethod
    def _is_expired(wall_ms: float, record: TableRecord[SummaryT]) -> bool:
        state = record.server_state
        retention = DRAIN_RETENTION_MS if state.is_draining else START_RETENTION_MS
        return max(record.epoch, state.written_ms) + retention < wall_ms

    def _make_room(self, record: TableRecord[SummaryT]) -> bool:
        """Of too many the oldest goes, which is the same one at every replica."""
        limit = MAX_SERVER_RECORDS + self._zone_count
        if record.key in self.records or len(self.records) < limit:
            return True
        servers = [held for held in self.records.values() if held.server is not None]
        oldest = min(servers, key=_age_order)
        if _age_order(oldest) >= _age_order(record):
            return False
        self.remove(oldest.key)
        return True

    def remove_expired(self, wall_ms: float) -> None:
        """Drop servers' records that are past their retention."""
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
            ValueError: The other replica has another number of buckets.
        """
        if len(bucket_digests) != BUCKET_COUNT:
            raise ValueError("not as many buckets")
        pairs = zip(self.bucket_digests, bucket_digests, strict=True)
        return [bucket for bucket, (own, other) in enumerate(pairs) if own != other]

    def records_by_bucket(
        self, buckets: Iterable[int]
    ) -> dict[int, list[TableRecord[SummaryT]]]:
        """Return the records in each of `buckets`, in the order of their keys."""
        found: dict[int, list[TableRecord[SummaryT]]] = {
            bucket: [] for bucket in buckets
        }
        for key in sorted(self.records):
            bucket = _bucket_of(key)
            if bucket in found:
                found[bucket].append(self.records[key])
        return found

    def newer_records(
        self, buckets: Iterable[int], records: Iterable[TableRecord[SummaryT]]
    ) -> list[TableRecord[SummaryT]]:
        """Return what a replica that holds `records` in `buckets` lacks there."""
        versions = {record.key: record.version for record in records}
        return [
            record
            for held in self.records_by_bucket(buckets).values()
            for record in held
            if record.key not in versions or versions[record.key] < record.version
        ]

    # Zones

    def summary(self, zone: str) -> TableRecord[SummaryT] | None:
        """Return the record of a zone's last summary, or None if there is none yet."""
        return self.records.get(ZONE_PREFIX + zone)

    def write_summary(
        self, zone: str, writer: str, summary: SummaryT
    ) -> TableRecord[SummaryT]:
        """Hold a new summary of a zone, and return its record, which is to be sent."""
        held = self.summary(zone)
        counter = (held.counter if held else 0) + 1
        record = TableRecord(ZONE_PREFIX + zone, 0, counter, writer, summary)
        self._put(record)
        return record
