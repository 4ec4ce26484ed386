"""The event log: one JSON line per event, on standard output."""

import contextlib
import os
import queue
import sys
import threading
import time

import orjson

# Limits how long a stalled reader of standard output can delay process exit.
CLOSE_TIMEOUT_S = 1.0


class EventLog:
    """Writes events from a separate thread, as standard output may be a stalled pipe.

    Attributes:
        node_name: value of the field `node` in each line.
    """

    def __init__(
        self, node_name: str, max_queued_lines: int, descriptor: int | None = None
    ) -> None:
        """Start the thread; it writes to `descriptor`, by default standard output."""
        self.node_name = node_name
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: queue.Queue[bytes] = queue.Queue(max_queued_lines)
        self._writer = threading.Thread(target=self._write_lines, daemon=True)
        self._writer.start()

    def __call__(self, event: str, **fields: object) -> None:
        """Queue a line with the event and its fields; drop it if the queue is full."""
        line = {
            "time": round(time.time(), 3),
            "node": self.node_name,
            "event": event,
            **fields,
        }
        self._put(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def close(self) -> None:
        """Flush queued lines, waiting at most `CLOSE_TIMEOUT_S`."""
        self._put(b"")  # tells the thread to stop
        self._writer.join(CLOSE_TIMEOUT_S)

    def _put(self, line: bytes) -> None:
        # A stalled reader must not block the proxy.
        with contextlib.suppress(queue.Full):
            self._lines.put_nowait(line)

    def _write_lines(self) -> None:
        while line := self._lines.get():
            # Keep serving after the reader has closed the pipe.
            with contextlib.suppress(OSError):
                while line:
                    line = line[os.write(self._descriptor, line) :]
