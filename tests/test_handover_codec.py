"""Each record of a handover comes back from the wire as it was; what contradicts itself is refused."""

import dataclasses
import math

import orjson
import pytest

from wheathill.handover.errors import HandoverError
from wheathill.handover.messages import MaintenanceChange, SessionBatch, StateApplied
from wheathill.handover.records import (
    AttemptRecord,
    HandoverSnapshot,
    KeyRouteRecord,
    PolicyRecord,
    RetryRecord,
    ServerRecord,
    SessionRecord,
    SlotTableRecord,
)
from wheathill.handover.restore import RestoredState
from wheathill.handover.server_codec import decode_server, encode_server, split_servers
from wheathill.handover.session_codec import decode_session, encode_session
from wheathill.handover.state_codec import decode_snapshot, encode_snapshot
from wheathill.model import Phase

# No two fields of one record hold the same value: one taken for another shows.
SERVER = ServerRecord(
    name="ready-é",
    address=("10.0.0.1", 3001),
    zone=-1,
    cell=3,
    phase=Phase.READY,
    listed_phase=Phase.DRAINING,
    unanswered_probes=2,
    is_removal_unconfirmed=True,
    load_samples=[(1.5, 0.25), (2.5, 0.75)],
    recent_results=[(3.5, True), (4.5, False)],
    attempt_times_ms=[5.5, 6.5],
    started_ms=7.5,
    leaving_since_ms=8.5,
    last_late_message_ms=9.5,
    last_received_ms=10.5,
    next_shift_ms=11.5,
    next_migration_ms=12.5,
    last_probe_ms=13.5,
    weight=14.5,
)
LEAVING = dataclasses.replace(
    SERVER,
    name="leaving",
    address=None,
    phase=Phase.GONE,
    started_ms=None,
    last_late_message_ms=-math.inf,
    last_received_ms=-math.inf,
    last_probe_ms=-math.inf,
)
SNAPSHOT = HandoverSnapshot(
    servers=[SERVER, LEAVING],
    slots=SlotTableRecord(
        preferred_servers=[0, None, 0],
        current=[None, 0, 0],
        new=[0, 0, None],
        transition_started_ms={1: 20.5, 0: 21.5},
    ),
    moved_keys=[KeyRouteRecord("moved", 0, 22.5)],
    exception_keys=[KeyRouteRecord("kept", 1, 23.5)],
    session_ids=["id 2", "id 1"],
    server_names=["unlisted", "leaving", "ready-é"],
    policy=PolicyRecord(
        list_version=7,
        discovery_address=["127.0.0.1", 2],
        maintenance_since_ms={"out": 24.5},
        maintenance_ended_ms={"back": (25.5, 26.5)},
        capacity_estimate=27.5,
        probe_credit=-28.5,
        concurrency_limit=29.5,
        limit_reduced_ms=-math.inf,
        next_admission_ms=30.5,
        retries=[RetryRecord(31.5, 32.5)],
        attempts=[AttemptRecord(33.5, 1, True), AttemptRecord(34.5, 0, False)],
    ),
)
SESSION = SessionRecord(
    open_line=b"OPEN id key c=any",
    listener_name="any",
    key="key",
    tenant=4,
    group="group",
    load=0.5,
    is_mid_flow=True,
    is_returning=False,
    is_client_retry=True,
    accepted_ms=40.5,
    connected_ms=41.5,
    unanswered_since_ms=42.5,
    server_name="ready-é",
    partial_line=bytes(range(256)),
)


def over_the_wire(value):
    return orjson.loads(orjson.dumps(value))


def sections_of(snapshot):
    """The sections of a state as the other process collects them."""
    sections = {"moved": [], "exceptions": [], "ids": [], "names": []}
    for message in encode_snapshot(snapshot, 50.5, 1e6):
        sections.update(over_the_wire(message))
    return sections


@pytest.mark.parametrize("record", [SERVER, LEAVING], ids=lambda record: record.name)
def test_a_server_comes_back_as_it_was(record):
    found = decode_server(over_the_wire(encode_server(record, 50.5)))
    assert found == record


@pytest.mark.parametrize(
    "changed",
    [
        {},
        {"group": None, "load": None, "unanswered_since_ms": None},
        {"is_mid_flow": False, "is_returning": True, "is_client_retry": False},
    ],
)
def test_a_session_comes_back_as_it_was(changed):
    record = dataclasses.replace(SESSION, **changed)
    assert decode_session(over_the_wire(encode_session(record))) == record


def test_a_state_comes_back_as_it_was():
    found = decode_snapshot(sections_of(SNAPSHOT))
    assert found == SNAPSHOT
    assert list(found.slots.transition_started_ms) == [1, 0]


def test_a_state_of_a_process_from_before_the_newest_fields():
    sections = sections_of(SNAPSHOT)
    del sections["rest"]["further"], sections["servers"][0]["doubted"]
    found = decode_snapshot(sections)
    assert found.policy.retries == []
    assert not found.servers[0].is_removal_unconfirmed


def test_servers_are_split_by_their_bytes():
    records = [dataclasses.replace(SERVER, name=f"s{number}") for number in range(10)]
    parts = list(split_servers(records, 50.5, 3000.0))
    assert [fields["name"] for part in parts for fields in part] == [
        record.name for record in records
    ]
    assert len(parts) > 1 and all(len(orjson.dumps(part)) <= 3000 for part in parts)
    assert list(split_servers(records, 50.5, 1e6)) == [
        [fields for part in parts for fields in part]
    ]
    assert list(split_servers([], 50.5, 3000.0)) == [[]]


@pytest.mark.parametrize(
    "changed, error",
    [
        ({"servers": [SERVER, SERVER]}, "state contains two servers of the same name"),
        ({"new": [0, 0]}, "slot tables differ in size"),
        ({"transition_started_ms": {2: 1.0}}, "slot in transition has no new server"),
        ({"transition_started_ms": {3: 1.0}}, "slot in transition has no new server"),
        ({"current": [None, 1, 0]}, "not ready"),
        ({"servers": [dataclasses.replace(SERVER, address=None), LEAVING]}, "no addr"),
    ],
)
def test_a_state_that_contradicts_itself_is_refused(changed, error):
    snapshot = dataclasses.replace(SNAPSHOT, slots=dataclasses.replace(SNAPSHOT.slots))
    for name, value in changed.items():
        setattr(snapshot if hasattr(snapshot, name) else snapshot.slots, name, value)
    with pytest.raises(HandoverError, match=error):
        RestoredState.build(snapshot)


def test_messages_are_checked_where_they_come_in():
    assert MaintenanceChange.decode(["a", True]) == MaintenanceChange("a", True)
    assert StateApplied.decode(True).with_state
    assert not StateApplied.decode(1).with_state
    assert SessionBatch.decode([{}], 2).sessions == [{}]
    for value in (["a", 1], [1, True], ["a", True, True]):
        with pytest.raises(ValueError):
            MaintenanceChange.decode(value)
    for value, descriptors in (([{}], 1), ({}, 2), (None, 0)):
        with pytest.raises(HandoverError):
            SessionBatch.decode(value, descriptors)
