"""Each part of the membership protocol by itself: what one instance sends and decides."""

import math
import random
from dataclasses import dataclass, field, replace

import pytest

from wheathill.peers.membership import (
    FallbackProbe,
    Member,
    Membership,
    MembershipConfig,
    MemberState,
    MemberUpdate,
    Message,
    ProbePurpose,
    ProbeResult,
    Timer,
)
from wheathill.peers.membership.effects import (
    NackTimer,
    ProbeTimeoutTimer,
    ProbeTimer,
    SuspicionTimer,
)
from wheathill.peers.membership.gossip_queue import GossipQueue
from wheathill.peers.membership.local_health import MAX_SCORE, LocalHealth
from wheathill.peers.membership.messages import (
    Ack,
    IndirectPing,
    Join,
    Nack,
    NameConflict,
    Ping,
    StateSync,
)

ALIVE, SUSPECT = MemberState.ALIVE, MemberState.SUSPECT
DEAD, LEFT = MemberState.DEAD, MemberState.LEFT
CONFIG = MembershipConfig(
    name="a",
    address="h:a",
    generation=1,
    probe_interval_ms=1000.0,
    probe_timeout_ms=300.0,
    indirect_checks=3,
    retention_ms=60_000.0,
    sync_interval_ms=10_000.0,
)


@dataclass
class RecordedEffects:
    """What a membership asks for, in order."""

    sent: list[tuple[str | None, Message]] = field(default_factory=list)
    probes: list[FallbackProbe] = field(default_factory=list)
    timers: list[tuple[float, Timer]] = field(default_factory=list)
    changes: list[tuple[str, MemberState, MemberState | None]] = field(
        default_factory=list
    )
    lines: list[str] = field(default_factory=list)
    next_probe_ms: float = 0.0  # when the last `ProbeTimer` is due

    def send(self, address, message):
        self.sent.append((address, message))

    def start_fallback_probe(self, probe):
        self.probes.append(probe)

    def set_timer(self, at_ms, timer):
        self.timers.append((at_ms, timer))
        if isinstance(timer, ProbeTimer):
            self.next_probe_ms = at_ms

    def member_changed(self, member, previous_state):
        self.changes.append((member.name, member.state, previous_state))

    def log(self, text):
        self.lines.append(text)

    def clear(self):
        """Forget all that was recorded."""
        for recorded in (
            self.sent,
            self.probes,
            self.timers,
            self.changes,
            self.lines,
        ):
            recorded.clear()

    def timers_of(self, kind):
        return [timer for _, timer in self.timers if isinstance(timer, kind)]


def update(state, name, incarnation=0, generation=5, reported_by=""):
    return MemberUpdate(
        state, name, f"h:{name}", incarnation, generation, reported_by or name
    )


def started(*names, **config):
    """A membership that knows these members as alive, and its effects from then on."""
    effects = RecordedEffects()
    membership = Membership(effects, random.Random(1), replace(CONFIG, **config))
    membership.start(0.0, [])
    membership.apply_updates(0.0, [update(ALIVE, name) for name in names])
    effects.clear()
    return membership, effects


def probe_next(membership, effects, late_ms=0.0):
    """Let the timer of the next probe fire."""
    membership.on_timer(effects.next_probe_ms + late_ms, ProbeTimer())


def end_fallback_probe(membership, effects, result, purpose, now_ms):
    """Give the last fallback probe its result."""
    probe = effects.probes[-1]
    assert probe.purpose is purpose
    membership.on_fallback_probe_result(now_ms, probe, result)


# Gossip


def test_the_gone_lead_and_then_the_least_sent():
    queue = GossipQueue(100.0)
    members = {
        name: Member(name, name, 0, 1, state, 0.0)
        for name, state in (("a", ALIVE), ("b", SUSPECT), ("c", DEAD), ("d", LEFT))
    }
    for member in members.values():
        queue.add(member, "x")
    assert [each.name for each in queue.take(3, 10)] == ["c", "d", "a"]
    assert [each.name for each in queue.take(3, 10)] == ["c", "d", "b"]
    queue.discard(members["c"])
    assert [each.name for each in queue.take(1, 10, first=members["c"])] == ["c"]
    assert queue.take(1, 10, first=members["c"])[0].reported_by == ""


