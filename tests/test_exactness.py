"""The virtual world gives the recorded figures, and the comparison fails when a figure has changed."""

import copy
import json
import subprocess

import pytest
from exactness import play

# A script with proxies that know each other, one without, one that this world can't play, and the store.
NAMES = (
    "experiments/budget.toml",
    "experiments/peers/kill.toml",
    "experiments/peers/strangers.toml",
    "cores/store",
)


@pytest.fixture(scope="module")
def found():
    """What a few plays give, played once for all tests."""
    return play.play_all(NAMES, jobs=2, seeds=play.SEEDS[:1])


def changes_of(found):
    """Each way in which one recorded value may differ, as (what, changed figures)."""
    key = "experiments/peers/kill.toml seed 1"

    def changed(change):
        other = copy.deepcopy(found)
        change(other[key])
        return other

    yield (
        "dials",
        changed(
            lambda each: each["shown"]["counts"].update(
                dials=each["shown"]["counts"]["dials"] + 1
            )
        ),
    )
    yield (
        "p99",
        changed(
            lambda each: each["shown"]["message_ms"].update(
                p99=each["shown"]["message_ms"]["p99"] + 0.001
            )
        ),
    )
    yield "breaches", changed(lambda each: each["shown"].update(breaches=1))
    for part in ("figures", "events", "log"):
        yield part, changed(lambda each, part=part: each.update({part: "0" * 32}))
        yield part, changed(lambda each, part=part: each.pop(part))


@pytest.mark.processes
def test_figures_are_those_recorded(found, capsys):
    """A few scripts and the store play as they did when they were recorded."""
    assert play.compare(found, complete=False) == 0
    shown = capsys.readouterr().out
    assert "all figures are the same" in shown
    assert "not played: experiments/peers/strangers.toml seed 1: " in shown


@pytest.mark.processes
def test_a_changed_figure_fails(found, capsys):
    """Each changed or missing value is printed, and ends the comparison with a failure."""
    changes = list(changes_of(found))
    assert len(changes) == 9
    for what, changed in changes:
        assert play.compare(changed, complete=False) == 1
        shown = capsys.readouterr().out
        assert "experiments/peers/kill.toml seed 1: " in shown
        assert what in shown
        assert "1 differences" in shown


@pytest.mark.processes
def test_a_missing_or_unrecorded_play_fails(found, capsys, monkeypatch):
    """With all plays played, one too few or too many is a difference."""
    key = "experiments/budget.toml seed 1"
    monkeypatch.setattr(play, "load_recorded", lambda: copy.deepcopy(found))
    assert play.compare(found, complete=True) == 0
    fewer = {other: each for other, each in found.items() if other != key}
    assert play.compare(fewer, complete=True) == 1
    assert play.compare({**found, "another seed 1": found[key]}, complete=False) == 1
    assert "another seed 1: None was recorded" in capsys.readouterr().out


def test_each_script_and_core_is_recorded():
    """A new script is recorded with it, on all seeds."""
    keys = {
        play.Play(name, seed).key for name in play.all_names() for seed in play.SEEDS
    }
    assert keys == set(play.load_recorded())
    assert set(play.QUICK) <= set(play.all_names())


@pytest.mark.processes
def test_wording_alone_may_be_recorded_anew(found, tmp_path, monkeypatch):
    """Fingerprints of the log are recorded anew only where all else is as it was."""
    key = "experiments/budget.toml seed 1"
    place = tmp_path / "recorded.json"
    monkeypatch.setattr(play, "RECORDED", place)
    play.save_recorded(found)
    reworded = copy.deepcopy(found)
    reworded[key]["log"] = "0" * 32
    assert play.record_wording(reworded, complete=False) == 0
    assert json.loads(place.read_bytes()) == reworded
    changed = copy.deepcopy(found)
    changed[key]["events"] = "0" * 32
    assert play.record_wording(changed, complete=False) == 1
    assert json.loads(place.read_bytes()) == reworded


def test_events_are_digested_by_their_numbers():
    """The times and numbers of events count, and the order of events; the names of their fields don't."""
    one = '{"ms": 1.5, "kind": "dial", "wait_ms": 2.0, "count": 3}'
    renamed = '{"ms": 1.5, "kind": "connect", "attempts": 3, "delay_ms": 2.0}'
    later = '{"ms": 1.5, "kind": "dial", "wait_ms": 2.0000000000000004, "count": 3}'
    assert play.digest_events([one]) == play.digest_events([renamed])
    assert play.digest_events([one]) != play.digest_events([later])
    assert play.digest_events([one, later]) != play.digest_events([later, one])


def test_a_play_that_fails_is_a_difference_and_never_recorded(
    tmp_path, monkeypatch, capsys
):
    """It is told beside the others' figures, and keeps the record as it was."""
    ended = subprocess.CompletedProcess([], 3, "", "a traceback")
    monkeypatch.setattr(play, "run_process", lambda command: ended)
    names = ["cores/store", "experiments/budget.toml"]
    found = play.play_all(names, 2, play.SEEDS[:1])
    assert play.compare(found, complete=False) == 1
    assert "0 plays, 0 not played, 2 failed" in capsys.readouterr().out
    monkeypatch.setattr(play, "RECORDED", tmp_path / "recorded.json")
    assert play.record(found, complete=True) == 1
    assert "a traceback" in capsys.readouterr().out
    assert not (tmp_path / "recorded.json").exists()
