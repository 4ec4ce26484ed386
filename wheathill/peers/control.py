"""The control socket: a Unix socket of the owner's, a line of JSON each way. Works beside whatever the proxy is
busy with, as it takes none of the descriptors that clients may hold."""

import orjson

from wheathill.net.machine import Machine


class Control(Machine):
    """One caller. `answer(request, done)` calls `done` with what is told, now or later."""

    LONGEST = 65_536
    CALL = 5000.0

    def __init__(self, post, answer, limits, clock):
        super().__init__(None, limits, clock)
        self.wire, self.answer = post, answer
        self.text = b""

    def connected(self):
        self.set_timer(self.CALL, self.end)

    def received(self, data, handles=()):
        self.wire.carrier.drop(handles)
        self.text += data
        line, end, _ = self.text.partition(b"\n")
        if end:
            self.text = b""
            try:
                request = orjson.loads(line)
                if not isinstance(request, dict):
                    raise ValueError("no object")
            except ValueError as wrong:
                return self.say({"wrong": f"not a request: {wrong}"})
            self.answer(request, self.say)
        elif len(self.text) > self.LONGEST:
            self.end()

    def say(self, found):
        self.wire.send(orjson.dumps(found, option=orjson.OPT_APPEND_NEWLINE))

    def lost(self, reset):
        self.end()

    def fault(self):
        self.end()

    def end(self):
        self.timer.cancel()
        self.wire.close()
