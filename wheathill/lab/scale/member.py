"""One real proxy of a fleet under test: the very daemon, by an operator's file, in a process of its own.

`python -m wheathill.lab.scale.member` takes the orders of a process of hollow proxies. Two things stand between the
daemon and its surroundings: the ways to other members are shaped where its peers meet their sockets, and its clock is
the fleet's. What it is told and what it takes of limits is noted on the way to it.
"""

import os
import random
import signal
from dataclasses import replace
from functools import partial

import wheathill.peers
from wheathill import daemon
from wheathill.config import operator
from wheathill.lab.scale.hollow import Crew, Hollow, StretchedClock, acquaint, main
from wheathill.lab.scale.layout import Layout
from wheathill.lab.scale.memory import resident_mb
from wheathill.lab.scale.operators_file import operators_file
from wheathill.lab.scale.shape import Shape, ShapedCarrier
from wheathill.log_events import LogEvent
from wheathill.net.log import EventLog


class Member(Hollow):
    """The proxy of this process; `peers` is its instance among the others."""

    def start(self, wait=0.0, together=None, full=False, process=1):
        """`process`: how many have run under this name, this one with them."""
        self.starts, self.told = process, {}
        self.clock = self.crew.clock
        self.began = self.clock.now()
        self.together, self.full = together, full
        self.clock.after(wait, self.serve)

    def serve(self):
        daemon.Clock = lambda loop: StretchedClock(loop, self.crew.clock.rate)
        wheathill.peers.create_peer_service = partial(
            self.join, wheathill.peers.create_peer_service
        )
        node = daemon.raise_descriptor_limit(
            operator.read_operator_config(self.crew.path)
        )
        self.crew.log_line = EventLog(
            node.name,
            node.limits.max_queued_log_lines,
            os.open(os.devnull, os.O_WRONLY),
        )
        serving = self.crew.loop.create_task(
            daemon.serve(
                node, self.log, lambda: operator.read_operator_config(self.crew.path)
            )
        )
        serving.add_done_callback(
            lambda task: self.log(
                LogEvent.INTERNAL_ERROR, what=repr(task.exception() or "it has ended")
            )
        )

    def join(self, create, told, environment, _generation, meant):
        layout, crew, proxy = self.crew.layout, self.crew, environment.proxy
        takes, on_peer_update = proxy.balancer.on_quota_changed, proxy.on_peer_update

        def on_quota_changed(now, share):
            self.takes(now, share)
            takes(now, share)

        def told_of(server, phase, born):
            self.told_of(server.name, phase, born)
            on_peer_update(server, phase, born)

        proxy.balancer.on_quota_changed, proxy.on_peer_update = (
            on_quota_changed,
            told_of,
        )
        if crew.shape:
            carrier = ShapedCarrier(environment.transport, crew.shape, self.number)
            environment = replace(environment, transport=carrier)
        self.peers = create(
            told,
            environment,
            layout.generation(self.number, self.starts),
            meant,
        )
        if self.together:
            acquaint(self.peers, layout, self.number, self.together, self.full)
        return self.peers


class Process(Crew):
    """The crew of one."""

    def do_build(
        self,
        layout,
        number,
        rate,
        loss,
        shaped,
        region,
        out,
        path,
        key_path,
        sockets,
        servers,
    ):
        layout["ways"] = tuple(layout["ways"])
        self.layout = Layout(**layout)
        self.clock = StretchedClock(self.loop, rate)
        rng = random.Random(f"{self.layout.seed}/member {number}")
        self.random = rng.random
        self.shape = Shape(self.layout, self.clock, rng, loss) if shaped else None
        if region is not None:
            self.shape.set_cut(region, out)
        self.path, self.key_path, self.sockets, self.servers = (
            path,
            key_path,
            sockets,
            servers,
        )
        self.members = {number: Member(self, number)}
        self.write()

    def write(self):
        """Its file, as its list is now."""
        (number,) = self.members
        layout = self.layout
        text = operators_file(
            layout.name(number),
            "%s:%d" % layout.door(number),
            [{"name": "all", "repeat": "repeatable"}],
            self.servers,
            layout.members,
            layout.told(number),
            self.key_path,
            limits={"sockets": self.sockets},
        )
        with open(self.path + ".new", "w") as out:
            out.write(text)
        os.rename(self.path + ".new", self.path)

    def do_start(self, process, wait, together=False, full=False):
        (hollow,) = self.members.values()
        hollow.start(
            wait * self.random() * self.layout.period,
            together and range(self.layout.members),
            full,
            process,
        )
        return self.clock.now()

    def do_ready(self):
        """Whether the daemon takes clients."""
        return bool(self.running())

    def do_change(self, number, change):
        """Its operator writes into its file that a server drains, and has it read again."""
        name = f"change-{change}"
        self.servers = [
            [server, where, "draining" if server == name else state]
            for server, where, state in self.servers
        ]
        self.write()
        os.kill(os.getpid(), signal.SIGHUP)
        hollow = self.members[number]
        self.clock.after(0.0, self.issued, hollow, name)
        return self.clock.now()

    def issued(self, hollow, name):
        """By its own list, which peers don't tell it."""
        entry = hollow.peers.server_updates.listed_entry(name)
        hollow.told_of(name, entry.phase, entry.process_start_ms)

    def do_last(self):
        """What it has shown, right before it is killed: its share ends with it."""
        for hollow in self.members.values():
            hollow.takes(self.clock.now(), 0.0)
        return self.do_judged()

    def do_memory(self):
        return {"all": resident_mb()}


if __name__ == "__main__":
    main(Process)
