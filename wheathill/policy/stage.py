"""A stage of the pipeline that a session passes."""


class Stage:
    """One of the stages a session passes; results come back through them in reverse."""

    next = before = None

    def accepted(self, now, sess):
        self.before.accepted(now, sess)
