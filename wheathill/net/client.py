"""A client's connection.

The client sends its first line and waits for an answer; then lines go both ways.
"""

from wheathill.model import Idempotency
from wheathill.net.errors import ProtocolError
from wheathill.net.line_buffer import CRLF
from wheathill.net.open_request import OpenRequest
from wheathill.net.protocol_machine import ProtocolMachine


class Client(ProtocolMachine):
    """The state machine of one client's connection.

    Attributes:
        open_request: the parsed OPEN line, once it was received.
        listener: the listener that the OPEN line names.
        session: the session, until it is over.
        connected_ms: when the connection was accepted.
        attempt: the attempt that is under way, or the one that is up.
        is_up: whether the client was sent UP.
        ping_count: PING lines so far.
        is_migrating: whether MOVE is to be sent at the end of the server's line.
        unanswered_since_ms: when the oldest line without an answer went to the server.
    """

    # A client that has reset its connection is gone: what it had sent must not take
    # effect at a server afterwards.
    is_input_void_after_reset = True

    def __init__(self, connection, owner, limits, clock):
        super().__init__(owner, limits, clock)
        self.connection = connection
        self.open_request = None
        self.listener = None
        self.session = None
        self.connected_ms = None
        self.attempt = None
        self.is_up = False
        self.ping_count = 0
        self.is_migrating = False
        self.unanswered_since_ms = None

    def connected(self):
        """Wait for the first line."""
        self.connected_ms = self.clock.now()
        self.set_timer(self.limits.first_line_timeout_ms, self.on_line_timeout)
        self.owner.on_client_connected(self)

    def received(self, data):
        """Forward bytes once the session is up; before, read the first line."""
        if self.is_up:
            self.forward(bytes(data))
        elif self.open_request is not None:
            self.reject_early_data()
        else:
            self.lines.feed(data)
            self.read_request()

    def read_request(self):
        """Answer PING lines, and pass the OPEN line to the owner."""
        try:
            while (
                self.open_request is None
                and (line := self.lines.next_line()) is not None
            ):
                if line == b"PING":
                    self.ping_count += 1
                    max_pings = (
                        self.limits.max_ping_burst
                        + (self.clock.now() - self.connected_ms)
                        / self.limits.ping_interval_ms
                    )
                    if self.lines.unconsumed or self.ping_count > max_pings:
                        raise ProtocolError("client sent more than one line at once")
                    self.connection.send(b"PONG" if self.owner.ready else b"ERR", CRLF)
                    self.set_timer(
                        self.limits.next_line_timeout_ms, self.on_line_timeout
                    )
                else:
                    request = OpenRequest(line)
                    if self.lines.unconsumed:
                        raise ProtocolError("client sent more than one line at once")
                    self.open_request = request
                    self.timer.cancel()
                    self.owner.on_open_request(self)
        except ProtocolError as error:
            self.owner.on_client_error(self, str(error))

    def reject_early_data(self):
        """End the session of a client that sends more before it was sent UP.

        Such bytes were meant for a proxy, like hundreds of commands at once, and must
        not reach a server.
        """
        self.owner.on_client_left(self)
        self.owner.on_client_error(self, "client sent data before UP")

    def on_line_timeout(self):
        """End a connection whose first line is not received in time."""
        self.owner.on_client_error(self, "client sent no line in time")

    def forward_up(self, attempt, line):
        """Send the server's UP line, which starts the session."""
        self.is_up = True
        self.timer.cancel()
        self.connection.send(line)

    def forward(self, data):
        """Send bytes to the server."""
        # An incomplete line needs no answer yet.
        if self.unanswered_since_ms is None and b"\n" in data:
            self.unanswered_since_ms = self.clock.now()
            self.owner.on_request_forwarded(self)
        self.attempt.connection.send(data)

    @property
    def quiet(self):
        """Whether the session is up with no byte on its way.

        Only then it may be handed over to another process.
        """
        return (
            self.is_up
            and not self.is_migrating
            and not self.attempt.is_over
            and self.connection.quiet
            and self.attempt.connection.quiet
        )

    def adopted(self):
        """Resume reading, once both connections are in this process.

        What is read earlier could not be forwarded.
        """
        if self.connection.open and self.attempt.connection.open:
            self.connection.set_paused(False)
            self.attempt.connection.set_paused(False)

    @property
    def is_idempotent(self):
        """Whether the session may be retried whatever became of an attempt."""
        return (
            self.listener is not None
            and self.listener.idempotency is Idempotency.IDEMPOTENT
        )

    def on_server_line(self):
        """Note that the server has sent a line, which answers those before it."""
        if self.unanswered_since_ms is not None:
            sent_ms, self.unanswered_since_ms = self.unanswered_since_ms, None
            self.owner.on_message_answered(self, self.clock.now() - sent_ms)

    def answer(self, *parts):
        """Send the final answer of a session that is not up, and close."""
        self.timer.cancel()
        self.connection.send(*parts, CRLF)
        self.connection.close_gracefully()

    def migrate(self):
        """Send MOVE and close; return whether that was done.

        MOVE may stand only between two lines, so an incomplete line from the server is
        waited for. It is omitted behind the server's own last line.
        """
        self.is_migrating = not self.attempt.between_lines
        if self.is_migrating:
            return False
        self.attempt.timer.cancel()
        if self.attempt.has_sent_last_line:
            self.connection.close_gracefully()
        else:
            self.answer(b"MOVE")
        self.attempt.connection.close_gracefully()
        return True

    def blocked(self, on):
        """Stop reading from the server while bytes wait to be sent."""
        if self.is_up:
            self.attempt.connection.set_paused(on)

    def ended(self):
        """End the session, as the client sends no more."""
        self.owner.on_client_left(self)
        if self.is_up:
            self.attempt.connection.send_eof()
            self.attempt.set_timer(self.limits.linger_ms, self.attempt.close)
        else:
            # A session needs both directions, so it is over, but the client may still
            # read its answer.
            self.answer(b"ERR")

    def lost(self, reset):
        """End the session, as the connection is gone."""
        self.timer.cancel()
        self.owner.on_client_left(self)
        if self.is_up:
            self.attempt.connection.abort(reset=reset)

    def release(self):
        """Drop the references that would form a cycle."""
        # If a fault of the attempt ended the client, its timer still runs.
        self.timer.cancel()
        self.attempt = None

    def fault(self):
        """End the session, as a callback has raised an exception."""
        if self.is_up:
            self.lost(True)
            self.connection.abort(reset=True)
        else:
            self.timer.cancel()
            self.owner.answer_without_policy(self)
