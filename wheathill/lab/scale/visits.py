"""Stand-ins at both ends of the real proxies of a fleet under test: servers that note who opens a session, and visitors
that open one after another at each proxy, exchange lines for a while and go.

`python -m wheathill.lab.scale.visits` takes orders as a process of hollow proxies does. Load is open: a visit begins
when it is due, however the ones before it fare. All times noted are the fleet's.
"""

import random
from collections import Counter
from types import SimpleNamespace

from wheathill.lab.scale.hollow import StretchedClock, main
from wheathill.lab.worlds.host import raise_fault
from wheathill.net.line_buffer import CRLF
from wheathill.net.protocol_machine import ProtocolMachine
from wheathill.net.transport import Transport

LIMITS = SimpleNamespace(
    max_line_bytes=8192,
    receive_buffer_bytes=65536,
    max_sockets=1_000_000,
    reserved_sockets=0,
    listen_backlog=1024,
    accept_batch_size=64,
    accept_pause_ms=10.0,
    keepalive_idle_ms=600_000.0,
    linger_ms=1000.0,
    max_buffered_bytes=65536,
)


class Served(ProtocolMachine):
    """A proxy's connection to the server `name`."""

    def __init__(self, door, name, wire):
        super().__init__(door, LIMITS, door.clock)
        self.name, self.connection = name, wire
        self.proxy = None  # number of the one whose session it is, once it is open

    def received(self, data):
        self.lines.feed(data)
        while (line := self.lines.next_line()) is not None:
            if self.proxy is not None:
                self.connection.send(line, CRLF)
            elif line.startswith(b"OPEN "):
                session = line.split(b" ")[1]
                self.proxy = int(session.partition(b"-")[0])
                self.owner.opens.append((self.name, self.proxy, self.clock.now()))
                self.owner.open_at[self] = None
                self.connection.send(b"UP r", session, CRLF)
            else:
                self.connection.send(b"PONG util=0.3", CRLF)

    def ended(self):
        self.lost(False)
        self.connection.abort()

    def lost(self, reset):
        self.owner.open_at.pop(self, None)

    def fault(self):
        self.lost(True)
        self.connection.abort()


class Visit(ProtocolMachine):
    """One session: opened, a line each `EVERY`, each answered in order, closed after `LASTS`."""

    EVERY, LASTS, PATIENCE = 500.0, 8000.0, 5000.0  # ms

    def __init__(self, door, proxy, number, ends):
        super().__init__(door, LIMITS, door.clock)
        self.proxy, self.number, self.ends = proxy, number, ends
        self.began = self.clock.now()
        self.up = self.over = False
        self.said = self.heard = 0
        self.connection = door.carrier.connect(self, door.proxies[proxy])

    def connected(self):
        self.connection.send(
            b"OPEN %d-%d k%d-%d c=all,d=%d"
            % (self.proxy, self.number, self.proxy, self.number, self.PATIENCE),
            CRLF,
        )

    def received(self, data):
        self.lines.feed(data)
        while not self.over and (line := self.lines.next_line()) is not None:
            word, _, rest = line.partition(b" ")
            if self.up:
                if word == b"MOVE":
                    # At once again, by the proxy's word: to another server.
                    self.end("moved")
                    self.owner.visit(self.proxy, self.ends)
                elif line != b"line %d" % self.heard:
                    self.end("answered out of order")
                else:
                    self.heard += 1
                    self.owner.lines += 1
            elif word == b"UP":
                self.up = True
                self.owner.took.append(self.clock.now() - self.began)
                self.owner.count(self.proxy, "up")
                self.say()
            else:
                self.end("refused" if word == b"BUSY" else "failed")

    def say(self):
        if self.clock.now() >= self.ends:
            return self.end("ended")
        self.connection.send(b"line %d" % self.said, CRLF)
        self.said += 1
        self.set_timer(self.EVERY, self.say)

    def end(self, how):
        if not self.over:
            self.over = True
            self.timer.cancel()
            self.owner.over(self, how)
            self.connection.abort()

    def ended(self):
        self.lost(False)

    def lost(self, reset):
        # Its proxy may have been killed: whoever killed it said so before.
        self.end(
            "died with its proxy"
            if self.proxy in self.owner.down
            else "broken"
            if self.up
            else "failed"
        )

    def fault(self):
        self.end("broken")


class Visits:
    """Of this process: all servers and all visitors."""

    def __init__(self, loop):
        self.loop = loop
        self.counts = Counter()  # faults of this process
        self.late = 0.0
        self.proxies, self.down = {}, {}
        self.opens = []  # (server, proxy, when) of each session that a server was asked for
        self.open_at = {}  # connections that carry one
        self.visits = {}  # that are not over
        self.by_proxy = {}  # number -> how its visits went
        self.took, self.lines, self.last = [], 0, 0

    def call(self, order):
        return getattr(self, "do_" + order.pop("do"))(**order)

    def log(self, event, **fields):
        self.counts[f"{event} {fields.get('what', '')}"] += 1

    def watch(self, due):
        pass  # late answers here are late for visitors only

    def do_build(self, rate, servers, host, seed):
        """Returns "HOST:PORT" of each server."""
        self.clock = StretchedClock(self.loop, rate)
        self.carrier = Transport(self.loop, LIMITS, raise_fault)
        self.random = random.Random(f"{seed}/visits").random
        doors = [
            self.carrier.listen(
                lambda wire, name=name: Served(self, name, wire),
                (host, 0),
                lambda: True,
            )
            for name in servers
        ]
        return ["%s:%d" % door.sock.getsockname() for door in doors]

    def do_begin(self, proxies, sessions):
        """`sessions` a second at each of `proxies`: {number: (host, port)}."""
        self.gap = 1000.0 / sessions
        for number, where in proxies.items():
            self.proxies[int(number)] = tuple(where)
            self.clock.after(self.random() * self.gap, self.due, int(number))

    def due(self, proxy):
        self.clock.after(self.gap, self.due, proxy)
        if proxy not in self.down:
            self.visit(proxy, self.clock.now() + Visit.LASTS)

    def visit(self, proxy, ends):
        self.last += 1
        visit = Visit(self, proxy, self.last, ends)
        self.visits[visit] = None

    def over(self, visit, how):
        self.visits.pop(visit, None)
        self.count(visit.proxy, how)

    def count(self, proxy, how):
        self.by_proxy.setdefault(proxy, Counter())[how] += 1

    def do_down(self, numbers):
        """They are about to be killed: nobody comes until they are up."""
        self.down.update(dict.fromkeys(numbers))

    def do_up(self, numbers):
        for number in numbers:
            self.down.pop(number, None)

    def do_judged(self):
        still = Counter(served.name for served in self.open_at)
        return {
            "opens": self.opens,
            "took_ms": self.took,
            "lines": self.lines,
            "still": still,
            "by_proxy": self.by_proxy,
            "open": len(self.visits),
            "counts": self.counts,
        }


if __name__ == "__main__":
    main(Visits)
