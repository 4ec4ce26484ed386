"""Selects the server for each attempt of a session."""

from itertools import chain

from wheathill.model import AttemptOutcome
from wheathill.policy.retry_rules import may_retry
from wheathill.policy.stage import Stage


class ServerSelector(Stage):
    """Names the server: the table's for the first dial, those of the slots after it for further ones."""

    def __init__(
        self,
        actions,
        table,
        levels,
        roster,
        health,
        ways,
        cold,
        budget,
        probes,
        most_dials,
        most_asked,
        recent,
    ):
        self.ways, self.actions, self.budget, self.probes = (
            ways,
            actions,
            budget,
            probes,
        )
        self.waiting = {}  # server -> sessions that wait for its answer
        self.patience = {}  # number of the wait -> (session, server)
        self.waits = 0
        self.levels, self.table, self.roster, self.health = (
            levels,
            table,
            roster,
            health,
        )
        self.cold, self.most_dials, self.most_asked, self.recent = (
            cold,
            most_dials,
            most_asked,
            recent,
        )

    def enter(self, now, sess):
        sess.slot = self.table.slot_of(sess)
        if sess.mid_flow:
            # The server keeps such a connection for a short time only: asked at once, ill or not. Only
            # a cold one keeps its budget: where the guess is wrong the connection is set up anew there.
            server = self.table.find_mid_flow(sess.key, sess.slot)
            if (
                server is not None
                and self.roster.may_attempt(now, server, True)
                and self.cold.allows(now, server)
            ):
                return self.dial(now, sess, server)
        sess.candidates = self.choices(now, sess)
        self.go(now, sess)

    def choices(self, now, sess):
        """Exception: where the table's server will not do, those that hold the session's group here, then
        those of the slots after its own. They act only for ill, tried and leaving servers, for cold ones
        past their budget, and for overdriven ones: halving comes too late for those."""
        first = self.table.assign(now, sess.key, sess.slot)
        seen = {dial.server: None for dial in sess.attempts}
        holding = list(self.table.group_holders.get(sess.group, ()))
        for server in chain((first,), holding, self.table.following_servers(sess.slot)):
            if server is not None and server not in seen:
                seen[server] = None
                yield server

    def go(self, now, sess, asked=None):
        """With no server left the session is refused: past that load messages are late, so one more
        costs those placed more than it gains."""
        for server in (
            sess.candidates if asked is None else chain((asked,), sess.candidates)
        ):
            if not self.usable(now, sess, server):
                continue
            slow = self.ways.slow(now, server, sess.listener.message_target_ms)
            if self.health.ill(now, server):
                # When most look ill the cause is shared, and crowding the rest would not cure it.
                if sess.unhealthy_candidate is None and not self.health.silent(server):
                    sess.unhealthy_candidate = server
                continue
            sess.preferred_server = sess.preferred_server or (None if slow else server)
            sess.candidates_passed += not slow and server is not asked
            if server is not asked and not slow and self.should_ask(now, sess, server):
                return self.ask(now, sess, server)
            if not self.has_room(now, sess, server):
                sess.met_full_server = True
            elif not slow:
                return self.dial(now, sess, server)
            elif sess.distant_candidate is None:
                sess.distant_candidate = server
        for server in (
            sess.distant_candidate,
            None if sess.met_full_server else sess.unhealthy_candidate,
        ):
            if server is not None and self.usable(now, sess, server):
                sess.distant_candidate = sess.unhealthy_candidate = None
                return self.dial(now, sess, server)
        self.before.back(now, sess, None)

    def should_ask(self, now, sess, server):
        """Exception: a server of which no recent figure is known is probed before a session goes there.
        Among hundreds of proxies each sees too few sessions to pay for following every server's load,
        so what the others sent meanwhile would be met blindly; a server that went silent shows as well.
        Not with little time left, and only a few a session: with none left, unknown ones are dialled."""
        if (
            sess.probes_requested >= self.most_asked
            or not self.probes.allowed
            or not self.levels.reports_utilisation
        ):
            return False
        age = self.levels.sample_age_ms(now, server)
        # One that was full a moment ago is hardly empty now: who came again found the same ones full.
        return (
            age > self.recent
            and not self.levels.is_late(now, server)
            and (age > 4 * self.recent or self.has_room(now, sess, server))
            and sess.deadline_ms - now > sess.listener.dial_timeout_ms / 2
        )

    def ask(self, now, sess, server):
        sess.probes_requested += 1
        self.waiting.setdefault(server, {})[sess] = None
        self.waits += 1
        self.patience[self.waits] = sess, server
        patience = min(sess.listener.handshake_target_ms, sess.deadline_ms - now) / 4
        self.actions.set_timer(f"wait {self.waits}", now + patience)
        self.probes.send(now, server)

    def answered(self, now, server, well):
        for sess in self.waiting.pop(server, ()):
            self.resume(now, sess, server, well)

    def out_of_patience(self, now, number):
        sess, server = self.patience.pop(number)
        if self.waiting.get(server, {}).pop(sess, self) is not self:
            self.resume(now, sess, server, False)

    def resume(self, now, sess, server, well):
        if sess.has_ended:
            return
        if not well and sess.unhealthy_candidate is None:
            sess.unhealthy_candidate = server
        self.go(now, sess, server if well else None)

    def usable(self, now, sess, server):
        return (
            self.roster.may_attempt(now, server, False)
            and may_retry(now, sess, server)
            and self.cold.allows(now, server)
        )

    def has_room(self, now, sess, server):
        # One that holds the group takes its member for far less than one that does not. What is not held
        # through this proxy is likely held through others, where its slot leads.
        holders = self.table.group_holders.get(sess.group, ())
        part = (
            1.0
            if sess.group is None or server in holders
            else max(0.45, 0.85 - 0.07 * (sess.candidates_passed - 1))
        )
        # Of whom nothing is told after others were full, the same is to be expected: dialled unseen they took
        # what no other had room for, and each new holder of a group added its cost to a full fleet.
        known = (
            server is sess.preferred_server
            or not self.probes.allowed
            or not self.levels.reports_utilisation
            or self.levels.load(now, server) is not None
        )
        return (
            known
            and self.levels.expected_load(now, server)
            < self.levels.overload_threshold * part
            and not self.levels.is_late(now, server)
        )

    def dial(self, now, sess, server):
        sess.server = server
        self.next.enter(now, sess)

    def back(self, now, sess, outcome):
        sensible = (
            outcome is AttemptOutcome.CONNECT_FAILED
            or not self.health.shared_trouble(now)
        )
        possible = (
            len(sess.attempts) < self.most_dials
            and sess.deadline_ms > now
            and outcome not in (None, AttemptOutcome.CANCELLED)
        )
        if sensible and possible and self.budget.request(now, sess):
            sess.candidates = sess.candidates or self.choices(now, sess)
            self.go(now, sess)
        else:
            self.before.back(now, sess, outcome)
