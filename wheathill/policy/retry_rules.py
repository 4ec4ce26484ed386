"""When a session may be retried or rejected without any effect happening twice."""

from wheathill.model import Attempt, Idempotency, Server, Session


def possibly_executed_attempts(session: Session) -> list[Attempt]:
    """Return the attempts whose request a server may have executed."""
    return [attempt for attempt in session.attempts if attempt.may_have_executed]


def may_retry(now_ms: float, session: Session, server: Server) -> bool:
    """Whether a further attempt at a server keeps rule 2.

    Valid for a session none of whose attempts is in flight. The request of a keyed
    listener may be repeated where the server recognises duplicates of all attempts
    that may have been executed: within their scope and their time window.
    """
    listener = session.listener
    if listener.idempotency is Idempotency.IDEMPOTENT:
        return True
    executed = possibly_executed_attempts(session)
    if listener.idempotency is Idempotency.NON_IDEMPOTENT:
        return not executed
    scope = listener.dedup_scope
    return all(
        now_ms < attempt.sent_ms + listener.dedup_window_ms
        and (scope == "all" or getattr(server, scope) == getattr(attempt.server, scope))
        for attempt in executed
    )


def may_reject(session: Session) -> bool:
    """Whether the session may be rejected, after which its client retries anywhere."""
    listener = session.listener
    return (
        listener.idempotency is Idempotency.IDEMPOTENT
        or not possibly_executed_attempts(session)
        or (listener.idempotency is Idempotency.KEYED and listener.dedup_scope == "all")
    )
