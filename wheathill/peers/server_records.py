"""Server drains and starts in the replicated table, written from endpoint lists."""

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
    """Writes server records from the own endpoint list, and reads those of all members.

    Times are Unix time in milliseconds. The start time of a server's process is None or
    0.0 if the list doesn't contain it.
    """

    def __init__(self, table: ReplicatedTable[SummaryT]) -> None:
        self._table = table
        # By server, the version of the drain record that the own list has confirmed.
        self._confirmed_versions: dict[str, tuple[float, int, str]] = {}

    def _current_record(self, server: str) -> TableRecord[SummaryT] | None:
        return self._table.records.get(SERVER_PREFIX + server)

    def update_from_list(
        self,
        wall_ms: float,
        server: str,
        is_draining: bool,
        process_start_ms: float | None,
    ) -> TableRecord[SummaryT] | None:
        """Apply an entry of the own list, in the order of the list's updates.

        Returns the record to send to other members, or None if nothing changed.
        """
        start_ms = process_start_ms or 0.0
        if is_draining:
            return self._on_listed_as_draining(wall_ms, server, start_ms)
        return self._on_listed_as_ready(wall_ms, server, start_ms)

    def _on_listed_as_draining(
        self, wall_ms: float, server: str, start_ms: float
    ) -> TableRecord[SummaryT] | None:
        current = self._current_record(server)
        confirmed_version = self._confirmed_versions.get(server)
        if current is None or current.epoch < start_ms:
            is_new = True
        elif current.server_state.is_draining:
            is_new = False
        else:
            # If the list had confirmed this drain before, it is behind the record that
            # ended it.
            is_new = current.epoch == start_ms and confirmed_version is None
        if is_new:
            record = self._write(wall_ms, server, start_ms, is_draining=True)
            if record is not None:
                self._set_confirmed_version(server, record)
            return record
        if (
            confirmed_version is None
            and current is not None
            and current.server_state.is_draining
        ):
            self._set_confirmed_version(server, current)
        return None

    def _on_listed_as_ready(
        self, wall_ms: float, server: str, start_ms: float
    ) -> TableRecord[SummaryT] | None:
        """End the drain that the list had confirmed, or record a process start.

        The list ends a drain for all members only if the record is still the one that
        the list confirmed: a record written since then may belong to a later drain that
        the list doesn't contain yet.
        """
        current = self._current_record(server)
        confirmed_version = self._confirmed_versions.pop(server, None)
        if (
            confirmed_version is not None
            and current is not None
            and current.server_state.is_draining
            and current.version == confirmed_version
        ):
            return self._write(
                wall_ms, server, max(start_ms, current.epoch), is_draining=False
            )
        is_recent = (
            wall_ms - START_RETENTION_MS < start_ms <= wall_ms + MAX_CLOCK_SKEW_MS
        )
        if is_recent and (current is None or current.epoch < start_ms):
            state = ServerState(False, start_ms)
            return self._merge(
                wall_ms, TableRecord(SERVER_PREFIX + server, start_ms, 0, "", state)
            )
        return None

    def _write(
        self, wall_ms: float, server: str, start_ms: float, *, is_draining: bool
    ) -> TableRecord[SummaryT] | None:
        """Write the next record of a server; None if the table rejects it."""
        current = self._current_record(server)
        counter = (
            current.counter + 1
            if current is not None and current.epoch == start_ms
            else 1
        )
        state = ServerState(is_draining, wall_ms)
        return self._merge(
            wall_ms, TableRecord(SERVER_PREFIX + server, start_ms, counter, "", state)
        )

    def _merge(
        self, wall_ms: float, record: TableRecord[SummaryT]
    ) -> TableRecord[SummaryT] | None:
        return record if self._table.merge(wall_ms, [record]) else None

    def _set_confirmed_version(
        self, server: str, record: TableRecord[SummaryT]
    ) -> None:
        self._confirmed_versions[server] = record.version
        while len(self._confirmed_versions) > MAX_SERVER_RECORDS:
            del self._confirmed_versions[next(iter(self._confirmed_versions))]

    def is_draining(self, server: str, process_start_ms: float | None) -> bool:
        """Return whether any member reports the process started then as draining."""
        current = self._current_record(server)
        if current is None or not current.server_state.is_draining:
            return False
        return (process_start_ms or 0.0) <= current.epoch

    def latest_start_ms(self, server: str, process_start_ms: float | None) -> float:
        """Return the latest start of the server that any member has reported."""
        current = self._current_record(server)
        return max(
            process_start_ms or 0.0, current.epoch if current is not None else 0.0
        )
