"""The retry budget: how many retries a proxy may make in a window."""

from collections import deque


class RetryBudget:
    """Rule 5, where it is stated: within any `span`, this proxy's further dials number at most `free` plus
    `share` of the sessions it took. Dearer sessions go first: a cheaper one is dialled again only with what
    the dearer ones leave, at the rate at which they asked of late. No form of trouble is looked at; where
    dear sessions ask much and then stop, cheap ones find too little for one span."""

    def __init__(self, free, share, span):
        self.free_retries, self.retries_per_session, self.span = free, share, span
        # Of the last span: when sessions came; (when, utility of the session) of further dials; of wanted.
        self.session_times_ms, self.retries, self.requests = (
            deque(maxlen=None if span else 0) for _ in range(3)
        )
        self.denied = 0

    def request(self, now, sess):
        self.requests.append((now, sess.listener.priority_weight))
        return self.allows(now, sess)

    def record_session(self, now):
        self.session_times_ms.append(now)
        self.expire(now)

    def expire(self, now):
        # The carrier counts in units of its own: at both ends of the window the dearer reading counts.
        while (
            self.session_times_ms and self.session_times_ms[0] <= now - self.span + 1.0
        ):
            self.session_times_ms.popleft()
        for kept in (self.retries, self.requests):
            while kept and kept[0][0] < now - self.span - 1.0:
                kept.popleft()

    def allows(self, now, sess):
        if not self.span or not sess.attempts:
            return True
        self.expire(now)
        utility = sess.listener.priority_weight
        dearer = [
            sum(other > utility for _, other in kept)
            for kept in (self.requests, self.retries)
        ]
        room = (
            self.free_retries
            + self.retries_per_session * len(self.session_times_ms)
            - len(self.retries)
            - max(0, dearer[0] - dearer[1])
        )
        self.denied += room < 1.0
        return room >= 1.0

    def record_attempt(self, now, sess):
        if sess.attempts:
            self.retries.append((now, sess.listener.priority_weight))

    def refund_unsent(self, sess):
        mark = (sess.attempts[-1].sent_ms, sess.listener.priority_weight)
        if len(sess.attempts) > 1 and mark in self.retries:
            self.retries.remove(mark)
