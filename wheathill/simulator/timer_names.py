"""Encodes timers as names in the simulator's wire protocol."""

from wheathill.model import Timer, TimerKind

NAMES = {
    TimerKind.POLL_ENDPOINT_LIST: "follow",
    TimerKind.TICK: "tick",
    TimerKind.PROBE: "probe",
}
KINDS = {name: kind for kind, name in NAMES.items()}
# Prefix of the name of a `PROBE_WAIT` timer, followed by its selection number.
PROBE_WAIT_PREFIX = "wait "


def encode_timer(timer: Timer) -> str:
    """Return the name of a timer."""
    if timer.kind is TimerKind.PROBE_WAIT:
        return f"{PROBE_WAIT_PREFIX}{timer.selection_number}"
    return NAMES[timer.kind]


def decode_timer(name: str) -> Timer | None:
    """Return the timer with a name, or None for an unknown name.

    Raises:
        ValueError: the name of a `PROBE_WAIT` timer has no valid number.
    """
    if name.startswith(PROBE_WAIT_PREFIX):
        number = int(name.removeprefix(PROBE_WAIT_PREFIX))
        return Timer(TimerKind.PROBE_WAIT, number)
    kind = KINDS.get(name)
    return None if kind is None else Timer(kind)
