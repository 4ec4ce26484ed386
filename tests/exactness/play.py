"""Plays the lab's scripts in the virtual world and compares their figures.

The virtual world is exact: one build gives the same figures to the digit on any
machine. A change that is meant to leave the behaviour as it is must therefore leave
every figure as it is. Each play is a process of its own, started by the command line,
with whatever hash seed the interpreter draws.

Three things are compared for each play, so that a difference says what has changed:

- ``figures``: counts, percentiles, breaches and all else that a run's result holds,
  apart from wall time.
- ``events``: the time of each event of the run and the numbers in it, whatever its
  fields are called.
- ``log``: the run's fingerprint, which covers the wording of the log lines too.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
RECORDED = Path(__file__).with_name("recorded.json")
CORES = Path(__file__).with_name("cores.py")

SEEDS = (1, 2)
# Together these touch placing, cold servers, load reports, upgrades, membership, zones
# and the store.
QUICK = (
    "experiments/back-cold.toml",
    "experiments/budget.toml",
    "experiments/drain.toml",
    "experiments/fast-errors.toml",
    "experiments/herd-on-a-slow-store.toml",
    "experiments/overload.toml",
    "experiments/slow-server.toml",
    "experiments/upgrade.toml",
    "experiments/peers/kill.toml",
    "experiments/peers/odd-ones.toml",
    "experiments/peers/split-2-5.toml",
    "experiments/peers/told-to-one.toml",
    "experiments/peers/zone-and-drain.toml",
    "cores/members",
    "cores/store",
    "cores/zones",
)
CORE_NAMES = ("cores/members", "cores/store", "cores/zones")
# A play takes seconds; one that takes this long hangs.
LONGEST_PLAY_S = 600
# Codes with which the lab ends: no rule broken, a rule broken, and the script can't be
# used in this world.
PLAYED, BREACHED, UNUSABLE = 0, 1, 2

Found = dict[str, Any]


class PlayError(Exception):
    """A play ended neither with figures nor with a reason why it can't be played."""


@dataclass(frozen=True)
class Play:
    """One script (or one core) with one seed."""

    name: str
    seed: int

    @property
    def key(self) -> str:
        """Returns the name under which its figures are recorded."""
        return f"{self.name} seed {self.seed}"


