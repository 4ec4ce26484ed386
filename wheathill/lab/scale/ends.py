"""Stand-ins at both ends of a proxy, many in one process: servers that answer and deliver, clients that come, listen
and ask. Run as `python -m wheathill.lab.scale.ends`, told what to do by lines of JSON on standard input.

Load is open: each line has an intended time at a constant rate, is written however late the proxy is, and says
that time, so that whoever gets it knows how long it took from then on (CLOCK_MONOTONIC is one for all processes).
"""

import asyncio
import json
import os
import random
import sys
import time
from types import SimpleNamespace

from wheathill.lab.worlds.host import raise_fault
from wheathill.net.clock import Clock
from wheathill.net.line_buffer import CRLF
from wheathill.net.protocol_machine import ProtocolMachine
from wheathill.net.transport import Transport

LIMITS = SimpleNamespace(
    max_line_bytes=8192,
    receive_buffer_bytes=65536,
    max_sockets=1_000_000,
    reserved_sockets=0,
    listen_backlog=4096,
    accept_batch_size=64,
    accept_pause_ms=10.0,
    keepalive_idle_ms=600_000.0,
    linger_ms=1000.0,
    max_buffered_bytes=65536,
)
EVERY = 1.0  # between two looks at what is due, ms
AT_A_LOOK = 256  # lines written before what came is read
SIGNIFICANT = 3  # digits of a latency
# How a session may end, and which of them are its server's to do: at its first line, and instead of UP.
SERVERS_ENDS = ("by_bye", "by_server_reset")
UNANSWERED = ("by_busy", "by_err", "by_leaving")
# Where many fail the proxy takes few in: one in 26 does.
WAYS = (
    *SERVERS_ENDS,
    *UNANSWERED,
    "by_nonsense",
    "by_looking",
    *15 * ("by_bye", "by_finishing", "by_client_reset"),
)


class Served(ProtocolMachine):
    """A proxy's connection to a server."""

    def connected(self):
        self.open = False

    def received(self, data):
        self.lines.feed(data)
        while (line := self.lines.next_line()) is not None:
            if self.open:
                if self.way in SERVERS_ENDS:
                    return self.end_it(self.way)
                if self.owner.holds:
                    self.owner.held.append((self, line))
                else:
                    self.connection.send(line, CRLF)
            elif line.startswith(b"OPEN "):
                self.open = True
                key = line.split(b" ")[2]
                self.way = (
                    key.partition(b"-")[0].decode() if key.startswith(b"by_") else ""
                )
                if self.way in UNANSWERED:
                    return self.end_it(self.way)
                self.owner.served[self] = None
                self.connection.send(b"UP r", line.split(b" ")[1], CRLF)
            else:
                self.connection.send(b"PONG util=0.3", CRLF)

    def end_it(self, way):
        if way == "by_bye":
            self.connection.send(b"BYE", CRLF)
        elif way == "by_busy":
            self.connection.send(b"BUSY", CRLF)
        elif way == "by_err":
            self.connection.send(b"ERR", CRLF)
        if way == "by_server_reset":
            self.lost(True)
            self.connection.abort(reset=True)
        elif way != "by_leaving":
            self.lost(False)
            self.connection.close_gracefully()

    def ended(self):
        self.lost(False)
        self.connection.abort()

    def lost(self, reset):
        self.owner.served.pop(self, None)

    def fault(self):
        self.lost(True)
        self.connection.abort()


class Caller(ProtocolMachine):
    """One client: comes, and comes again where it has to."""

    def __init__(self, door, number):
        super().__init__(door, LIMITS, door.clock)
        self.number = number
        self.up = False
        self.began = 0.0
        self.tries = 0

    def come(self):
        self.lines.unconsumed, self.up = b"", False
        self.connection = self.owner.carrier.connect(self, self.owner.proxy)

    def connected(self):
        self.tries += 1
        group = (
            b",g=t%d" % (self.number % self.owner.groups) if self.owner.groups else b""
        )
        self.connection.send(
            b"OPEN %s-%d-%d k%s-%d c=any,d=%d%s"
            % (
                self.owner.name,
                self.number,
                self.tries,
                self.owner.name,
                self.number,
                self.owner.patience,
                group,
            ),
            CRLF,
        )

    def received(self, data):
        self.lines.feed(data)
        while (line := self.lines.next_line()) is not None:
            word, _, rest = line.partition(b" ")
            if self.up and word in (b"D", b"Q"):
                self.owner.took[word].append(time.monotonic_ns() - int(rest))
            elif self.up and word == b"MOVE":
                self.owner.counts["moved"] += 1
                self.began = self.clock.now()
                return self.again(self.owner.spread())
            elif not self.up and word == b"UP":
                self.up = True
                self.owner.ups.append(self.clock.now() - self.began)
                self.owner.is_up(self)
            elif not self.up:
                self.owner.counts["refused" if word == b"BUSY" else "failed"] += 1
                return self.again(float(rest) if word == b"BUSY" and rest else 500.0)

    def again(self, wait):
        """After that many ms at the place that holds then."""
        self.connection.abort(reset=True)
        self.leave(wait)

    def leave(self, wait):
        self.owner.up.pop(self, None)
        self.up = False
        if self.owner.returns:
            self.set_timer(wait, self.come)

    def ended(self):
        self.lost(False)
        self.connection.abort(reset=True)

    def lost(self, reset):
        self.owner.counts["lost" if self.up else "not up"] += 1
        if self.up:
            self.began = self.clock.now()
        self.leave(self.owner.spread())

    def fault(self):
        self.lost(True)
        self.connection.abort(reset=True)


