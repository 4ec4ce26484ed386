"""Members in turn, a few at a time, however many there are."""

import random
from collections.abc import Callable

from wheathill.peers.membership import Member


class MemberRotation:
    """Each member once a round, a few at a time, in an order drawn anew each round."""

    def __init__(self, rng: random.Random, count: int) -> None:
        self._random = rng
        self._count = count
        self._remaining: list[Member] = []

    def next_members(self, list_members: Callable[[], list[Member]]) -> list[Member]:
        """Return the next few; `list_members()` is asked where a round begins."""
        if not self._remaining:
            self._remaining = list_members()
            self._random.shuffle(self._remaining)
        chosen = self._remaining[: self._count]
        self._remaining = self._remaining[self._count :]
        return chosen
