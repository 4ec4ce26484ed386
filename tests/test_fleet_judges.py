"""The judges of instances that know one another, fed events by hand: what a process couldn't know yet is no breach, and
what it could is."""

import ast
import inspect

import pytest

from wheathill.lab.judging import mutated
from wheathill.lab.judging.fleet import (
    ConvergenceTimes,
    DrainPropagationJudge,
    IsolationJudge,
    MembershipViewJudge,
    QuotaSumJudge,
    ZoneStateJudge,
)
from wheathill.lab.judging.judges import DrainJudge, RetryBudgetJudge
from wheathill.lab.scripts.language import DivergentInstance
from wheathill.log_events import LogEvent

ZONE_OF = {"a": "e", "b": "e", "c": "w", "d": "w"}
ALL = list(ZONE_OF)
CUT = ["a c", "a d", "b c", "b d"]


class Told:
    """One judge, told of a truth each 250 ms as the lab looks at it, and in between what happens."""

    EVERY = 250.0

    def __init__(self, make, **limits):
        self.found = []
        self.judge = make(self.found, {}, 50.0, **limits)
        self.running, self.paused, self.starting, self.cut = (
            list(ALL),
            [],
            {},
            [],
        )  # starting: name -> ms it had
        self.now = -self.EVERY
        self.until(0.0)

    def until(self, when):
        """The truth is looked at on the way there."""
        while self.now + self.EVERY <= when:
            self.now += self.EVERY
            self.see(
                "truth",
                0.0,
                running=list(self.running),
                paused=list(self.paused),
                starting=dict(self.starting),
                cut=[
                    pair
                    for pair in self.cut
                    if all(name in self.running for name in pair.split())
                ],
            )
        return self

    def see(self, kind, after=1.0, **fields):
        self.judge.observe(self.now + after, kind, fields)

    def host(self, name, state):
        self.see("host", name=name, state=state)

    def kill(self, name):
        self.running.remove(name)
        self.host(name, "killed")

    def start(self, name, listens=True):
        self.running.append(name)
        self.host(name, "up")
        if not listens:
            self.starting[name] = 0.0

    def stop(self, name):
        self.paused.append(name)
        self.host(name, "paused")

    def go_on(self, name):
        self.paused.remove(name)
        self.host(name, "up")

    def breaches(self):
        return [breach.what for breach in self.found]


# Zones


@pytest.fixture
def zones():
    told = Told(
        ZoneStateJudge,
        zone_of=ZONE_OF,
        agreement_ms=5000.0,
        isolation_known_ms=8000.0,
        propagation_ms=1000.0,
    )

    def says(name, region, fleet="in doubt"):
        told.see("believes", proxy=name, region_state=region, fleet_state=fleet)
        return told.breaches()

    told.says = says
    return told


def cut_off(told, at=6000.0):
    told.until(at - 250.0).cut = CUT
    return told.until(at)


def test_a_zone_that_is_cut_off_says_so_in_time(zones):
    assert cut_off(zones).until(13_750.0).says("a", "in doubt") == []
    assert zones.until(14_000.0).says("b", "cut off") == []
    assert zones.says("a", "in doubt") == [
        "a says that its region is in doubt, 8001 ms after it was cut off"
    ]


def test_a_newborn_answers_from_when_it_listens(zones):
    """As n4 of zones-cut: killed in a zone that is cut off, back 8 s after the cut, and asked at once."""
    cut_off(zones).until(12_000.0).kill("a")
    zones.until(14_000.0).start("a", listens=False)
    assert zones.says("a", "in doubt") == []
    assert zones.until(15_000.0).says("a", "in doubt") == []  # is still starting
    zones.starting.clear()
    assert (
        zones.until(16_000.0).says("a", "in doubt") == []
    )  # first seen to listen at 15.25 s
    assert zones.says("b", "cut off") == []
    assert zones.until(16_250.0).says("a", "in doubt") == [
        "a says that its region is in doubt, 10251 ms after it was cut off"
    ]


def test_others_answer_as_before_while_one_is_new(zones):
    cut_off(zones).until(12_000.0).kill("a")
    zones.until(14_000.0).start("a")
    assert zones.until(14_000.0).says("b", "agreed") == [
        "b says that its region is agreed, 8001 ms after it was cut off"
    ]


def test_a_restart_between_two_looks_at_the_truth_is_a_newborn_too(zones):
    cut_off(zones).until(15_000.0).kill("a")
    zones.start("a")
    assert (
        zones.says("a", "in doubt") == []
        and zones.until(16_000.0).says("a", "in doubt") == []
    )
    assert len(zones.until(16_250.0).says("a", "in doubt")) == 1


