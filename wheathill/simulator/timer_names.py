"""The names of timers on the simulator's wire."""

from wheathill.model import Timer, TimerKind

NAMES = {
    TimerKind.POLL_ENDPOINT_LIST: "follow",
    TimerKind.TICK: "tick",
    TimerKind.PROBE: "probe",
}
KINDS = {name: kind for kind, name in NAMES.items()}
# A selection that waits for a probe is named by this and its number.
PROBE_WAIT_PREFIX = "wait "


def encode_timer(timer: Timer) -> str:
    """Return the name of a timer."""
    if timer.kind is TimerKind.PROBE_WAIT:
        return f"{PROBE_WAIT_PREFIX}{timer.selection_number}"
    return NAMES[timer.kind]


def decode_timer(name: str) -> Timer | None:
    """Return the timer of a name, or None for a name that none has.

    Raises:
        ValueError: the name is that of a waiting selection without its number.
    """
    if name.startswith(PROBE_WAIT_PREFIX):
        number = int(name.removeprefix(PROBE_WAIT_PREFIX))
        return Timer(TimerKind.PROBE_WAIT, number)
    kind = KINDS.get(name)
    return None if kind is None else Timer(kind)
