"""A stand-in for a server: an order gateway with cores, a queue, a warm-up, and a point where it falls over.

What it does with a connection is fed bytes and knows no socket (`Link`). Its work waits for one of its cores;
what it holds slows all of it. Loads are shares of a warm gateway's capacity.
"""

from collections import deque

from wheathill.net.errors import ProtocolError
from wheathill.net.line_buffer import CRLF
from wheathill.net.open_request import OpenRequest
from wheathill.net.protocol_machine import ProtocolMachine


class Gateway:
    """One server, over all its starts. `host` carries it, `store` is called by every set-up, `dedup` tells,
    for each referenced listener, its window in ms and the memory that the gateway's group shares: id -> when
    it ran. `session_loads`: session -> its load beside the mean, as its client has drawn it."""

    def __init__(
        self,
        name,
        host,
        limits,
        record,
        chance,
        store,
        dedup,
        *,
        cores,
        speed,
        queue,
        setup_ms,
        line_ms,
        probe_ms,
        holds,
        warm_from,
        warm_s,
        falls_over,
        fall_window_ms,
        falls_at,
        report_ms,
        fields,
        keeps_ms,
        session_loads,
        tells_load,
    ):
        self.name, self.host = name, host
        self.limits, self.record, self.store, self.dedup = limits, record, store, dedup
        self.clock = host.clock
        self.expovariate = chance.expovariate
        self.cores, self.speed, self.queue = cores, speed, queue
        self.setup_ms, self.line_ms, self.probe_ms = setup_ms, line_ms, probe_ms
        self.holds = holds  # connections at full load, when warm
        self.warm_from, self.warm = warm_from, warm_s * 1000
        self.falls_over, self.fall_window, self.falls_at = (
            falls_over,
            fall_window_ms,
            falls_at,
        )
        self.report_every, self.fields = report_ms, fields
        self.keeps = keeps_ms
        self.session_loads, self.tells_load = session_loads, tells_load
        self.slower = 1.0
        self.costlier = 1.0
        self.tells = 1.0  # its reports tell so many times its load
        self.erring = False
        self.fallen = None  # called with its name when it has fallen over
        self.begin(None)

    def begin(self, started):
        """A new process; `started` in ms of the clock, None for long ago."""
        self.started = started
        self.draining = False
        self.busy = 0
        self.work = 0.0  # ms of core time done, for the report
        self.waiting = deque()
        self.links = {}  # connections that are up -> the load of each, by mean 1
        self.held_load = 0.0  # of all that are up
        self.kept = {}  # session -> until when, for packets that come through another proxy
        self.dialled = deque()  # when, of set-ups while cold
        self.reported = None  # (when, figures, work done by then)
        self.host.listen(self.take)

    def take(self, wire, peer):
        return self.host.tap(Link(self, self.limits, self.clock), wire, peer)

    # Capacity

    def readiness(self):
        """The share of its capacity that it has by now."""
        if self.started is None:
            return 1.0
        age = self.clock.now() - self.started
        return (
            min(1.0, self.warm_from + (1 - self.warm_from) * age / self.warm)
            if self.warm
            else 1.0
        )

    @property
    def load(self):
        return (
            self.held_load
            * self.costlier
            * self.slower
            / (self.holds * self.readiness())
        )

    def fall(self, why):
        self.record.note("fell over", server=self.name, why=why, held=len(self.links))
        self.host.kill()
        self.fallen(self.name)

    def offered(self):
        """Counts a set-up; too many in a window push a cold gateway over, and it stays down."""
        now = self.clock.now()
        if self.readiness() >= 1.0:
            return False
        self.dialled.append(now)
        while self.dialled[0] <= now - self.fall_window:
            self.dialled.popleft()
        bears = self.holds * self.readiness() / self.warm * self.fall_window
        if self.falls_over and len(self.dialled) > max(3.0, self.falls_over * bears):
            self.fall("cold, offered more than it bears")
            return True
        return False

    # Work

    def job(self, ms, call):
        """One piece of work of about `ms` on one core, then `call`; False if there is no room for it."""
        if self.busy < self.cores:
            self.start(ms, call)
        elif len(self.waiting) < self.queue:
            self.waiting.append((ms, call))
        else:
            return False
        return True

    def start(self, ms, call):
        self.busy += 1
        # Held connections take their part of every core: near full, work stretches.
        stretch = 1.0 / (1.0 - min(0.9, self.load * 0.9))
        slowness = self.slower / self.speed / self.readiness() * stretch
        took = ms * (0.5 + 0.5 * self.expovariate(1.0)) * slowness
        self.clock.after(took, self.done, took, call)

    def done(self, took, call):
        self.busy -= 1
        self.work += took
        if self.waiting:
            self.start(*self.waiting.popleft())
        call()

    def report(self):
        """Made anew at most every so often, so it ages."""
        now = self.clock.now()
        if self.reported is None or now - self.reported[0] >= self.report_every:
            before, _, work = self.reported or (
                now - self.report_every,
                None,
                self.work,
            )
            used = (self.work - work) / (max(1.0, now - before) * self.cores)
            load = self.load * self.tells
            figures = {
                "inflight": len(self.links),
                "active": len(self.links),
                "waiting": len(self.waiting),
                "cpu": round(min(1.0, self.tells * used + 0.9 * load), 3),
                "x0": round(load, 3),
            }
            text = ",".join(f"{name}={figures[name]}" for name in self.fields)
            self.reported = now, text.encode(), self.work
        return self.reported[1]

    # What scripts do to it

    def drain(self, leave_after):
        """Finishes what it has; after `leave_after` ms it sends away what is left, a few at a time."""
        self.draining = True
        self.clock.after(leave_after, self.send_away)

    def send_away(self):
        for link in list(self.links)[: max(1, len(self.links) // 4)]:
            link.leave(b"MOVE")
        if self.links:
            self.clock.after(250.0, self.send_away)


class Link(ProtocolMachine):
    """One connection to a gateway: a session's, or a prober's."""

    def __init__(self, gateway, limits, clock):
        super().__init__(gateway, limits, clock)
        self.gateway = gateway
        self.head = None
        self.up = False
        self.over = False
        self.first = None  # when the first byte came

    def received(self, data):
        if self.over:
            return
        if self.first is None:
            self.first = (
                self.clock.now()
                if self.connection.came is None
                else self.connection.came
            )
        self.lines.feed(data)
        try:
            while not self.over and (line := self.lines.next_line()) is not None:
                if self.up:
                    self.line()
                elif line in (b"STATS", b"PING"):
                    self.probe(line)
                else:
                    self.open(line)
        except ProtocolError:
            self.gateway.record.note("syntax", server=self.gateway.name)
            self.end(b"SYNTAX")

    def probe(self, line):
        gateway = self.gateway
        gateway.record.counts["probes"] += 1
        answer = (
            (b"PONG", b" " + gateway.report(), CRLF)
            if line == b"STATS"
            else (b"PONG", CRLF)
        )
        if not gateway.job(gateway.probe_ms, lambda: self.connection.send(*answer)):
            self.connection.send(b"BUSY", CRLF)

    def open(self, line):
        gateway = self.gateway
        self.head = head = OpenRequest(line)
        gateway.record.note("dial", server=gateway.name, sess=head.id, first=self.first)
        if head.flag("mid"):
            return self.go_on()
        if gateway.offered():
            return
        if gateway.draining:
            return self.end(b"BUSY")
        if gateway.erring:
            return self.end(b"ERR")
        if gateway.load >= gateway.falls_at:
            return gateway.fall("more connections than it bears")
        if not gateway.job(gateway.setup_ms, self.set_up):
            self.end(b"BUSY")

    def set_up(self):
        """Its turn: who has gone meanwhile is dropped unread."""
        if not self.over:
            host, life = self.gateway.host, self.connection.life
            self.gateway.store.call(lambda well: host.gate(life, self.stored, well))

    def stored(self, well):
        if well:
            # It runs even for a client that has gone while the store was asked.
            self.run()
        if not self.over:
            if well:
                self.answer_up()
            else:
                self.end(b"ERR")

    def run(self):
        gateway, now = self.gateway, self.clock.now()
        window, memory = gateway.dedup.get(self.head.values.get("c"), (0.0, {}))
        copy = self.head.id in memory and now - memory[self.head.id] < window
        if not copy:
            memory[self.head.id] = now
        gateway.record.note("ran", server=gateway.name, sess=self.head.id, copy=copy)

    def go_on(self):
        """A connection whose packets come through another proxy now."""
        until = self.gateway.kept.pop(self.head.id, 0.0)
        if self.clock.now() < until:
            self.answer_up()
        else:
            self.gateway.record.note(
                "not held", server=self.gateway.name, sess=self.head.id
            )
            self.note_over("not held")
            self.connection.abort(reset=True)

    def answer_up(self):
        gateway = self.gateway
        self.up = True
        load = gateway.session_loads[self.head.id]
        gateway.links[self] = load
        gateway.held_load += load
        receipt = f"{gateway.name}/{self.head.id}"
        gateway.record.note(
            "up", server=gateway.name, sess=self.head.id, receipt=receipt
        )
        self.connection.send(b"UP ", receipt.encode(), CRLF)
        if gateway.tells_load:
            # In microseconds of core time a second, as the bench's servers tell it.
            self.connection.send(
                b"LOAD %d"
                % round(load * 1e6 * gateway.cores * gateway.speed / gateway.holds),
                CRLF,
            )

    def line(self):
        if not self.gateway.job(self.gateway.line_ms, self.echo):
            self.gateway.clock.after(50.0, self.line)

    def echo(self):
        if self.up and not self.over:
            self.connection.send(b"DONE", CRLF)

    def end(self, word):
        self.note_over("answered " + word.decode())
        self.connection.send(word, CRLF)
        self.connection.close_gracefully()

    def leave(self, word):
        """An open connection that this gateway ends by itself."""
        self.connection.send(word, CRLF)
        self.note_over("sent away")
        self.connection.close_gracefully()

    def note_over(self, how):
        if not self.over:
            self.over = True
            self.gateway.held_load -= self.gateway.links.pop(self, 0.0)
            if not self.gateway.links:
                self.gateway.held_load = 0.0  # sums of fractions leave a rest
            if self.head is not None:
                self.gateway.record.note(
                    "dial over", server=self.gateway.name, sess=self.head.id, how=how
                )

    def last_byte_left(self):
        pass  # a proxy's time does not count from here

    def keep(self):
        """Its packets may come through another proxy yet."""
        if self.up and not self.over and self.gateway.keeps:
            self.gateway.kept[self.head.id] = self.clock.now() + self.gateway.keeps

    def ended(self):
        self.keep()
        self.note_over("closed")
        self.connection.close_gracefully()

    def lost(self, reset):
        self.keep()
        self.note_over("reset" if reset else "closed")

    def fault(self):
        self.lost(True)
