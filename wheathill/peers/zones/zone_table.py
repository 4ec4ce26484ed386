"""The replicated table of a fleet of zones, with the encoding of its records."""

from collections.abc import Callable, Iterable, Iterator

from wheathill.peers.replicated_table import ReplicatedTable
from wheathill.peers.table_records import RecordCodec, TableRecord
from wheathill.peers.zones.messages import EncodedRecord
from wheathill.peers.zones.record_batches import BucketBatch, RecordBatcher
from wheathill.peers.zones.zone_summary import ZoneSummary

ZoneTableRecord = TableRecord[ZoneSummary]


class ZoneTable:
    """A replica of the table that encodes and decodes records, and batches them.

    `zones` are the names of all zones. `encoded_size(value)` returns the size of a
    value in a frame's payload, in bytes.

    Attributes:
        replica: the replica of the table.
    """

    def __init__(self, zones: list[str], encoded_size: Callable[[object], int]) -> None:
        self.replica: ReplicatedTable[ZoneSummary] = ReplicatedTable(zones)
        self._codec = RecordCodec(zones, ZoneSummary.decode, ZoneSummary.encode)
        self._batcher = RecordBatcher(encoded_size)

    def decode(self, records: Iterable[EncodedRecord]) -> list[ZoneTableRecord]:
        """Return the records that were received in a message.

        Raises ValueError or TypeError if one of them is malformed, or belongs to a zone
        that is not in the layout.
        """
        return self._codec.decode_all(records)

    def batches(
        self, records: Iterable[ZoneTableRecord]
    ) -> Iterator[list[EncodedRecord]]:
        """Yield the records in encoded form, in batches that fit into a datagram."""
        return self._batcher.split_records(self._codec.encode_all(records))

    def bucket_batches(self, buckets: Iterable[int]) -> Iterator[BucketBatch]:
        """Yield all records in `buckets`, as whole buckets that fit into a datagram."""
        return self._batcher.split_buckets(self.encoded_by_bucket(buckets))

    def encoded_by_bucket(
        self, buckets: Iterable[int]
    ) -> dict[int, list[EncodedRecord]]:
        """Return the records in each of `buckets`, in encoded form."""
        return {
            bucket: list(self._codec.encode_all(records))
            for bucket, records in self.replica.records_by_bucket(buckets).items()
        }

    def encoded_summary(self, zone: str) -> list[EncodedRecord]:
        """Return the encoded record of a zone's summary, or an empty list."""
        record = self.replica.summary(zone)
        return [] if record is None else [self._codec.encode(record)]