def digest_of(value: object) -> str:
    """Returns a digest of plain data, with all digits of its numbers."""
    text = json.dumps(value, sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def numbers_in(value: object) -> Iterator[float]:
    """Yields the numbers that plain data holds, without the names of its fields."""
    if isinstance(value, dict):
        for inner in value.values():
            yield from numbers_in(inner)
    elif isinstance(value, list):
        for inner in value:
            yield from numbers_in(inner)
    elif isinstance(value, (int, float)) and not isinstance(value, bool):
        yield value


def digest_events(lines: Iterable[str]) -> str:
    """Returns a digest of each event's time and numbers, in the order of the events."""
    digest = hashlib.blake2b(digest_size=16)
    for line in lines:
        event = json.loads(line)
        at_ms = event.pop("ms")
        # Sorted, as the order of the fields depends on how the code names them.
        digest.update(repr((at_ms, sorted(numbers_in(event)))).encode())
    return digest.hexdigest()


def summarize(result: Found, event_lines: Iterable[str]) -> Found:
    """Returns what is recorded of a run's result and its event log."""
    figures = {
        key: value
        for key, value in result.items()
        if key not in ("took_s", "fingerprint")
    }
    # The other fields of a breach are texts that quote the log.
    figures["breaches"] = [
        [breach["rule"], breach["ms"], breach["sess"], breach["server"]]
        for breach in result["breaches"]
    ]
    shown = {key: figures[key] for key in ("counts", "handshake_ms", "message_ms")}
    return {
        "shown": {**shown, "breaches": len(figures["breaches"])},
        "figures": digest_of(figures),
        "events": digest_events(event_lines),
        "log": result["fingerprint"],
    }


def run_process(command: list[str]) -> subprocess.CompletedProcess[str]:
    """Runs one play's process from the root of the repository."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    return subprocess.run(
        command,
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=LONGEST_PLAY_S,
        check=False,
    )


def play_script(play: Play) -> Found:
    """Plays a script in the virtual world.

    Raises:
        PlayError: the lab ended with an error.
    """
    with tempfile.TemporaryDirectory() as folder:
        result, log = Path(folder, "result.json"), Path(folder, "log.jsonl")
        command = [sys.executable, "-m", "wheathill", "lab", "run", play.name]
        options = ["--seed", str(play.seed), "--json", str(result), "--log", str(log)]
        ended = run_process(command + options)
        if ended.returncode == UNUSABLE:
            return {"not played": ended.stderr.strip().splitlines()[-1]}
        if ended.returncode not in (PLAYED, BREACHED) or not result.exists():
            raise PlayError(f"{play.key}: code {ended.returncode}\n{ended.stderr}")
        with log.open(encoding="utf-8") as lines:
            return summarize(json.loads(result.read_bytes()), lines)


def play_core(play: Play) -> Found:
    """Plays a core of the proxy among many of its kind, without sessions.

    Raises:
        PlayError: the process ended with an error.
    """
    ended = run_process([sys.executable, str(CORES), play.name, str(play.seed)])
    if ended.returncode != PLAYED:
        raise PlayError(f"{play.key}: code {ended.returncode}\n{ended.stderr}")
    figures: Found = json.loads(ended.stdout)
    return {"shown": figures["shown"], "figures": digest_of(figures)}


def play_one(play: Play) -> Found:
    """Plays a script or a core; one that fails is a finding that is never recorded."""
    try:
        return play_core(play) if play.name in CORE_NAMES else play_script(play)
    except (PlayError, subprocess.TimeoutExpired) as error:
        return {"failed": str(error)}


def all_names() -> list[str]:
    """Returns the names of all scripts and cores, those that take longest first."""
    scripts = sorted(
        path.relative_to(ROOT).as_posix()
        for path in (ROOT / "experiments").rglob("*.toml")
    )
    slow = [name for name in scripts if "unreported" in name or "throng" in name]
    return [*slow, *CORE_NAMES, *(name for name in scripts if name not in slow)]


def play_all(
    names: Iterable[str], jobs: int, seeds: tuple[int, ...] = SEEDS
) -> dict[str, Found]:
    """Plays each name with each seed, `jobs` at a time; returns the findings by key."""
    plays = [Play(name, seed) for name in names for seed in seeds]
    with ThreadPoolExecutor(jobs) as pool:
        return {
            play.key: found
            for play, found in zip(plays, pool.map(play_one, plays), strict=True)
        }


def differences(expected: object, found: object, where: str = "") -> Iterator[str]:
    """Yields one line for each value in which plain data differs."""
    if isinstance(expected, dict) and isinstance(found, dict):
        for key in sorted({*expected, *found}):
            place = f"{where}: {key}" if where else key
            yield from differences(expected.get(key), found.get(key), place)
    elif expected != found:
        yield f"{where}: {expected!r} was recorded, {found!r} found"


def load_recorded() -> dict[str, Found]:
    """Returns the recorded figures, by key."""
    recorded: dict[str, Found] = json.loads(RECORDED.read_bytes())
    return recorded


def save_recorded(recorded: dict[str, Found]) -> None:
    """Writes the recorded figures, one play a line, sorted."""
    lines = [
        f"{json.dumps(key)}: {json.dumps(recorded[key], sort_keys=True)}"
        for key in sorted(recorded)
    ]
    RECORDED.write_text("{\n" + ",\n".join(lines) + "\n}\n", encoding="utf-8")


def compare(found: dict[str, Found], complete: bool) -> int:
    """Prints where found and recorded figures differ; returns the exit code.

    `complete`: all plays were played, so that a recorded one which is missing is a
    difference too.
    """
    recorded = load_recorded()
    expected = recorded if complete else {key: recorded.get(key) for key in found}
    lines = list(differences(expected, found))
    for key, each in sorted(found.items()):
        if "not played" in each:
            print(f"not played: {key}: {each['not played']}")
    print("\n".join(lines) if lines else "all figures are the same")
    unplayed = sum("not played" in each for each in found.values())
    failed = sum("failed" in each for each in found.values())
    played = len(found) - unplayed - failed
    ended = f"{played} plays, {unplayed} not played, {failed} failed"
    print(f"{ended}, {len(lines)} differences")
    return 1 if lines else 0


def record(found: dict[str, Found], complete: bool) -> int:
    """Records the found figures; those of plays that were not asked for stay."""
    failed = [each["failed"] for each in found.values() if "failed" in each]
    if failed:
        print("\n".join([*failed, "nothing recorded"]))
        return 1
    save_recorded(found if complete else {**load_recorded(), **found})
    print(f"{len(found)} plays recorded")
    return 0


def record_wording(found: dict[str, Found], complete: bool) -> int:
    """Records changed fingerprints of the log, if all else is the same."""
    recorded = load_recorded()
    same = {
        key: {**each, "log": recorded[key]["log"]} if "log" in each else each
        for key, each in found.items()
    }
    if compare(same, complete):
        return 1
    return record(found, complete)


MODES: dict[str, Callable[[dict[str, Found], bool], int]] = {
    "compare": compare,
    "record": record,
    "record-wording": record_wording,
}


def main() -> int:
    """Runs from the command line."""
    parser = argparse.ArgumentParser(
        description="Plays the lab's scripts and compares their figures."
    )
    parser.add_argument("mode", choices=MODES)
    parser.add_argument(
        "names", nargs="*", help="scripts by path, and cores; all where left out"
    )
    parser.add_argument(
        "--quick",
        action="store_true",
        help="a handful that touches most, with one seed",
    )
    parser.add_argument("--jobs", type=int, default=4, help="plays side by side")
    asked = parser.parse_args()
    if asked.quick:
        found = play_all(QUICK, asked.jobs, SEEDS[:1])
    else:
        found = play_all(asked.names or all_names(), asked.jobs)
    return MODES[asked.mode](found, not (asked.quick or asked.names))


if __name__ == "__main__":
    sys.exit(main())
