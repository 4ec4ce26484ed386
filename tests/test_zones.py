"""A fleet of zones: the replicated table, zone leaders, quotas of a limit.

And whole fleets in the virtual world under faults.
"""

import dataclasses
import itertools
import random
import tomllib

import pytest
from test_peers import authenticator, rejected

from wheathill.config import operator
from wheathill.config.errors import ConfigurationError
from wheathill.config.peers import ZoneLayout, ZoneSettings
from wheathill.lab.cores.fleets import Fleet
from wheathill.peers import replicated_table
from wheathill.peers.cluster_view import ViewState
from wheathill.peers.frames import RejectReason
from wheathill.peers.membership import (
    Member,
    Membership,
    MembershipConfig,
    MemberState,
    MemberUpdate,
    StateSync,
)
from wheathill.peers.membership.anti_entropy import DIGEST_BUCKETS
from wheathill.peers.membership.messages import DigestRequest, StateRequest
from wheathill.peers.replicated_table import (
    MAX_CLOCK_SKEW_MS,
    START_RETENTION_MS,
    ReplicatedTable,
)
from wheathill.peers.server_records import ServerRecords
from wheathill.peers.table_records import RecordCodec
from wheathill.peers.zones.leaders import select_leaders
from wheathill.peers.zones.messages import (
    DeltaReply,
    Heartbeat,
    HeartbeatReply,
    TableDigestRequest,
    TableMessageKind,
    TableUpdate,
    decode_table_message,
)
from wheathill.peers.zones.service import FRAME_VERSION
from wheathill.peers.zones.summary_writer import SummaryWriter
from wheathill.peers.zones.zone_contacts import ZoneContacts
from wheathill.peers.zones.zone_directory import ZoneDirectory
from wheathill.peers.zones.zone_quota import ZoneQuota
from wheathill.peers.zones.zone_summary import ZoneLeader, ZoneSummary

WALL = 1_800_000_000_000.0
KEY = b"k" * 32
# A summary as it stands in messages.
SUMMARY = ["agreed", 3, 3, "ab", [], 1, [["a", "127.0.0.1:1"]]]


class Replica:
    """A member's replica of the table, with records encoded as in messages."""

    def __init__(self, zones=("e", "w")):
        self.codec = RecordCodec(zones, ZoneSummary.decode, ZoneSummary.encode)
        self.table = ReplicatedTable(zones)
        self.servers = ServerRecords(self.table)

    @property
    def digest(self):
        return self.table.digest

    def merge(self, encoded, wall_ms=WALL):
        return self.table.merge(wall_ms, self.codec.decode_all(encoded))


# The replicated table


def test_the_order_of_arrival_changes_nothing():
    records = [
        [f"s/{server}", WALL + start, counter, "", [bool(counter % 2), WALL + counter]]
        for server in "abc"
        for start in (0.0, 5.0)
        for counter in (1, 2, 3)
    ]
    records += [
        ["z/e", 0, counter, writer, SUMMARY]
        for counter in (1, 2)
        for writer in ("x", "y")
    ]
    digests = {}
    for seed in range(50):
        one = Replica()
        random.Random(seed).shuffle(records)
        for record in records:
            one.merge([record])
        digests[one.digest, str(sorted(one.table.records.items()))] = None
    assert len(digests) == 1
    held = one.table.records
    assert (held["s/a"].epoch, held["s/a"].counter) == (WALL + 5.0, 3)
    assert (held["z/e"].counter, held["z/e"].writer) == (2, "y")
    for key in list(held):
        one.table.remove(key)
    assert one.digest == 0 and not any(one.table.bucket_digests)


def test_what_differs_is_told_both_ways_and_no_more():
    one, other = Replica(), Replica()
    same = [[f"s/g{place}", WALL, 1, "", [True, WALL]] for place in range(300)]
    one.merge(same)
    other.merge(same)
    one.merge(
        [["s/mine", WALL, 1, "", [True, WALL]], ["s/g7", WALL, 2, "", [False, WALL]]],
    )
    other.merge([["s/theirs", WALL, 1, "", [True, WALL]]])
    buckets = other.table.differing_buckets(one.table.bucket_digests)
    by_bucket = other.table.records_by_bucket(buckets)
    reply = [record for records in by_bucket.values() for record in records]
    delta = one.table.newer_records(buckets, reply)
    assert [record.key for record in delta] == ["s/g7", "s/mine"] and len(reply) < 60
    newer = one.merge(one.codec.encode_all(reply))
    assert [record.key for record in newer] == ["s/theirs"]
    assert len(other.merge(one.codec.encode_all(delta))) == 2
    assert one.digest == other.digest
    assert one.table.bucket_digests == other.table.bucket_digests


