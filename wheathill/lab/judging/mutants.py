"""Proxies broken on purpose, each in one way that a judge must name: they prove that the judges can fail."""

from dataclasses import replace
from itertools import count

from wheathill.model import Phase
from wheathill.net.line_buffer import CRLF
from wheathill.net.proxy import Proxy
from wheathill.net.server import ServerAttempt


class AnswersTwice(Proxy):
    def reject(self, session, retry_after_ms):
        self.clients[session].connection.send(b"ERR", CRLF)
        super().reject(session, retry_after_ms)


class AnswersLate(Proxy):
    """Holds a refusal back until after the deadline."""

    def reject(self, session, retry_after_ms):
        self.clients[session].timer.cancel()
        self.clock.at(
            session.deadline_ms + 200.0, self.refuse_late, session, retry_after_ms
        )

    def refuse_late(self, sess, come_back_after):
        if sess in self.clients:
            super().reject(sess, come_back_after)


class MakesUpAnswers(Proxy):
    """Says UP before any server has."""

    def connect(self, client, server, time_out):
        client.answer(b"UP made-up")


class DialsTwiceAtOnce(Proxy):
    def connect(self, client, server, time_out):
        super().connect(client, server, time_out)
        other = next(
            (
                each
                for each in self.balancer.endpoint_list.servers
                if each is not server
            ),
            None,
        )
        if other is not None:
            second = ServerAttempt(client, other, self, self.limits, self.clock)
            second.report_end = lambda outcome: None
            second.address = self.addresses[other]
            second.start(
                self.transport.connect(second, second.address),
                time_out,
                self.limits.connect_timeout_ms,
            )


class DialsDrained(Proxy):
    """Takes a server that drains for a ready one."""

    def parse_entry(self, *args):
        entry = super().parse_entry(*args)
        if entry.phase is Phase.DRAINING:
            return replace(entry, phase=Phase.READY)
        return entry


class FloodsCold(Proxy):
    def __init__(self, *args):
        super().__init__(*args)
        self.balancer.slow_start.allows = lambda now, server: True
        self.balancer.load_estimator.expected_load = lambda now, server: 0.0


class Forgets(Proxy):
    """Every fortieth session is taken and thought of no more."""

    def __init__(self, *args):
        super().__init__(*args)
        self.number = count(1)

    def on_open_request(self, client, came=None):
        if next(self.number) % 40:
            super().on_open_request(client, came)


class CutsOff(Proxy):
    """Moves clients without telling them."""

    def migrate_client(self, client):
        client.connection.abort(reset=True)
        client.lost(True)


class RefusesWhatRan(Proxy):
    def fail(self, session):
        self.reject(session, 0.0)


class DialsWhatRan(Proxy):
    """Tries the next server whatever has become of the last dial."""

    def __init__(self, *args):
        super().__init__(*args)
        self.balancer.server_selector.is_eligible = lambda now, sess, server: (
            server.phase is Phase.READY
        )

    def may_send(self, dial):
        return dial.server.phase is Phase.READY


class OneTooMany(Proxy):
    """Off by one at the edge of its budget."""

    def __init__(self, *args):
        super().__init__(*args)
        self.balancer.retry_budget.free_retries += 1


class CountsFromTheStart(Proxy):
    """Every session it ever took allows further dials."""

    def __init__(self, *args):
        super().__init__(*args)
        self.balancer.retry_budget.record_session = self.took

    def took(self, now):
        self.balancer.retry_budget.free_retries += (
            self.balancer.retry_budget.retries_per_session
        )


class ForgetsMidFlow(Proxy):
    """What packets of open connections make it dial is not counted."""

    def __init__(self, *args):
        super().__init__(*args)
        count = self.balancer.retry_budget.record_attempt
        self.balancer.retry_budget.record_attempt = lambda now, sess: (
            sess.mid_flow or count(now, sess)
        )


class Hides(Proxy):
    """An error of its own in every fiftieth session."""

    def __init__(self, *args):
        super().__init__(*args)
        self.number = count(1)

    def on_attempt_accepted(self, dial, line):
        super().on_attempt_accepted(dial, line)
        if not next(self.number) % 50:
            raise RuntimeError("on purpose")


# name -> (the proxy, what the judge says of it)
MUTANTS = {
    "answers twice": (AnswersTwice, 1, "after the final answer"),
    "answers late": (AnswersLate, 1, "after the dial timeout"),
    "makes up answers": (MakesUpAnswers, 1, "which no server gave"),
    "forgets a session": (Forgets, 1, "no answer before the dial timeout"),
    "cuts off": (CutsOff, 1, "cut off without MOVE"),
    "dials twice at once": (DialsTwiceAtOnce, 2, "two dials out at once"),
    "dials what ran": (DialsWhatRan, 2, "ran at"),
    "dials what may have run": (DialsWhatRan, 2, "may have run"),
    "refuses what ran": (RefusesWhatRan, 2, "refused although it ran"),
    "dials a drained server": (DialsDrained, 3, "after it was told that it leaves"),
    "floods a cold one": (FloodsCold, 4, "dials within"),
    "one dial too many": (OneTooMany, 5, "further dials"),
    "counts from the start": (CountsFromTheStart, 5, "further dials"),
    "forgets mid-flow": (ForgetsMidFlow, 5, "further dials"),
    "hides a fault": (Hides, "none", "on purpose"),
}
