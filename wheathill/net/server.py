"""Connections to servers: one for each attempt of a session, and those for probes."""

from wheathill.model import AttemptOutcome
from wheathill.net.errors import ProtocolError
from wheathill.net.line_buffer import CRLF
from wheathill.net.protocol_machine import ProtocolMachine
from wheathill.net.server_lines import read_lines, split_partial_line

# What the first word of a server's line says, before UP and after it.
OUTCOMES_BEFORE_UP = {
    b"BUSY": AttemptOutcome.AT_CAPACITY,
    b"ERR": AttemptOutcome.ERROR,
    b"BYE": AttemptOutcome.COMPLETED,
    b"MOVE": AttemptOutcome.CANCELLED,
}
OUTCOMES_AFTER_UP = {
    b"BYE": AttemptOutcome.COMPLETED,
    b"MOVE": AttemptOutcome.CANCELLED,
}


class ServerAttempt(ProtocolMachine):
    """The connection of one attempt to a server.

    It tells its owner once that the server has accepted, and once how it ended.

    Attributes:
        client: whose session it is.
        server: the server that is tried.
        started_ms: when the attempt began.
        deadline_ms: when the attempt is given up.
        is_sent: whether the last byte of the OPEN line has left.
        is_up: whether the server has answered UP.
        is_over: whether the owner was told how it ended, or no longer needs to be.
        partial_line: the unfinished line on its way to the client.
        outcome: how the attempt ends if the connection closes now, once it is up.
        address: where the connection was opened to.
        is_rejected: whether the server has answered BUSY; the connection stays open
            for a moment in case more follows.
    """

    def __init__(self, client, server, owner, limits, clock):
        super().__init__(owner, limits, clock)
        self.client = client
        self.server = server
        self.started_ms = clock.now()
        self.deadline_ms = None
        self.is_sent = False
        self.is_up = False
        self.is_over = False
        self.partial_line = b""
        self.outcome = AttemptOutcome.RESET
        self.address = None
        self.is_rejected = False

    def start(self, connection, timeout_ms, connect_timeout_ms):
        """Use a connection that is being established."""
        self.connection = connection
        self.deadline_ms = self.started_ms + timeout_ms
        self.set_timer(
            min(timeout_ms, connect_timeout_ms),
            self.give_up,
            AttemptOutcome.CONNECT_FAILED,
        )

    def limit_time(self, latest_ms):
        """State a shorter time to the server if it has not been sent the line yet."""
        self.deadline_ms = min(self.deadline_ms, latest_ms)

    @property
    def is_connect_postponed(self):
        """Whether unread input may cancel the attempt, and is to be read first.

        The client may have left, or the endpoint list may say that the server leaves,
        in the same loop iteration as the decision to try it, or while the process was
        paused.
        """
        client = self.client.connection
        return not self.is_over and (
            self.owner.has_unread_list or client.open and client.has_unread_bytes
        )

    def connected(self):
        """Send the OPEN line, unless the attempt has become pointless."""
        if self.is_over:
            return
        if self.is_connect_postponed:
            return self.clock.soon(self.connected)
        remaining_ms = self.deadline_ms - self.clock.now()
        # Without time left the session could not be accepted, yet it might run.
        if remaining_ms < 1.0 or not self.owner.may_send(self):
            return self.give_up(AttemptOutcome.CONNECT_FAILED)
        self.set_timer(remaining_ms, self.on_timeout)
        self.connection.send(*self.client.open_request.encode(remaining_ms))
        if self.connection.drained:
            self.on_request_written()

    def adopted(self):
        """Resume reading, once the client's connection is here as well."""
        self.client.adopted()

    def on_request_written(self):
        """Note, once, that the last byte of the OPEN line has left."""
        if not self.is_sent:
            self.is_sent = True
            self.owner.on_request_sent(self)

    def on_timeout(self):
        """Give up, as the server has not answered in time."""
        self.give_up(
            AttemptOutcome.TIMED_OUT if self.is_sent else AttemptOutcome.CONNECT_FAILED
        )

    def give_up(self, outcome):
        """Close, then report the outcome.

        The order matters: no other attempt may start while this one is open.
        """
        self.connection.abort()
        self.report_end(outcome)

    def report_end(self, outcome):
        """Tell the owner, once, how the attempt ended."""
        self.timer.cancel()
        if not self.is_over:
            self.is_over = True
            self.owner.on_attempt_ended(self, outcome)

    def received(self, data):
        """Forward bytes once the session is up; before, read the server's answer."""
        if self.is_up:
            return self.forward(bytes(data))
        if self.is_over:
            return
        if self.is_rejected:
            # More than BUSY was sent, so the session may have run all the same.
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
        if word == b"UP" and self.is_sent:
            self.timer.cancel()
            self.is_up = True
            self.owner.on_attempt_accepted(self, line + CRLF)
            self.forward_rest()
            return
        self.owner.on_load_report(self.server, rest)
        if word not in OUTCOMES_BEFORE_UP:
            self.owner.on_unexpected_answer(self, line)
        outcome = OUTCOMES_BEFORE_UP.get(word, AttemptOutcome.ERROR)
        if outcome is not AttemptOutcome.AT_CAPACITY:
            self.give_up(outcome)
        elif self.lines.unconsumed:
            self.give_up(AttemptOutcome.ERROR)
        elif not self.is_sent or self.client.is_idempotent:
            self.give_up(outcome)
        else:
            # BUSY promises that the session never ran, and another attempt relies on
            # that. A second answer, which would contradict it, arrives within moments
            # or with the end of the connection.
            self.is_rejected = True
            self.set_timer(
                min(
                    self.limits.second_answer_timeout_ms,
                    self.deadline_ms - self.clock.now(),
                ),
                self.give_up,
                outcome,
            )

    def forward_rest(self):
        """Send the client what was received together with the UP line."""
        rest, self.lines.unconsumed = self.lines.unconsumed, b""
        if rest:
            self.forward(rest)

    def forward(self, data):
        """Send bytes to the client, and read the lines that they complete."""
        self.client.connection.send(data)
        self.owner.on_server_data(self.server)
        lines, self.partial_line = split_partial_line(self.partial_line + data)
        if lines:
            self.react_to_lines(read_lines(lines))
        if len(self.partial_line) > self.limits.max_line_bytes:
            # Too long for a line of the protocol: only whether it has ended matters.
            self.partial_line = self.partial_line[-1:]
        if self.client.is_migrating:
            self.owner.migrate_client(self.client)

    def react_to_lines(self, lines):
        """React to complete lines that were forwarded to the client."""
        if lines.declared_load is not None:
            self.owner.on_load_declared(self.client, lines.declared_load)
        if lines.has_answer:
            self.client.on_server_line()
        if lines.last_word is not None:
            self.outcome = OUTCOMES_AFTER_UP[lines.last_word]
            self.owner.on_load_report(self.server, lines.report)

    @property
    def between_lines(self):
        """Whether the last line that was forwarded is complete."""
        return not self.partial_line

    @property
    def has_sent_last_line(self):
        """Whether the server has ended the session by a line: BYE or MOVE."""
        return self.outcome is not AttemptOutcome.RESET

    def blocked(self, on):
        """Stop reading from the client while bytes wait to be sent."""
        if not on:
            self.on_request_written()
        if self.is_up:
            self.client.connection.set_paused(on)

    def ended(self):
        """Pass the server's end of stream on, or end the attempt."""
        if not self.is_up:
            return self.give_up(self.outcome_before_up)
        self.report_end(self.outcome)
        self.client.connection.send_eof()
        self.set_timer(self.limits.linger_ms, self.close)

    @property
    def outcome_before_up(self):
        """The outcome if the connection is lost before UP."""
        return (
            AttemptOutcome.AT_CAPACITY
            if self.is_rejected
            else AttemptOutcome.RESET
            if self.is_sent
            else AttemptOutcome.CONNECT_FAILED
        )

    def close(self):
        """Close both connections, one side of which has ended.

        No bytes are lost by it: an end of stream is read only after all bytes before it
        were passed to the kernel.
        """
        self.connection.abort()
        self.client.connection.abort()
        self.report_end(self.outcome)

    def lost(self, reset):
        """End the attempt or the session, as the connection is gone."""
        self.report_end(self.outcome if self.is_up else self.outcome_before_up)
        if self.is_up:
            if reset:
                self.client.connection.abort(reset=True)
            else:
                self.client.connection.close_gracefully()

    def fault(self):
        """End the attempt or the session, as a callback has raised an exception."""
        self.connection.abort(reset=True)
        if self.is_up:
            self.client.connection.abort(reset=True)
        self.report_end(AttemptOutcome.ERROR)


