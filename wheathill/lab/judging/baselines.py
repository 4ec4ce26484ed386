"""Baseline policies for comparison in the lab, which replace the decision module behind the same interface.

Random choice, random choice by registered weight, least connections, the power of two choices (Mitzenmacher 2001), and
`true sight`, an oracle that reads the servers' true load at the moment of the choice, which no proxy can.
"""

from functools import partial

from wheathill.model import AttemptOutcome
from wheathill.policy.balancer import Balancer
from wheathill.policy.retry_rules import may_reject, may_retry
from wheathill.policy.stage import Stage, connect_stages


class BaselineSelector(Stage):
    """Selects a server for each attempt, retries where a retry is allowed, and otherwise rejects or fails."""

    def __init__(self, balancer, select, max_attempts):
        self.balancer = balancer
        self.select = select
        self.max_attempts = max_attempts

    def enter(self, now, sess):
        """Start the first attempt."""
        sess.slot = self.balancer.slot_table.slot_of(sess)
        self.start_attempt(now, sess)

    def start_attempt(self, now, sess):
        """Start an attempt at an eligible server, or give the session up if there is none."""
        tried = [attempt.server for attempt in sess.attempts]
        eligible = [
            server
            for server in self.balancer.endpoint_list.servers
            if server not in tried
            and self.balancer.endpoint_list.may_attempt(now, server, False)
            and may_retry(now, sess, server)
        ]
        if eligible:
            sess.server = self.select(eligible)
            self.next_stage.enter(now, sess)
        else:
            self.give_up(sess)

    def on_accepted(self, now, sess):
        """Do nothing: a baseline keeps no state of accepted sessions."""
        pass

    def on_failed(self, now, sess, outcome):
        """Retry within the session's deadline and limit of attempts."""
        if (
            len(sess.attempts) < self.max_attempts
            and sess.deadline_ms > now
            and outcome is not AttemptOutcome.CANCELLED
        ):
            self.start_attempt(now, sess)
        else:
            self.give_up(sess)

    def give_up(self, sess):
        """Reject the session where that is allowed, otherwise fail it."""
        sess.has_ended = True
        if may_reject(sess):
            self.balancer.effects.reject(sess, sess.listener.handshake_target_ms)
        else:
            self.balancer.effects.fail(sess)


class Baseline(Balancer):
    """Uses the module's endpoint list, attempts and retry rules, but not its slot exceptions, load levels or limits."""

    def __init__(self, select, effects, rng, settings):
        super().__init__(effects, rng, settings)
        selector = BaselineSelector(self, partial(select, rng), settings.max_attempts)
        connect_stages(selector, self.attempt_runner)
        self.admission = selector
        # The figures of the admission stage are empty, for code that reads them.
        selector.in_progress = {}
        selector.on_setup_failure = lambda now: None

    def tick(self, now):
        """Migrate sessions off draining servers."""
        servers = dict.fromkeys(
            sess.server for sessions in self.slot_table.sessions for sess in sessions
        )
        self.session_migrator.migrate_off_draining(now, servers)


def at_random(rng, eligible):
    """Select a server uniformly at random."""
    return rng.choice(eligible)


def by_weight(rng, eligible):
    """Select a server at random in proportion to its registered weight."""
    return rng.choices(eligible, [server.weight for server in eligible])[0]


def least_connections(rng, eligible):
    """Select the server with the fewest sessions of this proxy, at random among equals."""
    return min(eligible, key=lambda server: (len(server.sessions), rng.random()))


def two_choices(rng, eligible):
    """Select of two random servers the one with fewer sessions of this proxy."""
    return min(
        rng.sample(eligible, min(2, len(eligible))),
        key=lambda server: len(server.sessions),
    )


def true_sight(gateways, rng, eligible):
    """Select the healthy server with the lowest true load; its handshakes in progress count as established sessions."""

    def load(server):
        gateway = gateways[server.name]
        host = gateway.host
        is_healthy = (
            host.alive
            and not host.silent
            and not host.paused
            and not gateway.is_failing
        )
        pending_load = (gateway.busy + len(gateway.waiting)) / gateway.holds
        return (
            not is_healthy,
            gateway.load + pending_load / gateway.readiness(),
            rng.random(),
        )

    return min(eligible, key=load)


POLICIES = (
    "module",
    "random",
    "weighted-random",
    "least-connections",
    "two-choices",
    "true-sight",
)


def decisions(policy, gateways):
    """Return what creates a proxy's decision module for `policy`, with the parameters of `Balancer`."""
    if policy == "module":
        return Balancer
    select = {
        "random": at_random,
        "weighted-random": by_weight,
        "least-connections": least_connections,
        "two-choices": two_choices,
        "true-sight": partial(true_sight, gateways),
    }[policy]
    return partial(Baseline, select)
