"""What a proxy may count on while views of the fleet differ.

Free of I/O. A limit over all proxies is a whole of which each takes a quota, and the
quotas must never sum past it, whoever sees whom. So every process that may be active
counts: the suspected, those that can't be reached (they may only be partitioned off),
those that are expected and were never seen, and, for a while, what those that have
surely ended may still have under way. Only a death that was observed, or an operator,
frees a quota.

A process that has just started is counted by those that have seen it. Until all agree
on it, it and the others that are new split the part of the whole that stands with those
it reaches: of n that were there before, r on this side hold r/n of the whole, and k
newcomers with them make that r/(n + k) each for the old and (r/n)/(n + k) each for the
new, r/n in all. Both sides of any split together thus hold the whole and no more
(docs/design/fleet.md).
"""

import hashlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from wheathill.peers.membership import MemberState
from wheathill.peers.messages import ViewHeader

# Names of members that are remembered, a bound on memory.
MAX_NAMES = 4096
# Probes in a row that nobody answers: whoever is alive can't be reached from here.
PARTITIONED_AFTER_UNANSWERED_PROBES = 3
# Bounds of what another proxy may state as its capacity estimate.
MAX_CAPACITY_ESTIMATE = 1e6


class ViewState(StrEnum):
    """How far this proxy's view of the fleet can be relied on.

    The values are those of messages, the log and the operators' table.
    """

    CONVERGED = "agreed"  # all members are reached and have the same view
    DIVERGED = "in doubt"  # some are suspected, out of reach, or have another view
    PARTITIONED = "cut off"  # most are out of reach, or this proxy is isolated
    STANDALONE = "never heard of peers"


@dataclass(frozen=True, slots=True)
class ClusterViewConfig:
    """What a view is built from.

    Attributes:
        name: of this proxy.
        generation: tells this process from all others of its name.
        expected_proxies: how many the configuration names, which is a floor.
        expected_members: names of those that are expected, where it says so.
        ended_process_hold_ms: how long a process that has surely ended still counts.
        startup_wait_ms: after the start, the time in which an answer of others
            would have come. Until then, or the first answer, this proxy takes no
            quota: the others may have taken over what the process before it left.
    """

    name: str
    generation: int
    expected_proxies: int
    expected_members: tuple[str, ...] = ()
    ended_process_hold_ms: float = 0.0
    startup_wait_ms: float = 0.0


@dataclass(slots=True)
class KnownMember:
    """One other process that may be active.

    Attributes:
        generation: tells it from other processes of its name.
        state: as membership has it.
        is_established: whether all have agreed on it once. A process that is known by
            hearsay alone is taken for one that was there before.
        digest: of its own view, as it last reported.
        capacity_estimate: as it last reported.
        layout_version: the layout of zones that it holds, as it last reported.
    """

    generation: int
    state: MemberState
    is_established: bool
    digest: str | None = None
    capacity_estimate: float | None = None
    layout_version: int = 0


