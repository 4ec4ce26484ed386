"""Rendezvous hashing (highest random weight: Thaler and Ravishankar, 1998)."""

import hashlib

WEIGHT_BYTES = 8


def rendezvous_weight(*key_parts: object) -> bytes:
    """Return a weight that depends only on the given key parts."""
    text = " ".join(map(str, key_parts))
    return hashlib.blake2b(text.encode(), digest_size=WEIGHT_BYTES).digest()


def rendezvous_fraction(*key_parts: object) -> float:
    """Return the weight of the key parts as a number in the interval [0, 1)."""
    weight = int.from_bytes(rendezvous_weight(*key_parts), "big")
    return weight / 2 ** (8 * WEIGHT_BYTES)
