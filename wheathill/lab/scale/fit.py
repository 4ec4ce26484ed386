"""How a figure grows with a size: constant, with the logarithm, linear or with the square, fitted by least squares; each
is base + slope * f(size). What that says of another size."""

import math

# In order of simplicity.
FORMS = {
    "constant": lambda size: 0.0,
    "log": math.log,
    "linear": float,
    "square": lambda size: float(size) * size,
}
NO_WORSE = 0.5  # a form that is less simple has to lower the residual to so much of the simpler one's


def evenly(figure):
    return 1.0


def relatively(figure):
    """Small sizes count as much as large ones; no figure may be 0."""
    return 1.0 / figure


class Fit:
    """`residual`: root of the mean square of what is off, each times `weight` of its figure; for `evenly` over the mean figure,
    so that both are relative. It says nothing where there are as many points as numbers. `points`: (size, figure)."""

    def __init__(self, form, points, weight=evenly):
        self.form, f = form, FORMS[form]
        rows = [(weight(y) ** 2, f(size), y) for size, y in points]
        whole = sum(w for w, _, _ in rows)
        x_mean, y_mean = (
            sum(w * x for w, x, _ in rows) / whole,
            sum(w * y for w, _, y in rows) / whole,
        )
        spread = sum(w * (x - x_mean) ** 2 for w, x, _ in rows)
        self.slope = (
            sum(w * (x - x_mean) * (y - y_mean) for w, x, y in rows) / spread
            if spread
            else 0.0
        )
        self.base = y_mean - self.slope * x_mean
        off = math.sqrt(
            sum(w * (self.base + self.slope * x - y) ** 2 for w, x, y in rows)
            / len(rows)
        )
        scale = 1.0 if weight is relatively else abs(y_mean)
        self.residual = off / scale if scale else 0.0

    def at(self, size):
        return self.base + self.slope * FORMS[self.form](size)

    def told(self):
        return {
            "form": self.form,
            "base": self.base,
            "slope": self.slope,
            "residual": round(self.residual, 4),
        }


def fits(points):
    """All forms, relatively, the one that fits best first; figures over 0, two points at the least. A form with a falling
    or negative line is no cost, and comes last."""
    found = [Fit(form, points, relatively) for form in FORMS]
    return sorted(
        found,
        key=lambda fit: (
            fit.slope < 0 or fit.base < 0 and fit.at(points[0][0]) <= 0,
            fit.residual,
        ),
    )


def simplest(points, forms=tuple(FORMS)):
    """The simplest form, evenly, that no other beats clearly; of two points only a constant."""
    found = None
    for form in forms if len(points) > 2 else ("constant",):
        one = Fit(form, points)
        if found is None or one.residual < NO_WORSE * found.residual:
            found = one
    return found


def predicted(points, forms=tuple(FORMS)):
    """The largest size's figure by the fit of those below it, and by what part that is off."""
    *below, (size, figure) = sorted(points)
    if len(below) < 2:
        return None
    said = (simplest(below, forms) if len(below) > 2 else Fit("linear", below)).at(size)
    return {
        "size": size,
        "predicted": said,
        "measured": figure,
        "error": (said - figure) / figure if figure else None,
    }


def grown(points, size, forms=tuple(FORMS)):
    """What a tool prints of a figure: its simplest fit, what that says of `size`, and how far the largest was off."""
    line = simplest(points, forms)
    return {
        **line.told(),
        f"at {size}": line.at(size),
        "largest": predicted(points, forms),
    }


def line_of(name, found, size):
    """What `grown` found, for people."""
    largest = found["largest"]
    return (
        f"    {name:34} {found['form']:8} {found['base']:.4g} + {found['slope']:.4g} x, residual "
        f"{100 * found['residual']:.0f}%, at {size}: {found[f'at {size}']:.4g}"
        + (
            f"; largest predicted {largest['predicted']:.4g}, measured {largest['measured']:.4g}"
            if largest
            else ""
        )
    )
