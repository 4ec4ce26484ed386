"""What follows from membership for a proxy: messages, updates of servers, limits, status, comparison of views."""

import random
from types import SimpleNamespace

import pytest

from wheathill.log_events import LogEvent
from wheathill.model import Phase, Server
from wheathill.peers.cluster_view import ClusterView, ClusterViewConfig, ViewState
from wheathill.peers.drain_registry import DrainRecord
from wheathill.peers.fleet_limits import FleetLimits
from wheathill.peers.health_exchange import FRESHNESS_MS, HealthExchange
from wheathill.peers.member_rotation import MemberRotation
from wheathill.peers.messages import (
    DigestAnnouncement,
    DrainUpdate,
    HealthEvidence,
    MemberSummary,
    Sender,
    StartUpdate,
    ViewReply,
    ViewRequest,
    decode_message,
)
from wheathill.peers.peer_health_reports import (
    HealthObservation,
    HealthReport,
    ServerHealth,
)
from wheathill.peers.server_updates import DirectServerUpdates, ServerEntry
from wheathill.peers.start_registry import StartRecord
from wheathill.peers.view_comparison import ViewComparison


class StubClock:
    """Stands still; timers are kept."""

    def __init__(self):
        self.timers = []

    def now(self):
        return 1000.0

    def to_wall(self, when):
        return when + 1e12

    def after(self, wait, call, *args):
        self.timers.append((wait, call, args))


class StubProxy:
    """Keeps what its peers have it do."""

    def __init__(self, *names):
        self.servers = {name: Server(name) for name in names}
        self.balancer = self
        self.updates, self.verdicts = [], []

    def on_peer_update(self, server, phase, born):
        self.updates.append((server.name, phase, born))

    def on_peer_health_reports(self, now_ms, failing, here):
        self.verdicts.append(
            ([server.name for server in failing], [server.name for server in here])
        )


# Messages


@pytest.mark.parametrize(
    ("message", "words"),
    [
        (
            DrainUpdate((DrainRecord("g", 2, True, 5.0),)),
            ["drains", [["g", 2, True, 5.0]]],
        ),
        (StartUpdate((StartRecord("g", 5.0),)), ["starts", [["g", 5.0]]]),
        (
            HealthEvidence((HealthReport("g", ServerHealth.FAILING, 1.5),)),
            ["seen", [["g", 0, 1.5]]],
        ),
        (ViewRequest(7), ["view?", 7]),
        (
            ViewReply(7, {"a": MemberSummary(11, "alive")}),
            ["view", 7, {"a": [11, "alive"]}],
        ),
        (DigestAnnouncement(), ["note"]),
    ],
)
def test_messages_are_read_as_they_were_written(message, words):
    assert message.encode() == words
    assert decode_message(words) == message


def test_messages_of_membership_are_none_of_these():
    assert decode_message(["ping", 1, "a", []]) is None


@pytest.mark.parametrize(
    "words",
    [
        [],
        ["drains"],
        ["drains", [["g", 1]]],
        ["drains", [["g", 1, True, "soon"]]],
        ["starts", 5],
        ["seen", [["g", 0]]],
        ["view?"],
        ["view", 7],
        ["view", 7, {"a": [11]}],
        ["view", 7, []],
    ],
)
def test_what_is_no_message_raises(words):
    with pytest.raises((ValueError, TypeError, IndexError, AttributeError)):
        decode_message(words)


def test_evidence_of_an_unknown_kind_of_health_is_left_out():
    words = ["seen", [["g", 7, 1.0], ["h", 1, 1.0]]]
    reports = (HealthReport("h", ServerHealth.SERVING, 1.0),)
    assert decode_message(words) == HealthEvidence(reports)


# Updates of servers


@pytest.fixture
def updates():
    """Updates of a proxy that lists g, and what was sent: (address or None for all, words)."""
    proxy, sent = StubProxy("g"), []
    found = DirectServerUpdates(
        proxy,
        StubClock(),
        lambda address, message: sent.append((address, message.encode())),
        lambda message: sent.append((None, message.encode())),
    )
    return SimpleNamespace(server_updates=found, proxy=proxy, sent=sent)


