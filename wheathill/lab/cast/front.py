"""Simulated front: the load balancer that spreads client connections over the proxies of a zone.

It starts to use a proxy once that has answered PING with PONG, and notices only after a
delay that one has died.
"""

from wheathill.net.line_buffer import CRLF
from wheathill.net.protocol_machine import ProtocolMachine

PING_TIMEOUT_MS = 500.0


class Front:
    """Spreads client connections over the proxies, in turn or by shares.

    Args:
        host: the host to connect from.
        limits: size and time limits of the connections.
        record: the record of the run.
        notice_ms: the delay after which the death of a proxy is noticed.
        ping_interval_ms: the delay after which a proxy is asked again.
        shares: proxy name -> relative share of the connections; false to use the
            proxies in turn.
        chance: random source of the choice by shares.

    Attributes:
        proxies: name -> (zone, address) of each proxy that was added.
        in_use: name of each proxy that gets connections -> number of the admission.
        admissions: how often a proxy was taken into use.
        turn: counter that selects the next proxy.
    """

    def __init__(
        self, host, limits, record, notice_ms, ping_interval_ms, shares, chance
    ):
        self.host = host
        self.limits = limits
        self.clock = host.clock
        self.record = record
        self.notice_ms = notice_ms
        self.ping_interval_ms = ping_interval_ms
        self.shares, self.chance = shares, chance
        self.proxies = {}
        self.in_use = {}
        self.admissions = 0
        self.turn = 0

    def add(self, name, zone, address):
        """Add a proxy that has started; it is pinged until it answers."""
        self.proxies[name] = zone, address
        self._ping(name)

    def _ping(self, name):
        Ping(self, name, self.limits, self.clock).start(
            self.host, self.proxies[name][1]
        )

    def on_ping_result(self, name, succeeded):
        """Use the proxy if it has answered the ping, else ping it again later."""
        if succeeded:
            if name not in self.in_use:
                self.admissions += 1
                self.in_use[name] = self.admissions
                self.record.note("front takes", proxy=name)
        else:
            self.clock.after(self.ping_interval_ms, self._ping, name)

    def died(self, name):
        """Drop a proxy that has died just now, after the delay of noticing it."""
        if name in self.in_use:
            self.clock.after(self.notice_ms, self.drop, name, self.in_use[name])

    def drop(self, name, admission=None):
        """Stop using a proxy, unless it has been taken into use anew since `admission`."""
        if name in self.in_use and admission in (None, self.in_use[name]):
            del self.in_use[name]
            self.record.note("front drops", proxy=name)

    def pick(self, zone):
        """Return the proxy for a connection and its address.

        The proxy is one of the zone, or of any zone if that has none in use; None if no
        proxy is in use at all.
        """
        names = [name for name in self.in_use if self.proxies[name][0] == zone] or list(
            self.in_use
        )
        if not names:
            return None
        if self.shares:
            name = self.chance.choices(names, [self.shares[name] for name in names])[0]
        else:
            self.turn += 1
            name = names[self.turn % len(names)]
        return name, self.proxies[name][1]


class Ping(ProtocolMachine):
    """One connection that sends PING to a proxy."""

    def __init__(self, front, name, limits, clock):
        super().__init__(front, limits, clock)
        self.front = front
        self.name = name

    def start(self, host, address):
        """Connect to the proxy."""
        host.dial(self, address)
        self.set_timer(PING_TIMEOUT_MS, self._finish, False)

    def connected(self):
        """Send PING."""
        self.connection.send(b"PING", CRLF)

    def received(self, data):
        """Check the answer."""
        self.lines.feed(data)
        line = self.lines.next_line()
        if line is not None:
            self._finish(line == b"PONG")

    def _finish(self, succeeded):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
            self.connection.abort()
            self.front.on_ping_result(self.name, succeeded)

    def ended(self):
        """Count a closed connection as no answer."""
        self._finish(False)

    def lost(self, reset):
        """Count a lost connection as no answer."""
        self._finish(False)

    def fault(self):
        """Count an exception as no answer."""
        self._finish(False)
