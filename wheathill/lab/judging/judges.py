"""Judges that check the rules from a run's events alone: what clients, servers and discovery saw.

Each judge is given events (ms, kind, fields) in order, and reports its breaches with the time, the session and the
session's last events. None of them uses the proxy's code or state. `slack_ms` is what the network may add to every
time limit.
"""

import math
from collections import deque

from wheathill.log_events import LogEvent

MAX_OPERATOR_CALL_MS = 1000.0
# From a proxy's resumption, so long after a session's deadline it may still be excused.
RESUME_GRACE_MS = 500.0


class Breach:
    """A breach of a rule: when, what, and the last events of the session concerned."""

    def __init__(self, rule, now, what, sess=None, server=None, last_events=()):
        self.rule, self.now, self.what, self.sess, self.server = (
            rule,
            now,
            what,
            sess,
            server,
        )
        self.last_events = list(last_events)

    def __str__(self):
        subject = " ".join(
            filter(None, (self.sess and f"session {self.sess}", self.server))
        )
        return f"rule {self.rule} at {self.now:.1f} ms, {subject}: {self.what}"

    def as_dict(self):
        """Return the breach as plain data for the report."""
        last = [
            f"{now:.1f} {kind} "
            + " ".join(
                f"{key}={value}" for key, value in fields.items() if key != "sess"
            )
            for now, kind, fields in self.last_events
        ]
        return {
            "rule": self.rule,
            "ms": self.now,
            "what": self.what,
            "sess": self.sess,
            "server": self.server,
            "last": last,
        }


class Judge:
    """Base class: passes each event to the method `on_KIND` of its kind, if there is one."""

    rule = 0

    def __init__(self, breaches, histories, slack_ms):
        self.breaches = breaches
        self.histories = histories
        self.slack_ms = slack_ms

    def report_breach(self, now, what, sess=None, server=None):
        """Add a breach of this judge's rule."""
        self.breaches.append(
            Breach(self.rule, now, what, sess, server, self.histories.get(sess, ()))
        )

    def observe(self, now, kind, fields):
        """Handle one event."""
        handler = getattr(self, "on_" + kind.replace(" ", "_"), None)
        if handler is not None:
            handler(now, **fields)

    def finish(self, now):
        """Check what can only be judged at the end of the run."""
        pass


