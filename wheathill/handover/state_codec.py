"""The form of a proxy's state between two processes: named sections, in messages.

The names on the left are those of the wire and stay, whatever the records' become.
"""

from collections.abc import Iterator, Sequence

from wheathill.handover.records import (
    AttemptRecord,
    HandoverSnapshot,
    KeyRouteRecord,
    PolicyRecord,
    RetryRecord,
    SlotTableRecord,
)
from wheathill.handover.server_codec import decode_server, decode_time, split_servers
from wheathill.handover.validation import require_count, require_number, require_type

CHUNK_ENTRIES = 1000  # keys, ids or names in one message: none takes the loop for long
LOWEST_ESTIMATE, HIGHEST_ESTIMATE = 1e-6, 1e9  # of the capacity and the window
PROBE_CREDIT_LIMIT = 1e9


def encode_snapshot(
    snapshot: HandoverSnapshot, now_ms: float, max_server_bytes: float
) -> Iterator[dict]:
    """Yield the messages of a state, in order; each is one object.

    Args:
        snapshot: the state.
        now_ms: the present time.
        max_server_bytes: about how long a message with servers may be.
    """
    for servers in split_servers(snapshot.servers, now_ms, max_server_bytes):
        yield {"servers": servers}
    yield {"table": encode_slot_table(snapshot.slots)}
    moved = [encode_key_route(record) for record in snapshot.moved_keys]
    yield from _split_section("moved", moved)
    exceptions = [encode_key_route(record) for record in snapshot.exception_keys]
    yield from _split_section("exceptions", exceptions)
    yield from _split_section("ids", snapshot.session_ids)
    yield from _split_section("names", snapshot.server_names)
    yield {"rest": encode_policy(snapshot.policy)}


def decode_snapshot(sections: dict) -> HandoverSnapshot:
    """Return the state of its collected sections; what is missing first is reported.

    Raises:
        HandoverError: if a value cannot be used.
        KeyError, TypeError, IndexError, AttributeError: if a section has another shape.
    """
    policy = sections["rest"]
    return HandoverSnapshot(
        servers=[decode_server(fields) for fields in sections["servers"]],
        slots=decode_slot_table(sections["table"]),
        moved_keys=[decode_key_route(entry) for entry in sections["moved"]],
        exception_keys=[decode_key_route(entry) for entry in sections["exceptions"]],
        session_ids=[require_type(name, str) for name in sections["ids"]],
        server_names=[require_type(name, str) for name in sections["names"]],
        policy=decode_policy(policy),
    )


def _split_section(section: str, entries: Sequence) -> Iterator[dict]:
    for start in range(0, len(entries), CHUNK_ENTRIES):
        yield {section: entries[start : start + CHUNK_ENTRIES]}


def encode_slot_table(record: SlotTableRecord) -> dict:
    """Return the tables as the wire has them."""
    return {
        "home": record.preferred_servers,
        "current": record.current,
        "new": record.new,
        "opened": list(record.transition_started_ms.items()),
    }


def decode_slot_table(fields: dict) -> SlotTableRecord:
    """Return the record of what `encode_slot_table` made; raises as that of a state."""
    return SlotTableRecord(
        preferred_servers=_decode_slots(fields["home"]),
        current=_decode_slots(fields["current"]),
        new=_decode_slots(fields["new"]),
        transition_started_ms={
            require_count(slot): require_number(since)
            for slot, since in fields["opened"]
        },
    )


def _decode_slots(value: object) -> list[int | None]:
    return [
        None if index is None else require_count(index)
        for index in require_type(value, list)
    ]


def encode_key_route(record: KeyRouteRecord) -> tuple:
    """Return a key's server as the wire has it."""
    return record.key, record.server_index, record.since_ms


def decode_key_route(entry: Sequence) -> KeyRouteRecord:
    """Return the record of what `encode_key_route` made; raises as that of a state."""
    key, server_index, since = entry
    return KeyRouteRecord(
        require_type(key, str), require_count(server_index), require_number(since)
    )


def encode_policy(record: PolicyRecord) -> dict:
    """Return what belongs to no server or slot as the wire has it."""
    return {
        "seen": record.list_version,
        "discovery": record.discovery_address,
        "out": record.maintenance_since_ms,
        "back": record.maintenance_ended_ms,
        "bearable": record.capacity_estimate,
        "earned": record.probe_credit,
        "window": record.concurrency_limit,
        "cut_at": record.limit_reduced_ms,
        "next_at": record.next_admission_ms,
        "further": [(retry.at_ms, retry.priority_weight) for retry in record.retries],
        "dials": [
            (attempt.at_ms, attempt.server_index, attempt.succeeded)
            for attempt in record.attempts
        ],
    }


def decode_policy(fields: dict) -> PolicyRecord:
    """Return the record of what `encode_decisions` made; raises as that of a state."""
    return PolicyRecord(
        maintenance_since_ms={
            require_type(name, str): require_number(since)
            for name, since in fields["out"].items()
        },
        maintenance_ended_ms={
            require_type(name, str): (require_number(since), require_number(until))
            for name, (since, until) in fields["back"].items()
        },
        attempts=[
            AttemptRecord(
                require_number(when), require_count(index), require_type(well, bool)
            )
            for when, index, well in fields["dials"]
        ],
        capacity_estimate=_decode_estimate(fields["bearable"]),
        concurrency_limit=_decode_estimate(fields["window"]),
        limit_reduced_ms=decode_time(fields["cut_at"]),
        next_admission_ms=decode_time(fields["next_at"]),
        # A process from before the retry budget sends none.
        retries=[
            RetryRecord(require_number(when), require_number(priority_weight))
            for when, priority_weight in fields.get("further", ())
        ],
        probe_credit=require_number(
            fields["earned"], -PROBE_CREDIT_LIMIT, PROBE_CREDIT_LIMIT
        ),
        list_version=require_count(fields["seen"]),
        discovery_address=fields["discovery"],
    )


def _decode_estimate(value: object) -> float:
    return require_number(value, LOWEST_ESTIMATE, HIGHEST_ESTIMATE)
