"""Gossip of new records of the replicated table (rumor mongering: Demers et al., 1987).

Each member forwards a record that is new to it once, to a few members of its zone.
Leaders also forward records to other zones if they were first received within their
own zone.
"""

import random
from collections.abc import Iterable

from wheathill.peers.environment import Clock
from wheathill.peers.membership import Member
from wheathill.peers.zones.effects import ZoneEffects
from wheathill.peers.zones.messages import TableUpdate
from wheathill.peers.zones.zone_table import ZoneTable, ZoneTableRecord

# Number of members to which a record is forwarded.
FANOUT = 3
# Time for which records are collected before they are sent.
BATCH_DELAY_MS = 20.0


class TableGossip:
    """Collects new records for a short time, and forwards them in batches.

    `name` is the name of this proxy.
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
        # By key; only the latest record of a key is sent.
        self._pending: dict[str, ZoneTableRecord] = {}
        # The pending records that were written or first received within the own zone.
        self._pending_for_other_zones: dict[str, ZoneTableRecord] = {}
        self._has_own_record = False

    def add(
        self, records: Iterable[ZoneTableRecord], *, is_from_own_zone: bool
    ) -> None:
        """Queue records that are new to this member for forwarding."""
        if not self._pending:
            self._clock.after(BATCH_DELAY_MS, self.flush)
        for record in records:
            self._pending[record.key] = record
            if is_from_own_zone:
                self._pending_for_other_zones[record.key] = record

    def add_own(self, record: ZoneTableRecord) -> None:
        """Queue a record that this proxy wrote, for the zone's leaders as well."""
        self.add([record], is_from_own_zone=True)
        self._has_own_record = True

    def flush(self) -> None:
        """Send the pending records."""
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
        records, self._pending_for_other_zones = self._pending_for_other_zones, {}
        return records

    def _choose_members(self, required: set[str]) -> list[Member]:
        """Return `FANOUT` random members, and those whose names are in `required`."""
        members = self._effects.other_members()
        chosen = self._random.sample(members, min(len(members), FANOUT))
        return chosen + [
            member
            for member in members
            if member.name in required and member not in chosen
        ]

    def _send(
        self, addresses: Iterable[str], records: dict[str, ZoneTableRecord]
    ) -> None:
        for batch in self._table.batches(records.values()):
            for address in addresses:
                self._effects.send_table_message(address, TableUpdate(batch))
