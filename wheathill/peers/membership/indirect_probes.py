"""Indirect probes: SWIM's ping-req with Lifeguard's nack."""

from dataclasses import dataclass

from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.effects import NackTimer
from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.messages import Ack, IndirectPing, Nack

MAX_PENDING_FINAL_CHECKS = 1024
MAX_PENDING_RELAYED_PINGS = 4096
# Share of the probe timeout, so that the nack arrives before the requester's ends.
NACK_TIMEOUT_SHARE = 0.8


@dataclass(slots=True, frozen=True)
class RelayedPing:
    """A ping sent on behalf of another instance."""

    requester_address: str | None
    requester_sequence: int


class IndirectProbes:
    """Requests indirect probes, and performs those that others request."""

    def __init__(self, context: MembershipContext) -> None:
        self._context = context
        self._final_checks: dict[int, Member] = {}  # by sequence of the request
        # By sequence of the relayed ping.
        self._relayed_pings: dict[int, RelayedPing] = {}

    def request(self, target: Member, sequence: int, count: int) -> int:
        """Ask up to `count` random members to ping `target`; return how many."""
        helpers = self._context.sample_others(count, target)
        for helper in helpers:
            self._context.effects.send(
                helper.address,
                IndirectPing(
                    sequence,
                    self._context.local.name,
                    target.name,
                    target.address,
                    self._context.gossip_updates(),
                ),
            )
        return len(helpers)

    def request_final_check(self, target: Member) -> None:
        """Ask twice as many helpers as usual, before `target` is declared dead."""
        sequence = self._context.next_sequence()
        self._final_checks[sequence] = target
        while len(self._final_checks) > MAX_PENDING_FINAL_CHECKS:
            del self._final_checks[next(iter(self._final_checks))]
        self.request(target, sequence, 2 * self._context.config.indirect_checks)

    def on_request(
        self, now_ms: float, address: str | None, request: IndirectPing
    ) -> None:
        """Ping a member on behalf of the instance at `address`."""
        sequence = self._context.next_sequence()
        self._relayed_pings[sequence] = RelayedPing(address, request.sequence)
        while len(self._relayed_pings) > MAX_PENDING_RELAYED_PINGS:
            del self._relayed_pings[next(iter(self._relayed_pings))]
        target = self._context.table.members.get(request.target_name)
        is_suspect = target is not None and target.state == MemberState.SUSPECT
        self._context.send_ping(
            request.target_address, sequence, first=target if is_suspect else None
        )
        timeout_ms = self._context.config.probe_timeout_ms * NACK_TIMEOUT_SHARE
        self._context.effects.set_timer(now_ms + timeout_ms, NackTimer(sequence))

    def on_nack_timer(self, sequence: int) -> None:
        """Send a nack to the requester if the target has not answered yet."""
        relayed = self._relayed_pings.get(sequence)
        if relayed is not None:
            self._context.effects.send(
                relayed.requester_address, Nack(relayed.requester_sequence)
            )

    def on_ack(self, now_ms: float, sequence: int) -> None:
        """Record the ack of a final check, or relay an ack to its requester."""
        target = self._final_checks.pop(sequence, None)
        if target is not None:
            target.last_seen_ms = now_ms
            target.unconfirmed_since_ms = None
            return
        relayed = self._relayed_pings.pop(sequence, None)
        if relayed is not None:
            self._context.effects.send(
                relayed.requester_address,
                Ack(
                    relayed.requester_sequence,
                    self._context.local.name,
                    self._context.gossip_updates(),
                ),
            )
