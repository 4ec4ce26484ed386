"""Bounds garbage collection pauses, regardless of how many connections are open.

Closed connections are freed by reference counting alone; the collector only has to find
cycles left behind by exceptions and libraries. But a full collection traverses every
live object and blocks the event loop meanwhile. Objects that survive a full collection
are therefore moved to the permanent generation (`gc.freeze`), so that each full
collection traverses only what was allocated since the previous one.
"""

import gc

# The first counts allocations, the others count collections of the next younger
# generation. All but the last (10 by default) are the interpreter's own; together they
# give some 30,000 new objects between two full collections.
YOUNG_THRESHOLD = 700
MIDDLE_THRESHOLD = 10
FULL_THRESHOLD = 3
FULL_GENERATION = 2


def limit_gc_pauses() -> None:
    """Exempt objects that survive a full collection from later ones in this process.

    Objects that are already allocated are exempted as well.
    """
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, FULL_THRESHOLD)
    gc.freeze()
    gc.callbacks.append(_exempt_survivors)


def _exempt_survivors(phase: str, info: dict[str, int]) -> None:
    if phase == "stop" and info["generation"] == FULL_GENERATION:
        gc.freeze()
