"""The real proxy with its parts timed: `python -m wheathill.lab.scale.parts`, as `python -m wheathill`. On SIGUSR1 it
writes what each took since the last time, less what other parts took within it, to the file that SCALE_PARTS names.

Only what runs by the clock is wrapped, a few calls a second, so that timing them costs nothing that shows."""

import gc
import json
import os
import signal
import sys
import time

from wheathill.__main__ import main
from wheathill.net.proxy import Proxy
from wheathill.policy.balancer import Balancer
from wheathill.policy.load_estimator import LoadEstimator
from wheathill.policy.migration import SessionMigrator
from wheathill.policy.probing import ProbeScheduler
from wheathill.policy.slot_table import SlotTable

WRAPPED = {
    Proxy: ("sweep", "log_metrics"),
    Balancer: ("tick",),
    SessionMigrator: ("shed_overloaded_servers",),
    SlotTable: ("finish_transitions", "shift_slots"),
    LoadEstimator: (
        "update_report_corrections",
        "update_capacity_estimate",
        "levels",
    ),
    ProbeScheduler: ("select_due",),
}


class Parts:
    """Processor time by name, of the one thread that serves."""

    def __init__(self):
        self.spent, self.calls = {}, {}
        self.open = []  # what the parts within each took
        self.full = []  # ms of each full collection
        self.since = time.process_time(), time.monotonic()

    def time(self, name, call, *args):
        self.open.append(0.0)
        begun = time.thread_time()
        try:
            return call(*args)
        finally:
            self.took(name, time.thread_time() - begun)

    def took(self, name, spent):
        within = self.open.pop()
        if self.open:
            self.open[-1] += spent
        self.spent[name] = self.spent.get(name, 0.0) + spent - within
        self.calls[name] = self.calls.get(name, 0) + 1

    def wrap(self, kind, method):
        name, call = f"{kind.__name__}.{method}", getattr(kind, method)
        setattr(kind, method, lambda *args: self.time(name, call, *args))

    def collecting(self, phase, told):
        """Full collections hold the loop for as long as they take, which grows with all that is open."""
        if phase == "start":
            self.open.append(0.0)
            self.collect_begun = time.thread_time()
            return
        spent = time.thread_time() - self.collect_begun
        self.took("garbage collection", spent)
        if told["generation"] == 2:
            self.full.append(1000 * spent)

    def tell(self, *_):
        now = time.process_time(), time.monotonic()
        whole, seconds = now[0] - self.since[0], now[1] - self.since[1]
        found = {
            "seconds": seconds,
            "processor_s": whole,
            "full_collections_ms": self.full,
            "parts": {
                name: {"s": spent, "calls": self.calls[name]}
                for name, spent in self.spent.items()
            },
        }
        path = os.environ["SCALE_PARTS"]
        with open(path + ".new", "w") as out:
            json.dump(found, out)
        os.rename(path + ".new", path)
        self.spent, self.calls, self.full, self.since = {}, {}, [], now


def run():
    parts = Parts()
    for kind, methods in WRAPPED.items():
        for method in methods:
            parts.wrap(kind, method)
    gc.callbacks.append(parts.collecting)
    signal.signal(signal.SIGUSR1, parts.tell)
    sys.argv[1:] = []
    return main()


if __name__ == "__main__":
    sys.exit(run())
