"""Draining servers, as the own endpoint list and other proxies report them.

Free of I/O.

A proxy whose own list says that a server drains reports it to the others, with the
start of the server's process that it concerns and a counter of what it has reported of
that server. A server is draining here while any proxy says so. Only something newer
brings it back: a later start of the server's process; this proxy's own list, which has
called it draining and then ready; or the proxy that reported it, in the same process,
with a later counter. A report that arrives late, twice, or from a member that was
restarted is older than one of these and changes nothing.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Self

# Servers that are remembered, a bound on memory; those that were entered first are
# forgotten first.
MAX_SERVERS = 1024


@dataclass(frozen=True, slots=True)
class DrainRecord:
    """What one proxy reports of one server.

    `count` orders the reports of one process on one server. `process_start_ms` is the
    start of the server's process that the report concerns (wall clock, Unix), 0.0 where
    it is not known.
    """

    server: str
    count: int
    is_draining: bool
    process_start_ms: float

    def encode(self) -> list[Any]:
        """Return the record as it stands in a message."""
        return [self.server, self.count, self.is_draining, self.process_start_ms]

    @classmethod
    def decode(cls, fields: Sequence[Any]) -> Self:
        """Read a record of a message.

        Raises ValueError or TypeError where it is none.
        """
        server, count, is_draining, process_start_ms = fields
        return cls(server, count, bool(is_draining), float(process_start_ms))


@dataclass(slots=True)
class _ReportedDrain:
    """The newest report of one process on one server."""

    record: DrainRecord
    is_draining: bool
    # Whether the own list has called the server draining since the report came.
    is_confirmed_by_list: bool = False


class DrainRegistry:
    """Which servers drain, and on whose word."""

    def __init__(self) -> None:
        self._own: dict[str, DrainRecord] = {}
        # By server, then by the name and the generation of the process that reported
        # it.
        self._reported: dict[str, dict[tuple[str, int], _ReportedDrain]] = {}
        self._is_listed_draining: dict[str, bool] = {}

    def record_list_entry(
        self, server: str, is_draining: bool, process_start_ms: float | None
    ) -> DrainRecord | None:
        """Take in what the own list says now, in the list's order.

        Returns the record to send to the others, None where nothing changed.
        """
        was_draining = self._is_listed_draining.get(server, False)
        self._is_listed_draining[server] = is_draining
        if is_draining == was_draining:
            return None
        for reported in self._reported.get(server, {}).values():
            # The list has caught up with the proxy that reported the drain first; from
            # then on the list is the newer source. A report that came in between may be
            # of another drain, which the list doesn't know yet: it stays.
            reported.is_draining = reported.is_draining and (
                is_draining or not reported.is_confirmed_by_list
            )
            reported.is_confirmed_by_list = reported.is_confirmed_by_list or is_draining
        previous = self._own.get(server)
        count = 1 if previous is None else previous.count + 1
        record = self._own[server] = DrainRecord(
            server, count, is_draining, process_start_ms or 0.0
        )
        _forget_oldest(self._own)
        _forget_oldest(self._is_listed_draining)
        return record

    def own_records(self) -> list[DrainRecord]:
        """Return all that the other proxies have to know."""
        return list(self._own.values())

    def merge(
        self, source: str, generation: int, records: Iterable[DrainRecord]
    ) -> list[str]:
        """Take in what the process `generation` of the member `source` reports.

        Returns the servers whose state may have changed by it.
        """
        changed = []
        for record in records:
            known = self._reported.get(record.server, {}).get((source, generation))
            if known is not None and known.record.count >= record.count:
                continue
            reports = self._reported.setdefault(record.server, {})
            reports[source, generation] = _ReportedDrain(record, record.is_draining)
            changed.append(record.server)
        _forget_oldest(self._reported)
        return changed

    def is_draining(self, server: str, process_start_ms: float | None) -> bool:
        """Tell whether any proxy says that the server's process drains.

        `process_start_ms`: when the process started (wall clock); 0.0 or None where it
        is not known.
        """
        return any(
            reported.is_draining
            and (process_start_ms or 0.0) <= reported.record.process_start_ms
            for reported in self._reported.get(server, {}).values()
        )


def _forget_oldest(by_server: dict[str, Any]) -> None:
    while len(by_server) > MAX_SERVERS:
        del by_server[next(iter(by_server))]
