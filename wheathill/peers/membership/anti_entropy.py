"""Exchanges of whole states with members at random (memberlist's push/pull).

They repair what gossip has missed. The dead are among the partners: so two halves that
have declared each other dead meet again after a partition.
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

STATE_CHUNK = 24  # updates a message
DIGEST_BUCKETS = (
    16  # of a state that is compared by digest; the same throughout a cluster
)
MAX_UNCONFIRMED_DEAD = 1024
DEATH_CHECKS_PER_SYNC = 8  # of the unconfirmed dead that are probed with each exchange
SYNC_JITTER = (0.75, 1.25)  # of an interval, so that instances don't fall in step
FIRST_SYNC_JITTER = (0.5, 1.5)


class AntiEntropy:
    """Sends and compares whole states.

    Attributes:
        interval_ms: Mean time until the next exchange. Short while exchanges bring
            members that were not known: where hundreds start at once each has met few,
            and gossip takes long to spread so many.
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
        self._death_checks: list[str] = []  # names of the dead that are probed next

    def start(self, now_ms: float) -> None:
        """Schedule the first exchange."""
        wait_ms = self._context.rng.uniform(*FIRST_SYNC_JITTER) * self.interval_ms
        self._context.effects.set_timer(now_ms + wait_ms, SyncTimer())

    def on_timer(self, now_ms: float) -> None:
        """Schedule the next exchange, and begin one."""
        config = self._context.config
        if self._has_found_members:
            self.interval_ms = max(config.probe_interval_ms, self.interval_ms / 2)
        else:
            self.interval_ms = min(config.sync_interval_ms, 2 * self.interval_ms)
        self._has_found_members = False
        wait_ms = self.interval_ms * self._context.rng.uniform(*SYNC_JITTER)
        self._context.effects.set_timer(now_ms + wait_ms, SyncTimer())
        self.synchronise(now_ms)

    def on_state_applied(self, has_found_members: bool) -> None:
        """Take note of a state that another has sent."""
        self._has_found_members = self._has_found_members or has_found_members

    def synchronise(self, now_ms: float) -> None:
        """Forget who is surely gone, probe some of the dead, and exchange states."""
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

        A process in place of one that is dead knows nothing yet, and has another
        generation: nothing is gained by comparing first.
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
        """Send all members, or only those in `buckets`."""
        reporter = self._context.local.name
        updates = [
            MemberUpdate.of(member, reporter)
            for name, member in sorted(self._context.table.members.items())
            if buckets is None or _bucket(name) in buckets
        ]
        for start in range(0, len(updates), STATE_CHUNK):
            chunk = updates[start : start + STATE_CHUNK]
            self._context.effects.send(address, StateSync(chunk))

    def send_member(self, address: str | None, member: Member) -> None:
        """Send what this instance knows of one member."""
        update = MemberUpdate.of(member, self._context.local.name)
        self._context.effects.send(address, StateSync([update]))

    def bucket_digests(self) -> list[int]:
        """Return a digest of each bucket of the members.

        Those who are surely gone are left out: each instance forgets them in its own
        time.
        """
        digests = [0] * DIGEST_BUCKETS
        for name, member in self._context.table.members.items():
            if member.state != MemberState.LEFT and not member.is_death_confirmed:
                digests[_bucket(name)] ^= member.digest()
        return digests

    def on_digest_request(self, address: str | None, digests: list[int]) -> None:
        """Send the members of all buckets that differ, and ask for the sender's.

        Raises:
            InvalidMessageError: The sender has another number of buckets.
        """
        if len(digests) != DIGEST_BUCKETS:
            raise InvalidMessageError(
                f"{len(digests)} buckets where there are {DIGEST_BUCKETS}"
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
        """Probe some of those that may only be partitioned, each in turn.

        They are kept until their death is confirmed or an operator removes them. A
        connection that comes up ends a partition sooner than chance does.
        """
        members = self._context.table.members
        unconfirmed = self._context.table.unconfirmed_dead()
        for name in unconfirmed[:-MAX_UNCONFIRMED_DEAD]:
            del members[name]
        unconfirmed = unconfirmed[-MAX_UNCONFIRMED_DEAD:]
        pending = [name for name in self._death_checks if name in unconfirmed]
        pending = pending or unconfirmed
        self._death_checks = pending[DEATH_CHECKS_PER_SYNC:]
        for name in pending[:DEATH_CHECKS_PER_SYNC]:
            self._context.start_fallback_probe(members[name], ProbePurpose.KNOWN_DEATH)


def _bucket(name: str) -> int:
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % DIGEST_BUCKETS
