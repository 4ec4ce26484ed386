"""Servers out by hand while lists change: which may be used, against a plain model, in virtual time."""

import itertools
import random

import pytest

from golden_lines import CHUNKED
from golden_proxy import Scene, started

NAMES = ("a", "b", "c")
ABSENT, GONE, DRAINING, READY = "absent", "gone", "draining", "ready"
STEP_COUNT = 40


class MaintainedScene:
    """A proxy with a watch, whose servers are taken out and put back by hand.

    Attributes:
        listed: what the lists say of each server.
        out: the servers that are out by hand.
    """

    def __init__(self, **settings: object) -> None:
        self.scene: Scene = started(*NAMES, known=False, discovery=True, **settings)
        self.scene.accepted["disco"][-1].send(CHUNKED)
        self.listed = dict.fromkeys(NAMES, READY)
        self.out: set[str] = set()
        self.tell(self.listed, whole=True)

    def tell(self, states: dict[str, str], whole: bool) -> None:
        """Tells a whole list, or changes; a whole list leaves out who is absent or gone."""
        named = {
            name: state
            for name, state in states.items()
            if state in ((READY, DRAINING) if whole else (READY, DRAINING, GONE))
        }
        found = self.scene.list(whole=whole)
        for name, state in named.items():
            found["hosts"] += self.scene.list(name, health=state)["hosts"]
        found["seq"] = self.scene.sequence
        self.scene.tell(found)
        if whole:
            self.listed = dict.fromkeys(NAMES, ABSENT)
        self.listed |= named

    def by_hand(self, name: str, out: bool) -> None:
        """Takes a server out, or puts it back."""
        self.scene.proxy.internal().set_maintenance(name, out)
        (self.out.add if out else self.out.discard)(name)

    def in_use(self) -> set[str]:
        """Returns the servers that get new sessions."""
        servers = self.scene.proxy.internal().balancer.endpoint_list.servers
        return {server.name for server in servers}

    def expected(self) -> set[str]:
        """Returns those that may get them: listed as ready, and not out by hand."""
        ready = {name for name, state in self.listed.items() if state == READY}
        return ready - self.out


@pytest.mark.parametrize("is_whole_after", [True, False])
@pytest.mark.parametrize("is_whole", [True, False])
@pytest.mark.parametrize(
    ("before", "meanwhile"),
    list(itertools.product((READY, DRAINING, GONE), (READY, DRAINING, GONE))),
)
def test_each_change_of_a_list_while_a_server_is_out(
    before: str, meanwhile: str, is_whole: bool, is_whole_after: bool
) -> None:
    # Guards against a server that is put back by hand as what it was listed before.
    scene = MaintainedScene()
    scene.tell({**scene.listed, "a": before}, whole=is_whole)
    scene.by_hand("a", out=True)
    assert scene.in_use() == scene.expected()
    scene.tell({**scene.listed, "a": meanwhile}, whole=is_whole_after)
    assert scene.in_use() == scene.expected()
    scene.by_hand("a", out=False)
    assert scene.in_use() == scene.expected()


@pytest.mark.parametrize("seed", range(60))
def test_any_course_of_lists_and_calls(seed: int) -> None:
    # Guards against a path by which one of the two is forgotten.
    source = random.Random(seed)
    scene = MaintainedScene()
    for _ in range(STEP_COUNT):
        if source.random() < 0.5:
            scene.by_hand(source.choice(NAMES), out=source.random() < 0.5)
        else:
            states = {name: source.choice((READY, DRAINING, GONE)) for name in NAMES}
            chosen = source.sample(NAMES, source.randint(1, len(NAMES)))
            is_whole = source.random() < 0.5
            scene.tell({name: states[name] for name in chosen}, whole=is_whole)
        assert scene.in_use() == scene.expected()


@pytest.mark.parametrize("is_whole", [True, False])
def test_a_server_that_is_gone_can_be_taken_out_where_only_draining_binds(
    is_whole: bool,
) -> None:
    # Guards against a call that is answered yes and has no effect.
    scene = MaintainedScene(obligations={"drainGraceS": 0.5, "onlyDrainingBinds": True})
    scene.tell({**scene.listed, "a": GONE}, whole=is_whole)
    assert "a" in scene.in_use()
    scene.by_hand("a", out=True)
    assert scene.in_use() == {"b", "c"}


def test_an_older_list_brings_no_server_back_that_a_whole_list_has_left_out() -> None:
    # Guards against a stale entry that falls back on what was listed before.
    scene = MaintainedScene()
    scene.scene.open(1)
    server = scene.scene.server()
    server.send("UP r\r\n")
    holder = server.name.partition("-")[0]
    scene.scene.proxy.run(20.0)
    scene.tell({**scene.listed, holder: GONE}, whole=True)
    stale = scene.scene.list(*NAMES)
    stale["seq"] = 1
    scene.scene.tell(stale)
    assert holder not in scene.in_use()
