"""The one helper: drives a Balancer by hand and writes its decisions down as lines.

A trace is compared with the file of its name in tests/traces; `python tests/drive.py` writes
those files anew, for a person to read before they are kept.
"""

import importlib
import pathlib
import random
import sys

from wheathill.model import Listener, ListKind, Outcome, Phase, Server, Session
from wheathill.policy import Balancer

TRACES = pathlib.Path(__file__).parent / "traces"
USUAL = dict(zone=0, proxies=2, report_names=["x0"], may_probe=True, must_ask=False, ask_every=10_000.0,
             drain_grace=500.0, sized=True, start_share=0.2, cold_for=10_000.0,
             cold_multiple=3.0, cold_window=1000.0, most_dials=3, longest_wait=1000.0,
             crossing_price=0.0, move_price=0.0, passes_through=True)


class Drive:
    """Stands in for the carrier of sessions; `loads` answers the probes, None for silence."""

    def __init__(self, seed=1, loads=None, **settings):
        self.lines = []
        self.now = 0.0
        self.alarms = []
        self.loads = loads or {}
        settings.setdefault("may_probe", loads is not None)
        self.names = {}
        self.servers = {}
        self.probes = 0
        self.answers = True
        self.loud = True
        self.balancer = Balancer(self, random.Random(seed), **{**USUAL, **settings})
        self.balancer.on_start(self.now)

    def say(self, text):
        if self.loud:
            self.lines.append(f"{self.now:8.0f} {text}")

    def dial(self, sess, server, time_out):
        self.say(f"{self.names[sess]} dials {server.name} for {time_out:.0f}")

    def refuse(self, sess, come_back_after):
        self.say(f"{self.names[sess]} refused, back after {come_back_after:.0f}")

    def tear_down(self, sess):
        self.say(f"{self.names[sess]} torn down")

    def move(self, sess):
        self.say(f"{self.names[sess]} moved off {sess.server.name}")

    def probe(self, server):
        self.probes += 1
        if not self.answers:
            return
        load = self.loads.get(server.name)
        answer = Outcome.OVERDUE if load is None else Outcome.COMPLETED
        self.balancer.on_probed(self.now, server, answer, [load])

    def follow_list(self, on):
        self.say(f"follows the list: {on}")

    def alarm(self, name, at):
        self.alarms.append((at, len(self.alarms), name))

    def log(self, text):
        self.say(f"log: {text}")

    def list(self, *entries, kind=ListKind.CHANGES):
        """Entries are a name, or (name, phase), or (name, when it started)."""
        found = []
        for entry in entries:
            name, what = entry if isinstance(entry, tuple) else (entry, Phase.READY)
            phase, started = (what, None) if isinstance(what, Phase) else (Phase.READY, what)
            server = self.servers.setdefault(name, Server(name, zone=len(self.servers) % 2))
            found.append((server, phase, 1.0, started))
        self.balancer.on_list(self.now, kind, found)

    def session(self, name, listener=None, key=None, left=2000.0, **more):
        sess = Session(listener or Listener("any"), key or name, self.now + left, **more)
        self.names[sess] = name
        self.balancer.on_session(self.now, sess)
        return sess

    def accept(self, name, **more):
        sess = self.session(name, **more)
        if not sess.ended:
            self.balancer.on_accepted(self.now, sess)
        return sess

    def outcome(self, sess, outcome, closed=False):
        self.say(f"{self.names[sess]}: {outcome.value}")
        self.balancer.on_outcome(self.now, sess, outcome, closed)

    def until(self, then):
        while self.alarms and min(self.alarms)[0] <= then:
            alarm = min(self.alarms)
            self.alarms.remove(alarm)
            self.now = max(self.now, alarm[0])
            self.balancer.on_alarm(self.now, alarm[2])
        self.now = then

    def pass_time(self, then):
        """With sessions that come and go, as these pay for probes."""
        while self.now < then:
            self.until(min(then, self.now + 100.0))
            self.loud, loud = False, self.loud
            sess = self.session(f"passing {self.now:.0f}")
            if not sess.ended:
                self.balancer.on_accepted(self.now, sess)
                self.balancer.on_outcome(self.now, sess, Outcome.COMPLETED, True)
            self.loud = loud

    def ended(self, name):
        return next(sess.ended for sess, known in self.names.items() if known == name)

    def shares(self):
        table = self.balancer.table
        for name, server in sorted(self.servers.items()):
            self.say(f"{name}: {table.current.count(server)} slots, {table.new.count(server)} to come")


def kept(name, lines):
    return (TRACES / f"{name}.txt").read_text().splitlines() == lines


if __name__ == "__main__":
    sys.path.insert(0, str(pathlib.Path(__file__).parent))
    for scenario, run in importlib.import_module("test_policy").SCENARIOS.items():
        (TRACES / f"{scenario}.txt").write_text("\n".join(run()) + "\n")