# Probes


def test_a_ping_is_acknowledged_unless_its_sequence_is_zero():
    membership, effects = started("b")
    membership.on_message(1.0, "h:b", Ping(0, "b", []))
    assert effects.sent == []
    membership.on_message(1.0, "h:b", Ping(9, "b", []))
    ((address, ack),) = effects.sent
    assert (address, ack.sequence, ack.sender) == ("h:b", 9, "a")
    assert isinstance(ack, Ack)


def test_a_suspect_that_pings_is_informed():
    membership, effects = started("b", "c", "d")
    membership.apply_updates(1.0, [update(SUSPECT, "c", reported_by="d")])
    membership.gossip.clear()
    effects.clear()
    membership.on_message(2.0, "h:c", Ping(9, "c", []))
    ((_, ack),) = effects.sent
    assert ("c", SUSPECT) in [(each.name, each.state) for each in ack.updates]


def test_a_late_answer_makes_others_ping():
    membership, effects = started("b", "c", "d", "e", "f")
    probe_next(membership, effects)
    ((address, ping),) = effects.sent
    assert effects.timers_of(ProbeTimeoutTimer)
    effects.clear()
    membership.on_timer(800.0, ProbeTimeoutTimer())
    again, *requests = effects.sent
    assert again[0] == address and again[1].sequence == ping.sequence
    assert len(requests) == CONFIG.indirect_checks
    for helper, request in requests:
        assert isinstance(request, IndirectPing) and helper != address
        assert request.target_address == address
        assert request.sequence == ping.sequence


def test_an_indirect_ping_is_relayed_and_its_silence_is_a_nack():
    membership, effects = started("b", "c")
    membership.on_message(1.0, "h:b", IndirectPing(7, "b", "c", "h:c", []))
    ((address, ping),) = effects.sent
    assert address == "h:c" and isinstance(ping, Ping) and ping.sequence
    (nack_timer,) = effects.timers_of(NackTimer)
    effects.clear()
    membership.on_timer(300.0, nack_timer)
    assert effects.sent == [("h:b", Nack(7))]
    membership.on_message(400.0, "h:c", Ack(ping.sequence, "c", []))
    address, ack = effects.sent[-1]
    assert address == "h:b" and isinstance(ack, Ack) and ack.sequence == 7
    effects.clear()
    membership.on_timer(500.0, nack_timer)
    assert effects.sent == []


# Suspicion and death


def suspected(result, *, others=("b", "c", "d", "e")):
    """An unanswered probe, after whose fallback probe came `result`."""
    membership, effects = started(*others)
    probe_next(membership, effects)
    probe_next(membership, effects)
    (probe,) = effects.probes
    assert probe.purpose is ProbePurpose.BEFORE_SUSPICION
    effects.clear()
    membership.on_fallback_probe_result(4000.0, probe, result)
    return membership, effects, membership.members[probe.name]


def test_no_answer_to_a_fallback_probe_is_a_suspicion():
    _, effects, member = suspected(ProbeResult.NO_ANSWER)
    assert effects.changes == [(member.name, SUSPECT, ALIVE)]
    assert member.suspected_by == ("a",)
    assert [probe.purpose for probe in effects.probes] == [ProbePurpose.BEFORE_DEATH]


def test_a_refused_connection_is_a_death_without_a_suspicion():
    membership, effects, member = suspected(ProbeResult.REFUSED)
    assert effects.changes == [(member.name, DEAD, ALIVE)]
    assert member.is_death_confirmed
    # Gone for good: no update brings it back.
    membership.apply_updates(3000.0, [update(ALIVE, member.name, incarnation=9)])
    assert member.state is DEAD


def test_a_connection_that_comes_up_is_neither():
    _, effects, member = suspected(ProbeResult.REACHABLE)
    assert effects.changes == [] and member.state is ALIVE
    assert member.unconfirmed_since_ms is None


