"""State transitions of members to alive, dead and left."""

from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.effects import DeathCheckTimer
from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.messages import MemberUpdate
from wheathill.peers.membership.probe_round import ProbeRound


class Transitions:
    """Changes the state of members, gossips it, and reports it as an effect."""

    def __init__(self, context: MembershipContext, probe_round: ProbeRound) -> None:
        self._context = context
        self._probe_round = probe_round

    def add_alive(self, now_ms: float, update: MemberUpdate) -> Member:
        """Add an unknown member as alive, and return it."""
        member = self._add(now_ms, update, MemberState.ALIVE)
        self._probe_round.insert(member)
        self._context.gossip.add(member, update.reported_by)
        self._context.effects.member_changed(member, None)
        return member

    def add_dead(self, now_ms: float, update: MemberUpdate) -> None:
        """Add an unknown member as dead.

        It is kept so that an outdated update does not bring it back.
        """
        member = self._add(now_ms, update, MemberState.DEAD)
        self._schedule_death_check(now_ms, member)

    def mark_alive(self, now_ms: float, member: Member, update: MemberUpdate) -> None:
        """Mark a known member as alive, as the process that `update` describes."""
        previous_state = member.state
        is_other_process = member.generation != update.generation
        member.unconfirmed_since_ms = None
        member.final_check_since_ms = None
        member.is_death_confirmed = False
        member.last_seen_ms = now_ms
        member.reported_dead_incarnation = -1
        member.address = update.address
        member.incarnation = update.incarnation
        member.generation = update.generation
        member.state = MemberState.ALIVE
        member.state_since_ms = now_ms
        member.suspicion_deadline_ms = None
        self._context.gossip.add(member, update.reported_by)
        if previous_state != MemberState.ALIVE or is_other_process:
            if previous_state in (MemberState.DEAD, MemberState.LEFT):
                self._probe_round.insert(member)
            self._context.effects.member_changed(member, previous_state)

    def mark_dead(self, now_ms: float, member: Member, reported_by: str) -> None:
        """Mark `member` as dead."""
        self._mark_gone(now_ms, member, MemberState.DEAD, reported_by)

    def mark_left(self, now_ms: float, member: Member, reported_by: str) -> None:
        """Mark `member` as left, so that further updates about it are ignored."""
        self._mark_gone(now_ms, member, MemberState.LEFT, reported_by)

    def _add(self, now_ms: float, update: MemberUpdate, state: MemberState) -> Member:
        member = Member(
            update.name,
            update.address,
            update.incarnation,
            update.generation,
            state,
            now_ms,
        )
        self._context.table.members[update.name] = member
        return member

    def _mark_gone(
        self, now_ms: float, member: Member, state: MemberState, reported_by: str
    ) -> None:
        previous_state = member.state
        member.state = state
        member.state_since_ms = now_ms
        member.suspicion_deadline_ms = None
        if state == MemberState.LEFT:
            self._context.table.mark_removed(member)
        else:
            self._schedule_death_check(now_ms, member)
        self._context.gossip.add(member, reported_by)
        self._context.effects.member_changed(member, previous_state)

    def _schedule_death_check(self, now_ms: float, member: Member) -> None:
        """Schedule a probe of an unconfirmed death within one probe interval.

        The random delay keeps instances, which all learn of the death at about the same
        time, from probing simultaneously.
        """
        if not member.is_death_confirmed:
            interval_ms = self._context.config.probe_interval_ms
            self._context.effects.set_timer(
                now_ms + self._context.rng.uniform(0.0, interval_ms),
                DeathCheckTimer(member.name, member.generation),
            )
