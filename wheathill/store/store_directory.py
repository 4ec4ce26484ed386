"""Directory of one replica: a lock file, the cluster name and numbered files."""

import fcntl
import os

from wheathill.store.errors import DiskError
from wheathill.store.file_system import FILE_MODE, FileSystem

LOCK_FILE = "lock"  # locked by the process that has the directory open
CLUSTER_FILE = "cluster"  # cluster name, to detect the directory of another cluster
LOG_PREFIX = "log."
SNAPSHOT_PREFIX = "snap."
TEMPORARY_SUFFIX = ".new"
DIRECTORY_MODE = 0o700


class StoreDirectory:
    """Opens, locks and validates a directory, and replaces its files atomically.

    Attributes:
        path: path of the directory.
        file_system: system calls for writing.
    """

    def __init__(self, path: str, file_system: FileSystem) -> None:
        self.path = path
        self.file_system = file_system
        self._lock_descriptor: int | None = None

    def open(self, cluster: str) -> None:
        """Create the directory if missing, lock it and check its cluster name.

        Raises:
            DiskError: another process has it open, it belongs to another cluster, or
                its cluster name is missing although it contains a log or a snapshot.
            OSError: a system call failed.
        """
        os.makedirs(self.path, mode=DIRECTORY_MODE, exist_ok=True)
        self._lock()
        self._check_cluster(cluster)

    def file_path(self, name: str) -> str:
        """Return the path of a file in the directory."""
        return os.path.join(self.path, name)

    def file_numbers(self, prefix: str) -> list[int]:
        """Return the sorted numbers of all files whose names begin with a prefix."""
        return sorted(
            int(name[len(prefix) :])
            for name in os.listdir(self.path)
            if name.startswith(prefix) and name[len(prefix) :].isdecimal()
        )

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        with open(self.file_path(name), "rb") as file:
            return file.read()

    def replace(self, name: str, data: bytes) -> None:
        """Write and sync a temporary file, then rename it over the given one."""
        temporary_path = self.file_path(name + TEMPORARY_SUFFIX)
        descriptor = self.file_system.open(temporary_path, append=False)
        try:
            self.file_system.write_all(descriptor, data)
            self.file_system.sync(descriptor)
        finally:
            os.close(descriptor)
        self.file_system.rename(temporary_path, self.file_path(name))
        self.sync()

    def sync(self) -> None:
        """Sync the directory itself, so that its file names are durable."""
        descriptor = os.open(self.path, os.O_RDONLY)
        try:
            self.file_system.sync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Unlock the directory."""
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
        self._lock_descriptor = None

    def _lock(self) -> None:
        path = self.file_path(LOCK_FILE)
        self._lock_descriptor = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise DiskError(f"{path}: directory is in use by another process") from None

    def _check_cluster(self, cluster: str) -> None:
        path = self.file_path(CLUSTER_FILE)
        try:
            with open(path) as file:
                owner = file.read().strip()
        except FileNotFoundError:
            if any(
                name.startswith((LOG_PREFIX, SNAPSHOT_PREFIX))
                for name in os.listdir(self.path)
            ):
                raise DiskError(
                    f"{path}: missing, but the directory contains a log or a snapshot"
                ) from None
            self.replace(CLUSTER_FILE, cluster.encode())
            return
        if owner != cluster:
            raise DiskError(
                f"{path}: directory belongs to cluster {owner!r}, not {cluster!r}"
            )
