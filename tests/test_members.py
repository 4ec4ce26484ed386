"""Membership in the virtual world: deaths, false suspicions and names that are claimed."""

import heapq
import itertools
import random
from dataclasses import replace

import pytest

from drive import kept
from wheathill.lab.cores.membership_cluster import MembershipCluster, measure_detection
from wheathill.peers.membership import (
    FallbackProbe,
    Member,
    Membership,
    MembershipConfig,
    MemberState,
    MemberUpdate,
    ProbeResult,
    decode_message,
)
from wheathill.peers.membership.anti_entropy import (
    DEATH_CHECKS_PER_SYNC,
    MAX_UNCONFIRMED_DEAD,
)
from wheathill.peers.membership.effects import SyncTimer
from wheathill.peers.membership.gossip_queue import GossipQueue

CONFIG = MembershipConfig(
    name="a",
    address="h:1",
    generation=1,
    probe_interval_ms=1000.0,
    probe_timeout_ms=300.0,
    indirect_checks=3,
    retention_ms=60_000.0,
    sync_interval_ms=10_000.0,
)


def states(cluster, name, of=None):
    """The states that `name` has in all views, or in that of the instance `of`."""
    return f"{name} is " + ", ".join(
        sorted(
            {view.get(name, "unknown") for view in cluster.views().values()}
            if of is None
            else {cluster.views()[of].get(name, "unknown")}
        )
    )


def one_dies_and_is_back():
    cluster = MembershipCluster(6)
    cluster.run(10)
    yield f"agreed {cluster.has_converged()}"
    cluster.kill("i003")
    cluster.run(20)
    yield f"after 20 s {states(cluster, 'i003')}, agreed {cluster.has_converged()}"
    cluster.start("i003")
    cluster.run(10)
    member = cluster.instances["i001"].membership.members["i003"]
    yield f"back: {states(cluster, 'i003')}, incarnation {member.incarnation}, agreed {cluster.has_converged()}"
    yield f"false deaths {len(cluster.false_deaths)}"


def starved_instance_accuses_nobody():
    """Paused again and again for a little longer than the others wait for an answer."""
    cluster = MembershipCluster(12, faults={"loss": 0.02})
    cluster.run(15)
    for _ in range(12):
        cluster.hosts["i005"].pause()
        cluster.run(1.4)
        cluster.hosts["i005"].resume()
        cluster.run(0.2)
    yield f"false deaths {len(cluster.false_deaths)}"
    cluster.run(15)
    yield f"after 15 s agreed {cluster.has_converged()}"


def heard_by_nobody():
    """One hears all and is heard by nobody: the others bury it, and it comes back by itself."""
    cluster = MembershipCluster(6)
    cluster.run(10)
    others = [name for name in cluster.hosts if name != "i002"]
    cluster.faults.partition(["i002"], others, both=False)
    cluster.run(25)
    yield states(cluster, "i002", of="i004")
    yield f"its own view: {states(cluster, 'i004', of='i002')}"
    yield f"it takes itself for slow: {cluster.instances['i002'].membership.local_health > 0}"
    cluster.faults.heal()
    cluster.run(30)
    yield f"mended: {states(cluster, 'i002')}, agreed {cluster.has_converged()}"


def two_halves():
    cluster = MembershipCluster(8)
    cluster.run(10)
    names = list(cluster.hosts)
    cluster.faults.partition(names[:4], names[4:])
    cluster.run(45)
    yield f"{states(cluster, 'i006', of='i001')} to the one, {states(cluster, 'i001', of='i006')} to the other"
    cluster.faults.heal()
    cluster.run(40)
    yield f"mended, agreed {cluster.has_converged()}"


def leaves():
    cluster = MembershipCluster(5)
    cluster.run(10)
    cluster.leave("i004")
    cluster.run(8)
    yield states(cluster, "i004")
    cluster.run(80)
    yield f"and is forgotten: {states(cluster, 'i004')}"


