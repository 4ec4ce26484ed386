"""Policies to compare with, in the lab only: they stand in for the decision module behind the same interface.

Random choice, random choice by registered weight, least connections, the power of two choices (Mitzenmacher 2001), and
`true sight`, which reads the gateways' true load at the moment of the choice and which no proxy can have.
"""

from functools import partial

from wheathill.model import AttemptOutcome
from wheathill.policy.balancer import Balancer
from wheathill.policy.retry_rules import may_reject, may_retry
from wheathill.policy.stage import Stage, connect_stages


class Plain(Stage):
    """Picks, dials, and picks again after a dial that may be repeated; refuses when that has no use."""

    def __init__(self, balancer, pick, most_dials):
        self.balancer = balancer
        self.pick = pick
        self.most_dials = most_dials

    def enter(self, now, sess):
        sess.slot = self.balancer.slot_table.slot_of(sess)
        self.go(now, sess)

    def go(self, now, sess):
        tried = [dial.server for dial in sess.attempts]
        able = [
            server
            for server in self.balancer.endpoint_list.servers
            if server not in tried
            and self.balancer.endpoint_list.may_attempt(now, server, False)
            and may_retry(now, sess, server)
        ]
        if able:
            sess.server = self.pick(able)
            self.next_stage.enter(now, sess)
        else:
            self.give_up(sess)

    def on_accepted(self, now, sess):
        pass

    def on_failed(self, now, sess, outcome):
        if (
            len(sess.attempts) < self.most_dials
            and sess.deadline_ms > now
            and outcome is not AttemptOutcome.CANCELLED
        ):
            self.go(now, sess)
        else:
            self.give_up(sess)

    def give_up(self, sess):
        sess.has_ended = True
        if may_reject(sess):
            self.balancer.effects.reject(sess, sess.listener.handshake_target_ms)
        else:
            self.balancer.effects.fail(sess)


class Baseline(Balancer):
    """The module's list, its dials and its rules; none of its table, levels or limits."""

    def __init__(self, pick, effects, rng, settings):
        super().__init__(effects, rng, settings)
        plain = Plain(self, partial(pick, rng), settings.max_attempts)
        connect_stages(plain, self.attempt_runner)
        self.admission = plain
        # What asks for figures of set-ups under way finds none.
        plain.in_progress = {}
        plain.on_setup_failure = lambda now: None

    def tick(self, now):
        servers = dict.fromkeys(
            sess.server for held in self.slot_table.sessions for sess in held
        )
        self.session_migrator.migrate_off_draining(now, servers)


def at_random(rng, able):
    return rng.choice(able)


def by_weight(rng, able):
    return rng.choices(able, [server.weight for server in able])[0]


def least_connections(rng, able):
    return min(able, key=lambda server: (len(server.sessions), rng.random()))


def two_choices(rng, able):
    return min(
        rng.sample(able, min(2, len(able))), key=lambda server: len(server.sessions)
    )


def true_sight(gateways, rng, able):
    """Lowest true load, of those that run; a gateway's set-ups under way count as if they were up."""

    def load(server):
        gateway = gateways[server.name]
        host = gateway.host
        well = host.alive and not host.silent and not host.paused and not gateway.erring
        coming = (gateway.busy + len(gateway.waiting)) / gateway.holds
        return not well, gateway.load + coming / gateway.readiness(), rng.random()

    return min(able, key=load)


POLICIES = (
    "module",
    "random",
    "weighted-random",
    "least-connections",
    "two-choices",
    "true-sight",
)


def decisions(policy, gateways):
    """What a proxy is given in the place of Balancer."""
    if policy == "module":
        return Balancer
    pick = {
        "random": at_random,
        "weighted-random": by_weight,
        "least-connections": least_connections,
        "two-choices": two_choices,
        "true-sight": partial(true_sight, gateways),
    }[policy]
    return partial(Baseline, pick)
