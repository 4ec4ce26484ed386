"""Stand-ins for clients: each opens a session, lives on it, and comes again, patient or not."""

import math

from wheathill.net.line_buffer import CRLF
from wheathill.net.protocol_machine import ProtocolMachine


class Crowd:
    """Clients of one kind: same listener, desk and habits. Times in ms; `life`, `rest` and `think` are
    means."""

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
        self.listener = listener  # as the script has it
        self.runs = runs  # whether the proxy of a name runs
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
        for number in range(count):
            client = Person(
                self,
                f"{self.name}{number}",
                f"{self.name}g{number % self.groups}" if self.groups else None,
            )
            self.clients.append(client)
            self.clock.after(self.uniform(0.0, within), client.begin)

    def herd(self, share, within):
        """So many lose their connection at once and come back within a time."""
        for client in self.clients[: round(len(self.clients) * share)]:
            client.drop()
            self.clock.after(self.uniform(0.0, within), client.begin, True)


class Person:
    """One client over all its sessions. What it means to do keeps its number through repeats."""

    def __init__(self, crowd, name, group):
        self.crowd = crowd
        self.name = name
        self.group = group
        self.visit = None
        self.visits = 0
        self.intention = 0
        self.tried = 0
        self.due = None  # the alarm for its next visit

    def begin(self, again=False):
        if self.visit is None:
            self.intention += 1
            self.tried = 0
            self.go(again=again)

    def go(self, repeat=False, again=False, mid=None):
        crowd = self.crowd
        self.due = None
        if crowd.stopping or self.visit is not None:
            return
        found = crowd.front.pick(crowd.zone)
        if found is None:
            self.later(200.0, repeat, again, mid)
            return
        self.tried += 1
        self.visits += 1
        name = mid or f"{self.name}v{self.visits}"
        self.visit = Visit(self, name, found[0], repeat, again, mid is not None)
        self.visit.start(found[1])

    def later(self, wait, repeat=False, again=False, mid=None):
        if self.due is not None:
            self.due.cancel()
        self.due = self.crowd.clock.after(wait, self.go, repeat, again, mid)

    def drop(self):
        if self.due is not None:
            self.due.cancel()
            self.due = None
        if self.visit is not None:
            self.visit.leave("dropped")

    # How a visit ended

    def over(self, how, come_back_after=None, mid=None):
        crowd = self.crowd
        self.visit = None
        if crowd.stopping:
            return
        if how == "lived":
            self.intention += 1
            self.tried = 0
            self.later(crowd.expovariate(1.0) * crowd.rest)
        elif how in ("moved", "cut"):
            if crowd.returns:
                self.intention += 1
                self.tried = 0
                self.later(crowd.uniform(0.0, 200.0), again=True, mid=mid)
        elif how in ("refused", "failed", "gave up"):
            if crowd.retry == "never" or self.tried >= crowd.tries:
                self.intention += 1
                self.tried = 0
                self.later(crowd.expovariate(1.0) * crowd.rest + crowd.wait)
            elif come_back_after is not None and crowd.random() < crowd.honours:
                self.later(come_back_after * crowd.uniform(1.0, 1.2), repeat=True)
            elif crowd.retry == "at once":
                self.later(5.0, repeat=True)
            else:
                self.later(crowd.wait * crowd.uniform(0.5, 1.5), repeat=True)


