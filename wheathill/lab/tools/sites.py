"""Draws a site: a deployment as the operators' bench reads it, with settings that no deployment at hand has together.

What is fitted to the sites at hand would go unseen on them; a drawn one shows it. The same seed gives the same text, on
any machine. Ranges keep to what the operators' page on site files says.
"""

import random

ZONES = ("quay", "mill", "ford", "heath")
LISTENERS = ("ticker", "ledger", "signal", "roster", "parley")
TENANTS = ("ash", "beech", "cedar", "dogwood", "elm", "fir")
KINDS = ("narrow", "plain", "wide")
FIELDS = ("inflight", "queue", "util", "latency_ms", "qps", "x0", "x1")
TROUBLES = {
    "vanish": {"len_s": [10, 25], "part": [0.05, 0.2]},
    "slow": {"len_s": [10, 30], "part": [0.05, 0.25], "size": [2, 8]},
    "fast_errors": {"len_s": [6, 25], "part": [0.05, 0.2], "size": [0.3, 0.9]},
    "heavy_tail": {"len_s": [10, 28], "size": [6, 25], "extra": [0.006, 0.03]},
    "discovery_down": {"len_s": [5, 20]},
    "balancer_crash": {"len_s": [1, 7], "part": [0.1, 0.5]},
    "shared_slow": {"len_s": [4, 13], "size": [1.3, 2.8]},
    "origin_slow": {"len_s": [5, 18], "size": [2, 7]},
    "reconnect": {"len_s": [3, 0.5], "size": [0.2, 0.55]},
}


class Draw:
    """Figures of one site, in the order in which they are asked for."""

    def __init__(self, seed):
        self.chance = random.Random(f"site/{seed}")
        self.pick, self.sample = self.chance.choice, self.chance.sample

    def among(self, low, high):
        """A whole number, both ends included."""
        return self.chance.randint(low, high)

    def figure(self, low, high):
        return rounded(self.chance.uniform(low, high))

    def span(self, low, high):
        """A range within [low, high]; its ends stay apart, so that days of the site differ."""
        middle = self.chance.uniform(0.25, 0.75)
        return [
            rounded(low + (high - low) * self.chance.uniform(0, middle * 0.6)),
            rounded(high - (high - low) * self.chance.uniform(0, (1 - middle) * 0.6)),
        ]

    def chosen(self, share):
        return self.chance.random() < share

    def parts(self, count):
        """Shares that sum to about 1, none of them tiny."""
        found = [self.chance.uniform(0.4, 1.6) for _ in range(count)]
        return [rounded(part / sum(found)) for part in found]


def rounded(value):
    """To three digits; whole numbers as such."""
    value = float(f"{value:.3g}")
    return int(value) if value == int(value) else value


