"""One proxy among the others of its cluster: membership, and what follows from it.

The proxy asks one thing (what others know of a server that its list names) and is given
three: its quota of what all may do together, servers that fail for all, and servers
that fail for it alone. No session waits for any of it.
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
    DigestNote,
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

# Members that are notified at once that this view has changed; more of them learn it
# with what is sent anyway.
MAX_NOTIFIED = 64


class PeerService:
    """A proxy's part in a cluster without zones; with zones see `zones.service`.

    `generation` is a number that no other process of this name has.
    `expected_proxies`: how many the configuration names, this one included. Raises
    OSError where a socket can't be opened.

    Attributes:
        applied_quota: the quota that the balancer was last given, None before.
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
        # What the others were last notified of: the digest, and whether established.
        self._announced_view: tuple[str, bool] | None = None
        self.operator_requests = OperatorRequests(
            environment, self.membership, self.status, self.comparison
        )
        self._control_socket: Closeable | None = None
        if settings.control_socket_path:
            path = settings.control_socket_path
            self._control_socket = self.operator_requests.listen(path)

    # Parts; those that differ where there are zones are created by a method each.

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

    # Start and end

    def start(self) -> None:
        """Join the cluster, and limit the balancer by what follows from it."""
        self.events.started(self.settings)
        self.proxy.balancer.slow_start.external_permits = self.limits.permit
        self.membership.start(self.clock.now(), self.settings.seeds)
        self.tick()

    def leave(self) -> None:
        """Leave the cluster in order, so that the others need not find out."""
        self.membership.leave()
        self.transport.close()
        if self._control_socket:
            self._control_socket.close()

    def tick(self) -> None:
        """Do what is done once each probe interval."""
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
            # What was sent to all at once may have been lost.
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
            words = evidence.encode()
            for member in recipients:
                self.send_encoded(member.address, words)

    # What the proxy asks for

    def record_list_entry(
        self, server: str, phase: Phase, process_start_ms: float
    ) -> ServerEntry:
        """Take in an entry of the proxy's own list of servers.

        Returns what holds for the server: the entry, or what others know since.
        """
        return self.server_updates.record_list_entry(server, phase, process_start_ms)

    def forget_server(self, server: str) -> None:
        """Drop the own list's entry of a server that has left."""
        self.server_updates.forget_server(server)

    def capacity_estimate(self) -> float:
        """Return what a warm server bears of this proxy's connections, as it finds."""
        return self.proxy.balancer.load_estimator.warm_up_capacity_estimate

    # Sending

    def header(self) -> ViewHeader | ZonedViewHeader:
        """Return what each message says of this proxy's view."""
        view = self.cluster_view
        return ViewHeader(view.digest(), view.is_established, self.capacity_estimate())

    def send_encoded(
        self, address: str, words: Sequence[Any], is_bulk: bool = False
    ) -> None:
        """Send a message that is encoded already; one in bulk goes by stream."""
        self.transport.send(address, [*self.header().encode(), words], is_bulk)

    def send_message(self, address: str, message: Message) -> None:
        """Send a message to one member."""
        self.send_encoded(address, message.encode())

    def send_to_all(self, message: Message) -> None:
        """Send a message to all members that can be reached, up to a bound."""
        for member in self.membership.active_members()[:MAX_NOTIFIED]:
            if member is not self.membership.local:
                self.send_message(member.address, message)

    def announce_view(self) -> None:
        """Notify the others of a view that has changed.

        Every message states the digest of the view; a change is sent at once, so that
        all know soon that they agree.
        """
        current = self.cluster_view.digest(), self.cluster_view.is_established
        if current != self._announced_view:
            self._announced_view = current
            self.send_to_all(DigestNote())

    def other_members(self) -> list[Member]:
        """Return the other members that count as present, suspects among them."""
        me = self.membership.local
        return [
            member for member in self.membership.active_members() if member is not me
        ]

    # Receiving

    def on_message(self, frame: Frame, address: str | None) -> None:
        """Take in a message that the transport has authenticated."""
        try:
            sender = Sender(frame.sender, frame.generation, address)
            self.receive(self.clock.now(), sender, frame.payload)
        except (ValueError, TypeError, KeyError, IndexError, AttributeError):
            # Of the cluster's key, and yet not of the protocol: only that message.
            self.transport.metrics.record_drop(
                RejectReason.MALFORMED, address or frame.sender
            )

    def receive(self, now_ms: float, sender: Sender, words: Sequence[Any]) -> None:
        """Read a message with its header, and act on it."""
        *header_fields, message = words
        header = ViewHeader.decode(header_fields)
        self.record_contact(now_ms, sender)
        self.cluster_view.record_report(sender.name, sender.generation, header)
        self.handle_message(now_ms, sender, message)

    def record_contact(self, now_ms: float, sender: Sender) -> None:
        """Note that a process has spoken from an address; a stream doesn't tell it."""
        if sender.address is not None:
            self.membership.on_contact(
                now_ms, sender.name, sender.generation, sender.address
            )

    def handle_message(
        self, now_ms: float, sender: Sender, words: Sequence[Any]
    ) -> None:
        """Act on a message, without its header."""
        message = decode_message(words)
        if message is None:
            membership_message = decode_membership_message(words)
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
            raise ValueError("a request on a stream names no address to reply to")
        self.send_message(sender.address, self.comparison.reply(request))

    def accepts_evidence_from(self, name: str) -> bool:
        """Tell whether a member's evidence counts.

        It does where this proxy is not partitioned off and the member is alive.
        """
        member = self.membership.members.get(name)
        return (
            self.cluster_view.state != ViewState.PARTITIONED
            and member is not None
            and member.state == MemberState.ALIVE
        )

    # Effects of membership

    def send(self, address: str | None, message: MembershipMessage) -> None:
        """Send a message of membership; states go by stream.

        Raises ValueError where it would answer one that came on a stream, which names
        no address.
        """
        if address is None:
            raise ValueError("a message on a stream names no address to answer to")
        words = encode_membership_message(message)
        self.send_encoded(address, words, is_bulk=isinstance(message, StateSync))

    def start_fallback_probe(self, probe: FallbackProbe) -> None:
        """Check by connections whether a process listens at a member's address."""
        self.transport.start_fallback_probe(
            probe.address,
            probe.timeout_ms,
            lambda result: self.membership.on_fallback_probe_result(
                self.clock.now(), probe, result
            ),
        )

    def set_timer(self, at_ms: float, timer: Timer) -> None:
        """Set a timer of membership."""
        self.clock.at(at_ms, self._on_timer, timer)

    def _on_timer(self, timer: Timer) -> None:
        self.membership.on_timer(self.clock.now(), timer)

    def member_changed(
        self, member: Member, previous_state: MemberState | None
    ) -> None:
        """Act on a member's change; without a previous state it is new."""
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
        """Write a line of membership to the log."""
        self.events.membership_note(text)

    def update_view(self, now_ms: float) -> None:
        """Work out the state of the view anew, and with it the quota."""
        view = self.cluster_view
        view.is_isolated = self.membership.is_isolated
        state_before, since_ms = view.state, view.state_since_ms
        state = view.update_state(now_ms, self.membership.unanswered_probes)
        if state != state_before:
            self.events.view_changed(view, state_before, since_ms, now_ms)
        quota = self.limits.quota(now_ms)
        if quota != self.applied_quota:
            self.applied_quota = quota
            self.proxy.balancer.on_quota_changed(now_ms, quota)
