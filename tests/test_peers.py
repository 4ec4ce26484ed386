"""Proxies that know each other, without sockets: frames, rate limits, the view of the fleet, drains, health reports."""

import random

import pytest

from wheathill.peers.cluster_view import (
    PARTITIONED_AFTER_UNANSWERED_PROBES,
    ClusterView,
    ClusterViewConfig,
    ViewState,
)
from wheathill.peers.drain_registry import DrainRecord, DrainRegistry
from wheathill.peers.frames import (
    MAX_TRACKED_PROCESSES,
    Frame,
    FrameAuthenticator,
    FrameRejectedError,
    RejectReason,
    ReplayWindow,
)
from wheathill.peers.messages import ViewHeader, ZonedViewHeader
from wheathill.peers.peer_health_reports import (
    HealthObservation,
    HealthReport,
    HealthVerdict,
    PeerHealthReports,
    ServerHealth,
)
from wheathill.peers.sender_rate_limiter import BURST_MESSAGES, SenderRateLimiter
from wheathill.peers.start_registry import MAX_FUTURE_MS, StartRecord, StartRegistry
from wheathill.peers.transport_metrics import DropReason

KEY = b"k" * 32


def authenticator(name, generation, cluster="c", shared_key=KEY):
    return FrameAuthenticator(
        cluster=cluster, shared_key=shared_key, name=name, generation=generation
    )


def pair():
    return authenticator("a", 1), authenticator("b", 2)


def rejected(call, *args):
    """The reason for which `call` rejects a frame; it is the text of the log."""
    with pytest.raises(FrameRejectedError) as caught:
        call(*args)
    assert str(caught.value) == caught.value.reason.value
    return caught.value.reason


def test_a_frame_is_good_once_and_for_one_process():
    one, other = pair()
    frame = one.encode_frame(2, ["ping", "x"])
    assert other.decode_frame(frame) == Frame("a", 1, ["ping", "x"])
    assert rejected(other.decode_frame, frame) is RejectReason.REPLAYED
    third = authenticator("b", 3)
    assert rejected(third.decode_frame, frame) is RejectReason.OTHER_RECEIVER
    assert rejected(one.decode_frame, frame) is RejectReason.OWN


def test_frames_that_are_not_taken():
    one, other = pair()
    frame = one.encode_frame(2, ["x"])
    for place in range(len(frame)):
        spoilt = frame[:place] + bytes([frame[place] ^ 1]) + frame[place + 1 :]
        assert rejected(other.decode_frame, spoilt) in (
            RejectReason.DAMAGED,
            RejectReason.OTHER_VERSION,
            RejectReason.OTHER_KEY,
            RejectReason.TOO_LONG,
        )
        truncated = frame[:place]
        assert rejected(other.decode_frame, truncated) is RejectReason.DAMAGED
    stranger = authenticator("b", 2, cluster="d")
    assert rejected(stranger.decode_frame, frame) is RejectReason.OTHER_CLUSTER
    stranger = authenticator("b", 2, shared_key=b"l" * 32)
    assert rejected(stranger.decode_frame, frame) is RejectReason.OTHER_KEY
    empty = one.encode_frame(2, [])
    assert rejected(other.decode_frame, empty) is RejectReason.MALFORMED
    assert rejected(other.frame_length, frame, 3) is RejectReason.TOO_LONG


def test_reasons_are_counted_and_logged_by_the_same_texts_as_ever():
    assert [reason.value for reason in (*RejectReason, *DropReason)] == [
        "damaged",
        "another version",
        "too long",
        "another key",
        "nonsense",
        "another cluster",
        "its own",
        "for another process",
        "played again",
        "too often",
        "queue full",
        "stream cut off",
    ]


def test_counters_come_once_in_any_order():
    chance, window = random.Random(1), ReplayWindow()
    counters = list(range(1, 900))
    chance.shuffle(counters)
    assert all(window.accept(counter) for counter in counters)
    assert not any(window.accept(counter) for counter in counters)
    assert window.accept(5000) and not window.accept(5000 - ReplayWindow.WIDTH)


def test_a_frame_that_waits_while_others_are_told_is_good():
    """As in a stream, while a seed answers hundreds that start; forgotten receivers' counters never begin again."""
    one, other = pair()
    waits = one.encode_frame(2, ["early"])
    for generation in range(10, 10 + ReplayWindow.WIDTH + 10):
        one.encode_frame(generation, ["x"])
    assert other.decode_frame(one.encode_frame(2, ["late"])) == Frame("a", 1, ["late"])
    assert other.decode_frame(waits) == Frame("a", 1, ["early"])
    for generation in range(10, 10 + MAX_TRACKED_PROCESSES + 10):
        one.encode_frame(generation + 100_000, ["x"])
    assert 2 not in one.counters
    again = other.decode_frame(one.encode_frame(2, ["again"]))
    assert again == Frame("a", 1, ["again"])


def test_a_sender_is_limited_by_itself_and_gets_tokens_back():
    limiter = SenderRateLimiter()
    assert all(limiter.allow(0.0, "a") for _ in range(BURST_MESSAGES))
    assert not limiter.allow(0.0, "a") and limiter.allow(0.0, "b")
    assert [limiter.allow(10.0, "a") for _ in range(3)] == [True, True, False]


def cluster_view(name="a", generation=1, expected_proxies=5, **options):
    config = ClusterViewConfig(name, generation, expected_proxies, **options)
    return ClusterView(config, 0.0)


def report(view, source, generation, digest, is_established, capacity_estimate):
    header = ViewHeader(digest, is_established, capacity_estimate)
    view.record_report(source, generation, header)


