"""One JSON line an event, on standard output."""

import queue
import sys
import time
from logging import INFO, Formatter, LogRecord, StreamHandler
from logging.handlers import QueueHandler, QueueListener

import orjson


class JsonLine(Formatter):
    def format(self, record):
        return orjson.dumps(record.msg, default=str).decode()


class Sink(QueueHandler):
    def prepare(self, record):
        return record

    def enqueue(self, record):
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            pass        # a reader that stands still must not stop the proxy


class Log:
    """A thread does the writing: standard output may be a pipe that nobody empties."""

    def __init__(self, name, most_lines, out=None):
        self.name = name
        lines = queue.Queue(most_lines)
        writer = StreamHandler(out or sys.stdout)
        writer.setFormatter(JsonLine())
        self.sink = Sink(lines)
        self.listener = QueueListener(lines, writer)
        self.listener.start()

    def __call__(self, event, **fields):
        line = {"time": round(time.time(), 3), "node": self.name, "event": event, **fields}
        self.sink.handle(LogRecord("wheathill", INFO, "", 0, line, (), None))

    def close(self):
        self.listener.stop()
