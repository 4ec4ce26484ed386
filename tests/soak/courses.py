"""Draws scripts of the lab in which planned restarts meet other disruptions.

Each seed gives one script, the same on any machine. The settings are drawn too, above
all dial timeouts on both sides of what the platform waits at a planned restart.
"""

import random
from typing import Any

from wheathill.lab.judging.judges import Breach
from wheathill.lab.scripts import language
from wheathill.lab.scripts.run import play
from wheathill.net.proxy import Proxy

SECONDS = 18.0
# Restarts begin when sessions have been set up, and end before the script does.
FIRST_RESTART_S = 4.0
RESTART_INTERVAL_S = 4.5
# Half of the disruptions begin this close to a restart, the others anywhere.
CLOSE_S = 0.05
PROXIES = ("n1", "n2")
ZONES = ("east", "west")
UPGRADE_SHARE = 0.25
DIAL_TIMEOUTS_MS = (300.0, 800.0, 2000.0, 3000.0, 3200.0, 4800.0, 8000.0)
EFFECTS: tuple[dict[str, Any], ...] = (
    {"repeat": "repeatable"},
    {"repeat": "once-only"},
    {"repeat": "referenced", "scope": "cell", "window_s": 30},
    {"repeat": "referenced", "scope": "all", "window_s": 0.6},
)
# A cold server bears what the rule allows, N, and 3 times its root and 3 more. N, at 4
# times the capacity, is 8 at the least here, so that it falls over at 10 times.
COLD_SERVER_FALLS_OVER = 10.0
# What happens to a server, weighted by how often it appears here.
SERVER_DISRUPTIONS = ("pause", "pause", "silent", "kill", "drain", "erring")
# Servers that hang together do so from this long before a restart on.
HANG_BEFORE_S = 0.5
HANG_TOGETHER_SHARE = 0.4
SHORTEST_S, LONGEST_S = 1.0, 6.0
OTHER_DISRUPTIONS: tuple[dict[str, Any], ...] = (
    {"do": "list-unreachable", "for_s": 3.0},
    {"do": "list-torn"},
    {"do": "store-slower", "factor": 30.0, "for_s": 3.0},
    {"do": "herd", "share": 0.5},
    {
        "do": "cut",
        "on": "clients",
        "word": "OPEN",
        "bytes": 3,
        "wait_ms": 300,
        "times": 20,
    },
)


class CourseGenerator:
    """Draws the parts of one script; the values depend on the order of the calls."""

    def __init__(self, seed: int) -> None:
        self.source = random.Random(f"restarts/{seed}")
        self.server_count = self.source.randint(3, 8)
        self.restarts_s = [
            FIRST_RESTART_S + RESTART_INTERVAL_S * index
            for index in range(len(PROXIES))
        ]

    def listeners(self) -> list[dict[str, Any]]:
        """Returns one to three listeners."""
        return [
            {
                "name": f"listener-{number}",
                "dial_timeout_ms": self.source.choice(DIAL_TIMEOUTS_MS),
                "handshake_target_ms": 250.0,
                **self.source.choice(EFFECTS),
            }
            for number in range(self.source.randint(1, 3))
        ]

    def proxies(self) -> dict[str, Any]:
        """Returns the settings that all proxies share."""
        return {
            "count": len(PROXIES),
            "probes": self.source.random() < 0.7,
            "packets_pass": self.source.random() < 0.3,
            "dials": self.source.randint(1, 5),
            "connect_ms": self.source.choice((100.0, 500.0, 1500.0)),
        }

    def clients(self, listeners: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Returns a group of clients for each listener."""
        return [
            {
                "name": f"clients-{number}",
                "listener": listener["name"],
                "count": self.source.randint(20, 50),
                "life_s": self.source.choice((2.0, 6.0)),
                "rest_s": 0.3,
                "retry": self.source.choice(("at once", "wait", "never")),
                "leaves": self.source.choice((0.0, 0.05)),
            }
            for number, listener in enumerate(listeners)
        ]

    def moment_s(self) -> float:
        """Returns when a disruption begins."""
        restart_s = self.source.choice(self.restarts_s)
        if self.source.random() < 0.5:
            return restart_s + self.source.uniform(-CLOSE_S, CLOSE_S)
        return restart_s + self.source.uniform(-1.0, 3.0)

    def restarts(self, held_socket: bool) -> list[dict[str, Any]]:
        """Returns what ends each proxy in turn: planned restarts, or upgrades.

        The lab holds the listening sockets where a script has an upgrade, so a restart
        beside an upgrade is one with a held socket.
        """
        kind = "proxy-upgrade" if self.source.random() < UPGRADE_SHARE else "proxy-roll"
        kinds = ("proxy-roll", "proxy-upgrade") if held_socket else (kind, kind)
        return [
            {"do": kind, "on": proxy, "at_s": restart_s}
            for kind, proxy, restart_s in zip(
                kinds, PROXIES, self.restarts_s, strict=True
            )
        ]

    def server_disruptions(self) -> list[dict[str, Any]]:
        """Returns disruptions of up to half of the servers, one for each."""
        numbers = range(1, self.server_count + 1)
        chosen = self.source.sample(numbers, self.source.randint(1, len(numbers) // 2))
        if self.source.random() < HANG_TOGETHER_SHARE:
            return self.hanging_servers(chosen)
        return [self.server_disruption(f"g{number}") for number in chosen]

    def hanging_servers(self, numbers: list[int]) -> list[dict[str, Any]]:
        """Returns servers that hang together through a restart."""
        begins_s = self.source.choice(self.restarts_s)
        begins_s -= self.source.uniform(0.0, HANG_BEFORE_S)
        return [
            {
                "do": "pause",
                "on": f"g{number}",
                "at_s": begins_s,
                "for_s": self.source.uniform(SHORTEST_S, LONGEST_S),
            }
            for number in numbers
        ]

    def server_disruption(self, server: str) -> dict[str, Any]:
        """Returns one disruption of a server."""
        kind = self.source.choice(SERVER_DISRUPTIONS)
        event = {"do": kind, "on": server, "at_s": self.moment_s()}
        if kind != "drain":
            event["for_s"] = self.source.uniform(SHORTEST_S, LONGEST_S)
        return event

    def other_disruptions(self) -> list[dict[str, Any]]:
        """Returns none to two disruptions that concern no single server."""
        chosen = self.source.sample(OTHER_DISRUPTIONS, self.source.randint(0, 2))
        return [{**event, "at_s": self.moment_s()} for event in chosen]


def course(seed: int, held_socket: bool = False) -> dict[str, Any]:
    """Returns the values of the script with this seed.

    With `held_socket` the platform holds the listening socket over a planned restart.
    """
    draw = CourseGenerator(seed)
    listeners = draw.listeners()
    return {
        "name": f"restarts-{seed}",
        "about": "Planned restarts and upgrades while servers, lists and clients fail.",
        "seconds": SECONDS,
        "zones": list(ZONES),
        "gateways": [
            {
                "count": draw.server_count,
                "holds": 80,
                "falls_over": COLD_SERVER_FALLS_OVER,
            }
        ],
        "proxies": draw.proxies(),
        "listener": listeners,
        "clients": draw.clients(listeners),
        "event": draw.restarts(held_socket)
        + draw.server_disruptions()
        + draw.other_disruptions(),
    }


def play_course(
    seed: int, held_socket: bool = False, proxy: type[Proxy] = Proxy
) -> list[Breach]:
    """Plays the script with this seed, and returns what the judges found."""
    script = language.parse_script(course(seed, held_socket))
    return play(script, seed, proxy=proxy).breaches
