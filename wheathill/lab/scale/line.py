"""Slopes: which simple form a few (size, figure) points follow, and what it says of another size."""

import math

# Each is 1 or a function of the size beside a constant, in order of simplicity.
FORMS = {"constant": None, "log": math.log, "linear": float, "square": lambda size: float(size) * size}
NO_WORSE = 0.5          # a form that is less simple has to lower the residual to so much of the simpler one's


def fitted(points, forms=tuple(FORMS)):
    """Least squares of each form; the simplest that no other beats clearly. `points` are (size, figure); the residual
    is the root of the mean square over the mean figure, and says nothing where there are as many points as numbers."""
    found = None
    for form in forms:
        if form != "constant" and len(points) < 3:
            continue
        one = one_form(points, form)
        if found is None or one["residual"] < NO_WORSE * found["residual"]:
            found = one
    return found


def one_form(points, form):
    xs = [0.0 if FORMS[form] is None else FORMS[form](size) for size, _ in points]
    ys = [figure for _, figure in points]
    x_mean, y_mean = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - x_mean) ** 2 for x in xs)
    slope = sum((x - x_mean) * (y - y_mean) for x, y in zip(xs, ys)) / spread if spread else 0.0
    start = y_mean - slope * x_mean
    off = math.sqrt(sum((start + slope * x - y) ** 2 for x, y in zip(xs, ys)) / len(ys))
    return {"form": form, "start": start, "slope": slope, "residual": off / abs(y_mean) if y_mean else 0.0}


def at(fit, size):
    """What the fit says of another size."""
    return fit["start"] + (0.0 if FORMS[fit["form"]] is None else fit["slope"] * FORMS[fit["form"]](size))


def predicted(points, forms=tuple(FORMS)):
    """The largest size's figure by the fit of those below it, and by what part that is off."""
    *below, (size, figure) = sorted(points)
    if len(below) < 2:
        return None
    said = at(fitted(below, forms) if len(below) > 2 else one_form(below, "linear"), size)
    return {"size": size, "predicted": said, "measured": figure, "error": (said - figure) / figure if figure else None}