@pytest.mark.parametrize(
    "record",
    [
        ["s/a", WALL, 1, ""],
        ["s/a", WALL, -1, "", [True, WALL]],
        ["s/a", WALL, 1.5, "", [True, WALL]],
        ["s/a", WALL, 1, 7, [True, WALL]],
        ["s/a", WALL, 1, "", [True]],
        ["s/a", -5.0, 1, "", [True, WALL]],
        ["t/a", WALL, 1, "", [True, WALL]],
        ["z/unknown", 0, 1, "x", SUMMARY],
        ["z/e", 4, 1, "x", SUMMARY],
        ["z/e", 0, 1, "x", SUMMARY[:-1]],
        ["z/e", 0, 1, "x", ["well", *SUMMARY[1:]]],
        ["z/e", 0, 1, "x", [*SUMMARY[:-1], [["a", "nowhere"]]]],
        ["z/e", 0, 1, "x", [*SUMMARY[:-1], [["a", "h:99999"]]]],
    ],
)
def test_what_is_no_record_holds_nothing_of_its_message(record):
    one = Replica()
    with pytest.raises((ValueError, TypeError)):
        one.merge([["s/good", WALL, 1, "", [True, WALL]], record])
    assert not one.table.records and one.digest == 0


def test_lists_that_say_the_same_make_the_same_records():
    replicas = [Replica() for _ in range(4)]
    told = [
        each.servers.update_from_list(WALL + place, "g", True, WALL - 5.0)
        for place, each in enumerate(replicas)
    ]
    assert all(told) and len({each.digest for each in replicas}) == 1
    for each in replicas:  # told of one another, it is no news
        assert each.merge(each.codec.encode_all(told)) == []
    assert all(
        each.servers.update_from_list(WALL + 10.0, "g", False, WALL - 5.0)
        for each in replicas
    )
    assert len({each.digest for each in replicas}) == 1 and not replicas[
        0
    ].servers.is_draining("g", WALL - 5.0)


def test_drains_come_back_only_by_something_newer():
    one, other = Replica(), Replica()
    told = one.servers.update_from_list(WALL, "g", True, 5.0)
    assert (
        other.table.merge(WALL, [told])
        and other.servers.is_draining("g", 5.0)
        and not other.servers.is_draining("g", 6.0)
    )
    assert other.servers.update_from_list(
        WALL, "g", False, 5.0
    ) is None and other.servers.is_draining("g", 5.0)  # its list is late
    assert (
        other.servers.update_from_list(WALL, "g", True, 5.0) is None
    )  # agrees with what was told
    again = (
        one.servers.update_from_list(WALL, "g", False, 5.0),
        one.servers.update_from_list(WALL, "g", True, 5.0),
    )
    assert other.table.merge(WALL, again)  # over, and another drain
    assert other.servers.update_from_list(
        WALL, "g", False, 5.0
    ) is None and other.servers.is_draining("g", 5.0)
    assert other.table.merge(WALL, [told]) == [] and other.servers.is_draining(
        "g", 5.0
    )  # late, or again
    assert one.servers.update_from_list(
        WALL, "g", False, 5.0
    ) and not one.servers.is_draining("g", 5.0)
    start = one.servers.update_from_list(WALL, "g", False, WALL - 1000.0)
    assert (start.epoch, start.counter) == (WALL - 1000.0, 0)
    assert other.table.merge(WALL, [start])
    assert (
        not other.servers.is_draining("g", 5.0)
        or other.servers.latest_start_ms("g", 5.0) == WALL - 1000.0
    )