def test_what_the_own_list_says_is_sent_to_all_once(updates):
    found, sent = updates.server_updates, updates.sent
    ready = ServerEntry(Phase.READY, 5.0)
    assert found.record_list_entry("g", Phase.READY, 5.0) == ready
    assert sent == [(None, ["starts", [["g", 5.0]]])]
    assert found.record_list_entry("g", Phase.READY, 5.0) == ready
    found.record_list_entry("g", Phase.DRAINING, 5.0)
    found.record_list_entry("g", Phase.GONE, 5.0)
    assert sent[1:] == [(None, ["drains", [["g", 1, True, 5.0]]])]
    del sent[:]
    found.send_all_records("b:1")
    assert sent == [
        ("b:1", ["drains", [["g", 1, True, 5.0]]]),
        ("b:1", ["starts", [["g", 5.0]]]),
    ]


def test_a_drain_that_another_reports_holds_until_a_later_start(updates):
    found, proxy = updates.server_updates, updates.proxy
    found.record_list_entry("g", Phase.READY, 5.0)
    drain = DrainUpdate((DrainRecord("g", 1, True, 5.0),))
    found.handle(1000.0, Sender("b", 11, "b:1"), drain)
    assert proxy.updates == [("g", Phase.DRAINING, 5.0)]
    assert found.drained_by_peers() == ["g"]
    # The own list is read again and knows nothing of it.
    entry = found.record_list_entry("g", Phase.READY, 5.0)
    assert entry == ServerEntry(Phase.DRAINING, 5.0)
    found.handle(1000.0, Sender("c", 12, None), StartUpdate((StartRecord("g", 9.0),)))
    assert proxy.updates[-1] == ("g", Phase.READY, 9.0)
    assert found.drained_by_peers() == []
    assert found.listed_entry("g") == ServerEntry(Phase.READY, 5.0)


def test_updates_of_servers_that_are_not_listed_wait(updates):
    found = updates.server_updates
    drain = DrainUpdate((DrainRecord("g", 1, True, 5.0),))
    found.handle(1000.0, Sender("b", 11, "b:1"), drain)
    assert updates.proxy.updates == []
    assert found.record_list_entry("g", Phase.READY, 5.0).phase is Phase.DRAINING
    found.forget_server("g")
    assert found.drained_by_peers() == []


# Health


def test_failing_servers_come_first_in_evidence_and_are_bounded():
    exchange = HealthExchange(StubProxy(), lambda *_, **__: None, max_servers=2)
    own = {
        name: HealthObservation(health, 990.0)
        for name, health in (
            ("a", ServerHealth.SERVING),
            ("b", ServerHealth.SERVING),
            ("c", ServerHealth.FAILING),
        )
    }
    assert exchange.evidence(1000.0, own).encode() == [
        "seen",
        [["c", 0, 10.0], ["a", 1, 10.0]],
    ]
    assert exchange.evidence(1000.0, {}) is None


def test_observations_are_the_last_of_each_server_while_they_are_fresh():
    proxy = StubProxy("old", "served", "silent", "never")
    proxy.servers["old"].last_received_ms = 1000.0 - FRESHNESS_MS
    proxy.servers["served"].last_received_ms = 900.0
    proxy.servers["silent"].last_received_ms = 900.0
    proxy.servers["silent"].last_probe_ms = 950.0
    proxy.servers["silent"].unanswered_probes = 2
    exchange = HealthExchange(proxy, lambda *_, **__: None, max_servers=8)
    assert exchange.observe(1000.0) == {
        "served": HealthObservation(ServerHealth.SERVING, 900.0),
        "silent": HealthObservation(ServerHealth.FAILING, 950.0),
    }


