"""What instances say and conclude, without sockets: frames, streams that misbehave, who may be at work, drains,
witnesses."""

import random

import pytest

from wheathill.peers.drain_registry import DrainRecord, DrainRegistry
from wheathill.peers.facts import AGREED, ALONE, CUT_OFF, DOUBT, Facts
from wheathill.peers.frames import Dropped, Seal, Window
from wheathill.peers.peer_health_reports import (
    HealthObservation,
    HealthReport,
    HealthVerdict,
    PeerHealthReports,
    ServerHealth,
)
from wheathill.peers.start_registry import MAX_FUTURE_MS, StartRecord, StartRegistry

KEY = b"k" * 32


def pair():
    return Seal("c", KEY, "a", 1), Seal("c", KEY, "b", 2)


def dropped(call, *args):
    with pytest.raises(Dropped) as why:
        call(*args)
    return str(why.value)


def test_a_frame_is_good_once_and_for_one_process():
    one, other = pair()
    frame = one.close(2, ["ping", "x"])
    assert other.open(frame) == ("a", 1, ["ping", "x"])
    assert dropped(other.open, frame) == "played again"
    assert dropped(Seal("c", KEY, "b", 3).open, frame) == "for another process"
    assert dropped(one.open, frame) == "its own"


def test_frames_that_are_not_taken():
    one, other = pair()
    frame = one.close(2, ["x"])
    for place in range(len(frame)):
        spoilt = frame[:place] + bytes([frame[place] ^ 1]) + frame[place + 1 :]
        assert dropped(other.open, spoilt) in (
            "damaged",
            "another version",
            "another key",
            "too long",
        )
        assert dropped(other.open, frame[:place]) == "damaged"
    assert dropped(Seal("d", KEY, "b", 2).open, frame) == "another cluster"
    assert dropped(Seal("c", b"l" * 32, "b", 2).open, frame) == "another key"
    assert dropped(other.open, one.close(2, [])) == "nonsense"
    assert dropped(Seal("c", KEY, "b", 2).length, frame, 3) == "too long"


def test_counters_come_once_in_any_order():
    chance, window = random.Random(1), Window()
    counters = list(range(1, 900))
    chance.shuffle(counters)
    assert all(window.fresh(counter) for counter in counters)
    assert not any(window.fresh(counter) for counter in counters)
    assert window.fresh(5000) and not window.fresh(5000 - Window.WIDTH)


def test_a_frame_that_waits_while_others_are_told_is_good():
    """As in a stream, while a seed answers hundreds that start; forgotten receivers' counters never begin again."""
    one, other = pair()
    waits = one.close(2, ["early"])
    for birth in range(10, 10 + Window.WIDTH + 10):
        one.close(birth, ["x"])
    assert other.open(one.close(2, ["late"])) == ("a", 1, ["late"])
    assert other.open(waits) == ("a", 1, ["early"])
    for birth in range(10, 10 + Seal.SENDERS + 10):
        one.close(birth + 100_000, ["x"])
    assert 2 not in one.counters
    assert other.open(one.close(2, ["again"])) == ("a", 1, ["again"])


def settled(facts, now, names):
    for place, name in enumerate(names):
        facts.member(now, name, place + 10, "alive", False)
    for place, name in enumerate(names):
        facts.told(name, place + 10, facts.digest(), True, 4.0)
    return facts.look(now, 0)


def test_shares_shrink_at_once_and_grow_with_certainty():
    facts = Facts(0.0, "a", 1, 5, (), aged=3000.0, silence=0.0)
    assert (
        facts.state == ALONE and facts.share(0.0) == 1 / 6
    )  # and one that may have been before
    assert settled(facts, 100.0, "bcde") == AGREED
    assert facts.share(4000.0) == 1 / 5
    facts.member(5000.0, "b", 10, "dead", False)
    assert facts.look(5000.0, 0) == DOUBT and facts.share(50_000.0) == 1 / 5
    facts.member(51_000.0, "b", 10, "dead", True)
    assert facts.share(51_000.0) == 1 / 5 and facts.share(54_000.0) == 1 / 4
    facts.member(
        55_000.0, "c", 99, "alive", False
    )  # c anew: the one before may still count
    assert facts.share(55_000.0) == 1 / 5
    for name in "fgh":
        facts.member(60_000.0, name, 7, "alive", False)
    assert facts.share(60_000.0) == 1 / 7