def test_starts_of_the_future_and_long_ago_are_none():
    one = Replica()
    assert (
        one.servers.update_from_list(WALL, "g", False, WALL + MAX_CLOCK_SKEW_MS + 1)
        is None
    )
    assert (
        one.servers.update_from_list(WALL, "g", False, WALL - START_RETENTION_MS - 1)
        is None
    )
    assert (
        one.merge([["s/g", WALL + MAX_CLOCK_SKEW_MS + 1, 0, "", [False, WALL]]]) == []
    )
    assert (
        one.servers.update_from_list(WALL, "g", False, WALL - 1.0)
        and one.servers.latest_start_ms("g", None) == WALL - 1.0
    )
    one.table.remove_expired(WALL + START_RETENTION_MS)
    assert not one.table.records and one.digest == 0


def test_of_too_many_the_oldest_go_at_all_alike(monkeypatch):
    monkeypatch.setattr(replicated_table, "MAX_SERVER_RECORDS", 20)
    records = [
        [f"s/g{place}", WALL + place, 1, "", [True, WALL + place]]
        for place in range(60)
    ]
    digests = {}
    for seed in range(10):
        random.Random(seed).shuffle(records)
        one = Replica(("e",))
        for record in records:
            one.merge([record])
        one.merge([["z/e", 0, 1, "x", SUMMARY]])
        digests[one.digest] = None
        assert len(one.table.records) <= 22
    assert len(digests) == 1


# Leaders and summaries


def test_a_summary_stands_in_messages_as_a_list():
    summary = ZoneSummary(
        state=ViewState.CONVERGED,
        max_active_proxies=3,
        reachable_proxies=3,
        digest="ab",
        unreachable_zones=(),
        layout_version=1,
        leaders=(ZoneLeader("a", "127.0.0.1:1"),),
    )
    assert summary.encode() == SUMMARY
    assert type(summary.encode()[0]) is str
    assert ZoneSummary.decode(SUMMARY) == summary


@pytest.mark.parametrize(
    ("message", "words"),
    [
        (TableUpdate([["r"]]), ["news", [["r"]]]),
        (TableDigestRequest("h:1", [0, 7]), ["differ", "h:1", [0, 7]]),
        (DeltaReply("h:1", [3], [["r"]]), ["have", "h:1", [3], [["r"]]]),
        (Heartbeat("h:1", [["r"]]), ["beat", "h:1", [["r"]]]),
        (HeartbeatReply([["r"]]), ["beaten", [["r"]]]),
    ],
)
def test_messages_of_the_table_keep_their_words(message, words):
    assert message.encode() == words
    assert decode_table_message(words[0], words[1:]) == message
    assert decode_table_message("note", []) is None


def layout(parts, was=None, version=1):
    was = was or parts
    return ZoneLayout(
        version,
        tuple(
            ZoneSettings(
                name, name[0], 4, (f"127.0.0.1:{place + 1}",), parts[name], was[name]
            )
            for place, name in enumerate(parts)
        ),
    )


def summary_of(**changes):
    """A summary as of `SUMMARY`, but without leaders and with `changes`."""
    known = dataclasses.replace(ZoneSummary.decode(SUMMARY), leaders=())
    return dataclasses.replace(known, **changes)


class ZoneParts:
    """What a member of a zone knows of all zones, built upon one table."""

    def __init__(self, own="e", parts=None, was=None, version=1, held=None):
        self.table = held or ReplicatedTable(parts or ("e", "w"))
        found = layout(parts or {"e": 0.5, "w": 0.5}, was, version)
        self.directory = ZoneDirectory(found, own, self.table)
        self.contacts = ZoneContacts(self.directory, 1000.0, random.Random(1), 0.0)
        self.quota = ZoneQuota(self.directory)
        self.writer = self.another_writer(f"{own}1 5")

    def another_writer(self, name):
        own = self.directory.own_zone.name
        return SummaryWriter(own, name, self.table, 1000.0, 0.0)


def test_equal_views_choose_alike_and_a_death_promotes_the_next():
    members = [
        Member(
            name=f"m{place}",
            address=f"127.0.0.1:{place}",
            incarnation=0,
            generation=place * 7,
            state=MemberState.ALIVE,
            state_since_ms=0.0,
        )
        for place in range(187)
    ]
    shuffled = list(members)
    random.Random(3).shuffle(shuffled)
    chosen = select_leaders("e", members)
    assert len(chosen) == 3 and select_leaders("e", shuffled) == chosen
    without = [member for member in members if member != chosen[0]]
    assert select_leaders("e", without)[:2] == chosen[1:]
    assert select_leaders("e", []) == []


