"""Plays the proxy's cores without sessions: membership, the store, and fleets of zones.

Prints one core's figures as JSON: ``shown``, a few for a reader, and all others, to be
compared to the digit. They are numbers, truth values, digests and the lab's names of
instances, so that a renaming in the package leaves them as they are.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import astuple
from typing import Any

from wheathill.lab.cores.fleets import Fleet
from wheathill.lab.cores.membership_cluster import MembershipCluster, measure_detection
from wheathill.lab.cores.store_cluster import NO_LIMITS, run_random_faults
from wheathill.store.eviction import StoreLimits

Found = dict[str, Any]

# Zone -> (region, members).
ZONES = {"a1": ("a", 4), "a2": ("a", 3), "b1": ("b", 4), "c1": ("c", 3)}


def play_members(seed: int) -> Found:
    """Deaths found under loss, and a cluster that is split, paused and mended."""
    kills = measure_detection(12, 0.05, [seed, seed + 10], observe_s=20.0)
    machines = measure_detection(20, 0.25, [seed], kills=2, do_hosts_vanish=True)
    cluster = MembershipCluster(
        8, seed, faults={"loss": 0.05, "duplication": 0.1, "reordering": 0.1}
    )
    names = list(cluster.hosts)
    cluster.run(10)
    cluster.faults.partition(names[:3], names[3:])
    cluster.run(20)
    cluster.faults.heal()
    cluster.pause(names[4])
    cluster.run(10)
    cluster.resume(names[4])
    cluster.kill(names[5])
    cluster.run(20)
    cluster.start(names[5])
    cluster.run(20)
    return {
        "shown": [*astuple(kills), *astuple(machines)],
        "sent": [instance.sent for instance in cluster.instances.values()],
        "carried": [cluster.faults.sent, cluster.faults.lost],
        "false": [astuple(death) for death in cluster.false_deaths],
        "suspected": cluster.false_suspicions,
        "found": list(cluster.deaths_found_ms.values()),
        "agreed": cluster.has_converged(),
    }


def play_store(seed: int) -> Found:
    """Random changes and faults at five copies, with room and with little."""
    few = StoreLimits(max_entries=8, max_bytes=NO_LIMITS.max_bytes)
    shown, digests = [], []
    for first, limits in ((seed * 100, NO_LIMITS), (seed * 100 + 50, few)):
        for each in range(first, first + 8):
            ended = run_random_faults(each, limits=limits)
            cluster = ended.cluster
            sent = [cluster.faults.sent, cluster.sent_bytes]
            shown.append([ended.has_converged, *sent])
            digests.append([str(digest) for digest in ended.digests.values()])
    return {"shown": shown, "digests": digests}


def play_zones(seed: int) -> Found:
    """Zones under restarts, cuts and loss, then a drain issued at one member."""
    fleet = Fleet(ZONES, seed, loss=0.02)
    fleet.start_all()
    settled_s = fleet.run_until(fleet.has_converged, 60.0)
    rest = fleet.rates(5.0)
    fleet.inject_random_faults(20.0)
    fleet.cut(fleet.names_in_region("b"))
    fleet.run(5.0)
    fleet.cut(fleet.names_in_region("b"), on=False)
    agreed_s = fleet.run_until(fleet.has_converged, 90.0)
    issued_ms = fleet.change("s1", next(iter(fleet.peers)))
    fleet.run(10.0)
    return {
        "shown": [
            settled_s,
            agreed_s,
            fleet.largest_quota_sum,
            len(fleet.quota_overruns),
        ],
        "rates": [list(rates) for rates in rest.values()],
        "after": [list(rates) for rates in fleet.rates(5.0).values()],
        "in force": fleet.propagation_times_s("s1", issued_ms),
        "noted": [[line[0], line[1]] for line in fleet.lines],
    }


CORES: dict[str, Callable[[int], Found]] = {
    "cores/members": play_members,
    "cores/store": play_store,
    "cores/zones": play_zones,
}


if __name__ == "__main__":
    print(json.dumps(CORES[sys.argv[1]](int(sys.argv[2]))))
