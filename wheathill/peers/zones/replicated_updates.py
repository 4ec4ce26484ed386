"""Drains and starts of servers, shared by way of the replicated table."""

from collections.abc import Callable

from wheathill.model import Phase
from wheathill.peers.environment import ServedProxy
from wheathill.peers.messages import DrainUpdate, Sender, StartUpdate
from wheathill.peers.server_records import ServerRecords
from wheathill.peers.server_updates import ServerEntry, ServerUpdates
from wheathill.peers.zones.zone_summary import ZoneSummary
from wheathill.peers.zones.zone_table import ZoneTableRecord


class ReplicatedServerUpdates(ServerUpdates):
    """Writes to the table what is new in the own list, and reads what others wrote.

    `wall_ms()` returns the present time (Unix). `pass_on(record)` sends a record that
    this proxy wrote.
    """

    def __init__(
        self,
        proxy: ServedProxy,
        records: ServerRecords[ZoneSummary],
        wall_ms: Callable[[], float],
        pass_on: Callable[[ZoneTableRecord], None],
    ) -> None:
        super().__init__(proxy)
        self._records = records
        self._wall_ms = wall_ms
        self._pass_on = pass_on

    def handle(
        self, now_ms: float, sender: Sender, update: DrainUpdate | StartUpdate
    ) -> None:
        """Refuse a message, as members use the table instead.

        Raises ValueError.
        """
        raise ValueError("drains and starts go over the replicated table")

    def send_all_records(self, address: str) -> None:
        """Send nothing: each message lets the receiver compare the tables."""

    def _propagate_entry(self, server: str, entry: ServerEntry) -> None:
        record = self._records.update_from_list(
            self._wall_ms(),
            server,
            entry.phase is Phase.DRAINING,
            entry.process_start_ms,
        )
        if record is not None:
            self._pass_on(record)

    def _latest_start_ms(self, server: str, listed_start_ms: float) -> float:
        return self._records.latest_start_ms(server, listed_start_ms)

    def _is_draining(self, server: str, process_start_ms: float) -> bool:
        return self._records.is_draining(server, process_start_ms)
