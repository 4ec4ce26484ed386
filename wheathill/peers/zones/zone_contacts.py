"""Tracks contact with other zones, and schedules heartbeats to them. Free of I/O."""

import random

from wheathill.peers.zones.leaders import MAX_LEADERS
from wheathill.peers.zones.zone_directory import ZoneDirectory

# Number of zones to which a leader sends a heartbeat in each probe interval, in turn.
ZONES_PER_INTERVAL = 3
# Time without a message, in probe intervals, after which a zone is sent a heartbeat in
# every interval, and its addresses are tried in turn.
SILENT_INTERVALS = 7.0
# Time without a message after which a zone counts as unreachable, in probe intervals.
UNREACHABLE_INTERVALS = 15.0


class ZoneContacts:
    """A leader's contact with the other zones.

    Heartbeats are sent to the zones in rounds; `rng` shuffles the order of each round.

    Attributes:
        directory: the directory of all zones.
    """

    def __init__(
        self,
        directory: ZoneDirectory,
        probe_interval_ms: float,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self.directory = directory
        self._interval_ms = probe_interval_ms
        self._random = rng
        # By zone: when the last message from it was received, or when this proxy became
        # a leader.
        self._last_contact_ms = dict.fromkeys(directory.other_zones, now_ms)
        # The zones from which a message was received since this proxy became a leader.
        self._contacted_zones: set[str] = set()
        self._remaining_zones: list[str] = []
        self._address_attempts = 0

    def record_contact(self, now_ms: float, zone: str) -> None:
        """Record that a message from another zone was received."""
        self._last_contact_ms[zone] = now_ms
        self._contacted_zones.add(zone)

    def reset(self, now_ms: float) -> None:
        """Measure the silence of other zones from now on.

        Called while this proxy is not a leader, because other zones then send it hardly
        any messages.
        """
        self._last_contact_ms = dict.fromkeys(self.directory.other_zones, now_ms)
        self._contacted_zones = set()

    def unreachable_zones(self, now_ms: float) -> list[str]:
        """Return the zones from which no message was received for too long.

        A zone that the previous leader reported as unreachable remains unreachable
        until a message from it is received.
        """
        reported = self.directory.unreachable_zones()
        return [
            zone
            for zone in self.directory.other_zones
            if self._silence_ms(now_ms, zone)
            > UNREACHABLE_INTERVALS * self._interval_ms
            or (zone in reported and zone not in self._contacted_zones)
        ]

    def choose_address(self, now_ms: float, zone: str) -> str:
        """Return an address in another zone.

        If the zone is silent, its addresses are tried in turn, because its leaders may
        be gone.
        """
        addresses = self.directory.addresses(zone)
        silent_ms = SILENT_INTERVALS * self._interval_ms
        if (
            self.directory.summary(zone) is None
            or self._silence_ms(now_ms, zone) > silent_ms
        ):
            self._address_attempts += 1
            return addresses[self._address_attempts % len(addresses)]
        return self._random.choice(addresses[:MAX_LEADERS])

    def heartbeat_addresses(self, now_ms: float) -> list[str]:
        """Return the addresses to send heartbeats to now, one for each zone."""
        if not self._remaining_zones:
            self._remaining_zones = list(self.directory.other_zones)
            self._random.shuffle(self._remaining_zones)
        due = self._remaining_zones[:ZONES_PER_INTERVAL]
        self._remaining_zones = self._remaining_zones[ZONES_PER_INTERVAL:]
        silent = [
            zone for zone in self.directory.other_zones if self._is_silent(now_ms, zone)
        ]
        return [
            self.choose_address(now_ms, zone) for zone in dict.fromkeys([*due, *silent])
        ]

    def _is_silent(self, now_ms: float, zone: str) -> bool:
        """Return whether a zone is silent but not yet unreachable."""
        silent_ms = SILENT_INTERVALS * self._interval_ms
        unreachable_ms = UNREACHABLE_INTERVALS * self._interval_ms
        return silent_ms < self._silence_ms(now_ms, zone) <= unreachable_ms

    def _silence_ms(self, now_ms: float, zone: str) -> float:
        return now_ms - self._last_contact_ms[zone]
