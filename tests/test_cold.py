"""Rule 4 in the sum: many processes that can't talk to one another, and what a cold server gets of them all.

Each is a Balancer of its own. They hold few connections on three warm servers, are idle, and are met by a herd
when those are full and the fourth is still cold: every session would go there."""

import math
import random
from collections import deque

import pytest

from drive import Drive
from wheathill.model import Server
from wheathill.policy.settings import SlowStartSettings

WINDOW, COLD_FOR, SHARE, MULTIPLE = 1000.0, 20_000.0, 0.12, 2.0
WARM = ("a", "b", "c")


class Processes:
    """`borne`: connections that a server bears when warm; `skewed`: a few processes get most of the traffic."""

    def __init__(self, count, seed, borne, skewed, **more):
        self.rng, self.count, self.borne = random.Random(seed), count, borne
        self.loads = dict.fromkeys(WARM, 0.0) | {"d": 0.1}
        self.more = more
        self.dials = deque()
        self.weights = [
            self.rng.lognormvariate(0.0, 1.2 if skewed else 0.0) for _ in range(count)
        ]
        self.now, self.started, self.sessions = 0.0, None, 0
        self.processes = [self.begin(number) for number in range(count)]

    def begin(self, number):
        process = Drive(
            self.rng.random(),
            self.loads,
            proxy_count=self.count,
            proxy_index=number,
            slow_start=SlowStartSettings(SHARE, COLD_FOR, MULTIPLE, WINDOW),
            **self.more,
        )
        process.loud = False
        process.now = self.now
        process.balancer.on_start(self.now)
        process.list(
            *WARM, *([("d", self.started)] if self.started is not None else [])
        )
        return process

    def session(self, process):
        self.sessions += 1
        sess = process.accept(f"{self.sessions}")
        if sess.attempts and sess.server.name == "d":
            self.dials.append(self.now)
        return sess

    def hold(self, until):
        """Connections come until the warm servers are at six tenths of what they bear."""
        held, every = dict.fromkeys(WARM, 0), until / (0.6 * self.borne * len(WARM))
        while self.now < until:
            self.now += every
            (process,) = self.rng.choices(self.processes, self.weights)
            process.until(self.now)
            sess = self.session(process)
            if sess.accepted_ms is not None:
                held[sess.server.name] += 1
                self.loads[sess.server.name] = held[sess.server.name] / self.borne
        self.sleep(until + 2000.0)

    def sleep(self, until):
        """Nothing comes; ticks of the hours between are left out, but for the last."""
        self.now = until
        for process in self.processes:
            process.now = until
            process.until(until)

    def start_cold(self, late):
        """A server starts; each process is told by itself, up to `late` ms after."""
        self.started = self.now
        told = sorted(
            (self.now + self.rng.uniform(0.0, late), number)
            for number in range(self.count)
        )
        for when, number in told:
            process = self.processes[number]
            process.now = when
            process.list(("d", self.started))
        self.now += late

    def herd(self, span, restarted):
        """Every process is offered a session each 50 ms; of `restarted`, all are replaced in the first second
        by ones that know nothing of what was sent."""
        self.loads.update(dict.fromkeys(WARM, 1.5))
        order = list(range(self.count))
        again = {
            number: self.now + self.rng.uniform(0.0, 1000.0)
            for number in self.rng.sample(order, int(restarted * self.count))
        }
        began = self.now
        while self.now < began + span:
            self.rng.shuffle(order)
            for number in order:
                self.now += 50.0 / self.count
                if self.now >= again.get(number, math.inf):
                    del again[number]
                    self.processes[number] = self.begin(number)
                process = self.processes[number]
                process.until(self.now)
                self.session(process)

    def over(self):
        """The most that any window had above its bound, and how many reached the server in all."""
        largest, recent = -math.inf, deque()
        for when in self.dials:
            recent.append(when)
            while recent[0] <= when - WINDOW:
                recent.popleft()
            bears = self.allowed(when)
            largest = max(largest, len(recent) - (bears + 2 * math.sqrt(bears) + 2))
        return largest, len(self.dials)

    def allowed(self, when):
        """Dials that the settings allow in a window that ends then."""
        ready = SHARE + (1 - SHARE) * (when - self.started) / COLD_FOR
        return MULTIPLE * ready * self.borne / COLD_FOR * WINDOW


def herded(count, seed, borne=60.0, skewed=False, restarted=0.0, late=300.0, **more):
    processes = Processes(count, seed, borne, skewed, **more)
    processes.hold(6000.0)
    processes.sleep(40_000.0)
    processes.start_cold(late)
    processes.sleep(processes.started + processes.rng.uniform(2000.0, 16_000.0))
    processes.herd(2500.0, restarted)
    return processes


def played(count, seed, **more):
    return herded(count, seed, **more).over()


CASES = {
    "alike": {},
    "some get most": {"skewed": True},
    "half start anew": {"restarted": 0.5},
    "told late": {"late": 1900.0},
    "larger servers": {"borne": 300.0},
    "all at once": {"skewed": True, "restarted": 0.5, "late": 1900.0},
}


@pytest.mark.slow
@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize(
    "count, seeds", [(2, 12), (4, 12), (8, 12), (20, 12), (30, 12), (200, 2)]
)
def test_a_cold_server_bears_the_sum_over_all_processes(count, seeds, case):
    found = [played(count, seed, **CASES[case]) for seed in range(seeds)]
    assert max(over for over, _ in found) <= 0.0
    assert sum(sent for _, sent in found) >= seeds  # nor does it stay empty


@pytest.mark.slow
@pytest.mark.parametrize("count", [2, 4, 8])
def test_few_processes_use_what_they_may(count):
    """A dial more of each is within what chance has: nothing is kept back for that."""
    sent = allowed = 0.0
    for seed in range(12):
        processes = herded(count, seed)
        sent += len(processes.dials)
        allowed += 2.5 * processes.allowed(processes.now - 1250.0)
    assert 0.7 <= sent / allowed <= 1.0, sent / allowed


@pytest.mark.parametrize("count", [20, 30, 200])
def test_turns_are_spread_evenly_over_the_processes(count):
    """As many have a turn as the part says, to two or three, at any moment and for any server."""
    rng = random.Random(1)
    budgets = [Drive(proxy_count=1).balancer.slow_start for _ in range(count)]
    for number, budget in enumerate(budgets):
        budget.proxy_index, budget.proxy_count = number, count
    for _ in range(300):
        server, part, now = (
            Server("s", started_ms=0.0),
            rng.uniform(0.0, 0.5),
            rng.uniform(0.0, COLD_FOR),
        )
        server.hash_draws = [rng.getrandbits(32)]
        having = sum(budget.rotation_position(now, server) < part for budget in budgets)
        assert abs(having - count * part) < 3.0
