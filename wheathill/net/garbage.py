"""Keeps collections of garbage short, however much is open.

What a proxy is done with is freed by its references alone. The collector is left with what faults and libraries leave
behind; but a full collection walks over all that is open, and the loop stands meanwhile. So each object is walked over
by one full collection only: what has come since the last one is all that the next one meets."""

import gc

YOUNG, MIDDLE, FULL = (
    700,
    10,
    3,
)  # the interpreter's own, but for the last: some 30,000 objects between two full ones


def keep_collections_short():
    """From now on, in this process. What is here already is left out as well."""
    gc.set_threshold(YOUNG, MIDDLE, FULL)
    gc.freeze()
    gc.callbacks.append(leave_out)


def leave_out(phase, told):
    if phase == "stop" and told["generation"] == 2:
        gc.freeze()
