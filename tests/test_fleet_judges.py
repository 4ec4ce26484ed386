"""The judges of instances that know one another, fed events by hand: what a process couldn't know yet is no breach, and
what it could is."""

import pytest

from wheathill.lab.judging.fleet import Zones

ZONE_OF = {"a": "e", "b": "e", "c": "w", "d": "w"}
ALL = list(ZONE_OF)
CUT = ["a c", "a d", "b c", "b d"]


class Told:
    """One judge, told of a truth each 250 ms as the lab looks at it, and in between what happens."""

    EVERY = 250.0

    def __init__(self, make, **limits):
        self.found = []
        self.judge = make(self.found, {}, 50.0, **limits)
        self.running, self.paused, self.starting, self.cut = list(ALL), [], [], []
        self.now = -self.EVERY
        self.until(0.0)

    def until(self, when):
        """The truth is looked at on the way there."""
        while self.now + self.EVERY <= when:
            self.now += self.EVERY
            self.see("truth", 0.0, running=list(self.running), paused=list(self.paused), starting=list(self.starting),
                     cut=[pair for pair in self.cut if all(name in self.running for name in pair.split())])
        return self

    def see(self, kind, after=1.0, **fields):
        self.judge.see(self.now + after, kind, fields)

    def host(self, name, state):
        self.see("host", name=name, state=state)

    def kill(self, name):
        self.running.remove(name)
        self.host(name, "killed")

    def start(self, name, listens=True):
        self.running.append(name)
        self.host(name, "up")
        if not listens:
            self.starting.append(name)

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
    told = Told(Zones, zone_of=ZONE_OF, agree=5000.0, apart=8000.0, told=1000.0)

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
    assert zones.says("a", "in doubt") == ["a says that its region is in doubt, 8001 ms after it was cut off"]


def test_a_newborn_answers_from_when_it_listens(zones):
    """As n4 of zones-cut: killed in a zone that is cut off, back 8 s after the cut, and asked at once."""
    cut_off(zones).until(12_000.0).kill("a")
    zones.until(14_000.0).start("a", listens=False)
    assert zones.says("a", "in doubt") == []
    assert zones.until(15_000.0).says("a", "in doubt") == []      # is still starting
    zones.starting.clear()
    assert zones.until(16_000.0).says("a", "in doubt") == []      # first seen to listen at 15.25 s
    assert zones.says("b", "cut off") == []
    assert zones.until(16_250.0).says("a", "in doubt") == [
        "a says that its region is in doubt, 10251 ms after it was cut off"]


def test_others_answer_as_before_while_one_is_new(zones):
    cut_off(zones).until(12_000.0).kill("a")
    zones.until(14_000.0).start("a")
    assert zones.until(14_000.0).says("b", "agreed") == [
        "b says that its region is agreed, 8001 ms after it was cut off"]


def test_a_restart_between_two_looks_at_the_truth_is_a_newborn_too(zones):
    cut_off(zones).until(15_000.0).kill("a")
    zones.start("a")
    assert zones.says("a", "in doubt") == [] and zones.until(16_000.0).says("a", "in doubt") == []
    assert len(zones.until(16_250.0).says("a", "in doubt")) == 1


def test_one_that_goes_on_after_a_stop_is_told_what_befell_meanwhile(zones):
    zones.until(5000.0).stop("a")
    cut_off(zones).until(15_000.0).go_on("a")
    assert zones.says("a", "agreed") == [] and zones.until(16_000.0).says("a", "agreed") == []
    assert len(zones.until(16_250.0).says("a", "agreed")) == 1


def test_where_nobody_is_left_who_knew_the_first_one_since_has_to_find_out(zones):
    cut_off(zones).until(12_000.0).kill("a")
    zones.kill("b")
    zones.until(14_000.0).start("a")
    zones.until(18_000.0).start("b")
    assert zones.until(22_000.0).says("a", "in doubt") == [] == zones.says("b", "in doubt")
    assert len(zones.until(22_250.0).says("a", "in doubt")) == 1 and len(zones.says("b", "in doubt")) == 2


def test_a_server_that_dies_excuses_nobody(zones):
    zones.until(9000.0).host("g1", "killed")
    assert zones.until(10_250.0).says("a", "agreed") == [
        "a says that the fleet is in doubt, 10251 ms after all was well"]
