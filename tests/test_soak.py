"""Planned restarts that meet other disruptions, drawn at random in virtual time.

Each seed is exact, so the verdict is the same each time. tests/soak/run.py plays other
seeds, and as many as are wanted.
"""

import pytest

from soak.courses import play_course
from wheathill.lab.judging.mutants import OutlivesItsKill

SEEDS = range(1, 201)
HELD_SOCKET_SEEDS = range(1, 41)


@pytest.mark.slow
@pytest.mark.parametrize("seed", SEEDS)
def test_restarts_break_no_rule(seed: int) -> None:
    # Guards against sessions that a planned restart or an upgrade loses, whatever fails meanwhile.
    assert list(map(str, play_course(seed))) == []


@pytest.mark.slow
@pytest.mark.parametrize("seed", HELD_SOCKET_SEEDS)
def test_restarts_with_a_held_socket_break_no_rule(seed: int) -> None:
    # Guards against sessions that wait in a listening socket which nobody accepts from.
    assert list(map(str, play_course(seed, held_socket=True))) == []


def test_the_soak_finds_a_shutdown_that_outlives_its_kill() -> None:
    # Guards against courses in which nothing can go wrong.
    found = play_course(64, proxy=OutlivesItsKill)
    assert {(breach.rule, breach.what) for breach in found} == {
        (1, "its connection reset without an answer")
    }
