"""Stands between a stand-in and its wire, and does to single connections what networks and sick programs do:
bytes held, cut in half, delayed, reset or left half-open, at a named point of a handshake.

To the wire it is the machine, to the machine it is the wire, so the same one serves both worlds. A point is
the first word of what passes: OPEN and UP are the two halves of a handshake.
"""


class Cut:
    """One fault that waits for its point: `first` bytes pass, then `wait` ms nothing, then what `after` says:
    `on` (the rest follows), `reset`, or `half-open` (nothing follows, and nothing more is taken)."""

    def __init__(self, word, first, wait, after, times):
        self.word = word.encode()
        self.first = first
        self.wait = wait
        self.after = after
        self.times = times


class Tap:
    is_connect_postponed = False  # a connection of a stand-in is begun at once
    is_input_void_after_reset = False
    came = None  # when the first byte left its sender, where the way here may hold it for long

    def __init__(self, host, machine, wire=None):
        self.host = host
        self.life = host.life
        self.machine = machine
        self.connection = wire
        self.held_in = None  # what waits behind a cut, in order
        self.held_out = None
        self.dead = False  # half-open: nothing passes any more
        machine.connection = self

    def __getattr__(self, name):
        return getattr(
            self.connection, name
        )  # what no fault concerns is the wire's: open, full, hold, ...

    def find(self, data):
        for cut in self.host.cuts:
            if cut.times > 0 and data[: len(cut.word)] == cut.word:
                cut.times -= 1
                return cut
        return None

    # From the wire

    def connected(self):
        # On sockets it may have been given up while it came up.
        if not self.dead:
            self.machine.connected()

    def received(self, data):
        if self.dead:
            return
        if self.held_in is not None:
            self.held_in.append((self.machine.received, bytes(data)))
            return
        cut = self.find(bytes(data[:8])) if self.host.cuts else None
        if cut is None:
            return self.machine.received(data)
        data = bytes(data)
        self.machine.received(data[: cut.first])
        self.held_in = [(self.machine.received, data[cut.first :])]
        self.host.clock.after(cut.wait, self.go_on, cut, "held_in")

    def ended(self):
        self.pass_in(self.machine.ended)

    def blocked(self, on):
        self.machine.blocked(on)

    def lost(self, reset):
        self.dead = True
        self.machine.lost(reset)

    def release(self):
        self.machine.release()

    def fault(self):
        self.connection.abort(reset=True)
        self.machine.lost(True)

    def pass_in(self, call, *args):
        if self.dead:
            return
        if self.held_in is not None:
            self.held_in.append((call, *args))
        else:
            call(*args)

    # From the machine

    def send(self, *parts):
        if self.dead:
            return
        if self.held_out is not None:
            self.held_out.append((self.connection.send, *parts))
            return
        cut = self.find(parts[0][:8]) if self.host.cuts else None
        if cut is None:
            return self.connection.send(*parts)
        data = b"".join(parts)
        if cut.first:
            self.connection.send(data[: cut.first])
        self.held_out = [(self.connection.send, data[cut.first :])]
        self.host.clock.after(cut.wait, self.go_on, cut, "held_out")

    def send_eof(self):
        self.pass_out(self.connection.send_eof)

    def close_gracefully(self):
        self.pass_out(self.connection.close_gracefully)

    def abort(self, reset=False):
        self.dead = True
        self.connection.abort(reset=reset)

    def pass_out(self, call):
        if self.dead:
            return
        if self.held_out is not None:
            self.held_out.append((call,))
        else:
            call()

    def go_on(self, cut, side):
        held = getattr(self, side)
        setattr(self, side, None)
        if self.dead:
            return
        if cut.after == "reset":
            self.dead = True
            self.connection.abort(reset=True)
            self.machine.lost(True)
        elif cut.after == "half-open":
            self.dead = True
        else:
            for call, *args in held:
                call(*args)
            if side == "held_out":
                self.machine.last_byte_left()
