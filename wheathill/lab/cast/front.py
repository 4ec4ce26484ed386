"""A stand-in for the front: deals clients' connections out to the proxies of a zone. It takes a proxy in once
that has answered PING with PONG, and notices only after a while that one has died."""

from wheathill.net.line_buffer import CRLF
from wheathill.net.protocol_machine import ProtocolMachine


class Front:
    def __init__(self, host, limits, record, notice, ask_every, shares, chance):
        """`shares`: name -> what it gets beside the others, where they are not dealt to in turn."""
        self.host = host
        self.limits = limits
        self.clock = host.clock
        self.record = record
        self.notice = notice
        self.ask_every = ask_every
        self.shares, self.chance = shares, chance
        self.proxies = {}  # name -> (zone, address)
        self.taking = {}  # those that are dealt to -> which of their starts
        self.starts = 0
        self.turn = 0

    def add(self, name, zone, address):
        """A proxy that has started: asked until it answers."""
        self.proxies[name] = zone, address
        self.ask(name)

    def ask(self, name):
        Asker(self, name, self.limits, self.clock).start(
            self.host, self.proxies[name][1]
        )

    def answered(self, name, well):
        if well:
            if name not in self.taking:
                self.starts += 1
                self.taking[name] = self.starts
                self.record.note("front takes", proxy=name)
        else:
            self.clock.after(self.ask_every, self.ask, name)

    def died(self, name):
        """Told of a death at once by who stages it; it acts on it late."""
        if name in self.taking:
            self.clock.after(self.notice, self.drop, name, self.taking[name])

    def drop(self, name, start=None):
        """Unless it has started anew meanwhile."""
        if name in self.taking and start in (None, self.taking[name]):
            del self.taking[name]
            self.record.note("front drops", proxy=name)

    def pick(self, zone):
        """(proxy, its address), dealt in turn or by shares within the zone, or in any zone when it has none; None if no
        proxy is there at all."""
        names = [name for name in self.taking if self.proxies[name][0] == zone] or list(
            self.taking
        )
        if not names:
            return None
        if self.shares:
            name = self.chance.choices(names, [self.shares[name] for name in names])[0]
        else:
            self.turn += 1
            name = names[self.turn % len(names)]
        return name, self.proxies[name][1]


class Asker(ProtocolMachine):
    """One PING."""

    def __init__(self, front, name, limits, clock):
        super().__init__(front, limits, clock)
        self.front = front
        self.name = name

    def start(self, host, address):
        host.dial(self, address)
        self.set_timer(500.0, self.over, False)

    def connected(self):
        self.connection.send(b"PING", CRLF)

    def received(self, data):
        self.lines.feed(data)
        line = self.lines.next_line()
        if line is not None:
            self.over(line == b"PONG")

    def over(self, well):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
            self.connection.abort()
            self.front.answered(self.name, well)

    def ended(self):
        self.over(False)

    def lost(self, reset):
        self.over(False)

    def fault(self):
        self.over(False)