def test_two_that_take_themselves_for_first_write_ever_more_seldom():
    parts = ZoneParts()
    one, other = parts.writer, parts.another_writer("e2 6")
    written = []
    for second in range(600):
        for each, max_active in ((one, 3), (other, 4)):
            summary = summary_of(max_active_proxies=max_active)
            if each.write(second * 1000.0, summary):
                written.append(second)
    assert len(written) < 40 and sum(second >= 300 for second in written) < 12
    held = parts.table.summary("e").value
    assert one.write(601_000.0, held) is None  # nothing new


def test_zones_are_unreachable_by_silence_and_stay_so_over_a_change_of_leaders():
    parts = {"e": 0.4, "w": 0.3, "v": 0.3}
    one = ZoneParts(parts=parts)
    assert one.contacts.unreachable_zones(14_000.0) == []
    assert len(one.contacts.heartbeat_addresses(1000.0)) == 2
    one.contacts.record_contact(10_000.0, "w")
    assert one.contacts.unreachable_zones(16_000.0) == ["v"]
    one.writer.write(16_000.0, summary_of(unreachable_zones=("v",)))
    # Of "w" nothing is stated yet.
    converged = ViewState.CONVERGED
    assert one.directory.state("w", converged) == ViewState.DIVERGED
    assert one.directory.region_state(converged) == converged
    next_one = ZoneParts(parts=parts, held=one.table)
    next_one.contacts.reset(16_500.0)
    assert next_one.contacts.unreachable_zones(17_000.0) == ["v"]
    next_one.contacts.record_contact(17_500.0, "v")
    assert next_one.contacts.unreachable_zones(18_000.0) == []
    one.writer.write(30_000.0, summary_of(unreachable_zones=("v", "w")))
    assert one.directory.region_state(converged) == ViewState.PARTITIONED
    assert one.directory.fleet_state(converged) == ViewState.DIVERGED


# Limits


def test_rights_of_all_zones_sum_to_no_more_than_the_whole_rounded_up():
    for seed in range(200):
        chance = random.Random(seed)
        cuts = sorted(chance.random() for _ in range(chance.randint(0, 14)))
        parts = {
            f"z{place}": after - before
            for place, (before, after) in enumerate(zip([0.0, *cuts], [*cuts, 1.0]))
        }
        each = [ZoneParts(name, parts).quota for name in parts]
        whole = chance.choice((0.2, 0.9, 1.0, 3.7, 40.0))
        for server in range(20):
            total = sum(
                one.permit_count(f"g{server}", whole * part)
                for one, part in zip(each, parts.values())
            )
            assert whole - 1 - 1e-6 <= total <= whole + 1 + 1e-6, (seed, total)
    one = ZoneParts("e", {"e": 0.25, "w": 0.75}).quota
    permits = [one.permit_count(f"g{server}", 0.25 * 1.2) for server in range(4000)]
    assert abs(sum(permits) / 4000 - 0.3) < 0.03


def through(held, zone, version):
    summary = summary_of(
        max_active_proxies=4, reachable_proxies=4, layout_version=version
    )
    held.write_summary(zone, "x", summary)


def test_a_quota_grows_only_once_the_zones_that_shrink_are_through():
    parts, was = {"e": 0.2, "v": 0.3, "w": 0.5}, {"e": 0.4, "v": 0.3, "w": 0.3}
    held = ReplicatedTable(parts)
    giving, taking, other = (
        ZoneParts(name, parts, was, 2, held).quota for name in ("e", "w", "v")
    )
    assert (giving.quota(), taking.quota(), other.quota()) == (0.2, 0.3, 0.3)
    through(held, "w", 2)
    through(held, "e", 1)
    assert taking.quota() == 0.3
    through(held, "e", 2)
    assert (giving.quota(), taking.quota(), other.quota()) == (0.2, 0.5, 0.3)


