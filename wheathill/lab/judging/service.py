"""Time to full service: from the end of a fault, or the last start after it, until the share of sessions that are set up
is within a hundredth of what it was in the second before the fault, over every second of the next five.

Faults that begin before those before them have ended and been quiet for a while are one: what they cost can't be told
apart.
"""

from bisect import bisect_left

STEP, SECOND, STAYS, QUIET = 250.0, 1000.0, 5000.0, 6000.0
WITHIN = 0.01


class Served:
    """Sessions asked for, by when, and whether they were set up."""

    def __init__(self):
        self.when, self.well = [], []

    def add(self, now):
        self.when.append(now)
        self.well.append(False)
        return len(self.when) - 1

    def share(self, start, end):
        """Of those asked for in [start, end), None where there were none."""
        first, last = bisect_left(self.when, start), bisect_left(self.when, end)
        return sum(self.well[first:last]) / (last - first) if last > first else None

    def back(self, since, until, wanted):
        """ms after `since` until it is `wanted` and stays so; None where it is not before `until`."""
        good_from, start = None, since
        while start + SECOND <= until:
            share = self.share(start, start + SECOND)
            if share is not None and share < wanted - WITHIN:
                good_from = None
            elif good_from is None:
                good_from = start
            if good_from is not None and start + SECOND - good_from >= STAYS:
                return good_from - since
            start += STEP
        return None


def faults(events):
    """(when the first of a group began, when the last of it was over or its last proxy had started)."""
    groups = []
    for now, kind, fields in events:
        if (
            kind in ("event", "event over")
            or kind == "host"
            and fields["state"] == "up"
            and groups
        ):
            if groups and now - groups[-1][1] < QUIET:
                groups[-1][1] = now
            elif kind == "event":
                groups.append([now, now])
    return groups


def full_service(events, until):
    """For each group of faults: {"from_ms", "over_ms", "share" before, "back_ms" (None: not seen), "listeners":
    {name: ms}}."""
    served, by_listener, of = Served(), {}, {}
    for now, kind, fields in events:
        if kind == "open" and not fields["mid"]:
            mine = by_listener.setdefault(fields["listener"], Served())
            of[fields["sess"]] = served.add(now), mine, mine.add(now)
        elif kind == "answer" and fields["word"] == "UP" and fields["sess"] in of:
            place, mine, own = of[fields["sess"]]
            served.well[place] = mine.well[own] = True
    found = []
    groups = faults(events)
    for place, (start, end) in enumerate(groups):
        last = groups[place + 1][0] if place + 1 < len(groups) else until
        before = served.share(start - SECOND, start)
        if before is None or last - end < SECOND + STAYS:
            continue
        found.append(
            {
                "from_ms": round(start),
                "over_ms": round(end),
                "share": round(before, 4),
                "back_ms": served.back(end, last, before),
                "listeners": {
                    name: each.back(end, last, each.share(start - SECOND, start) or 0.0)
                    for name, each in sorted(by_listener.items())
                },
            }
        )
    return found
