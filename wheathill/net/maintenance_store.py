"""The file of servers in maintenance, which outlives the process."""

import os
from collections.abc import Mapping

import orjson

from wheathill.config.node import NodeConfig

FORMAT_VERSION = 1
# More than one entry of the file takes, by which the size that is read is bounded.
MAX_ENTRY_BYTES = 512


class MaintenanceStore:
    """Keeps which servers are in maintenance, and since when (Unix time in ms).

    The file is written whole before an operator is answered.
    """

    def __init__(self, path: str) -> None:
        self.path = path

    def save(self, since_by_name: Mapping[str, float]) -> None:
        """Replace what is kept.

        Raises:
            OSError: It can't be written; the file is then as it was.
        """
        # At an upgrade two processes write.
        new_path = f"{self.path}.{os.getpid()}"
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC
        descriptor = os.open(new_path, flags, 0o600)
        try:
            with open(descriptor, "wb") as file:
                file.write(
                    orjson.dumps({"version": FORMAT_VERSION, "out": since_by_name})
                )
                file.flush()
                os.fsync(descriptor)
            os.rename(new_path, self.path)
        except OSError:
            os.unlink(new_path)
            raise

    def load(self, max_names: int) -> dict[str, float]:
        """Return what is kept, nothing where there is no file.

        Raises:
            OSError: The file can't be read.
            ValueError: It is no such file, another user's, or has more than
                `max_names`.
        """
        try:
            descriptor = os.open(self.path, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC)
        except FileNotFoundError:
            return {}
        with open(descriptor, "rb") as file:
            if os.fstat(descriptor).st_uid != os.geteuid():
                raise ValueError("the file is another user's")
            content = orjson.loads(file.read(max_names * MAX_ENTRY_BYTES))
        if (
            not isinstance(content, dict)
            or content.get("version") != FORMAT_VERSION
            or not isinstance(content.get("out"), dict)
            or not all(
                isinstance(since, (int, float)) for since in content["out"].values()
            )
        ):
            raise ValueError("not a file of this version")
        return content["out"]


def maintenance_store_of(node: NodeConfig) -> MaintenanceStore | None:
    """Return the store of that proxy; None where no directory outlives the process."""
    if not node.state_directory:
        return None
    name = f"wheathill-{node.file_tag}.out"
    return MaintenanceStore(os.path.join(node.state_directory, name))
