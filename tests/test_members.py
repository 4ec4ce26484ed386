"""Membership in the virtual world: who is found gone, who is not accused wrongly, and how names are held."""

import heapq
import itertools
import random
from dataclasses import replace

import pytest
from drive import kept

from wheathill.lab.cores.members import Cluster, measure
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
    return f"{name} is " + ", ".join(
        sorted(
            {view.get(name, "unknown") for view in cluster.views().values()}
            if of is None
            else {cluster.views()[of].get(name, "unknown")}
        )
    )


def one_dies_and_is_back():
    cluster = Cluster(6)
    cluster.run(10)
    yield f"agreed {cluster.agreed()}"
    cluster.kill("i003")
    cluster.run(20)
    yield f"after 20 s {states(cluster, 'i003')}, agreed {cluster.agreed()}"
    cluster.start("i003")
    cluster.run(10)
    member = cluster.instances["i001"].membership.members["i003"]
    yield f"back: {states(cluster, 'i003')}, incarnation {member.incarnation}, agreed {cluster.agreed()}"
    yield f"false deaths {len(cluster.false)}"


def starved_instance_accuses_nobody():
    """Paused again and again for a little longer than the others wait for an answer."""
    cluster = Cluster(12, faults={"loss": 0.02})
    cluster.run(15)
    for _ in range(12):
        cluster.hosts["i005"].pause()
        cluster.run(1.4)
        cluster.hosts["i005"].resume()
        cluster.run(0.2)
    yield f"false deaths {len(cluster.false)}"
    cluster.run(15)
    yield f"after 15 s agreed {cluster.agreed()}"


def heard_by_nobody():
    """One hears all and is heard by nobody: the others bury it, and it comes back by itself."""
    cluster = Cluster(6)
    cluster.run(10)
    others = [name for name in cluster.hosts if name != "i002"]
    cluster.faults.cut(["i002"], others, both=False)
    cluster.run(25)
    yield states(cluster, "i002", of="i004")
    yield f"its own view: {states(cluster, 'i004', of='i002')}"
    yield f"it takes itself for slow: {cluster.instances['i002'].membership.local_health > 0}"
    cluster.faults.mend()
    cluster.run(30)
    yield f"mended: {states(cluster, 'i002')}, agreed {cluster.agreed()}"


def two_halves():
    cluster = Cluster(8)
    cluster.run(10)
    names = list(cluster.hosts)
    cluster.faults.cut(names[:4], names[4:])
    cluster.run(45)
    yield f"{states(cluster, 'i006', of='i001')} to the one, {states(cluster, 'i001', of='i006')} to the other"
    cluster.faults.mend()
    cluster.run(40)
    yield f"mended, agreed {cluster.agreed()}"


def leaves():
    cluster = Cluster(5)
    cluster.run(10)
    cluster.instances["i004"].membership.leave()
    cluster.dead["i004"] = cluster.clock.now()
    cluster.run(8)
    yield states(cluster, "i004")
    cluster.run(80)
    yield f"and is forgotten: {states(cluster, 'i004')}"


def two_claim_one_name():
    cluster = Cluster(5, claims={"i004": "i002"})
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
    cluster = Cluster(6, faults={"doubled": 0.5, "overtaken": 0.5})
    stale = []
    end = cluster.peers.endpoints["i001"]
    received = end.received
    end.received = lambda data, came: (stale.append((data, came)), received(data, came))
    cluster.run(10)
    cluster.kill("i003")
    cluster.run(20)
    cluster.start("i003")
    cluster.run(40)
    # All that it was ever told comes once more.
    for data, came in list(stale):
        received(data, came)
    cluster.run(10)
    yield f"told {len(stale) > 100}, agreed {cluster.agreed()}, false deaths {len(cluster.false)}"


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
        cluster = Cluster(10, seed, faults={"loss": 0.2})
        cluster.run(20)
        return cluster.digest(), [
            instance.sent for instance in cluster.instances.values()
        ]

    assert digest(3) == digest(3) != digest(4)


def test_nobody_is_buried_alive_at_five_percent_loss():
    found = measure(12, 0.05, [1, 2], watched=20.0)
    assert found["false_deaths"] == 0 and found["all_ms"] < 15_000


def test_words_of_no_protocol_are_refused():
    class Actions:
        def __getattr__(self, _name):
            return lambda *args: None

    membership = Membership(
        Actions(),
        random.Random(1),
        replace(CONFIG, address="a:1", retention_ms=1000.0, sync_interval_ms=1000.0),
    )
    for words in (
        ["what"],
        ["ping", 1],
        ["ping", 1, "b", [["asleep", "b", "b:1", 0, 1, ""]]],
        [],
    ):
        with pytest.raises(ValueError):
            membership.on_message(0.0, "b:1", decode_message(words))


def test_rumours_end():
    gossip = GossipQueue(2.0)
    member = Member("a", "a:1", 0, 1, MemberState.ALIVE, 0.0)
    gossip.add(member, "a")
    assert sum(bool(gossip.take(8, 9)) for _ in range(10)) == 2


def test_a_quarter_lost_buries_nobody_and_a_vanished_machine_is_found():
    found = measure(30, 0.25, [1], machines=True)
    assert found["false_deaths"] == 0 and found["all_ms"] < 30_000


def test_one_that_stands_still_is_no_death():
    cluster = Cluster(7)
    cluster.run(10)
    cluster.pause("i003")
    cluster.run(30)
    assert (
        not cluster.false
        and cluster.instances["i001"].membership.members["i003"].state != "dead"
    )
    cluster.resume("i003")
    cluster.run(10)
    assert cluster.agreed() and any("stood still" in line for line in cluster.lines)


def test_who_was_taken_off_is_never_back_by_rumour():
    cluster = Cluster(5)
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


class Alone:
    """What a membership calls for, in its own time; who is sent anything says nothing."""

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
def test_suspects_that_can_t_be_buried_are_looked_at_now_and_then(
    count, result, starved
):
    """By one that was stopped itself and is answered by nobody, or of members whose machines take connections while
    they stand still. Among few a suspicion is shorter than the last knock; that is no cause to look without a pause."""
    effects = Alone(result)
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
