"""What is done for each client or by the clock with so many connections open, where no machine lets one process have as
many descriptors: a proxy's own lines, fed sessions that no socket stands behind."""

import time

from wheathill.lab.scale import fit
from wheathill.lab.scale.table import proxy, timed
from wheathill.model import Listener, Session
from wheathill.net.client import Client
from wheathill.net.open_request import OpenRequest

FOR = 2.0  # s of processor time, at most, for each figure
MOST = 2000  # of what is timed


def at_connections(count, say):
    here, loop = proxy()
    listener = Listener("any")
    try:
        for number in range(count):
            take(here, listener, number)
        here.sweep()
        found = {
            "connections": count,
            "sweep_ms": timed(here.sweep, times=5),
            "a_handshake_ids_ms": ids(here, listener, count),
        }
    finally:
        loop.close()
    say(
        f"{count:6} connections: {found['a_handshake_ids_ms']:.4f} ms at the ids of each that comes, "
        f"{found['sweep_ms']:.3f} ms a sweep, so {found['sweep_ms'] * 1000 / here.limits.sweep_interval_ms / 10:.2f}% of a core"
    )
    return found


def take(here, listener, number):
    """Open, as far as the ids and the sweep know."""
    sess = Session(listener, f"k{number}", 0.0)
    client = here.clients[sess] = Client(None, here, here.limits, here.clock)
    client.session = sess
    here.session_ids[f"id{number}"] = sess
    return sess


def ids(here, listener, count):
    """Mean ms of `record_session_id` for each that comes."""
    begun, done = time.process_time(), 0
    while done < MOST and time.process_time() - begun < FOR:
        sess = Session(listener, "k", 0.0)
        here.clients[sess] = None
        here.record_session_id(OpenRequest(b"OPEN new%d k c=any" % done), sess)
        done += 1
    return 1000 * (time.process_time() - begun) / done


def measure(counts, *, say):
    found = [at_connections(count, say) for count in counts]
    points = [(one["connections"], one["sweep_ms"]) for one in found]
    return {
        "by_connections": found,
        "sweep_ms": fit.grown(points, counts[-1], ("constant", "linear")),
    }
