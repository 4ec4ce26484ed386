"""Remembers the ids of sessions, so that none is set up twice.

Ids are new with every connection, so one that comes again belongs to another client, or
to one that has left, and what was sent to a server for it may have run.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container
from typing import Any

# Ids that are checked for each new one while the limit is reached: those that are over
# then stay fewer than the open ones and the limit together. Checking as many as exceed
# the limit took seconds for each client.
CHECKED_PER_NEW_ID = 2


class SessionIds(OrderedDict[str, Any]):
    """Remembered id -> its session while it is open, oldest first.

    An OrderedDict, as finding the oldest key of a dict becomes slower with every
    deletion. Ids are in the form of `bounded_name`.
    """

    def add(
        self,
        session_id: str,
        session: object | None,
        open_sessions: Container[object],
        max_count: int,
    ) -> None:
        """Remember an id; its session is None if another process has it.

        Beyond `max_count` the oldest ids of sessions that are over are forgotten. Open
        sessions stay, and may be far more.
        """
        self._make_room(open_sessions, max_count)
        if session is None:
            self.setdefault(session_id, None)
        else:
            self[session_id] = session

    def _make_room(self, open_sessions: Container[object], max_count: int) -> None:
        if len(self) < max_count:
            return
        for _ in range(min(CHECKED_PER_NEW_ID, len(self))):
            oldest_id, session = next(iter(self.items()))
            if session in open_sessions:
                self.move_to_end(oldest_id)
            else:
                del self[oldest_id]