class FinalAnswerJudge(Judge):
    """Rule 1: each session gets exactly one final answer, in time.

    A session counts from when its request is written to a connection that its proxy's host accepted, until its client
    leaves or its proxy is killed.
    """

    rule = 1

    def __init__(self, *args):
        super().__init__(*args)
        self.open_sessions = {}  # session -> its state
        self.receipts = {}  # session -> receipts that servers made for it
        self.server_ends = {}  # session -> {server that ended it: when}
        self.unavailable = {}  # proxy or server that is gone, silent or paused -> since when
        self.server_starts = {}  # server -> its last start, which loses its earlier sessions

    def on_open(self, now, sess, proxy, deadline, mid, **_):
        """Start to watch a session."""
        self.open_sessions[sess] = {
            "opened_ms": now,
            "deadline_ms": now + deadline + self.slack_ms,
            "proxy": proxy,
            "answer": None,
            "mid": mid,
            "over": False,
            "paused_past_deadline": False,
        }
        self.server_ends.pop(sess, None)

    def on_line_out(self, now, sess):
        """Count the deadline from when the request line was written."""
        state = self.open_sessions[sess]
        state["deadline_ms"] += now - state["opened_ms"]

    def on_host(self, now, name, state):
        """Record which hosts are unavailable; a proxy that was told to end ("ended") may not cut any session off."""
        if state in ("up", "ended"):
            since = self.unavailable.pop(name, None)
            if since is not None and state == "up":
                # A session whose deadline passed while its proxy was paused can't be answered in time. UP is excused
                # then, however late.
                for session in self.open_sessions.values():
                    if (
                        session["proxy"] == name
                        and session["answer"] is None
                        and since < session["deadline_ms"] < now + RESUME_GRACE_MS
                    ):
                        session["paused_past_deadline"] = True
        else:
            self.unavailable[name] = now
            if state == "killed":
                for sess, session in self.open_sessions.items():
                    if session["proxy"] == name:
                        session["over"] = True

    def is_excused(self, state):
        """Whether the session's proxy could not have answered."""
        return (
            state["over"]
            or state["proxy"] in self.unavailable
            or state["paused_past_deadline"]
        )

    def on_up(self, now, sess, receipt, **_):
        """Record a server's receipt."""
        self.receipts.setdefault(sess, {})[receipt] = now

    def on_dial_over(self, now, sess, how, server):
        """Record that the server has ended the session."""
        if how == "sent away" or how.startswith("answered"):
            self.server_ends.setdefault(sess, {})[server] = now

    def on_fell_over(self, now, server, **_):
        """Record the overloaded server as unavailable."""
        self.unavailable[server] = now

    def on_cold(self, now, server, **_):
        """Record a server's start."""
        self.server_starts[server] = now

    def on_answer(self, now, sess, word, rest):
        """Check that the answer is the only one, in time, and that UP carries a receipt of a server."""
        state = self.open_sessions[sess]
        if state["answer"] is not None:
            return self.report_breach(
                now, f"a second answer, {word}, after {state['answer']}", sess
            )
        state["answer"] = word
        if now > state["deadline_ms"] and (
            word == "UP" and state["paused_past_deadline"] or not self.is_excused(state)
        ):
            self.report_breach(
                now,
                f"{word} came {now - state['deadline_ms']:.0f} ms after the dial timeout",
                sess,
            )
        if word == "UP":
            if rest not in self.receipts.get(sess, {}):
                self.report_breach(now, f"UP {rest}, which no server gave for it", sess)
            state["server"], state["up_ms"] = rest.partition("/")[0], now

    def on_extra(self, now, sess, what):
        """Report bytes after the final answer."""
        self.report_breach(now, f"{what!r} after the final answer", sess)

    def on_broken(self, now, sess, how):
        """Check that a connection that breaks without an answer is excused."""
        state = self.open_sessions[sess]
        if not self.is_excused(state):
            self.report_breach(now, f"its connection {how} without an answer", sess)
        state["over"] = True

    def on_cut(self, now, sess, how):
        """Check that an established session is only cut off if its server has lost or ended it."""
        state = self.open_sessions[sess]
        server = state["server"]
        is_lost = (
            server in self.unavailable
            or state["up_ms"] <= self.server_starts.get(server, -1.0)
            or server in self.server_ends.get(sess, {})
        )
        if not self.is_excused(state) and not is_lost:
            self.report_breach(
                now, f"cut off without MOVE while {server} holds it", sess
            )
        state["over"] = True

    def on_left(self, now, sess, how):
        """Check that a client that gives up at its deadline was not left without an answer."""
        state = self.open_sessions.get(sess)
        if state is None:
            return
        if (
            state["answer"] is None
            and now > state["deadline_ms"]
            and not self.is_excused(state)
        ):
            self.report_breach(now, "no answer before the dial timeout", sess)
        state["over"] = True

    def on_moved(self, now, sess):
        """Stop watching a session that was told to migrate."""
        self.open_sessions[sess]["over"] = True

    def finish(self, now):
        """Report the sessions that never had an answer."""
        for sess, state in self.open_sessions.items():
            if (
                state["answer"] is None
                and now > state["deadline_ms"]
                and not self.is_excused(state)
            ):
                self.report_breach(
                    state["deadline_ms"], "no answer before the dial timeout", sess
                )


