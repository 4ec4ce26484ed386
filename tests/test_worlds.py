"""The seam: the virtual network tells a machine what sockets tell it, and one script runs in both worlds."""

import asyncio
import random
import time
import tomllib

import pytest

from drive import kept
from wheathill.config.limits import ProxyLimits
from wheathill.lab.cores.ways import (
    DatagramFaults,
    LoopbackDatagramNetwork,
    VirtualDatagramNetwork,
)
from wheathill.lab.scripts import language as scripts
from wheathill.lab.scripts.run import play
from wheathill.lab.worlds.host import raise_fault
from wheathill.lab.worlds.sockets import LabClock
from wheathill.lab.worlds.virtual import VirtualWorld
from wheathill.net.protocol_machine import ProtocolMachine

LIMITS = ProxyLimits(
    max_sockets=100,
    connect_timeout_ms=100.0,
    max_dial_timeout_ms=1000.0,
    probe_idle_timeout_ms=1000.0,
)
STILL = {"same": 1.0, "cross": 4.0, "client": 1.0, "jitter": 0.0, "hop": 0.0}


class Writes(ProtocolMachine):
    """Writes down what its wire tells it."""

    def __init__(self, name, lines, clock):
        super().__init__(None, LIMITS, clock)
        self.name, self.story = name, lines
        self.got = 0

    def say(self, text):
        self.story.append(f"{self.clock.now():7.1f} {self.name} {text}")

    def connected(self):
        self.say("connected")

    def received(self, data):
        self.got += len(data)
        self.say(
            f"received {bytes(data)!r}"
            if len(data) < 40
            else f"received {len(data)} bytes"
        )

    def ended(self):
        self.say("ended")

    def blocked(self, on):
        self.say(f"blocked {on}")

    def lost(self, reset):
        self.say(f"lost, reset {reset}")


class Pair:
    """Two hosts and a connection between them."""

    def __init__(self, accept=True):
        self.lines = []
        self.world = VirtualWorld(1, STILL)
        self.clock = self.world.clock
        self.one, self.other = (
            self.world.host(name, "east", LIMITS) for name in ("one", "other")
        )
        self.taken = []
        if accept:
            self.listen()
        self.near = Writes("near", self.lines, self.clock)
        self.near.connection = self.one.carrier.connect(self.near, self.other.where)

    def listen(self):
        self.other.carrier.listen(self.take, self.other.where, lambda: True)

    def take(self, wire):
        far = Writes("far", self.lines, self.clock)
        far.connection = wire
        self.taken.append(far)
        return far

    def run(self, ms):
        self.clock.run(self.clock.now() + ms)
        return self

    @property
    def far(self):
        return self.taken[-1]


def both_ends():
    pair = Pair().run(10)
    pair.near.connection.send(b"hello", b" there")
    pair.run(5)
    pair.near.connection.send_eof()
    pair.run(5)
    pair.far.connection.send(b"after your end")
    pair.far.connection.send_eof()
    pair.run(5)
    return pair.lines


def held_reader_blocks_its_writer():
    pair = Pair().run(10)
    pair.far.connection.set_paused(True)
    for _ in range(5):
        pair.near.connection.send(b"x" * 100_000)
    pair.run(20)
    pair.lines.append(f"drained {pair.near.connection.drained}, read {pair.far.got}")
    pair.far.connection.set_paused(False)
    pair.run(20)
    pair.lines.append(f"drained {pair.near.connection.drained}, read {pair.far.got}")
    return pair.lines


def nobody_listens():
    return Pair(accept=False).run(10).lines


def process_dies():
    pair = Pair().run(10)
    pair.other.kill()
    pair.run(5)
    again = Writes("again", pair.lines, pair.clock)
    again.connection = pair.one.carrier.connect(again, pair.other.where)
    pair.run(5)
    return pair.lines


def machine_vanishes_and_is_back_anew():
    pair = Pair().run(10)
    pair.other.vanish()
    pair.near.connection.send(b"anyone?")
    late = Writes("late", pair.lines, pair.clock)
    late.connection = pair.one.carrier.connect(late, pair.other.where)
    pair.run(500)
    pair.lines.append("-- back, and old connections look open")
    pair.other.come_back(True)
    pair.listen()
    pair.run(10)
    return pair.lines


def paused_process_still_accepts():
    pair = Pair().run(10)
    pair.other.pause()
    pair.near.connection.send(b"one")
    pair.run(50)
    pair.near.connection.send(b"two")
    pair.run(50)
    pair.lines.append("-- it goes on")
    pair.other.resume()
    pair.run(5)
    return pair.lines


def one_way_cut():
    pair = Pair().run(10)
    pair.world.cut("other", "one", False)
    pair.near.connection.send(b"there")
    pair.run(5)
    pair.far.connection.send(b"and back")
    pair.run(50)
    pair.lines.append("-- mended")
    pair.world.mend("other", "one")
    pair.run(5)
    return pair.lines


def parted_with_bytes_on_the_way():
    pair = Pair().run(10)
    pair.far.connection.send(b"the last answer")
    pair.far.connection.close_gracefully()
    pair.near.connection.send(b"still talking")
    pair.run(5)
    pair.near.connection.send_eof()
    pair.run(2000)
    pair.lines.append(
        f"sockets {pair.one.carrier.sockets} and {pair.other.carrier.sockets}"
    )
    return pair.lines


