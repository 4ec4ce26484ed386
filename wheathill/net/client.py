"""A client's connection: its first line, the wait for an answer, then lines in both directions."""

from wheathill.model import Idempotency
from wheathill.net.errors import ProtocolError
from wheathill.net.line_buffer import CRLF
from wheathill.net.open_request import OpenRequest
from wheathill.net.protocol_machine import ProtocolMachine


class Client(ProtocolMachine):
    def __init__(self, wire, door, limits, clock):
        super().__init__(door, limits, clock)
        self.wire = wire
        self.open_request = None
        self.listener = None  # that its head names
        self.session = None
        self.connected_ms = None
        self.attempt = None  # the one that is out or up
        self.is_up = False
        self.pings = 0
        self.is_migrating = False
        self.unanswered_since_ms = (
            None  # when the oldest line without an answer went to the server
        )

    def connected(self):
        self.connected_ms = self.clock.now()
        self.set_timer(self.limits.first_line_timeout_ms, self.no_line)
        self.owner.came(self)

    def received(self, data):
        if self.is_up:
            self.pass_on(bytes(data))
        elif self.open_request is not None:
            self.too_early()
        else:
            self.lines.feed(data)
            self.read_head()

    def read_head(self):
        try:
            while (
                self.open_request is None
                and (line := self.lines.next_line()) is not None
            ):
                if line == b"PING":
                    self.pings += 1
                    allowed = (
                        self.limits.max_ping_burst
                        + (self.clock.now() - self.connected_ms)
                        / self.limits.ping_interval_ms
                    )
                    if self.lines.unconsumed or self.pings > allowed:
                        raise ProtocolError("more than a line at once")
                    self.wire.send(b"PONG" if self.owner.ready else b"ERR", CRLF)
                    self.set_timer(self.limits.next_line_timeout_ms, self.no_line)
                else:
                    head = OpenRequest(line)
                    if self.lines.unconsumed:
                        raise ProtocolError("more than a line at once")
                    self.open_request = head
                    self.timer.cancel()
                    self.owner.on_open_request(self)
        except ProtocolError as wrong:
            self.owner.on_client_error(self, str(wrong))

    def too_early(self):
        """A client waits for UP. What comes sooner was meant for a proxy, like hundreds of commands at
        once, and must not reach a server; its session ends with it."""
        self.owner.hung_up(self)
        self.owner.on_client_error(self, "more than a line before UP")

    def no_line(self):
        self.owner.on_client_error(self, "no line in time")

    def forward_up(self, dial, line):
        """The server's UP line and what came along with it."""
        self.is_up = True
        self.timer.cancel()
        self.wire.send(line)

    def pass_on(self, data):
        # Half a line asks for nothing yet.
        if self.unanswered_since_ms is None and b"\n" in data:
            self.unanswered_since_ms = self.clock.now()
            self.owner.on_request_forwarded(self)
        self.attempt.wire.send(data)

    @property
    def quiet(self):
        """Up, with no byte on its way: it may go over to another process."""
        return (
            self.is_up
            and not self.is_migrating
            and not self.attempt.over
            and self.wire.quiet
            and self.attempt.wire.quiet
        )

    def carried(self):
        """Nothing is read until both sides are here: it could not be passed on."""
        if self.wire.open and self.attempt.wire.open:
            self.wire.hold(False)
            self.attempt.wire.hold(False)

    @property
    def repeats(self):
        """Its session may be sent again whatever became of it."""
        return (
            self.listener is not None
            and self.listener.idempotency is Idempotency.IDEMPOTENT
        )

    def answered(self):
        """The server has sent a line back."""
        if self.unanswered_since_ms is not None:
            asked, self.unanswered_since_ms = self.unanswered_since_ms, None
            self.owner.on_message_answered(self, self.clock.now() - asked)

    def answer(self, *parts):
        """The final answer of a session that is not up; nothing goes out after it."""
        self.timer.cancel()
        self.wire.send(*parts, CRLF)
        self.wire.part()

    def migrate(self):
        """Between two lines only: half a line from the server is waited for."""
        self.is_migrating = not self.attempt.between_lines
        if self.is_migrating:
            return False
        self.attempt.timer.cancel()
        self.answer(b"MOVE")
        self.attempt.wire.part()
        return True

    def blocked(self, on):
        if self.is_up:
            self.attempt.wire.hold(on)

    def ended(self):
        self.owner.hung_up(self)
        if self.is_up:
            self.attempt.wire.finish()
            self.attempt.set_timer(self.limits.linger_ms, self.attempt.close)
        else:
            # A session needs both directions, so this one is over, and still gets its answer.
            self.answer(b"ERR")

    def lost(self, reset):
        self.timer.cancel()
        self.owner.hung_up(self)
        if self.is_up:
            self.attempt.wire.abort(reset=reset)

    def let_go(self):
        # Where a fault of its dial ended it, the alarm for its answer is still set.
        self.timer.cancel()
        self.attempt = None

    def fault(self):
        if self.is_up:
            self.lost(True)
            self.wire.abort(reset=True)
        else:
            self.timer.cancel()
            self.owner.answer_alone(self)
