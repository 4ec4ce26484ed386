"""Writes the summary of the own zone, with a rate limit and a backoff."""

from wheathill.peers.replicated_table import ReplicatedTable
from wheathill.peers.zones.zone_summary import ZoneSummary
from wheathill.peers.zones.zone_table import ZoneTableRecord

# Minimum time between two summaries of a writer, in probe intervals, and the maximum to
# which it doubles when the writer's summaries are overwritten.
MIN_WRITE_INTERVALS, MAX_WRITE_INTERVALS = 4, 64
# Time without being overwritten after which a writer counts as the only one, in probe
# intervals from the moment when it may write again.
BACKOFF_RESET_INTERVALS = 30


class SummaryWriter:
    """Writes the zone's summary when it has changed, at a limited rate.

    While views differ, two members may each act as the first leader. A writer whose
    summary was overwritten doubles the time until its next one, so that the two don't
    keep overwriting each other.

    `writer` is a name that no other process has.
    """

    def __init__(
        self,
        zone: str,
        writer: str,
        table: ReplicatedTable[ZoneSummary],
        probe_interval_ms: float,
        now_ms: float,
    ) -> None:
        self._zone = zone
        self._writer = writer
        self._table = table
        self._interval_ms = probe_interval_ms
        self._backoff_ms = MIN_WRITE_INTERVALS * probe_interval_ms
        self._next_write_ms = now_ms
        # Version of the last summary that this proxy wrote.
        self._written_version: tuple[float, int, str] | None = None

    def write(self, now_ms: float, summary: ZoneSummary) -> ZoneTableRecord | None:
        """Store a new summary in the table, and return its record for sending.

        Returns None if the summary is unchanged, or if it is too early to write again.
        """
        current = self._table.summary(self._zone)
        if current is not None and current.value == summary:
            self._on_unchanged(now_ms, current)
            return None
        if now_ms < self._next_write_ms:
            return None
        if (
            self._written_version is not None
            and current is not None
            and current.version != self._written_version
        ):
            self._backoff_ms = min(
                MAX_WRITE_INTERVALS * self._interval_ms, 2 * self._backoff_ms
            )
        record = self._table.write_summary(self._zone, self._writer, summary)
        self._written_version = record.version
        self._next_write_ms = now_ms + self._backoff_ms
        return record

    def _on_unchanged(self, now_ms: float, current: ZoneTableRecord) -> None:
        reset_after_ms = BACKOFF_RESET_INTERVALS * self._interval_ms
        if (
            current.version == self._written_version
            and now_ms - self._next_write_ms > reset_after_ms
        ):
            self._backoff_ms = MIN_WRITE_INTERVALS * self._interval_ms
