"""One JSON line an event, on standard output."""

import os
import queue
import sys
import threading
import time

import orjson


class Log:
    """A thread does the writing: standard output may be a pipe that nobody empties."""

    def __init__(self, name, most_lines, out=None):
        self.name = name
        self.out = sys.stdout.fileno() if out is None else out
        self.lines = queue.Queue(most_lines)
        self.writer = threading.Thread(target=self.write, daemon=True)
        self.writer.start()

    def __call__(self, event, **fields):
        line = {
            "time": round(time.time(), 3),
            "node": self.name,
            "event": event,
            **fields,
        }
        self.put(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def put(self, line):
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            pass  # a reader that stands still must not stop the proxy

    def write(self):
        while line := self.lines.get():
            try:
                while line:
                    line = line[os.write(self.out, line) :]
            except OSError:
                pass  # nobody reads any more; serving goes on

    def close(self):
        self.put(b"")
        self.writer.join(1.0)
