"""What the lab has seen: events in order, latencies, and figures over time. The judges and the report read
it."""

import hashlib
from collections import Counter

import orjson
from hdrh.histogram import HdrHistogram

LOWEST_US, HIGHEST_US, DIGITS = 1, 120_000_000, 3


class Latencies:
    """One kind of latency, in the whole run and by its second; ms in, ms out."""

    def __init__(self):
        self.all = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self.by_second = {}  # second -> samples in ms

    def add(self, now, ms):
        self.all.record_value(max(LOWEST_US, int(ms * 1000)))
        self.by_second.setdefault(int(now // 1000), []).append(ms)

    def percentile(self, share):
        return (
            self.all.get_value_at_percentile(share) / 1000
            if self.all.total_count
            else None
        )

    def figures(self):
        return {
            "count": self.all.total_count,
            **{
                f"p{share:g}": self.percentile(share)
                for share in (50.0, 90.0, 99.0, 100.0)
            },
        }


class Record:
    """Events are (ms, kind, fields). Fields are text, numbers and truth values only, so that the log of a
    run is the same to the byte wherever it is written."""

    def __init__(self, clock):
        self.clock = clock
        self.events = []
        self.counts = Counter()
        self.handshakes = Latencies()
        self.messages = Latencies()
        self.series = {}  # name -> [(ms, figure)]
        self.digest = hashlib.blake2b(digest_size=16)
        self.watchers = []  # called with each event: conditions of the script wait for some

    def note(self, kind, **fields):
        event = (self.clock.now(), kind, fields)
        self.events.append(event)
        for watch in self.watchers:
            watch(*event)

    def log(self, name):
        """A proxy's log, as its Log takes it."""

        def note(event, **fields):
            self.note("log", node=name, event=event, **fields)

        return note

    def handshake(self, ms):
        self.handshakes.add(self.clock.now(), ms)

    def message(self, ms, target):
        now = self.clock.now()
        self.messages.add(now, ms)
        self.counts["messages in time"] += ms <= target
        # Too many to keep as events, and still part of what two runs must agree on.
        self.digest.update(b"%r %r;" % (now, ms))

    def figure(self, name, value):
        self.series.setdefault(name, []).append((self.clock.now(), value))

    def lines(self):
        """The event log, one JSON line an event."""
        for now, kind, fields in self.events:
            yield orjson.dumps(
                {"ms": now, "kind": kind, **fields},
                default=str,
                option=orjson.OPT_APPEND_NEWLINE,
            )

    def fingerprint(self):
        """Of every event and every message's latency."""
        digest = self.digest.copy()
        for line in self.lines():
            digest.update(line)
        return digest.hexdigest()