def two_claim_one_name():
    cluster = MembershipCluster(5, claims={"i004": "i002"})
    cluster.run(12)
    claimant = cluster.instances["i004"].membership
    yield f"claimant alone {claimant.is_isolated}"
    yield f"the name is at {cluster.instances['i001'].membership.members['i002'].address}"
    yield from cluster.lines[-1:]
    # Who held it dies, and the claimant has asked again.
    cluster.kill("i002")
    cluster.run(25)
    yield f"claimant alone {claimant.is_isolated}"
    yield f"then the name is at {cluster.instances['i001'].membership.members['i002'].address}"


def doubled_overtaken_and_a_minute_late():
    cluster = MembershipCluster(6, faults={"duplication": 0.5, "reordering": 0.5})
    stale = []
    end = cluster.network.endpoints["i001"]
    received = end.on_datagram
    end.on_datagram = lambda data, came: (
        stale.append((data, came)),
        received(data, came),
    )
    cluster.run(10)
    cluster.kill("i003")
    cluster.run(20)
    cluster.start("i003")
    cluster.run(40)
    # All that it was ever told comes once more.
    for data, came in list(stale):
        received(data, came)
    cluster.run(10)
    yield f"told {len(stale) > 100}, agreed {cluster.has_converged()}, false deaths {len(cluster.false_deaths)}"


