"""The log: one JSON line an event, on standard output."""

import contextlib
import os
import queue
import sys
import threading
import time

import orjson

CLOSE_TIMEOUT_S = (
    1.0  # for what is queued; a pipe that nobody empties must not hold the end
)


class EventLog:
    """Writes events from a thread: standard output may be a pipe that nobody empties.

    Attributes:
        node_name: the field `node` of each line.
    """

    def __init__(
        self, node_name: str, max_queued_lines: int, descriptor: int | None = None
    ) -> None:
        """Start the thread; it writes to `descriptor`, or else to standard output."""
        self.node_name = node_name
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: queue.Queue[bytes] = queue.Queue(max_queued_lines)
        self._writer = threading.Thread(target=self._write_lines, daemon=True)
        self._writer.start()

    def __call__(self, event: str, **fields: object) -> None:
        """Queue a line with the event and its fields."""
        line = {
            "time": round(time.time(), 3),
            "node": self.node_name,
            "event": event,
            **fields,
        }
        self._put(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def close(self) -> None:
        """Write what is queued, as far as it can be written within a second."""
        self._put(b"")  # ends the thread
        self._writer.join(CLOSE_TIMEOUT_S)

    def _put(self, line: bytes) -> None:
        # A reader that stands still must not stop the proxy.
        with contextlib.suppress(queue.Full):
            self._lines.put_nowait(line)

    def _write_lines(self) -> None:
        while line := self._lines.get():
            # Where nobody reads any more, serving goes on.
            with contextlib.suppress(OSError):
                while line:
                    line = line[os.write(self._descriptor, line) :]
