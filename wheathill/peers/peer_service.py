"""The peer service: coordinates one proxy with the others of its cluster.

The proxy queries the service for what other proxies know about the servers of its
endpoint list. The service gives the proxy's balancer its quota of fleet-wide limits,
the servers that fail for all proxies and the servers that fail for this proxy only. No
session waits for the service.
"""

import random
from collections.abc import Mapping, Sequence
from typing import Any

from wheathill.config.peers import PeerSettings
from wheathill.model import Phase
from wheathill.peers.cluster_view import ClusterView, ViewState
from wheathill.peers.derived_config import cluster_view_config, membership_config
from wheathill.peers.environment import Closeable, PeerEnvironment
from wheathill.peers.event_log import PeerEventLog
from wheathill.peers.fleet_limits import FleetLimits
from wheathill.peers.frames import Frame, FrameAuthenticator, RejectReason
from wheathill.peers.health_exchange import EvidenceLimits, HealthExchange
from wheathill.peers.member_rotation import MemberRotation
from wheathill.peers.membership import (
    FallbackProbe,
    Member,
    Membership,
    MemberState,
    StateSync,
    Timer,
)
from wheathill.peers.membership import Message as MembershipMessage
from wheathill.peers.membership import decode_message as decode_membership_message
from wheathill.peers.membership import encode_message as encode_membership_message
from wheathill.peers.messages import (
    DigestAnnouncement,
    DrainUpdate,
    HealthEvidence,
    Message,
    Sender,
    StartUpdate,
    ViewHeader,
    ViewReply,
    ViewRequest,
    ZonedViewHeader,
    decode_message,
)
from wheathill.peers.operator_requests import OperatorRequests
from wheathill.peers.peer_health_reports import HealthObservation
from wheathill.peers.server_updates import (
    DirectServerUpdates,
    ServerEntry,
    ServerUpdates,
)
from wheathill.peers.status import StatusReporter, StatusSources
from wheathill.peers.transport import PeerTransport
from wheathill.peers.view_comparison import ViewComparison

# Members that get a notification immediately. Further members learn of a changed view
# from the header of later messages.
MAX_NOTIFIED_MEMBERS = 64


