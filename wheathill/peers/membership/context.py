"""State and messages shared by the parts of the membership protocol."""

import random
from dataclasses import dataclass

from wheathill.peers.membership.config import MembershipConfig
from wheathill.peers.membership.effects import (
    FallbackProbe,
    MembershipEffects,
    ProbePurpose,
)
from wheathill.peers.membership.gossip_queue import GossipQueue
from wheathill.peers.membership.local_health import LocalHealth
from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.member_table import MemberTable
from wheathill.peers.membership.messages import MemberUpdate, Ping

MAX_UPDATES_PER_MESSAGE = 8
# An update is sent this many times log10(members + 1) (memberlist's RetransmitMult).
RETRANSMIT_MULTIPLIER = 8.0


@dataclass(slots=True, frozen=True)
class FallbackTimeout:
    """Timeout of a fallback probe, in probe intervals.

    `lossy_intervals` applies while many datagrams are lost.
    """

    normal_intervals: float
    lossy_intervals: float


_SHORT_TIMEOUT = FallbackTimeout(1.3, 2.0)
FALLBACK_TIMEOUTS = {
    ProbePurpose.BEFORE_SUSPICION: _SHORT_TIMEOUT,
    ProbePurpose.UNCONFIRMED_DEATH: _SHORT_TIMEOUT,
    ProbePurpose.NAME_CLAIM: _SHORT_TIMEOUT,
    ProbePurpose.BEFORE_DEATH: FallbackTimeout(3.5, 3.5),
    # Short, as others have declared the member dead after a long probe of their own.
    ProbePurpose.DEATH_REPORT: FallbackTimeout(0.5, 1.2),
}


class MembershipContext:
    """Holds the shared state, and sends the messages that several parts send."""

    def __init__(
        self, effects: MembershipEffects, rng: random.Random, config: MembershipConfig
    ) -> None:
        self.effects = effects
        self.rng = rng
        self.config = config
        self.table = MemberTable(
            Member(
                config.name,
                config.address,
                incarnation=0,
                generation=config.generation,
                state=MemberState.ALIVE,
                state_since_ms=0.0,
            )
        )
        self.gossip = GossipQueue(RETRANSMIT_MULTIPLIER)
        self.health = LocalHealth()
        self._sequence = 0

    @property
    def local(self) -> Member:
        """This instance as a member."""
        return self.table.local

    def next_sequence(self) -> int:
        """Return the sequence number of the next ping that requests an ack."""
        self._sequence += 1
        return self._sequence

    def gossip_updates(self, first: Member | None = None) -> list[MemberUpdate]:
        """Return updates to piggyback on a message, including that of `first`."""
        return self.gossip.take(MAX_UPDATES_PER_MESSAGE, len(self.table.members), first)

    def send_ping(
        self, address: str, sequence: int, first: Member | None = None
    ) -> None:
        """Send a ping with piggybacked updates, including that of `first`.

        A sequence number of 0 requests no ack.
        """
        self.effects.send(
            address, Ping(sequence, self.local.name, self.gossip_updates(first))
        )

    def sample_others(self, count: int, *excluded: Member) -> list[Member]:
        """Return up to `count` random other active members."""
        others = self.table.active_others(*excluded)
        return self.rng.sample(others, min(len(others), count))

    def start_fallback_probe(self, member: Member, purpose: ProbePurpose) -> None:
        """Probe `member` over TCP, as a lost datagram must not count as a death."""
        timeout_ms = self.fallback_timeout_ms(purpose)
        self.effects.start_fallback_probe(
            FallbackProbe(
                member.name, member.generation, member.address, timeout_ms, purpose
            )
        )

    def fallback_timeout_ms(self, purpose: ProbePurpose) -> float:
        """Return the timeout of a fallback probe that starts now."""
        timeout = FALLBACK_TIMEOUTS[purpose]
        intervals = (
            timeout.lossy_intervals
            if self.health.is_network_lossy
            else timeout.normal_intervals
        )
        return intervals * self.config.probe_interval_ms

    def raise_incarnation(self, incarnation: int) -> None:
        """Raise the local incarnation above `incarnation`, and gossip it (SWIM)."""
        if incarnation >= self.local.incarnation:
            self.local.incarnation = incarnation + 1
            self.gossip.add(self.local, self.local.name)
