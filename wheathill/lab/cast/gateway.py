"""Simulated server: an order gateway with cores, a queue, a warm-up and an overload limit.

The protocol machine of a connection (`GatewayConnection`) is independent of sockets. Work
waits for one of the cores; established sessions slow all of it. Loads are shares of the
capacity of a warm gateway.
"""

from collections import deque

from wheathill.net.errors import ProtocolError
from wheathill.net.line_buffer import CRLF
from wheathill.net.open_request import OpenRequest
from wheathill.net.protocol_machine import ProtocolMachine

# The wait before a message is offered again to a full queue.
QUEUE_FULL_RETRY_MS = 50.0
# The wait between two steps of migrating sessions during a drain.
MIGRATION_INTERVAL_MS = 250.0


class Gateway:
    """One server over all its process starts.

    Args:
        name: the name of the server.
        host: the host to listen on.
        limits: size and time limits of the connections.
        record: the record of the run.
        chance: random source of the durations of work.
        store: the session store, which is called for every set-up.
        dedup: for each listener with `repeat = "referenced"`, the window in ms and the
            table shared by the deduplication scope: session id -> when the request that
            ran first was received.
        cores: how many pieces of work run at a time.
        speed: factor on the speed of a core.
        queue: the most pieces of work that may wait for a core.
        setup_ms: the mean core time of a session set-up.
        line_ms: the mean core time of a message.
        probe_ms: the mean core time of a probe.
        holds: the sessions at full load, when warm.
        warm_from: the share of the capacity at the start of the process.
        warm_s: the duration of the warm-up; 0 for none.
        falls_over: a cold gateway crashes at this multiple of the set-ups that it can
            bear; 0 for never.
        fall_window_ms: the window in which these set-ups are counted.
        falls_at: the load at which a further set-up crashes the gateway.
        report_ms: the minimum interval between two load reports.
        fields: the fields of a load report, in order.
        keeps_ms: how long a closed session may be continued through another proxy.
        session_loads: session -> its load relative to the mean, drawn by its client.
        tells_load: whether the gateway sends the load of each session.

    Attributes:
        slowdown: factor on the duration of work, and on the load.
        session_cost: factor on the load of each session.
        report_factor: factor on the load in the reports; 1 if they are true.
        is_failing: whether the gateway answers every set-up with an error.
        on_crash: called with the name of the gateway when it has crashed.
    """

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
        self.holds = holds
        self.warm_from, self.warm = warm_from, warm_s * 1000
        self.falls_over, self.fall_window, self.falls_at = (
            falls_over,
            fall_window_ms,
            falls_at,
        )
        self.report_every, self.fields = report_ms, fields
        self.keeps = keeps_ms
        self.session_loads, self.tells_load = session_loads, tells_load
        self.slowdown = 1.0
        self.session_cost = 1.0
        self.report_factor = 1.0
        self.is_failing = False
        self.on_crash = None
        self.begin(None)

    def begin(self, started):
        """Start a new process at time `started`; None for one that has long been warm."""
        self.started = started
        self.draining = False
        self.busy = 0
        self.work = 0.0  # ms of core time, for the report
        self.waiting = deque()
        self.connections = {}  # established connection -> load relative to the mean
        self.held_load = 0.0  # sum over the established connections
        # Session -> until when it may be continued through another proxy.
        self.kept = {}
        self.cold_setups = deque()  # their times
        self.reported = None  # (time, report, work until then)
        self.host.listen(self._accept)

    def _accept(self, wire, peer):
        return self.host.tap(
            GatewayConnection(self, self.limits, self.clock), wire, peer
        )

    # Capacity

    def readiness(self):
        """Return the share of the capacity that is available during the warm-up."""
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
        """The load of the established sessions, as a share of the current capacity."""
        return (
            self.held_load
            * self.session_cost
            * self.slowdown
            / (self.holds * self.readiness())
        )

    def crash(self, why):
        """Kill the process."""
        self.record.note(
            "fell over", server=self.name, why=why, held=len(self.connections)
        )
        self.host.kill()
        self.on_crash(self.name)

    def crashes_on_setup(self):
        """Count a set-up, and return whether it crashes the gateway.

        Too many set-ups within a window crash a cold gateway, which then stays down.
        """
        now = self.clock.now()
        if self.readiness() >= 1.0:
            return False
        self.cold_setups.append(now)
        while self.cold_setups[0] <= now - self.fall_window:
            self.cold_setups.popleft()
        bearable_setups = self.holds * self.readiness() / self.warm * self.fall_window
        if self.falls_over and len(self.cold_setups) > max(
            3.0, self.falls_over * bearable_setups
        ):
            self.crash("cold, offered more than it bears")
            return True
        return False

    # Work

    def run_work(self, core_ms, callback):
        """Do work of about `core_ms` on one core, then call `callback`.

        Returns:
            False if the queue is full.
        """
        if self.busy < self.cores:
            self._start_work(core_ms, callback)
        elif len(self.waiting) < self.queue:
            self.waiting.append((core_ms, callback))
        else:
            return False
        return True

    def _start_work(self, core_ms, callback):
        self.busy += 1
        # Established sessions use part of every core, so work takes longer near full load.
        stretch = 1.0 / (1.0 - min(0.9, self.load * 0.9))
        slowness = self.slowdown / self.speed / self.readiness() * stretch
        duration_ms = core_ms * (0.5 + 0.5 * self.expovariate(1.0)) * slowness
        self.clock.after(duration_ms, self._complete_work, duration_ms, callback)

    def _complete_work(self, duration_ms, callback):
        self.busy -= 1
        self.work += duration_ms
        if self.waiting:
            self._start_work(*self.waiting.popleft())
        callback()

    def report(self):
        """Return the load report; it is renewed at most once per interval, so it may be old."""
        now = self.clock.now()
        if self.reported is None or now - self.reported[0] >= self.report_every:
            previous_ms, _, previous_work = self.reported or (
                now - self.report_every,
                None,
                self.work,
            )
            used = (self.work - previous_work) / (
                max(1.0, now - previous_ms) * self.cores
            )
            load = self.load * self.report_factor
            figures = {
                "inflight": len(self.connections),
                "active": len(self.connections),
                "waiting": len(self.waiting),
                "cpu": round(min(1.0, self.report_factor * used + 0.9 * load), 3),
                "x0": round(load, 3),
            }
            text = ",".join(f"{name}={figures[name]}" for name in self.fields)
            self.reported = now, text.encode(), self.work
        return self.reported[1]

    # Script events

    def drain(self, migrate_after_ms):
        """Accept no new sessions; migrate the remaining ones, some at a time, after a delay."""
        self.draining = True
        self.clock.after(migrate_after_ms, self._migrate_some)

    def _migrate_some(self):
        for link in list(self.connections)[: max(1, len(self.connections) // 4)]:
            link.close_session(b"MOVE")
        if self.connections:
            self.clock.after(MIGRATION_INTERVAL_MS, self._migrate_some)


class GatewayConnection(ProtocolMachine):
    """One connection to a gateway, for a session or for a probe.

    Attributes:
        head: the request, once received.
        up: whether the session is established.
        over: whether the session has ended.
        first: when the first byte was received.
    """

    def __init__(self, gateway, limits, clock):
        super().__init__(gateway, limits, clock)
        self.gateway = gateway
        self.head = None
        self.up = False
        self.over = False
        self.first = None

    def received(self, data):
        """Process each line."""
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
                    self._process_message()
                elif line in (b"STATS", b"PING"):
                    self._answer_probe(line)
                else:
                    self._open(line)
        except ProtocolError:
            self.gateway.record.note("syntax", server=self.gateway.name)
            self._send_final_answer(b"SYNTAX")

    def _answer_probe(self, line):
        gateway = self.gateway
        gateway.record.counts["probes"] += 1
        answer = (
            (b"PONG", b" " + gateway.report(), CRLF)
            if line == b"STATS"
            else (b"PONG", CRLF)
        )
        if not gateway.run_work(
            gateway.probe_ms, lambda: self.connection.send(*answer)
        ):
            self.connection.send(b"BUSY", CRLF)

    def _open(self, line):
        gateway = self.gateway
        self.head = head = OpenRequest(line)
        gateway.record.note("dial", server=gateway.name, sess=head.id, first=self.first)
        if head.flag("mid"):
            return self._continue_session()
        if gateway.crashes_on_setup():
            return
        if gateway.draining:
            return self._send_final_answer(b"BUSY")
        if gateway.is_failing:
            return self._send_final_answer(b"ERR")
        if gateway.load >= gateway.falls_at:
            return gateway.crash("more connections than it bears")
        if not gateway.run_work(gateway.setup_ms, self._call_store):
            self._send_final_answer(b"BUSY")

    def _call_store(self):
        """Call the store, unless the session has ended while the set-up waited for a core."""
        if not self.over:
            host, life = self.gateway.host, self.connection.life
            self.gateway.store.call(
                lambda succeeded: host.gate(life, self._on_store_result, succeeded)
            )

    def _on_store_result(self, succeeded):
        if succeeded:
            # The request takes effect even if the client left during the store call.
            self._run()
        if not self.over:
            if succeeded:
                self._answer_up()
            else:
                self._send_final_answer(b"ERR")

    def _run(self):
        gateway, session_id = self.gateway, self.head.id
        window_ms, first_requests = gateway.dedup.get(
            self.head.values.get("c"), (0.0, {})
        )
        # Measured between the requests, as the proxy does: set-ups may take long.
        copy = (
            session_id in first_requests
            and self.first - first_requests[session_id] < window_ms
        )
        if not copy:
            first_requests[session_id] = self.first
        gateway.record.note("ran", server=gateway.name, sess=self.head.id, copy=copy)

    def _continue_session(self):
        """Continue a session whose packets now arrive through another proxy."""
        until = self.gateway.kept.pop(self.head.id, 0.0)
        if self.clock.now() < until:
            self._answer_up()
        else:
            self.gateway.record.note(
                "not held", server=self.gateway.name, sess=self.head.id
            )
            self._note_over("not held")
            self.connection.abort(reset=True)

    def _answer_up(self):
        gateway = self.gateway
        self.up = True
        load = gateway.session_loads[self.head.id]
        gateway.connections[self] = load
        gateway.held_load += load
        receipt = f"{gateway.name}/{self.head.id}"
        gateway.record.note(
            "up", server=gateway.name, sess=self.head.id, receipt=receipt
        )
        self.connection.send(b"UP ", receipt.encode(), CRLF)
        if gateway.tells_load:
            # In microseconds of core time per second, as the servers of the bench send it.
            self.connection.send(
                b"LOAD %d"
                % round(load * 1e6 * gateway.cores * gateway.speed / gateway.holds),
                CRLF,
            )

    def _process_message(self):
        if not self.gateway.run_work(self.gateway.line_ms, self._answer_message):
            self.gateway.clock.after(QUEUE_FULL_RETRY_MS, self._process_message)

    def _answer_message(self):
        if self.up and not self.over:
            self.connection.send(b"DONE", CRLF)

    def _send_final_answer(self, word):
        self._note_over("answered " + word.decode())
        self.connection.send(word, CRLF)
        self.connection.close_gracefully()

    def close_session(self, word):
        """End an established session from this side."""
        self.connection.send(word, CRLF)
        self._note_over("sent away")
        self.connection.close_gracefully()

    def _note_over(self, how):
        if not self.over:
            self.over = True
            self.gateway.held_load -= self.gateway.connections.pop(self, 0.0)
            if not self.gateway.connections:
                self.gateway.held_load = 0.0  # drop the rounding error of the sum
            if self.head is not None:
                self.gateway.record.note(
                    "dial over", server=self.gateway.name, sess=self.head.id, how=how
                )

    def last_byte_left(self):
        """Ignore it: the proxy's time does not count from here."""

    def _keep(self):
        """Keep the session for a while: its packets may arrive through another proxy."""
        if self.up and not self.over and self.gateway.keeps:
            self.gateway.kept[self.head.id] = self.clock.now() + self.gateway.keeps

    def ended(self):
        """Handle the end of the stream."""
        self._keep()
        self._note_over("closed")
        self.connection.close_gracefully()

    def lost(self, reset):
        """Handle the loss of the connection."""
        self._keep()
        self._note_over("reset" if reset else "closed")

    def fault(self):
        """Handle an exception as a reset connection."""
        self.lost(True)
