"""Effects that the components of a zoned peer service call for."""

from typing import Protocol

from wheathill.peers.membership import Member
from wheathill.peers.zones.messages import TableMessage
from wheathill.peers.zones.zone_table import ZoneTableRecord


class ZoneEffects(Protocol):
    """Carries out the decisions of the components, and provides their recipients."""

    def send_table_message(self, address: str, message: TableMessage) -> None:
        """Send a message to one proxy, without a guarantee of delivery."""

    def other_members(self) -> list[Member]:
        """Return the other active members of the own zone."""

    def zone_leaders(self) -> list[Member]:
        """Return the leaders of the own zone according to this proxy's view."""

    def other_zone_addresses(self, now_ms: float) -> list[str]:
        """Return one address in each other zone, in the order of the layout."""

    def merge_records(
        self, now_ms: float, records: list[ZoneTableRecord], zone: str
    ) -> None:
        """Merge records received from a member of `zone` into the replica."""