class ProbeConnection(ProtocolMachine):
    """Requests load reports from one server, one after another on one connection.

    Attributes:
        server: the server that is probed.
        is_awaiting_answer: whether a probe is under way.
        has_answered: whether a probe on this connection was answered before.
        deadline_ms: when the current probe times out.
    """

    def __init__(self, server, owner, limits, clock):
        super().__init__(owner, limits, clock)
        self.server = server
        self.is_awaiting_answer = False
        self.has_answered = False
        self.deadline_ms = None

    def request_report(self, deadline_ms):
        """Send a probe, now or as soon as the connection is established."""
        self.is_awaiting_answer, self.deadline_ms = True, deadline_ms
        self.set_timer(
            deadline_ms - self.clock.now(), self.end, AttemptOutcome.TIMED_OUT
        )
        if self.connection.open:
            self.connection.send(b"STATS", CRLF)

    def connected(self):
        """Send the probe that waits for the connection."""
        self.connection.send(b"STATS", CRLF)

    def received(self, data):
        """Read the answer; anything else ends the connection."""
        self.lines.feed(data)
        try:
            line = self.lines.next_line()
        except ProtocolError:
            return self.end(AttemptOutcome.ERROR)
        if line is None:
            return
        word, _, rest = line.partition(b" ")
        if not self.is_awaiting_answer or self.lines.unconsumed or word != b"PONG":
            return self.end(
                AttemptOutcome.AT_CAPACITY if word == b"BUSY" else AttemptOutcome.ERROR
            )
        self.is_awaiting_answer, self.has_answered = False, True
        self.set_timer(0.8 * self.limits.probe_idle_timeout_ms, self.end, None)
        self.owner.on_probe_ended(self, AttemptOutcome.COMPLETED, rest)

    def ended(self):
        """React to the server's end of stream."""
        self.on_closed_by_server(AttemptOutcome.RESET)

    def lost(self, reset):
        """React to a connection that is gone or was never established."""
        self.on_closed_by_server(
            AttemptOutcome.RESET
            if self.connection.was_established
            else AttemptOutcome.CONNECT_FAILED
        )

    def on_closed_by_server(self, outcome):
        """Retry the probe on a new connection, or end it.

        Servers close idle connections, possibly just as another probe is sent. If no
        byte of an answer was received, that does not count against the server.
        """
        if self.is_awaiting_answer and self.has_answered and not self.lines.unconsumed:
            self.is_awaiting_answer = False
            self.end(None)
            self.owner.retry_probe(self.server, self.deadline_ms)
        else:
            self.end(outcome)

    def fault(self):
        """End, as a callback has raised an exception."""
        self.end(AttemptOutcome.ERROR)

    def end(self, outcome):
        """Close; a probe that is under way ends with this outcome."""
        was_awaiting_answer, self.is_awaiting_answer = self.is_awaiting_answer, False
        self.timer.cancel()
        self.connection.abort()
        self.owner.on_probe_connection_closed(self)
        if was_awaiting_answer:
            self.owner.on_probe_ended(self, outcome, b"")
