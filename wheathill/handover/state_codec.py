"""Encodes and decodes the state of a proxy: messages that contain named sections.

The string keys are the names on the wire. They stay the same if fields of the records
are renamed.
"""

from collections.abc import Iterator, Sequence

from wheathill.handover.records import (
    AttemptRecord,
    HandoverSnapshot,
    KeyRouteRecord,
    ListedStateRecord,
    PolicyRecord,
    RetryRecord,
    SlotTableRecord,
)
from wheathill.handover.server_codec import decode_server, decode_time, split_servers
from wheathill.handover.validation import (
    require_count,
    require_number,
    require_optional_number,
    require_type,
)

# Keys, ids or names in a message; a larger message would block the event loop for long.
MAX_MESSAGE_ENTRIES = 1000
MIN_ESTIMATE, MAX_ESTIMATE = 1e-6, 1e9  # capacity, concurrency limit
MAX_PROBE_CREDIT = 1e9


def encode_snapshot(
    snapshot: HandoverSnapshot, now_ms: float, max_server_bytes: float
) -> Iterator[dict]:
    """Yield the messages of a state in order, each as an object.

    Args:
        snapshot: the state.
        now_ms: the current time.
        max_server_bytes: the approximate maximum length of a message with servers.
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
    yield {
        "rest": {
            **encode_policy(snapshot.policy),
            "shares_ids": snapshot.shares_session_ids,
            "listed": {
                name: (state.version, state.started_ms, state.has_left)
                for name, state in snapshot.listed_states.items()
            },
        }
    }


def decode_snapshot(sections: dict) -> HandoverSnapshot:
    """Return the state of its collected sections.

    Raises:
        HandoverError: if a value is invalid.
        KeyError, TypeError, IndexError, AttributeError: if a section is missing, the
            first of which is reported, or has another structure.
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
        # Absent in builds that don't share them.
        shares_session_ids=policy.get("shares_ids") is True,
        # Absent in builds that hand over names alone.
        listed_states={
            require_type(name, str): _decode_listed_state(entry)
            for name, entry in policy.get("listed", {}).items()
        },
    )


def _decode_listed_state(entry: Sequence) -> ListedStateRecord:
    version, started_ms, has_left = entry
    return ListedStateRecord(
        version=None if version is None else require_count(version),
        started_ms=require_optional_number(started_ms),
        has_left=require_type(has_left, bool),
    )


def _split_section(section: str, entries: Sequence) -> Iterator[dict]:
    for start in range(0, len(entries), MAX_MESSAGE_ENTRIES):
        yield {section: entries[start : start + MAX_MESSAGE_ENTRIES]}


def encode_slot_table(record: SlotTableRecord) -> dict:
    """Return the encoded slot tables."""
    return {
        "home": record.preferred_servers,
        "current": record.current,
        "new": record.new,
        "opened": list(record.transition_started_ms.items()),
    }


def decode_slot_table(fields: dict) -> SlotTableRecord:
    """Return the record of encoded slot tables; raises as `decode_snapshot`."""
    return SlotTableRecord(
        preferred_servers=_decode_slots(fields["home"]),
        current=_decode_slots(fields["current"]),
        new=_decode_slots(fields["new"]),
        transition_started_ms={
            require_count(slot): require_number(since_ms)
            for slot, since_ms in fields["opened"]
        },
    )


def _decode_slots(value: object) -> list[int | None]:
    return [
        None if index is None else require_count(index)
        for index in require_type(value, list)
    ]


def encode_key_route(record: KeyRouteRecord) -> tuple:
    """Return the encoded route of a key."""
    return record.key, record.server_index, record.since_ms


def decode_key_route(entry: Sequence) -> KeyRouteRecord:
    """Return the record of an encoded key route; raises as `decode_snapshot`."""
    key, server_index, since_ms = entry
    return KeyRouteRecord(
        require_type(key, str), require_count(server_index), require_number(since_ms)
    )


def encode_policy(record: PolicyRecord) -> dict:
    """Return the encoded policy record."""
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
    """Return the record of encoded policy state; raises as `decode_snapshot`."""
    return PolicyRecord(
        maintenance_since_ms={
            require_type(name, str): require_number(since_ms)
            for name, since_ms in fields["out"].items()
        },
        maintenance_ended_ms={
            require_type(name, str): (
                require_number(since_ms),
                require_number(until_ms),
            )
            for name, (since_ms, until_ms) in fields["back"].items()
        },
        attempts=[
            AttemptRecord(
                require_number(at_ms),
                require_count(index),
                require_type(succeeded, bool),
            )
            for at_ms, index, succeeded in fields["dials"]
        ],
        capacity_estimate=_decode_estimate(fields["bearable"]),
        concurrency_limit=_decode_estimate(fields["window"]),
        limit_reduced_ms=decode_time(fields["cut_at"]),
        next_admission_ms=decode_time(fields["next_at"]),
        # Absent in builds without a retry budget.
        retries=[
            RetryRecord(require_number(at_ms), require_number(priority_weight))
            for at_ms, priority_weight in fields.get("further", ())
        ],
        probe_credit=require_number(
            fields["earned"], -MAX_PROBE_CREDIT, MAX_PROBE_CREDIT
        ),
        list_version=require_count(fields["seen"]),
        discovery_address=fields["discovery"],
    )


def _decode_estimate(value: object) -> float:
    return require_number(value, MIN_ESTIMATE, MAX_ESTIMATE)