class Passer(ProtocolMachine):
    """A client whose session ends at once, one way or another."""

    def __init__(self, door, number, way):
        super().__init__(door, LIMITS, door.clock)
        self.number, self.way = number, way
        self.up = False

    def connected(self):
        if self.way == "by_looking":
            return self.connection.send(b"PING", CRLF)
        if self.way == "by_nonsense":
            return self.connection.send(b"WHAT", CRLF)
        self.connection.send(
            b"OPEN %s-%d %s-%d c=any,d=2000"
            % (self.owner.name, self.number, self.way.encode(), self.number),
            CRLF,
        )
        if self.way == "by_leaving":
            self.set_timer(20.0, self.leave)

    def received(self, data):
        self.lines.feed(data)
        while (line := self.lines.next_line()) is not None:
            if not self.up and line.startswith(b"UP"):
                self.up = True
                self.owner.counts["up"] += 1
                if self.way == "by_client_reset":
                    return self.leave()
                self.connection.send(b"a line", CRLF)
            elif self.way in ("by_finishing", "by_looking"):
                return self.connection.send_eof()

    def leave(self):
        self.connection.abort(reset=True)
        self.owner.passed()

    def ended(self):
        self.connection.abort()
        self.owner.passed()

    def lost(self, reset):
        self.timer.cancel()
        self.owner.passed()

    def fault(self):
        self.connection.abort(reset=True)


