"""The latest known start of each server's process. Free of I/O.

Starts are given by the wall clock of whoever keeps the endpoint list. The latest that
any proxy was given counts, so that an update that arrives late or twice changes
nothing.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Self

# Servers that are remembered, a bound on memory; those that were entered first are
# forgotten first.
MAX_SERVERS = 4096
# Milliseconds; what lies further in the future is taken for a faulty clock, not for a
# start.
MAX_FUTURE_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class StartRecord:
    """When a server's process started, in milliseconds of Unix time."""

    server: str
    process_start_ms: float

    def encode(self) -> list[Any]:
        """Return the record as it stands in a message."""
        return [self.server, self.process_start_ms]

    @classmethod
    def decode(cls, fields: Sequence[Any]) -> Self:
        """Read a record of a message.

        Raises ValueError or TypeError where it is none.
        """
        server, process_start_ms = fields
        return cls(server, process_start_ms)


class StartRegistry:
    """The latest start of each server that any proxy was given."""

    def __init__(self) -> None:
        self._latest_ms: dict[str, float] = {}

    def merge(self, wall_ms: float, records: Iterable[StartRecord]) -> list[str]:
        """Take in starts, `wall_ms` being the present time (Unix).

        Returns the servers of which it is new.
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
        """Return all that the other proxies have to know."""
        return [
            StartRecord(server, start_ms)
            for server, start_ms in self._latest_ms.items()
        ]

    def latest_ms(self, server: str, listed_start_ms: float | None) -> float:
        """Return the latest start, where the own list says `listed_start_ms`.

        0.0 where none is known.
        """
        return max(listed_start_ms or 0.0, self._latest_ms.get(server, 0.0))