class Visit(ProtocolMachine):
    """One connection of a client: a session from its line to its end."""

    def __init__(self, person, name, proxy, repeat, again, mid):
        crowd = person.crowd
        super().__init__(person, crowd.limits, crowd.clock)
        self.person, self.crowd, self.record = person, crowd, crowd.record
        self.name, self.proxy = name, proxy
        self.repeat, self.again, self.mid = repeat, again, mid
        self.opened = None
        self.up = False
        self.over = False
        self.final = False  # nothing may follow
        self.lives = None  # the alarm that ends it
        self.asked = None  # when the line that waits for its answer was sent

    def start(self, address):
        self.crowd.host.dial(self, address, (self.proxy, self.crowd.zone))
        self.set_timer(self.crowd.gives_up, self.give_up)

    def connected(self):
        crowd = self.crowd
        values = [f"c={crowd.listener.name}", f"d={crowd.listener.dial_timeout_ms:.0f}"]
        for key, value in (
            ("t", crowd.desk),
            ("g", self.person.group),
            ("r", self.repeat and "1"),
            ("again", self.again and "1"),
            ("mid", self.mid and "1"),
        ):
            if value:
                values.append(f"{key}={value}")
        self.opened = self.clock.now()
        # Known to its server alone: its load is written on no line.
        if not self.mid:
            sigma = crowd.load_sigma
            crowd.session_loads[self.name] = (
                math.exp(crowd.normal(-sigma * sigma / 2, sigma)) if sigma else 1.0
            )
        self.record.note(
            "open",
            sess=self.name,
            proxy=self.proxy,
            listener=crowd.listener.name,
            crowd=crowd.name,
            desk=crowd.desk,
            deadline=crowd.listener.dial_timeout_ms,
            mid=self.mid,
            effect=f"{self.person.name}/{self.person.intention}",
        )
        self.connection.send(
            b"OPEN ",
            self.name.encode(),
            b" ",
            self.person.name.encode(),
            b" ",
            ",".join(values).encode(),
            CRLF,
        )
        if crowd.leaves and crowd.random() < crowd.leaves:
            self.clock.after(
                crowd.uniform(0.0, 40.0), self.change_mind, crowd.random() < 0.5
            )

    def last_byte_left(self):
        """Of a line that was held: its time counts from here."""
        self.record.note("line out", sess=self.name)

    def change_mind(self, politely):
        """Closes, whatever state it is in: by the end of its sending, or by a reset."""
        if self.over:
            return
        if not politely:
            self.leave("changed its mind")
            return self.person.over("gave up")
        self.record.note("left", sess=self.name, how="changed its mind")
        self.quit()
        self.connection.send_eof()
        self.set_timer(2000.0, self.connection.abort)
        self.person.over("gave up")

    def received(self, data):
        self.lines.feed(data)
        while (line := self.lines.next_line()) is not None:
            if not self.over:
                self.line(line)
            elif self.final:
                self.record.note(
                    "extra", sess=self.name, what=line[:40].decode("ascii", "replace")
                )

    def line(self, line):
        word, _, rest = line.partition(b" ")
        if self.up:
            self.up_line(word)
            return
        now = self.clock.now()
        text = rest.decode("ascii", "replace")
        self.record.note(
            "answer", sess=self.name, word=word.decode("ascii", "replace"), rest=text
        )
        if word == b"UP":
            self.up = True
            self.record.add_handshake(now - self.opened)
            self.lives = self.clock.after(
                self.crowd.expovariate(1.0) * self.crowd.life, self.live_out
            )
            self.set_timer(self.crowd.expovariate(1.0) * self.crowd.think, self.say)
        elif word == b"BUSY":
            self.end("refused", float(text) if text else None)
        else:
            self.end("failed")

    def up_line(self, word):
        if word == b"MOVE":
            self.record.note("moved", sess=self.name)
            self.end("moved")
        elif word == b"BYE":
            self.end("lived")
        elif self.asked is not None and word != b"LOAD":
            self.record.add_message(
                self.clock.now() - self.asked, self.crowd.listener.message_target_ms
            )
            self.asked = None
            self.set_timer(self.crowd.expovariate(1.0) * self.crowd.think, self.say)

    def say(self):
        self.asked = self.clock.now()
        self.connection.send(b"SAY", CRLF)
        self.set_timer(self.crowd.silence, self.unanswered)

    def unanswered(self):
        """Nobody will answer any more, and nobody has said so."""
        self.record.note("unanswered", sess=self.name, waited=self.crowd.silence)
        self.leave("unanswered")
        self.person.over("cut")

    def live_out(self):
        self.record.note("left", sess=self.name, how="lived")
        self.over = True
        self.timer.cancel()
        self.connection.send_eof()
        self.set_timer(2000.0, self.connection.abort)
        self.person.over("lived")

    def give_up(self):
        self.leave("gave up")
        self.person.over("gave up")

    def leave(self, how):
        """Gone without a word."""
        self.record.note("left", sess=self.name, how=how)
        self.quit()
        self.connection.abort(reset=True)

    def quit(self):
        self.over = True
        if self.lives:
            self.lives.cancel()
        self.timer.cancel()
        if self.person.visit is self:
            self.person.visit = None

    def end(self, how, come_back_after=None):
        self.quit()
        self.final = True
        self.connection.send_eof()
        self.set_timer(2000.0, self.connection.abort)
        self.person.over(how, come_back_after)

    def ended(self):
        self.closed("ended")

    def lost(self, reset):
        self.closed(
            "reset" if reset else "ended" if self.opened is not None else "not reached"
        )

    def closed(self, how):
        if self.over:
            self.timer.cancel()
            return self.connection.abort()
        self.quit()
        self.connection.abort()
        if self.opened is None:
            # Never came up: the front will notice; nothing was asked.
            self.record.counts["not reached"] += 1
            return (
                self.person.over("cut", mid=self.name)
                if self.mid
                else self.person.over("failed")
            )
        self.record.note("cut" if self.up else "broken", sess=self.name, how=how)
        # The front sends the packets through another proxy only where this one is gone.
        mid = (
            self.name
            if self.up and self.crowd.mid_flow and not self.crowd.runs(self.proxy)
            else None
        )
        self.person.over("cut" if self.up else "failed", mid=mid)

    def fault(self):
        self.closed("fault")