def test_a_verdict_reaches_the_balancer_and_the_log_once_it_changes():
    proxy, lines = StubProxy("g"), []
    exchange = HealthExchange(
        proxy, lambda event, **fields: lines.append((event, fields)), max_servers=8
    )
    evidence = HealthEvidence((HealthReport("g", ServerHealth.FAILING, 10.0),))
    for source in ("x", "y"):
        exchange.record(1000.0, source, evidence)
    exchange.apply_verdict(1000.0, {}, is_partitioned=False)
    exchange.apply_verdict(1001.0, {}, is_partitioned=False)
    assert proxy.verdicts == [(["g"], []), (["g"], [])]
    assert lines == [
        (LogEvent.PEER_HEALTH_VERDICT, {"fail_for_all": ["g"], "fail_here_alone": []}),
    ]
    exchange.apply_verdict(1002.0, {}, is_partitioned=True)
    assert len(proxy.verdicts) == 2 and not exchange.verdict
    exchange.forget_source("y")
    exchange.apply_verdict(1003.0, {}, is_partitioned=False)
    assert len(proxy.verdicts) == 2


# Limits, members in turn


def test_limits_are_those_of_the_view():
    view = ClusterView(ClusterViewConfig("a", 1, 4, ended_process_hold_ms=1.0), 0.0)
    limits = FleetLimits(view, 4, lambda: 2.0)
    assert limits.quota(1.0) == limits.expected_quota() == 0.25
    assert limits.has_expected_fleet_size(1.0)
    assert limits.permit("g", 3.0) == 6.0
    view.update_member(2.0, "b", 2, "dead", False)
    for name in "cde":
        view.update_member(2.0, name, 3, "alive", False)
    assert not limits.has_expected_fleet_size(2.0) and limits.quota(2.0) == 0.2
    assert view.update_state(2.0, 0) == ViewState.DIVERGED


def test_each_member_has_its_turn_once_a_round():
    members = [SimpleNamespace(name=name) for name in "abcde"]
    rotation = MemberRotation(random.Random(1), 2)
    rounds = [rotation.next_members(lambda: list(members)) for _ in range(6)]
    assert [len(chosen) for chosen in rounds] == [2, 2, 1, 2, 2, 1]
    for one_round in (rounds[:3], rounds[3:]):
        names = [member.name for chosen in one_round for member in chosen]
        assert sorted(names) == list("abcde")
    assert rotation.next_members(list) == []  # nobody is there


# Comparison of views


def test_a_comparison_names_members_that_are_seen_differently():
    def member(name, generation):
        state = SimpleNamespace(value="alive")
        return SimpleNamespace(
            name=name, generation=generation, state=state, address=f"{name}:1"
        )

    members = {name: member(name, number) for number, name in enumerate("abc")}
    membership = SimpleNamespace(
        local=members["a"],
        members=members,
        active_members=lambda: list(members.values()),
    )
    clock, sent, reports = StubClock(), [], []
    comparison = ViewComparison(
        membership, clock, lambda *message: sent.append(message), lambda: {"name": "a"}
    )
    comparison.begin(reports.append)
    assert sent == [("b:1", ViewRequest(1)), ("c:1", ViewRequest(1))]
    own = comparison.reply(ViewRequest(5))
    assert own.request_id == 5 and own.members["b"] == MemberSummary(1, "alive")
    seen = {**own.members, "c": MemberSummary(2, "dead")}
    del seen["b"]
    comparison.record_reply("b", ViewReply(1, seen))
    comparison.record_reply("c", ViewReply(4, seen))  # of no request that waits
    ((wait, finish, args),) = clock.timers
    finish(*args)
    assert wait == 1000.0
    assert reports == [
        {
            "name": "a",
            "answered": ["a", "b"],
            "silent": ["c"],
            "views_differ": {
                "b": {"a": "alive", "b": "unknown"},
                "c": {"a": "alive", "b": "dead"},
            },
        }
    ]
    comparison.record_reply("c", ViewReply(1, seen))  # too late
