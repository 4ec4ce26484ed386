"""Makes the attempts of a session, one at a time, and judges how each ended."""

from wheathill.model import Attempt, AttemptOutcome
from wheathill.policy.stage import Stage


class AttemptRunner(Stage):
    """Sends one dial at a time, and judges how it ended."""

    def __init__(self, actions, table, levels, health, cold, budget, alive):
        self.levels, self.budget, self.alive, self.actions = (
            levels,
            budget,
            alive,
            actions,
        )
        self.table, self.health, self.cold = table, health, cold

    def enter(self, now, sess):
        if not self.budget.allows(now, sess):
            return self.before.back(now, sess, None)
        self.budget.record_attempt(now, sess)
        sess.attempts.append(Attempt(sess.server, now))
        self.cold.record_attempt(now, sess.server)
        left = sess.deadline_ms - now
        # A silent server must not hold a session until its client gives up, and a slow shared
        # store must not be asked twice: most of the time goes to the first dial, not all of it.
        # One that has just answered a probe is not silent.
        alive = self.levels.sample_age_ms(now, sess.server) < self.alive
        self.actions.start_attempt(
            sess, sess.server, left if alive or len(sess.attempts) > 1 else left * 0.6
        )

    def accepted(self, now, sess):
        self.before.accepted(now, sess)
        sess.accepted_ms = now
        sess.server.sessions[sess] = None
        self.table.add_session(now, sess)
        self.health.dialled(now, sess.server, True)

    def back(self, now, sess, outcome):
        dial = sess.attempts[-1]
        dial.may_have_executed = not outcome.never_executed
        if outcome is AttemptOutcome.NEVER_SENT:
            self.budget.refund_unsent(sess)
        if outcome in (
            AttemptOutcome.ERROR,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.TIMED_OUT,
        ):
            self.health.dialled(now, dial.server, False)
        self.before.back(now, sess, outcome)
