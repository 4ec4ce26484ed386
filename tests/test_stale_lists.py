"""Lists of an agent that is behind, at a new address or after its restart, in virtual time."""

import pytest

from golden_lines import CHUNKED, START_MS
from golden_proxy import Scene, started
from wheathill.model import Phase
from wheathill.net.listed_state import ListedState, resolve_entry

READY, DRAINING, GONE = Phase.READY, Phase.DRAINING, Phase.GONE
COLD = {"drainGraceS": 0.5, "startCapacity": 0.1, "coldS": 20.0, "tipMultiple": 2}


def watched(**settings: object) -> Scene:
    """Returns a proxy that has the list of a and b from its agent."""
    scene = started("a", "b", known=False, discovery=True, **settings)
    scene.accepted["disco"][-1].send(CHUNKED)
    scene.sequence = 40
    scene.tell(scene.list("a", "b"))
    return scene


def older(scene: Scene, *names: str, whole: bool = True, **changed: object) -> dict:
    """Returns a list of the version before the first one of `watched`."""
    return {**scene.list(*names, whole=whole, **changed), "seq": 40}


@pytest.mark.parametrize("born_ms", [0, START_MS - 60_000.0])
@pytest.mark.parametrize("whole", [True, False])
def test_an_older_list_does_not_warm_a_server_that_has_just_started(
    whole: bool, born_ms: float
) -> None:
    # Guards against clients that push a server over because its start is forgotten.
    scene = watched(obligations=COLD)
    scene.tell(scene.list("b", whole=False, health="gone"))
    scene.tell(scene.list("b", whole=False, born_ms=START_MS))
    scene.tell(older(scene, "a", "b", whole=whole, born_ms=born_ms))
    proxy = scene.proxy.internal()
    server = proxy.servers["b"]
    assert server.phase is READY
    assert proxy.balancer.slow_start.is_warming(proxy.now(), server)
    assert ("stale_endpoint_list", "b") in [
        (event, fields.get("server")) for event, fields in scene.proxy.log
    ]


def test_an_older_list_with_a_later_start_counts() -> None:
    # Guards against an address that counts its own versions and is never believed.
    scene = watched(obligations=COLD)
    scene.tell(scene.list("b", whole=False, health="draining"))
    scene.tell(older(scene, "a", "b", born_ms=START_MS))
    proxy = scene.proxy.internal()
    server = proxy.servers["b"]
    assert server.phase is READY
    assert proxy.balancer.slow_start.is_warming(proxy.now(), server)


# What is known and what the entry says, each as (version, start, phase); what holds.
CASES = {
    "nothing known": (None, (5, 1.0, READY), ListedState(5, 1.0, False), False),
    "newer": ((5, 2.0, READY), (6, 1.0, READY), ListedState(6, 1.0, False), False),
    "same": ((5, 2.0, READY), (5, None, READY), ListedState(5, None, False), False),
    "no version": (
        (5, 2.0, READY),
        (None, None, READY),
        ListedState(None, None, False),
        False,
    ),
    "older start": (
        (5, 2.0, READY),
        (4, 1.0, READY),
        ListedState(5, 2.0, False),
        False,
    ),
    "no start": ((5, 2.0, READY), (4, None, READY), ListedState(5, 2.0, False), False),
    "later start": (
        (5, 2.0, READY),
        (4, 3.0, READY),
        ListedState(4, 3.0, False),
        False,
    ),
    "drains": ((5, 2.0, READY), (4, 1.0, DRAINING), ListedState(4, 2.0, True), False),
    "comes back": ((5, 2.0, GONE), (4, 2.0, READY), ListedState(5, 2.0, True), True),
    "drained": (
        (5, None, DRAINING),
        (4, None, READY),
        ListedState(5, None, True),
        True,
    ),
    "restarted": ((5, None, GONE), (4, 1.0, READY), ListedState(4, 1.0, False), False),
    "stays gone": ((5, 2.0, GONE), (4, None, GONE), ListedState(4, 2.0, True), False),
}


@pytest.mark.parametrize("name", CASES)
def test_what_holds_after_an_entry(name: str) -> None:
    # Guards against an older list that undoes what a newer one has said.
    known, (version, started_ms, phase), state, is_return_stale = CASES[name]
    before = known and ListedState(known[0], known[1], known[2] is not READY)
    found = resolve_entry(before, version, phase, started_ms)
    assert found == (state, is_return_stale)
