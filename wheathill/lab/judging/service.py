"""Time to full service after a fault.

It is counted from the end of the fault, or from the last process start after it, until the share of sessions that are
set up is within 0.01 of the share in the second before the fault, over every second of the next five.

Faults that begin before the previous ones have ended and been quiet for a while form one group, as their effects can't
be told apart.
"""

from bisect import bisect_left

STEP_MS, WINDOW_MS, STABLE_MS, QUIET_MS = 250.0, 1000.0, 5000.0, 6000.0
SHARE_TOLERANCE = 0.01


class SetupHistory:
    """Times at which sessions were opened, and whether each was set up."""

    def __init__(self):
        self.opened_ms, self.was_set_up = [], []

    def add(self, now):
        """Record a session that is opened now, and return its index."""
        self.opened_ms.append(now)
        self.was_set_up.append(False)
        return len(self.opened_ms) - 1

    def share(self, start, end):
        """Return the share set up of the sessions opened in [start, end), None if there are none."""
        first, last = (
            bisect_left(self.opened_ms, start),
            bisect_left(self.opened_ms, end),
        )
        return (
            sum(self.was_set_up[first:last]) / (last - first) if last > first else None
        )

    def recovery_ms(self, since, until, target_share):
        """Return ms after `since` until the share stays at `target_share`, None if it does not before `until`."""
        good_from, start = None, since
        while start + WINDOW_MS <= until:
            share = self.share(start, start + WINDOW_MS)
            if share is not None and share < target_share - SHARE_TOLERANCE:
                good_from = None
            elif good_from is None:
                good_from = start
            if good_from is not None and start + WINDOW_MS - good_from >= STABLE_MS:
                return good_from - since
            start += STEP_MS
        return None


def fault_groups(events):
    """Return [start, end] of each group of faults; it ends with its last fault or its last process start."""
    groups = []
    for now, kind, fields in events:
        if (
            kind in ("event", "event over")
            or kind == "host"
            and fields["state"] == "up"
            and groups
        ):
            if groups and now - groups[-1][1] < QUIET_MS:
                groups[-1][1] = now
            elif kind == "event":
                groups.append([now, now])
    return groups


def full_service(events, until):
    """Return the recovery after each group of faults, as plain data for the report.

    Each is {"from_ms", "over_ms", "share" before the fault, "back_ms" (None: not reached), "listeners": {name: ms}}.
    """
    all_sessions, by_listener, indexes = SetupHistory(), {}, {}
    for now, kind, fields in events:
        if kind == "open" and not fields["mid"]:
            of_listener = by_listener.setdefault(fields["listener"], SetupHistory())
            indexes[fields["sess"]] = (
                all_sessions.add(now),
                of_listener,
                of_listener.add(now),
            )
        elif kind == "answer" and fields["word"] == "UP" and fields["sess"] in indexes:
            index, of_listener, listener_index = indexes[fields["sess"]]
            all_sessions.was_set_up[index] = of_listener.was_set_up[listener_index] = (
                True
            )
    results = []
    groups = fault_groups(events)
    for group_index, (start, end) in enumerate(groups):
        last = groups[group_index + 1][0] if group_index + 1 < len(groups) else until
        share_before = all_sessions.share(start - WINDOW_MS, start)
        if share_before is None or last - end < WINDOW_MS + STABLE_MS:
            continue
        results.append(
            {
                "from_ms": round(start),
                "over_ms": round(end),
                "share": round(share_before, 4),
                "back_ms": all_sessions.recovery_ms(end, last, share_before),
                "listeners": {
                    name: history.recovery_ms(
                        end, last, history.share(start - WINDOW_MS, start) or 0.0
                    )
                    for name, history in sorted(by_listener.items())
                },
            }
        )
    return results
