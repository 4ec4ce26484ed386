"""Write-ahead log with snapshots; the directory is read whole at the start.

    cluster     the cluster's name
    lock        locked by the process that has the directory open
    log.N       records since snapshot N
    snap.N      one record that holds everything

What was given to `append` is durable once the `sync` after it has returned. A log whose
end was torn off by a crash ends before the torn record, which was never confirmed. A
record that is damaged in the middle is another matter: what follows it is still read,
where it can be, and `corrupt_locations` names it. A snapshot is written beside, synced, renamed,
the directory is synced, and only then the older log is removed.
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
    """A file and the offset in bytes at which damage begins."""

    file_name: str
    offset: int


class WriteAheadLog:
    """The log and snapshots of one open directory.

    All failures of the disk are raised as `DiskError`.

    Attributes:
        last_snapshot: content of the last snapshot, or None.
        records: records since that snapshot, as they were read at the start.
        torn_bytes: bytes of an unfinished record that were cut off.
        corrupt_locations: places of damage in what had been durable.
    """

    def __init__(
        self, path: str, cluster: str, file_system: FileSystem | None = None
    ) -> None:
        """Open the directory at `path`, which belongs to `cluster`, and read it.

        Raises:
            DiskError: the directory can't be used.
        """
        self._file_system = file_system or FileSystem()
        self._directory = StoreDirectory(path, self._file_system)
        self._descriptor: int | None = None
        self._number = 0
        self._write_failure: str | None = None  # why nothing can be written any more
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
        """Write several records at once.

        After a failure nothing more is written to this log: what follows half a record
        could not be told from damage.

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
        """Make durable what was appended.

        It is not tried again after a failure: the system may have let go of what was
        written.

        Raises:
            DiskError: this write or an earlier one failed.
        """
        descriptor = self._writable_descriptor()
        try:
            self._file_system.sync(descriptor)
        except OSError as error:
            self._fail(error)

    def write_snapshot(self, content: object) -> None:
        """Write everything in one record, and begin a new log behind it.

        The older files are removed once the new ones are durable.

        Raises:
            DiskError: the snapshot can't be written; the open log goes on as it was.
        """
        number = self._number + 1
        name = f"{SNAPSHOT_PREFIX}{number}"
        try:
            self._directory.replace(name, encode_record(content))
        except OSError as error:
            path = self._directory.file_path(name)
            raise DiskError(f"{path}: {error.strerror}") from None
        older_names = [
            f"{prefix}{older}"
            for prefix in (SNAPSHOT_PREFIX, LOG_PREFIX)
            for older in self._directory.numbers(prefix)
            if older < number
        ]
        self._number = number
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
        for number in reversed(self._directory.numbers(SNAPSHOT_PREFIX)):
            name = f"{SNAPSHOT_PREFIX}{number}"
            records = decode_records(self._directory.read(name)).records
            if len(records) == 1:
                self.last_snapshot, self._number = records[0], number
                return
            self.corrupt_locations.append(CorruptLocation(name, 0))

    def _read_logs(self) -> None:
        # Logs older than the snapshot are left over from a crash before their removal;
        # all later ones count.
        numbers = [
            number
            for number in self._directory.numbers(LOG_PREFIX)
            if number >= self._number
        ]
        for number in numbers:
            self._read_log(f"{LOG_PREFIX}{number}", is_last=number == numbers[-1])
        if numbers:
            self._number = numbers[-1]

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
        return self._directory.file_path(f"{LOG_PREFIX}{self._number}")

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