def test_a_message_of_the_member_meanwhile_outweighs_the_silence():
    membership, effects = started("b", "c", "d")
    probe_next(membership, effects)
    probe_next(membership, effects)
    (probe,) = effects.probes
    membership.on_message(3500.0, probe.address, Ping(0, probe.name, []))
    membership.on_fallback_probe_result(4000.0, probe, ProbeResult.NO_ANSWER)
    assert membership.members[probe.name].state is ALIVE


def test_a_suspicion_ends_in_death_where_the_final_check_gets_no_answer():
    membership, effects, member = suspected(ProbeResult.NO_ANSWER)
    deadline_ms = member.suspicion_deadline_ms
    purpose, no_answer = ProbePurpose.BEFORE_DEATH, ProbeResult.NO_ANSWER
    end_fallback_probe(membership, effects, no_answer, purpose, deadline_ms - 1.0)
    assert member.state is SUSPECT
    membership.on_timer(deadline_ms - 1.0, SuspicionTimer())
    assert len(effects.probes) == 2
    end_fallback_probe(membership, effects, no_answer, purpose, deadline_ms)
    assert member.state is DEAD and not member.is_death_confirmed


def test_a_suspicion_is_shorter_the_more_members_confirm_it():
    names = [f"m{number}" for number in range(10)]
    membership, _ = started(*names)
    shortest_ms = 3.0 * math.log10(11) * 1000.0
    member = membership.members["m0"]
    waits_ms = []
    for reporter in ("m1", "m2", "m3", "m4", "m5"):
        report = update(SUSPECT, "m0", reported_by=reporter)
        membership.apply_updates(100.0, [report])
        waits_ms.append(member.suspicion_deadline_ms - 100.0)
    assert waits_ms[0] == pytest.approx(6.0 * shortest_ms)
    assert waits_ms[0] > waits_ms[1] > waits_ms[2] > waits_ms[3]
    # Lifeguard's K: a fourth confirmation changes nothing.
    assert waits_ms[3] == waits_ms[4] == pytest.approx(shortest_ms)


def test_one_reporter_confirms_once():
    membership, _ = started("b", "c", "d", "e")
    report = update(SUSPECT, "b", reported_by="c")
    membership.apply_updates(100.0, [report, report, report])
    assert membership.members["b"].suspected_by == ("c",)


def test_own_contact_outweighs_a_report_of_death():
    membership, effects = started("b", "c")
    report = update(DEAD, "b", reported_by="c")
    membership.apply_updates(1000.0, [report])
    member = membership.members["b"]
    assert member.state is ALIVE
    assert effects.probes[-1].purpose is ProbePurpose.DEATH_REPORT
    # The member is informed, so that it can refute.
    assert effects.sent[-1][0] == "h:b" and effects.sent[-1][1].updates == [report]
    end_fallback_probe(
        membership, effects, ProbeResult.NO_ANSWER, ProbePurpose.DEATH_REPORT, 1600.0
    )
    assert member.state is DEAD


def test_a_report_of_death_counts_without_own_contact():
    membership, _ = started("b", "c")
    membership.apply_updates(10_000.0, [update(DEAD, "b", reported_by="c")])
    assert membership.members["b"].state is DEAD


def test_an_instance_that_was_stopped_suspects_nobody_until_it_is_answered():
    membership, effects = started("b", "c", "d")
    probe_next(membership, effects)
    probe_next(membership, effects, late_ms=58_500.0)
    probe_next(membership, effects)
    assert effects.probes == []
    assert effects.lines == ["peers: this process stood still for 58500 ms"]
    membership.on_message(effects.next_probe_ms, "h:b", Ack(99, "b", []))
    probe_next(membership, effects)
    assert [probe.purpose for probe in effects.probes] == [
        ProbePurpose.BEFORE_SUSPICION
    ]


# Local health


