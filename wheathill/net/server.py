"""A server's side: the connection of one dial, and the link for probes."""

from wheathill.model import AttemptOutcome
from wheathill.net.errors import ProtocolError
from wheathill.net.line_buffer import CRLF
from wheathill.net.protocol_machine import ProtocolMachine

FIRST_WORDS = {
    b"BUSY": AttemptOutcome.AT_CAPACITY,
    b"ERR": AttemptOutcome.ERROR,
    b"BYE": AttemptOutcome.COMPLETED,
    b"MOVE": AttemptOutcome.CANCELLED,
}
LAST_WORDS = {b"BYE": AttemptOutcome.COMPLETED, b"MOVE": AttemptOutcome.CANCELLED}


class Dialled(ProtocolMachine):
    """One dial for a client. Tells `door` once how it came up, and once how it ended."""

    def __init__(self, client, server, door, limits, clock):
        super().__init__(door, limits, clock)
        self.client = client
        self.server = server
        self.started = clock.now()
        self.until = None  # when this dial is given up
        self.sent = False  # the line's last byte has left
        self.up = False
        self.over = False
        self.rest = b""  # of an unfinished line to the client
        self.outcome = AttemptOutcome.RESET
        self.address = None  # where it was dialled
        self.turned = False  # away, and waits whether the server says more

    def start(self, wire, time_out, connect):
        self.wire = wire
        self.until = self.started + time_out
        self.set_timer(
            min(time_out, connect), self.give_up, AttemptOutcome.CONNECT_FAILED
        )

    @property
    def is_connect_postponed(self):
        """That its client has left, or that the list says its server leaves, may have come in one turn with what
        calls for this dial, or while this process stood still: it is read first."""
        client = self.client.wire
        return not self.over and (
            self.owner.list_unread or client.open and client.has_unread_bytes
        )

    def connected(self):
        if self.over:
            return
        if self.is_connect_postponed:
            return self.clock.soon(self.connected)
        left = self.until - self.clock.now()
        # With nothing left it would be sent in vain, and might have run.
        if left < 1.0 or not self.owner.may_send(self):
            return self.give_up(AttemptOutcome.CONNECT_FAILED)
        self.set_timer(left, self.overdue)
        self.wire.send(*self.client.head.encode(left))
        if self.wire.drained:
            self.line_left()

    def adopted(self):
        self.client.adopted()

    def line_left(self):
        if not self.sent:
            self.sent = True
            self.owner.dial_sent(self)

    def overdue(self):
        self.give_up(
            AttemptOutcome.TIMED_OUT if self.sent else AttemptOutcome.CONNECT_FAILED
        )

    def give_up(self, outcome):
        """Closed before anyone is told: no other dial may go out while this one is."""
        self.wire.abort()
        self.tell_over(outcome)

    def tell_over(self, outcome):
        self.timer.cancel()
        if not self.over:
            self.over = True
            self.owner.dial_over(self, outcome)

    def received(self, data):
        if self.up:
            return self.pass_on(bytes(data))
        if self.over:
            return
        if self.turned:
            # It says more than BUSY: what was turned away may have run all the same.
            return self.give_up(AttemptOutcome.ERROR)
        self.lines.feed(data)
        try:
            line = self.lines.next_line()
            while line is not None and line.startswith(b"LOAD "):
                line = self.lines.next_line()
        except ProtocolError:
            return self.give_up(AttemptOutcome.ERROR)
        if line is None:
            return
        word, _, rest = line.partition(b" ")
        if word == b"UP" and self.sent:
            self.timer.cancel()
            self.up = True
            self.owner.dial_up(self, line + CRLF)
            if self.lines.unconsumed:
                self.pass_on(self.lines.unconsumed)
            return
        self.owner.reported(self.server, rest)
        if word not in FIRST_WORDS:
            self.owner.odd_answer(self, line)
        outcome = FIRST_WORDS.get(word, AttemptOutcome.ERROR)
        if outcome is not AttemptOutcome.AT_CAPACITY:
            self.give_up(outcome)
        elif self.lines.unconsumed:
            self.give_up(AttemptOutcome.ERROR)
        elif not self.sent or self.client.repeats:
            self.give_up(outcome)
        else:
            # BUSY says that it never ran, and another dial rests on that: a second answer, which would belie it,
            # comes within moments or with the connection's end.
            self.turned = True
            self.set_timer(
                min(
                    self.limits.second_answer_timeout_ms, self.until - self.clock.now()
                ),
                self.give_up,
                outcome,
            )

    def pass_on(self, data):
        self.client.wire.send(data)
        self.owner.heard(self.server)
        *lines, self.rest = (self.rest + data).split(CRLF)
        for line in lines:
            self.read(line)
        if len(self.rest) > self.limits.max_line_bytes:
            # No line of the protocol: only whether it has ended still matters.
            self.rest = self.rest[-1:]
        if self.client.moving:
            self.owner.move_client(self.client)

    def read(self, line):
        word, _, rest = line.partition(b" ")
        if word == b"LOAD":
            self.owner.load_told(self.client, rest)
            return
        self.client.answered()
        if word in LAST_WORDS:
            self.outcome = LAST_WORDS[word]
            self.owner.reported(self.server, rest)

    @property
    def between_lines(self):
        return not self.rest

    def blocked(self, on):
        if not on:
            self.line_left()
        if self.up:
            self.client.wire.set_paused(on)

    def ended(self):
        if not self.up:
            return self.give_up(self.broken)
        self.tell_over(self.outcome)
        self.client.wire.send_eof()
        self.set_timer(self.limits.linger_ms, self.close)

    @property
    def broken(self):
        """What it means that the connection is gone before UP."""
        return (
            AttemptOutcome.AT_CAPACITY
            if self.turned
            else AttemptOutcome.RESET
            if self.sent
            else AttemptOutcome.CONNECT_FAILED
        )

    def close(self):
        """What is left of a connection that one side has ended. Nothing waits here then: an end is read only once
        all before it has gone to the system."""
        self.wire.abort()
        self.client.wire.abort()
        self.tell_over(self.outcome)

    def lost(self, reset):
        self.tell_over(self.outcome if self.up else self.broken)
        if self.up:
            if reset:
                self.client.wire.abort(reset=True)
            else:
                self.client.wire.close_gracefully()

    def fault(self):
        self.wire.abort(reset=True)
        if self.up:
            self.client.wire.abort(reset=True)
        self.tell_over(AttemptOutcome.ERROR)


