"""SWIM's failure detector: pings members in turn, if necessary through others."""

from dataclasses import dataclass
from operator import attrgetter

from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.death_checks import DeathChecks
from wheathill.peers.membership.effects import ProbeTimeoutTimer, ProbeTimer
from wheathill.peers.membership.indirect_probes import IndirectProbes
from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.name_conflicts import NameOwnership
from wheathill.peers.membership.probe_round import ProbeRound
from wheathill.peers.membership.suspicion import Suspicion


@dataclass(slots=True)
class PendingProbe:
    """The current probe.

    Attributes:
        sequence: Sequence number of its pings.
        target: The member being probed.
        is_acknowledged: Whether an ack was received, directly or through a helper.
        missing_nacks: Number of helpers from which no nack was received.
        is_late: Whether no ack was received within the timeout.
    """

    sequence: int
    target: Member
    is_acknowledged: bool = False
    missing_nacks: int = 0
    is_late: bool = False


class FailureDetector:
    """Probes one member per interval."""

    def __init__(
        self,
        context: MembershipContext,
        probe_round: ProbeRound,
        indirect_probes: IndirectProbes,
        suspicion: Suspicion,
        death_checks: DeathChecks,
        ownership: NameOwnership,
    ) -> None:
        self._context = context
        self._probe_round = probe_round
        self._indirect_probes = indirect_probes
        self._suspicion = suspicion
        self._death_checks = death_checks
        self._ownership = ownership
        self._pending: PendingProbe | None = None
        self._next_probe_ms = 0.0

    def start(self, now_ms: float) -> None:
        """Schedule the first probe at a random time within one interval.

        The random delay spreads the probes of instances that start together.
        """
        interval_ms = self._context.config.probe_interval_ms
        self._schedule_probe(now_ms + self._context.rng.uniform(0.0, interval_ms))

    def on_probe_timer(self, now_ms: float) -> None:
        """End the current probe and start the next one."""
        config = self._context.config
        delay_ms = now_ms - self._next_probe_ms
        if delay_ms > config.probe_timeout_ms:
            self.on_stall(now_ms, delay_ms)
        self._end_probe(now_ms)
        # A CPU-starved instance itself answers late, so it probes less often.
        interval_ms = config.probe_interval_ms * self._context.health.multiplier
        self._schedule_probe(now_ms + interval_ms)
        self._begin_probe(now_ms)

    def on_stall(self, now_ms: float, stalled_ms: float) -> None:
        """Cancel all checks after this process was stopped or starved of CPU.

        Acks that it missed are no evidence against other members: until another
        instance answers, it suspects no member and declares none dead.
        """
        self._context.effects.log(
            f"peers: this process stood still for {stalled_ms:.0f} ms"
        )
        self._pending = None
        self._context.health.on_stall(now_ms)
        members = self._context.table.members
        for name in sorted(members):
            member = members[name]
            member.unconfirmed_since_ms = None
            member.final_check_since_ms = None
            if member.state == MemberState.SUSPECT:
                self._suspicion.restart(now_ms, member)

    def on_probe_timeout(self) -> None:
        """Ping an unresponsive target again, and request indirect probes of it."""
        pending = self._pending
        if pending is None or pending.is_acknowledged:
            return
        pending.is_late = True
        self._ping(pending.target, pending.sequence)  # the first ping may be lost
        pending.missing_nacks = self._indirect_probes.request(
            pending.target,
            pending.sequence,
            self._context.config.indirect_checks,
        )

    def on_ack(self, now_ms: float, sequence: int) -> None:
        """Handle the ack of a direct or relayed ping."""
        if self._pending is not None and self._pending.sequence == sequence:
            self._pending.is_acknowledged = True
        else:
            self._indirect_probes.on_ack(now_ms, sequence)

    def on_nack(self, sequence: int) -> None:
        """Record that a helper is responsive, but has no ack from the target."""
        pending = self._pending
        if pending is not None and pending.sequence == sequence:
            pending.missing_nacks = max(0, pending.missing_nacks - 1)

    def _schedule_probe(self, at_ms: float) -> None:
        self._next_probe_ms = at_ms
        self._context.effects.set_timer(at_ms, ProbeTimer())

    def _begin_probe(self, now_ms: float) -> None:
        if self._ownership.is_isolated:
            return
        self._ping_own_suspects()
        target = self._probe_round.next_target()
        if target is None:
            self._pending = None
            return
        self._pending = PendingProbe(self._context.next_sequence(), target)
        self._ping(target, self._pending.sequence)
        config = self._context.config
        timeout_ms = config.probe_timeout_ms * self._context.health.multiplier
        self._context.effects.set_timer(now_ms + timeout_ms, ProbeTimeoutTimer())

    def _ping_own_suspects(self) -> None:
        """Ping every member that this instance is checking or suspects.

        This informs each of them of its suspicion once per interval, so that a single
        lost message does not lead to its death. Its ack counts regardless of the
        current probe.
        """
        members = self._context.table.members
        local_name = self._context.local.name
        # Filtered before sorting, as few of many members match.
        candidates = [
            member
            for member in members.values()
            if member.unconfirmed_since_ms is not None
            or member.state is MemberState.SUSPECT
        ]
        for member in sorted(candidates, key=attrgetter("name")):
            is_checked = member.is_active and member.unconfirmed_since_ms is not None
            is_suspected_here = (
                member.state is MemberState.SUSPECT
                and local_name in member.suspected_by
            )
            if is_checked or is_suspected_here:
                self._ping(member, self._context.next_sequence())

    def _ping(self, target: Member, sequence: int) -> None:
        # A suspect always receives its own suspicion, so that it can refute it.
        is_suspect = target.state == MemberState.SUSPECT
        self._context.send_ping(
            target.address, sequence, first=target if is_suspect else None
        )

    def _end_probe(self, now_ms: float) -> None:
        pending = self._pending
        if pending is None:
            return
        self._pending = None
        health = self._context.health
        health.record_probe(
            pending.target.name,
            was_late=pending.is_late or not pending.is_acknowledged,
        )
        if pending.is_acknowledged:
            health.improve(was_late=pending.is_late)
            return
        health.unanswered_probes += 1
        # Missing nacks indicate a fault of this instance rather than of the target.
        health.worsen(1 + pending.missing_nacks)
        if pending.target.is_active:
            self._death_checks.check_unresponsive(now_ms, pending.target)