def test_cut_off_where_most_are_out_of_reach():
    facts = Facts(0.0, "a", 1, 5, (), aged=0.0, silence=0.0)
    settled(facts, 0.0, "bcde")
    for name, birth in (("b", 10), ("c", 11)):
        facts.member(1.0, name, birth, "dead", False)
    assert facts.look(1.0, 0) == DOUBT
    facts.member(2.0, "d", 12, "dead", False)
    assert facts.look(2.0, 0) == CUT_OFF
    assert Facts(0.0, "a", 1, 5, ("a", "b", "c"), aged=0.0, silence=0.0).fleet(0.0) == 3
    assert facts.look(3.0, Facts.UNANSWERED) == CUT_OFF


def test_no_split_with_newcomers_on_any_side_sums_past_the_whole():
    """Random fleets, splits, certain deaths and newcomers; each side agrees within itself, or not yet."""
    for seed in range(300):
        chance = random.Random(seed)
        old = [f"o{place}" for place in range(chance.randint(1, 9))]
        sides = [[], []]
        for name in old:
            chance.choice(sides).append(name)
        total = 0.0
        for side in sides:
            fresh = (
                [f"f{id(side)}{place}" for place in range(chance.randint(0, 4))]
                if side
                else []
            )
            here = side + fresh
            views = {}
            for name in here:
                facts = views[name] = Facts(
                    -1e9, name, here.index(name) + 1, 1, (), aged=1.0, silence=0.0
                )
                facts.old = name in side
                for other in old + fresh:
                    if other != name:
                        facts.member(
                            0.0,
                            other,
                            (here + old).index(other) + 1,
                            "alive" if other in here else "dead",
                            False,
                        )
                        facts.there[other].old = other in old
            told = [name for name in here if chance.random() < 0.8]
            for name, facts in views.items():
                for other in told:
                    if other != name:
                        facts.told(
                            other,
                            here.index(other) + 1,
                            views[other].digest(),
                            other in side,
                            1.0,
                        )
                facts.state = DOUBT
            total += sum(facts.share(0.0) for facts in views.values())
        assert total <= 1.0 + 1e-9, seed


def test_drains_come_back_only_by_something_newer():
    drains = DrainRegistry()

    def report(source, generation, *fields):
        return drains.merge(source, generation, [DrainRecord.decode(["g", *fields])])

    assert report("x", 1, 1, True, 5.0) == ["g"] and drains.is_draining("g", 5.0)
    assert not drains.is_draining("g", 6.0)  # a later start
    assert report("x", 1, 1, False, 5.0) == [] and drains.is_draining("g", 5.0)
    drains.record_list_entry("g", True, 5.0)
    # After the own list said so: it may be of another drain.
    report("y", 1, 1, True, 5.0)
    drains.record_list_entry("g", False, 5.0)
    assert drains.is_draining("g", 5.0)
    # Another process of that name has no say in it.
    report("y", 2, 9, False, 5.0)
    assert drains.is_draining("g", 5.0)
    report("y", 1, 2, False, 5.0)
    assert not drains.is_draining("g", 5.0)
    report("y", 1, 1, True, 5.0)  # late
    assert not drains.is_draining("g", 5.0)
    assert [record.encode() for record in drains.own_records()] == [
        ["g", 2, False, 5.0]
    ]


def test_the_latest_start_counts_in_whatever_order_it_arrives():
    starts = StartRegistry()
    assert starts.merge(100.0, [StartRecord.decode(["g", 50.0])]) == ["g"]
    assert starts.merge(100.0, [StartRecord("g", 40.0), StartRecord("g", 50.0)]) == []
    assert starts.merge(100.0, [StartRecord("h", 101.0 + MAX_FUTURE_MS)]) == []
    assert starts.latest_ms("g", None) == 50.0 and starts.latest_ms("g", 60.0) == 60.0
    assert [record.encode() for record in starts.records()] == [["g", 50.0]]


