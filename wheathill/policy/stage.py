"""A stage of the pipeline that each session passes.

A session enters the first stage, which hands it on to the next. Acceptance and failure
come back through the stages in reverse order.
"""

from itertools import pairwise

from wheathill.model import AttemptOutcome, Session


class Stage:
    """One stage of the pipeline.

    Attributes:
        next_stage: where sessions are handed on to.
        previous_stage: where the result of a session is passed back to.
    """

    next_stage: "Stage"
    previous_stage: "Stage"

    def enter(self, now_ms: float, session: Session) -> None:
        """Take a session from the previous stage."""
        raise NotImplementedError

    def on_accepted(self, now_ms: float, session: Session) -> None:
        """Take notice that a server accepted the session."""
        self.previous_stage.on_accepted(now_ms, session)

    def on_failed(
        self,
        now_ms: float,
        session: Session,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Take back a session that was not set up.

        Args:
            now_ms: the monotonic time.
            session: the session.
            outcome: how its last attempt ended, or None where no further attempt is
                made although none has just failed.
        """
        raise NotImplementedError


def connect_stages(*stages: Stage) -> None:
    """Link the stages of a pipeline, given from the first to the last."""
    for earlier, later in pairwise(stages):
        earlier.next_stage, later.previous_stage = later, earlier