def test_a_layout_that_is_behind_takes_nothing():
    held = ReplicatedTable(("e", "w"))
    one = ZoneParts(version=2, held=held).quota
    through(held, "e", 2)
    assert one.quota() == 0.5
    one.record_layout_version(3)
    assert one.quota() == 0.5
    through(held, "e", 3)  # its own zone is through with a later one
    assert one.quota() == 0.0
    other = ZoneParts(version=2).quota
    other.record_layout_version(4)
    assert other.quota() == 0.0


# Whole states only as differences


class Wire:
    """What a membership calls for, kept."""

    def __init__(self):
        self.said = []

    def send(self, address, message):
        self.said.append((address, message))

    def set_timer(self, at_ms, timer):
        pass

    def start_fallback_probe(self, probe):
        pass

    member_changed = log = set_timer


def member(name, known):
    wire = Wire()
    one = Membership(
        wire,
        random.Random(name),
        MembershipConfig(
            name=name,
            address=f"{name}:1",
            generation=1,
            probe_interval_ms=1000.0,
            probe_timeout_ms=300.0,
            indirect_checks=3,
            retention_ms=60_000.0,
            sync_interval_ms=10_000.0,
            digest_sync=True,
        ),
    )
    one.apply_updates(0.0, [alive(other, 2) for other in known])
    return one, wire


def alive(name, generation):
    return MemberUpdate(MemberState.ALIVE, name, f"{name}:1", 0, generation, name)


def test_states_that_are_the_same_cost_one_digest_a_bucket():
    names = [f"m{place}" for place in range(187)]
    one, wire = member("x", names)
    other, answers = member("y", names)
    for each, name in ((one, "y"), (other, "x")):
        each.apply_updates(0.0, [alive(name, 1)])
    one.anti_entropy.synchronise_with(other.local)
    ((to, request),) = wire.said
    assert to == "y:1" and isinstance(request, DigestRequest)
    assert len(request.digests) == DIGEST_BUCKETS
    other.on_message(1.0, "x:1", request)
    assert answers.said == []
    one.apply_updates(0.0, [alive("new", 9)])
    other.on_message(2.0, "x:1", DigestRequest(one.anti_entropy.bucket_digests()))
    assert [type(message) for _, message in answers.said] == [StateSync, StateRequest]
    assert 1 < len(answers.said[0][1].updates) < 40
    one.on_message(3.0, "y:1", answers.said[1][1])
    for _, message in wire.said:
        if isinstance(message, StateSync):
            other.on_message(4.0, "x:1", message)
    assert "new" in other.members
    assert one.anti_entropy.bucket_digests() == other.anti_entropy.bucket_digests()


# Fleets


def small(seed, **more):
    fleet = Fleet(
        {"a1": ("a", 5), "a2": ("a", 4), "b1": ("b", 5), "c1": ("c", 4)}, seed, **more
    )
    fleet.start_all()
    return fleet


@pytest.mark.parametrize("loss", [0.0, 0.01, 0.25])
def test_all_agree_and_a_change_is_in_force_everywhere(loss):
    fleet = small(1, loss=loss)
    fleet.run(2)
    assert fleet.run_until(fleet.has_converged, 20) is not None
    assert abs(fleet.largest_quota_sum - 1.0) < 1e-9 and fleet.quota_overruns == []
    since = fleet.change("g1", "b1-2")
    fleet.run(6)
    times = fleet.propagation_times_s("g1", since)
    assert (
        len(times) == 17 and max(times) < 6.0
    )  # all but the one that was told by its list
    assert {peers.replicated_table.digest for peers in fleet.peers.values()} == {
        fleet.peers["a1-0"].replicated_table.digest
    }


def test_a_question_that_is_lost_is_asked_again_while_news_comes_all_the_time():
    fleet = small(4)
    fleet.run(8)
    one, asked = fleet.peers["a1-1"], []
    send_encoded = one.send_encoded

    def lossy(address, words, is_bulk=False):
        if words[0] == TableMessageKind.DIGEST_REQUEST:
            asked.append(fleet.clock.now())
        if words[0] != TableMessageKind.DIGEST_REQUEST or len(asked) > 1:
            send_encoded(address, words, is_bulk)

    one.send_encoded = lossy
    fleet.cut(["a1-1"])
    fleet.change("missed", "b1-0")
    fleet.run(1)
    fleet.cut(["a1-1"], False)
    healed = fleet.clock.now()
    for number in range(40):
        fleet.change(f"news {number}", "c1-1")
        fleet.run(0.1)
    assert asked[1] - asked[0] <= 500.0
    assert fleet.proxies["a1-1"].told["missed", "draining"] - healed < 3000.0


