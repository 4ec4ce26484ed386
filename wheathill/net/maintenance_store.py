"""Persists which servers are in maintenance across restarts of the process."""

import os
from collections.abc import Mapping

import orjson

from wheathill.config.node import NodeConfig

FORMAT_VERSION = 1
# Upper bound for one entry of the file; limits how much of the file is read.
MAX_ENTRY_BYTES = 512


class MaintenanceStore:
    """Stores the servers in maintenance and since when (Unix time in ms).

    The file is replaced atomically before an operator's request is answered.

    Attributes:
        path: the path of the file.
    """

    def __init__(self, path: str) -> None:
        self.path = path

    def save(self, since_by_name: Mapping[str, float]) -> None:
        """Replace the stored servers.

        Raises:
            OSError: The file can't be written; its previous content is kept.
        """
        # During an upgrade two processes may write at the same time, so the temporary
        # file's name contains the process id.
        temporary_path = f"{self.path}.{os.getpid()}"
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC
        descriptor = os.open(temporary_path, flags, 0o600)
        try:
            with open(descriptor, "wb") as file:
                file.write(
                    orjson.dumps({"version": FORMAT_VERSION, "out": since_by_name})
                )
                file.flush()
                os.fsync(descriptor)
            os.rename(temporary_path, self.path)
        except OSError:
            os.unlink(temporary_path)
            raise

    def load(self, max_names: int) -> dict[str, float]:
        """Return the stored servers; empty if there is no file.

        Raises:
            OSError: The file can't be read.
            ValueError: The file is malformed, belongs to another user, or has more
                entries than `max_names`.
        """
        try:
            descriptor = os.open(self.path, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC)
        except FileNotFoundError:
            return {}
        with open(descriptor, "rb") as file:
            if os.fstat(descriptor).st_uid != os.geteuid():
                raise ValueError("the file belongs to another user")
            content = orjson.loads(file.read(max_names * MAX_ENTRY_BYTES))
        if (
            not isinstance(content, dict)
            or content.get("version") != FORMAT_VERSION
            or not isinstance(content.get("out"), dict)
            or not all(
                isinstance(since, (int, float)) for since in content["out"].values()
            )
        ):
            raise ValueError("the file has an unsupported format or version")
        return content["out"]


def maintenance_store_of(node: NodeConfig) -> MaintenanceStore | None:
    """Return the store of this proxy; None without a configured state directory."""
    if not node.state_directory:
        return None
    name = f"wheathill-{node.file_tag}.out"
    return MaintenanceStore(os.path.join(node.state_directory, name))
