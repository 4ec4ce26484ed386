"""Assigns slots to servers by a weighted hash, with the same result at every proxy.

Each server has an unlimited sequence of draws, pseudo-random numbers derived from its
name. A draw is a claim to one slot, with a score; a slot belongs to the claim with the
lowest score. The score of the k-th draw is the sum of k and a random fraction, divided
by the weight of the server. So the number of slots of a server is proportional to its
weight, and a server that joins or leaves changes only the slots that it takes or frees.
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

# Draws per server and step: the minimum, and the number per slot that is divided by the
# number of servers.
MIN_DRAWS_PER_STEP = 16
DRAWS_PER_SLOT = 4


def slot_of_key(key: str, slot_count: int) -> int:
    """Return the slot that a key is hashed to."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % slot_count


def hash_draws(name: str, count: int) -> array:
    """Return the first `count` draws of a server, identical on all platforms."""
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
    """Assign each slot to the server with the lowest claim score for it.

    Only draws that can still have the lowest score are made, about 14 per slot in
    total.

    Args:
        slots: the slots to assign.
        claim_scores: by slot, the lowest score so far; updated. A slot that must not
            change has the score -inf, or one that is lower than any of these servers'.
        owners: by slot, the server with that score; updated.
        weights: the weight of each server.
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
    """Apply the claims of one server from a range of its draws."""
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
