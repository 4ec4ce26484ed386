"""Drains and starts of servers, shared through the replicated table."""

from collections.abc import Callable

from wheathill.model import Phase
from wheathill.peers.environment import ServedProxy
from wheathill.peers.messages import DrainUpdate, Sender, StartUpdate
from wheathill.peers.server_records import ServerRecords
from wheathill.peers.server_updates import ServerEntry, ServerUpdates
from wheathill.peers.zones.zone_summary import ZoneSummary
from wheathill.peers.zones.zone_table import ZoneTableRecord


class ReplicatedServerUpdates(ServerUpdates):
    """Writes changes of the own endpoint list to the table, and reads others' changes.

    `wall_ms()` returns the current Unix time in milliseconds. `publish(record)` sends a
    record that this proxy wrote.
    """

    def __init__(
        self,
        proxy: ServedProxy,
        records: ServerRecords[ZoneSummary],
        wall_ms: Callable[[], float],
        publish: Callable[[ZoneTableRecord], None],
    ) -> None:
        super().__init__(proxy)
        self._records = records
        self._wall_ms = wall_ms
        self._publish = publish

    def handle(
        self, now_ms: float, sender: Sender, update: DrainUpdate | StartUpdate
    ) -> None:
        """Refuse the message: members of zones share updates through the table.

        Raises ValueError.
        """
        raise ValueError(
            "drains and starts are shared through the replicated table, not by messages"
        )

    def send_all_records(self, address: str) -> None:
        """Send nothing.

        Lost updates are recovered by anti-entropy: every message has a digest of the
        table in its header.
        """

    def _propagate_entry(self, server: str, entry: ServerEntry) -> None:
        record = self._records.update_from_list(
            self._wall_ms(),
            server,
            entry.phase is Phase.DRAINING,
            entry.process_start_ms,
        )
        if record is not None:
            self._publish(record)

    def _latest_start_ms(self, server: str, listed_start_ms: float) -> float:
        return self._records.latest_start_ms(server, listed_start_ms)

    def _is_draining(self, server: str, process_start_ms: float) -> bool:
        return self._records.is_draining(server, process_start_ms)
