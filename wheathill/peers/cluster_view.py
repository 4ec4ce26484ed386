"""The set of possibly active proxies, and the safe quota of fleet-wide limits.

Performs no I/O. Each proxy takes a quota of every fleet-wide limit, and the quotas must
never sum to more than the limit, even while views of the fleet differ. Every process
that may be active therefore counts: suspected members, unreachable members (they may
only be partitioned), expected members that were never seen and, for a limited time,
processes that have certainly ended, because their work may still be in progress. Only
an observed death or an operator releases a quota.

A process that has just started is counted by the members that have seen it. Until all
members agree on it, it gets a fraction of an equal quota: the fraction of established
members that it reaches and that have the same view. With n established members of which
r are on this side of a partition, and k new ones, each established member takes at most
1/(n + k) and each new one (r/n)/(n + k), so this side takes r/n in total, and all sides
of any partition together never exceed the limit (docs/design/fleet.md).
"""

import hashlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from wheathill.peers.membership import MemberState
from wheathill.peers.messages import ViewHeader

# Member names that are remembered; bounds memory.
MAX_NAMES = 4096
# Consecutive probes without an answer from any member, after which this proxy counts as
# partitioned.
PARTITIONED_AFTER_UNANSWERED_PROBES = 3
# Upper bound applied to capacity estimates that other proxies report.
MAX_CAPACITY_ESTIMATE = 1e6


class ViewState(StrEnum):
    """How reliable this proxy's view of the fleet is.

    The values appear in messages, in the log and in the status shown to operators.
    """

    CONVERGED = "agreed"  # all members are reachable and have the same view
    DIVERGED = "in doubt"  # some are suspected, unreachable, or have another view
    PARTITIONED = "cut off"  # most are unreachable, or this proxy is isolated
    STANDALONE = "never heard of peers"


@dataclass(frozen=True, slots=True)
class ClusterViewConfig:
    """Configuration of a cluster view.

    Attributes:
        name: name of this proxy.
        generation: distinguishes this process from all others of its name.
        expected_proxies: how many proxies the configuration expects; the fleet is never
            counted as smaller.
        expected_members: names of the expected members, if the configuration lists
            them.
        ended_process_hold_ms: how long a process that has certainly ended still counts.
        startup_wait_ms: time after the start within which other proxies would have
            answered. Until it has passed, or the first answer has arrived, this proxy
            takes no quota: the others may have taken over the quota of its previous
            process.
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
        generation: distinguishes it from other processes of its name.
        state: its state according to membership.
        is_established: whether all members have agreed on it at least once. A process
            known only through gossip, under a name not seen before, counts as
            established until it reports otherwise.
        digest: digest of its own view, as it last reported.
        capacity_estimate: its capacity estimate, as it last reported.
        layout_version: version of the zone layout that it holds, as it last reported.
    """

    generation: int
    state: MemberState
    is_established: bool
    digest: str | None = None
    capacity_estimate: float | None = None
    layout_version: int = 0


