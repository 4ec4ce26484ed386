"""Splits encoded records into batches that fit into a datagram.

A datagram needs no connection, whereas a stream whose first segment is lost is delayed
by a second until the retransmission.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from wheathill.peers.zones.messages import EncodedRecord

# Maximum size of the records in a datagram. It leaves room for the frame's header and
# the view header within one Ethernet frame.
MAX_BATCH_BYTES = 1150


@dataclass(slots=True)
class BucketBatch:
    """Some buckets and all records in them, in the order of the buckets."""

    buckets: list[int] = field(default_factory=list)
    records: list[EncodedRecord] = field(default_factory=list)


class RecordBatcher:
    """Splits records by their encoded size.

    `encoded_size(value)` returns the size of a value in a frame's payload, in bytes.
    """

    def __init__(self, encoded_size: Callable[[object], int]) -> None:
        self._encoded_size = encoded_size

    def split_records(
        self, records: Iterable[EncodedRecord]
    ) -> Iterator[list[EncodedRecord]]:
        """Yield the records in batches; an oversized record gets a batch of its own."""
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

        A bucket is always sent completely; one that is too large for a datagram is sent
        by stream.
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
