"""Anti-entropy: full state exchanges with random members (memberlist's push/pull).

They repair what gossip has missed. Dead members are also chosen as partners, so that
two sides of a partition that declared each other dead merge again when it heals.
"""

import hashlib
from collections.abc import Container

from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.effects import ProbePurpose, SyncTimer
from wheathill.peers.membership.joining import Joining
from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.messages import (
    DigestRequest,
    InvalidMessageError,
    MemberUpdate,
    StateRequest,
    StateSync,
)
from wheathill.peers.membership.name_conflicts import NameOwnership

UPDATES_PER_STATE_SYNC = 24
DIGEST_BUCKETS = 16  # must be the same throughout a cluster
MAX_UNCONFIRMED_DEAD = 1024
DEATH_CHECKS_PER_SYNC = 8
# Factors of the interval; they keep instances from synchronising at the same time.
SYNC_JITTER_RANGE = (0.75, 1.25)
FIRST_SYNC_JITTER_RANGE = (0.5, 1.5)


class AntiEntropy:
    """Sends and compares full membership states.

    Attributes:
        interval_ms: Mean time until the next exchange. It shortens while exchanges
            bring unknown members: when hundreds of instances start at once, each knows
            only a few others, and gossip spreads that many updates slowly.
    """

    def __init__(
        self, context: MembershipContext, joining: Joining, ownership: NameOwnership
    ) -> None:
        self._context = context
        self._joining = joining
        self._ownership = ownership
        config = context.config
        self.interval_ms = min(config.probe_interval_ms, config.sync_interval_ms)
        self._has_found_members = False
        self._death_check_queue: list[str] = []  # names of dead members to probe next

    def start(self, now_ms: float) -> None:
        """Schedule the first exchange."""
        wait_ms = self._context.rng.uniform(*FIRST_SYNC_JITTER_RANGE) * self.interval_ms
        self._context.effects.set_timer(now_ms + wait_ms, SyncTimer())

    def on_timer(self, now_ms: float) -> None:
        """Schedule the next exchange and start one now."""
        config = self._context.config
        if self._has_found_members:
            self.interval_ms = max(config.probe_interval_ms, self.interval_ms / 2)
        else:
            self.interval_ms = min(config.sync_interval_ms, 2 * self.interval_ms)
        self._has_found_members = False
        wait_ms = self.interval_ms * self._context.rng.uniform(*SYNC_JITTER_RANGE)
        self._context.effects.set_timer(now_ms + wait_ms, SyncTimer())
        self.synchronise(now_ms)

    def on_state_applied(self, has_found_members: bool) -> None:
        """Record whether a received state contained unknown members."""
        self._has_found_members = self._has_found_members or has_found_members

    def synchronise(self, now_ms: float) -> None:
        """Remove expired members, probe some dead ones, and exchange states."""
        table = self._context.table
        table.forget_expired(now_ms, self._context.config.retention_ms)
        self._check_unconfirmed_dead()
        partners = [
            table.members[name]
            for name in sorted(table.members)
            if name != table.local.name
            and table.members[name].state != MemberState.LEFT
        ]
        if self._ownership.is_isolated:
            self._joining.send_joins(now_ms)
        elif partners:
            self.synchronise_with(self._context.rng.choice(partners))
        elif not self._joining.has_joined or self._joining.seeds:
            self._joining.has_joined = False
            self._joining.send_joins(now_ms)

    def synchronise_with(self, partner: Member) -> None:
        """Exchange states with one member.

        The full state is sent to a dead member without comparing digests: a process
        that has replaced it knows nothing yet and has another generation.
        """
        if self._context.config.digest_sync and partner.state != MemberState.DEAD:
            self._context.effects.send(
                partner.address, DigestRequest(self.bucket_digests())
            )
            return
        self.send_state(partner.address)
        self._joining.send_join(partner.address)

    def send_state(
        self, address: str | None, buckets: Container[int] | None = None
    ) -> None:
        """Send the state of all members, or only of those in `buckets`."""
        reporter = self._context.local.name
        updates = [
            MemberUpdate.of(member, reporter)
            for name, member in sorted(self._context.table.members.items())
            if buckets is None or _bucket(name) in buckets
        ]
        for start in range(0, len(updates), UPDATES_PER_STATE_SYNC):
            chunk = updates[start : start + UPDATES_PER_STATE_SYNC]
            self._context.effects.send(address, StateSync(chunk))

    def send_member(self, address: str | None, member: Member) -> None:
        """Send this instance's state of one member."""
        update = MemberUpdate.of(member, self._context.local.name)
        self._context.effects.send(address, StateSync([update]))

    def bucket_digests(self) -> list[int]:
        """Return a digest of each bucket of members.

        Members that left or whose death is confirmed are excluded, because instances
        remove them at different times.
        """
        digests = [0] * DIGEST_BUCKETS
        for name, member in self._context.table.members.items():
            if member.state != MemberState.LEFT and not member.is_death_confirmed:
                digests[_bucket(name)] ^= member.digest()
        return digests

    def on_digest_request(self, address: str | None, digests: list[int]) -> None:
        """Send the members of all differing buckets, and request the sender's.

        Raises:
            InvalidMessageError: The sender uses a different number of buckets.
        """
        if len(digests) != DIGEST_BUCKETS:
            raise InvalidMessageError(
                f"got {len(digests)} bucket digests instead of {DIGEST_BUCKETS}"
            )
        differing = [
            bucket
            for bucket, own_digest in enumerate(self.bucket_digests())
            if own_digest != digests[bucket]
        ]
        if differing:
            self.send_state(address, differing)
            self._context.effects.send(address, StateRequest(differing))

    def _check_unconfirmed_dead(self) -> None:
        """Probe some dead members that may only be partitioned, in rotation.

        They are kept until their death is confirmed or an operator removes them. A
        successful connection reveals the end of a partition sooner than the random
        choice of exchange partners does.
        """
        members = self._context.table.members
        unconfirmed = self._context.table.unconfirmed_dead()
        for name in unconfirmed[:-MAX_UNCONFIRMED_DEAD]:
            del members[name]
        unconfirmed = unconfirmed[-MAX_UNCONFIRMED_DEAD:]
        pending = [name for name in self._death_check_queue if name in unconfirmed]
        pending = pending or unconfirmed
        self._death_check_queue = pending[DEATH_CHECKS_PER_SYNC:]
        for name in pending[:DEATH_CHECKS_PER_SYNC]:
            self._context.start_fallback_probe(
                members[name], ProbePurpose.UNCONFIRMED_DEATH
            )


def _bucket(name: str) -> int:
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % DIGEST_BUCKETS
