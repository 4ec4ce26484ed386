"""Drains and starts of servers in the replicated table, as members' lists have them."""

from typing import Generic

from wheathill.peers.replicated_table import (
    MAX_CLOCK_SKEW_MS,
    MAX_SERVER_RECORDS,
    START_RETENTION_MS,
    ReplicatedTable,
)
from wheathill.peers.table_records import (
    SERVER_PREFIX,
    ServerState,
    SummaryT,
    TableRecord,
)


class ServerRecords(Generic[SummaryT]):
    """Writes what this member's endpoint list says of servers, and reads what all say.

    Times are milliseconds of the wall clock. The start of a server's process is None or
    0.0 where the list does not have it.
    """

    def __init__(self, table: ReplicatedTable[SummaryT]) -> None:
        self._table = table
        # Server -> version of the record that its "drains" in the own list agreed with.
        self._agreed: dict[str, tuple[float, int, str]] = {}

    def _held(self, server: str) -> TableRecord[SummaryT] | None:
        return self._table.records.get(SERVER_PREFIX + server)

    def update_from_list(
        self, wall_ms: float, server: str, is_draining: bool, started_ms: float | None
    ) -> TableRecord[SummaryT] | None:
        """Take in a server's entry of the own list, in the order of the list's changes.

        Returns the record that is to be sent to other members, or None.
        """
        start = started_ms or 0.0
        if is_draining:
            return self._on_listed_as_draining(wall_ms, server, start)
        return self._on_listed_as_ready(wall_ms, server, start)

    def _on_listed_as_draining(
        self, wall_ms: float, server: str, start: float
    ) -> TableRecord[SummaryT] | None:
        held = self._held(server)
        agreed = self._agreed.get(server)
        if held is None or held.epoch < start:
            is_new = True
        elif held.server_state.is_draining:
            is_new = False
        else:
            # A list that has had this drain before is behind the record of its end.
            is_new = held.epoch == start and agreed is None
        if is_new:
            record = self._write(wall_ms, server, start, is_draining=True)
            if record is not None:
                self._agree(server, record)
            return record
        if agreed is None and held is not None and held.server_state.is_draining:
            self._agree(server, held)
        return None

    def _on_listed_as_ready(
        self, wall_ms: float, server: str, start: float
    ) -> TableRecord[SummaryT] | None:
        """End the drain that the list had agreed with, or record a start.

        A drain that the list calls over is over for all only where the record is still
        the one that the list agreed with: one written since may be of another drain, of
        which the list does not know yet.
        """
        held = self._held(server)
        agreed = self._agreed.pop(server, None)
        if (
            agreed is not None
            and held is not None
            and held.server_state.is_draining
            and held.version == agreed
        ):
            return self._write(
                wall_ms, server, max(start, held.epoch), is_draining=False
            )
        is_recent = wall_ms - START_RETENTION_MS < start <= wall_ms + MAX_CLOCK_SKEW_MS
        if is_recent and (held is None or held.epoch < start):
            state = ServerState(False, start)
            return self._merge(
                wall_ms, TableRecord(SERVER_PREFIX + server, start, 0, "", state)
            )
        return None

    def _write(
        self, wall_ms: float, server: str, start: float, *, is_draining: bool
    ) -> TableRecord[SummaryT] | None:
        """Hold the next record of a server; None where the table does not take it."""
        held = self._held(server)
        counter = held.counter + 1 if held is not None and held.epoch == start else 1
        state = ServerState(is_draining, wall_ms)
        return self._merge(
            wall_ms, TableRecord(SERVER_PREFIX + server, start, counter, "", state)
        )

    def _merge(
        self, wall_ms: float, record: TableRecord[SummaryT]
    ) -> TableRecord[SummaryT] | None:
        return record if self._table.merge(wall_ms, [record]) else None

    def _agree(self, server: str, record: TableRecord[SummaryT]) -> None:
        self._agreed[server] = record.version
        while len(self._agreed) > MAX_SERVER_RECORDS:
            del self._agreed[next(iter(self._agreed))]

    def is_draining(self, server: str, started_ms: float | None) -> bool:
        """Whether the process that started then was reported to drain."""
        held = self._held(server)
        if held is None or not held.server_state.is_draining:
            return False
        return (started_ms or 0.0) <= held.epoch

    def latest_start_ms(self, server: str, started_ms: float | None) -> float:
        """Return the latest start of the server that any member has reported."""
        held = self._held(server)
        return max(started_ms or 0.0, held.epoch if held is not None else 0.0)
