"""Admission control: lets sessions in, and gives the final answer when no later stage could."""

import math

from wheathill.model import AttemptOutcome
from wheathill.policy.retry_rules import may_reject
from wheathill.policy.stage import Stage


class AdmissionControl(Stage):
    """Takes a session in, and gives its final answer when no later stage could.

    Exception: while set-ups fail at many servers, only so many may be under way at once, halved as they fail
    and growing as they succeed. Clients that return together would otherwise keep swamped what all set-ups
    depend on. One each is still too many of hundreds of proxies: below one, the next waits ever longer."""

    def __init__(
        self,
        actions,
        uniform,
        health,
        longest_wait,
        most_set_ups,
        least_set_ups,
        pause,
        cut_wait,
        hold,
    ):
        self.actions, self.uniform, self.health = actions, uniform, health
        self.most_set_ups, self.least_set_ups, self.window = (
            most_set_ups,
            least_set_ups,
            float(most_set_ups),
        )
        self.pause, self.cut_wait, self.hold, self.longest_wait = (
            pause,
            cut_wait,
            hold,
            longest_wait,
        )
        self.cut_at = self.next_at = -math.inf
        self.under_way = {}

    def enter(self, now, sess):
        full = len(self.under_way) >= max(1.0, self.window) or now < self.next_at
        if sess.deadline_ms <= now or not sess.mid_flow and full:
            return self.back(now, sess, None)
        self.under_way[sess] = None
        self.space(now)
        self.next.enter(now, sess)

    def space(self, now):
        if self.window < 1.0:
            self.next_at = now + self.pause / self.window * self.uniform(0.5, 1.5)

    def accepted(self, now, sess):
        self.under_way.pop(sess, None)
        if now >= self.cut_at + self.hold:
            self.window = min(
                self.most_set_ups, self.window + min(self.window, 1 / self.window)
            )

    def failed(self, now):
        if self.health.shared_trouble(now) and now >= self.cut_at + self.cut_wait:
            self.window = max(
                self.least_set_ups, min(self.window, max(1, len(self.under_way))) / 2
            )
            self.cut_at = now
            self.space(now)
            self.actions.log(f"store: at most {self.window:.2g} set-ups at once")

    def back(self, now, sess, outcome):
        self.under_way.pop(sess, None)
        if outcome in (AttemptOutcome.ERROR, AttemptOutcome.TIMED_OUT):
            self.failed(now)
        sess.has_ended = True
        if may_reject(sess):
            wait = max(sess.listener.handshake_target_ms, self.next_at - now)
            self.actions.reject(sess, min(self.longest_wait, wait))
        else:
            self.actions.fail(sess)
