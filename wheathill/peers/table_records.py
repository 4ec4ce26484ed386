"""Records of the replicated table, and their form in messages.

A record is `[key, epoch, counter, writer, value]` in a message. There is one for each
server that drains or has just started, whose epoch is the start of its process, and one
for each zone, with epoch 0, which the zone's leaders write. A server's value is
`[is_draining, written_ms]`; a zone's is its summary, of which the table knows nothing.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

SERVER_PREFIX, ZONE_PREFIX = "s/", "z/"
# Epochs (wall clock, ms) and counters are below it: whatever is past it was not meant.
VERSION_LIMIT = 2**48

SummaryT = TypeVar("SummaryT")


@dataclass(frozen=True, slots=True)
class ServerState:
    """What was last reported of a server.

    `written_ms` is when, in milliseconds of the wall clock.
    """

    is_draining: bool
    written_ms: float


@dataclass(frozen=True, slots=True)
class TableRecord(Generic[SummaryT]):
    """One key's value with the version that orders it among all values of that key.

    Versions are Lamport timestamps within an epoch, with the writer's name to break
    ties. What is derived from a server's entry in the endpoint list has no writer, so
    that all members which read the same list make the same record.
    """

    key: str
    epoch: float  # 0 of a zone, which stays an integer in messages and digests
    counter: int
    writer: str
    value: ServerState | SummaryT

    @property
    def version(self) -> tuple[float, int, str]:
        """The record with the greatest version wins, whatever the order of arrival."""
        return self.epoch, self.counter, self.writer

    @property
    def server(self) -> str | None:
        """The server's name, or None where this is a zone's record."""
        if not self.key.startswith(SERVER_PREFIX):
            return None
        return self.key[len(SERVER_PREFIX) :]

    @property
    def server_state(self) -> ServerState:
        """The value of a server's record."""
        assert isinstance(self.value, ServerState)
        return self.value

    def versioned_key(self) -> list[str | float | int]:
        """Return the part of the record that its digest is made over."""
        return [self.key, self.epoch, self.counter, self.writer]


def _decode_server_state(value: Any) -> ServerState:  # noqa: ANN401  # from a message
    is_draining, written_ms = value
    return ServerState(bool(is_draining), float(written_ms))


class RecordCodec(Generic[SummaryT]):
    """Turns records into lists for messages, and checks those that come in messages.

    `zones` are the names of all zones of which there may be a record. `decode_summary`
    raises ValueError or TypeError where a zone's value is no summary.
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
        """Return the record as it is sent."""
        value: object
        if isinstance(record.value, ServerState):
            value = [record.value.is_draining, record.value.written_ms]
        else:
            value = self._encode_summary(record.value)
        return [record.key, record.epoch, record.counter, record.writer, value]

    def encode_all(
        self, records: Iterable[TableRecord[SummaryT]]
    ) -> list[list[object]]:
        """Return the records as they are sent, in the same order."""
        return [self.encode(record) for record in records]

    def decode(self, encoded: Iterable[object]) -> TableRecord[SummaryT]:
        """Return the record that a message holds.

        Raises:
            ValueError: It is none, or of a zone that the layout does not name.
            TypeError: It has another number of fields, or fields of other types.
        """
        key, epoch, counter, writer, value = encoded
        if not isinstance(key, str) or not isinstance(writer, str):
            raise ValueError("no record")
        if not isinstance(counter, int) or not 0 <= counter < VERSION_LIMIT:
            raise ValueError("no record")
        if not isinstance(epoch, (int, float)) or not 0 <= epoch < VERSION_LIMIT:
            raise ValueError("no record")
        if key.startswith(SERVER_PREFIX):
            state = _decode_server_state(value)
            return TableRecord(key, float(epoch), counter, writer, state)
        is_zone = key.startswith(ZONE_PREFIX) and key[len(ZONE_PREFIX) :] in self.zones
        if not is_zone or epoch:
            raise ValueError("a record of nothing")
        return TableRecord(key, 0, counter, writer, self._decode_summary(value))

    def decode_all(
        self, encoded: Iterable[Iterable[object]]
    ) -> list[TableRecord[SummaryT]]:
        """Return the records that a message holds. Raises as `decode`."""
        return [self.decode(each) for each in encoded]
