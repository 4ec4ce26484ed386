"""Records of the replicated table, and their encoding in messages.

An encoded record is `[key, epoch, counter, writer, value]`. The table has a record for
each server that drains or has recently started, with the start time of the server's
process as the epoch, and a record for each zone, with epoch 0, written by the zone's
leaders. The value of a server is `[is_draining, written_ms]`; the value of a zone is
its summary, which is opaque to the table.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

SERVER_PREFIX, ZONE_PREFIX = "s/", "z/"
# Exclusive upper bound of epochs (Unix time, ms) and counters. Larger numbers in a
# message are errors of the sender.
VERSION_LIMIT = 2**48

SummaryT = TypeVar("SummaryT")


@dataclass(frozen=True, slots=True)
class ServerState:
    """The last reported state of a server.

    `written_ms` is the time of the report, in milliseconds of Unix time.
    """

    is_draining: bool
    written_ms: float


@dataclass(frozen=True, slots=True)
class TableRecord(Generic[SummaryT]):
    """The value of a key, with the version that orders it among all values of that key.

    Versions are Lamport timestamps within an epoch, with the writer's name as the tie
    breaker. Records derived from a server's entry in the endpoint list have no writer,
    so that all members that read the same list create identical records.
    """

    key: str
    epoch: float  # for a zone the integer 0, which messages and digests keep as such
    counter: int
    writer: str
    value: ServerState | SummaryT

    @property
    def version(self) -> tuple[float, int, str]:
        """The version; the greatest one wins, independent of the order of arrival."""
        return self.epoch, self.counter, self.writer

    @property
    def server(self) -> str | None:
        """The name of the server, or None for the record of a zone."""
        if not self.key.startswith(SERVER_PREFIX):
            return None
        return self.key[len(SERVER_PREFIX) :]

    @property
    def server_state(self) -> ServerState:
        """The value of a server's record."""
        assert isinstance(self.value, ServerState)
        return self.value

    def versioned_key(self) -> list[str | float | int]:
        """Return the key and the version, the input of the record's digest."""
        return [self.key, self.epoch, self.counter, self.writer]


def _decode_server_state(value: Any) -> ServerState:  # noqa: ANN401  # from a message
    is_draining, written_ms = value
    return ServerState(bool(is_draining), float(written_ms))


class RecordCodec(Generic[SummaryT]):
    """Encodes records for messages, and decodes and validates received records.

    `zones` are the names of all zones that may have a record. `decode_summary` raises
    ValueError or TypeError if the value of a zone's record is not a summary.
    """

    def __init__(
        self,
        zones: Iterable[str],
        decode_summary: Callable[[object], SummaryT],
        encode_summary: Callable[[SummaryT], object],
    ) -> None:
        self.zones = frozenset(zones)
        self._decode_summary = decode_summary
        self._encode_summary = encode_summary

    def encode(self, record: TableRecord[SummaryT]) -> list[object]:
        """Return the record as it is sent in a message."""
        value: object
        if isinstance(record.value, ServerState):
            value = [record.value.is_draining, record.value.written_ms]
        else:
            value = self._encode_summary(record.value)
        return [record.key, record.epoch, record.counter, record.writer, value]

    def encode_all(
        self, records: Iterable[TableRecord[SummaryT]]
    ) -> list[list[object]]:
        """Return the records as they are sent in a message, in the same order."""
        return [self.encode(record) for record in records]

    def decode(self, encoded: Iterable[object]) -> TableRecord[SummaryT]:
        """Return the record that was received in a message.

        Raises:
            ValueError: A field is invalid, or the layout does not contain the zone.
            TypeError: The number or the types of the fields are wrong.
        """
        key, epoch, counter, writer, value = encoded
        if not isinstance(key, str) or not isinstance(writer, str):
            raise ValueError("key or writer of a table record is not a string")
        if not isinstance(counter, int) or not 0 <= counter < VERSION_LIMIT:
            raise ValueError("counter of a table record is not a valid integer")
        if not isinstance(epoch, (int, float)) or not 0 <= epoch < VERSION_LIMIT:
            raise ValueError("epoch of a table record is not a valid number")
        if key.startswith(SERVER_PREFIX):
            state = _decode_server_state(value)
            return TableRecord(key, float(epoch), counter, writer, state)
        is_zone = key.startswith(ZONE_PREFIX) and key[len(ZONE_PREFIX) :] in self.zones
        if not is_zone or epoch:
            raise ValueError(
                "key of a table record names neither a server nor a zone of the "
                "layout, or the epoch of a zone's record is not 0"
            )
        return TableRecord(key, 0, counter, writer, self._decode_summary(value))

    def decode_all(
        self, encoded: Iterable[Iterable[object]]
    ) -> list[TableRecord[SummaryT]]:
        """Return the records that were received in a message.

        Raises the same exceptions as `decode`.
        """
        return [self.decode(fields) for fields in encoded]
