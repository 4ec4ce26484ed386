"""Membership of one instance: dispatches inputs to the parts of the protocol."""

import random
from collections.abc import Iterable

from wheathill.peers.membership.anti_entropy import AntiEntropy
from wheathill.peers.membership.config import MembershipConfig
from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.death_checks import DeathChecks
from wheathill.peers.membership.effects import (
    DeathCheckTimer,
    FallbackProbe,
    JoinTimer,
    MembershipEffects,
    NackTimer,
    ProbeResult,
    ProbeTimeoutTimer,
    ProbeTimer,
    SuspicionTimer,
    SyncTimer,
    Timer,
)
from wheathill.peers.membership.failure_detector import FailureDetector
from wheathill.peers.membership.indirect_probes import IndirectProbes
from wheathill.peers.membership.joining import Joining
from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.messages import (
    Ack,
    DigestRequest,
    IndirectPing,
    Join,
    MemberUpdate,
    Message,
    Nack,
    NameConflict,
    Ping,
    StateRequest,
    StateSync,
)
from wheathill.peers.membership.name_conflicts import NameOwnership
from wheathill.peers.membership.probe_round import ProbeRound
from wheathill.peers.membership.refutation import Refutation
from wheathill.peers.membership.suspicion import Suspicion
from wheathill.peers.membership.transitions import Transitions
from wheathill.peers.membership.updates import UpdateHandler


