"""The wire protocol of the simulator: batches of events in, orders out.

Each line is one JSON object. A batch is `{"tS": seconds, "happened": [event, ...]}`,
where an event is an array of a name, an instance (one simulated proxy) and values. The
answer is `{"orders": [order, ...]}`, where an order is an array of a name, the instance
and values. The names and codes below are defined by the protocol.
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
# Flags of a session. They are plain integers, as they are tested for every session.
LOAD_DECLARED, CLIENT_RETRY, MID_FLOW, RETURNING = 1, 2, 8, 16
# Topics of a notice about a session: its load, or the latency of a message.
LOAD_NOTICE, LATENCY_NOTICE = 1, 2
# Number of values of an endpoint list entry.
ENTRY_VALUES = 7
MS_PER_S = 1000


class MalformedBatchError(Exception):
    """An input line or one of its events violates the wire protocol."""


def decode_batch(line: bytes) -> tuple[float, list[Any]]:
    """Return the time in milliseconds and the events of a line.

    Raises:
        MalformedBatchError: the line is not JSON, or not a batch.
    """
    try:
        batch = json.loads(line)
    except ValueError:
        raise MalformedBatchError("not valid JSON") from None
    if (
        not isinstance(batch, dict)
        or not isinstance(batch.get("happened"), list)
        or isinstance(batch.get("tS"), bool)
        or not isinstance(batch.get("tS"), (int, float))
    ):
        raise MalformedBatchError('a batch needs a number "tS" and an array "happened"')
    return batch["tS"] * MS_PER_S, batch["happened"]


def encode_orders(orders: list[list[Any]]) -> str:
    """Return the line that answers a batch."""
    return json.dumps({"orders": orders}, separators=(",", ":")) + "\n"
