"""Peer service of a proxy in a fleet of zones.

The proxy has a full view of its own zone, and summaries of the other zones. The service
differs from `peer_service.PeerService` where the cost would grow with the fleet: drains
and starts are shared through the replicated table, the first leader of the zone reports
that all views agree, and a proxy's quota is a part of the zone's quota. See
docs/design/zones.md.
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
from wheathill.peers.messages import (
    DigestAnnouncement,
    Sender,
    ViewHeader,
    ZonedViewHeader,
)
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

# Frame version of fleets with zones. Frames from proxies without zones have another
# version and are rejected.
FRAME_VERSION = 2


class ZonedPeerService(PeerService):
    """Peer service of a proxy in a fleet of several zones.

    `settings.layout` describes the zones. `generation` is a number that no other
    process of this name has. `expected_proxies` is the number of proxies in the whole
    fleet; the view of the own zone uses the number in the layout instead. Raises
    OSError if a socket can't be opened.

    Attributes:
        table_gossip: forwards new records of the replicated table.
        table_anti_entropy: recovers records that gossip has lost.
        zone_table: the replica of the table, with its encoding.
        replicated_table: the replica itself.
        server_records: the records of servers in the table.
        zone_directory: the zones and their summaries.
        zone_quota: the quota of the own zone.
        zone_contacts: contact with the other zones.
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
        # The view covers the own zone, so the size of the whole fleet is not used.
        expected = max(1, self._layout.zone(self._zone).proxies)
        super().__init__(settings, environment, generation, expected)
        self.authenticator.version = FRAME_VERSION
        # A process that reaches no other member after its start can't know whether
        # others have taken over the quota of its predecessor.
        self.cluster_view.minimum_proxies = expected
        self._announcements = ViewAnnouncements(settings.probe_interval_ms)
        # The states of the region and the fleet that were logged last.
        self._logged_states: tuple[ViewState, ViewState] | None = None
        self.table_gossip = TableGossip(
            settings.name, self.clock, self.random, self.zone_table, self
        )
        self.table_anti_entropy = TableAntiEntropy(
            settings, self.clock, self.zone_table, self
        )

    # Components

    def _create_view(self, generation: int, expected_proxies: int) -> ClusterView:
        """Create the components that cover all zones, then the view of the own zone."""
        settings, now_ms = self.settings, self.clock.now()
        zone_names = [zone.name for zone in self._layout.zones]
        self.zone_table = ZoneTable(zone_names, self.authenticator.encoded_size)
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
            self.proxy, self.server_records, self.wall_ms, self.publish_record
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
        """Return the current Unix time in milliseconds, as used in records."""
        return self.clock.to_wall(self.clock.now())

    # Sending

    def header(self) -> ZonedViewHeader:
        """Return the header of each message, about this proxy's view and table."""
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
        """Notify the leaders of the own zone if this view has changed.

        The notification is repeated until the zone's summary confirms that all members
        have the same view.
        """
        if self._announcements.is_due(self.clock.now(), self.cluster_view):
            for leader in self.zone_leaders():
                if leader.name != self.settings.name:
                    self.send_message(leader.address, DigestAnnouncement())

    # Receiving

    def receive(self, now_ms: float, sender: Sender, fields: Sequence[Any]) -> None:
        """Decode a message with its header, and handle it."""
        *header_fields, message = fields
        header = ZonedViewHeader.decode(header_fields)
        kind, *arguments = message
        self._record_header(now_ms, sender, header)
        table_message = decode_table_message(kind, arguments)
        if table_message is not None:
            self._handle_table_message(now_ms, header.zone, table_message)
        elif header.zone == self._zone:
            self.handle_message(now_ms, sender, message)
        else:
            raise ValueError(f"message kind {kind!r} is not allowed between zones")
        self.table_anti_entropy.compare(now_ms, sender.address, header.table_digest)

    def _record_header(
        self, now_ms: float, sender: Sender, header: ZonedViewHeader
    ) -> None:
        """Record the contact with the sender and its view from a message's header.

        Raises ValueError if the layout doesn't contain the sender's zone.
        """
        if header.zone == self._zone:
            self.record_contact(now_ms, sender)
            self.cluster_view.record_report(
                sender.name, sender.generation, header.view, int(header.layout_version)
            )
        elif header.zone in self.zone_directory.other_zones:
            self.zone_contacts.record_contact(now_ms, header.zone)
        else:
            raise ValueError(f"zone {header.zone} is not in the layout")
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
        """Merge records received from a member of `zone` into the replica."""
        newer = self.replicated_table.merge(self.wall_ms(), records)
        if newer:
            is_from_own_zone = zone == self._zone
            self.table_gossip.add(newer, is_from_own_zone=is_from_own_zone)
            self._on_table_changed(now_ms)
            self.server_updates.apply(
                record.server for record in newer if record.server is not None
            )

    def publish_record(self, record: ZoneTableRecord) -> None:
        """Send a record that this proxy wrote to other members."""
        self.table_gossip.add_own(record)
        self._on_table_changed(self.clock.now())

    def _on_table_changed(self, now_ms: float) -> None:
        self.table_anti_entropy.on_table_changed(now_ms)
        summary = self.zone_directory.summary(self._zone)
        digest = "" if summary is None else summary.digest
        self.cluster_view.confirmed_digest = digest or None

    # Effects of membership

    def start_fallback_probe(self, probe: FallbackProbe) -> None:
        """Check by connecting whether a process listens at a member's address.

        The address may have been reassigned to a process of another zone. Connections
        to that process succeed, although it never exchanges membership messages with
        this zone. If the transport has found that the probed process was replaced at
        the address, the probe counts as refused.
        """
        probe_start_ms = self.clock.now()

        def on_result(result: ProbeResult) -> None:
            if result is ProbeResult.REACHABLE and self._is_address_taken_over(
                probe, probe_start_ms
            ):
                result = ProbeResult.REFUSED
            self.membership.on_fallback_probe_result(self.clock.now(), probe, result)

        self.transport.start_fallback_probe(probe.address, probe.timeout_ms, on_result)

    def _is_address_taken_over(
        self, probe: FallbackProbe, probe_start_ms: float
    ) -> bool:
        """Return whether another process has taken over the probed member's address.

        A member that was in contact after `probe_start_ms` was not replaced.
        """
        member = self.membership.members.get(probe.name)
        return (
            member is not None
            and member.last_seen_ms <= probe_start_ms
            and self.transport.is_replaced(probe.address, probe.generation)
        )

    # Leaders of the own zone

    def zone_leaders(self) -> list[Member]:
        """Return the leaders of the own zone according to this proxy's view."""
        if self.membership.is_isolated:
            return []
        return select_leaders(self._zone, self.membership.active_members())

    def other_zone_addresses(self, now_ms: float) -> list[str]:
        """Return one address in each other zone, in the order of the layout."""
        return [
            self.zone_contacts.choose_address(now_ms, zone)
            for zone in self.zone_directory.other_zones
        ]

    def zone_state(self) -> ViewState:
        """Return the state of the own zone."""
        return self.zone_directory.own_state(self.cluster_view.state)

    # Periodic work

    def tick(self) -> None:
        """Run the periodic work of one probe interval."""
        now_ms = self.clock.now()
        self.table_anti_entropy.start_interval()
        self.replicated_table.remove_expired(self.wall_ms())
        super().tick()
        leaders = self.zone_leaders()
        self._write_summary(now_ms, leaders)
        self._send_heartbeats(now_ms, leaders)
        self._log_states()

    def _write_summary(self, now_ms: float, leaders: list[Member]) -> None:
        """Write the zone's summary if this proxy is the first leader."""
        if not leaders or leaders[0].name != self.settings.name:
            return
        view = self.cluster_view
        if view.state == ViewState.STANDALONE and not view.is_startup_wait_over(now_ms):
            return  # other members may still answer
        summary = build_summary(now_ms, view, self.zone_contacts, leaders)
        record = self._summary_writer.write(now_ms, summary)
        if record is not None:
            self.publish_record(record)

    def _send_heartbeats(self, now_ms: float, leaders: list[Member]) -> None:
        """Send heartbeats to other zones if this proxy is a leader."""
        if all(leader.name != self.settings.name for leader in leaders):
            self.zone_contacts.reset(now_ms)
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
