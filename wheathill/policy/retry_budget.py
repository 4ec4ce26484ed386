"""The retry budget: how many retries a proxy may make in a window."""

from collections import deque


class RetryBudget:
    """Rule 5, where it is stated: within any `span`, this proxy's further dials number at most `free` plus
    `share` of the sessions it took. Dearer sessions go first: a cheaper one is dialled again only with what
    the dearer ones leave, at the rate at which they asked of late. No form of trouble is looked at; where
    dear sessions ask much and then stop, cheap ones find too little for one span."""

    def __init__(self, free, share, span):
        self.free, self.share, self.span = free, share, span
        # Of the last span: when sessions came; (when, utility of the session) of further dials; of wanted.
        self.taken, self.spent, self.asked = (
            deque(maxlen=None if span else 0) for _ in range(3)
        )
        self.withheld = 0

    def wanted(self, now, sess):
        self.asked.append((now, sess.listener.priority_weight))
        return self.allows(now, sess)

    def took(self, now):
        self.taken.append(now)
        self.forget(now)

    def forget(self, now):
        # The carrier counts in units of its own: at both ends of the window the dearer reading counts.
        while self.taken and self.taken[0] <= now - self.span + 1.0:
            self.taken.popleft()
        for kept in (self.spent, self.asked):
            while kept and kept[0][0] < now - self.span - 1.0:
                kept.popleft()

    def allows(self, now, sess):
        if not self.span or not sess.attempts:
            return True
        self.forget(now)
        utility = sess.listener.priority_weight
        dearer = [
            sum(other > utility for _, other in kept)
            for kept in (self.asked, self.spent)
        ]
        room = (
            self.free
            + self.share * len(self.taken)
            - len(self.spent)
            - max(0, dearer[0] - dearer[1])
        )
        self.withheld += room < 1.0
        return room >= 1.0

    def dialled(self, now, sess):
        if sess.attempts:
            self.spent.append((now, sess.listener.priority_weight))

    def never_sent(self, sess):
        mark = (sess.attempts[-1].sent_ms, sess.listener.priority_weight)
        if len(sess.attempts) > 1 and mark in self.spent:
            self.spent.remove(mark)
