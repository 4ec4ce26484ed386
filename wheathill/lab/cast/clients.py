"""Simulated clients: each opens a session, sends messages on it and returns later.

How patiently they retry and return depends on their population.
"""

import math

from wheathill.net.line_buffer import CRLF
from wheathill.net.protocol_machine import ProtocolMachine

NO_PROXY_RETRY_MS = 200.0  # the wait if the front has no proxy
IMMEDIATE_RETRY_MS = 5.0
MAX_RETURN_DELAY_MS = 200.0  # after a session was moved or lost
MAX_LEAVE_DELAY_MS = 40.0  # for clients that leave on their own after connecting
CLOSE_TIMEOUT_MS = 2000.0  # from the end of sending to the abort


class ClientPopulation:
    """Clients of one kind: they share a listener, a tenant and their behaviour.

    Times are in milliseconds.

    Args:
        host: the host to connect from.
        limits: size and time limits of the connections.
        chance: random source.
        record: the record of the run.
        front: chooses the proxy of each connection.
        listener: the listener as in the script.
        runs: whether the proxy of a name runs.
        session_loads: session -> its load relative to the mean; entries are added.
        name: the name of the population, which the names of its clients start with.
        zone: the zone of the clients.
        desk: the tenant of the clients, if any.
        groups: the groups that the clients are spread over; 0 for none.
        life: the mean duration of a session.
        rest: the mean time between two sessions of a client.
        think: the mean time between two messages of a session.
        gives_up: the time after which a client stops waiting for the handshake.
        retry: whether clients retry "never", "at once" or after `wait`.
        wait: the mean wait before a retry.
        honours: the share of rejections whose retry time a client follows.
        tries: the most attempts per intention.
        silence: the time after which a message counts as unanswered.
        returns: whether clients return after a session was moved or lost.
        leaves: the share of connections that a client leaves soon after connecting.
        mid_flow: whether packets of a session may arrive through another proxy.
        load_sigma: sigma of the log-normal load of a session; 0 for equal loads.
    """

    def __init__(
        self,
        host,
        limits,
        chance,
        record,
        front,
        listener,
        runs,
        session_loads,
        *,
        name,
        zone,
        desk,
        groups,
        life,
        rest,
        think,
        gives_up,
        retry,
        wait,
        honours,
        tries,
        silence,
        returns,
        leaves,
        mid_flow,
        load_sigma,
    ):
        self.host, self.limits, self.record, self.front = host, limits, record, front
        self.clock = host.clock
        self.expovariate, self.uniform, self.random = (
            chance.expovariate,
            chance.uniform,
            chance.random,
        )
        self.listener = listener
        self.runs = runs
        self.session_loads, self.load_sigma, self.normal = (
            session_loads,
            load_sigma,
            chance.normalvariate,
        )
        self.name, self.zone, self.desk, self.groups = name, zone, desk, groups
        self.life, self.rest, self.think = life, rest, think
        self.gives_up, self.retry, self.wait = gives_up, retry, wait
        self.honours, self.tries, self.silence = honours, tries, silence
        self.returns, self.leaves, self.mid_flow = returns, leaves, mid_flow
        self.clients = []
        self.stopping = False

    def add(self, count, within):
        """Add `count` clients that start at random times within `within` ms."""
        for number in range(count):
            client = Client(
                self,
                f"{self.name}{number}",
                f"{self.name}g{number % self.groups}" if self.groups else None,
            )
            self.clients.append(client)
            self.clock.after(self.uniform(0.0, within), client.begin)

    def drop_and_return(self, share, within):
        """Drop the connections of a share of the clients, which return within `within` ms."""
        for client in self.clients[: round(len(self.clients) * share)]:
            client.drop()
            self.clock.after(self.uniform(0.0, within), client.begin, True)


