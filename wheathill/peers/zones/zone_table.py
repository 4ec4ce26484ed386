"""The replicated table of a fleet of zones, with its records' form in messages."""

from collections.abc import Callable, Iterable, Iterator

from wheathill.peers.replicated_table import ReplicatedTable
from wheathill.peers.table_records import RecordCodec, TableRecord
from wheathill.peers.zones.messages import EncodedRecord
from wheathill.peers.zones.record_batches import BucketBatch, RecordBatcher
from wheathill.peers.zones.zone_summary import ZoneSummary

ZoneTableRecord = TableRecord[ZoneSummary]


class ZoneTable:
    """A replica of the table, what reads records, and what splits them into datagrams.

    `zones` are the names of all zones. `encoded_size(value)` is in bytes, within a
    frame's payload.
    """

    def __init__(self, zones: list[str], encoded_size: Callable[[object], int]) -> None:
        self.replica: ReplicatedTable[ZoneSummary] = ReplicatedTable(zones)
        self._codec = RecordCodec(zones, ZoneSummary.decode, ZoneSummary.encode)
        self._batcher = RecordBatcher(encoded_size)

    def decode(self, records: Iterable[EncodedRecord]) -> list[ZoneTableRecord]:
        """Return the records that a message holds.

        Raises ValueError or TypeError where one is none, or of a zone that the layout
        doesn't name.
        """
        return self._codec.decode_all(records)

    def batches(
        self, records: Iterable[ZoneTableRecord]
    ) -> Iterator[list[EncodedRecord]]:
        """Yield records, encoded, as many at a time as a datagram takes."""
        return self._batcher.split_records(self._codec.encode_all(records))

    def bucket_batches(self, buckets: Iterable[int]) -> Iterator[BucketBatch]:
        """Yield all records in whole buckets, as many as a datagram takes."""
        return self._batcher.split_buckets(self.encoded_by_bucket(buckets))

    def encoded_by_bucket(
        self, buckets: Iterable[int]
    ) -> dict[int, list[EncodedRecord]]:
        """Return the records in each of `buckets`, encoded."""
        return {
            bucket: list(self._codec.encode_all(records))
            for bucket, records in self.replica.records_by_bucket(buckets).items()
        }

    def encoded_summary(self, zone: str) -> list[EncodedRecord]:
        """Return the record of a zone's summary, encoded, if there is one."""
        record = self.replica.summary(zone)
        return [] if record is None else [self._codec.encode(record)]
