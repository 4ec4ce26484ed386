"""Proxies with one deliberate fault each, which a judge must name: they prove that the judges can fail."""

import math
from dataclasses import replace
from itertools import count

from wheathill.model import Phase
from wheathill.net.line_buffer import CRLF
from wheathill.net.proxy import Proxy
from wheathill.net.server import ServerAttempt


class AnswersTwice(Proxy):
    """Sends a second final answer with each rejection."""

    def reject(self, session, retry_after_ms):
        """Send ERR before the rejection."""
        self.clients[session].connection.send(b"ERR", CRLF)
        super().reject(session, retry_after_ms)


class RejectsAfterDeadline(Proxy):
    """Delays each rejection until after the session's deadline."""

    def reject(self, session, retry_after_ms):
        """Schedule the rejection for 200 ms after the deadline."""
        self.clients[session].timer.cancel()
        self.clock.at(
            session.deadline_ms + 200.0, self.reject_late, session, retry_after_ms
        )

    def reject_late(self, sess, retry_after_ms):
        """Reject the session if its client is still connected."""
        if sess in self.clients:
            super().reject(sess, retry_after_ms)


class FabricatesAnswers(Proxy):
    """Answers UP before any server has."""

    def connect(self, client, server, time_out):
        """Answer the client instead of connecting."""
        client.answer(b"UP made-up")


class StartsParallelAttempts(Proxy):
    """Starts two attempts of a session at the same time, at different servers."""

    def connect(self, client, server, time_out):
        """Connect to `server` and to another one."""
        super().connect(client, server, time_out)
        other = next(
            (
                candidate
                for candidate in self.balancer.endpoint_list.servers
                if candidate is not server
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


class IgnoresDrains(Proxy):
    """Treats a draining server as ready."""

    def parse_entry(self, *args):
        """Replace the phase draining by ready."""
        entry = super().parse_entry(*args)
        if entry.phase is Phase.DRAINING:
            return replace(entry, phase=Phase.READY)
        return entry


class SkipsSlowStart(Proxy):
    """Sends a server that is warming up as many sessions as any other."""

    def __init__(self, *args):
        super().__init__(*args)
        self.balancer.slow_start.allows = lambda now, server: True
        self.balancer.load_estimator.expected_load = lambda now, server: 0.0


class DropsRequests(Proxy):
    """Accepts every 40th session and never handles it."""

    def __init__(self, *args):
        super().__init__(*args)
        self.number = count(1)

    def on_open_request(self, client, came=None):
        """Ignore every 40th request."""
        if next(self.number) % 40:
            super().on_open_request(client, came)


class MigratesWithoutNotice(Proxy):
    """Migrates clients without sending MOVE."""

    def migrate_client(self, client):
        """Reset the client's connection."""
        client.connection.abort(reset=True)
        client.lost(True)


class RejectsAfterEffect(Proxy):
    """Rejects sessions that a server may have executed, which must fail."""

    def fail(self, session):
        """Reject the session instead of failing it."""
        self.reject(session, 0.0)


class RetriesAfterEffect(Proxy):
    """Retries at the next server whatever the outcome of the last attempt."""

    def __init__(self, *args):
        super().__init__(*args)
        self.balancer.server_selector.is_eligible = lambda now, sess, server: (
            server.phase is Phase.READY
        )

    def may_send(self, dial):
        """Allow every attempt at a ready server."""
        return dial.server.phase is Phase.READY


class AllowsOneRetryTooMany(Proxy):
    """Has an off-by-one error at the limit of its retry budget."""

    def __init__(self, *args):
        super().__init__(*args)
        self.balancer.retry_budget.free_retries += 1


class NeverExpiresRetryBudget(Proxy):
    """Counts every session since the start towards its retry budget."""

    def __init__(self, *args):
        super().__init__(*args)
        self.balancer.retry_budget.record_session = self.extend_budget

    def extend_budget(self, now):
        """Enlarge the budget for good."""
        self.balancer.retry_budget.free_retries += (
            self.balancer.retry_budget.retries_per_session
        )


class OmitsMidFlowRetries(Proxy):
    """Does not count the attempts of mid-flow sessions in its retry budget."""

    def __init__(self, *args):
        super().__init__(*args)
        record_attempt = self.balancer.retry_budget.record_attempt
        self.balancer.retry_budget.record_attempt = lambda now, sess: (
            sess.mid_flow or record_attempt(now, sess)
        )


class RaisesInternally(Proxy):
    """Raises an exception in every 50th accepted session."""

    def __init__(self, *args):
        super().__init__(*args)
        self.number = count(1)

    def on_attempt_accepted(self, dial, line):
        """Handle the answer, then raise an exception for every 50th."""
        super().on_attempt_accepted(dial, line)
        if not next(self.number) % 50:
            raise RuntimeError("on purpose")


class OutlivesItsKill(Proxy):
    """Plans a shutdown for the longest dial timeout, however soon it is killed."""

    def apply_config(self, node):
        """Wait for pending sessions without limit."""
        limits = replace(node.limits, max_shutdown_wait_ms=math.inf)
        super().apply_config(replace(node, limits=limits))


# Name -> (proxy class, number of the rule it breaks, part of the judge's message).
MUTANTS = {
    "answers twice": (AnswersTwice, 1, "after the final answer"),
    "answers late": (RejectsAfterDeadline, 1, "after the dial timeout"),
    "makes up answers": (FabricatesAnswers, 1, "which no server gave"),
    "forgets a session": (DropsRequests, 1, "no answer before the dial timeout"),
    "cuts off": (MigratesWithoutNotice, 1, "cut off without MOVE"),
    "dials twice at once": (StartsParallelAttempts, 2, "two dials out at once"),
    "dials what ran": (RetriesAfterEffect, 2, "ran at"),
    "dials what may have run": (RetriesAfterEffect, 2, "may have run"),
    "refuses what ran": (RejectsAfterEffect, 2, "refused although it ran"),
    "dials a drained server": (IgnoresDrains, 3, "after it was told that it leaves"),
    "floods a cold one": (SkipsSlowStart, 4, "dials within"),
    "one dial too many": (AllowsOneRetryTooMany, 5, "further dials"),
    "counts from the start": (NeverExpiresRetryBudget, 5, "further dials"),
    "forgets mid-flow": (OmitsMidFlowRetries, 5, "further dials"),
    "hides a fault": (RaisesInternally, "none", "on purpose"),
}
