"""Writes the summary of the own zone, as the zone's first leader does."""

from wheathill.peers.replicated_table import ReplicatedTable
from wheathill.peers.zones.zone_summary import ZoneSummary
from wheathill.peers.zones.zone_table import ZoneTableRecord

# Probe intervals between two summaries; and the most, for a writer that is overwritten.
MIN_WRITE_INTERVALS, MAX_WRITE_INTERVALS = 4, 64
# Probe intervals past the next time to write, after which a writer that was not
# overwritten is taken for the only one.
UNDISTURBED_INTERVALS = 30


class SummaryWriter:
    """Writes the zone's summary where it has changed, but not too often.

    Views that differ make two first leaders for a moment. Each that is overwritten
    doubles its wait, so that they don't overwrite each other for long.

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
        self._wait_ms = MIN_WRITE_INTERVALS * probe_interval_ms
        self._next_write_ms = now_ms
        # The version of the summary that this proxy wrote last.
        self._written_version: tuple[float, int, str] | None = None

    def write(self, now_ms: float, summary: ZoneSummary) -> ZoneTableRecord | None:
        """Return the record of a new summary, which is to be sent.

        Returns None where the one that is held says the same, or where it is too early.
        """
        held = self._table.summary(self._zone)
        if held is not None and held.value == summary:
            self._on_unchanged(now_ms, held)
            return None
        if now_ms < self._next_write_ms:
            return None
        if (
            self._written_version is not None
            and held is not None
            and held.version != self._written_version
        ):
            self._wait_ms = min(
                MAX_WRITE_INTERVALS * self._interval_ms, 2 * self._wait_ms
            )
        record = self._table.write_summary(self._zone, self._writer, summary)
        self._written_version = record.version
        self._next_write_ms = now_ms + self._wait_ms
        return record

    def _on_unchanged(self, now_ms: float, held: ZoneTableRecord) -> None:
        undisturbed_ms = UNDISTURBED_INTERVALS * self._interval_ms
        if (
            held.version == self._written_version
            and now_ms - self._next_write_ms > undisturbed_ms
        ):
            self._wait_ms = MIN_WRITE_INTERVALS * self._interval_ms