def test_while_news_comes_all_the_time_a_difference_is_asked_for_once_a_period():
    fleet = small(4)
    fleet.run(8)
    one, asked = fleet.peers["a1-1"], []
    requests = one.table_anti_entropy
    send_request, merge_records = requests.send_request, one.merge_records
    requests.send_request = lambda address, first_sent_ms, attempts_left: (
        asked.append(first_sent_ms),
        send_request(address, first_sent_ms, attempts_left),
    )
    # It never gets one half of them, so that its table is another for good, and changes all the time.
    one.merge_records = lambda now_ms, records, zone: merge_records(
        now_ms, [each for each in records if each.key[-1] not in "13579"], zone
    )
    for number in range(80):
        fleet.change(f"news {number}", "c1-1")
        fleet.run(0.1)
    # What is asked again has the time of the first question.
    times = list(dict.fromkeys(asked))
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert len(times) >= 6 and 1000.0 <= min(gaps) and max(gaps) < 1500.0, gaps


def test_what_differs_is_told_by_datagrams_a_bucket_at_a_time():
    """No connection has to come up for it, whose first segment, lost, goes again after a second."""
    fleet = small(5)
    fleet.run(8)
    one, streams = fleet.peers["a1-1"], []
    one.transport.send_by_stream = lambda *told: streams.append(told)
    for number in range(160):
        fleet.proxies["a1-1"].list(one, f"g{number}", True, 0.0)
    buckets = range(replicated_table.BUCKET_COUNT)
    found = one.zone_table.encoded_by_bucket(buckets)
    told = list(one.zone_table.bucket_batches(buckets))
    assert len(told) > 4 and [
        bucket for batch in told for bucket in batch.buckets
    ] == list(found)
    assert all(
        [record for bucket in batch.buckets for record in found[bucket]]
        == batch.records
        for batch in told
    )
    fleet.kill("a1-2")
    fleet.start("a1-2")
    fleet.run(4)
    assert fleet.peers["a1-2"].replicated_table.digest == one.replicated_table.digest
    assert [
        words for _, words in streams if words[-1][0] == TableMessageKind.DELTA_REPLY
    ] == []


def test_a_region_that_is_cut_off_goes_on_as_a_region_and_both_sides_meet_again():
    fleet = small(2, loss=0.1)
    fleet.run(5)
    region = fleet.names_in_region("a")
    rest = [name for name in fleet.peers if name not in region]
    before = {name: peers.applied_quota for name, peers in fleet.peers.items()}
    fleet.cut(region)
    fleet.run(30)
    assert {state[1] for state in fleet.states(region)} == {ViewState.PARTITIONED}
    assert {state[0] for state in fleet.states()} == {ViewState.CONVERGED}
    assert {state[1:] for state in fleet.states(rest)} == {
        (ViewState.CONVERGED, ViewState.DIVERGED)
    }
    assert {name: peers.applied_quota for name, peers in fleet.peers.items()} == before
    inside, outside = fleet.change("in", region[0]), fleet.change("out", rest[0])
    fleet.run(6)
    assert len(fleet.propagation_times_s("in", inside, region)) == len(
        region
    ) - 1 and not fleet.propagation_times_s("in", inside, rest)
    assert len(fleet.propagation_times_s("out", outside, rest)) == len(
        rest
    ) - 1 and not fleet.propagation_times_s("out", outside, region)
    assert all(
        peers.accepts_evidence_from(other)
        for other in region[:4]
        for peers in [fleet.peers[region[4]]]
    )
    fleet.cut(region, False)
    healed = fleet.clock.now()
    fleet.run(6)
    assert len(fleet.propagation_times_s("in", healed, rest)) == len(rest)
    assert len(fleet.propagation_times_s("out", healed, region)) == len(region)
    assert (
        fleet.run_until(fleet.has_converged, 20) is not None
        and fleet.quota_overruns == []
    )