def test_health_reports_of_several_proxies_are_weighed_against_each_other():
    failing, serving = ServerHealth.FAILING, ServerHealth.SERVING

    def verdict(*reports, now_ms=100.0, own=None):
        found = PeerHealthReports(3000.0)
        for source, server, health in reports:
            found.record(100.0, source, [HealthReport(server, health, 10.0)])
        own = {} if own is None else {"g": HealthObservation(own, 99.0)}
        return found.verdict(now_ms, own)

    both_fail = ("x", "g", failing), ("y", "g", failing)
    assert verdict(*both_fail) == HealthVerdict(("g",), ())
    assert verdict(("x", "g", failing)) == HealthVerdict()  # one is not enough
    assert verdict(*both_fail, own=serving) == HealthVerdict()
    assert verdict(*both_fail, now_ms=4000.0) == HealthVerdict()  # out of date
    both_serve = ("x", "g", serving), ("y", "g", serving)
    assert verdict(*both_serve, own=failing) == HealthVerdict((), ("g",))
    # A reporter behind a bad path calls failing what others are served by: it weighs less, also where nobody
    # contradicts it.
    contradicted = verdict(
        *[("x", f"g{number}", failing) for number in range(4)],
        *[("y", f"g{number}", serving) for number in range(4)],
        *[("z", f"g{number}", serving) for number in range(4)],
        ("x", "h", failing),
        ("y", "h", failing),
    )
    assert contradicted == HealthVerdict()


def test_a_health_report_is_read_as_it_was_written():
    report = HealthReport("g", ServerHealth.SERVING, 12.5)
    assert report.encode() == ["g", 1, 12.5]
    assert HealthReport.decode(report.encode()) == report
    assert HealthReport.decode(["g", 7, 1.0]) is None  # of a later version
    with pytest.raises((ValueError, TypeError)):
        HealthReport.decode(["g", 1])


def test_rights_to_dial_a_cold_server_are_whole_and_the_same_everywhere():
    names, views = [f"n{place}" for place in range(7)], []
    for name in names:
        facts = Facts(0.0, name, names.index(name) + 10, 7, (), aged=0.0, silence=0.0)
        for place, other in enumerate(names):
            if other != name:
                facts.member(0.0, other, place + 10, "alive", False)
        facts.old = True
        views.append(facts)
    for facts in views:
        for other in views:
            if other is not facts:
                facts.told(other.name, other.birth, other.digest(), True, 2.0)
    for facts in views:
        facts.look(0.0, 0)
    for server in ("g1", "g2", "g3"):
        rights = [
            facts.right(server, 2.0, 0.25) for facts in views
        ]  # 14 borne: 3.5 dials a window
        assert sorted(rights) == [0.0] * 4 + [1.0] * 3
        # Cut in two, each side names the same.
        for facts in views[:3]:
            for other in names[3:]:
                facts.member(1.0, other, names.index(other) + 10, "dead", False)
        assert [facts.right(server, 2.0, 0.25) for facts in views] == rights
        # A certain death passes on one right at the most.
        gone = names[rights.index(1.0)]
        for facts in views:
            if facts.name != gone:
                facts.member(2.0, gone, names.index(gone) + 10, "dead", True)
        after = [
            facts.right(server, 2.0, 0.25) for facts in views if facts.name != gone
        ]
        assert (
            sum(after) == 3.0
            and sum(
                a > b
                for a, b in zip(
                    after, [right for name, right in zip(names, rights) if name != gone]
                )
            )
            == 1
        )
        for facts in views:
            if facts.name != gone:
                facts.member(3.0, gone, names.index(gone) + 10, "alive", False)
                facts.there[gone].old = True
    assert views[0].right("g1", 2.0, 1.0) == 2.0  # enough for all: its own part
