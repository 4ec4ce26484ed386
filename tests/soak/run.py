"""Plays many courses by hand: `python tests/soak/run.py --seeds 1..5000 --jobs 8`.

Prints each seed that broke a rule and ends with 1 if there was one.
"""

import argparse
import pathlib
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from tqdm import tqdm  # noqa: E402

from soak.courses import play_course  # noqa: E402 - the path is set above
from wheathill.lab.judging.judges import Breach  # noqa: E402
from wheathill.lab.tools.experiments import seed_range  # noqa: E402

# Breaches shown of each seed.
SHOWN = 3
# Seeds that a worker process plays before it is given others.
BATCH = 10


def play_all(
    seeds: range, jobs: int, held_socket: bool
) -> Iterator[tuple[int, list[Breach]]]:
    """Yields each seed with what the judges found."""
    play = partial(play_course, held_socket=held_socket)
    with ProcessPoolExecutor(jobs) as pool:
        yield from zip(seeds, pool.map(play, seeds, chunksize=BATCH), strict=True)


def main() -> int:
    """Runs from the command line."""
    parser = argparse.ArgumentParser(description="Plays planned restarts in the lab.")
    parser.add_argument("--seeds", default="1..200", help="A..B")
    parser.add_argument("--jobs", type=int, default=4, help="plays side by side")
    parser.add_argument(
        "--held-socket",
        action="store_true",
        help="the platform holds the listening socket over a planned restart",
    )
    asked = parser.parse_args()
    seeds = seed_range(asked.seeds)
    failed = 0
    plays = play_all(seeds, asked.jobs, asked.held_socket)
    for seed, breaches in tqdm(plays, total=len(seeds), unit="play"):
        failed += bool(breaches)
        for breach in breaches[:SHOWN]:
            tqdm.write(f"seed {seed}: {breach}")
    print(f"{len(seeds)} plays, {failed} broke a rule")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
