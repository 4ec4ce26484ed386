"""What the parts of a zoned peer service ask of it."""

from typing import Protocol

from wheathill.peers.membership import Member
from wheathill.peers.zones.messages import TableMessage
from wheathill.peers.zones.zone_table import ZoneTableRecord


class ZoneEffects(Protocol):
    """Carries out what the parts decide, and says who there is to send to."""

    def send_table_message(self, address: str, message: TableMessage) -> None:
        """Send a message to one proxy; it may be lost."""

    def other_members(self) -> list[Member]:
        """Return the other members of the own zone that count as present."""

    def zone_leaders(self) -> list[Member]:
        """Return the leaders of the own zone, by this proxy's view."""

    def other_zone_addresses(self, now_ms: float) -> list[str]:
        """Return an address in each other zone, in the order of the layout."""

    def merge_records(
        self, now_ms: float, records: list[ZoneTableRecord], zone: str
    ) -> None:
        """Take in records that came from a member of `zone`."""
