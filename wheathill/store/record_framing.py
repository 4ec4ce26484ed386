"""Record format of logs and snapshots, with checksums.

A record consists of the length of its body (4 bytes, big-endian), the CRC-32 of the
body (4 bytes, big-endian) and the body in msgpack.
"""

import struct
import zlib
from dataclasses import dataclass, field
from typing import Any

from msgspec import DecodeError, msgpack

RECORD_HEADER = struct.Struct(">II")
# A larger length is treated as a corrupt length field.
MAX_RECORD_BYTES = 64 * 2**20


@dataclass(slots=True)
class DecodedRecords:
    """Records read from a file.

    Attributes:
        records: contents of the intact records.
        intact_bytes: offset of the end of the last intact record; anything after it is
            a torn write.
        corrupt_offsets: offsets at which corruption begins that is followed by intact
            records.
    """

    records: list[Any] = field(default_factory=list)
    intact_bytes: int = 0
    corrupt_offsets: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _FramedRecord:
    content: Any
    end: int


def encode_record(content: object) -> bytes:
    """Encode one record with its header."""
    body = msgpack.encode(content)
    return RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def decode_records(data: bytes) -> DecodedRecords:
    """Decode all intact records.

    After corruption, decoding resumes at the next offset that holds an intact record.
    """
    decoded = DecodedRecords()
    offset = 0
    while offset < len(data):
        record = _record_at(data, offset)
        if record is None:
            next_offset = _next_intact_offset(data, offset + 1)
            if next_offset is None:
                break  # no intact record follows: a torn write at the end
            decoded.corrupt_offsets.append(offset)
            offset = next_offset
            continue
        decoded.records.append(record.content)
        offset = decoded.intact_bytes = record.end
    return decoded


def _next_intact_offset(data: bytes, start: int) -> int | None:
    for offset in range(start, len(data) - RECORD_HEADER.size + 1):
        if _record_at(data, offset) is not None:
            return offset
    return None


def _record_at(data: bytes, offset: int) -> _FramedRecord | None:
    if offset + RECORD_HEADER.size > len(data):
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER.size
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
