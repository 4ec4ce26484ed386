"""Group commit: makes changes durable without the event loop ever waiting for the disk.

A thread writes and syncs what has gathered. What was handed over together is synced
together.
"""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wheathill.store.errors import DiskError
from wheathill.store.write_ahead_log import WriteAheadLog


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """A record or a snapshot that is to be written."""

    content: Any
    is_snapshot: bool


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """Requests in the order in which they were handed over."""

    requests: list[WriteRequest]
    is_last: bool

    @property
    def record_count(self) -> int:
        """Number of records, without snapshots."""
        return sum(not request.is_snapshot for request in self.requests)


class GroupCommitWriter:
    """Writes to a log from a thread of its own.

    When the disk fails the replica goes on in memory, and the other members hold what
    it writes.
    """

    def __init__(
        self,
        log: WriteAheadLog,
        call_soon: Callable[..., object],
        on_durable: Callable[[int], object],
        on_failure: Callable[[str], object],
        *,
        snapshot_threshold: int,
    ) -> None:
        """Start the thread.

        Args:
            log: the log that is written to.
            call_soon: calls a function with arguments in the event loop, from any
                thread.
            on_durable: called in the loop with the number of records that are done with
                so far.
            on_failure: called in the loop with the reason when the disk begins to fail.
            snapshot_threshold: records of the log from which on a snapshot is due.
        """
        self._log = log
        self._call_soon = call_soon
        self._on_durable = on_durable
        self._on_failure = on_failure
        self._snapshot_threshold = snapshot_threshold
        # None ends the thread.
        self._requests: queue.SimpleQueue[WriteRequest | None] = queue.SimpleQueue()
        self._records_since_snapshot = len(log.records)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def is_snapshot_due(self) -> bool:
        """Whether a snapshot would shorten the log."""
        return self._records_since_snapshot >= self._snapshot_threshold

    def append(self, record: object) -> None:
        """Hand a record over, and return at once."""
        self._records_since_snapshot += 1
        self._requests.put(WriteRequest(record, is_snapshot=False))

    def write_snapshot(self, content: object) -> None:
        """Hand a snapshot over, and return at once."""
        self._records_since_snapshot = 0
        self._requests.put(WriteRequest(content, is_snapshot=True))

    def close(self) -> None:
        """Write what was handed over and end the thread."""
        self._requests.put(None)
        self._thread.join()

    def _run(self) -> None:
        done_count = 0
        is_failing = False
        while True:
            batch = self._next_batch()
            try:
                self._write(batch.requests)
                done_count += batch.record_count
                is_failing = False
                if batch.requests:
                    self._call_soon(self._on_durable, done_count)
            except DiskError as error:
                done_count += batch.record_count
                if not is_failing:
                    is_failing = True
                    self._call_soon(self._on_failure, str(error))
            if batch.is_last:
                return

    def _next_batch(self) -> WriteBatch:
        """Wait for a request, and take all that have gathered by then."""
        gathered = [self._requests.get()]
        while True:
            try:
                gathered.append(self._requests.get_nowait())
            except queue.Empty:
                break
        requests = [request for request in gathered if request is not None]
        return WriteBatch(requests, is_last=gathered[-1] is None)

    def _write(self, requests: list[WriteRequest]) -> None:
        records: list[Any] = []
        for request in requests:
            if request.is_snapshot:
                # It holds all that was handed over before it.
                self._log.write_snapshot(request.content)
                records = []
            else:
                records.append(request.content)
        if records:
            self._log.append(records)
            self._log.sync()
