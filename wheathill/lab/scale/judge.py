"""What a run of hollow proxies shows, judged from outside: plain functions over what was recorded. Times in the fleet's
seconds."""


def spread(values, digits=4):
    """{"mean", "p50", "p99", "max"}, these by nearest rank, of None where there are no values."""
    ordered = sorted(values)
    if not ordered:
        return {"mean": None, "p50": None, "p99": None, "max": None}

    def rank(share):
        return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], digits)

    return {
        "mean": round(sum(ordered) / len(ordered), digits),
        "p50": rank(0.50),
        "p99": rank(0.99),
        "max": round(ordered[-1], digits),
    }


def largest_sum(changes):
    """Of all shares together at any time; `changes`: (when, by how much the sum changed) in any order, those of one
    moment together."""
    at = {}
    for when, by in changes:
        at[when] = at.get(when, 0.0) + by
    total = most = 0.0
    for when in sorted(at):
        total += at[when]
        most = max(most, total)
    return most


class Cut:
    """One region from `began` to `ended`, or none. `out`: only what leaves it is lost."""

    def __init__(self, layout, region, began, ended, out=False):
        self.layout, self.region, self.began, self.ended, self.out = (
            layout,
            region,
            began,
            ended,
            out,
        )

    def parts(self, one, other):
        return self.region is not None and (self.layout.region(one) == self.region) != (
            self.layout.region(other) == self.region
        )

    def since(self, one, other, when):
        """From when on `other` can have heard what `one` said first at `when`."""
        silent = self.parts(one, other) and (
            not self.out or self.layout.region(one) == self.region
        )
        return self.ended if silent and self.began <= when < self.ended else when


def changes_in_force(changes, told, began, cut, end, within):
    """Of each change and member that ran at the end: how long after it could have had it, it had it.

    `changes`: {server: (member it was issued at, when)}; `told`: {member: {server: when}}; `began`: {member: start of its
    process}; `within`: seconds in which one that could have it has to. Returns {"in_force": seconds each, "lacked":
    members that lacked one at the end, after that time, "late": [server, member, since when, how long] of the pairs that
    took longer, "open": pairs that had not had the time."""
    in_force, lacked, late, still = [], {}, [], 0
    for server, (issuer, when) in changes.items():
        for member, start in began.items():
            since = max(cut.since(issuer, member, when), start)
            got = told.get(member, {}).get(server)
            if got is not None:
                took = max(0.0, got - since)
                in_force.append(took)
                if took > within:
                    late.append([server, member, round(since, 2), round(took, 2)])
            elif end - since >= within:
                lacked[member] = None
            else:
                still += 1
    return {"in_force": in_force, "lacked": list(lacked), "late": late, "open": still}


def deaths_known(known, gone, began, cut, same):
    """(seconds until each that runs knew of each that is gone, how many never did). `known`: {(member, dead): when};
    `gone`: {dead: when}; `same(member, dead)`: whether it has to know, as in one zone."""
    took, never = [], 0
    for dead, when in gone.items():
        for member, start in began.items():
            if start > when or not same(member, dead):
                continue
            found = known.get((member, dead))
            if found is None:
                never += 1
                continue
            parted = (
                cut.parts(member, dead)
                and cut.began <= found
                and when < cut.ended <= found
            )
            took.append(max(0.0, found - (cut.ended if parted else when)))
    return took, never


def opened_anew(opens, changes, starts, cut, within):
    """Of sessions that servers were asked for: how many came to a drained one later than `within` after their proxy
    could have had the drain, and which drained servers had had none before.

    `opens`: [(server, proxy, when)]; `changes` as above; `starts`: {proxy: starts of its processes, in order}."""
    late, before = [], dict.fromkeys(changes, 0)
    for server, proxy, when in opens:
        if server not in changes:
            continue
        issuer, issued = changes[server]
        if when < issued:
            before[server] += 1
            continue
        began = max((start for start in starts[proxy] if start <= when), default=0.0)
        since = max(cut.since(issuer, proxy, issued), began)
        if when > since + within:
            late.append([server, proxy, round(when - since, 2)])
    return {
        "opened_anew": len(late),
        "opened_anew_first": late[:5],
        "never_in_use": [server for server, count in before.items() if not count],
    }