def site(seed):
    """The tables of a site, in the order of its file."""
    draw = Draw(seed)
    zones = list(ZONES[: draw.among(1, 4)])
    probes = draw.chosen(0.5)
    reports = (
        draw.pick(["probe", "probe", "none"])
        if probes
        else draw.pick(["answers", "none"])
    )
    mode = draw.pick(["pass", "proxy"])
    asked = draw.chosen(0.3)
    servers = draw.among(9, 12)
    balancers = max(len(zones), draw.among(2, 4))
    # No deadline is so short that a second dial has no use once a first one never came up.
    connect = draw.pick([200, 250, 400])
    yield "", {"name": f"drawn-{seed}", "family": "conn", "wire": "wire.json"}
    yield (
        "[day]",
        {
            "length_s": [40, 52],
            "tick_ms": draw.pick([2, 4]),
            "max_requests": 50000,
            "troubles": [2, draw.pick([2.99, 3.99])],
            "in_step": draw.pick([True, False]),
            "start_spread_ms": draw.span(100, 1200),
        },
    )
    yield (
        "[scale]",
        {
            "servers": [servers, servers + draw.among(1, 3)],
            "balancers": [balancers, balancers],
            "big_servers": [servers + 3, servers + draw.among(5, 8)],
            "big_balancers": [balancers, balancers + 2],
            "twin_servers": servers,
            "twin_balancers": balancers,
        },
    )
    yield (
        "[load]",
        {
            "quiet": draw.span(0.15, 0.3),
            "trouble": draw.span(0.26, 0.42),
            "overload": draw.span(0.56, 0.76),
            "big": draw.span(0.26, 0.44),
            "shape": sorted(draw.sample(["steady", "bursty", "ramp", "wave"], 2)),
            "swing": draw.span(0.15, 0.4),
            "zone_skew": draw.span(0.05, 0.45),
            "hints": "none",
            "worth_by": "request",
            "over_share_worth": draw.pick([0.1, 0.2, 0.3]),
            "quota_of_capacity": draw.span(0.6, 0.95),
        },
    )
    yield (
        "[net]",
        {
            "zones": zones,
            "same_ms": draw.span(0.1, 0.4),
            "cross_ms": draw.span(*draw.pick([(0.5, 2), (3, 6), (7, 14)])),
            "client_ms": draw.span(0.3, 1.5),
            "jitter": draw.span(0.06, 0.35),
            "server_skew": draw.span(0.1, 0.6),
        },
    )
    yield "[front]", {"entry": "front", "notice_s": draw.span(0.9, 3.6)}
    yield (
        "[clients]",
        {
            "retries": [draw.among(0, 1), 2.99],
            "try_share": 1,
            "backoff": draw.pick(["fixed", "exp"]),
            "honour": draw.span(0.3, 1),
            "backoff_ms": draw.span(25, 300),
            "max_retry_after_ms": draw.pick([800, 1500, 2000]),
            "impatient": [0, draw.pick([0.01, 0.04])],
            "marks_retry": draw.pick([True, False]),
        },
    )
    yield (
        "[discovery]",
        {
            "mode": "ask" if asked else "push",
            "notice_s": draw.span(0.9, 4.5),
            "silent_notice_s": draw.span(5, 12),
            "add_s": draw.span(0.3, 2.6),
            "period_ms": draw.span(150, 1300),
            "spread_ms": draw.span(50, 500),
            **(
                {
                    "capacity": draw.span(1.1, 2),
                    "call_lines": draw.span(20, 60),
                    "timeout_ms": 1000,
                }
                if asked
                else {}
            ),
        },
    )
    yield (
        "[allow]",
        {
            "probes": probes,
            "peers": False,
            "cancel": True,
            "second_copies": False,
            "retry_after": draw.chosen(0.8),
            "max_attempts": draw.among(2, 6),
            "cpu_ms_per_s": draw.pick([20, 60, 400]),
        },
    )
    yield (
        "[rules]",
        {
            "drain_grace_ms": draw.pick([300, 500, 1000, 2000]),
            "fall_multiple": draw.pick([2, 3, 4]),
            "fall_ms": draw.pick([1000, 2000, 3000]),
        },
    )
    yield (
        "[goal]",
        dict(
            zip(
                ("whole", "worst_window", "worst_class", "worst_tenant"),
                draw.pick(
                    [(0.45, 0.05, 0.4, 0.1), (0.35, 0.35, 0.2, 0.1), (0.6, 0.2, 0.2, 0)]
                ),
            )
        ),
    )
    yield (
        "[prices]",
        {
            "cross_zone": draw.pick([0.01, 0.03, 0.1]),
            "waste": draw.figure(0.04, 0.2),
            "probe": 0.002 if probes else 0,
            "peer": 0,
            "late_fail": draw.figure(0.03, 0.09),
            "moves": draw.figure(0.01, 0.04),
        },
    )
    yield (
        "[[tier]]",
        {
            "name": "stands",
            "cell_size": [3, draw.among(4, 8)],
            "weights": draw.pick(["nominal", "rough", "rough", "none"]),
        },
    )
    yield (
        "[tier.report]",
        {
            "how": reports,
            "fields": sorted(draw.sample(FIELDS, draw.among(2, 4)))
            if reports != "none"
            else [],
            "period_ms": draw.span(50, 600),
            "delay_ms": draw.span(8, 140),
            "noise": draw.span(0.02, 0.2),
        },
    )
    yield (
        "[tier.conn]",
        {
            "streams": 1,
            "handshake_rtts": [1, draw.among(2, 3)],
            "handshake_us": draw.span(800, 4000),
            "idle_s": draw.pick([3, 10, 30]),
            "connect_timeout_ms": connect,
            "cap_per_core": draw.span(400, 900),
            "full_tax": draw.span(0.05, 0.35),
        },
    )
    yield (
        "[tier.probe]",
        {
            "work_us": draw.span(200, 1500),
            "cap_per_core": draw.span(3.5, 9),
            "deep": draw.pick([True, False]),
            "timeout_ms": draw.pick([250, 400]),
        },
    )
    kinds = draw.among(1, 3)
    warm_by = draw.pick(["time", "requests"])
    for name, share in zip(draw.sample(KINDS, kinds), draw.parts(kinds)):
        speed = draw.figure(0.7, 2)
        yield (
            "[[tier.kind]]",
            {
                "name": name,
                "share": share,
                "cores": draw.among(2, 5),
                "speed": [rounded(speed * 0.88), rounded(speed * 1.15)],
                "speed_cv": draw.span(0.03, 0.22),
                "slots_per_core": draw.pick([1, 8, 16]),
                "queue_per_core": draw.span(200, 600),
                "thrash": draw.span(0.1, 0.28),
                "thrash_at": draw.span(3, 8),
                "cold_from": draw.span(0.12, 0.35),
                "cold_s": draw.span(9, 22),
                "warm_by": warm_by,
                "pause_ms": [0, draw.among(20, 120)],
                "error_rate": [0, 0.002],
                "cancel": ["none", "queued"],
                "drops_expired": draw.chosen(0.5),
            },
        )
    listeners = draw.among(1, 5)
    for name, share in zip(draw.sample(LISTENERS, listeners), draw.parts(listeners)):
        aim = draw.pick([250, 300, 500, 800])
        yield (
            "[[class]]",
            {
                "name": name,
                "share": share,
                "work_ms": draw.span(2.5, 16),
                "dist": draw.pick(["lognormal", "exp"]),
                "cv": draw.span(0.5, 1.6),
                "attempt_noise": draw.span(0.08, 0.55),
                "aim_ms": aim,
                "deadline_ms": max(aim * draw.among(2, 6), 2 * connect + 200),
                "worth": draw.pick([1, 2, 5, 12]),
                # No other effect is taken here; short days state some themselves.
                "late_worth": 0,
                "effect": "safe",
                "stream": True,
            },
        )
    tenants = draw.among(1, 6)
    for name, share in zip(TENANTS, draw.parts(tenants)):
        yield "[[tenant]]", {"name": name, "share": share, "usage": draw.span(0.5, 1.4)}
    for name in sorted(draw.sample(sorted(TROUBLES), draw.among(3, 5))):
        yield "[[trouble]]", {"name": name, **TROUBLES[name]}
    yield (
        "[fam]",
        {
            "mode": mode,
            "per_core": draw.span(15, 45),
            "cap": draw.span(1.6, 4),
            "life_s": draw.span(24, 200),
            "sheds": draw.pick(["none", "newest", "heaviest"]),
            "rejoin_ms": draw.span(60, 1800),
            "store_headroom": draw.pick([4, 8, 20]),
            "group_cost": draw.pick([0, 1.5, 2, 3]),
            "goaway": draw.pick(["none", "paced", "at_once"]),
            "tells_load": draw.pick([True, False]),
        },
    )
    for _ in range(listeners):
        yield (
            "[[fam.class]]",
            {
                "load": draw.pick([1, [0.2, 0.5], [2, 4]]),
                "life": draw.pick([1, [0.3, 1]]),
                "load_sigma": draw.span(0.3, 1.4),
                "swing_sigma": draw.span(0.2, 0.9),
                "change_s": draw.span(4, 20),
                "idle": draw.span(0.01, 0.45),
                "message_ms": draw.pick([50, 60, 100, 250]),
            },
        )


def toml(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    return repr(value)


def text(seed):
    """The file of the site that `seed` draws."""
    lines = [
        f"# Drawn by `wheathill lab draw-site --seed {seed}`; no figure in it was measured anywhere."
    ]
    for head, table in site(seed):
        lines += [
            *(["", head] if head else []),
            *(f"{key} = {toml(value)}" for key, value in table.items()),
        ]
    return "\n".join(lines) + "\n"
