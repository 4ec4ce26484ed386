"""Simulated discovery service: one agent per proxy that sends the endpoint list over HTTP.

Agents send changes with a delay. They can lose their connections, restart with another
version, move to another address, become unreachable or send wrong entries.
"""

import orjson

from wheathill.net.line_buffer import CRLF
from wheathill.net.protocol_machine import ProtocolMachine


class Registry:
    """The true state of the servers, versioned; agents learn of each change with a delay.

    Args:
        clock: schedules the delayed changes.
        record: the record of the run.
        delay_ms: the delay after which agents learn of a change.
        heartbeat_interval_ms: the interval at which agents send an empty line.

    Attributes:
        seq: the current version.
        entries: server name -> its entry as on the wire, but without an address.
        agents: proxy name -> its `Agent`.
    """

    def __init__(self, clock, record, delay_ms, heartbeat_interval_ms):
        self.clock = clock
        self.record = record
        self.delay_ms = delay_ms
        self.heartbeat_interval_ms = heartbeat_interval_ms
        self.seq = 1
        self.entries = {}
        self.agents = {}

    def set(self, name, late=None, **fields):
        """Change an entry, and tell every agent after `late` ms or the usual delay."""
        self.entries[name] = {**self.entries.get(name, {"host": name}), **fields}
        self.seq += 1
        change = self.seq, dict(self.entries[name])
        for agent in self.agents.values():
            self.clock.after(
                self.delay_ms if late is None else late, agent.learn, *change
            )


class Agent:
    """The discovery agent that one proxy watches.

    Args:
        name: the name of the proxy.
        registry: the state of the servers.
        host: the host to listen on.
        limits: size and time limits of the connections.
        dial: maps (server name, proxy name) to the address of the server.

    Attributes:
        entries: server name -> its entry, as this agent has learned so far.
        seq: the version of these entries.
        down: whether the agent sends nothing, as it is unreachable.
        moves: how often the agent has moved to another address.
        stale: the servers whose drain was over when the agent reported it, until it
            reports the end.
        watches: the open watches.
    """

    def __init__(self, name, registry, host, limits, dial):
        self.name = name
        self.registry = registry
        self.limits = limits
        self.host = host
        self.entries = dict(registry.entries)
        self.seq = registry.seq
        self.dial = dial
        self.down = False
        self.moves = 0
        self.stale = {}
        registry.agents[name] = self
        self.listen()

    def listen(self):
        """Accept connections on the current host, without any watch so far."""
        self.watches = {}
        self.host.listen(self._accept)

    def _accept(self, wire, peer):
        return self.host.tap(Watch(self, self.limits, self.host.clock), wire)

    def with_address(self, entry):
        """Return an entry with the address at which this proxy reaches the server."""
        return {**entry, "dial": self.dial(entry["host"], self.name)}

    def known(self):
        """Return the snapshot that the agent would send now."""
        hosts = [self.with_address(entry) for entry in self.entries.values()]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    def learn(self, seq, entry):
        """Apply a change of the registry and send it to the watches."""
        name = entry["host"]
        self.seq = max(self.seq + 1, seq)
        self.entries[name] = entry
        if entry.get("health") == "gone":
            self.entries.pop(name)
        self.send_delta([entry])

    def send_delta(self, entries):
        """Send entries to all watches, unless the agent is unreachable."""
        if not self.down:
            for watch in list(self.watches):
                watch.send_entries(False, entries)

    def note_sent(self, entries, whole):
        """Record which states of servers are being sent to the proxy.

        A drain that is over by the registry is recorded as stale.
        """
        sent = [(entry["host"], entry["health"]) for entry in entries]
        for entry in entries:
            if (
                entry["born_ms"]
                and entry["health"] == "ready"
                and entry["born_ms"] == self.registry.entries[entry["host"]]["born_ms"]
            ):
                self.registry.record.note(
                    "told start", proxy=self.name, server=entry["host"]
                )
        for name, health in sent:
            if health != "ready":
                is_stale = (
                    health == "draining"
                    and self.registry.entries[name]["health"] == "ready"
                )
                if is_stale:
                    self.stale[name] = None
                self.registry.record.note(
                    "told",
                    proxy=self.name,
                    server=name,
                    health=health,
                    **({"stale": True} if is_stale else {}),
                )
            elif name in self.stale:
                del self.stale[name]
                self.registry.record.note("told over", proxy=self.name, server=name)
        if whole:
            present = [name for name, _ in sent]
            for name in self.registry.entries:
                if (
                    name not in present
                    and self.registry.entries[name].get("health") == "gone"
                ):
                    self.registry.record.note(
                        "told", proxy=self.name, server=name, health="gone"
                    )

    def reset_watches(self):
        """Reset all connections."""
        for watch in list(self.watches):
            watch.connection.abort(reset=True)
            self.watches.pop(watch, None)

    def restart(self):
        """Restart as another process, whose versions start anew."""
        self.reset_watches()
        self.seq = 1

    def set_reachable(self, on):
        """Stop sending, or resume with a snapshot to each watch."""
        self.down = not on
        if on:
            for watch in list(self.watches):
                watch.send_entries(True, list(self.entries.values()))


class Watch(ProtocolMachine):
    """One watch: an HTTP request that is answered by a snapshot and deltas in chunks."""

    def __init__(self, agent, limits, clock):
        super().__init__(agent, limits, clock)
        self.agent = agent
        self.requested = False

    def received(self, data):
        """Answer each request with a snapshot."""
        self.lines.feed(data)
        while (line := self.lines.next_line()) is not None:
            if line.startswith(b"GET "):
                self.requested = True
            elif not line and self.requested:
                self.connection.send(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n"
                )
                self.agent.watches[self] = None
                if not self.agent.down:
                    self.send_entries(True, list(self.agent.entries.values()))
                self.set_timer(
                    self.agent.registry.heartbeat_interval_ms, self._send_heartbeat
                )

    def send_entries(self, whole, entries):
        """Send entries as a snapshot (`whole`) or as a delta."""
        self.agent.note_sent(entries, whole)
        hosts = [self.agent.with_address(entry) for entry in entries]
        self._send_chunk(
            orjson.dumps({"seq": self.agent.seq, "whole": whole, "hosts": hosts})
            + b"\n"
        )

    def _send_chunk(self, body):
        self.connection.send(b"%x" % len(body), CRLF, body, CRLF)

    def _send_heartbeat(self):
        self.set_timer(self.agent.registry.heartbeat_interval_ms, self._send_heartbeat)
        if not self.agent.down:
            self._send_chunk(b"\n")

    def _finish(self):
        self.agent.watches.pop(self, None)
        if self.timer:
            self.timer.cancel()

    def ended(self):
        """End the watch when the proxy closes the connection."""
        self._finish()
        self.connection.close_gracefully()

    def lost(self, reset):
        """End the watch when the connection is lost."""
        self._finish()

    def fault(self):
        """End the watch after an exception."""
        self._finish()
