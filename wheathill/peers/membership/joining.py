"""Joining a cluster through seed addresses."""

from collections.abc import Iterable

from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.effects import JoinTimer
from wheathill.peers.membership.messages import Join, MemberUpdate
from wheathill.peers.membership.name_conflicts import NameOwnership


class Joining:
    """Requests the state of the seeds until one of them answers.

    Attributes:
        seeds: Configured addresses of other instances.
        has_joined: Whether a state was received from another instance.
    """

    def __init__(self, context: MembershipContext, ownership: NameOwnership) -> None:
        self._context = context
        self._ownership = ownership
        self.seeds: list[str] = []
        self.has_joined = False
        self._is_retry_scheduled = False

    def start(self, now_ms: float, seeds: Iterable[str]) -> None:
        """Start joining; this instance's own address among `seeds` is ignored."""
        self.seeds = [seed for seed in seeds if seed != self._context.local.address]
        self.send_joins(now_ms)

    def send_joins(self, now_ms: float) -> None:
        """Send a join to all seeds, and schedule a retry until one has answered."""
        if not self._ownership.is_removed:
            for seed in self.seeds:
                self.send_join(seed)
        if self.seeds and not self.has_joined and not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            interval_ms = self._context.config.probe_interval_ms
            self._context.effects.set_timer(now_ms + interval_ms, JoinTimer())

    def send_join(self, address: str) -> None:
        """Request the state of one instance and introduce this one."""
        local = self._context.local
        self._context.effects.send(address, Join(MemberUpdate.of(local, local.name)))

    def on_retry_timer(self, now_ms: float) -> None:
        """Retry unless a seed has answered."""
        self._is_retry_scheduled = False
        if not self.has_joined:
            self.send_joins(now_ms)
