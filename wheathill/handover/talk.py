"""The two ends of a handover, as state machines fed bytes and handles: lines of JSON, one message each.

    new                               old
    hello VERSION NAME           ->
                                 <-   no WHY, or accepting stops; state messages, then told
    took (whether from the state) ->
                                 <-   sessions [...], with two handles each     } until the old one
    carried COUNT                ->                                             } has none left
                                 <-   held COUNT (descriptors)                  } and ends
    hand NAME OUT               <->   hand NAME OUT                             }

Bounded: a line by `limits.list_line`, waits by `limits.handover`. Whoever is in doubt closes.
"""

from itertools import islice

import orjson

from wheathill.handover.state import VERSION, Told, read_session, tell, told_session
from wheathill.net.machine import Machine


class Talk(Machine):
    def __init__(self, post, proxy, hub):
        super().__init__(hub, proxy.limits, proxy.clock)
        self.wire = post
        self.proxy = proxy
        self.text = b""
        self.handles = []  # that came and were not taken yet
        self.over = False

    def say(self, handles=(), **message):
        self.wire.send(
            orjson.dumps(message, default=tuple, option=orjson.OPT_APPEND_NEWLINE),
            handles,
        )

    def received(self, data, handles=()):
        self.handles += handles
        *lines, self.text = (self.text + data).split(b"\n")
        try:
            if len(self.text) > self.limits.list_line:
                raise ValueError("a message too long")
            for line in lines:
                if not self.over:
                    for name, value in orjson.loads(line).items():
                        self.take(name, value)
        except (ValueError, AttributeError) as wrong:
            self.end(f"{wrong}")

    def lost(self, reset):
        self.end("the other process is gone")

    def fault(self):
        self.end("a fault")

    def end(self, why):
        if not self.over:
            self.over = True
            self.timer.cancel()
            self.wire.close()
            self.wire.carrier.drop(self.handles)
            self.handles = []
            self.ended_by(why)

    def too_slow(self):
        self.end("no answer in time")

    def adopt(self, sessions, handles):
        """Two handles each, counted so far as plain descriptors."""
        for place, told in enumerate(sessions):
            pair = handles[2 * place : 2 * place + 2]
            try:
                line, sess, more = read_session(told, self.proxy.listeners)
                self.proxy.carry(line, sess, pair, **more)
            except ValueError as wrong:
                self.wire.carrier.drop(pair)
                self.door.log_event("bad handover", what=str(wrong))

    def hand(self, name, out):
        """An operator's call at the other's door."""
        self.say(hand=[name, out])

    def take_hand(self, value):
        name, out = value
        if not isinstance(name, str) or not isinstance(out, bool):
            raise ValueError("hand without a name")
        self.proxy.by_hand(name, out, told=self)


class Giver(Talk):
    """The old process's end."""

    def __init__(self, post, proxy, hub):
        super().__init__(post, proxy, hub)
        self.state = "met"  # then asked, and given
        self.out = []  # handles that were sent and may still have to be taken back
        self.sent = []  # what was told of their sessions
        self.held = None  # descriptors, as last told

    @property
    def agreed(self):
        return self.state != "met"

    def connected(self):
        self.set_timer(self.limits.handover, self.too_slow)

    def take(self, name, value):
        if name == "hello" and self.state == "met":
            self.hello(value)
        elif name == "took" and self.state == "asked":
            self.timer.cancel()
            self.state = "given"
            self.door.given(self, value)
            self.carry()
        elif name == "carried" and self.state == "given":
            self.carried(value)
        elif name == "hand" and self.state != "met":
            self.take_hand(value)
        else:
            raise ValueError(f"{name} out of turn")

    def hello(self, value):
        mine = [VERSION, self.proxy.node.name]
        why = (
            "it speaks another version, or for another proxy"
            if value != mine
            else self.door.busy()
        )
        if why:
            self.say(no=why)
            return self.end(why)
        self.state = "asked"
        self.door.asked(self)
        self.set_timer(self.limits.handover, self.too_slow)
        for message in tell(self.proxy):
            self.say(**message)
        self.say(told=True)
        self.door.told()

    def carry(self):
        """A few at a time, the next when these are taken: descriptors are doubled on their way."""
        if self.over:
            return
        held = self.wire.carrier.sockets + self.limits.own_sockets
        if held != self.held:
            self.held = held
            self.say(held=held)
        if self.sent:
            return
        handles, told = [], []
        # No more of them are looked at than go over now: all, each time, would be their square.
        quiet = (
            (sess, client)
            for sess, client in self.proxy.clients.items()
            if client.quiet
        )
        for sess, client in list(islice(quiet, self.limits.carried)):
            state = told_session(client, client.dial)
            pair = self.proxy.hand_over(sess, client)
            if pair:
                told.append(state)
                handles += pair
        if told:
            self.out, self.sent = handles, told
            self.say(handles, sessions=told)
        self.set_timer(self.limits.carry_every, self.carry)

    def carried(self, value):
        if value != len(self.sent):
            raise ValueError("not what was sent")
        self.wire.carrier.drop(self.out)
        self.out, self.sent = [], []
        self.carry()

    def ended_by(self, why):
        """What was sent and not said to be taken is still ours to serve: the other end answers before it
        reads a byte of it."""
        out, sent, self.out, self.sent = self.out, self.sent, [], []
        self.adopt(sent, out)
        self.door.giver_over(self, why)


class Taker(Talk):
    """The new process's end."""

    def __init__(self, post, proxy, hub):
        super().__init__(post, proxy, hub)
        self.told = Told(proxy.limits)
        self.took = False

    @property
    def agreed(self):
        return self.took

    def connected(self):
        self.set_timer(self.limits.handover, self.too_slow)
        self.say(hello=[VERSION, self.proxy.node.name])

    def take(self, name, value):
        if self.took:
            if name == "sessions":
                self.sessions(value)
            elif name == "held":
                self.wire.carrier.lent = int(value)
            elif name == "hand":
                self.take_hand(value)
            else:
                raise ValueError(f"{name} out of turn")
        elif name == "no":
            self.end(str(value))
        elif name == "told":
            self.timer.cancel()
            self.took = True
            self.use()
        else:
            self.told.take(name, value)

    def use(self):
        why = None
        try:
            self.told.apply(self.proxy)
        except ValueError as wrong:
            why = str(wrong)
        self.told = None
        self.door.taken(self, why)
        self.say(took=why is None)

    def sessions(self, value):
        if not isinstance(value, list) or len(self.handles) < 2 * len(value):
            raise ValueError("sessions without their handles")
        # Before a byte of them is read: who dies now has taken none.
        self.say(carried=len(value))
        handles, self.handles = (
            self.handles[: 2 * len(value)],
            self.handles[2 * len(value) :],
        )
        self.adopt(value, handles)

    def ended_by(self, why):
        self.wire.carrier.lent = 0
        self.door.taker_over(self, why)
