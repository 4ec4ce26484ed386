"""Parses the load reports that servers send, such as `inflight=7,util=0.61`."""

from collections.abc import Iterable


def parse_load_report(text: bytes, names: Iterable[str]) -> list[float | None] | None:
    """Return the values in the order of `names`, None for each one not reported.

    Pairs that are not a name and a number are ignored. Returns None if no valid pair
    is left.
    """
    values = {}
    for pair in text.split(b","):
        name, equals, value = pair.partition(b"=")
        if equals:
            try:
                values[name.decode("ascii", "replace")] = float(value)
            except ValueError:
                continue
    return [values.get(name) for name in names] if values else None