class Client:
    """One client over all its sessions.

    Attributes:
        connection: the current `ClientConnection`, if any.
        connections: how many connections the client has started.
        intention: number of the session that the client wants; retries keep it.
        attempts: the attempts for this intention so far.
        next_start: the timer of the next connection, if any.
    """

    def __init__(self, population, name, group):
        self.population = population
        self.name = name
        self.group = group
        self.connection = None
        self.connections = 0
        self.intention = 0
        self.attempts = 0
        self.next_start = None

    def begin(self, again=False):
        """Open a new session, unless a connection exists."""
        if self.connection is None:
            self.intention += 1
            self.attempts = 0
            self._connect(again=again)

    def _connect(self, repeat=False, again=False, mid=None):
        population = self.population
        self.next_start = None
        if population.stopping or self.connection is not None:
            return
        picked = population.front.pick(population.zone)
        if picked is None:
            self._connect_later(NO_PROXY_RETRY_MS, repeat, again, mid)
            return
        self.attempts += 1
        self.connections += 1
        name = mid or f"{self.name}v{self.connections}"
        self.connection = ClientConnection(
            self, name, picked[0], repeat, again, mid is not None
        )
        self.connection.start(picked[1])

    def _connect_later(self, delay_ms, repeat=False, again=False, mid=None):
        if self.next_start is not None:
            self.next_start.cancel()
        self.next_start = self.population.clock.after(
            delay_ms, self._connect, repeat, again, mid
        )

    def drop(self):
        """Cancel the next connection and reset the current one."""
        if self.next_start is not None:
            self.next_start.cancel()
            self.next_start = None
        if self.connection is not None:
            self.connection.leave("dropped")

    def on_connection_over(self, how, retry_after_ms=None, mid=None):
        """Schedule the next connection, depending on how the last one ended.

        Args:
            how: "lived", "moved", "cut", "refused", "failed" or "gave up".
            retry_after_ms: the retry time that a rejection has named, if any.
            mid: the session to continue through another proxy, if any.
        """
        population = self.population
        self.connection = None
        if population.stopping:
            return
        if how == "lived":
            self.intention += 1
            self.attempts = 0
            self._connect_later(population.expovariate(1.0) * population.rest)
        elif how in ("moved", "cut"):
            if population.returns:
                self.intention += 1
                self.attempts = 0
                self._connect_later(
                    population.uniform(0.0, MAX_RETURN_DELAY_MS), again=True, mid=mid
                )
        elif how in ("refused", "failed", "gave up"):
            if population.retry == "never" or self.attempts >= population.tries:
                self.intention += 1
                self.attempts = 0
                self._connect_later(
                    population.expovariate(1.0) * population.rest + population.wait
                )
            elif (
                retry_after_ms is not None and population.random() < population.honours
            ):
                self._connect_later(
                    retry_after_ms * population.uniform(1.0, 1.2), repeat=True
                )
            elif population.retry == "at once":
                self._connect_later(IMMEDIATE_RETRY_MS, repeat=True)
            else:
                self._connect_later(
                    population.wait * population.uniform(0.5, 1.5), repeat=True
                )


