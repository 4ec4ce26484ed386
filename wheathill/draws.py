"""The numbers that the slot table is filled by: the same for one name at every proxy."""

import hashlib
import sys
from array import array


def slot_of(text, size):
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") % size


def slot_draws(name, size):
    """A number per slot, the same on every machine: the lowest over weight is the highest weighted hash."""
    draws = array("I", hashlib.shake_128(name.encode()).digest(4 * size))
    if sys.byteorder == "big":
        draws.byteswap()
    return draws


def lowest_draws(servers, size):
    """(draw, place) of the lowest for each slot; of many, those of the lowest highest byte are compared."""
    draws = [server.draws for server in servers]
    if len(draws) < 64:
        yield from ((low := min(column), column.index(low)) for column in zip(*draws))
        return
    block, high = b"".join(draws), 3 * (sys.byteorder == "little")
    for slot in range(size):
        tops = block[4 * slot + high::4 * size]
        at = tops.find(0 if 0 in tops else min(tops))
        low, top = (draws[at][slot], at), tops[at]
        while (at := tops.find(top, at + 1)) >= 0:
            low = min(low, (draws[at][slot], at))
        yield low