def test_a_lost_first_segment_goes_again_after_a_second():
    """As the system does, which knows nothing of the way yet; what is lost later goes again after 200 ms."""
    pair = Pair().run(10)
    lost = iter(
        (True, False, False, True, False)
    )  # the first segment, once; its answer; a line, once
    pair.world.net.random = lambda: 0.0 if next(lost, False) else 0.9
    pair.world.worse("one", "other", 0.0, 0.5)
    began, again = pair.clock.now(), Writes("again", [], pair.clock)
    again.connection = pair.one.carrier.connect(again, pair.other.where)
    pair.run(1100)
    pair.far.connection.send(b"a line")
    pair.run(300)
    times = [float(line.split()[0]) - began for line in again.story]
    assert [line.split(maxsplit=1)[1] for line in again.story] == [
        "again connected",
        "again received b'a line'",
    ]
    assert times[0] == pytest.approx(1002.0, abs=1.0) and times[1] == pytest.approx(
        1301.0, abs=1.0
    )


def datagrams():
    world = VirtualWorld(1, STILL)
    faults = DatagramFaults(
        random.Random("seed"), 1.0, 0.5, loss=0.2, duplication=0.2, reordering=0.3
    )
    peers = VirtualDatagramNetwork(world.clock, faults)
    lines = []
    hosts = [world.host(name, "east", LIMITS) for name in "ab"]
    ends = [
        peers.endpoint(
            host,
            lambda data, came, name=host.name: lines.append(
                f"{world.clock.now():6.2f} {name} has {data.decode()} of {came}"
            ),
        )
        for host in hosts
    ]
    for number in range(8):
        ends[0].send("b", b"%d" % number)
    world.clock.run(20)
    faults.partition("b", "a", both=False)
    ends[0].send("b", b"one way")
    ends[1].send("a", b"the other")
    world.clock.run(40)
    lines.append(f"{faults.lost} of {faults.sent} lost")
    return lines


SCENARIOS = {
    run.__name__: run
    for run in (
        both_ends,
        held_reader_blocks_its_writer,
        nobody_listens,
        process_dies,
        machine_vanishes_and_is_back_anew,
        paused_process_still_accepts,
        one_way_cut,
        parted_with_bytes_on_the_way,
        datagrams,
    )
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_story(name):
    assert kept(name, SCENARIOS[name]())


def test_a_fault_of_a_stand_in_ends_the_run():
    pair = Pair().run(10)
    pair.far.received = None
    pair.near.connection.send(b"x")
    with pytest.raises(AssertionError):
        pair.run(5)
    with pytest.raises(AssertionError):
        raise_fault("fault")


@pytest.mark.processes
def test_datagrams_on_sockets():
    """The same faults over UDP: what is cut does not arrive, the rest does."""
    loop = asyncio.new_event_loop()
    heard = []
    faults = DatagramFaults(random.Random("seed"), 1.0, 0.5, duplication=0.5)

    async def talk():
        peers = LoopbackDatagramNetwork(loop, LabClock(loop), faults)
        done = asyncio.Event()
        ends = {}
        for name in "ab":

            def received(data, came, name=name):
                heard.append((name, data, came))
                if data == b"last":
                    done.set()

            ends[name] = await peers.endpoint(name, received)
        faults.partition("a", "b", both=False)
        ends["a"].send("b", b"cut off")
        ends["b"].send("a", b"still heard")
        while ("a", b"still heard", "b") not in heard:
            await asyncio.sleep(0.001)
        faults.heal()
        ends["a"].send("b", b"last")
        await asyncio.wait_for(done.wait(), 8)
        for end in ends.values():
            end.close()

    loop.run_until_complete(talk())
    loop.close()
    assert {("a", b"still heard", "b"), ("b", b"last", "a")} == set(heard)


def test_a_held_clock_stands_at_the_start():
    loop = asyncio.new_event_loop()
    clock = LabClock(loop)
    clock.hold()
    rang = []

    async def wait():
        clock.at(10.0, lambda: rang.append(clock.now()))
        while not rang:
            await asyncio.sleep(0.001)
        began = loop.time() * 1000
        clock.go()
        assert clock.now() < 5.0 + loop.time() * 1000 - began
        assert abs(clock.to_wall(clock.now()) - time.time() * 1000) < 50.0
        clock.at(10.0, lambda: rang.append(clock.now()))
        while len(rang) < 2:
            await asyncio.sleep(0.001)

    loop.run_until_complete(asyncio.wait_for(wait(), 8))
    loop.close()
    assert rang[0] == 0.0 and rang[1] >= 9.9


@pytest.mark.processes
def test_sockets_world():
    """One script with a bit of everything, on real sockets and processes, within the rules."""
    text = (
        open("tests/scripts/mutants.toml").read().replace("seconds = 14", "seconds = 9")
        + """
[[event]]
at_s = 2
do = "silent"
on = "g1"
for_s = 0.5

[[event]]
when = "between OPEN and UP of the next session at g2"
do = "proxy-kill"

[[event]]
at_s = 6
do = "proxy-roll"
on = "n2"

[[event]]
at_s = 1.5
do = "partition"
on = "g2"
with = "n1"
one_way = true
for_s = 1
"""
    )
    text = text.replace(
        'at_s = 3\ndo = "drain"\non = "g1"', 'at_s = 4\ndo = "drain"\non = "g2"'
    )
    result = play(scripts.parse_script(tomllib.loads(text)), world="sockets")
    counts = result.figures["counts"]
    assert [str(breach) for breach in result.breaches] == []
    assert counts["answer UP"] > 30  # how many depends on how fast the proxies start
    done = {
        fields["do"]
        for _, kind, fields in result.scene.record.events
        if kind == "event"
    }
    assert {
        "silent",
        "proxy-kill",
        "proxy-roll",
        "partition",
        "drain",
        "cut",
        "kill",
    } <= done
