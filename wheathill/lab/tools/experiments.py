"""The experiment tool: one run, a grid of runs, and two kept ones side by side."""

import itertools
import multiprocessing
import statistics
import sys
import tomllib
from concurrent.futures import ProcessPoolExecutor

import orjson

from wheathill.config.errors import ConfigurationError
from wheathill.lab.judging.baselines import POLICIES
from wheathill.lab.scripts import language as scripts
from wheathill.lab.scripts.run import play

SHOWN = (
    "handshake p50",
    "handshake p99",
    "message p50",
    "message p99",
    "in time",
    "served",
    "refused",
    "failed",
    "cut",
    "moved",
    "dials",
    "breaches",
)


def row(figures):
    """The figures of a run that tables show, all numbers."""
    counts = figures["counts"]
    sessions = max(1, counts.get("sessions", 0))
    return {
        "handshake p50": figures["handshake_ms"]["p50"],
        "handshake p99": figures["handshake_ms"]["p99"],
        "message p50": figures["message_ms"]["p50"],
        "message p99": figures["message_ms"]["p99"],
        "in time": in_time(figures),
        "served": counts.get("answer UP", 0) / sessions,
        "refused": counts.get("answer BUSY", 0) / sessions,
        "failed": (counts.get("answer ERR", 0) + counts.get("broken", 0)) / sessions,
        "cut": counts.get("cut", 0) / sessions,
        "moved": counts.get("moved", 0) / sessions,
        "dials": counts.get("dials", 0) / sessions,
        "breaches": len(figures["breaches"]),
    }


def in_time(figures):
    """The share of messages that met their listener's target; those that nobody answered did not. None: no message,
    or figures kept before they were counted."""
    counts = figures["counts"]
    asked = figures["message_ms"]["count"] + counts.get("unanswered", 0)
    return (
        counts["messages in time"] / asked
        if asked and "messages in time" in counts
        else None
    )


def show(value):
    if value is None:
        return "-"
    return f"{value:.0f}" if value == int(value) or value >= 100 else f"{value:.3g}"


def table(head, rows):
    widths = [
        max(len(line[place]) for line in (head, *rows)) for place in range(len(head))
    ]
    for line in (head, *rows):
        yield "  ".join(
            text.ljust(width) if not place else text.rjust(width)
            for place, (text, width) in enumerate(zip(line, widths))
        ).rstrip()


def check_policy(policy, world):
    if policy not in POLICIES:
        raise ConfigurationError(
            f"--policy: {policy!r} is none of {', '.join(POLICIES)}"
        )
    if policy != "module" and world != "virtual":
        raise ConfigurationError(
            "--policy: baselines stand in for the module in the virtual world only"
        )


def program_of(mutant, world):
    """The words that start a mutant; in the virtual world the instances of this process become it."""
    if mutant is None:
        return None
    from wheathill.lab.judging.mutated import VARIANTS, program

    if world == "sockets" or mutant not in VARIANTS:
        raise ConfigurationError(
            f"--mutant: {mutant!r} is none of {', '.join(VARIANTS)}, not in --world sockets"
        )
    if world == "virtual":
        VARIANTS[mutant]()
    return program(mutant)


def back(ms):
    return "not seen" if ms is None else f"after {ms / 1000:.2f} s"


def run(path, seed, world, policy, json_path, log_path, report, mutant=None):
    check_policy(policy, world)
    program = program_of(mutant, world)
    script = scripts.read(path)
    result = play(script, seed, world, policy, program=program)
    figures = result.figures
    print(f"{script.name}: {script.about}")
    print(
        f"seed {figures['seed']}, {world}, {script.seconds:g} s in {figures['took_s']:.2f} s, "
        f"fingerprint {figures['fingerprint']}"
    )
    counts = figures["counts"]
    print(", ".join(f"{name} {count}" for name, count in counts.items()))
    for what in ("handshake", "message"):
        found = figures[f"{what}_ms"]
        print(
            f"{what}: "
            + ", ".join(
                f"{name} {show(found[name])}" for name in ("p50", "p90", "p99", "p100")
            )
            + f" ms of {found['count']}"
        )
    for found in figures["full_service"]:
        print(
            f"faults {found['from_ms'] / 1000:.1f} to {found['over_ms'] / 1000:.1f} s, {found['share']:.0%} set up before: "
            + ", ".join(
                f"{name} {back(ms)}"
                for name, ms in (
                    ("full service", found["back_ms"]),
                    *found["listeners"].items(),
                )
            )
        )
    for name, found in {**figures.get("fleet", {}), **figures.get("spent", {})}.items():
        if found != []:
            print(
                f"{name}: "
                + (" ".join(map(str, found)) if isinstance(found, list) else str(found))
            )
    for breach in result.breaches:
        print(f"BREACH {breach}")
        for line in breach.as_dict()["last"]:
            print(f"    {line}")
    print(f"{len(result.breaches)} breaches" if result.breaches else "no rule broken")
    if json_path:
        result.save(json_path)
    if log_path:
        with open(log_path, "wb") as out:
            out.writelines(result.scene.record.lines())
    if report:
        from wheathill.lab.tools.report import write

        print(f"report: {write(result, report)}")
    return 1 if result.breaches else 0


