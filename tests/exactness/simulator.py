"""Plays a site's days by the operators' simulator and compares their figures.

The simulator and its site files are no part of the repository: the environment names
them as ``LBSIM`` and ``SITE``. Where they are not at hand, it says so and ends with 0.
Each run writes its entry to ``journal/``, from which the figures are read.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from play import ROOT, differences

RECORDED = Path(__file__).with_name("simulator.json")
WHY = "Does the build behave as the recorded one, to the digit of each day's figures?"
# All else of a day follows from these, depends on the machine, or describes the day.
COMPARED = ("G", "attempts", "p50", "p99", "rules", "signature")

Days = dict[str, dict[str, Any]]


def read_days(entry: dict[str, Any]) -> Days:
    """Returns the compared figures of a journal entry's days, by the day's name."""
    return {
        day["name"]: {key: day[key] for key in COMPARED if key in day}
        for day in entry["days"]
    }


def play_site(simulator: str, site: str) -> tuple[str, Days]:
    """Plays the four days that weigh most; returns the site's name and the days.

    Raises:
        RuntimeError: the simulator ended with an error, or without a journal entry.
    """
    command = [simulator, "score", site, "--quick", "--why", WHY]
    ended = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    )
    print(ended.stdout, end="")
    lines = [line for line in ended.stdout.splitlines() if line.startswith("snapshot ")]
    if ended.returncode or not lines:
        raise RuntimeError(f"code {ended.returncode}\n{ended.stderr}")
    (path,) = (ROOT / "journal").glob(f"*-{lines[-1].split()[1]}.json")
    entry = json.loads(path.read_bytes())
    return entry["site"], read_days(entry)


def main() -> int:
    """Runs from the command line."""
    parser = argparse.ArgumentParser(description="Plays a site's days and compares.")
    parser.add_argument("mode", choices=("compare", "record"))
    asked = parser.parse_args()
    simulator, site = os.environ.get("LBSIM", ""), os.environ.get("SITE", "")
    if not (os.access(simulator, os.X_OK) and os.path.isfile(site)):
        print("the simulator or the site is not at hand (LBSIM, SITE): nothing played")
        return 0
    name, days = play_site(os.path.abspath(simulator), site)
    recorded = json.loads(RECORDED.read_bytes()) if RECORDED.exists() else {}
    if asked.mode == "record":
        text = json.dumps({**recorded, name: days}, sort_keys=True, indent=1)
        RECORDED.write_text(text + "\n", encoding="utf-8")
        print(f"{len(days)} days of {name} recorded")
        return 0
    lines = list(differences(recorded.get(name), days, name))
    print("\n".join(lines) if lines else "all days are the same")
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
