"""Splits encoded records into what a datagram takes, which needs no connection first.

A stream's first segment, where it is lost, is sent again after a second.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from wheathill.peers.zones.messages import EncodedRecord

# Bytes of records in a datagram, which leave room for a frame's head and the header
# within an Ethernet frame.
MAX_BATCH_BYTES = 1150


@dataclass(slots=True)
class BucketBatch:
    """Some buckets, and all records in them, in the order of the buckets."""

    buckets: list[int] = field(default_factory=list)
    records: list[EncodedRecord] = field(default_factory=list)


class RecordBatcher:
    """Splits by size; `encoded_size(value)` is in bytes, within a frame's payload."""

    def __init__(self, encoded_size: Callable[[object], int]) -> None:
        self._encoded_size = encoded_size

    def split_records(
        self, records: Iterable[EncodedRecord]
    ) -> Iterator[list[EncodedRecord]]:
        """Yield the records in batches; a record that is larger has one of its own."""
        batch: list[EncodedRecord] = []
        batch_bytes = 0
        for record in records:
            record_bytes = self._encoded_size(record)
            if batch and batch_bytes + record_bytes > MAX_BATCH_BYTES:
                yield batch
                batch, batch_bytes = [], 0
            batch.append(record)
            batch_bytes += record_bytes
        if batch:
            yield batch

    def split_buckets(
        self, records_by_bucket: Mapping[int, Sequence[EncodedRecord]]
    ) -> Iterator[BucketBatch]:
        """Yield whole buckets in batches.

        What is sent of a bucket is all of it, and goes by stream where that is larger.
        """
        batch, batch_bytes = BucketBatch(), 0
        for bucket, records in records_by_bucket.items():
            bucket_bytes = self._encoded_size(records)
            if batch.buckets and batch_bytes + bucket_bytes > MAX_BATCH_BYTES:
                yield batch
                batch, batch_bytes = BucketBatch(), 0
            batch.buckets.append(bucket)
            batch.records.extend(records)
            batch_bytes += bucket_bytes
        if batch.buckets:
            yield batch
