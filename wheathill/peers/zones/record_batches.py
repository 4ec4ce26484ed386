"""Splits encoded records into what a datagram takes, which needs no connection first.

A stream's first segment, where it is lost, is sent again after a second.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from wheathill.peers.zones.messages import EncodedRecord

# Bytes of records in a datagram, which leave room for a frame's head and the header
# within an Ethernet frame.
MAX_BATCH_BYTES = 1150

_encode = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class BucketBatch:
    """Some buckets, and all records in them, in the order of the buckets."""

    buckets: list[int] = field(default_factory=list)
    records: list[EncodedRecord] = field(default_factory=list)


def split_records(records: Iterable[EncodedRecord]) -> Iterator[list[EncodedRecord]]:
    """Yield the records in batches; a record that is larger has one of its own."""
    batch: list[EncodedRecord] = []
    size = 0
    for record in records:
        length = len(_encode(record))
        if batch and size + length > MAX_BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += length
    if batch:
        yield batch


def split_buckets(
    records_by_bucket: Mapping[int, Sequence[EncodedRecord]],
) -> Iterator[BucketBatch]:
    """Yield whole buckets in batches.

    What is sent of a bucket is all of it, and goes by stream where that is larger.
    """
    batch, size = BucketBatch(), 0
    for bucket, records in records_by_bucket.items():
        length = len(_encode(records))
        if batch.buckets and size + length > MAX_BATCH_BYTES:
            yield batch
            batch, size = BucketBatch(), 0
        batch.buckets.append(bucket)
        batch.records.extend(records)
        size += length
    if batch.buckets:
        yield batch