def test_a_whole_zone_restarted_knows_what_was_told_before():
    fleet = small(3)
    fleet.run(4)
    fleet.change("g", "c1-0")
    fleet.run(2)
    for name in fleet.names["a1"]:
        fleet.kill(name)
    fleet.run(20)
    assert (
        fleet.peers["b1-0"].zone_directory.max_active_proxies(5) == 18
    )  # nobody's death says that its part is free
    for name in fleet.names["a1"]:
        fleet.start(name)
    fleet.run(8)
    assert all(
        fleet.peers[name].server_records.is_draining("g", 0.0)
        for name in fleet.names["a1"]
    )
    assert (
        fleet.run_until(fleet.has_converged, 20) is not None
        and fleet.quota_overruns == []
    )


@pytest.mark.parametrize("seed", range(3))
def test_a_process_that_starts_in_place_of_another_is_known_to_its_zone_soon(seed):
    """Before its death was noticed: its incarnation is that of the one before, until somebody tells it of that one."""
    fleet = Fleet({"a": ("r", 40), "b": ("s", 3)}, seed, loss=0.02)
    fleet.start_all()
    fleet.run(25)
    for wait in (100.0, 1000.0, 3000.0):
        name = fleet.random.choice(fleet.names["a"])
        fleet.kill(name)
        fleet.clock.after(wait, fleet.start, name)
        fleet.run(1)
    fleet.run(3)

    def alike():
        return (
            len({fleet.peers[name].membership.digest() for name in fleet.names["a"]})
            == 1
        )

    took = fleet.run_until(alike, 60)
    assert took is not None and took < 12, took


def test_two_sets_of_leaders_while_a_zone_is_parted_in_itself():
    fleet = small(4)
    fleet.run(4)
    some = fleet.names["b1"][:2]
    fleet.cut(some)
    fleet.run(30)
    sets = {
        tuple(leader.name for leader in fleet.peers[name].zone_leaders())
        for name in fleet.names["b1"]
    }
    assert len(sets) == 2
    fleet.cut(some, False)
    assert (
        fleet.run_until(fleet.has_converged, 30) is not None
        and fleet.quota_overruns == []
    )


def test_one_zone_far_larger_than_the_rest():
    fleet = Fleet(
        {"big": ("r", 60), "x": ("r", 2), "y": ("s", 2), "z": ("s", 1)}, 5, loss=0.05
    )
    fleet.start_all()
    fleet.run(4)
    assert (
        fleet.run_until(fleet.has_converged, 60) is not None
        and fleet.quota_overruns == []
    )
    since = fleet.change("g", "z-0")
    fleet.run(6)
    assert len(fleet.propagation_times_s("g", since)) == 64
    rates = fleet.rates(10)
    assert max(rates[name][0] for name in ("x-0", "y-0", "z-0")) < 3000


def test_what_an_ordinary_member_says_does_not_grow_with_the_number_of_zones():
    found = []
    for count in (2, 8):
        fleet = Fleet({f"z{place}": (f"r{place}", 6) for place in range(count)}, 6)
        fleet.start_all()
        fleet.run(30)
        assert fleet.has_converged()
        rates = fleet.rates(20)
        ordinary = [
            rate
            for name, (rate, _) in rates.items()
            if name not in [each.name for each in fleet.peers[name].zone_leaders()]
        ]
        found.append(sum(ordinary) / len(ordinary))
    assert found[1] < 1.15 * found[0], found


@pytest.mark.parametrize("seed", range(8))
def test_sums_never_pass_the_whole_and_all_meet_again(seed):
    """Processes killed and started, zones lost, regions and parts of zones cut off, and a part moved meanwhile."""
    fleet = small(seed, loss=(0.0, 0.05, 0.25)[seed % 3])
    fleet.run(3)
    fleet.inject_random_faults(20)
    parts = dict(zip(fleet.zones, (0.1, 0.4, 0.2, 0.3)))
    was = {zone.name: zone.quota for zone in fleet.layouts[1].zones}
    fleet.layouts[2] = fleet.layout(2, parts, was)
    order = list(fleet.zone_of)
    fleet.random.shuffle(order)
    for place, name in enumerate(
        order
    ):  # each gets its file, and is started anew if it runs
        fleet.files[name] = 2
        if name in fleet.peers:
            fleet.kill(name)
            fleet.clock.after(200.0, fleet.start, name)
        if place % 3 == 0:
            fleet.inject_random_faults(1)
    fleet.inject_random_faults(10)
    fleet.run(40)  # cuts are over by then, and all have come back
    assert fleet.quota_overruns == [], fleet.quota_overruns[:3]
    assert (
        len(fleet.peers) == 18 and fleet.run_until(fleet.has_converged, 30) is not None
    ), fleet.states()
    for name, peers in fleet.peers.items():
        assert abs(peers.zone_quota.quota() - parts[fleet.zone_of[name]]) < 1e-9
    assert abs(sum(peers.applied_quota for peers in fleet.peers.values()) - 1.0) < 1e-9