class Ends:
    """One process of stand-ins; each method whose name begins with `do_` is a command, and answers with an object."""

    def __init__(self, loop):
        self.loop = loop
        self.clock = Clock(loop)
        self.carrier = Transport(loop, LIMITS, raise_fault)
        self.served, self.held, self.holds = {}, [], False
        self.callers, self.up = [], {}
        self.fresh()
        self.returns, self.groups, self.patience = True, 0, 10_000
        self.chance = random.Random(0)
        self.rest = b""
        self.worst = 0.0

    def fresh(self):
        self.took = {b"D": [], b"Q": []}
        self.ups = []
        self.counts = dict.fromkeys(("moved", "refused", "failed", "lost", "not up"), 0)

    def spread(self):
        return self.chance.uniform(0.0, self.over)

    def is_up(self, caller):
        self.up[caller] = None
        if self.awaited and len(self.up) >= self.awaited[0]:
            (_, since), self.awaited = self.awaited, None
            self.say(
                {
                    "up": len(self.up),
                    "after_ms": self.clock.now() - since,
                    "counts": self.counts,
                    "ms": quantiles([round(ms * 1e6) for ms in self.ups]),
                }
            )

    awaited = None
    over = 2000.0

    # Commands

    def do_serve(self, doors, host):
        self.doors = [
            self.carrier.listen(
                lambda wire: self.served_at(wire), (host, 0), lambda: True
            )
            for _ in range(doors)
        ]
        return {"at": [door.sock.getsockname() for door in self.doors]}

    def served_at(self, wire):
        machine = Served(self, LIMITS, self.clock)
        machine.connection = wire
        return machine

    def do_hold(self, on, half=0):
        """Answers wait, and each client gets `half` bytes of a line; or all is let go."""
        self.holds = on
        for machine in self.served if half else ():
            self.wire_half(machine, on, half)
        held, self.held = ([], self.held) if on else (self.held, [])
        for machine, line in held:
            machine.connection.send(line, CRLF)
        return {}

    @staticmethod
    def wire_half(machine, on, half):
        machine.connection.send(b"x" * half if on else CRLF)

    def do_deliver(self, rate, seconds, seed):
        """Lines at `rate` a second to clients drawn at random; answers when the last is written."""
        machines, draw = list(self.served), random.Random(seed).choices
        self.open_load(
            rate,
            seconds,
            lambda due: b"D %d" % due,
            iter(draw(machines, k=int(rate * seconds) + 1)),
        )

    def do_ask(self, every, seconds):
        """A line from each client every so many seconds, evenly spread; its server echoes it."""
        callers = list(self.up)
        self.open_load(
            len(callers) / every,
            seconds,
            lambda due: b"Q %d" % due,
            (
                callers[place % len(callers)]
                for place in range(int(len(callers) / every * seconds) + 1)
            ),
        )

    def open_load(self, rate, seconds, line, to):
        start, self.worst, written = time.monotonic_ns(), 0.0, 0
        gap, count = 1e9 / rate, int(rate * seconds)

        def look():
            nonlocal written
            now = time.monotonic_ns()
            self.worst = max(self.worst, (now - start - written * gap) / 1e6)
            for _ in range(AT_A_LOOK):
                due = start + round(written * gap)
                if written >= count or due > now:
                    break
                machine = next(to)
                machine.connection.send(line(due), CRLF)
                written += 1
            if written >= count:
                self.say(
                    {
                        "written": written,
                        "behind_ms": self.worst,
                        "seconds": (time.monotonic_ns() - start) / 1e9,
                    }
                )
            elif start + written * gap <= now:
                self.loop.call_soon(look)
            else:
                self.clock.after(EVERY, look)

        look()

    def do_come(self, proxy, count, rate, name, groups=0, seed=0):
        """So many more clients, at `rate` a second; answers once all are up."""
        self.proxy, self.groups, self.name = tuple(proxy), groups, name.encode()
        self.chance.seed(seed)
        self.awaited = len(self.up) + count, self.clock.now()
        first = len(self.callers)
        self.ups = []
        for place in range(count):
            caller = Caller(self, first + place)
            self.callers.append(caller)
            self.clock.after(place * 1000 / rate, self.begin, caller)

    def begin(self, caller):
        caller.began = self.clock.now()
        caller.come()

    def do_pass(self, proxy, count, rate, name, first):
        """So many clients, at `rate` a second, whose sessions end in all ways by turns; answers once all are over."""
        self.proxy, self.name, self.left = tuple(proxy), name.encode(), count
        self.counts["up"] = 0
        for place in range(count):
            self.clock.after(place * 1000 / rate, self.begin_passing, first + place)

    def begin_passing(self, number):
        passer = Passer(self, number, WAYS[number % len(WAYS)])
        passer.connection = self.carrier.connect(passer, self.proxy)

    def passed(self):
        self.left -= 1
        if not self.left:
            self.say({"up": self.counts["up"]})

    def do_expect(self, proxy, over):
        """Whoever loses its connection from now on comes to `proxy`, after a random part of `over` ms."""
        self.proxy, self.over = tuple(proxy), over
        self.fresh()
        return {}

    def do_back(self):
        """Answers as soon as all have lost their connection and are up again, with how long each took from the loss
        on, its own wait included."""
        if (
            len(self.up)
            == len(self.callers)
            <= self.counts["lost"] + self.counts["moved"]
        ):
            return {
                "up": len(self.up),
                "counts": self.counts,
                "ms": quantiles([round(ms * 1e6) for ms in self.ups]),
            }
        self.clock.after(20.0, self.do, "back", {})

    def do_stay_away(self):
        self.returns = False
        return {}

    def do_took(self):
        """Latencies since the last time it was asked, of deliveries and of echoes."""
        found = {
            "deliveries": quantiles(self.took[b"D"]),
            "echoes": quantiles(self.took[b"Q"]),
            "counts": self.counts,
        }
        self.fresh()
        return found

    def do_count(self):
        return {
            "up": len(self.up),
            "served": len(self.served),
            "held": len(self.held),
            "processor_s": time.process_time(),
        }

    # The way to whoever started it

    def say(self, found):
        os.write(sys.stdout.fileno(), json.dumps(found).encode() + b"\n")

    def do(self, command, told):
        answer = getattr(self, "do_" + command)(**told)
        if answer is not None:
            self.say(answer)

    def told(self):
        data = os.read(sys.stdin.fileno(), 65536)
        if not data:
            return self.loop.stop()
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            told = json.loads(line)
            self.do(told.pop("do"), told)


def quantiles(took):
    """`took` in ns; ms at the usual places of an HDR histogram, and its counts for adding up."""
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(1, 60_000_000, SIGNIFICANT)  # us
    for ns in took:
        histogram.record_value(max(1, ns // 1000))
    return {"count": histogram.total_count, "encoded": histogram.encode().decode()}


def merged(parts):
    """Quantiles, ms, of several processes' histograms together."""
    from hdrh.histogram import HdrHistogram

    whole = HdrHistogram(1, 60_000_000, SIGNIFICANT)
    for part in parts:
        whole.add(HdrHistogram.decode(part["encoded"].encode()))
    return {
        "count": whole.total_count,
        **{
            f"p{name}": whole.get_value_at_percentile(at) / 1000
            for name, at in (("50", 50.0), ("99", 99.0), ("99_9", 99.9), ("100", 100.0))
        },
    }


def main():
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(
        lambda _, context: (sys.stderr.write(repr(context) + "\n"), os._exit(3))
    )
    ends = Ends(loop)
    loop.add_reader(sys.stdin.fileno(), ends.told)
    loop.run_forever()


if __name__ == "__main__":
    main()
