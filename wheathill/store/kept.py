"""Makes a replica's changes durable without its loop ever waiting: a thread writes and syncs what has
gathered.

`put` hands a record over and returns. What was handed over together is synced together (group commit), and
`kept` is called in the loop, by way of `call_soon`, with how many records are safe by now. When the disk
fails `failed` is called with the words for it, once; the replica goes on in memory and the others hold what
it writes.
"""

import queue
import threading

from wheathill.store.journal import DiskFailed

STOP = object()


class Keeper:
    def __init__(self, journal, call_soon, kept, failed, *, snapshot_after):
        self.journal = journal
        self.call_soon, self.kept, self.failed = call_soon, kept, failed
        self.snapshot_after = snapshot_after  # records, until a snapshot is asked for
        self.waiting = queue.SimpleQueue()
        self.count = 0  # handed over
        self.since = len(journal.tail)
        self.writer = threading.Thread(target=self.run, daemon=True)
        self.writer.start()

    def put(self, words):
        self.count += 1
        self.since += 1
        self.waiting.put((words, False))

    @property
    def due(self):
        """Whether a snapshot would shorten the log."""
        return self.since >= self.snapshot_after

    def snapshot(self, words):
        self.since = 0
        self.waiting.put((words, True))

    def run(self):
        done, failed = 0, False
        while True:
            batch = [self.waiting.get()]
            while True:
                try:
                    batch.append(self.waiting.get_nowait())
                except queue.Empty:
                    break
            stop = batch[-1] is STOP
            batch = [item for item in batch if item is not STOP]
            try:
                done += self.write(batch)
                failed = False
                if batch:
                    self.call_soon(self.kept, done)
            except DiskFailed as wrong:
                done += sum(not whole for _, whole in batch)
                if not failed:
                    failed = True
                    self.call_soon(self.failed, str(wrong))
            if stop:
                return

    def write(self, batch):
        """In the order that it was handed over; how many records it had."""
        records = []
        for words, whole in batch:
            if whole:
                # It holds all that was handed over before it.
                self.journal.snapshot(words)
                records = []
            else:
                records.append(words)
        if records:
            self.journal.append(records)
            self.journal.sync()
        return sum(not whole for _, whole in batch)

    def close(self):
        self.waiting.put(STOP)
        self.writer.join()
