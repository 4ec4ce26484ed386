"""Stand-ins for operators' staff and their tools: some read the figures, some say nothing or half a call and
stay."""

from wheathill.net.protocol_machine import ProtocolMachine

WHOLE = b"GET /status/metrics HTTP/1.1\r\nHost: lab\r\n\r\n"
PIECES = b"", b"GET /sta", b"GET /status HTTP/1.1\r\nHost:"
DUE = 1000.0
STAYS = 4000.0


class Caller(ProtocolMachine):
    def __init__(self, callers, limits, clock, text):
        super().__init__(callers, limits, clock)
        self.text = text
        self.began = clock.now()
        self.answer = b""

    def connected(self):
        if self.text:
            self.connection.send(self.text)

    def received(self, data):
        self.answer += bytes(data)

    def ended(self):
        self.connection.close_gracefully()
        self.over()

    def lost(self, reset):
        self.over()

    def fault(self):
        self.over()

    def leave(self):
        self.connection.abort()
        self.over()

    def over(self):
        self.timer.cancel()
        if self.text is WHOLE:
            self.owner.called(self)
        self.text = None


class Callers:
    """At the door of one proxy: `many` that stay, and one more call for the figures each `every` ms."""

    def __init__(self, host, limits, record, name, where, many, every=100.0):
        self.host, self.limits, self.record = host, limits, record
        self.name, self.where, self.many, self.every = name, where, many, every
        self.on = True
        self.call()
        self.stay()

    def connect(self, text, wait):
        caller = Caller(self, self.limits, self.host.clock, text)
        caller.connection = self.host.carrier.connect(caller, self.where)
        caller.set_timer(wait, caller.leave)

    def call(self):
        if self.on:
            self.host.clock.after(self.every, self.call)
            self.connect(WHOLE, DUE)

    def stay(self):
        if self.on:
            self.host.clock.after(STAYS, self.stay)
            for number in range(self.many):
                self.connect(PIECES[number % len(PIECES)], STAYS)

    def called(self, caller):
        status = caller.answer[9:12].decode("ascii", "replace")
        self.record.note(
            "call",
            proxy=self.name,
            status=status,
            took=self.host.clock.now() - caller.began,
        )

    def stop(self):
        self.on = False