class DuplicateEffectJudge(Judge):
    """Rule 2: no retry of the proxy's makes a session take effect twice.

    `retry_rules`: listener -> (repeat, scope, window in ms). Only the proxy's own retries count: a client that tries
    again after a failure does so at its own risk. A non-idempotent ("once-only") session may be retried only where each
    earlier attempt was answered BUSY or never reached a server, whether or not it really ran.
    """

    rule = 2

    def __init__(self, *args, retry_rules):
        super().__init__(*args)
        self.retry_rules = retry_rules
        self.listeners = {}  # session -> listener
        # session -> {server: (start, when a later attempt began beside it or None)}
        self.open_attempts = {}
        # session -> {server: how the attempt there ended, None while it has not}
        self.outcomes = {}
        self.executions = {}  # session -> [(when, server)]
        self.taken_ms = {}  # session -> when its present proxy has taken it
        self.unavailable = set()  # hosts that are dead, silent or paused
        self.resumed_ms = {}  # host -> when it last became available

    def on_open(self, now, sess, listener, mid, **_):
        """Start to watch a session; packets of a mid-flow one have no further effect."""
        self.outcomes[sess] = None if mid else {}
        self.taken_ms[sess] = now
        if not mid:
            self.listeners[sess] = listener

    def on_dial(self, now, sess, server, first):
        """Check that a non-idempotent session is not retried after an attempt that may have had an effect."""
        outcomes = self.outcomes.get(sess)
        if outcomes is not None:
            if self.repeat_rule(sess)[0] == "once-only":
                for other, how in outcomes.items():
                    if how != "answered BUSY":
                        self.report_breach(
                            now,
                            f"dialled again, once-only, though the dial at {other} may have run",
                            sess,
                            server,
                        )
            outcomes[server] = None
        if self.is_read_late(now, server):
            return
        open_attempts = self.open_attempts.setdefault(sess, {})
        for other, times in open_attempts.items():
            # The end of the earlier attempt may not have arrived yet.
            open_attempts[other] = times, now if times[1] is None else times[1]
        open_attempts[server] = (now, None)

    def repeat_rule(self, sess):
        """Return the (repeat, scope, window) of the session's listener."""
        return self.retry_rules.get(
            self.listeners.get(sess), ("repeatable", "all", 0.0)
        )

    def on_dial_over(self, now, sess, server, how):
        """Check that the attempt has not overlapped with a later one."""
        if self.outcomes.get(sess):
            self.outcomes[sess][server] = how
        times = self.open_attempts.get(sess, {}).pop(server, None)
        if (
            times is not None
            and times[1] is not None
            and now - times[1] > self.slack_ms
        ):
            self.report_breach(
                now, f"two dials out at once for {now - times[1]:.0f} ms", sess, server
            )

    def on_fell_over(self, now, server, **_):
        """Forget the attempts at a server that failed."""
        self.forget_attempts(server)

    def on_host(self, now, name, state):
        """Forget the attempts at a host that is dead, silent or paused: their ends can't be seen."""
        if state == "up":
            self.unavailable.discard(name)
            self.resumed_ms[name] = now
        else:
            self.unavailable.add(name)
            self.forget_attempts(name)

    def is_read_late(self, now, server):
        """Return whether a server reads now what came while it was paused.

        It is not known when that came. The proxy may have given the attempt up since, and
        made another one.
        """
        return server in self.unavailable or self.resumed_ms.get(server) == now

    def forget_attempts(self, server):
        """Forget the open attempts at a server."""
        for open_attempts in self.open_attempts.values():
            open_attempts.pop(server, None)

    def on_ran(self, now, sess, server, copy):
        """Check that a session runs once, unless its listener or its group allows for more."""
        executions = self.executions.setdefault(sess, [])
        repeat, scope, window = self.repeat_rule(sess)
        if executions and repeat == "once-only":
            self.report_breach(
                now,
                f"ran at {executions[0][1]} and again at {server}, once-only",
                sess,
                server,
            )
        elif executions and repeat == "referenced" and not copy:
            self.report_breach(
                now,
                f"ran at {executions[0][1]} and again at {server}, outside its group or window",
                sess,
                server,
            )
        executions.append((now, server))

    def on_answer(self, now, sess, word, rest):
        """Check that a session that had an effect is not rejected.

        Where packets pass, a session that was up at another proxy may arrive: that it ran
        before concerns the other proxy's answer, which was UP.
        """
        repeat, scope, _ = self.repeat_rule(sess)
        ran_at = [
            server
            for when_ms, server in self.executions.get(sess, ())
            if when_ms >= self.taken_ms.get(sess, 0.0)
        ]
        if (
            word == "BUSY"
            and ran_at
            and (repeat == "once-only" or repeat == "referenced" and scope != "all")
        ):
            self.report_breach(now, f"refused although it ran at {ran_at[-1]}", sess)

    def finish(self, now):
        """Report attempts that overlapped until the end."""
        for sess, open_attempts in self.open_attempts.items():
            for server, (_, since) in open_attempts.items():
                if since is not None and now - since > self.slack_ms:
                    self.report_breach(
                        now,
                        f"two dials out at once, the one at {server} to the end",
                        sess,
                        server,
                    )