def numbers(text):
    first, between, last = text.partition("..")
    try:
        return range(int(first), int(last if between else first) + 1)
    except ValueError:
        raise ConfigurationError(f"--seeds: {text!r} is not A..B") from None


def grid(changes):
    """Every combination of the values given with --set, as lists of (key, value)."""
    choices = []
    for change in changes:
        key, between, values = change.partition("=")
        if not between:
            raise ConfigurationError(f"--set: {change!r} is not KEY=V1,V2")
        choices.append([(key, parse(value)) for value in values.split(",")])
    return list(itertools.product(*choices))


def parse(text):
    """A TOML value; what is none is text."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def play_one(job):
    path, changes, policy, seed, world, mutant = job
    return play(
        scripts.read(path, changes),
        seed,
        world,
        policy,
        program=program_of(mutant, world),
    ).figures


def fleet(runs):
    """Of all runs together: how long things took, in ms, and the largest sums."""
    found = {}
    for figures in runs:
        for name, value in figures.get("fleet", {}).items():
            found.setdefault(name, []).extend(
                value if isinstance(value, list) else [value]
            )
        for fault in figures["full_service"]:
            found.setdefault("full service", []).append(fault["back_ms"])
    for name, values in found.items():
        seen = sorted(value for value in values if value is not None)
        if seen:
            places = [
                seen[min(len(seen) - 1, int(share * len(seen)))]
                for share in (0.5, 0.99)
            ]
            unseen = (
                f", {len(values) - len(seen)} not seen"
                if len(seen) < len(values)
                else ""
            )
            yield f"{name}: p50 {places[0]:g}, p99 {places[1]:g}, worst {seen[-1]:g} of {len(seen)}{unseen}"


def sweep(path, seeds, changes, policies, world, jobs, json_path, mutant=None):
    from tqdm import tqdm

    seeds, combinations = numbers(seeds), grid(changes)
    for policy in policies:
        check_policy(policy, world)
    for combination in combinations:
        try:
            scripts.read(path, combination)
        except (KeyError, IndexError, TypeError, AttributeError) as wrong:
            raise ConfigurationError(f"--set: {combination}: {wrong!r}") from None
    cells = [
        (combination, policy) for combination in combinations for policy in policies
    ]
    todo = [
        (path, combination, policy, seed, world, mutant)
        for combination, policy in cells
        for seed in seeds
    ]
    # Sockets share the machine: more than one at a time would measure each other.
    workers = 1 if world == "sockets" else max(1, jobs)
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        found = list(
            tqdm(
                pool.map(play_one, todo),
                total=len(todo),
                unit="run",
                file=sys.stderr,
                disable=not sys.stderr.isatty(),
            )
        )
    kept = []
    lines = []
    for place, (combination, policy) in enumerate(cells):
        runs = found[place * len(seeds) : (place + 1) * len(seeds)]
        name = " ".join([policy, *(f"{key}={value}" for key, value in combination)])
        kept.append({"name": name, "runs": runs})
        lines.append(
            [
                name,
                *(spread([row(figures)[what] for figures in runs]) for what in SHOWN),
            ]
        )
    print("\n".join(table(["median (range)", *SHOWN], lines)))
    for cell in kept:
        for line in fleet(cell["runs"]):
            print(f"{cell['name']}: {line}")
    if json_path:
        with open(json_path, "wb") as out:
            out.write(
                orjson.dumps(
                    {"script": path, "cells": kept}, option=orjson.OPT_INDENT_2
                )
            )
    bad = sum(bool(figures["breaches"]) for figures in found)
    print(f"{len(found)} runs, {bad} with a rule broken")
    for figures in found:
        for breach in figures["breaches"][:2]:
            print(
                f"seed {figures['seed']}: rule {breach['rule']} at {breach['ms']:.1f} ms: {breach['what']}"
            )
    return 1 if bad else 0


def spread(values):
    values = [value for value in values if value is not None]
    if not values:
        return "-"
    low, middle, high = min(values), statistics.median(values), max(values)
    return (
        show(middle) if low == high else f"{show(middle)} ({show(low)}..{show(high)})"
    )


def load(path):
    with open(path, "rb") as source:
        found = orjson.loads(source.read())
    return (
        found["cells"]
        if "cells" in found
        else [{"name": found["policy"], "runs": [found]}]
    )


def compare(one, other):
    lines = []
    for side, path in (("1", one), ("2", other)):
        for cell in load(path):
            lines.append(
                [
                    f"{side} {cell['name']}",
                    *(
                        spread([row(figures)[what] for figures in cell["runs"]])
                        for what in SHOWN
                    ),
                ]
            )
    print(f"1: {one}\n2: {other}")
    print("\n".join(table(["median (range)", *SHOWN], lines)))
    return 0