SCENARIOS = {
    run.__name__: lambda run=run: list(run())
    for run in (
        one_dies_and_is_back,
        starved_instance_accuses_nobody,
        heard_by_nobody,
        two_halves,
        leaves,
        two_claim_one_name,
        doubled_overtaken_and_a_minute_late,
    )
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_story(name):
    assert kept(name, SCENARIOS[name]())


def test_same_seed_same_views():
    def digest(seed):
        cluster = MembershipCluster(10, seed, faults={"loss": 0.2})
        cluster.run(20)
        return cluster.digest(), [
            instance.sent for instance in cluster.instances.values()
        ]

    assert digest(3) == digest(3) != digest(4)


def test_no_false_death_at_five_percent_loss():
    found = measure_detection(12, 0.05, [1, 2], observe_s=20.0)
    assert found.false_deaths == 0 and found.all_ms < 15_000


def test_messages_of_no_protocol_are_refused():
    membership = Membership(
        LonelyEffects(ProbeResult.NO_ANSWER),
        random.Random(1),
        replace(CONFIG, address="a:1", retention_ms=1000.0, sync_interval_ms=1000.0),
    )
    for fields in (
        ["what"],
        ["ping", 1],
        ["ping", 1, "b", [["asleep", "b", "b:1", 0, 1, ""]]],
        ["compare", [1, 2, 3]],
        [],
    ):
        with pytest.raises(ValueError):
            membership.on_message(0.0, "b:1", decode_message(fields))


def test_an_update_is_passed_on_a_few_times_only():
    gossip = GossipQueue(2.0)
    member = Member("a", "a:1", 0, 1, MemberState.ALIVE, 0.0)
    gossip.add(member, "a")
    assert sum(bool(gossip.take(8, 9)) for _ in range(10)) == 2


def test_at_a_quarter_lost_no_false_death_and_a_vanished_host_is_found():
    found = measure_detection(30, 0.25, [1], do_hosts_vanish=True)
    assert found.false_deaths == 0 and found.all_ms < 30_000


def test_a_stopped_process_is_not_declared_dead():
    cluster = MembershipCluster(7)
    cluster.run(10)
    cluster.pause("i003")
    cluster.run(30)
    assert (
        not cluster.false_deaths
        and cluster.instances["i001"].membership.members["i003"].state != "dead"
    )
    cluster.resume("i003")
    cluster.run(10)
    assert cluster.has_converged() and any(
        "stood still" in line for line in cluster.lines
    )


def test_no_update_brings_back_a_member_that_an_operator_removed():
    cluster = MembershipCluster(5)
    cluster.run(10)
    cluster.vanish("i002")
    stale = MemberUpdate.of(
        cluster.instances["i004"].membership.members["i002"], reported_by="i004"
    )
    remover = cluster.instances["i001"].membership
    assert remover.remove_member(cluster.clock.now(), "i002")
    cluster.run(100)  # longer than it is remembered
    for instance in cluster.running():
        instance.membership.apply_updates(cluster.clock.now(), [stale])
        assert "i002" not in instance.membership.members


class LonelyEffects:
    """Carries out what one membership asks for, in its own time; nobody answers it."""

    def __init__(self, result):
        self.now, self.timers, self.fired, self.probes = 0.0, [], 0, []
        self.result = result  # of a fallback probe, at once or after its timeout
        self.send = self.member_changed = self.log = lambda *args: None

    order = itertools.count()

    def set_timer(self, at_ms, timer):
        heapq.heappush(self.timers, (at_ms, next(self.order), timer))

    def start_fallback_probe(self, probe):
        self.probes.append(self.now)
        is_reachable = self.result is ProbeResult.REACHABLE
        at_ms = self.now + (1.0 if is_reachable else probe.timeout_ms)
        heapq.heappush(self.timers, (at_ms, next(self.order), probe))

    def run(self, membership, until, most):
        while self.timers[0][0] <= until:
            self.now, _, timer = heapq.heappop(self.timers)
            self.fired += 1
            assert self.fired < most, f"{self.fired} timers by {self.now:.0f} ms"
            if isinstance(timer, FallbackProbe):
                membership.on_fallback_probe_result(self.now, timer, self.result)
            else:
                membership.on_timer(self.now, timer)
        self.now = until


@pytest.mark.parametrize("count", [2, 3, 4, 7])
@pytest.mark.parametrize("result", [ProbeResult.REACHABLE, ProbeResult.NO_ANSWER])
@pytest.mark.parametrize("starved", [False, True])
def test_suspects_that_can_t_be_declared_dead_are_probed_at_a_bounded_rate(
    count, result, starved
):
    """They are probed at most twice an interval, also where no suspicion can end.

    That is so for an instance that was stopped itself and is answered by nobody, and for
    members whose hosts accept connections while they are stopped. Among few members a
    suspicion is shorter than the final check; that is no cause to probe without a pause.
    """
    effects = LonelyEffects(result)
    membership = Membership(effects, random.Random(1), CONFIG)
    membership.start(0.0, [])
    others = [f"b{number}" for number in range(1, count)]
    membership.apply_updates(
        0.0,
        [
            MemberUpdate(MemberState.ALIVE, name, f"h:{name}", 0, 5, name)
            for name in others
        ],
    )
    membership.apply_updates(
        0.0,
        [
            MemberUpdate(MemberState.SUSPECT, name, f"h:{name}", 0, 5, by)
            for name in others
            for by in (*others, "c", "d")
        ],
    )
    if starved:
        membership.failure_detector.on_stall(1.0, 500.0)
    effects.run(membership, 30_000.0, 60 * 30 * count)
    assert len(effects.probes) <= 2 * 30 * count
    suspects = {membership.members[name].state for name in others}
    assert suspects == (
        {MemberState.SUSPECT}
        if result is ProbeResult.REACHABLE or starved
        else {MemberState.DEAD}
    )


def test_the_oldest_of_too_many_unconfirmed_dead_are_forgotten():
    """The others stay, and some of them are probed with each exchange."""
    effects = LonelyEffects(ProbeResult.NO_ANSWER)
    membership = Membership(effects, random.Random(1), CONFIG)
    names = [f"m{number}" for number in range(MAX_UNCONFIRMED_DEAD + 5)]
    membership.apply_updates(
        0.0,
        [MemberUpdate(MemberState.DEAD, name, "h:2", 0, 1, "b") for name in names],
    )
    membership.on_timer(1.0, SyncTimer())
    assert list(membership.members) == ["a", *names[5:]]
    assert len(effects.probes) == DEATH_CHECKS_PER_SYNC
