"""Draining servers, as reported by this proxy's endpoint list and by other proxies.

Performs no I/O.

A proxy whose own endpoint list says that a server is draining reports it to the other
proxies, with the start time of the affected server process and a sequence number that
counts its reports about that server. A server counts as draining while any proxy
reports it. Only newer information ends the drain: a later start of the server process;
this proxy's own list, after it has listed the server as draining and then as ready; or
a report with a higher sequence number from the same process of the reporting proxy. A
report that arrives late, twice, or from a restarted member is older than one of these
and has no effect.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Self

# Servers that are remembered; bounds memory. The oldest entries are evicted first.
MAX_SERVERS = 1024


@dataclass(frozen=True, slots=True)
class DrainRecord:
    """One proxy's report about one server.

    Attributes:
        server: name of the server.
        sequence: orders the reports of one proxy process about one server.
        is_draining: whether the server is draining.
        process_start_ms: start time of the server process that the report concerns
            (Unix time), 0.0 if unknown.
    """

    server: str
    sequence: int
    is_draining: bool
    process_start_ms: float

    def encode(self) -> list[Any]:
        """Return the record in the form used in messages."""
        return [self.server, self.sequence, self.is_draining, self.process_start_ms]

    @classmethod
    def decode(cls, fields: Sequence[Any]) -> Self:
        """Decode a record from a message.

        Raises:
            ValueError: The fields are not a record.
            TypeError: The fields are not a record.
        """
        server, sequence, is_draining, process_start_ms = fields
        return cls(server, sequence, bool(is_draining), float(process_start_ms))


@dataclass(slots=True)
class _ReportedDrain:
    """The newest report of one proxy process about one server."""

    record: DrainRecord
    is_draining: bool
    # Whether the own list has listed the server as draining since the report arrived.
    is_confirmed_by_list: bool = False


class DrainRegistry:
    """The servers that are draining, and the proxies that reported them."""

    def __init__(self) -> None:
        self._own: dict[str, DrainRecord] = {}
        # By server, then by name and generation of the reporting process.
        self._reported: dict[str, dict[tuple[str, int], _ReportedDrain]] = {}
        self._is_listed_draining: dict[str, bool] = {}

    def record_list_entry(
        self, server: str, is_draining: bool, process_start_ms: float | None
    ) -> DrainRecord | None:
        """Apply an entry of the own endpoint list, in the order of the list's updates.

        Returns the record to send to other proxies, or None if nothing changed.
        """
        was_draining = self._is_listed_draining.get(server, False)
        self._is_listed_draining[server] = is_draining
        if is_draining == was_draining:
            return None
        for reported in self._reported.get(server, {}).values():
            # Once the own list has listed a reported drain, the list is the newer
            # source for it. A report that the list has not confirmed may concern a
            # later drain that the list doesn't contain yet, so it is kept.
            reported.is_draining = reported.is_draining and (
                is_draining or not reported.is_confirmed_by_list
            )
            reported.is_confirmed_by_list = reported.is_confirmed_by_list or is_draining
        previous = self._own.get(server)
        sequence = 1 if previous is None else previous.sequence + 1
        record = self._own[server] = DrainRecord(
            server, sequence, is_draining, process_start_ms or 0.0
        )
        _evict_oldest(self._own)
        _evict_oldest(self._is_listed_draining)
        return record

    def own_records(self) -> list[DrainRecord]:
        """Return all records that other proxies need from this one."""
        return list(self._own.values())

    def merge(
        self, source: str, generation: int, records: Iterable[DrainRecord]
    ) -> list[str]:
        """Apply reports of the process `generation` of the member `source`.

        Returns the servers whose state may have changed.
        """
        changed = []
        for record in records:
            known = self._reported.get(record.server, {}).get((source, generation))
            if known is not None and known.record.sequence >= record.sequence:
                continue
            reports = self._reported.setdefault(record.server, {})
            reports[source, generation] = _ReportedDrain(record, record.is_draining)
            changed.append(record.server)
        _evict_oldest(self._reported)
        return changed

    def is_draining(self, server: str, process_start_ms: float | None) -> bool:
        """Return whether any other proxy reports the server process as draining.

        `process_start_ms` is the start time of the process (Unix time); 0.0 or None if
        unknown.
        """
        return any(
            reported.is_draining
            and (process_start_ms or 0.0) <= reported.record.process_start_ms
            for reported in self._reported.get(server, {}).values()
        )


def _evict_oldest(by_server: dict[str, Any]) -> None:
    while len(by_server) > MAX_SERVERS:
        del by_server[next(iter(by_server))]
