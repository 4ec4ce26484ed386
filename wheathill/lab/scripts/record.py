"""Records what happens in a run: events in order, latencies, and time series.

The judges and the report read it.
"""

import hashlib
from collections import Counter

import orjson
from hdrh.histogram import HdrHistogram

MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 120_000_000, 3


class Latencies:
    """Latencies of one kind in ms, for the whole run and for each second."""

    def __init__(self):
        self.all = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.by_second = {}  # second -> samples in ms

    def add(self, now, ms):
        """Add a latency that was measured at time `now`."""
        self.all.record_value(max(MIN_LATENCY_US, int(ms * 1000)))
        self.by_second.setdefault(int(now // 1000), []).append(ms)

    def percentile(self, percent):
        """Return a percentile in ms, None without any sample."""
        return (
            self.all.get_value_at_percentile(percent) / 1000
            if self.all.total_count
            else None
        )

    def figures(self):
        """Return the count and the percentiles for the report."""
        return {
            "count": self.all.total_count,
            **{
                f"p{percent:g}": self.percentile(percent)
                for percent in (50.0, 90.0, 99.0, 100.0)
            },
        }


class Record:
    """The events, latencies and time series of one run.

    Events are (ms, kind, fields). Fields are texts, numbers and booleans only, so that the
    log of a run has the same bytes on every machine.
    """

    def __init__(self, clock):
        self.clock = clock
        self.events = []
        self.counts = Counter()
        self.handshakes = Latencies()
        self.messages = Latencies()
        self.series = {}  # name -> [(ms, value)]
        self.digest = hashlib.blake2b(digest_size=16)
        self.watchers = []  # called with each event, for the conditions of the script

    def note(self, kind, **fields):
        """Record an event and pass it to the watchers."""
        event = (self.clock.now(), kind, fields)
        self.events.append(event)
        for watcher in self.watchers:
            watcher(*event)

    def log(self, name):
        """Return the log function of a proxy, which records its log lines as events."""

        def log_event(event, **fields):
            self.note("log", node=name, event=event, **fields)

        return log_event

    def add_handshake(self, ms):
        """Add the latency of a handshake."""
        self.handshakes.add(self.clock.now(), ms)

    def add_message(self, ms, target):
        """Add the latency of a message, and count whether it met its target."""
        now = self.clock.now()
        self.messages.add(now, ms)
        self.counts["messages in time"] += ms <= target
        # Too many to keep as events, but two runs must agree on them as well.
        self.digest.update(b"%r %r;" % (now, ms))

    def add_sample(self, name, value):
        """Add a value to a time series."""
        self.series.setdefault(name, []).append((self.clock.now(), value))

    def lines(self):
        """Yield the event log, one JSON line per event."""
        for now, kind, fields in self.events:
            yield orjson.dumps(
                {"ms": now, "kind": kind, **fields},
                default=str,
                option=orjson.OPT_APPEND_NEWLINE,
            )

    def fingerprint(self):
        """Return a hash of all events and message latencies."""
        digest = self.digest.copy()
        for line in self.lines():
            digest.update(line)
        return digest.hexdigest()
