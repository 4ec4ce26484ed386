"""Records with checksums, as logs and snapshots hold them.

A record is its length (4 bytes, big-endian), the CRC-32 of its body (4 bytes,
big-endian) and the body in msgpack.
"""

import struct
import zlib
from dataclasses import dataclass, field
from typing import Any

from msgspec import DecodeError, msgpack

HEADER = struct.Struct(">II")
# A longer one is taken for damage of the length.
MAX_RECORD_BYTES = 64 * 2**20


@dataclass(slots=True)
class DecodedRecords:
    """What was read from a file.

    Attributes:
        records: contents of the intact records.
        intact_bytes: where the last intact record ends; what follows was torn off.
        corrupt_offsets: where damage begins that intact records follow.
    """

    records: list[Any] = field(default_factory=list)
    intact_bytes: int = 0
    corrupt_offsets: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _FramedRecord:
    content: Any
    end: int


def encode_record(content: object) -> bytes:
    """Return the bytes of one record."""
    body = msgpack.encode(content)
    return HEADER.pack(len(body), zlib.crc32(body)) + body


def decode_records(data: bytes) -> DecodedRecords:
    """Read all intact records.

    After damage the next offset is searched at which an intact record stands.
    """
    decoded = DecodedRecords()
    offset = 0
    while offset < len(data):
        record = _record_at(data, offset)
        if record is None:
            next_offset = _next_intact_offset(data, offset + 1)
            if next_offset is None:
                break  # nothing intact follows: the end was torn off
            decoded.corrupt_offsets.append(offset)
            offset = next_offset
            continue
        decoded.records.append(record.content)
        offset = decoded.intact_bytes = record.end
    return decoded


def _next_intact_offset(data: bytes, start: int) -> int | None:
    for offset in range(start, len(data) - HEADER.size + 1):
        if _record_at(data, offset) is not None:
            return offset
    return None


def _record_at(data: bytes, offset: int) -> _FramedRecord | None:
    if offset + HEADER.size > len(data):
        return None
    length, checksum = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    end = start + length
    if not 0 < length <= MAX_RECORD_BYTES or end > len(data):
        return None
    body = bytes(data[start:end])
    if zlib.crc32(body) != checksum:
        return None
    try:
        return _FramedRecord(msgpack.decode(body), end)
    except DecodeError:
        return None