def test_one_that_goes_on_after_a_stop_is_told_what_befell_meanwhile(zones):
    zones.until(5000.0).stop("a")
    cut_off(zones).until(15_000.0).go_on("a")
    assert (
        zones.says("a", "agreed") == []
        and zones.until(16_000.0).says("a", "agreed") == []
    )
    assert len(zones.until(16_250.0).says("a", "agreed")) == 1


def test_where_nobody_is_left_who_knew_the_first_one_since_has_to_find_out(zones):
    cut_off(zones).until(12_000.0).kill("a")
    zones.kill("b")
    zones.until(14_000.0).start("a")
    zones.until(18_000.0).start("b")
    assert (
        zones.until(22_000.0).says("a", "in doubt") == [] == zones.says("b", "in doubt")
    )
    assert (
        len(zones.until(22_250.0).says("a", "in doubt")) == 1
        and len(zones.says("b", "in doubt")) == 2
    )


def test_a_server_that_dies_excuses_nobody(zones):
    zones.until(9000.0).host("g1", "killed")
    assert zones.until(10_250.0).says("a", "agreed") == [
        "a says that the fleet is in doubt, 10251 ms after all was well"
    ]


def test_a_part_of_a_zone_that_is_cut_off_from_all_says_so(zones):
    zones.until(5750.0).cut = ["a b", "a c", "a d"]
    assert zones.until(14_000.0).says("a", "cut off") == []
    assert zones.says("b", "cut off") == ["b says that it is cut off, and is not"]


def test_who_reaches_others_by_its_own_zone_is_not_cut_off(zones):
    zones.until(5750.0).cut = ["a c", "a d"]
    assert zones.until(10_750.0).says("a", "cut off") == []
    assert zones.until(11_250.0).says("a", "cut off") == [
        "a says that it is cut off, and is not"
    ]


# Views


@pytest.fixture
def views():
    told = Told(
        MembershipViewJudge,
        agreement_ms=5000.0,
        false_death_ms=2000.0,
        death_known_ms=8000.0,
    )

    def says(name, digest="same", **held):
        told.see(
            "believes",
            proxy=name,
            digest=digest,
            members={**dict.fromkeys(told.running, "alive"), **held},
        )
        return told.breaches()

    told.says = says
    return told


def test_a_death_is_known_in_time(views):
    views.until(5000.0).kill("b")
    assert views.until(12_750.0).says("a", b="alive") == []
    assert views.until(13_250.0).says("a", b="alive") == [
        "a holds b for alive, which is gone for 8250 ms"
    ]


def test_who_ended_as_it_was_told_to_is_gone_as_well(views):
    views.until(5000.0).running.remove("b")
    views.host("b", "ended")
    assert len(views.until(13_250.0).says("a", b="alive")) == 1


def test_who_stood_still_hears_of_a_death_when_it_goes_on(views):
    views.until(4000.0).stop("a")
    views.until(5000.0).kill("b")
    views.until(14_000.0).go_on("a")
    assert (
        views.says("a", b="alive") == [] == views.until(22_000.0).says("a", b="alive")
    )
    assert len(views.until(22_500.0).says("a", b="alive")) == 1


def test_a_new_process_hears_of_a_death_that_was_before_it(views):
    views.until(5000.0).kill("b")
    views.until(6000.0).kill("a")
    views.until(13_000.0).start("a", listens=False)
    views.until(14_000.0).starting.clear()
    assert views.until(22_000.0).says("a", b="alive") == []
    assert len(views.until(22_500.0).says("a", b="alive")) == 1


def test_a_name_that_is_there_again_is_not_gone(views):
    views.until(5000.0).kill("b")
    views.until(14_500.0).start("b", listens=False)
    assert (
        views.says("a", b="alive") == [] == views.until(16_000.0).says("a", b="alive")
    )


def test_who_starts_slowly_knows_others_from_when_it_listens(views):
    views.kill("a")
    views.start("a", listens=False)
    views.until(6000.0).starting.clear()
    views.until(6250.0).see("believes", proxy="a", digest="own", members={"a": "alive"})
    assert views.breaches() == []
    views.until(11_500.0).see(
        "believes", proxy="a", digest="own", members={"a": "alive"}
    )
    assert views.breaches()[0] == "a does not know b after 5251 ms"


def test_who_never_listens_is_named(views):
    """Of its own time: what it waited for a core is the machine's."""
    views.kill("a")
    views.start("a", listens=False)
    views.starting["a"] = 5000.0
    assert views.until(20_000.0).breaches() == []
    views.starting["a"] = 5001.0
    assert views.until(20_250.0).breaches() == [
        "a doesn't listen yet, 5001 ms of its own time after its start"
    ]


