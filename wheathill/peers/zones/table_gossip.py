"""Gossip of records that are new here (rumour mongering: Demers et al., 1987).

Each member passes on once what is new to it, to a few members of its zone. Leaders pass
on to other zones what is first received within their own.
"""

import random
from collections.abc import Iterable

from wheathill.peers.environment import Clock
from wheathill.peers.membership import Member
from wheathill.peers.zones.effects import ZoneEffects
from wheathill.peers.zones.messages import TableUpdate
from wheathill.peers.zones.zone_table import ZoneTable, ZoneTableRecord

# Members that a record is passed on to.
FANOUT = 3
# Milliseconds that records are gathered before they are sent.
BATCH_DELAY_MS = 20.0


class TableGossip:
    """Gathers records that are new, and passes them on a moment later.

    `name` is this proxy's.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        rng: random.Random,
        table: ZoneTable,
        effects: ZoneEffects,
    ) -> None:
        self._name = name
        self._clock = clock
        self._random = rng
        self._table = table
        self._effects = effects
        # By key; the latest record of each is sent.
        self._pending: dict[str, ZoneTableRecord] = {}
        # Those of them that were first received, or written, within the own zone.
        self._pending_for_other_zones: dict[str, ZoneTableRecord] = {}
        self._has_own_record = False

    def add(
        self, records: Iterable[ZoneTableRecord], *, is_from_own_zone: bool
    ) -> None:
        """Pass on records that are new here."""
        if not self._pending:
            self._clock.after(BATCH_DELAY_MS, self.flush)
        for record in records:
            self._pending[record.key] = record
            if is_from_own_zone:
                self._pending_for_other_zones[record.key] = record

    def add_own(self, record: ZoneTableRecord) -> None:
        """Pass on a record that this proxy wrote, to the zone's leaders as well."""
        self.add([record], is_from_own_zone=True)
        self._has_own_record = True

    def flush(self) -> None:
        """Send what has been gathered."""
        pending, self._pending = self._pending, {}
        for_other_zones = self._take_pending_for_other_zones()
        has_own_record, self._has_own_record = self._has_own_record, False
        leader_names = {leader.name for leader in self._effects.zone_leaders()}
        recipients = self._choose_members(leader_names if has_own_record else set())
        self._send([member.address for member in recipients], pending)
        if self._name in leader_names:
            addresses = self._effects.other_zone_addresses(self._clock.now())
            self._send(addresses, for_other_zones)

    def _take_pending_for_other_zones(self) -> dict[str, ZoneTableRecord]:
        taken, self._pending_for_other_zones = self._pending_for_other_zones, {}
        return taken

    def _choose_members(self, always: set[str]) -> list[Member]:
        """Return some members at random, and those whose names are in `always`."""
        members = self._effects.other_members()
        chosen = self._random.sample(members, min(len(members), FANOUT))
        return chosen + [
            member
            for member in members
            if member.name in always and member not in chosen
        ]

    def _send(
        self, addresses: Iterable[str], records: dict[str, ZoneTableRecord]
    ) -> None:
        for batch in self._table.batches(records.values()):
            for address in addresses:
                self._effects.send_table_message(address, TableUpdate(batch))
