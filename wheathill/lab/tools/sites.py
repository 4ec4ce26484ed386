"""Generates random sites: deployments in the file format of the operators' bench.

Their settings occur together in no available site, so that they show overfitting to the
available ones. The same seed gives the same text on any machine. Ranges follow the
operators' page on site files.
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


class SiteGenerator:
    """Draws the settings of one site. The values depend on the order of the calls."""

    def __init__(self, seed):
        self.random_source = random.Random(f"site/{seed}")
        self.pick, self.sample = self.random_source.choice, self.random_source.sample

    def integer(self, low, high):
        """Draw an integer, both bounds included."""
        return self.random_source.randint(low, high)

    def number(self, low, high):
        """Draw a number with three significant digits."""
        return round_to_3_digits(self.random_source.uniform(low, high))

    def number_range(self, low, high):
        """Draw a range within [low, high].

        Its ends stay apart, so that the days of the site differ.
        """
        middle = self.random_source.uniform(0.25, 0.75)
        return [
            round_to_3_digits(
                low + (high - low) * self.random_source.uniform(0, middle * 0.6)
            ),
            round_to_3_digits(
                high - (high - low) * self.random_source.uniform(0, (1 - middle) * 0.6)
            ),
        ]

    def is_chosen(self, share):
        """Return True with this probability."""
        return self.random_source.random() < share

    def shares(self, count):
        """Draw shares that sum to about 1, none of them tiny."""
        weights = [self.random_source.uniform(0.4, 1.6) for _ in range(count)]
        return [round_to_3_digits(weight / sum(weights)) for weight in weights]


def round_to_3_digits(value):
    """Round to three significant digits; whole numbers become integers."""
    value = float(f"{value:.3g}")
    return int(value) if value == int(value) else value


def site_tables(seed):
    """Yield (header, table) of a site in the order of its file."""
    draw = SiteGenerator(seed)
    zones = list(ZONES[: draw.integer(1, 4)])
    probes = draw.is_chosen(0.5)
    reports = (
        draw.pick(["probe", "probe", "none"])
        if probes
        else draw.pick(["answers", "none"])
    )
    mode = draw.pick(["pass", "proxy"])
    polls_discovery = draw.is_chosen(0.3)
    servers = draw.integer(9, 12)
    balancers = max(len(zones), draw.integer(2, 4))
    # Every deadline leaves time for a second dial after the first one has timed out.
    connect_timeout = draw.pick([200, 250, 400])
    yield "", {"name": f"drawn-{seed}", "family": "conn", "wire": "wire.json"}
    yield (
        "[day]",
        {
            "length_s": [40, 52],
            "tick_ms": draw.pick([2, 4]),
            "max_requests": 50000,
            "troubles": [2, draw.pick([2.99, 3.99])],
            "in_step": draw.pick([True, False]),
            "start_spread_ms": draw.number_range(100, 1200),
        },
    )
    yield (
        "[scale]",
        {
            "servers": [servers, servers + draw.integer(1, 3)],
            "balancers": [balancers, balancers],
            "big_servers": [servers + 3, servers + draw.integer(5, 8)],
            "big_balancers": [balancers, balancers + 2],
            "twin_servers": servers,
            "twin_balancers": balancers,
        },
    )
    yield (
        "[load]",
        {
            "quiet": draw.number_range(0.15, 0.3),
            "trouble": draw.number_range(0.26, 0.42),
            "overload": draw.number_range(0.56, 0.76),
            "big": draw.number_range(0.26, 0.44),
            "shape": sorted(draw.sample(["steady", "bursty", "ramp", "wave"], 2)),
            "swing": draw.number_range(0.15, 0.4),
            "zone_skew": draw.number_range(0.05, 0.45),
            "hints": "none",
            "worth_by": "request",
            "over_share_worth": draw.pick([0.1, 0.2, 0.3]),
            "quota_of_capacity": draw.number_range(0.6, 0.95),
        },
    )
    yield (
        "[net]",
        {
            "zones": zones,
            "same_ms": draw.number_range(0.1, 0.4),
            "cross_ms": draw.number_range(*draw.pick([(0.5, 2), (3, 6), (7, 14)])),
            "client_ms": draw.number_range(0.3, 1.5),
            "jitter": draw.number_range(0.06, 0.35),
            "server_skew": draw.number_range(0.1, 0.6),
        },
    )
    yield "[front]", {"entry": "front", "notice_s": draw.number_range(0.9, 3.6)}
    yield (
        "[clients]",
        {
            "retries": [draw.integer(0, 1), 2.99],
            "try_share": 1,
            "backoff": draw.pick(["fixed", "exp"]),
            "honour": draw.number_range(0.3, 1),
            "backoff_ms": draw.number_range(25, 300),
            "max_retry_after_ms": draw.pick([800, 1500, 2000]),
            "impatient": [0, draw.pick([0.01, 0.04])],
            "marks_retry": draw.pick([True, False]),
        },
    )
    yield (
        "[discovery]",
        {
            "mode": "ask" if polls_discovery else "push",
            "notice_s": draw.number_range(0.9, 4.5),
            "silent_notice_s": draw.number_range(5, 12),
            "add_s": draw.number_range(0.3, 2.6),
            "period_ms": draw.number_range(150, 1300),
            "spread_ms": draw.number_range(50, 500),
            **(
                {
                    "capacity": draw.number_range(1.1, 2),
                    "call_lines": draw.number_range(20, 60),
                    "timeout_ms": 1000,
                }
                if polls_discovery
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
            "retry_after": draw.is_chosen(0.8),
            "max_attempts": draw.integer(2, 6),
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
            "waste": draw.number(0.04, 0.2),
            "probe": 0.002 if probes else 0,
            "peer": 0,
            "late_fail": draw.number(0.03, 0.09),
            "moves": draw.number(0.01, 0.04),
        },
    )
    yield (
        "[[tier]]",
        {
            "name": "stands",
            "cell_size": [3, draw.integer(4, 8)],
            "weights": draw.pick(["nominal", "rough", "rough", "none"]),
        },
    )
    yield (
        "[tier.report]",
        {
            "how": reports,
            "fields": sorted(draw.sample(FIELDS, draw.integer(2, 4)))
            if reports != "none"
            else [],
            "period_ms": draw.number_range(50, 600),
            "delay_ms": draw.number_range(8, 140),
            "noise": draw.number_range(0.02, 0.2),
        },
    )
    yield (
        "[tier.conn]",
        {
            "streams": 1,
            "handshake_rtts": [1, draw.integer(2, 3)],
            "handshake_us": draw.number_range(800, 4000),
            "idle_s": draw.pick([3, 10, 30]),
            "connect_timeout_ms": connect_timeout,
            "cap_per_core": draw.number_range(400, 900),
            "full_tax": draw.number_range(0.05, 0.35),
        },
    )
    yield (
        "[tier.probe]",
        {
            "work_us": draw.number_range(200, 1500),
            "cap_per_core": draw.number_range(3.5, 9),
            "deep": draw.pick([True, False]),
            "timeout_ms": draw.pick([250, 400]),
        },
    )
    kind_count = draw.integer(1, 3)
    warm_by = draw.pick(["time", "requests"])
    for name, share in zip(draw.sample(KINDS, kind_count), draw.shares(kind_count)):
        speed = draw.number(0.7, 2)
        yield (
            "[[tier.kind]]",
            {
                "name": name,
                "share": share,
                "cores": draw.integer(2, 5),
                "speed": [
                    round_to_3_digits(speed * 0.88),
                    round_to_3_digits(speed * 1.15),
                ],
                "speed_cv": draw.number_range(0.03, 0.22),
                "slots_per_core": draw.pick([1, 8, 16]),
                "queue_per_core": draw.number_range(200, 600),
                "thrash": draw.number_range(0.1, 0.28),
                "thrash_at": draw.number_range(3, 8),
                "cold_from": draw.number_range(0.12, 0.35),
                "cold_s": draw.number_range(9, 22),
                "warm_by": warm_by,
                "pause_ms": [0, draw.integer(20, 120)],
                "error_rate": [0, 0.002],
                "cancel": ["none", "queued"],
                "drops_expired": draw.is_chosen(0.5),
            },
        )
    listener_count = draw.integer(1, 5)
    for name, share in zip(
        draw.sample(LISTENERS, listener_count), draw.shares(listener_count)
    ):
        target_ms = draw.pick([250, 300, 500, 800])
        yield (
            "[[class]]",
            {
                "name": name,
                "share": share,
                "work_ms": draw.number_range(2.5, 16),
                "dist": draw.pick(["lognormal", "exp"]),
                "cv": draw.number_range(0.5, 1.6),
                "attempt_noise": draw.number_range(0.08, 0.55),
                "aim_ms": target_ms,
                "deadline_ms": max(
                    target_ms * draw.integer(2, 6), 2 * connect_timeout + 200
                ),
                "worth": draw.pick([1, 2, 5, 12]),
                # Only this effect is accepted here; short days set other effects themselves.
                "late_worth": 0,
                "effect": "safe",
                "stream": True,
            },
        )
    tenant_count = draw.integer(1, 6)
    for name, share in zip(TENANTS, draw.shares(tenant_count)):
        yield (
            "[[tenant]]",
            {"name": name, "share": share, "usage": draw.number_range(0.5, 1.4)},
        )
    for name in sorted(draw.sample(sorted(TROUBLES), draw.integer(3, 5))):
        yield "[[trouble]]", {"name": name, **TROUBLES[name]}
    yield (
        "[fam]",
        {
            "mode": mode,
            "per_core": draw.number_range(15, 45),
            "cap": draw.number_range(1.6, 4),
            "life_s": draw.number_range(24, 200),
            "sheds": draw.pick(["none", "newest", "heaviest"]),
            "rejoin_ms": draw.number_range(60, 1800),
            "store_headroom": draw.pick([4, 8, 20]),
            "group_cost": draw.pick([0, 1.5, 2, 3]),
            "goaway": draw.pick(["none", "paced", "at_once"]),
            "tells_load": draw.pick([True, False]),
        },
    )
    for _ in range(listener_count):
        yield (
            "[[fam.class]]",
            {
                "load": draw.pick([1, [0.2, 0.5], [2, 4]]),
                "life": draw.pick([1, [0.3, 1]]),
                "load_sigma": draw.number_range(0.3, 1.4),
                "swing_sigma": draw.number_range(0.2, 0.9),
                "change_s": draw.number_range(4, 20),
                "idle": draw.number_range(0.01, 0.45),
                "message_ms": draw.pick([50, 60, 100, 250]),
            },
        )


def toml_value(value):
    """Return a value as TOML."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(map(toml_value, value)) + "]"
    return repr(value)


def site_text(seed):
    """Return the file of the site with this seed."""
    lines = [
        f"# Drawn by `wheathill lab draw-site --seed {seed}`; no figure in it was measured anywhere."
    ]
    for header, table in site_tables(seed):
        lines += [
            *(["", header] if header else []),
            *(f"{key} = {toml_value(value)}" for key, value in table.items()),
        ]
    return "\n".join(lines) + "\n"