def converge(view, now_ms, names):
    for number, name in enumerate(names):
        view.update_member(now_ms, name, number + 10, "alive", False)
    for number, name in enumerate(names):
        report(view, name, number + 10, view.digest(), True, 4.0)
    return view.update_state(now_ms, 0)


def test_quotas_shrink_at_once_and_grow_with_certainty():
    view = cluster_view(ended_process_hold_ms=3000.0)
    # Alone, and a process that may have run before it.
    assert view.state == ViewState.STANDALONE and view.quota(0.0) == 1 / 6
    assert converge(view, 100.0, "bcde") == ViewState.CONVERGED
    assert view.quota(4000.0) == 1 / 5
    view.update_member(5000.0, "b", 10, "dead", False)
    assert view.update_state(5000.0, 0) == ViewState.DIVERGED
    assert view.quota(50_000.0) == 1 / 5
    view.update_member(51_000.0, "b", 10, "dead", True)
    assert view.quota(51_000.0) == 1 / 5 and view.quota(54_000.0) == 1 / 4
    # c was started anew: its process before may still count.
    view.update_member(55_000.0, "c", 99, "alive", False)
    assert view.quota(55_000.0) == 1 / 5
    for name in "fgh":
        view.update_member(60_000.0, name, 7, "alive", False)
    assert view.quota(60_000.0) == 1 / 7


def test_a_new_process_takes_no_quota_while_others_may_still_answer():
    view = cluster_view(startup_wait_ms=3000.0)
    assert view.quota(2999.0) == 0.0 and not view.is_startup_wait_over(2999.0)
    assert view.quota(3000.0) == 1 / 5 and view.is_startup_wait_over(3000.0)


def test_partitioned_where_most_are_out_of_reach():
    view = cluster_view()
    converge(view, 0.0, "bcde")
    for name, generation in (("b", 10), ("c", 11)):
        view.update_member(1.0, name, generation, "dead", False)
    assert view.update_state(1.0, 0) == ViewState.DIVERGED
    view.update_member(2.0, "d", 12, "dead", False)
    assert view.update_state(2.0, 0) == ViewState.PARTITIONED
    named = cluster_view(expected_members=("a", "b", "c"))
    assert named.max_active_proxies(0.0) == 3
    assert (
        view.update_state(3.0, PARTITIONED_AFTER_UNANSWERED_PROBES)
        == ViewState.PARTITIONED
    )


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
                view = views[name] = ClusterView(
                    ClusterViewConfig(
                        name, here.index(name) + 1, 1, ended_process_hold_ms=1.0
                    ),
                    -1e9,
                )
                view.is_established = name in side
                for other in old + fresh:
                    if other != name:
                        view.update_member(
                            0.0,
                            other,
                            (here + old).index(other) + 1,
                            "alive" if other in here else "dead",
                            False,
                        )
                        view.members[other].is_established = other in old
            reporting = [name for name in here if chance.random() < 0.8]
            for name, view in views.items():
                for other in reporting:
                    if other != name:
                        generation = here.index(other) + 1
                        digest = views[other].digest()
                        report(view, other, generation, digest, other in side, 1.0)
                view.state = ViewState.DIVERGED
            total += sum(view.quota(0.0) for view in views.values())
        assert total <= 1.0 + 1e-9, seed


def test_headers_are_read_as_they_were_written():
    header = ViewHeader("ab", True, 2.345)
    assert header.encode() == ("ab", True, 2.35)
    assert ViewHeader.decode(["ab", 1, 2.35]) == ViewHeader("ab", True, 2.35)
    zoned = ZonedViewHeader("east", ViewHeader("ab", False, 1.0), 3, 77)
    assert zoned.encode() == ("east", "ab", False, 1.0, 3, 77)
    assert ZonedViewHeader.decode(list(zoned.encode())) == zoned
    for fields in (["ab", True], ["ab", True, 1.0, 2]):
        with pytest.raises((ValueError, TypeError)):
            ViewHeader.decode(fields)


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


def permits(views, server):
    return {name: view.permit(server, 2.0, 0.25) for name, view in views.items()}


def test_permits_for_a_warming_server_are_whole_and_the_same_everywhere():
    names = [f"n{number}" for number in range(7)]
    generations = {name: number + 10 for number, name in enumerate(names)}
    views = {name: cluster_view(name, generations[name], 7) for name in names}
    for name, view in views.items():
        for other in names:
            if other != name:
                view.update_member(0.0, other, generations[other], "alive", False)
        view.is_established = True
    for name, view in views.items():
        for other in names:
            if other != name:
                digest = views[other].digest()
                report(view, other, generations[other], digest, True, 2.0)
    for view in views.values():
        view.update_state(0.0, 0)
    for server in ("g1", "g2", "g3"):
        # Of a capacity of 14 a quarter: 3.5 attempts a window.
        before = permits(views, server)
        assert sorted(before.values()) == [0.0] * 4 + [1.0] * 3
        # Split in two, each side names the same.
        for name in names[:3]:
            for other in names[3:]:
                views[name].update_member(1.0, other, generations[other], "dead", False)
        assert permits(views, server) == before
        # A certain death passes on one permit at the most.
        gone = next(name for name in names if before[name] == 1.0)
        left = {name: view for name, view in views.items() if name != gone}
        for view in left.values():
            view.update_member(2.0, gone, generations[gone], "dead", True)
        after = permits(left, server)
        assert sum(after.values()) == 3.0
        assert sum(after[name] > before[name] for name in left) == 1
        for view in left.values():
            view.update_member(3.0, gone, generations[gone], "alive", False)
            view.members[gone].is_established = True
    # Enough for all: its own part.
    assert views["n0"].permit("g1", 2.0, 1.0) == 2.0