class DrainJudge(Judge):
    """Rule 3: no new session reaches a server later than the grace after its proxy was told that it leaves."""

    rule = 3

    def __init__(self, *args, grace_ms, is_gone_binding):
        super().__init__(*args)
        self.grace_ms = grace_ms
        self.is_gone_binding = is_gone_binding
        self.proxies = {}  # session -> its proxy
        self.told = {}  # (proxy, server) -> when its list told it
        self.in_maintenance = {}  # the same, by an operator's call

    def on_open(self, now, sess, proxy, mid, **_):
        """Record the session's proxy."""
        self.proxies[sess] = proxy

    def on_out_by_hand(self, now, proxy, server):
        """Record that an operator has put a server into maintenance."""
        self.in_maintenance.setdefault((proxy, server), now)

    def on_put_back(self, now, proxy, server):
        """Record that an operator has ended a server's maintenance."""
        self.in_maintenance.pop((proxy, server), None)

    def on_told(self, now, proxy, server, health, stale=False):
        """Record a list's update; a late list, `stale` or not, binds its own proxy until its next update."""
        if health == "draining" or self.is_gone_binding:
            self.told.setdefault((proxy, server), now)

    def on_told_over(self, now, proxy, server):
        """Record that the proxy's list no longer says so."""
        self.told.pop((proxy, server), None)

    def on_ready(self, now, server):
        """Record that the server is registered as ready again."""
        for key in [key for key in self.told if key[1] == server]:
            del self.told[key]

    def on_dial(self, now, sess, server, first):
        """Check that the attempt was sent within the grace."""
        proxy = self.proxies.get(sess)
        times = (
            self.told.get((proxy, server)),
            self.in_maintenance.get((proxy, server)),
        )
        told = min((time for time in times if time is not None), default=None)
        if told is not None and first > told + self.grace_ms + self.slack_ms:
            self.report_breach(
                now,
                f"{proxy} dialled it {first - told:.0f} ms after it was told that it leaves",
                sess,
                server,
            )


