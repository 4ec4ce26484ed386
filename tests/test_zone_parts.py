"""Parts of a fleet of zones, each by itself: batches, gossip, anti-entropy, reports of a view."""

import random

import pytest

from wheathill.config.peers import PeerSettings
from wheathill.peers.cluster_view import ClusterView, ClusterViewConfig
from wheathill.peers.membership import Member, MemberState
from wheathill.peers.table_records import ServerState, TableRecord
from wheathill.peers.zones.messages import DeltaReply, TableDigestRequest, TableUpdate
from wheathill.peers.zones.record_batches import MAX_BATCH_BYTES, RecordBatcher
from wheathill.peers.zones.table_anti_entropy import (
    MAX_ATTEMPTS,
    MAX_REQUESTS_PER_INTERVAL,
    TableAntiEntropy,
)
from wheathill.peers.zones.table_gossip import BATCH_DELAY_MS, FANOUT, TableGossip
from wheathill.peers.zones.view_announcements import ViewAnnouncements
from wheathill.peers.zones.zone_table import ZoneTable

INTERVAL_MS = 1000.0
WALL_MS = 1_800_000_000_000.0


class ManualClock:
    """Runs timers as `advance` passes them."""

    def __init__(self):
        self.now_ms = 0.0
        self.timers = []

    def now(self):
        return self.now_ms

    def after(self, wait_ms, call, *arguments):
        self.timers.append((self.now_ms + wait_ms, call, arguments))

    def advance(self, milliseconds):
        end_ms = self.now_ms + milliseconds
        while due := [timer for timer in self.timers if timer[0] <= end_ms]:
            timer = min(due, key=lambda each: each[0])
            self.timers.remove(timer)
            self.now_ms, call, arguments = timer
            call(*arguments)
        self.now_ms = end_ms


class Effects:
    """Keeps what is sent and merged; `members` and `leaders` are of the own zone."""

    def __init__(self, members=(), leaders=()):
        self.members, self.leaders = list(members), list(leaders)
        self.sent, self.merged = [], []

    def send_table_message(self, address, message):
        self.sent.append((address, message))

    def other_members(self):
        return self.members

    def zone_leaders(self):
        return self.leaders

    def other_zone_addresses(self, now_ms):
        return ["w:1", "v:1"]

    def merge_records(self, now_ms, records, zone):
        self.merged.append((zone, records))


def member(name):
    return Member(
        name=name,
        address=f"{name}:1",
        incarnation=0,
        generation=1,
        state=MemberState.ALIVE,
        state_since_ms=0.0,
    )


def record(server, counter=1):
    return TableRecord(f"s/{server}", 0.0, counter, "", ServerState(True, WALL_MS))


def zone_table():
    return ZoneTable(["e", "w", "v"], lambda value: len(repr(value)))


def settings():
    return PeerSettings(
        name="e1",
        cluster="c",
        listen=("e1", 1),
        advertise_address="e1:1",
        seeds=(),
        shared_key=b"k" * 32,
        expected_members=(),
        control_socket_path=None,
        probe_interval_ms=INTERVAL_MS,
        probe_timeout_ms=300.0,
    )


# Batches


def test_records_are_split_by_size_and_keep_their_order():
    batcher = RecordBatcher(len)
    records = ["a" * 600, "b" * 550, "c", "d" * 2000, "e"]
    batches = list(batcher.split_records(records))
    assert [record for batch in batches for record in batch] == records
    assert [sum(map(len, batch)) for batch in batches] == [MAX_BATCH_BYTES, 1, 2000, 1]
    assert list(batcher.split_records([])) == []


# Gossip


@pytest.fixture
def gossip():
    """A gossip of member e1, its clock and its effects: e1 is no leader."""
    clock = ManualClock()
    members = [member(f"e{number}") for number in range(2, 12)]
    effects = Effects(members, members[:3])
    found = TableGossip("e1", clock, random.Random(1), zone_table(), effects)
    return found, clock, effects


def test_records_of_a_moment_are_passed_on_together_to_a_few(gossip):
    gossip, clock, effects = gossip
    gossip.add([record("g1")], is_from_own_zone=True)
    gossip.add([record("g2"), record("g1", 2)], is_from_own_zone=True)
    assert effects.sent == []
    clock.advance(BATCH_DELAY_MS)
    assert len(effects.sent) == FANOUT
    for _, update in effects.sent:
        assert [(key, counter) for key, _, counter, *_ in update.records] == [
            ("s/g1", 2),
            ("s/g2", 1),
        ]
    clock.advance(INTERVAL_MS)
    assert len(effects.sent) == FANOUT


def test_an_own_record_is_sent_to_all_leaders_as_well(gossip):
    gossip, clock, effects = gossip
    gossip.add_own(record("g1"))
    clock.advance(BATCH_DELAY_MS)
    addresses = [address for address, _ in effects.sent]
    assert len(set(addresses)) == len(addresses)
    assert {"e2:1", "e3:1", "e4:1"} <= set(addresses)


