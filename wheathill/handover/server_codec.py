"""Encodes and decodes the record of a server.

The string keys are the names on the wire. They stay the same if fields of the records
are renamed, as processes of different builds communicate.
"""

import math
from collections.abc import Iterable, Iterator

from wheathill.handover.records import ServerRecord
from wheathill.handover.validation import (
    require_count,
    require_number,
    require_optional_number,
    require_type,
)
from wheathill.model import Phase

MAX_PORT = 65_535
MIN_WEIGHT, MAX_WEIGHT = 1e-9, 1e9
# Maximum encoded bytes of a server without its name and lists, of the time of an
# attempt, and of a pair of a time and a value.
MAX_SERVER_BYTES, MAX_TIME_BYTES, MAX_PAIR_BYTES = 700, 20, 45


def encode_server(record: ServerRecord, now_ms: float) -> dict:
    """Return the encoded record.

    Older builds require each server's slow-start credit, and the time that it is as of:
    they get a credit of zero at `now_ms`.
    """
    return {
        "name": record.name,
        "address": record.address,
        "zone": record.zone,
        "cell": record.cell,
        "phase": record.phase.value,
        "listed": record.listed_phase.value,
        "silent": record.unanswered_probes,
        "doubted": record.is_removal_unconfirmed,
        "samples": record.load_samples,
        "results": record.recent_results,
        "dialled": record.attempt_times_ms,
        "started": record.started_ms,
        "told": record.leaving_since_ms,
        "late": record.last_late_message_ms,
        "heard": record.last_received_ms,
        "shift_after": record.next_shift_ms,
        "move_after": record.next_migration_ms,
        "asked": record.last_probe_ms,
        "weight": record.weight,
        "credit": 0.0,
        "credited": now_ms,
    }


def decode_server(fields: dict) -> ServerRecord:
    """Return the record of an encoded server.

    Raises:
        HandoverError: if a value is invalid.
        KeyError, TypeError, IndexError: if the object has another structure.
    """
    return ServerRecord(
        name=require_type(fields["name"], str),
        address=_decode_address(fields["address"]),
        zone=require_type(fields["zone"], int),
        cell=require_count(fields["cell"]),
        phase=Phase(fields["phase"]),
        listed_phase=Phase(fields["listed"]),
        unanswered_probes=require_count(fields["silent"]),
        # Absent in older builds, where removal by the list needed no confirmation.
        is_removal_unconfirmed=require_type(fields.get("doubted", False), bool),
        load_samples=[
            (require_number(at_ms), require_number(load))
            for at_ms, load in fields["samples"]
        ],
        recent_results=[
            (require_number(at_ms), require_type(succeeded, bool))
            for at_ms, succeeded in fields["results"]
        ],
        attempt_times_ms=[require_number(at_ms) for at_ms in fields["dialled"]],
        started_ms=require_optional_number(fields["started"]),
        leaving_since_ms=decode_time(fields["told"]),
        last_late_message_ms=decode_time(fields["late"]),
        last_received_ms=decode_time(fields["heard"]),
        next_shift_ms=decode_time(fields["shift_after"]),
        next_migration_ms=decode_time(fields["move_after"]),
        last_probe_ms=decode_time(fields["asked"]),
        weight=require_number(fields["weight"], MIN_WEIGHT, MAX_WEIGHT),
    )


def _decode_address(value: object) -> tuple[str, int] | None:
    if value is None:
        return None
    host = require_type(value[0], str)  # type: ignore[index]  # raises TypeError
    port = require_number(value[1], 0, MAX_PORT)  # type: ignore[index]
    return host, int(port)


def decode_time(value: object) -> float:
    """Return a decoded time; JSON represents minus infinity as null."""
    return -math.inf if value is None else require_number(value)


def split_servers(
    servers: Iterable[ServerRecord], now_ms: float, max_bytes: float
) -> Iterator[list[dict]]:
    """Yield the encoded servers in chunks of at most about `max_bytes`.

    Older builds read only a single chunk, so there is just one if all servers fit in
    it, and also one if there are no servers.
    """
    chunk: list[dict] = []
    chunk_bytes = 0
    for record in servers:
        server_bytes = _max_encoded_bytes(record)
        if chunk and chunk_bytes + server_bytes > max_bytes:
            yield chunk
            chunk, chunk_bytes = [], 0
        chunk.append(encode_server(record, now_ms))
        chunk_bytes += server_bytes
    yield chunk


def _max_encoded_bytes(record: ServerRecord) -> int:
    pairs = len(record.load_samples) + len(record.recent_results)
    times = len(record.attempt_times_ms)
    return (
        MAX_SERVER_BYTES
        + len(record.name)
        + MAX_TIME_BYTES * times
        + MAX_PAIR_BYTES * pairs
    )
