"""Selects members in random rotation, in batches of bounded size."""

import random
from collections.abc import Callable

from wheathill.peers.membership import Member


class MemberRotation:
    """Returns each member once per round, in batches of at most `batch_size`.

    The order is shuffled for each round.
    """

    def __init__(self, rng: random.Random, batch_size: int) -> None:
        self._random = rng
        self._batch_size = batch_size
        self._remaining: list[Member] = []

    def next_members(self, list_members: Callable[[], list[Member]]) -> list[Member]:
        """Return the next batch; each round begins with a call of `list_members()`."""
        if not self._remaining:
            self._remaining = list_members()
            self._random.shuffle(self._remaining)
        chosen = self._remaining[: self._batch_size]
        self._remaining = self._remaining[self._batch_size :]
        return chosen
