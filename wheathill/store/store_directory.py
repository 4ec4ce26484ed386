"""The directory of one replica: a lock, the cluster's name, and numbered files."""

import fcntl
import os

from wheathill.store.errors import DiskError
from wheathill.store.file_system import FILE_MODE, FileSystem

LOCK_FILE = "lock"  # locked by the process that has the directory open
CLUSTER_FILE = (
    "cluster"  # the cluster's name, so that a directory of another one is recognized
)
LOG_PREFIX = "log."
SNAPSHOT_PREFIX = "snap."
TEMPORARY_SUFFIX = ".new"
DIRECTORY_MODE = 0o700


class StoreDirectory:
    """Opens, locks and checks a directory, and replaces its files atomically.

    Attributes:
        path: path of the directory.
        file_system: calls of the operating system.
    """

    def __init__(self, path: str, file_system: FileSystem) -> None:
        self.path = path
        self.file_system = file_system
        self._lock_descriptor: int | None = None

    def open(self, cluster: str) -> None:
        """Create the directory if needed, lock it and check whose it is.

        Raises:
            DiskError: another process has it open, or it belongs to another cluster.
            OSError: the system refuses.
        """
        os.makedirs(self.path, mode=DIRECTORY_MODE, exist_ok=True)
        self._lock()
        self._check_cluster(cluster)

    def file_path(self, name: str) -> str:
        """Return the path of a file in the directory."""
        return os.path.join(self.path, name)

    def numbers(self, prefix: str) -> list[int]:
        """Return the sorted numbers of the files with that prefix."""
        return sorted(
            int(name[len(prefix) :])
            for name in os.listdir(self.path)
            if name.startswith(prefix) and name[len(prefix) :].isdecimal()
        )

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        with open(self.file_path(name), "rb") as source:
            return source.read()

    def replace(self, name: str, data: bytes) -> None:
        """Write a file beside, make it durable, and rename it into place."""
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
        """Make the names of the files durable."""
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
            raise DiskError(
                f"{path}: another process has this directory open"
            ) from None

    def _check_cluster(self, cluster: str) -> None:
        path = self.file_path(CLUSTER_FILE)
        try:
            with open(path) as source:
                found = source.read().strip()
        except FileNotFoundError:
            if any(
                name.startswith((LOG_PREFIX, SNAPSHOT_PREFIX))
                for name in os.listdir(self.path)
            ):
                raise DiskError(f"{path}: is missing beside a log") from None
            self.replace(CLUSTER_FILE, cluster.encode())
            return
        if found != cluster:
            raise DiskError(f"{path}: a directory of {found!r}, not of {cluster!r}")