def test_a_leader_passes_to_other_zones_what_came_from_its_own_alone(gossip):
    gossip, clock, effects = gossip
    effects.leaders.append(member("e1"))
    gossip.add([record("own")], is_from_own_zone=True)
    gossip.add([record("other")], is_from_own_zone=False)
    clock.advance(BATCH_DELAY_MS)
    elsewhere = [
        (address, [each[0] for each in update.records])
        for address, update in effects.sent
        if address in ("w:1", "v:1")
    ]
    assert elsewhere == [("w:1", ["s/own"]), ("v:1", ["s/own"])]


# Anti-entropy


@pytest.fixture
def anti_entropy():
    """An anti-entropy that is settled, its clock, its effects and its table."""
    clock, effects, table = ManualClock(), Effects(), zone_table()
    found = TableAntiEntropy(settings(), clock, table, effects)
    clock.advance(INTERVAL_MS)
    return found, clock, effects, table


def requests(effects):
    return [each for each in effects.sent if isinstance(each[1], TableDigestRequest)]


def test_a_request_without_an_answer_is_sent_again_and_then_given_up(anti_entropy):
    anti_entropy, clock, effects, _ = anti_entropy
    anti_entropy.compare(clock.now(), "w:1", 7)
    assert len(requests(effects)) == 1
    clock.advance(0.3 * INTERVAL_MS)
    assert len(requests(effects)) == 2
    clock.advance(10 * INTERVAL_MS)
    assert len(requests(effects)) == MAX_ATTEMPTS


def test_an_equal_digest_ends_a_request(anti_entropy):
    anti_entropy, clock, effects, table = anti_entropy
    anti_entropy.compare(clock.now(), "w:1", 7)
    anti_entropy.compare(clock.now(), "e2:1", table.replica.digest)
    clock.advance(INTERVAL_MS)
    assert len(requests(effects)) == 1


def test_no_request_while_gossip_is_under_way_or_to_a_stream(anti_entropy):
    anti_entropy, clock, effects, table = anti_entropy
    anti_entropy.compare(clock.now(), None, 7)
    anti_entropy.compare(clock.now(), "e2:1", table.replica.digest)
    anti_entropy.on_table_changed(clock.now())
    anti_entropy.compare(clock.now(), "w:1", 7)
    assert effects.sent == []


def test_a_reply_counts_as_an_answer_though_its_record_is_of_an_unknown_zone(
    anti_entropy,
):
    """As a member whose layout is one version behind gets it."""
    anti_entropy, clock, effects, _ = anti_entropy
    anti_entropy.compare(clock.now(), "w:1", 7)
    reply = DeltaReply("w:1", [0], [["z/new", 0, 1, "x", []]])
    with pytest.raises(ValueError):
        anti_entropy.on_reply(clock.now(), "w", reply)
    clock.advance(INTERVAL_MS)
    assert len(requests(effects)) == 1 and effects.merged == []


def test_a_reply_is_merged_and_what_its_sender_lacks_is_sent(anti_entropy):
    anti_entropy, clock, effects, table = anti_entropy
    table.replica.merge(WALL_MS, [record("mine")])
    buckets = list(range(len(table.replica.bucket_digests)))
    reply = DeltaReply("w:1", buckets, [["s/theirs", 0.0, 1, "", [True, WALL_MS]]])
    anti_entropy.on_reply(clock.now(), "w", reply)
    assert effects.merged == [("w", [record("theirs")])]
    ((address, update),) = effects.sent
    assert address == "w:1" and isinstance(update, TableUpdate)
    assert [each[0] for each in update.records] == ["s/mine"]


def test_requests_answered_in_an_interval_are_bounded(anti_entropy):
    anti_entropy, _, effects, table = anti_entropy
    table.replica.merge(WALL_MS, [record("mine")])
    request = TableDigestRequest("w:1", [0] * len(table.replica.bucket_digests))
    for _ in range(MAX_REQUESTS_PER_INTERVAL + 3):
        anti_entropy.on_request(request)
    assert len(effects.sent) == MAX_REQUESTS_PER_INTERVAL
    anti_entropy.start_interval()
    anti_entropy.on_request(request)
    assert len(effects.sent) == MAX_REQUESTS_PER_INTERVAL + 1


# Reports of a view


def test_a_view_is_reported_ever_more_seldom_until_it_is_confirmed():
    view = ClusterView(ClusterViewConfig("e1", 1, 1), 0.0)
    announcements = ViewAnnouncements(INTERVAL_MS)
    times = [
        second for second in range(40) if announcements.is_due(second * 1000.0, view)
    ]
    assert times == [0, 1, 3, 7, 15, 31]
    view.confirmed_digest = view.digest()
    assert not announcements.is_due(100_000.0, view)
    view.is_established = True
    assert announcements.is_due(100_001.0, view)
