"""One proxy of a fleet of zones: a whole view within its zone, summaries of the others.

It is a `peer_service.PeerService` but for what would grow with the fleet: drains and
starts go over the replicated table, agreement is stated by the zone's first leader, and
a limit's quota is a part of the zone's quota. docs/design/zones.md.
"""

from collections.abc import Sequence
from typing import Any, cast

from wheathill.config.peers import PeerSettings, ZoneLayout
from wheathill.log_events import LogEvent
from wheathill.peers.cluster_view import ClusterView, ViewState
from wheathill.peers.environment import PeerEnvironment
from wheathill.peers.fleet_limits import FleetLimits
from wheathill.peers.health_exchange import EvidenceLimits
from wheathill.peers.membership import FallbackProbe, Member, ProbeResult
from wheathill.peers.messages import DigestNote, Sender, ViewHeader, ZonedViewHeader
from wheathill.peers.peer_service import PeerService
from wheathill.peers.server_records import ServerRecords
from wheathill.peers.server_updates import ServerUpdates
from wheathill.peers.status import StatusReporter
from wheathill.peers.zones.leaders import select_leaders
from wheathill.peers.zones.messages import (
    DeltaReply,
    Heartbeat,
    HeartbeatReply,
    TableDigestRequest,
    TableMessage,
    decode_table_message,
)
from wheathill.peers.zones.replicated_updates import ReplicatedServerUpdates
from wheathill.peers.zones.status import ZonedStatus, ZoneStatusSources
from wheathill.peers.zones.summary_builder import build_summary
from wheathill.peers.zones.summary_writer import SummaryWriter
from wheathill.peers.zones.table_anti_entropy import TableAntiEntropy
from wheathill.peers.zones.table_gossip import TableGossip
from wheathill.peers.zones.view_announcements import ViewAnnouncements
from wheathill.peers.zones.zone_contacts import ZoneContacts
from wheathill.peers.zones.zone_directory import ZoneDirectory
from wheathill.peers.zones.zone_quota import ZoneQuota
from wheathill.peers.zones.zone_table import ZoneTable, ZoneTableRecord
from wheathill.peers.zones.zoned_limits import ZonedLimits

# Of frames. Proxies without zones use another and are refused.
FRAME_VERSION = 2


