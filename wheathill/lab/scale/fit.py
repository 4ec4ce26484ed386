"""How a figure grows with the size of a fleet: constant, with the logarithm, linear or with the square, fitted by least
squares; each is a + b * f(n)."""

import math

FORMS = {"constant": lambda n: 0.0, "log": math.log, "linear": float, "square": lambda n: float(n) * n}


class Fit:
    """`residual`: root of the mean square of (fitted / measured - 1) over the points, so that small sizes count as much
    as large ones; weighted likewise."""

    def __init__(self, form, points):
        self.form, f = form, FORMS[form]
        # Weighted by 1 / y: the relative error is what is made small.
        rows = [(1.0 / y, f(n) / y) for n, y in points]
        s11, s12 = sum(a * a for a, _ in rows), sum(a * b for a, b in rows)
        s22, t1, t2 = sum(b * b for _, b in rows), sum(a for a, _ in rows), sum(b for _, b in rows)
        whole = s11 * s22 - s12 * s12
        if form == "constant" or abs(whole) < 1e-18 * s11 * s22:
            self.base, self.slope = t1 / s11, 0.0
        else:
            self.base, self.slope = (t1 * s22 - t2 * s12) / whole, (t2 * s11 - t1 * s12) / whole
        self.residual = math.sqrt(sum((self.at(n) / y - 1.0) ** 2 for n, y in points) / len(points))

    def at(self, n):
        return self.base + self.slope * FORMS[self.form](n)

    def told(self):
        return {"form": self.form, "base": self.base, "slope": self.slope, "residual": round(self.residual, 4)}


def fits(points):
    """All forms, the one that fits best first; `points`: [(size, figure over 0)], two at the least. A form with a falling
    or negative line is no cost, and comes last."""
    found = [Fit(form, points) for form in FORMS]
    return sorted(found, key=lambda fit: (fit.slope < 0 or fit.base < 0 and fit.at(points[0][0]) <= 0, fit.residual))
