"""The simulator's wire: one JSON object a line, batches of events in, orders out.

A batch is `{"tS": seconds, "happened": [event, ...]}`; an event is an array of a name,
an instance (one simulated proxy) and values. The answer is `{"orders": [order, ...]}`,
and an order is an array of a name, the instance and values. The names and codes below
are the wire's own.
"""

import json
from typing import Any

from wheathill.model import AttemptOutcome, Phase, UpdateKind

PHASES = {3: Phase.READY, 0: Phase.DRAINING, 2: Phase.GONE}
UPDATE_KINDS = {
    0: UpdateKind.DELTA,
    1: UpdateKind.SNAPSHOT,
    2: UpdateKind.CACHED,
    3: UpdateKind.FAILED,
}
OUTCOMES = {
    "completed": AttemptOutcome.COMPLETED,
    "errored": AttemptOutcome.ERROR,
    "saturated": AttemptOutcome.AT_CAPACITY,
    "overdue": AttemptOutcome.TIMED_OUT,
    "refused_conn": AttemptOutcome.CONNECT_FAILED,
    "severed": AttemptOutcome.RESET,
    "recalled": AttemptOutcome.CANCELLED,
    "superseded": AttemptOutcome.NEVER_SENT,
}
# Flags of a session. Plain numbers: they are looked at for each one.
LOAD_DECLARED, CLIENT_RETRY, MID_FLOW, RETURNING = 1, 2, 8, 16
# What a notice about a session is about: its load, or the latency of a message.
LOAD_NOTICE, LATENCY_NOTICE = 1, 2
# Values of an entry of the endpoint list.
ENTRY_VALUES = 7
MS_PER_S = 1000


class MalformedBatchError(Exception):
    """A line can't be read as a batch, or an event in it can't be."""


def decode_batch(line: bytes) -> tuple[float, list[Any]]:
    """Return the time in milliseconds and the events of a line.

    Raises:
        MalformedBatchError: the line is not JSON, or no batch.
    """
    try:
        batch = json.loads(line)
    except ValueError:
        raise MalformedBatchError("not JSON") from None
    if (
        not isinstance(batch, dict)
        or not isinstance(batch.get("happened"), list)
        or isinstance(batch.get("tS"), bool)
        or not isinstance(batch.get("tS"), (int, float))
    ):
        raise MalformedBatchError("not a batch with a clock and events")
    return batch["tS"] * MS_PER_S, batch["happened"]


def encode_orders(orders: list[list[Any]]) -> str:
    """Return the line that answers a batch."""
    return json.dumps({"orders": orders}, separators=(",", ":")) + "\n"