class ClientConnection(ProtocolMachine):
    """One connection of a client, with one session from its request to its end.

    Attributes:
        name: the id of the session.
        proxy: the name of the proxy.
        repeat: whether this is a retry.
        again: whether the client returns after a session was moved, lost or dropped.
        mid: whether this continues a session that went through another proxy.
        opened_ms: when the request was sent, if it was.
        up: whether the session is established.
        over: whether the client expects nothing more.
        final: whether the final answer has arrived; further lines are a fault.
        end_timer: the timer that ends the session.
        sent_ms: when the message that waits for an answer was sent, if any.
    """

    def __init__(self, client, name, proxy, repeat, again, mid):
        population = client.population
        super().__init__(client, population.limits, population.clock)
        self.client, self.population, self.record = (
            client,
            population,
            population.record,
        )
        self.name, self.proxy = name, proxy
        self.repeat, self.again, self.mid = repeat, again, mid
        self.opened_ms = None
        self.up = False
        self.over = False
        self.final = False
        self.end_timer = None
        self.sent_ms = None

    def start(self, address):
        """Connect to the proxy."""
        self.population.host.dial(self, address, (self.proxy, self.population.zone))
        self.set_timer(self.population.gives_up, self._give_up)

    def connected(self):
        """Send the request."""
        population = self.population
        values = [
            f"c={population.listener.name}",
            f"d={population.listener.dial_timeout_ms:.0f}",
        ]
        for key, value in (
            ("t", population.desk),
            ("g", self.client.group),
            ("r", self.repeat and "1"),
            ("again", self.again and "1"),
            ("mid", self.mid and "1"),
        ):
            if value:
                values.append(f"{key}={value}")
        self.opened_ms = self.clock.now()
        # The request does not carry the load: only the server knows it.
        if not self.mid:
            sigma = population.load_sigma
            population.session_loads[self.name] = (
                math.exp(population.normal(-sigma * sigma / 2, sigma)) if sigma else 1.0
            )
        self.record.note(
            "open",
            sess=self.name,
            proxy=self.proxy,
            listener=population.listener.name,
            crowd=population.name,
            desk=population.desk,
            deadline=population.listener.dial_timeout_ms,
            mid=self.mid,
            effect=f"{self.client.name}/{self.client.intention}",
        )
        self.connection.send(
            b"OPEN ",
            self.name.encode(),
            b" ",
            self.client.name.encode(),
            b" ",
            ",".join(values).encode(),
            CRLF,
        )
        if population.leaves and population.random() < population.leaves:
            self.clock.after(
                population.uniform(0.0, MAX_LEAVE_DELAY_MS),
                self._change_mind,
                population.random() < 0.5,
            )

    def last_byte_left(self):
        """Record when the end of a delayed request was sent: its time counts from here."""
        self.record.note("line out", sess=self.name)

    def _change_mind(self, gracefully):
        """Close in any state, by the end of the stream or by a reset."""
        if self.over:
            return
        if not gracefully:
            self.leave("changed its mind")
            return self.client.on_connection_over("gave up")
        self.record.note("left", sess=self.name, how="changed its mind")
        self._stop()
        self.connection.send_eof()
        self.set_timer(CLOSE_TIMEOUT_MS, self.connection.abort)
        self.client.on_connection_over("gave up")

    def received(self, data):
        """Process each line; lines after the final answer are recorded as a fault."""
        self.lines.feed(data)
        while (line := self.lines.next_line()) is not None:
            if not self.over:
                self._process_line(line)
            elif self.final:
                self.record.note(
                    "extra", sess=self.name, what=line[:40].decode("ascii", "replace")
                )

    def _process_line(self, line):
        word, _, rest = line.partition(b" ")
        if self.up:
            self._process_session_line(word)
            return
        now = self.clock.now()
        text = rest.decode("ascii", "replace")
        self.record.note(
            "answer", sess=self.name, word=word.decode("ascii", "replace"), rest=text
        )
        if word == b"UP":
            self.up = True
            self.record.add_handshake(now - self.opened_ms)
            self.end_timer = self.clock.after(
                self.population.expovariate(1.0) * self.population.life,
                self._end_session,
            )
            self.set_timer(
                self.population.expovariate(1.0) * self.population.think,
                self._send_message,
            )
        elif word == b"BUSY":
            self._finish("refused", float(text) if text else None)
        else:
            self._finish("failed")

    def _process_session_line(self, word):
        if word == b"MOVE":
            self.record.note("moved", sess=self.name)
            self._finish("moved")
        elif word == b"BYE":
            self._finish("lived")
        elif self.sent_ms is not None and word != b"LOAD":
            self.record.add_message(
                self.clock.now() - self.sent_ms,
                self.population.listener.message_target_ms,
            )
            self.sent_ms = None
            self.set_timer(
                self.population.expovariate(1.0) * self.population.think,
                self._send_message,
            )

    def _send_message(self):
        self.sent_ms = self.clock.now()
        self.connection.send(b"SAY", CRLF)
        self.set_timer(self.population.silence, self._on_unanswered)

    def _on_unanswered(self):
        """Reset a session on which neither an answer nor an end has arrived."""
        self.record.note("unanswered", sess=self.name, waited=self.population.silence)
        self.leave("unanswered")
        self.client.on_connection_over("cut")

    def _end_session(self):
        self.record.note("left", sess=self.name, how="lived")
        self.over = True
        self.timer.cancel()
        self.connection.send_eof()
        self.set_timer(CLOSE_TIMEOUT_MS, self.connection.abort)
        self.client.on_connection_over("lived")

    def _give_up(self):
        self.leave("gave up")
        self.client.on_connection_over("gave up")

    def leave(self, how):
        """Reset the connection."""
        self.record.note("left", sess=self.name, how=how)
        self._stop()
        self.connection.abort(reset=True)

    def _stop(self):
        self.over = True
        if self.end_timer:
            self.end_timer.cancel()
        self.timer.cancel()
        if self.client.connection is self:
            self.client.connection = None

    def _finish(self, how, retry_after_ms=None):
        self._stop()
        self.final = True
        self.connection.send_eof()
        self.set_timer(CLOSE_TIMEOUT_MS, self.connection.abort)
        self.client.on_connection_over(how, retry_after_ms)

    def ended(self):
        """Handle the end of the stream."""
        self._on_closed("ended")

    def lost(self, reset):
        """Handle the loss of the connection, or that it was never established."""
        self._on_closed(
            "reset"
            if reset
            else "ended"
            if self.opened_ms is not None
            else "not reached"
        )

    def _on_closed(self, how):
        if self.over:
            self.timer.cancel()
            return self.connection.abort()
        self._stop()
        self.connection.abort()
        if self.opened_ms is None:
            # Never established, so nothing was requested; the front drops the proxy later.
            self.record.counts["not reached"] += 1
            return (
                self.client.on_connection_over("cut", mid=self.name)
                if self.mid
                else self.client.on_connection_over("failed")
            )
        self.record.note("cut" if self.up else "broken", sess=self.name, how=how)
        # The front sends the packets through another proxy only if this one is gone.
        mid = (
            self.name
            if self.up
            and self.population.mid_flow
            and not self.population.runs(self.proxy)
            else None
        )
        self.client.on_connection_over("cut" if self.up else "failed", mid=mid)

    def fault(self):
        """Handle an exception as a lost connection."""
        self._on_closed("fault")