def test_who_died_while_it_stood_still_is_rightly_held_for_dead(views):
    views.until(4000.0).stop("b")
    views.until(9000.0).kill("b")
    assert (
        views.until(9500.0).says("a", b="dead")
        == []
        == views.until(13_000.0).says("a", b="dead")
    )


def test_who_only_stands_still_is_not_held_for_dead(views):
    views.until(4000.0).stop("b")
    assert views.until(9000.0).says("a", b="dead") == []
    assert views.until(11_250.0).says("a", b="dead") == [
        "a holds b for dead, which only stands still since 4250"
    ]


def test_a_server_that_dies_doesn_t_put_off_that_views_are_equal(views):
    for when in range(4000, 8250, 250):
        views.until(float(when)).host("g1", "killed")
        for name in ALL:
            views.says(name, digest="own" if name == "a" else "same")
    assert [text.partition(" after")[0] for text in views.breaches()] == [
        "a views differ 7251 ms"
    ]


def test_who_was_buried_out_of_reach_can_t_deny_it_while_it_stands_still(views):
    views.until(4000.0).stop("b")
    views.until(4250.0).cut = ["a b", "b c", "b d"]
    assert views.until(9000.0).says("a", b="dead") == []
    views.cut = []
    assert views.until(14_000.0).says("a", b="dead") == []
    views.go_on("b")
    assert (
        views.until(19_000.0).says("a", b="dead")
        == []
        != views.until(19_500.0).says("a", b="dead")
    )


# Shares


def test_what_a_process_said_is_not_the_next_one_s():
    told = Told(QuotaSumJudge)
    for name in ALL:
        told.see("believes", proxy=name, share=0.25)
    told.until(4000.0).kill("a")
    told.see("believes", proxy="a", share=0.25)  # its last answer, which comes late
    told.start("a")
    for name in "bcd":
        told.see("believes", proxy=name, share=1 / 3)
    assert told.until(8000.0).breaches() == []
    told.see("believes", proxy="a", share=0.25)
    assert told.until(9750.0).breaches() == [] != told.until(10_000.0).breaches()


# A drain that one was told


@pytest.fixture
def drains():
    told = Told(DrainPropagationJudge, grace_ms=500.0, propagation_ms=1000.0)
    sessions = iter(range(100))

    def dials(name):
        sess = next(sessions)
        told.see("open", sess=sess, proxy=name)
        told.see("dial", sess=sess, server="g", first=told.now + 1.0)
        return told.breaches()

    told.dials = dials
    told.tell = lambda name: told.see("told", proxy=name, server="g", health="draining")
    return told


def test_a_drain_is_known_in_time(drains):
    drains.until(4000.0).tell("a")
    assert drains.until(5500.0).dials("b") == []
    assert drains.until(5750.0).dials("b") == [
        "b dialled it 1750 ms after a was told that it drains"
    ]


def test_a_new_process_is_told_of_a_drain_anew(drains):
    drains.until(4000.0).tell("a")
    drains.until(6000.0).kill("b")
    drains.start("b")  # back before the truth is looked at
    assert drains.dials("b") == [] == drains.until(7750.0).dials("b")
    assert drains.until(8000.0).dials("b") == [
        "b dialled it 1751 ms after a was told that it drains"
    ]


def test_who_was_killed_before_it_told_has_told_nobody(drains):
    drains.until(4000.0).tell("a")
    drains.kill("a")
    drains.until(5000.0).start("a")
    assert drains.until(8000.0).dials("b") == []


def test_any_that_was_told_counts(drains):
    """Not the first alone, which may be gone."""
    drains.until(4000.0).tell("a")
    drains.until(4250.0).tell("c")
    drains.until(4500.0).kill("a")
    assert drains.until(5750.0).dials("b") == []
    assert drains.until(6000.0).dials("b") == [
        "b dialled it 1750 ms after c was told that it drains"
    ]


def test_a_late_list_that_tells_of_a_drain_that_is_over_binds_nobody_else(drains):
    drains.until(4000.0).see("ready", server="g")
    drains.see("told", proxy="a", server="g", health="draining", stale=True)
    assert drains.until(9000.0).dials("b") == []
    drains.tell("c")
    assert len(drains.until(12_000.0).dials("b")) == 1


