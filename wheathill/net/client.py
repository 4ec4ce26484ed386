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
        self.head = None
        self.listener = None  # that its head names
        self.sess = None
        self.came = None
        self.dial = None  # the one that is out or up
        self.up = False
        self.pings = 0
        self.moving = False
        self.asked = None  # when the oldest line without an answer went to the server

    def connected(self):
        self.came = self.clock.now()
        self.set_timer(self.limits.first_line_timeout_ms, self.no_line)
        self.owner.came(self)

    def received(self, data):
        if self.up:
            self.pass_on(bytes(data))
        elif self.head is not None:
            self.too_early()
        else:
            self.lines.feed(data)
            self.read_head()

    def read_head(self):
        try:
            while self.head is None and (line := self.lines.next_line()) is not None:
                if line == b"PING":
                    self.pings += 1
                    allowed = (
                        self.limits.max_ping_burst
                        + (self.clock.now() - self.came) / self.limits.ping_interval_ms
                    )
                    if self.lines.unconsumed or self.pings > allowed:
                        raise ProtocolError("more than a line at once")
                    self.wire.send(b"PONG" if self.owner.ready else b"ERR", CRLF)
                    self.set_timer(self.limits.next_line_timeout_ms, self.no_line)
                else:
                    head = OpenRequest(line)
                    if self.lines.unconsumed:
                        raise ProtocolError("more than a line at once")
                    self.head = head
                    self.timer.cancel()
                    self.owner.opened(self)
        except ProtocolError as wrong:
            self.owner.bad_client(self, str(wrong))

    def too_early(self):
        """A client waits for UP. What comes sooner was meant for a proxy, like hundreds of commands at
        once, and must not reach a server; its session ends with it."""
        self.owner.hung_up(self)
        self.owner.bad_client(self, "more than a line before UP")

    def no_line(self):
        self.owner.bad_client(self, "no line in time")

    def serve(self, dial, line):
        """The server's UP line and what came along with it."""
        self.up = True
        self.timer.cancel()
        self.wire.send(line)

    def pass_on(self, data):
        # Half a line asks for nothing yet.
        if self.asked is None and b"\n" in data:
            self.asked = self.clock.now()
            self.owner.asks(self)
        self.dial.wire.send(data)

    @property
    def quiet(self):
        """Up, with no byte on its way: it may go over to another process."""
        return (
            self.up
            and not self.moving
            and not self.dial.over
            and self.wire.quiet
            and self.dial.wire.quiet
        )

    def adopted(self):
        """Nothing is read until both sides are here: it could not be passed on."""
        if self.wire.open and self.dial.wire.open:
            self.wire.set_paused(False)
            self.dial.wire.set_paused(False)

    @property
    def repeats(self):
        """Its session may be sent again whatever became of it."""
        return (
            self.listener is not None
            and self.listener.idempotency is Idempotency.IDEMPOTENT
        )

    def answered(self):
        """The server has sent a line back."""
        if self.asked is not None:
            asked, self.asked = self.asked, None
            self.owner.message_took(self, self.clock.now() - asked)

    def answer(self, *parts):
        """The final answer of a session that is not up; nothing goes out after it."""
        self.timer.cancel()
        self.wire.send(*parts, CRLF)
        self.wire.close_gracefully()

    def move(self):
        """Between two lines only: half a line from the server is waited for."""
        self.moving = not self.dial.between_lines
        if self.moving:
            return False
        self.dial.timer.cancel()
        self.answer(b"MOVE")
        self.dial.wire.close_gracefully()
        return True

    def blocked(self, on):
        if self.up:
            self.dial.wire.set_paused(on)

    def ended(self):
        self.owner.hung_up(self)
        if self.up:
            self.dial.wire.send_eof()
            self.dial.set_timer(self.limits.linger_ms, self.dial.close)
        else:
            # A session needs both directions, so this one is over, and still gets its answer.
            self.answer(b"ERR")

    def lost(self, reset):
        self.timer.cancel()
        self.owner.hung_up(self)
        if self.up:
            self.dial.wire.abort(reset=reset)

    def release(self):
        # Where a fault of its dial ended it, the alarm for its answer is still set.
        self.timer.cancel()
        self.dial = None

    def fault(self):
        if self.up:
            self.lost(True)
            self.wire.abort(reset=True)
        else:
            self.timer.cancel()
            self.owner.answer_alone(self)
