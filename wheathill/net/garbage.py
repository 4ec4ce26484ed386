"""Keeps collections of garbage short, however much is open.

What a proxy has closed is freed by its references alone. The collector is left with
what faults and libraries leave behind; but a full collection walks over all that is
open, and the loop stands meanwhile. So each object is walked over by one full
collection only: what was allocated since the last one is all that the next one meets.
"""

import gc

# Allocations, and collections of the next younger generation, that start a collection.
# The interpreter's own thresholds but for the last (10): some 30,000 objects between
# two full collections.
YOUNG_THRESHOLD = 700
MIDDLE_THRESHOLD = 10
FULL_THRESHOLD = 3
FULL_GENERATION = 2


def keep_collections_short() -> None:
    """Exempt from now on, in this process, whatever has survived a full collection.

    What is allocated already is exempted as well.
    """
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, FULL_THRESHOLD)
    gc.freeze()
    gc.callbacks.append(_exempt_survivors)


def _exempt_survivors(phase: str, info: dict[str, int]) -> None:
    if phase == "stop" and info["generation"] == FULL_GENERATION:
        gc.freeze()