def test_a_late_list_binds_its_own_proxy_until_it_says_otherwise():
    told = Told(DrainJudge, grace_ms=500.0, is_gone_binding=True)

    def dials(sess):
        told.see("open", sess=sess, proxy="a", mid=False)
        told.see("dial", sess=sess, server="g", first=told.now)
        return told.breaches()

    told.see("told", proxy="a", server="g", health="draining", stale=True)
    told.until(1000.0)
    assert len(dials(1)) == 1
    told.see("told over", proxy="a", server="g")
    told.until(4000.0)
    assert len(dials(2)) == 1


# Names


@pytest.fixture
def names():
    told = Told(
        IsolationJudge,
        misconfigured=[DivergentInstance(on="d", claims="a")],
        agreement_ms=5000.0,
    )

    def says(name, held, alone=False):
        told.see("believes", proxy=name, name=held, alone=alone, dropped={}, members={})
        return told.breaches()

    told.says = says
    return told


def test_two_hold_one_name(names):
    names.says("a", "a")
    assert (
        names.until(1000.0).says("d", "a") == [] == names.until(6000.0).says("d", "a")
    )
    assert names.until(6250.0).says("a", "a") == ["a and d hold the name a"]


def test_a_name_goes_from_a_dead_process_to_another(names):
    names.says("a", "a")
    names.says("d", "a", alone=True)
    names.until(6000.0).kill("a")
    names.start("a")  # back before the truth is looked at, and says nothing for long
    assert (
        names.until(6250.0).says("d", "a") == [] == names.until(12_000.0).says("d", "a")
    )
    assert names.says("a", "a", alone=True) == []


def test_who_goes_on_after_a_stop_has_time_to_hear_that_its_name_is_another_s(names):
    names.says("a", "a")
    names.until(2000.0).stop("a")
    assert names.until(4000.0).says("d", "a") == []
    names.until(12_000.0).go_on("a")
    names.until(12_250.0).says("d", "a")
    assert names.says("a", "a") == [] == names.until(17_000.0).says("a", "a")
    assert len(names.until(17_500.0).says("a", "a")) == 1


def test_a_name_whose_claimants_are_gone_is_nobody_s(names):
    names.says("a", "a")
    names.until(2000.0).kill("a")
    names.kill("d")
    assert names.until(9000.0).breaches() == []
    names.start("d")
    assert names.until(14_250.0).breaches() == []
    assert names.until(14_500.0).breaches() == [
        "nobody holds the name a, which a running one claims"
    ]


# How long things took


def test_a_death_is_found_by_those_that_were_there():
    found = []
    told = Told(lambda *args: found.append(ConvergenceTimes()) or found[0])
    told.until(4000.0).kill("d")
    told.until(4500.0).kill("c")
    told.until(5000.0).start("c")  # knows nothing of d, and never says that it is dead
    for place, name in enumerate("ab"):
        told.until(6000.0 + 250.0 * place).see(
            "log",
            node=name,
            event=LogEvent.MEMBER_STATE_CHANGED,
            state="dead",
            peer="d",
        )
    assert found[0].times_ms["first"] == [2000] and found[0].times_ms["all"] == [2250]


# Rule 5


@pytest.mark.parametrize("how", ["killed", "ended"])
def test_the_next_process_has_a_budget_of_its_own(how):
    told = Told(
        lambda *args, **limits: RetryBudgetJudge(*args, **limits),
        free=1,
        share=0.0,
        span_ms=10_000.0,
    )

    def dial_twice(sess):
        told.see("open", sess=sess, proxy="a")
        for _ in range(2):
            told.see("dial", sess=sess, server="g", first=told.now)
        return told.breaches()

    assert dial_twice(1) == []
    told.until(1000.0).host("a", how)
    told.until(2000.0).host("a", "up")
    assert dial_twice(2) == []
    assert len(dial_twice(3)) == 1


# Mutants


def replaced_attributes(source):
    """(object, attribute) of each assignment to an attribute of a name, as text."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Assign | ast.AugAssign):
            targets = node.targets if isinstance(node, ast.Assign) else [node.target]
            for target in targets:
                if isinstance(target, ast.Attribute) and isinstance(
                    target.value, ast.Name
                ):
                    yield target.value.id, target.attr


def test_mutants_replace_what_there_is():
    """A replaced method of a name that is gone would break nothing, without an error."""
    replaced = [
        (vars(mutated)[owner], attribute)
        for owner, attribute in replaced_attributes(inspect.getsource(mutated))
        if owner in vars(mutated)
    ]
    assert len(replaced) >= len(mutated.MUTANTS)
    assert [
        (owner, attribute)
        for owner, attribute in replaced
        if not hasattr(owner, attribute)
    ] == []