class ColdServerJudge(Judge):
    """Rule 4: a server that is warming up is not flooded.

    In any window it gets at most N attempts, the multiple of the sessions that it can take in that time if it fills
    evenly while it warms up. On top of N one attempt for each proxy is allowed, as attempts are whole, but no more than
    2 sqrt(N) + 2: whatever the number of proxies, chance adds no more than that to the sum over all.

    Only proxies that discovery has told of the start count, as a server that is back before that can't be told from its
    previous process. A server that fails by attempts of proxies that were all told is a breach whatever their number.
    """

    rule = 4

    def __init__(self, *args, multiple, window_ms, proxy_count):
        super().__init__(*args)
        self.multiple, self.window_ms, self.proxy_count = (
            multiple,
            window_ms,
            proxy_count,
        )
        # server -> (start, capacity, share of it at the start, warm-up time)
        self.starts = {}
        self.attempts = {}  # server -> times of attempts within the window
        self.quiet_until = {}  # server -> until when no further breach is reported
        # Largest ratio of the attempts in a window to the server's capacity.
        self.largest_multiple = 0.0
        # Largest number of attempts in a window above the bound with its share of chance, negative if below; None
        # without any attempt.
        self.largest_excess = None
        self.told = {}  # (proxy, server) told of the server's present start -> None
        self.proxies = {}  # session -> proxy
        self.untold_attempts = {}  # server -> last attempt by a proxy that was not told

    def on_cold(self, now, server, holds, warm_from, warm):
        """Record a server's start."""
        self.starts[server] = now, holds, warm_from, warm
        self.attempts[server] = deque()
        self.untold_attempts.pop(server, None)
        self.told = {key: None for key in self.told if key[1] != server}

    def on_fell_over(self, now, server, why, **_):
        """Report a cold server that was overloaded by proxies that all knew that it is cold."""
        if (
            why.startswith("cold")
            and self.untold_attempts.get(server, -self.window_ms)
            <= now - self.window_ms
        ):
            self.report_breach(
                now,
                f"{why}, by {len(self.attempts.get(server, ()))} dials within {self.window_ms:.0f} ms of proxies "
                "that were told",
                server=server,
            )

    def on_told_start(self, now, proxy, server):
        """Record that discovery has told a proxy of the start."""
        self.told[proxy, server] = None

    def on_open(self, now, sess, proxy, **_):
        """Record the session's proxy."""
        self.proxies[sess] = proxy

    def on_dial(self, now, sess, server, first):
        """Check the number of attempts within the window."""
        if server not in self.starts:
            return
        if (self.proxies.get(sess), server) not in self.told:
            self.untold_attempts[server] = now
            return
        started, holds, warm_from, warm = self.starts[server]
        age = now - started
        if age >= warm:
            del self.starts[server]
            return
        attempts = self.attempts[server]
        attempts.append(now)
        while attempts[0] <= now - self.window_ms:
            attempts.popleft()
        capacity = (
            holds * (warm_from + (1 - warm_from) * age / warm) / warm * self.window_ms
        )
        self.largest_multiple = max(self.largest_multiple, len(attempts) / capacity)
        random_excess = 2 * math.sqrt(self.multiple * capacity) + 2
        allowed = self.multiple * capacity + min(self.proxy_count, random_excess)
        excess = len(attempts) - self.multiple * capacity - random_excess
        self.largest_excess = (
            excess if self.largest_excess is None else max(self.largest_excess, excess)
        )
        if len(attempts) > allowed and now >= self.quiet_until.get(server, 0.0):
            # One report for each window.
            self.quiet_until[server] = now + self.window_ms
            self.report_breach(
                now,
                f"{len(attempts)} dials within {self.window_ms:.0f} ms, {allowed:.1f} allowed",
                sess,
                server,
            )


