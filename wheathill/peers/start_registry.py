"""The latest known start time of each server's process. Performs no I/O.

Start times come from the wall clock of the source of the endpoint list. The latest one
known to any proxy applies, so an update that arrives late or twice has no effect.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Self

# Servers that are remembered; bounds memory. The oldest entries are evicted first.
MAX_SERVERS = 4096
# A start time further in the future is attributed to a faulty clock and ignored.
MAX_FUTURE_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class StartRecord:
    """Start time of a server's process, in milliseconds of Unix time."""

    server: str
    process_start_ms: float

    def encode(self) -> list[Any]:
        """Return the record in the form used in messages."""
        return [self.server, self.process_start_ms]

    @classmethod
    def decode(cls, fields: Sequence[Any]) -> Self:
        """Decode a record from a message.

        Raises:
            ValueError: The fields are not a record.
            TypeError: The fields are not a record.
        """
        server, process_start_ms = fields
        return cls(server, process_start_ms)


class StartRegistry:
    """The latest start time of each server that is known to any proxy."""

    def __init__(self) -> None:
        self._latest_ms: dict[str, float] = {}

    def merge(self, wall_ms: float, records: Iterable[StartRecord]) -> list[str]:
        """Apply start records; `wall_ms` is the present Unix time.

        Returns the servers whose latest start has changed.
        """
        changed = []
        for record in records:
            latest_ms = self._latest_ms.get(record.server, 0.0)
            if latest_ms < record.process_start_ms <= wall_ms + MAX_FUTURE_MS:
                self._latest_ms[record.server] = float(record.process_start_ms)
                changed.append(record.server)
        while len(self._latest_ms) > MAX_SERVERS:
            del self._latest_ms[next(iter(self._latest_ms))]
        return changed

    def records(self) -> list[StartRecord]:
        """Return all records that other proxies need from this one."""
        return [
            StartRecord(server, start_ms)
            for server, start_ms in self._latest_ms.items()
        ]

    def latest_ms(self, server: str, listed_start_ms: float | None) -> float:
        """Return the latest start time of a server, 0.0 if unknown.

        `listed_start_ms` is the start time in the own endpoint list.
        """
        return max(listed_start_ms or 0.0, self._latest_ms.get(server, 0.0))
