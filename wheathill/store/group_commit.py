"""Group commit: makes changes durable without blocking the event loop on the disk.

A background thread writes the queued requests; all records that are queued at that time
share a single sync.
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
    """A record or a snapshot to write."""

    content: Any
    is_snapshot: bool


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """Requests in the order in which they were queued."""

    requests: list[WriteRequest]
    is_last: bool

    @property
    def record_count(self) -> int:
        """Number of records, not counting snapshots."""
        return sum(not request.is_snapshot for request in self.requests)


class GroupCommitWriter:
    """Writes to a log in a background thread.

    If the disk fails, the replica continues in memory, and the other members hold
    copies of its changes.
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
            log: the log to write to.
            call_soon: thread-safe function that schedules a call with arguments in the
                event loop.
            on_durable: called in the event loop after each successful batch with the
                number of records processed so far, including any whose write failed.
            on_failure: called in the event loop with the reason when writes begin to
                fail.
            snapshot_threshold: number of records in the log at which a snapshot becomes
                due.
        """
        self._log = log
        self._call_soon = call_soon
        self._on_durable = on_durable
        self._on_failure = on_failure
        self._snapshot_threshold = snapshot_threshold
        # None stops the thread.
        self._requests: queue.SimpleQueue[WriteRequest | None] = queue.SimpleQueue()
        self._records_since_snapshot = len(log.records)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def is_snapshot_due(self) -> bool:
        """Whether the log is long enough that a snapshot should replace it."""
        return self._records_since_snapshot >= self._snapshot_threshold

    def append(self, record: object) -> None:
        """Queue a record for writing and return immediately."""
        self._records_since_snapshot += 1
        self._requests.put(WriteRequest(record, is_snapshot=False))

    def write_snapshot(self, content: object) -> None:
        """Queue a snapshot for writing and return immediately."""
        self._records_since_snapshot = 0
        self._requests.put(WriteRequest(content, is_snapshot=True))

    def close(self) -> None:
        """Write all queued requests and stop the thread."""
        self._requests.put(None)
        self._thread.join()

    def _run(self) -> None:
        completed_count = 0
        is_failing = False
        while True:
            batch = self._next_batch()
            try:
                self._write(batch.requests)
                completed_count += batch.record_count
                is_failing = False
                if batch.requests:
                    self._call_soon(self._on_durable, completed_count)
            except DiskError as error:
                completed_count += batch.record_count
                if not is_failing:
                    is_failing = True
                    self._call_soon(self._on_failure, str(error))
            if batch.is_last:
                return

    def _next_batch(self) -> WriteBatch:
        """Wait for a request and return it with all others queued by then."""
        queued = [self._requests.get()]
        while True:
            try:
                queued.append(self._requests.get_nowait())
            except queue.Empty:
                break
        requests = [request for request in queued if request is not None]
        return WriteBatch(requests, is_last=queued[-1] is None)

    def _write(self, requests: list[WriteRequest]) -> None:
        records: list[Any] = []
        for request in requests:
            if request.is_snapshot:
                # The snapshot contains all records that were queued before it.
                self._log.write_snapshot(request.content)
                records = []
            else:
                records.append(request.content)
        if records:
            self._log.append(records)
            self._log.sync()