class ZonedPeerService(PeerService):
    """A proxy's part in a fleet of several zones, of which `settings.layout` tells.

    `generation` is a number that no other process of this name has. Raises OSError
    where a socket can't be opened.
    """

    EVIDENCE_LIMITS = EvidenceLimits(recipients_per_interval=4, servers_per_message=12)

    def __init__(
        self,
        settings: PeerSettings,
        environment: PeerEnvironment,
        generation: int,
        expected_proxies: int,
    ) -> None:
        self._layout = cast(ZoneLayout, settings.layout)
        self._zone = cast(str, settings.zone)
        # What the whole fleet expects is of no concern: the view is of the own zone.
        expected = max(1, self._layout.zone(self._zone).proxies)
        super().__init__(settings, environment, generation, expected)
        self.authenticator.version = FRAME_VERSION
        # A process that starts where it reaches nobody can't know that others took over
        # the quota of the process before it.
        self.cluster_view.minimum_proxies = expected
        self._announcements = ViewAnnouncements(settings.probe_interval_ms)
        # Of region and fleet, as last logged.
        self._logged_states: tuple[ViewState, ViewState] | None = None
        self.table_gossip = TableGossip(
            settings.name, self.clock, self.random, self.zone_table, self
        )
        self.table_anti_entropy = TableAntiEntropy(
            settings, self.clock, self.zone_table, self
        )

    # Parts

    def _create_view(self, generation: int, expected_proxies: int) -> ClusterView:
        """Create the view of the own zone, after the parts that know of all zones."""
        settings, now_ms = self.settings, self.clock.now()
        names = [zone.name for zone in self._layout.zones]
        self.zone_table = ZoneTable(names, self.authenticator.encoded_size)
        table = self.replicated_table = self.zone_table.replica
        interval_ms = settings.probe_interval_ms
        self.server_records = ServerRecords(table)
        self.zone_directory = ZoneDirectory(self._layout, self._zone, table)
        self.zone_quota = ZoneQuota(self.zone_directory)
        self.zone_contacts = ZoneContacts(
            self.zone_directory, interval_ms, self.random, now_ms
        )
        writer = f"{settings.name} {generation}"
        self._summary_writer = SummaryWriter(
            self._zone, writer, table, interval_ms, now_ms
        )
        return super()._create_view(generation, expected_proxies)

    def _create_limits(self, expected_proxies: int) -> FleetLimits:
        return ZonedLimits(
            self.cluster_view,
            expected_proxies,
            self.capacity_estimate,
            self.zone_directory,
            self.zone_quota,
        )

    def _create_server_updates(self) -> ServerUpdates:
        return ReplicatedServerUpdates(
            self.proxy, self.server_records, self.wall_ms, self.pass_on_own
        )

    def _create_status(self) -> StatusReporter:
        zone_sources = ZoneStatusSources(
            self.zone_directory,
            self.zone_quota,
            self.replicated_table,
            self.zone_state,
        )
        return ZonedStatus(self._status_sources(), zone_sources)

    def wall_ms(self) -> float:
        """Return the present time by the wall clock, as records state it."""
        return self.clock.to_wall(self.clock.now())

    # Sending

    def header(self) -> ZonedViewHeader:
        """Return what each message says of this proxy's view and table."""
        return ZonedViewHeader(
            self._zone,
            cast(ViewHeader, super().header()),
            self._layout.version,
            self.replicated_table.digest,
        )

    def send_table_message(self, address: str, message: TableMessage) -> None:
        """Send a message about the table to a proxy of any zone."""
        self.send_encoded(address, message.encode())

    def announce_view(self) -> None:
        """Notify the leaders of a view that has changed.

        Again, until the zone's summary says that all have it.
        """
        if self._announcements.is_due(self.clock.now(), self.cluster_view):
            for leader in self.zone_leaders():
                if leader.name != self.settings.name:
                    self.send_message(leader.address, DigestNote())

    # Receiving

    def receive(self, now_ms: float, sender: Sender, words: Sequence[Any]) -> None:
        """Read a message with its header, and act on it."""
        *header_fields, message = words
        header = ZonedViewHeader.decode(header_fields)
        kind, *arguments = message
        self._record_header(now_ms, sender, header)
        table_message = decode_table_message(kind, arguments)
        if table_message is not None:
            self._handle_table_message(now_ms, header.zone, table_message)
        elif header.zone == self._zone:
            self.handle_message(now_ms, sender, message)
        else:
            raise ValueError(f"{kind!r} is not sent between zones")
        self.table_anti_entropy.compare(now_ms, sender.address, header.table_digest)

    def _record_header(
        self, now_ms: float, sender: Sender, header: ZonedViewHeader
    ) -> None:
        """Take in what any message says of its sender.

        Raises ValueError where the layout doesn't name the sender's zone.
        """
        if header.zone == self._zone:
            self.record_contact(now_ms, sender)
            self.cluster_view.record_report(
                sender.name, sender.generation, header.view, int(header.layout_version)
            )
        elif header.zone in self.zone_directory.others:
            self.zone_contacts.record_contact(now_ms, header.zone)
        else:
            raise ValueError(f"no zone of the layout: {header.zone}")
        self.zone_quota.record_layout_version(int(header.layout_version))

    def _handle_table_message(
        self, now_ms: float, zone: str, message: TableMessage
    ) -> None:
        if isinstance(message, TableDigestRequest):
            self.table_anti_entropy.on_request(message)
        elif isinstance(message, DeltaReply):
            self.table_anti_entropy.on_reply(now_ms, zone, message)
        else:
            records = self.zone_table.decode(message.records)
            self.merge_records(now_ms, records, zone)
            if isinstance(message, Heartbeat):
                reply = HeartbeatReply(self.zone_table.encoded_summary(self._zone))
                self.send_table_message(message.reply_address, reply)

    def merge_records(
        self, now_ms: float, records: list[ZoneTableRecord], zone: str
    ) -> None:
        """Take in records that came from a member of `zone`."""
        newer = self.replicated_table.merge(self.wall_ms(), records)
        if newer:
            is_from_own_zone = zone == self._zone
            self.table_gossip.add(newer, is_from_own_zone=is_from_own_zone)
            self._on_table_changed(now_ms)
            self.server_updates.apply(
                record.server for record in newer if record.server is not None
            )

    def pass_on_own(self, record: ZoneTableRecord) -> None:
        """Send a record that this proxy wrote."""
        self.table_gossip.add_own(record)
        self._on_table_changed(self.clock.now())

    def _on_table_changed(self, now_ms: float) -> None:
        self.table_anti_entropy.on_table_changed(now_ms)
        summary = self.zone_directory.summary(self._zone)
        digest = "" if summary is None else summary.digest
        self.cluster_view.confirmed_digest = digest or None

    # Effects of membership

    def start_fallback_probe(self, probe: FallbackProbe) -> None:
        """Check by connections whether a process listens at a member's address.

        By its operator's file a process of another zone may have taken the address:
        nobody of this zone ever meets it, and connections to it succeed all the same.
        That the process before it has ended is what the transport has found since.
        """
        started_ms = self.clock.now()

        def on_result(result: ProbeResult) -> None:
            if result is ProbeResult.REACHABLE and self._is_replaced(probe, started_ms):
                result = ProbeResult.REFUSED
            self.membership.on_fallback_probe_result(self.clock.now(), probe, result)

        self.transport.start_fallback_probe(probe.address, probe.timeout_ms, on_result)

    def _is_replaced(self, probe: FallbackProbe, started_ms: float) -> bool:
        """Tell whether another process has the address of the one that is probed."""
        member = self.membership.members.get(probe.name)
        return (
            member is not None
            and member.last_seen_ms <= started_ms
            and self.transport.is_replaced(probe.address, probe.generation)
        )

    # Leaders of the own zone

    def zone_leaders(self) -> list[Member]:
        """Return the leaders of the own zone, by this proxy's view."""
        if self.membership.is_isolated:
            return []
        return select_leaders(self._zone, self.membership.active_members())

    def other_zone_addresses(self, now_ms: float) -> list[str]:
        """Return an address in each other zone, in the order of the layout."""
        return [
            self.zone_contacts.address(now_ms, zone)
            for zone in self.zone_directory.others
        ]

    def zone_state(self) -> ViewState:
        """Return the state of the own zone."""
        return self.zone_directory.own_state(self.cluster_view.state)

    # Each probe interval

    def tick(self) -> None:
        """Do what is done once each probe interval."""
        now_ms = self.clock.now()
        self.table_anti_entropy.on_interval()
        self.replicated_table.remove_expired(self.wall_ms())
        super().tick()
        leaders = self.zone_leaders()
        self._write_summary(now_ms, leaders)
        self._send_heartbeats(now_ms, leaders)
        self._log_states()

    def _write_summary(self, now_ms: float, leaders: list[Member]) -> None:
        """Write the zone's summary, where this proxy is the first leader."""
        if not leaders or leaders[0].name != self.settings.name:
            return
        view = self.cluster_view
        if view.state == ViewState.STANDALONE and not view.is_startup_wait_over(now_ms):
            return  # others may be about to answer
        summary = build_summary(now_ms, view, self.zone_contacts, leaders)
        record = self._summary_writer.write(now_ms, summary)
        if record is not None:
            self.pass_on_own(record)

    def _send_heartbeats(self, now_ms: float, leaders: list[Member]) -> None:
        """Send heartbeats to other zones, where this proxy is a leader."""
        if all(leader.name != self.settings.name for leader in leaders):
            self.zone_contacts.restart(now_ms)
            return
        for address in self.zone_contacts.heartbeat_addresses(now_ms):
            records = self.zone_table.encoded_summary(self._zone)
            heartbeat = Heartbeat(self.settings.advertise_address, records)
            self.send_table_message(address, heartbeat)

    def _log_states(self) -> None:
        own_state = self.zone_state()
        region_state = self.zone_directory.region_state(own_state)
        fleet_state = self.zone_directory.fleet_state(own_state)
        if (region_state, fleet_state) != self._logged_states:
            self._logged_states = region_state, fleet_state
            self.log_event(
                LogEvent.ZONE_VIEW_CHANGED,
                region=region_state.value,
                fleet=fleet_state.value,
                out_of_reach=list(self.zone_directory.unreachable_zones()),
            )
