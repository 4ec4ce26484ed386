"""When other zones were last heard from, and whom to send heartbeats. Free of I/O."""

import random

from wheathill.peers.zones.leaders import MAX_LEADERS
from wheathill.peers.zones.zone_directory import ZoneDirectory

# Zones that a leader sends a heartbeat each probe interval, in turn.
ZONES_PER_INTERVAL = 3
# Probe intervals without a message: after these a zone is sent a heartbeat in each
# interval, and each of its addresses is tried in turn.
SILENT_INTERVALS = 7.0
# Probe intervals without a message, after which a zone is unreachable.
UNREACHABLE_INTERVALS = 15.0


class ZoneContacts:
    """What a leader knows of contact with other zones.

    Heartbeats go round the zones in an order that `rng` draws anew for each round.
    `directory` is of all zones.
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
        # By zone: when a message of it last arrived here, or since when this proxy is a
        # leader.
        self._last_contact_ms = dict.fromkeys(directory.other_zones, now_ms)
        # The zones from which one has arrived since then.
        self._contacted: set[str] = set()
        self._remaining: list[str] = []
        self._addresses_tried = 0

    def record_contact(self, now_ms: float, zone: str) -> None:
        """Note that a message of another zone has arrived."""
        self._last_contact_ms[zone] = now_ms
        self._contacted.add(zone)

    def reset(self, now_ms: float) -> None:
        """Count the silence of other zones from now on.

        A proxy that is no leader gets hardly any messages from other zones.
        """
        self._last_contact_ms = dict.fromkeys(self.directory.other_zones, now_ms)
        self._contacted = set()

    def unreachable_zones(self, now_ms: float) -> list[str]:
        """Return the zones that are silent.

        One that the leader before this one found unreachable is so until a message of
        it arrives.
        """
        before = self.directory.unreachable_zones()
        return [
            zone
            for zone in self.directory.other_zones
            if self._silence_ms(now_ms, zone)
            > UNREACHABLE_INTERVALS * self._interval_ms
            or (zone in before and zone not in self._contacted)
        ]

    def choose_address(self, now_ms: float, zone: str) -> str:
        """Return an address in another zone.

        Where nothing arrives from there each is tried in turn: its leaders may be gone.
        """
        addresses = self.directory.addresses(zone)
        silent_ms = SILENT_INTERVALS * self._interval_ms
        if (
            self.directory.summary(zone) is None
            or self._silence_ms(now_ms, zone) > silent_ms
        ):
            self._addresses_tried += 1
            return addresses[self._addresses_tried % len(addresses)]
        return self._random.choice(addresses[:MAX_LEADERS])

    def heartbeat_addresses(self, now_ms: float) -> list[str]:
        """Return where to send heartbeats now, one address a zone."""
        if not self._remaining:
            self._remaining = list(self.directory.other_zones)
            self._random.shuffle(self._remaining)
        due = self._remaining[:ZONES_PER_INTERVAL]
        self._remaining = self._remaining[ZONES_PER_INTERVAL:]
        late = [
            zone for zone in self.directory.other_zones if self._is_late(now_ms, zone)
        ]
        return [
            self.choose_address(now_ms, zone) for zone in dict.fromkeys([*due, *late])
        ]

    def _is_late(self, now_ms: float, zone: str) -> bool:
        """Tell whether a zone is silent, and not yet unreachable."""
        silent_ms = SILENT_INTERVALS * self._interval_ms
        unreachable_ms = UNREACHABLE_INTERVALS * self._interval_ms
        return silent_ms < self._silence_ms(now_ms, zone) <= unreachable_ms

    def _silence_ms(self, now_ms: float, zone: str) -> float:
        return now_ms - self._last_contact_ms[zone]
