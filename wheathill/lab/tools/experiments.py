"""The experiment tool: runs a script once or over a grid, and compares saved results."""

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

COLUMNS = (
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


def summary_row(figures):
    """Return the figures of a run that tables show, all numbers."""
    counts = figures["counts"]
    sessions = max(1, counts.get("sessions", 0))
    return {
        "handshake p50": figures["handshake_ms"]["p50"],
        "handshake p99": figures["handshake_ms"]["p99"],
        "message p50": figures["message_ms"]["p50"],
        "message p99": figures["message_ms"]["p99"],
        "in time": share_in_time(figures),
        "served": counts.get("answer UP", 0) / sessions,
        "refused": counts.get("answer BUSY", 0) / sessions,
        "failed": (counts.get("answer ERR", 0) + counts.get("broken", 0)) / sessions,
        "cut": counts.get("cut", 0) / sessions,
        "moved": counts.get("moved", 0) / sessions,
        "dials": counts.get("dials", 0) / sessions,
        "breaches": len(figures["breaches"]),
    }


def share_in_time(figures):
    """Return the share of messages that met the target of their listener.

    Unanswered messages did not. None if there was no message, or if the saved figures do
    not have this count.
    """
    counts = figures["counts"]
    total = figures["message_ms"]["count"] + counts.get("unanswered", 0)
    return (
        counts["messages in time"] / total
        if total and "messages in time" in counts
        else None
    )


def format_value(value):
    """Return a number as short text, `-` for None."""
    if value is None:
        return "-"
    return f"{value:.0f}" if value == int(value) or value >= 100 else f"{value:.3g}"


def table_lines(header, rows):
    """Yield the lines of a text table, its first column left-aligned."""
    widths = [
        max(len(line[column]) for line in (header, *rows))
        for column in range(len(header))
    ]
    for line in (header, *rows):
        yield "  ".join(
            text.ljust(width) if not column else text.rjust(width)
            for column, (text, width) in enumerate(zip(line, widths))
        ).rstrip()


def check_policy(policy, world):
    """Check that a policy exists and works in a world.

    Raises:
        ConfigurationError: It does not.
    """
    if policy not in POLICIES:
        raise ConfigurationError(
            f"--policy: {policy!r} is not one of {', '.join(POLICIES)}"
        )
    if policy != "module" and world != "virtual":
        raise ConfigurationError(
            "--policy: baselines are only supported in the virtual world"
        )


def mutant_command(mutant, world):
    """Return the command that starts a mutant; None without a mutant.

    In the virtual world the proxies of this process are changed into the mutant.

    Raises:
        ConfigurationError: The mutant does not exist, or not in this world.
    """
    if mutant is None:
        return None
    from wheathill.lab.judging.mutated import VARIANTS, program

    if world == "sockets" or mutant not in VARIANTS:
        raise ConfigurationError(
            f"--mutant: {mutant!r} is not one of {', '.join(VARIANTS)}, or --world is sockets"
        )
    if world == "virtual":
        VARIANTS[mutant]()
    return program(mutant)


def service_delay(ms):
    """Return the time until full service as text."""
    return "not seen" if ms is None else f"after {ms / 1000:.2f} s"


def run(path, seed, world, policy, json_path, log_path, report, mutant=None):
    """Run a script once, print and save the result, and return the exit code."""
    check_policy(policy, world)
    program = mutant_command(mutant, world)
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
    for latency_kind in ("handshake", "message"):
        value = figures[f"{latency_kind}_ms"]
        print(
            f"{latency_kind}: "
            + ", ".join(
                f"{name} {format_value(value[name])}"
                for name in ("p50", "p90", "p99", "p100")
            )
            + f" ms of {value['count']}"
        )
    for value in figures["full_service"]:
        print(
            f"faults {value['from_ms'] / 1000:.1f} to {value['over_ms'] / 1000:.1f} s, {value['share']:.0%} set up before: "
            + ", ".join(
                f"{name} {service_delay(ms)}"
                for name, ms in (
                    ("full service", value["back_ms"]),
                    *value["listeners"].items(),
                )
            )
        )
    for name, value in {**figures.get("fleet", {}), **figures.get("spent", {})}.items():
        if value != []:
            print(
                f"{name}: "
                + (" ".join(map(str, value)) if isinstance(value, list) else str(value))
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
        from wheathill.lab.tools.report import write_report

        print(f"report: {write_report(result, report)}")
    return 1 if result.breaches else 0


def seed_range(text):
    """Return the seeds of a text `A..B` or `A`.

    Raises:
        ConfigurationError: The text has another form.
    """
    first, separator, last = text.partition("..")
    try:
        return range(int(first), int(last if separator else first) + 1)
    except ValueError:
        raise ConfigurationError(f"--seeds: {text!r} is not A..B") from None


def grid(changes):
    """Return every combination of the --set values, each as a tuple of (key, value) pairs.

    Raises:
        ConfigurationError: An option has another form than KEY=V1,V2.
    """
    choices = []
    for change in changes:
        key, separator, values = change.partition("=")
        if not separator:
            raise ConfigurationError(f"--set: {change!r} is not KEY=V1,V2")
        choices.append([(key, parse_value(value)) for value in values.split(",")])
    return list(itertools.product(*choices))


def parse_value(text):
    """Return the TOML value of a text, or the text itself if it is not one."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def run_job(job):
    """Return the figures of one run of a sweep; runs in a worker process."""
    path, changes, policy, seed, world, mutant = job
    return play(
        scripts.read(path, changes),
        seed,
        world,
        policy,
        program=mutant_command(mutant, world),
    ).figures


def fleet_lines(runs):
    """Yield median, 99th percentile and maximum of durations (ms) and counts over all runs."""
    values_by_name = {}
    for figures in runs:
        for name, value in figures.get("fleet", {}).items():
            values_by_name.setdefault(name, []).extend(
                value if isinstance(value, list) else [value]
            )
        for fault in figures["full_service"]:
            values_by_name.setdefault("full service", []).append(fault["back_ms"])
    for name, values in values_by_name.items():
        observed = sorted(value for value in values if value is not None)
        if observed:
            percentiles = [
                observed[min(len(observed) - 1, int(share * len(observed)))]
                for share in (0.5, 0.99)
            ]
            missing = (
                f", {len(values) - len(observed)} not seen"
                if len(observed) < len(values)
                else ""
            )
            yield f"{name}: p50 {percentiles[0]:g}, p99 {percentiles[1]:g}, worst {observed[-1]:g} of {len(observed)}{missing}"


def sweep(path, seeds, changes, policies, world, jobs, json_path, mutant=None):
    """Run a script for all combinations of seeds, values and policies, print tables, and return the exit code."""
    from tqdm import tqdm

    seeds, combinations = seed_range(seeds), grid(changes)
    for policy in policies:
        check_policy(policy, world)
    for combination in combinations:
        try:
            scripts.read(path, combination)
        except (KeyError, IndexError, TypeError, AttributeError) as error:
            raise ConfigurationError(f"--set: {combination}: {error!r}") from None
    cells = [
        (combination, policy) for combination in combinations for policy in policies
    ]
    jobs_to_run = [
        (path, combination, policy, seed, world, mutant)
        for combination, policy in cells
        for seed in seeds
    ]
    # Runs on sockets share the machine; run one at a time, as parallel runs would distort each other.
    workers = 1 if world == "sockets" else max(1, jobs)
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        results = list(
            tqdm(
                pool.map(run_job, jobs_to_run),
                total=len(jobs_to_run),
                unit="run",
                file=sys.stderr,
                disable=not sys.stderr.isatty(),
            )
        )
    results_by_cell = []
    lines = []
    for index, (combination, policy) in enumerate(cells):
        runs = results[index * len(seeds) : (index + 1) * len(seeds)]
        name = " ".join([policy, *(f"{key}={value}" for key, value in combination)])
        results_by_cell.append({"name": name, "runs": runs})
        lines.append(
            [
                name,
                *(
                    median_and_range([summary_row(figures)[what] for figures in runs])
                    for what in COLUMNS
                ),
            ]
        )
    print("\n".join(table_lines(["median (range)", *COLUMNS], lines)))
    for cell in results_by_cell:
        for line in fleet_lines(cell["runs"]):
            print(f"{cell['name']}: {line}")
    if json_path:
        with open(json_path, "wb") as out:
            out.write(
                orjson.dumps(
                    {"script": path, "cells": results_by_cell},
                    option=orjson.OPT_INDENT_2,
                )
            )
    failed_count = sum(bool(figures["breaches"]) for figures in results)
    print(f"{len(results)} runs, {failed_count} with a rule broken")
    for figures in results:
        for breach in figures["breaches"][:2]:
            print(
                f"seed {figures['seed']}: rule {breach['rule']} at {breach['ms']:.1f} ms: {breach['what']}"
            )
    return 1 if failed_count else 0


def median_and_range(values):
    """Return median, minimum and maximum as text."""
    values = [value for value in values if value is not None]
    if not values:
        return "-"
    low, middle, high = min(values), statistics.median(values), max(values)
    return (
        format_value(middle)
        if low == high
        else f"{format_value(middle)} ({format_value(low)}..{format_value(high)})"
    )


def load_cells(path):
    """Return the cells of a saved sweep; a saved run is one cell."""
    with open(path, "rb") as source:
        saved = orjson.loads(source.read())
    return (
        saved["cells"]
        if "cells" in saved
        else [{"name": saved["policy"], "runs": [saved]}]
    )


def compare(one, other):
    """Print the saved results of two runs or sweeps in one table."""
    lines = []
    for side, path in (("1", one), ("2", other)):
        for cell in load_cells(path):
            lines.append(
                [
                    f"{side} {cell['name']}",
                    *(
                        median_and_range(
                            [summary_row(figures)[what] for figures in cell["runs"]]
                        )
                        for what in COLUMNS
                    ),
                ]
            )
    print(f"1: {one}\n2: {other}")
    print("\n".join(table_lines(["median (range)", *COLUMNS], lines)))
    return 0