# Frames and files


def test_instances_with_and_without_zones_refuse_each_other():
    one, other = authenticator("a", 1), authenticator("b", 2)
    one.version = FRAME_VERSION
    version = RejectReason.OTHER_VERSION
    assert rejected(other.decode_frame, one.encode_frame(2, ["x"])) is version
    assert rejected(one.decode_frame, other.encode_frame(1, ["x"])) is version


FILE = """
name = "p1"
listen = "127.0.0.1:9000"
discovery = "127.0.0.1:8500"
[[listener]]
name = "l"
[fleet]
proxies = 6
[peers]
cluster = "c"
listen = "127.0.0.1:9700"
key_file = "/nowhere"
zone = "e"
layout = 2
[[peers.zones]]
name = "e"
region = "r"
proxies = 4
seeds = ["127.0.0.1:9700"]
part = 0.6
was = 0.7
[[peers.zones]]
name = "w"
proxies = 2
seeds = ["127.0.0.1:9800"]
part = 0.4
was = 0.3
"""


def test_the_zone_layout_of_a_file():
    from wheathill.config.peers import read_zone_layout

    file = operator.check_file(tomllib.loads(FILE))
    found = read_zone_layout(file.peers)
    assert found.version == 2 and [
        (zone.name, zone.region, zone.quota, zone.previous_quota)
        for zone in found.zones
    ] == [("e", "r", 0.6, 0.7), ("w", "w", 0.4, 0.3)]
    bare = tomllib.loads(FILE)
    for zone in bare["peers"]["zones"]:
        del zone["part"], zone["was"]
    assert [
        zone.quota for zone in read_zone_layout(operator.check_file(bare).peers).zones
    ] == [
        4 / 6,
        2 / 6,
    ]
    del bare["peers"]["zone"], bare["peers"]["zones"]
    assert read_zone_layout(operator.check_file(bare).peers) is None


@pytest.mark.parametrize(
    "change, key",
    [
        (('zone = "e"', ""), "peers.zone: is missing"),
        (('zone = "e"', 'zone = "x"'), "peers.zone: 'x'"),
        (('name = "w"', 'name = "e"'), "peers.zones[1].name: 'e'"),
        (
            ('seeds = ["127.0.0.1:9800"]', "seeds = []"),
            "peers.zones[1].seeds: is empty",
        ),
        (
            ('seeds = ["127.0.0.1:9800"]', 'seeds = ["127.0.0.1:99999"]'),
            "peers.zones[1].seeds[0]",
        ),
        (("part = 0.4", ""), "peers.zones: part is set for some"),
        (("was = 0.3", "was = 0.5"), "peers.zones: was sums to 1.2"),
        (("part = 0.4", "part = 1.4"), "peers.zones[1].part"),
        (
            ("proxies = 2", "proxies = 3"),
            "fleet.proxies: is 6, but peers.zones has 7 proxies in total",
        ),
        (("layout = 2", "layout = 0"), "peers.layout"),
        (("layout = 2", 'roster = ["p1"]'), "peers.roster"),
        (
            ('region = "r"', 'regio = "r"'),
            "peers.zones[0].regio: no such key; did you mean region?",
        ),
    ],
)
def test_a_layout_that_can_not_be_used_names_its_key(change, key):
    assert FILE.count(change[0]) == 1
    with pytest.raises(ConfigurationError) as wrong:
        operator.check_file(tomllib.loads(FILE.replace(*change)))
    assert key in str(wrong.value)