class ClusterView:
    """The processes that may be active, and this proxy's quota and permits.

    Attributes:
        members: the other processes that may be active, by name.
        state: how reliable this view is.
        state_since_ms: when the view entered that state.
        is_established: whether all members have agreed on this process at least once.
        is_isolated: whether another process holds this proxy's name, or an operator has
            removed it, so that no other member counts it.
        confirmed_digest: a digest that all reachable members have reported, according
            to a member that collects the reports. A view with the same digest agrees.
        minimum_proxies: lower bound of the number of proxies among which a limit is
            divided, even if more processes have certainly ended.
        process_end_times_ms: when processes have certainly ended, oldest first.
    """

    def __init__(self, config: ClusterViewConfig, now_ms: float) -> None:
        self.config = config
        self._startup_wait_end_ms = now_ms + config.startup_wait_ms
        self.members: dict[str, KnownMember] = {}
        # All names seen so far, in the order in which they were first seen.
        self._known_names: dict[str, None] = {config.name: None}
        # A previous process of this name may have used its quota just before the start.
        self.process_end_times_ms = deque([now_ms])
        self.is_established = False
        self.is_isolated = False
        self.state, self.state_since_ms = ViewState.STANDALONE, now_ms
        self.confirmed_digest: str | None = None
        self.minimum_proxies = 1
        # Cached until `members` changes, because every message carries it.
        self._digest: str | None = None

    # Input from membership and from other proxies

    def update_member(
        self,
        now_ms: float,
        name: str,
        generation: int,
        state: MemberState,
        is_death_certain: bool,
    ) -> None:
        """Apply a state change of a member's process, as found by membership."""
        self._digest = None
        known = self.members.get(name)
        is_present = state in (MemberState.ALIVE, MemberState.SUSPECT)
        if known is not None and known.generation != generation:
            if not is_present:
                return
            # The previous process has certainly ended. The new one gets a reduced quota
            # until all members agree on it.
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
        """Store what a member reports about its own view.

        Raises:
            ValueError: The capacity estimate is not a number.
            TypeError: The capacity estimate is not a number.
        """
        reported = float(header.capacity_estimate)
        capacity_estimate = min(MAX_CAPACITY_ESTIMATE, max(0.0, reported))
        known = self.members.get(name)
        if known is not None and known.generation == generation:
            known.digest = header.digest
            known.is_established = header.is_established
            known.capacity_estimate = capacity_estimate
            known.layout_version = layout_version

    # Results

    def digest(self) -> str:
        """Return a digest of all processes that may be active.

        Proxies whose views contain the same processes have the same digest.
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
        """Return how many expected proxies have never been seen."""
        if self.config.expected_members:
            return sum(
                name not in self._known_names for name in self.config.expected_members
            )
        return max(0, self.config.expected_proxies - len(self._known_names))

    def max_active_proxies(self, now_ms: float) -> int:
        """Return how many proxies may be active at most, including this one."""
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
        """Return the sorted names of the members that are not considered dead."""
        members = self.members
        return [
            name for name in sorted(members) if members[name].state != MemberState.DEAD
        ]

    def all_digests_match(self) -> bool:
        """Return whether all reachable members have reported this view's digest."""
        own = self.digest()
        return all(
            known.digest == own
            for known in self.members.values()
            if known.state != MemberState.DEAD
        )

    def is_startup_wait_over(self, now_ms: float) -> bool:
        """Return whether other proxies, if any, would have answered by now."""
        return now_ms >= self._startup_wait_end_ms

    def update_state(self, now_ms: float, unanswered_probes: int) -> ViewState:
        """Recompute and return the state of this view.

        `unanswered_probes` is the number of consecutive probes without any answer.
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
            or self._is_at_most_half(len(reachable))
        ):
            return ViewState.PARTITIONED
        if len(reachable) < len(self.members) or not self._is_view_agreed():
            return ViewState.DIVERGED
        if any(self.members[name].state == MemberState.SUSPECT for name in reachable):
            return ViewState.DIVERGED
        return ViewState.CONVERGED

    def _is_at_most_half(self, reachable_count: int) -> bool:
        """Return whether at most half of the members are on this side of a partition.

        `reachable_count` is the number of reachable members, without this proxy.
        """
        unseen = self.unseen_proxy_count() if self.config.expected_members else 0
        total = 1 + len(self.members) + unseen
        return total > 1 and 2 * (1 + reachable_count) <= total

    def _is_view_agreed(self) -> bool:
        return self.confirmed_digest == self.digest() or self.all_digests_match()

    def quota(self, now_ms: float) -> float:
        """Return this proxy's fraction of a fleet-wide limit, between 0 and 1.

        A new process takes no quota that established members have not yet given up.
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
        permit_count: Callable[[str, float], int] | None = None,
    ) -> float:
        """Return how many attempts per window this proxy may send to a warming server.

        If that is less than one attempt for each proxy, only some proxies hold a
        permit, see `_holds_permit`.

        Args:
            server: name of the server that is warming up.
            own_capacity: the part of the server's capacity that this proxy estimates to
                be its own, in connections.
            attempts_per_capacity: attempts per window that all proxies together may
                send for each connection of the server's capacity.
            permit_count: returns the number of permits for a server name and a number
                of attempts. Used if this view covers one zone of a larger fleet;
                without it, the attempts are rounded down, to at least one permit.
        """
        members = sorted(self.members.items())
        established = [name for name, known in members if known.is_established]
        attempts = attempts_per_capacity * self._total_capacity(own_capacity)
        has_established_process = self.is_established or bool(established)
        if (
            self.state == ViewState.STANDALONE
            or not has_established_process
            or attempts >= 1 + len(established)
        ):
            # During the startup wait the quota is 0, and so is own_capacity.
            return attempts_per_capacity * own_capacity
        if not self.is_established or self.is_isolated:
            return 0.0
        if permit_count is None:
            permits = max(1, int(attempts))
        else:
            permits = permit_count(server, attempts)
        return 1.0 if self._holds_permit(server, established, permits) else 0.0

    def _holds_permit(self, server: str, established: list[str], permits: int) -> bool:
        """Return whether this proxy holds one of the server's `permits`.

        If every proxy rounded a fraction of an attempt by itself, the sum could by
        chance exceed the limit. So there is one permit, of one attempt per window, for
        each whole attempt. The permits go to the first proxies in rendezvous hashing
        order (highest random weight: Thaler and Ravishankar, 1998) among all
        established ones, including unreachable ones. Both sides of a partition thus
        choose the same proxies, and a death moves only one permit.
        """
        names = [self.config.name, *established]
        return self.config.name in _rank_by_rendezvous(server, names)[:permits]

    def _total_capacity(self, own_capacity: float) -> float:
        """Return the sum of all capacity estimates.

        A member that has not reported one is assumed to have this proxy's estimate.
        """
        return own_capacity + sum(
            own_capacity if known.capacity_estimate is None else known.capacity_estimate
            for known in self.members.values()
        )


def _rank_by_rendezvous(server: str, names: list[str]) -> list[str]:
    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{server} {name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight)
