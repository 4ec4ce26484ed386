"""Rules on retries and rejections that prevent executing a request twice."""

from wheathill.model import Attempt, Idempotency, Server, Session


def possibly_executed_attempts(session: Session) -> list[Attempt]:
    """Return the attempts whose request a server may have executed."""
    return [attempt for attempt in session.attempts if attempt.may_have_executed]


def may_retry(now_ms: float, session: Session, server: Server) -> bool:
    """Whether a further attempt at a server is safe from repeated effects.

    No attempt of the session may be in flight. The request of a keyed listener may be
    repeated if the server recognises it as a duplicate of all attempts that may have
    been executed: within their deduplication scope and their deduplication window.
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
    """Whether a session may be rejected, so that its client may retry anywhere."""
    listener = session.listener
    return (
        listener.idempotency is Idempotency.IDEMPOTENT
        or not possibly_executed_attempts(session)
        or (listener.idempotency is Idempotency.KEYED and listener.dedup_scope == "all")
    )
