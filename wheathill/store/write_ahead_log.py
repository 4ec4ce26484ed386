"""Write-ahead log with snapshots; the whole directory is read on opening.

    cluster     name of the cluster
    lock        locked by the process that has the directory open
    log.N       records since snapshot N
    snap.N      one record with the complete state

Records passed to `append` are durable once the following `sync` has returned. If a
crash tore the last record of the last log, the log is truncated before it: that record
was never acknowledged. Any other corruption is listed in `corrupt_locations`, and
intact records after it are still read. A snapshot is written to a temporary file,
synced and renamed, the directory is synced, and only then are older files removed.
"""

import os
from typing import Any, NamedTuple, NoReturn

from wheathill.store.errors import DiskError
from wheathill.store.file_system import FileSystem
from wheathill.store.record_framing import decode_records, encode_record
from wheathill.store.store_directory import (
    LOG_PREFIX,
    SNAPSHOT_PREFIX,
    StoreDirectory,
)


class CorruptLocation(NamedTuple):
    """A file and the byte offset at which corruption begins in it."""

    file_name: str
    offset: int


class WriteAheadLog:
    """The log and snapshots of one open directory.

    Disk failures are raised as `DiskError`.

    Attributes:
        last_snapshot: content of the last readable snapshot, or None.
        records: records since that snapshot, as read on opening.
        torn_bytes: size of the incomplete record that was truncated on opening.
        corrupt_locations: locations of corruption in data that had been durable.
    """

    def __init__(
        self, path: str, cluster: str, file_system: FileSystem | None = None
    ) -> None:
        """Open and read the directory at `path`, which must belong to `cluster`.

        Raises:
            DiskError: the directory can't be used.
        """
        self._file_system = file_system or FileSystem()
        self._directory = StoreDirectory(path, self._file_system)
        self._descriptor: int | None = None
        self._log_number = 0
        self._write_failure: str | None = None  # why writes are refused
        self.last_snapshot: Any = None
        self.records: list[Any] = []
        self.torn_bytes = 0
        self.corrupt_locations: list[CorruptLocation] = []
        try:
            self._directory.open(cluster)
            self._read_snapshot()
            self._read_logs()
            self._open_log()
        except OSError as error:
            self.close()
            raise DiskError(f"{error.filename or path}: {error.strerror}") from None
        except DiskError:
            self.close()
            raise

    def append(self, records: list[Any]) -> None:
        """Write several records with one call.

        After a failure nothing more is written to this log, because records after a
        partial one could not be distinguished from corruption.

        Raises:
            DiskError: this write or an earlier one failed.
        """
        descriptor = self._writable_descriptor()
        try:
            self._file_system.write_all(
                descriptor, b"".join(map(encode_record, records))
            )
        except OSError as error:
            self._fail(error)

    def sync(self) -> None:
        """Make the appended records durable.

        A failed sync is not retried, because the kernel may already have discarded the
        unwritten pages.

        Raises:
            DiskError: this sync or an earlier write or sync failed.
        """
        descriptor = self._writable_descriptor()
        try:
            self._file_system.sync(descriptor)
        except OSError as error:
            self._fail(error)

    def write_snapshot(self, content: object) -> None:
        """Write the complete state as one record and start a new log.

        Older files are removed once the new ones are durable.

        Raises:
            DiskError: the snapshot can't be written; the current log stays in use.
        """
        number = self._log_number + 1
        name = f"{SNAPSHOT_PREFIX}{number}"
        try:
            self._directory.replace(name, encode_record(content))
        except OSError as error:
            path = self._directory.file_path(name)
            raise DiskError(f"{path}: {error.strerror}") from None
        older_names = [
            f"{prefix}{older}"
            for prefix in (SNAPSHOT_PREFIX, LOG_PREFIX)
            for older in self._directory.file_numbers(prefix)
            if older < number
        ]
        self._log_number = number
        self._write_failure = None
        self._open_log()
        for older_name in older_names:
            os.remove(self._directory.file_path(older_name))

    def close(self) -> None:
        """Close the log and unlock the directory."""
        if self._descriptor is not None:
            os.close(self._descriptor)
        self._descriptor = None
        self._directory.close()

    def _read_snapshot(self) -> None:
        for number in reversed(self._directory.file_numbers(SNAPSHOT_PREFIX)):
            name = f"{SNAPSHOT_PREFIX}{number}"
            records = decode_records(self._directory.read(name)).records
            if len(records) == 1:
                self.last_snapshot, self._log_number = records[0], number
                return
            self.corrupt_locations.append(CorruptLocation(name, 0))

    def _read_logs(self) -> None:
        # Logs older than the snapshot remain if a crash preceded their removal; all
        # others are read.
        numbers = [
            number
            for number in self._directory.file_numbers(LOG_PREFIX)
            if number >= self._log_number
        ]
        for number in numbers:
            self._read_log(f"{LOG_PREFIX}{number}", is_last=number == numbers[-1])
        if numbers:
            self._log_number = numbers[-1]

    def _read_log(self, name: str, *, is_last: bool) -> None:
        data = self._directory.read(name)
        decoded = decode_records(data)
        self.records += decoded.records
        self.corrupt_locations += [
            CorruptLocation(name, offset) for offset in decoded.corrupt_offsets
        ]
        torn_bytes = len(data) - decoded.intact_bytes
        if is_last:
            self.torn_bytes = torn_bytes
            if torn_bytes:
                os.truncate(self._directory.file_path(name), decoded.intact_bytes)
        elif torn_bytes:
            self.corrupt_locations.append(CorruptLocation(name, decoded.intact_bytes))

    @property
    def _log_path(self) -> str:
        return self._directory.file_path(f"{LOG_PREFIX}{self._log_number}")

    def _open_log(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
        self._descriptor = self._file_system.open(self._log_path, append=True)
        self._directory.sync()

    def _writable_descriptor(self) -> int:
        if self._write_failure:
            raise DiskError(self._write_failure)
        assert self._descriptor is not None, "the log is closed"
        return self._descriptor

    def _fail(self, error: OSError) -> NoReturn:
        self._write_failure = f"{self._log_path}: {error.strerror}"
        raise DiskError(self._write_failure) from None
