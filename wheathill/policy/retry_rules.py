"""When a session may be attempted again or be rejected without any effect happening twice."""

from wheathill.model import Idempotency


def ran(sess):
    return [dial for dial in sess.attempts if dial.may_have_executed]


def may_retry(now, sess, server):
    """Rule 2, for a session none of whose dials is out."""
    listener, scope = sess.listener, sess.listener.dedup_scope
    if listener.idempotency is not Idempotency.KEYED:
        return listener.idempotency is Idempotency.IDEMPOTENT or not ran(sess)
    return all(
        now < dial.sent_ms + listener.dedup_window_ms
        and (scope == "all" or getattr(server, scope) == getattr(dial.server, scope))
        for dial in ran(sess)
    )


def may_reject(sess):
    listener = sess.listener
    return (
        listener.idempotency is Idempotency.IDEMPOTENT
        or not ran(sess)
        or listener.idempotency is Idempotency.KEYED
        and listener.dedup_scope == "all"
    )
