"""System calls of the write-ahead log, which tests can replace."""

import os

FILE_MODE = 0o600  # the store may contain confidential configuration


class FileSystem:
    """File operations on descriptors; all methods raise OSError on failure."""

    def open(self, path: str, *, append: bool) -> int:
        """Open a file, creating it if missing, in append mode or truncated."""
        mode_flag = os.O_APPEND if append else os.O_TRUNC
        return os.open(path, os.O_RDWR | os.O_CREAT | mode_flag, FILE_MODE)

    def write(self, descriptor: int, data: bytes) -> int:
        """Write data, possibly only in part, and return the number of bytes written."""
        return os.write(descriptor, data)

    def write_all(self, descriptor: int, data: bytes) -> None:
        """Write all data, repeating partial writes."""
        while data:
            data = data[self.write(descriptor, data) :]

    def sync(self, descriptor: int) -> None:
        """Flush written data to stable storage."""
        os.fsync(descriptor)

    def rename(self, old_path: str, new_path: str) -> None:
        """Rename a file, replacing `new_path` atomically."""
        os.replace(old_path, new_path)