class ClusterView:
    """The processes that may be active, and what follows from them for limits.

    Attributes:
        members: the other processes that may be active, by name.
        state: how far this view can be relied on.
        state_since_ms: when it came to that state.
        is_established: whether all have agreed on this process once.
        is_isolated: whether another process holds its name, or an operator has removed
            it: nobody counts it.
        confirmed_digest: a digest that all reachable members have reported, on the word
            of one that has collected them: whoever has the same agrees.
        minimum_proxies: the smallest number of which a quota is taken, whichever
            processes have surely ended.
        process_end_times_ms: when processes have surely ended, oldest first.
    """

    def __init__(self, config: ClusterViewConfig, now_ms: float) -> None:
        self.config = config
        self._standalone_from_ms = now_ms + config.startup_wait_ms
        self.members: dict[str, KnownMember] = {}
        # All names ever seen, the longest known first.
        self._known_names: dict[str, None] = {config.name: None}
        # A process that starts may follow one that spent its quota a moment ago.
        self.process_end_times_ms = deque([now_ms])
        self.is_established = False
        self.is_isolated = False
        self.state, self.state_since_ms = ViewState.STANDALONE, now_ms
        self.confirmed_digest: str | None = None
        self.minimum_proxies = 1
        # The digest of `members`, until these change: each message states it.
        self._digest: str | None = None

    # What is reported

    def update_member(
        self,
        now_ms: float,
        name: str,
        generation: int,
        state: MemberState,
        is_death_certain: bool,
    ) -> None:
        """Take in what membership has found of the process `generation` of a member."""
        self._digest = None
        known = self.members.get(name)
        is_present = state in (MemberState.ALIVE, MemberState.SUSPECT)
        if known is not None and known.generation != generation:
            if not is_present:
                return
            # The process before it has ended for good; the new one has no quota until
            # all agree.
            self.process_end_times_ms.append(now_ms)
            known = None
        if is_present or state == MemberState.DEAD and not is_death_certain:
            if known is None:
                known = KnownMember(
                    generation, state, is_established=name not in self._known_names
                )
                self.members[name] = known
            known.state = state
        elif known is not None:
            del self.members[name]
            self.process_end_times_ms.append(now_ms)
        self._remember_name(name)

    def _remember_name(self, name: str) -> None:
        self._known_names[name] = None
        while len(self._known_names) > MAX_NAMES:
            oldest = next(
                other for other in self._known_names if other != self.config.name
            )
            self._known_names.pop(oldest)

    def record_report(
        self, name: str, generation: int, header: ViewHeader, layout_version: int = 0
    ) -> None:
        """Take in what a member says of its own view.

        Raises ValueError or TypeError where the capacity estimate is no number.
        """
        stated = float(header.capacity_estimate)
        capacity_estimate = min(MAX_CAPACITY_ESTIMATE, max(0.0, stated))
        known = self.members.get(name)
        if known is not None and known.generation == generation:
            known.digest = header.digest
            known.is_established = header.is_established
            known.capacity_estimate = capacity_estimate
            known.layout_version = layout_version

    # What follows

    def digest(self) -> str:
        """Return a digest of all processes that may be active.

        It is equal where the views on that agree.
        """
        if self._digest is None:
            processes = [(self.config.name, self.config.generation)]
            processes += [
                (name, known.generation) for name, known in self.members.items()
            ]
            text = repr(sorted(processes))
            self._digest = hashlib.blake2b(text.encode(), digest_size=6).hexdigest()
        return self._digest

    def unseen_proxy_count(self) -> int:
        """Return how many proxies are expected and were never seen."""
        if self.config.expected_members:
            return sum(
                name not in self._known_names for name in self.config.expected_members
            )
        return max(0, self.config.expected_proxies - len(self._known_names))

    def max_active_proxies(self, now_ms: float) -> int:
        """Return the largest number of proxies that may be active, with this one."""
        hold_ms = self.config.ended_process_hold_ms
        while (
            self.process_end_times_ms
            and now_ms - self.process_end_times_ms[0] >= hold_ms
        ):
            self.process_end_times_ms.popleft()
        counted = (
            1
            + len(self.members)
            + len(self.process_end_times_ms)
            + self.unseen_proxy_count()
        )
        return max(self.minimum_proxies, counted)

    def reachable_names(self) -> list[str]:
        """Return the names of the members that aren't taken for dead, in order."""
        members = self.members
        return [
            name for name in sorted(members) if members[name].state != MemberState.DEAD
        ]

    def all_digests_match(self) -> bool:
        """Tell whether all reachable members have reported this view's digest."""
        own = self.digest()
        return all(
            known.digest == own
            for known in self.members.values()
            if known.state != MemberState.DEAD
        )

    def is_startup_wait_over(self, now_ms: float) -> bool:
        """Tell whether others, if there were any, would have answered by now."""
        return now_ms >= self._standalone_from_ms

    def update_state(self, now_ms: float, unanswered_probes: int) -> ViewState:
        """Work out the state of this view anew.

        `unanswered_probes`: how many probes in a row nobody has answered.
        """
        state = self._determine_state(unanswered_probes)
        if state != self.state:
            self.state, self.state_since_ms = state, now_ms
        has_converged = state == ViewState.CONVERGED
        self.is_established = (
            self.is_established or has_converged
        ) and not self.is_isolated
        return state

    def _determine_state(self, unanswered_probes: int) -> ViewState:
        if len(self._known_names) == 1:
            return ViewState.STANDALONE
        reachable = self.reachable_names()
        if (
            self.is_isolated
            or unanswered_probes >= PARTITIONED_AFTER_UNANSWERED_PROBES
            or self._is_minority(len(reachable))
        ):
            return ViewState.PARTITIONED
        if len(reachable) < len(self.members) or not self._has_agreement():
            return ViewState.DIVERGED
        if any(self.members[name].state == MemberState.SUSPECT for name in reachable):
            return ViewState.DIVERGED
        return ViewState.CONVERGED

    def _is_minority(self, reachable_count: int) -> bool:
        """Tell whether this side of a split, if there is one, is at most half."""
        unseen = self.unseen_proxy_count() if self.config.expected_members else 0
        total = 1 + len(self.members) + unseen
        return total > 1 and 2 * (1 + reachable_count) <= total

    def _has_agreement(self) -> bool:
        return self.confirmed_digest == self.digest() or self.all_digests_match()

    def quota(self, now_ms: float) -> float:
        """Return this proxy's part of a limit over all, between 0 and 1.

        A process that is new takes nothing that those who were there before have not
        yet left to it.
        """
        if self.is_isolated:
            return 0.0
        equal_part = 1.0 / self.max_active_proxies(now_ms)
        if self.state == ViewState.STANDALONE:
            return equal_part if self.is_startup_wait_over(now_ms) else 0.0
        if self.is_established:
            return equal_part
        established = [known for known in self.members.values() if known.is_established]
        if not established:
            return equal_part
        own = self.digest()
        agreeing = sum(
            known.state != MemberState.DEAD
            and own in (known.digest, self.confirmed_digest)
            for known in established
        )
        return equal_part * agreeing / len(established)

    def permit(
        self,
        server: str,
        own_capacity: float,
        attempts_per_capacity: float,
        round_permits: Callable[[str, float], int] | None = None,
    ) -> float:
        """Return how many attempts a window this proxy may send to a warming server.

        All proxies together may send `attempts_per_capacity` for each connection that
        the server bears; of those this proxy finds `own_capacity` to be its own.

        Where that is less than one attempt for each proxy, only some hold a permit, see
        `_holds_permit`; `round_permits(server, attempts)` then says how many, where
        this is a part of a larger fleet.
        """
        members = sorted(self.members.items())
        established = [name for name, known in members if known.is_established]
        attempts = attempts_per_capacity * self._total_capacity(own_capacity)
        is_anyone_established = self.is_established or bool(established)
        if (
            self.state == ViewState.STANDALONE
            or not is_anyone_established
            or attempts >= 1 + len(established)
        ):
            # Before a process may stand alone its quota is 0, and with it the capacity.
            return attempts_per_capacity * own_capacity
        if not self.is_established or self.is_isolated:
            return 0.0
        if round_permits is None:
            holders = max(1, int(attempts))
        else:
            holders = round_permits(server, attempts)
        return 1.0 if self._holds_permit(server, established, holders) else 0.0

    def _holds_permit(self, server: str, established: list[str], holders: int) -> bool:
        """Tell whether this proxy is among the `holders` that may try the server.

        Parts of attempts would add up by chance to more than the whole. So only as many
        proxies as there are whole attempts hold a permit, of one attempt a window: the
        first by rendezvous (highest random weight: Thaler and Ravishankar, 1998) among
        all that were agreed on once, those out of reach included. Both sides of a split
        thus name the same, and a death passes on one permit alone.
        """
        names = [self.config.name, *established]
        return self.config.name in _rank_by_rendezvous(server, names)[:holders]

    def _total_capacity(self, own_capacity: float) -> float:
        """Add up the estimates of all; one that has reported none is as this one."""
        return own_capacity + sum(
            own_capacity if known.capacity_estimate is None else known.capacity_estimate
            for known in self.members.values()
        )


def _rank_by_rendezvous(server: str, names: list[str]) -> list[str]:
    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{server} {name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight)
