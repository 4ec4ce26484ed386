"""Fallback probes before a member is suspected or declared dead, and their outcomes.

This extends SWIM and Lifeguard: a member that has not answered a probe is first
unconfirmed, locally to this instance. It becomes suspect only if it cannot be reached
over TCP either and has sent nothing in the meantime, so that neither lost datagrams nor
a stopped process look like a death. A process whose host refuses the connection is
known to be dead.
"""

from wheathill.peers.membership.anti_entropy import AntiEntropy
from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.effects import FallbackProbe, ProbePurpose, ProbeResult
from wheathill.peers.membership.indirect_probes import IndirectProbes
from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.messages import MemberUpdate, Ping
from wheathill.peers.membership.suspicion import Suspicion
from wheathill.peers.membership.transitions import Transitions

# Expected number of instances that verify another's suspicion with their own probe.
# Independent confirmations make a suspicion more reliable and shorten its timeout.
SUSPICION_CHECKS = 4


class DeathChecks:
    """Suspects members and declares them dead according to fallback probes."""

    def __init__(
        self,
        context: MembershipContext,
        suspicion: Suspicion,
        transitions: Transitions,
        indirect_probes: IndirectProbes,
        anti_entropy: AntiEntropy,
    ) -> None:
        self._context = context
        self._suspicion = suspicion
        self._transitions = transitions
        self._indirect_probes = indirect_probes
        self._anti_entropy = anti_entropy

    def check_unresponsive(self, now_ms: float, member: Member) -> None:
        """Probe a member that may become suspect, unless a check is not possible."""
        if self._can_begin_check(member):
            member.unconfirmed_since_ms = now_ms
            self._context.start_fallback_probe(member, ProbePurpose.BEFORE_SUSPICION)

    def check_suspected_by_others(self, now_ms: float, member: Member) -> None:
        """Probe a member that others suspect, on a random subset of instances only."""
        if not self._can_begin_check(member):
            return
        others = len(self._context.table.members) - 2
        if self._context.rng.random() * others < SUSPICION_CHECKS:
            self.check_unresponsive(now_ms, member)

    def check_reported_dead(
        self, now_ms: float, member: Member, report: MemberUpdate
    ) -> None:
        """Probe a member that others declared dead but that was seen here recently.

        The reporter may itself be partitioned from the member. The report is forwarded
        to the member so that it can refute it; if this probe fails too, it is declared
        dead.
        """
        member.reported_dead_incarnation = report.incarnation
        if not self._can_begin_check(member):
            return
        member.unconfirmed_since_ms = now_ms
        self._context.start_fallback_probe(member, ProbePurpose.DEATH_REPORT)
        sequence = self._context.next_sequence()
        update = MemberUpdate(
            MemberState.DEAD,
            member.name,
            member.address,
            report.incarnation,
            member.generation,
            report.reported_by,
        )
        self._context.effects.send(
            member.address, Ping(sequence, self._context.local.name, [update])
        )

    def check_due_suspects(self, now_ms: float) -> None:
        """Start the final check of all suspects whose deadline is near.

        While this instance is stalled, their suspicions are restarted instead.
        """
        members = self._context.table.members
        for name in sorted(members):
            member = members[name]
            if not self._suspicion.is_final_check_due(now_ms, member):
                continue
            if self._context.health.is_stalled:
                self._suspicion.restart(now_ms, member)
            else:
                self._begin_final_check(now_ms, member)

    def check_unconfirmed_death(self, name: str, generation: int) -> None:
        """Probe a dead member, as a refused connection confirms its death."""
        member = self._context.table.members.get(name)
        if (
            member is not None
            and member.generation == generation
            and member.state == MemberState.DEAD
            and not member.is_death_confirmed
        ):
            self._context.start_fallback_probe(member, ProbePurpose.UNCONFIRMED_DEATH)

    def on_probe_result(
        self, now_ms: float, probe: FallbackProbe, result: ProbeResult
    ) -> None:
        """Update the member's state according to the result of a fallback probe."""
        member = self._context.table.members.get(probe.name)
        if (
            member is None
            or member.generation != probe.generation
            or member.state == MemberState.LEFT
        ):
            return
        began_ms = _end_check(member, probe.purpose)
        if result == ProbeResult.REFUSED:
            self._on_refused(now_ms, member)
        elif result == ProbeResult.REACHABLE:
            self._on_reachable(now_ms, member)
        elif member.state != MemberState.DEAD:
            is_conclusive = (
                probe.purpose != ProbePurpose.NAME_CLAIM
                and not self._context.health.is_stalled
                and began_ms is not None
                and member.last_seen_ms <= began_ms
            )
            if is_conclusive:
                self._on_unreachable(now_ms, member, probe.purpose)
            elif member.state == MemberState.SUSPECT:
                self._suspicion.schedule_deadline(now_ms, member)

    def _can_begin_check(self, member: Member) -> bool:
        """Return whether no check is pending and this instance is not stalled."""
        return (
            member.unconfirmed_since_ms is None and not self._context.health.is_stalled
        )

    def _begin_final_check(self, now_ms: float, member: Member) -> None:
        """Probe a suspect for the last time, over TCP and through other members."""
        if member.final_check_since_ms is None:
            member.final_check_since_ms = now_ms
            self._context.start_fallback_probe(member, ProbePurpose.BEFORE_DEATH)
            self._indirect_probes.request_final_check(member)

    def _on_refused(self, now_ms: float, member: Member) -> None:
        """Record that the member's death is confirmed."""
        if member.is_death_confirmed:
            return
        member.is_death_confirmed = True
        self._context.table.mark_removed(member)
        if member.state == MemberState.DEAD:
            self._context.effects.member_changed(member, MemberState.DEAD)
        else:
            self._transitions.mark_dead(now_ms, member, self._context.local.name)

    def _on_reachable(self, now_ms: float, member: Member) -> None:
        """Handle evidence that the member's process is running.

        A member that counts as dead was partitioned or stopped: the state exchange
        informs it, and it refutes its death. A suspect is stopped or its datagrams are
        lost, neither of which is a death.
        """
        if member.state == MemberState.DEAD:
            self._anti_entropy.synchronise_with(member)
        elif member.state == MemberState.SUSPECT:
            self._suspicion.restart(now_ms, member)

    def _on_unreachable(
        self, now_ms: float, member: Member, purpose: ProbePurpose
    ) -> None:
        """Advance an active member from alive to suspect, or from suspect to dead."""
        local_name = self._context.local.name
        if member.reported_dead_incarnation >= member.incarnation:
            self._transitions.mark_dead(now_ms, member, local_name)
        elif member.state == MemberState.ALIVE:
            self._suspect(now_ms, member)
        elif purpose != ProbePurpose.BEFORE_DEATH:
            self._suspicion.confirm(now_ms, member, local_name)
            self._begin_final_check(now_ms, member)
        elif self._suspicion.has_expired(now_ms, member):
            self._transitions.mark_dead(now_ms, member, local_name)
        else:
            self._suspicion.schedule_deadline(now_ms, member)

    def _suspect(self, now_ms: float, member: Member) -> None:
        """Suspect a member, and inform a few other members immediately."""
        local_name = self._context.local.name
        self._suspicion.suspect(now_ms, member, member.incarnation, local_name)
        self._begin_final_check(now_ms, member)
        for other in self._context.sample_others(SUSPICION_CHECKS, member):
            self._context.send_ping(other.address, 0, first=member)


def _end_check(member: Member, purpose: ProbePurpose) -> float | None:
    """End the check of this purpose, and return its start time if known."""
    if purpose == ProbePurpose.BEFORE_DEATH:
        began_ms, member.final_check_since_ms = member.final_check_since_ms, None
        return began_ms
    began_ms = member.unconfirmed_since_ms
    if purpose in (ProbePurpose.BEFORE_SUSPICION, ProbePurpose.DEATH_REPORT):
        member.unconfirmed_since_ms = None
    return began_ms
