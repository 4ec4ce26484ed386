"""How the figures of a fleet grow with its size: runs of several sizes, fits, and the largest size told before it is
run."""

from dataclasses import replace

from wheathill.lab.scale import fit, fleet

FIGURES = {
    "bytes_per_s": "bytes a second",
    "messages_per_s": "messages a second",
    "core_share": "share of a core",
    "memory_mb": "MB",
}


def points_of(runs):
    return {
        name: [(run["members"], run[name]["mean"]) for run in runs if run[name]["mean"]]
        for name in FIGURES
    }


def fitted(runs):
    """{figure: fits, the best first}"""
    return {
        name: fit.fits(points)
        for name, points in points_of(runs).items()
        if len(points) >= 2
    }


def predict(runs, size):
    """{figure: what the best fit over `runs` says of `size`}"""
    return {name: found[0].at(size) for name, found in fitted(runs).items()}


def lines(runs):
    for name, found in fitted(runs).items():
        points = ", ".join(
            f"{size}: {value:.6g}" for size, value in points_of(runs)[name]
        )
        yield f"{FIGURES[name]}: {points}"
        for each in found:
            yield f"  {each.form:<9} {each.base:.4g} + {each.slope:.4g} x, residual {each.residual:.1%}"


def play(sizes, plan, stretches, say):
    """`stretches`: {size: rate of time} where it is not the plan's. The largest size is predicted, and that is said,
    before it is run."""
    runs = []
    for size in sizes[:-1]:
        runs.append(one(size, plan, stretches, say))
    predicted = predict(runs, sizes[-1]) if len(runs) >= 2 else {}
    for name, value in predicted.items():
        say(
            f"predicted for {sizes[-1]}: {value:.6g} {FIGURES[name]} ({fitted(runs)[name][0].form})"
        )
    runs.append(one(sizes[-1], plan, stretches, say))
    errors = {
        name: round(value / runs[-1][name]["mean"] - 1.0, 4)
        for name, value in predicted.items()
        if runs[-1][name]["mean"]
    }
    return {
        "sizes": list(sizes),
        "runs": runs,
        "predicted": predicted,
        "error": errors,
        "fits": {
            name: [each.told() for each in found]
            for name, found in fitted(runs).items()
        },
    }


def one(size, plan, stretches, say):
    return fleet.play(
        replace(
            plan,
            members=size,
            zones=min(plan.zones, size),
            rate=stretches.get(size, plan.rate),
        ),
        say,
    )
