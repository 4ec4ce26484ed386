"""Rendezvous hashing (highest random weight: Thaler and Ravishankar, 1998)."""

import hashlib

WEIGHT_BYTES = 8


def rendezvous_weight(*words: object) -> bytes:
    """Return a weight that is the same wherever it is computed from the same words."""
    text = " ".join(map(str, words))
    return hashlib.blake2b(text.encode(), digest_size=WEIGHT_BYTES).digest()


def rendezvous_fraction(*words: object) -> float:
    """Return the weight of these words as a number from 0 up to 1."""
    weight = int.from_bytes(rendezvous_weight(*words), "big")
    return weight / 2 ** (8 * WEIGHT_BYTES)
