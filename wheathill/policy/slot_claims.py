"""How servers claim slots: a weighted hash that all proxies compute alike.

Each server has an endless sequence of draws, pseudo-random numbers from its name. A
draw names a slot and is a claim to it; a slot belongs to the earliest claim. The k-th
draw comes at k and a fraction, divided by the server's weight, so that slots fall to
servers in proportion to their weights, and a server that joins or leaves changes only
the slots that it takes or frees.
"""

import hashlib
import sys
from array import array
from collections.abc import MutableSequence, Sequence

from wheathill.model import Server

# A draw is three 16-bit numbers: a slot, and the high and the low half of a fraction.
NUMBERS_PER_DRAW = 3
BYTES_PER_DRAW = 2 * NUMBERS_PER_DRAW
HIGH_HALF = 2**16
LOW_HALF = 2**32

# Draws made in one step: so many, and so many for each slot, shared by the servers.
MIN_DRAWS_PER_STEP = 16
DRAWS_PER_SLOT = 4


def slot_of_key(key: str, slot_count: int) -> int:
    """Return the slot that a key is hashed to."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % slot_count


def hash_draws(name: str, count: int) -> array:
    """Return the first `count` draws of a server, the same on every machine."""
    draws = array("H", hashlib.shake_128(name.encode()).digest(BYTES_PER_DRAW * count))
    if sys.byteorder == "big":
        draws.byteswap()
    return draws


def claim_slots(
    slots: Sequence[int],
    claim_scores: MutableSequence[float],
    owners: MutableSequence[Server | None],
    weights: dict[Server, float],
) -> None:
    """Give each slot to the server whose claim to it is the earliest.

    Only draws that can still come first are made: some 14 for each slot in all.

    Args:
        slots: the slots that are to be claimed.
        claim_scores: by slot, the earliest claim so far; updated. A slot that is not
            to change holds -inf, or a claim that none of these servers can precede.
        owners: by slot, whose claim that is; updated.
        weights: what each server counts for.
    """
    slot_count = len(claim_scores)
    start = 0
    while True:
        latest = max(map(claim_scores.__getitem__, slots), default=0.0)
        weights = {
            server: weight
            for server, weight in weights.items()
            if start < latest * weight
        }
        if not weights:
            return
        step = MIN_DRAWS_PER_STEP + DRAWS_PER_SLOT * slot_count // len(weights)
        stop = int(min(start + step, 1 + latest * max(weights.values())))
        for server, weight in weights.items():
            _claim_by_draws(server, weight, range(start, stop), claim_scores, owners)
        start = stop


def _claim_by_draws(
    server: Server,
    weight: float,
    draw_range: range,
    claim_scores: MutableSequence[float],
    owners: MutableSequence[Server | None],
) -> None:
    """Let one server claim slots by some of its draws."""
    start, stop = draw_range.start, draw_range.stop
    if len(server.hash_draws) < NUMBERS_PER_DRAW * stop:
        server.hash_draws = hash_draws(server.name, stop)
    draws = server.hash_draws
    mask = len(claim_scores) - 1
    slot_numbers = draws[
        NUMBERS_PER_DRAW * start : NUMBERS_PER_DRAW * stop : NUMBERS_PER_DRAW
    ]
    for index, number in enumerate(slot_numbers, start):
        slot = number & mask
        if index / weight < claim_scores[slot]:
            first = NUMBERS_PER_DRAW * index
            high, low = draws[first + 1], draws[first + 2]
            score = (index + high / HIGH_HALF + low / LOW_HALF) / weight
            if score < claim_scores[slot]:
                claim_scores[slot], owners[slot] = score, server