class PeerService:
    """Peer service of a proxy in a cluster without zones.

    For clusters with zones see `zones.service`.

    `generation` is a number that no other process of this name uses.
    `expected_proxies` is the number of proxies that the configuration expects,
    including this one.

    Attributes:
        applied_quota: the quota last passed to the balancer, None before the first.

    Raises:
        OSError: A socket can't be opened.
    """

    EVIDENCE_LIMITS = EvidenceLimits(recipients_per_interval=8, servers_per_message=64)

    def __init__(
        self,
        settings: PeerSettings,
        environment: PeerEnvironment,
        generation: int,
        expected_proxies: int,
    ) -> None:
        self.settings = settings
        self.proxy, self.clock = environment.proxy, environment.clock
        self.log_event = environment.log_event
        self.events = PeerEventLog(environment.log_event)
        self.random = random.Random(f"{settings.name}/{generation}")
        self._open_transport(environment, generation)
        self.membership = self._create_membership(generation)
        self.cluster_view = self._create_view(generation, expected_proxies)
        evidence = self.EVIDENCE_LIMITS
        self.health = HealthExchange(
            self.proxy, self.log_event, evidence.servers_per_message
        )
        self._rotation = MemberRotation(self.random, evidence.recipients_per_interval)
        self.limits = self._create_limits(expected_proxies)
        self.server_updates = self._create_server_updates()
        self.status = self._create_status()
        self.comparison = ViewComparison(
            self.membership, self.clock, self.send_message, self.status.report
        )
        self.applied_quota: float | None = None
        # Digest and `is_established` of the view that was last announced.
        self._announced_view: tuple[str, bool] | None = None
        self.operator_requests = OperatorRequests(
            environment, self.membership, self.status, self.comparison
        )
        self._control_socket: Closeable | None = None
        if settings.control_socket_path:
            path = settings.control_socket_path
            self._control_socket = self.operator_requests.listen(path)

    # Components; a subclass overrides the methods for those that differ with zones.

    def _open_transport(self, environment: PeerEnvironment, generation: int) -> None:
        settings = self.settings
        self.authenticator = FrameAuthenticator(
            cluster=settings.cluster,
            shared_key=settings.shared_key,
            name=settings.name,
            generation=generation,
        )
        self.transport = PeerTransport(
            environment, self.authenticator, self.on_message, settings.listen
        )

    def _create_membership(self, generation: int) -> Membership:
        config = membership_config(self.settings, generation)
        return Membership(self, self.random, config)

    def _create_view(self, generation: int, expected_proxies: int) -> ClusterView:
        config = cluster_view_config(self.settings, generation, expected_proxies)
        return ClusterView(config, self.clock.now())

    def _create_limits(self, expected_proxies: int) -> FleetLimits:
        return FleetLimits(self.cluster_view, expected_proxies, self.capacity_estimate)

    def _create_server_updates(self) -> ServerUpdates:
        return DirectServerUpdates(
            self.proxy, self.clock, self.send_message, self.send_to_all
        )

    def _status_sources(self) -> StatusSources:
        return StatusSources(
            settings=self.settings,
            clock=self.clock,
            membership=self.membership,
            view=self.cluster_view,
            limits=self.limits,
            server_updates=self.server_updates,
            health=self.health,
            transport=self.transport,
        )

    def _create_status(self) -> StatusReporter:
        return StatusReporter(self._status_sources())

    # Start and shutdown

    def start(self) -> None:
        """Join the cluster, and apply quota and permits to the balancer."""
        self.events.started(self.settings)
        self.proxy.balancer.slow_start.external_permits = self.limits.permit
        self.membership.start(self.clock.now(), self.settings.seeds)
        self.tick()

    def leave(self) -> None:
        """Announce the departure, so that others need not detect it, and close."""
        self.membership.leave()
        self.transport.close()
        if self._control_socket:
            self._control_socket.close()

    def tick(self) -> None:
        """Run the periodic work of one probe interval."""
        self.clock.after(self.settings.probe_interval_ms, self.tick)
        now_ms = self.clock.now()
        self.update_view(now_ms)
        recipients = self._rotation.next_members(self.other_members)
        self.announce_view()
        observations = self.health.observe(now_ms)
        is_partitioned = self.cluster_view.state == ViewState.PARTITIONED
        if not is_partitioned and self.cluster_view.state != ViewState.STANDALONE:
            self._send_evidence(now_ms, recipients, observations)
        if recipients:
            # Updates sent when they occurred may have been lost.
            self.server_updates.send_all_records(recipients[0].address)
        self.health.apply_verdict(now_ms, observations, is_partitioned)

    def _send_evidence(
        self,
        now_ms: float,
        recipients: list[Member],
        observations: Mapping[str, HealthObservation],
    ) -> None:
        evidence = self.health.evidence(now_ms, observations)
        if evidence is not None:
            fields = evidence.encode()
            for member in recipients:
                self.send_encoded(member.address, fields)

    # Called by the proxy

    def record_list_entry(
        self, server: str, phase: Phase, process_start_ms: float
    ) -> ServerEntry:
        """Apply an entry of the proxy's own endpoint list.

        Returns the effective entry of the server, which includes newer information
        from other proxies.
        """
        return self.server_updates.record_list_entry(server, phase, process_start_ms)

    def forget_server(self, server: str) -> None:
        """Remove the own list's entry of a server that has left the list."""
        self.server_updates.forget_server(server)

    def capacity_estimate(self) -> float:
        """Return how many of this proxy's connections a warm server can handle.

        The value is the load estimator's estimate.
        """
        return self.proxy.balancer.load_estimator.warm_up_capacity_estimate

    # Sending

    def header(self) -> ViewHeader | ZonedViewHeader:
        """Return the header that each message carries about this proxy's view."""
        view = self.cluster_view
        return ViewHeader(view.digest(), view.is_established, self.capacity_estimate())

    def send_encoded(
        self, address: str, fields: Sequence[Any], is_bulk: bool = False
    ) -> None:
        """Send an encoded message; a bulk message is sent on a stream."""
        self.transport.send(address, [*self.header().encode(), fields], is_bulk)

    def send_message(self, address: str, message: Message) -> None:
        """Send a message to one member."""
        self.send_encoded(address, message.encode())

    def send_to_all(self, message: Message) -> None:
        """Send a message to at most `MAX_NOTIFIED_MEMBERS` active members."""
        for member in self.membership.active_members()[:MAX_NOTIFIED_MEMBERS]:
            if member is not self.membership.local:
                self.send_message(member.address, message)

    def announce_view(self) -> None:
        """Notify other members if this view has changed.

        Every message carries the view's digest. A change is sent immediately, so that
        members detect agreement without delay.
        """
        current = self.cluster_view.digest(), self.cluster_view.is_established
        if current != self._announced_view:
            self._announced_view = current
            self.send_to_all(DigestAnnouncement())

    def other_members(self) -> list[Member]:
        """Return the other active members, including suspected ones."""
        local = self.membership.local
        return [
            member for member in self.membership.active_members() if member is not local
        ]

    # Receiving

    def on_message(self, frame: Frame, address: str | None) -> None:
        """Handle a message that the transport has authenticated."""
        try:
            sender = Sender(frame.sender, frame.generation, address)
            self.receive(self.clock.now(), sender, frame.payload)
        except (ValueError, TypeError, KeyError, IndexError, AttributeError):
            # Authenticated but malformed: only this message is dropped.
            self.transport.metrics.record_drop(
                RejectReason.MALFORMED, address or frame.sender
            )

    def receive(self, now_ms: float, sender: Sender, fields: Sequence[Any]) -> None:
        """Decode a message with its header, and handle it."""
        *header_fields, message = fields
        header = ViewHeader.decode(header_fields)
        self.record_contact(now_ms, sender)
        self.cluster_view.record_report(sender.name, sender.generation, header)
        self.handle_message(now_ms, sender, message)

    def record_contact(self, now_ms: float, sender: Sender) -> None:
        """Tell membership that a process has sent from an address.

        Messages on a stream have no sender address.
        """
        if sender.address is not None:
            self.membership.on_contact(
                now_ms, sender.name, sender.generation, sender.address
            )

    def handle_message(
        self, now_ms: float, sender: Sender, fields: Sequence[Any]
    ) -> None:
        """Decode and handle a message without its header."""
        message = decode_message(fields)
        if message is None:
            membership_message = decode_membership_message(fields)
            self.membership.on_message(now_ms, sender.address, membership_message)
        elif isinstance(message, DrainUpdate | StartUpdate):
            self.server_updates.handle(now_ms, sender, message)
        elif isinstance(message, HealthEvidence):
            if self.accepts_evidence_from(sender.name):
                self.health.record(now_ms, sender.name, message)
        elif isinstance(message, ViewRequest):
            self._reply_with_view(sender, message)
        elif isinstance(message, ViewReply):
            self.comparison.record_reply(sender.name, message)

    def _reply_with_view(self, sender: Sender, request: ViewRequest) -> None:
        if sender.address is None:
            raise ValueError("view request on a stream has no address to reply to")
        self.send_message(sender.address, self.comparison.reply(request))

    def accepts_evidence_from(self, name: str) -> bool:
        """Return whether health evidence from a member is accepted.

        It is if this proxy is not partitioned and the member is alive.
        """
        member = self.membership.members.get(name)
        return (
            self.cluster_view.state != ViewState.PARTITIONED
            and member is not None
            and member.state == MemberState.ALIVE
        )

    # Effects of membership

    def send(self, address: str | None, message: MembershipMessage) -> None:
        """Send a membership message; full states are sent on a stream.

        Raises:
            ValueError: The address is None, because the message answers one that came
                on a stream.
        """
        if address is None:
            raise ValueError("message on a stream has no address to reply to")
        fields = encode_membership_message(message)
        self.send_encoded(address, fields, is_bulk=isinstance(message, StateSync))

    def start_fallback_probe(self, probe: FallbackProbe) -> None:
        """Check by connecting whether a process listens at a member's address."""
        self.transport.start_fallback_probe(
            probe.address,
            probe.timeout_ms,
            lambda result: self.membership.on_fallback_probe_result(
                self.clock.now(), probe, result
            ),
        )

    def set_timer(self, at_ms: float, timer: Timer) -> None:
        """Set a membership timer."""
        self.clock.at(at_ms, self._on_timer, timer)

    def _on_timer(self, timer: Timer) -> None:
        self.membership.on_timer(self.clock.now(), timer)

    def member_changed(
        self, member: Member, previous_state: MemberState | None
    ) -> None:
        """Handle a member's state change; a new member has no previous state."""
        now_ms = self.clock.now()
        state = member.state
        self.cluster_view.update_member(
            now_ms, member.name, member.generation, state, member.is_death_confirmed
        )
        if state in (MemberState.DEAD, MemberState.LEFT):
            self.health.forget_source(member.name)
        self.events.member_changed(member, previous_state)
        if previous_state is None and state == MemberState.ALIVE:
            self.server_updates.send_all_records(member.address)
        self.update_view(now_ms)

    def log(self, text: str) -> None:
        """Write a message of membership to the log."""
        self.events.membership_message(text)

    def update_view(self, now_ms: float) -> None:
        """Recompute the state of the view, and apply a changed quota."""
        view = self.cluster_view
        view.is_isolated = self.membership.is_isolated
        previous_state, since_ms = view.state, view.state_since_ms
        state = view.update_state(now_ms, self.membership.unanswered_probes)
        if state != previous_state:
            self.events.view_changed(view, previous_state, since_ms, now_ms)
        quota = self.limits.quota(now_ms)
        if quota != self.applied_quota:
            self.applied_quota = quota
            self.proxy.balancer.on_quota_changed(now_ms, quota)