def test_local_health_worsens_to_a_bound_and_is_halved_by_an_answer_in_time():
    health = LocalHealth()
    for _ in range(20):
        health.worsen()
    assert health.score == MAX_SCORE
    health.improve(was_late=True)
    assert health.score == MAX_SCORE - 1
    health.improve(was_late=False)
    assert health.score == (MAX_SCORE - 1) // 2


def test_losses_are_only_noticed_where_several_members_answer_late():
    health = LocalHealth()
    for _ in range(8):
        health.record_probe("b", was_late=True)
    assert not health.is_network_lossy
    health.record_probe("c", was_late=True)
    assert health.is_network_lossy
    for _ in range(16):
        health.record_probe("b", was_late=False)
    assert not health.is_network_lossy


# Refutation and names


def test_a_suspicion_of_oneself_is_refuted_at_once():
    membership, effects = started("b", "c")
    membership.apply_updates(1.0, [update(SUSPECT, "a", 0, 1, reported_by="b")])
    assert membership.local.incarnation == 1 and membership.local_health == 1
    assert {address for address, _ in effects.sent} == {"h:b", "h:c"}
    for _, ping in effects.sent:
        first = ping.updates[0]
        assert (first.name, first.state, first.incarnation) == ("a", ALIVE, 1)


def test_an_old_suspicion_of_oneself_changes_nothing():
    membership, effects = started("b")
    membership.local.incarnation = 5
    membership.apply_updates(1.0, [update(SUSPECT, "a", 4, 1, reported_by="b")])
    assert membership.local.incarnation == 5 and effects.sent == []


def test_an_instance_that_an_operator_removed_isolates_itself():
    membership, effects = started("b")
    membership.apply_updates(1.0, [update(LEFT, "a", 1, 1, reported_by="b")])
    assert membership.is_isolated
    effects.clear()
    probe_next(membership, effects)
    assert effects.sent == []


def test_a_claim_of_a_name_that_is_held_is_rejected_and_the_holder_probed():
    membership, effects = started("b")
    claim = MemberUpdate(ALIVE, "b", "h:other", 0, 6, "b")
    membership.on_message(1.0, "h:other", Join(claim))
    ((address, conflict),) = effects.sent
    assert address == "h:other" and isinstance(conflict, NameConflict)
    assert conflict.holder.address == "h:b"
    assert effects.probes[-1].purpose is ProbePurpose.NAME_CLAIM
    assert effects.lines == ["peers: h:other claims the name b, which h:b holds"]


def test_a_name_that_is_held_for_long_is_defended_and_else_given_up():
    holder = MemberUpdate(ALIVE, "a", "h:other", 0, 0, "a")
    late, _ = started("b")
    late.on_message(9_000.0, "h:other", NameConflict(holder))
    assert late.is_isolated
    early, _ = started("b")
    early.on_message(11_000.0, "h:other", NameConflict(holder))
    assert not early.is_isolated and early.local.incarnation == 1


def test_who_joins_is_sent_all_and_last_that_it_is_taken_in():
    membership, effects = started("b", "c")
    membership.on_message(1.0, "h:new", Join(update(ALIVE, "new")))
    states = [message for _, message in effects.sent]
    assert all(isinstance(message, StateSync) for message in states)
    assert [each.name for each in states[0].updates] == ["a", "b", "c"]
    assert [each.name for each in states[-1].updates] == ["new"]
    assert membership.members["new"].state is ALIVE


# Successors


def test_a_process_at_a_members_address_is_its_successor():
    membership, effects = started("b")
    membership.on_contact(1.0, "b", 6, "h:b")
    member = membership.members["b"]
    assert member.generation == 6 and effects.changes == [("b", ALIVE, ALIVE)]
    membership.apply_updates(2.0, [update(ALIVE, "b", 9, generation=5)])
    assert member.generation == 6


def test_of_two_processes_under_one_name_the_lower_generation_counts():
    membership, _ = started("b")
    for generation, address in ((7, "h:7"), (3, "h:3"), (4, "h:4")):
        membership.apply_updates(
            1.0, [MemberUpdate(ALIVE, "b", address, 0, generation, "b")]
        )
    assert membership.members["b"].address == "h:3"
