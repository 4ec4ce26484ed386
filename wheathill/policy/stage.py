"""The pipeline of stages that each session passes through.

A session enters the first stage, and each stage passes it on to the next one.
Acceptance and failure are passed back through the stages in reverse order.
"""

from itertools import pairwise

from wheathill.model import AttemptOutcome, Session


class Stage:
    """One stage of the pipeline.

    Attributes:
        next_stage: the stage that sessions are passed on to.
        previous_stage: the stage that results are passed back to.
    """

    next_stage: "Stage"
    previous_stage: "Stage"

    def enter(self, now_ms: float, session: Session) -> None:
        """Process a session from the previous stage."""
        raise NotImplementedError

    def on_accepted(self, now_ms: float, session: Session) -> None:
        """Handle the acceptance of the session by a server."""
        self.previous_stage.on_accepted(now_ms, session)

    def on_failed(
        self,
        now_ms: float,
        session: Session,
        outcome: AttemptOutcome | None,
    ) -> None:
        """Handle a session that was not set up.

        Args:
            now_ms: the monotonic time.
            session: the session.
            outcome: the outcome of its last attempt, or None if a stage decided not to
                make a further attempt.
        """
        raise NotImplementedError


def connect_stages(*stages: Stage) -> None:
    """Connect the stages of a pipeline, given from first to last."""
    for earlier, later in pairwise(stages):
        earlier.next_stage, later.previous_stage = later, earlier