class ProbeLink(ProtocolMachine):
    """Asks one server for its load, again and again over one connection."""

    def __init__(self, server, door, limits, clock):
        super().__init__(door, limits, clock)
        self.server = server
        self.asked = False
        self.used = False  # has answered before
        self.until = None

    def ask(self, until):
        self.asked, self.until = True, until
        self.set_timer(until - self.clock.now(), self.end, AttemptOutcome.TIMED_OUT)
        if self.wire.open:
            self.wire.send(b"STATS", CRLF)

    def connected(self):
        self.wire.send(b"STATS", CRLF)

    def received(self, data):
        self.lines.feed(data)
        try:
            line = self.lines.next_line()
        except ProtocolError:
            return self.end(AttemptOutcome.ERROR)
        if line is None:
            return
        word, _, rest = line.partition(b" ")
        if not self.asked or self.lines.unconsumed or word != b"PONG":
            return self.end(
                AttemptOutcome.AT_CAPACITY if word == b"BUSY" else AttemptOutcome.ERROR
            )
        self.asked, self.used = False, True
        self.set_timer(0.8 * self.limits.probe_idle_timeout_ms, self.end, None)
        self.owner.probed(self, AttemptOutcome.COMPLETED, rest)

    def ended(self):
        self.gone(AttemptOutcome.RESET)

    def lost(self, reset):
        self.gone(
            AttemptOutcome.RESET
            if self.wire.was_established
            else AttemptOutcome.CONNECT_FAILED
        )

    def gone(self, outcome):
        """Servers close links that lie idle, also in the moment in which one is asked again: without a byte of an
        answer that is held against nobody, and the same is asked over a new link."""
        if self.asked and self.used and not self.lines.unconsumed:
            self.asked = False
            self.end(None)
            self.owner.probe_again(self.server, self.until)
        else:
            self.end(outcome)

    def fault(self):
        self.end(AttemptOutcome.ERROR)

    def end(self, outcome):
        asked, self.asked = self.asked, False
        self.timer.cancel()
        self.wire.abort()
        self.owner.link_over(self)
        if asked:
            self.owner.probed(self, outcome, b"")
