"""The form of a server's record between two processes.

The names on the left are those of the wire and stay, whatever the records' become:
processes of unlike builds talk to each other.
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

HIGHEST_PORT = 65_535
LOWEST_WEIGHT, HIGHEST_WEIGHT = 1e-9, 1e9
# Bytes of one server on the wire at most: without its name and lists, one time of an
# attempt, one pair of a time and a figure.
SERVER_BYTES, TIME_BYTES, PAIR_BYTES = 700, 20, 45


def encode_server(record: ServerRecord, now_ms: float) -> dict:
    """Return the record as the wire has it.

    A build that still keeps a credit for cold servers asks for one, as of now: it gets
    none.
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
    """Return the record of what `encode_server` made.

    Raises:
        HandoverError: if a value cannot be used.
        KeyError, TypeError, IndexError: if the object has another shape.
    """
    return ServerRecord(
        name=require_type(fields["name"], str),
        address=_decode_address(fields["address"]),
        zone=require_type(fields["zone"], int),
        cell=require_count(fields["cell"]),
        phase=Phase(fields["phase"]),
        listed_phase=Phase(fields["listed"]),
        unanswered_probes=require_count(fields["silent"]),
        # A process from before such lists sends none.
        is_removal_unconfirmed=require_type(fields.get("doubted", False), bool),
        load_samples=[
            (require_number(when), require_number(figure))
            for when, figure in fields["samples"]
        ],
        recent_results=[
            (require_number(when), require_type(well, bool))
            for when, well in fields["results"]
        ],
        attempt_times_ms=[require_number(when) for when in fields["dialled"]],
        started_ms=require_optional_number(fields["started"]),
        leaving_since_ms=decode_time(fields["told"]),
        last_late_message_ms=decode_time(fields["late"]),
        last_received_ms=decode_time(fields["heard"]),
        next_shift_ms=decode_time(fields["shift_after"]),
        next_migration_ms=decode_time(fields["move_after"]),
        last_probe_ms=decode_time(fields["asked"]),
        weight=require_number(fields["weight"], LOWEST_WEIGHT, HIGHEST_WEIGHT),
    )


def _decode_address(value: object) -> tuple[str, int] | None:
    if value is None:
        return None
    host = require_type(value[0], str)  # type: ignore[index]  # TypeError says so
    port = require_number(value[1], 0, HIGHEST_PORT)  # type: ignore[index]
    return host, int(port)


def decode_time(value: object) -> float:
    """Return a time; JSON has null for minus infinity."""
    return -math.inf if value is None else require_number(value)


def split_servers(
    servers: Iterable[ServerRecord], now_ms: float, max_bytes: float
) -> Iterator[list[dict]]:
    """Yield the servers' forms in parts of about `max_bytes` at most.

    All in one where they fit, and one part also where there are none: builds that take
    only one part read that.
    """
    part: list[dict] = []
    part_bytes = 0
    for record in servers:
        server_bytes = _max_encoded_bytes(record)
        if part and part_bytes + server_bytes > max_bytes:
            yield part
            part, part_bytes = [], 0
        part.append(encode_server(record, now_ms))
        part_bytes += server_bytes
    yield part


def _max_encoded_bytes(record: ServerRecord) -> int:
    pairs = len(record.load_samples) + len(record.recent_results)
    times = len(record.attempt_times_ms)
    return SERVER_BYTES + len(record.name) + TIME_BYTES * times + PAIR_BYTES * pairs
