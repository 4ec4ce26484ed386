"""When a session may be attempted again or be rejected without any effect happening twice."""

from wheathill.model import Repeat


def ran(sess):
    return [dial for dial in sess.dials if dial.may_have_run]


def may_retry(now, sess, server):
    """Rule 2, for a session none of whose dials is out."""
    listener, scope = sess.listener, sess.listener.scope
    if listener.repeat is not Repeat.REFERENCED:
        return listener.repeat is Repeat.REPEATABLE or not ran(sess)
    return all(
        now < dial.sent + listener.window
        and (scope == "all" or getattr(server, scope) == getattr(dial.server, scope))
        for dial in ran(sess)
    )


def may_reject(sess):
    listener = sess.listener
    return (
        listener.repeat is Repeat.REPEATABLE
        or not ran(sess)
        or listener.repeat is Repeat.REFERENCED
        and listener.scope == "all"
    )
