"""What the endpoint lists last said of a server, and whether another list is behind.

A list may come from an agent that is behind: at a new address, or after its restart.
What it says of a server then must not undo what a newer list has said.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from wheathill.model import Phase


class ListedState(NamedTuple):
    """What holds of a server by the lists.

    Attributes:
        version: of the list that has said so, or None if it had none.
        started_ms: when the server's process started, or None for long ago.
        has_left: whether the server drains, is gone or was left out.
    """

    version: int | None
    started_ms: float | None
    has_left: bool

    def is_newer_than(self, version: int | None) -> bool:
        """Return whether a list of that version is older."""
        return (
            self.version is not None and version is not None and version < self.version
        )


class ResolvedEntry(NamedTuple):
    """What holds of a server after an entry of a list.

    Attributes:
        state: what is to be remembered.
        is_return_stale: whether the entry would bring a server back that a newer list
            has made leave.
    """

    state: ListedState
    is_return_stale: bool


def resolve_entry(
    known: ListedState | None,
    version: int | None,
    phase: Phase,
    started_ms: float | None,
) -> ResolvedEntry:
    """Return what holds after an entry of a list of a version.

    Args:
        known: what held before, or None if nothing is known.
        version: of the list.
        phase: the phase that the entry states.
        started_ms: the start of the process that the entry states.
    """
    has_left = phase is not Phase.READY
    listed = ListedState(version, started_ms, has_left)
    if known is None or not known.is_newer_than(version):
        return ResolvedEntry(listed, is_return_stale=False)
    if _start(started_ms) > _start(known.started_ms):
        # A process that has started since, whatever the versions count.
        return ResolvedEntry(listed, is_return_stale=False)
    if has_left:
        # Not used again before it is listed as ready: that is safe in any case.
        state = ListedState(version, known.started_ms, has_left=True)
        return ResolvedEntry(state, is_return_stale=False)
    return ResolvedEntry(known, is_return_stale=known.has_left)


def _start(started_ms: float | None) -> float:
    return -math.inf if started_ms is None else started_ms
