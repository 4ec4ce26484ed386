"""A stand-in for discovery: an agent for each proxy, which tells the list and its changes over HTTP, seconds
late, and can be torn off, restarted at another version, moved, out of reach, or wrong."""

import orjson

from wheathill.net.line_buffer import CRLF
from wheathill.net.protocol_machine import ProtocolMachine


class Registry:
    """What is true of the servers, in versions. Agents are told of each change after `late` ms."""

    def __init__(self, clock, record, late, silence):
        self.clock = clock
        self.record = record
        self.late = late
        self.silence = silence  # an empty line is due so often, ms
        self.seq = 1
        self.entries = {}  # name -> entry as it stands on the wire, by any proxy
        self.agents = {}  # proxy name -> Agent

    def set(self, name, late=None, **fields):
        """Changes an entry, and tells every agent of it in its time."""
        self.entries[name] = {**self.entries.get(name, {"host": name}), **fields}
        self.seq += 1
        found = self.seq, dict(self.entries[name])
        for agent in self.agents.values():
            self.clock.after(self.late if late is None else late, agent.learn, *found)


class Agent:
    """What one proxy asks; it has what it has been sent so far."""

    def __init__(self, name, registry, host, limits, dial):
        self.name = name
        self.registry = registry
        self.limits = limits
        self.host = host
        self.entries = dict(registry.entries)
        self.seq = registry.seq
        self.dial = dial  # (server, proxy) -> address
        self.down = False
        self.moves = 0  # how often it has got another address
        self.stale = {}  # servers of which it told a drain that was over by then, until it tells so
        registry.agents[name] = self
        self.listen()

    def listen(self):
        self.watches = {}
        self.host.listen(self.take)

    def take(self, wire, peer):
        return self.host.tap(Watcher(self, self.limits, self.host.clock), wire)

    def addressed(self, entry):
        """An entry with the address by which this proxy reaches the server."""
        return {**entry, "dial": self.dial(entry["host"], self.name)}

    def known(self):
        hosts = [self.addressed(entry) for entry in self.entries.values()]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    def learn(self, seq, entry):
        name = entry["host"]
        self.seq = max(self.seq + 1, seq)
        self.entries[name] = entry
        if entry.get("health") == "gone":
            self.entries.pop(name)
        self.tell([entry])

    def tell(self, entries):
        if not self.down:
            for watch in list(self.watches):
                watch.tell(False, entries)

    def note_told(self, entries, whole):
        told = [(entry["host"], entry["health"]) for entry in entries]
        for entry in entries:
            if (
                entry["born_ms"]
                and entry["health"] == "ready"
                and entry["born_ms"] == self.registry.entries[entry["host"]]["born_ms"]
            ):
                self.registry.record.note(
                    "told start", proxy=self.name, server=entry["host"]
                )
        for name, health in told:
            if health != "ready":
                over = (
                    health == "draining"
                    and self.registry.entries[name]["health"] == "ready"
                )
                if over:
                    self.stale[name] = None
                self.registry.record.note(
                    "told",
                    proxy=self.name,
                    server=name,
                    health=health,
                    **({"stale": True} if over else {}),
                )
            elif name in self.stale:
                del self.stale[name]
                self.registry.record.note("told over", proxy=self.name, server=name)
        if whole:
            present = [name for name, _ in told]
            for name in self.registry.entries:
                if (
                    name not in present
                    and self.registry.entries[name].get("health") == "gone"
                ):
                    self.registry.record.note(
                        "told", proxy=self.name, server=name, health="gone"
                    )

    def tear_off(self):
        for watch in list(self.watches):
            watch.connection.abort(reset=True)
            self.watches.pop(watch, None)

    def restart(self):
        """Another process, which counts its versions anew."""
        self.tear_off()
        self.seq = 1

    def reach(self, on):
        self.down = not on
        if on:
            for watch in list(self.watches):
                watch.tell(True, list(self.entries.values()))


class Watcher(ProtocolMachine):
    """One watch."""

    def __init__(self, agent, limits, clock):
        super().__init__(agent, limits, clock)
        self.agent = agent
        self.asked = False

    def received(self, data):
        self.lines.feed(data)
        while (line := self.lines.next_line()) is not None:
            if line.startswith(b"GET "):
                self.asked = True
            elif not line and self.asked:
                self.connection.send(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n"
                )
                self.agent.watches[self] = None
                if not self.agent.down:
                    self.tell(True, list(self.agent.entries.values()))
                self.set_timer(self.agent.registry.silence, self.still_here)

    def tell(self, whole, entries):
        self.agent.note_told(entries, whole)
        hosts = [self.agent.addressed(entry) for entry in entries]
        self.write(
            orjson.dumps({"seq": self.agent.seq, "whole": whole, "hosts": hosts})
            + b"\n"
        )

    def write(self, body):
        self.connection.send(b"%x" % len(body), CRLF, body, CRLF)

    def still_here(self):
        self.set_timer(self.agent.registry.silence, self.still_here)
        if not self.agent.down:
            self.write(b"\n")

    def over(self):
        self.agent.watches.pop(self, None)
        if self.timer:
            self.timer.cancel()

    def ended(self):
        self.over()
        self.connection.close_gracefully()

    def lost(self, reset):
        self.over()

    def fault(self):
        self.over()