class Membership:
    """State machine of one instance's cluster membership.

    It performs no I/O: messages, timers and probe results are passed in together with
    the current time in ms, and all effects go through `MembershipEffects`. All random
    numbers come from `rng`.

    Attributes:
        config: Settings of this instance.
        gossip: Queue of updates to disseminate.
        joining: Joins the cluster through the seeds.
        anti_entropy: Exchanges full states.
        failure_detector: Probes members.
    """

    def __init__(
        self,
        effects: MembershipEffects,
        rng: random.Random,
        config: MembershipConfig,
    ) -> None:
        self.config = config
        context = self._context = MembershipContext(effects, rng, config)
        self.gossip = context.gossip
        self._ownership = NameOwnership(context)
        self.joining = Joining(context, self._ownership)
        self.anti_entropy = AntiEntropy(context, self.joining, self._ownership)
        probe_round = ProbeRound(context)
        suspicion = Suspicion(context)
        self._transitions = Transitions(context, probe_round)
        self._indirect_probes = IndirectProbes(context)
        self._death_checks = DeathChecks(
            context,
            suspicion,
            self._transitions,
            self._indirect_probes,
            self.anti_entropy,
        )
        self.failure_detector = FailureDetector(
            context,
            probe_round,
            self._indirect_probes,
            suspicion,
            self._death_checks,
            self._ownership,
        )
        self._updates = UpdateHandler(
            context,
            suspicion,
            self._transitions,
            self._death_checks,
            Refutation(context, self._ownership),
            self.anti_entropy,
        )
        self._is_stopped = False

    # Views

    @property
    def local(self) -> Member:
        """This instance as a member."""
        return self._context.local

    @property
    def members(self) -> dict[str, Member]:
        """All members by name, including this instance and those dead or left."""
        return self._context.table.members

    @property
    def is_isolated(self) -> bool:
        """Whether another process holds this name, or an operator removed it."""
        return self._ownership.is_isolated

    @property
    def unanswered_probes(self) -> int:
        """Number of consecutive probes without an ack."""
        return self._context.health.unanswered_probes

    @property
    def local_health(self) -> int:
        """Lifeguard's local health score; 0 when healthy."""
        return self._context.health.score

    def active_members(self) -> list[Member]:
        """Return all active members, ordered by name.

        They include suspects and this instance.
        """
        return self._context.table.active()

    def digest(self) -> str:
        """Return a digest of the active processes, equal on instances that agree."""
        return self._context.table.digest()

    # Lifecycle

    def start(self, now_ms: float, seeds: Iterable[str]) -> None:
        """Start the protocol and join the cluster through `seeds`."""
        self.local.state_since_ms = now_ms
        self._ownership.held_since_ms = now_ms
        self.gossip.add(self.local, self.local.name)
        self.joining.start(now_ms, seeds)
        self.failure_detector.start(now_ms)
        self.anti_entropy.start(now_ms)

    def leave(self) -> None:
        """Announce to a few members that this instance leaves; ignore later inputs."""
        self.local.state = MemberState.LEFT
        self.local.incarnation += 1
        update = MemberUpdate.of(self.local, self.local.name)
        count = 2 * self._context.config.indirect_checks
        for member in self._context.sample_others(count):
            self._context.effects.send(
                member.address, Ping(0, self.local.name, [update])
            )
        self._is_stopped = True

    def remove_member(self, now_ms: float, name: str) -> bool:
        """Mark a member as left for an operator; return whether there is one to remove.

        Later updates do not bring that process back.
        """
        member = self.members.get(name)
        if member is None or member is self.local:
            return False
        member.incarnation += 1
        self._transitions.mark_left(now_ms, member, self.local.name)
        return True

    # Inputs

    def on_timer(self, now_ms: float, timer: Timer) -> None:
        """Handle the expiry of a timer set through `MembershipEffects.set_timer`."""
        if self._is_stopped:
            return
        match timer:
            case ProbeTimer():
                self.failure_detector.on_probe_timer(now_ms)
            case ProbeTimeoutTimer():
                self.failure_detector.on_probe_timeout()
            case NackTimer(sequence):
                self._indirect_probes.on_nack_timer(sequence)
            case SuspicionTimer():
                self._death_checks.check_due_suspects(now_ms)
            case DeathCheckTimer(name, generation):
                self._death_checks.check_unconfirmed_death(name, generation)
            case JoinTimer():
                self.joining.on_retry_timer(now_ms)
            case SyncTimer():
                self.anti_entropy.on_timer(now_ms)

    def on_fallback_probe_result(
        self, now_ms: float, probe: FallbackProbe, result: ProbeResult
    ) -> None:
        """Handle the result of a probe started through `start_fallback_probe`."""
        if not self._is_stopped:
            self._death_checks.on_probe_result(now_ms, probe, result)

    def on_contact(
        self, now_ms: float, name: str, generation: int, address: str
    ) -> None:
        """Record that a process has sent a current message, not a replayed one."""
        self._updates.on_contact(now_ms, name, generation, address)

    def apply_updates(self, now_ms: float, updates: Iterable[MemberUpdate]) -> None:
        """Apply updates about members that other instances sent."""
        self._updates.apply_all(now_ms, updates)

    def on_message(self, now_ms: float, address: str | None, message: Message) -> None:
        """Handle a message; `address` is None if it was received on a stream.

        Raises:
            InvalidMessageError: It is incompatible with this cluster's settings.
        """
        if self._is_stopped:
            return
        match message:
            case Ping() | Ack() | IndirectPing():
                self._on_probe_message(now_ms, address, message)
            case Nack(sequence):
                self.failure_detector.on_nack(sequence)
            case Join(member):
                self._on_join(now_ms, member)
            case StateSync(updates):
                self._on_state_sync(now_ms, updates)
            case NameConflict(holder):
                self._ownership.on_name_conflict(now_ms, holder)
            case DigestRequest(digests):
                self.anti_entropy.on_digest_request(address, digests)
            case StateRequest(buckets):
                self.anti_entropy.send_state(address, buckets)

    # Messages

    def _on_probe_message(
        self, now_ms: float, address: str | None, message: Ping | Ack | IndirectPing
    ) -> None:
        if isinstance(message, Ack):
            self._context.health.on_ack()
        self._note_seen(now_ms, message.sender, address)
        self.apply_updates(now_ms, message.updates)
        match message:
            case Ping(sequence, sender):
                if sequence:
                    self._send_ack(address, sequence, sender)
            case Ack(sequence):
                self.failure_detector.on_ack(now_ms, sequence)
            case IndirectPing():
                self._indirect_probes.on_request(now_ms, address, message)

    def _note_seen(self, now_ms: float, sender: str, address: str | None) -> None:
        member = self.members.get(sender)
        if member is not None and address == member.address:
            member.last_seen_ms = now_ms
            member.unconfirmed_since_ms = None

    def _send_ack(self, address: str | None, sequence: int, sender: str) -> None:
        """Answer a ping.

        A sender that is suspect or dead here is informed of that, so that it refutes
        it.
        """
        member = self.members.get(sender)
        is_suspected = (
            member is not None
            and member.state in (MemberState.SUSPECT, MemberState.DEAD)
            and member.address == address
        )
        updates = self._context.gossip_updates(member if is_suspected else None)
        self._context.effects.send(address, Ack(sequence, self.local.name, updates))

    def _on_join(self, now_ms: float, joining: MemberUpdate) -> None:
        """Send the full state to a joining process, and add it as a member."""
        if self._ownership.reject_conflicting_claim(joining):
            return
        self.anti_entropy.send_state(joining.address)
        self.apply_updates(now_ms, [joining])
        # Sent last, as the state above may contradict it.
        member = self.members.get(joining.name)
        if member is not None and member.generation == joining.generation:
            self.anti_entropy.send_member(joining.address, member)

    def _on_state_sync(self, now_ms: float, updates: list[MemberUpdate]) -> None:
        self.joining.has_joined = True
        count_before = len(self.members)
        self.apply_updates(now_ms, updates)
        self.anti_entropy.on_state_applied(len(self.members) > count_before)