class RetryBudgetJudge(Judge):
    """Rule 5, where a script states a retry budget.

    In any span the retries of one proxy number at most `free` plus `share` of the sessions that it accepted. They are
    seen where they arrive, so an attempt that reached no server is not counted, and both ends of the span are moved by
    the slack in the proxy's favour.
    """

    rule = 5

    def __init__(self, *args, free, share, span_ms):
        super().__init__(*args)
        self.free, self.share, self.span_ms = free, share, span_ms
        self.proxies = {}  # session -> its proxy
        self.attempt_counts = {}  # session -> attempts seen
        self.accepted = {}  # proxy -> times of accepted sessions
        self.retries = {}  # proxy -> times of retries

    def on_open(self, now, sess, proxy, **_):
        """Count an accepted session."""
        if self.proxies.get(sess) != proxy:
            self.attempt_counts[sess] = 0
        self.proxies[sess] = proxy
        self.accepted.setdefault(proxy, deque()).append(now)

    def on_host(self, now, name, state):
        """Reset the counts of a proxy whose process ends; the next one has a budget of its own."""
        if state in ("killed", "ended"):
            self.accepted.pop(name, None)
            self.retries.pop(name, None)
            self.proxies = {
                sess: proxy for sess, proxy in self.proxies.items() if proxy != name
            }

    def on_dial(self, now, sess, server, first):
        """Check the number of retries within the span."""
        proxy = self.proxies.get(sess)
        if proxy is None:
            return
        self.attempt_counts[sess] += 1
        if self.attempt_counts[sess] == 1:
            return
        accepted, retries = (
            self.accepted[proxy],
            self.retries.setdefault(proxy, deque()),
        )
        retries.append(now)
        while retries[0] <= now - self.span_ms + self.slack_ms:
            retries.popleft()
        while accepted and accepted[0] <= now - self.span_ms - self.slack_ms:
            accepted.popleft()
        allowed = self.free + self.share * len(accepted)
        if len(retries) > allowed:
            self.report_breach(
                now,
                f"{len(retries)} further dials of {proxy} within {self.span_ms:.0f} ms, "
                f"{allowed:.1f} allowed",
                sess,
                server,
            )


class InternalErrorJudge(Judge):
    """Reports errors that break no numbered rule, such as an exception in the proxy or a line that no client sent."""

    rule = "none"

    def on_log(self, now, event, **fields):
        """Report an exception in the proxy."""
        if event == LogEvent.INTERNAL_ERROR:
            self.report_breach(
                now,
                f"{fields.get('node')}: {fields.get('where')} {fields.get('what')} "
                f"{fields.get('line', '')}",
            )

    def on_syntax(self, now, server):
        """Report a line that a server could not have got from a client."""
        self.report_breach(now, "a line that no client sent", server=server)

    def on_call(self, now, proxy, status, took):
        """Report an operator's call that failed or was slow."""
        if status != "200" or took > MAX_OPERATOR_CALL_MS:
            self.report_breach(
                now,
                f"an operator's call at {proxy}: {status or 'no answer'} after {took:.0f} ms",
            )

    def on_over_memory(self, now, proxy, mb):
        """Report a process above its memory limit."""
        self.report_breach(now, f"{proxy} holds {mb} MB, more than it may")

    def on_crashed(self, now, proxy, code):
        """Report a process that ended by itself."""
        self.report_breach(now, f"{proxy} ended by itself with {code}")


def find_breaches(
    events,
    now,
    *,
    slack_ms,
    retry_rules,
    grace_ms,
    multiple,
    window_ms,
    proxy_count,
    retry_budget=None,
    is_gone_binding=True,
    history_length=8,
    judge_factories=(),
):
    """Return all breaches of a run that ended at `now`, in order of time.

    `retry_budget` is (free retries, share, span in ms). Each of `judge_factories` creates a further judge from
    (breaches, histories, slack_ms). A breach shows up to `history_length` events of its session.
    """
    breaches, histories = [], {}
    common_args = breaches, histories, slack_ms
    judges = [
        FinalAnswerJudge(*common_args),
        DuplicateEffectJudge(*common_args, retry_rules=retry_rules),
        DrainJudge(*common_args, grace_ms=grace_ms, is_gone_binding=is_gone_binding),
        ColdServerJudge(
            *common_args,
            multiple=multiple,
            window_ms=window_ms,
            proxy_count=proxy_count,
        ),
        InternalErrorJudge(*common_args),
    ]
    if retry_budget is not None:
        judges.append(
            RetryBudgetJudge(
                *common_args, **dict(zip(("free", "share", "span_ms"), retry_budget))
            )
        )
    judges += [create(*common_args) for create in judge_factories]
    for event in events:
        sess = event[2].get("sess")
        if sess is not None:
            histories.setdefault(sess, deque(maxlen=history_length)).append(event)
        for judge in judges:
            judge.observe(*event)
    for judge in judges:
        judge.finish(now)
    return sorted(breaches, key=lambda breach: breach.now)
