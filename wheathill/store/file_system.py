"""Calls of the operating system that the write-ahead log makes; tests replace them."""

import os

FILE_MODE = 0o600  # the store may hold configuration that is nobody else's business


class FileSystem:
    """Files by descriptor. All methods raise OSError."""

    def open(self, path: str, *, append: bool) -> int:
        """Open a file for writing, at its end or emptied."""
        position = os.O_APPEND if append else os.O_TRUNC
        return os.open(path, os.O_RDWR | os.O_CREAT | position, FILE_MODE)

    def write(self, descriptor: int, data: bytes) -> int:
        """Write as much as the system takes, and return how many bytes that were."""
        return os.write(descriptor, data)

    def write_all(self, descriptor: int, data: bytes) -> None:
        """Write all of the data."""
        while data:
            data = data[self.write(descriptor, data) :]

    def sync(self, descriptor: int) -> None:
        """Wait until what was written is durable."""
        os.fsync(descriptor)

    def rename(self, old_path: str, new_path: str) -> None:
        """Rename a file over another one."""
        os.replace(old_path, new_path)
