"""Who is where in a fleet under test: names, addresses, zones and regions, and how far they are apart. Every process
of a run works out the same from the same few numbers."""

import random
import socket
from dataclasses import dataclass
from functools import cache

from wheathill.config.errors import ConfigurationError
from wheathill.config.peers import PeerSettings, ZoneLayout, ZoneSettings

PORT = 19_700
SEEDS = 3
A_HOST = 250  # members for each of the third numbers of an address


@cache
def generation(seed, number, start):
    return random.Random(f"{seed}/{number}/birth {start}").getrandbits(48) | 1


@dataclass(frozen=True)
class Layout:
    """`members` over `zones` in turn, and zones over `regions` in turn. `net`: second number of all addresses.
    `part`: of a way between two, one way, in ms: within a zone, within a region, least and most between regions."""

    members: int
    zones: int
    regions: int
    net: int
    seed: int
    period: float
    patience: float
    servers: int
    changes: int
    zoned: bool
    ways: tuple = (0.5, 2.5, 40.0, 100.0)

    def name(self, number):
        return f"p{number:04d}"

    def number(self, name):
        return int(name[1:])

    def zone(self, number):
        return number % self.zones

    def region(self, number):
        return self.zone(number) % self.regions

    def host(self, number):
        return f"127.{self.net}.{number // A_HOST}.{number % A_HOST + 1}"

    def number_at(self, host):
        _, _, third, last = host.split(".")
        return int(third) * A_HOST + int(last) - 1

    def where(self, number):
        return self.host(number), PORT

    def address(self, number):
        return f"{self.host(number)}:{PORT}"

    def door(self, number):
        """Where a real one takes clients."""
        return self.host(number), PORT + 1

    def stands(self):
        """The host of stand-in servers, which is no member's."""
        return f"127.{self.net}.254.1"

    def generation(self, number, start):
        """No two processes have one; `start` counts those under this name."""
        return generation(self.seed, number, start)

    def told(self, number):
        """As the operator's file would tell it. Seeds are the first of all, or of its zone."""
        zone = self.zone(number)
        more = {"zone": f"z{zone + 1}", "layout": self.of_zones()} if self.zoned else {}
        seeds = self.seeds(
            range(zone, self.members, self.zones) if self.zoned else range(self.members)
        )
        return PeerSettings(
            name=self.name(number),
            cluster="scale",
            listen=self.where(number),
            advertise_address=self.address(number),
            seeds=seeds,
            shared_key=b"the scale test's own key",
            expected_members=(),
            control_socket_path=None,
            probe_interval_ms=self.period,
            probe_timeout_ms=self.patience,
            **more,
        )

    def seeds(self, numbers):
        return tuple(self.address(seed) for seed in numbers[:SEEDS])

    @cache
    def of_zones(self):
        """What each member is told of all zones; the same object for all of a process."""
        found = []
        for zone in range(self.zones):
            numbers = range(zone, self.members, self.zones)
            part = len(numbers) / self.members
            found.append(
                ZoneSettings(
                    f"z{zone + 1}",
                    f"r{zone % self.regions + 1}",
                    len(numbers),
                    self.seeds(numbers),
                    part,
                    part,
                )
            )
        return ZoneLayout(1, tuple(found))

    def distance(self):
        """(region, region) -> ms one way, the same in every process of a run; within one the region's own."""
        _, near, least, most = self.ways
        rng = random.Random(f"{self.seed}/ways")
        found = {(region, region): near for region in range(self.regions)}
        for one in range(self.regions):
            for other in range(one):
                found[one, other] = found[other, one] = rng.uniform(least, most)
        return found


def region_of(text, layout, option="--cut"):
    """The number of region `rN`; raises ConfigurationError."""
    for region in range(layout.regions):
        if text == f"r{region + 1}":
            return region
    raise ConfigurationError(f"{option}: {text!r} is none of r1 to r{layout.regions}")


def zone_of(text, layout, option="--kill-zone"):
    for zone in range(layout.zones):
        if text == f"z{zone + 1}":
            return zone
    raise ConfigurationError(f"{option}: {text!r} is none of z1 to z{layout.zones}")


def free_net(first):
    """(second number of loopback addresses that no other run uses, the socket that holds it)."""
    for step in range(200):
        net = 20 + (first + step) % 200
        held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            held.bind((f"127.{net}.255.254", PORT))
            return net, held
        except OSError:
            held.close()
    raise ConfigurationError("no loopback addresses are free")
