"""Probes by way of others: SWIM's ping-req, with Lifeguard's nack."""

from dataclasses import dataclass

from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.effects import NackTimer
from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.messages import Ack, IndirectPing, Nack

MAX_FINAL_CHECKS = 1024  # whose answers are awaited
MAX_RELAYED_PINGS = 4096  # likewise
NACK_TIMEOUT_SHARE = 0.8  # of a probe's timeout: the nack arrives before that ends


@dataclass(slots=True, frozen=True)
class RelayedPing:
    """A ping that this instance makes for another."""

    requester_address: str | None
    requester_sequence: int


class IndirectProbes:
    """Asks others to ping a member, and pings members for others."""

    def __init__(self, context: MembershipContext) -> None:
        self._context = context
        self._final_checks: dict[int, Member] = {}  # by sequence number of the request
        self._relayed_pings: dict[int, RelayedPing] = {}  # by that of the own ping

    def request(self, target: Member, sequence: int, count: int) -> int:
        """Ask up to `count` others at random to ping `target`; return how many."""
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
        """Ask twice as many others as usual, before `target` is declared dead."""
        sequence = self._context.next_sequence()
        self._final_checks[sequence] = target
        while len(self._final_checks) > MAX_FINAL_CHECKS:
            del self._final_checks[next(iter(self._final_checks))]
        self.request(target, sequence, 2 * self._context.config.indirect_checks)

    def on_request(
        self, now_ms: float, address: str | None, request: IndirectPing
    ) -> None:
        """Ping a member for the instance at `address`."""
        sequence = self._context.next_sequence()
        self._relayed_pings[sequence] = RelayedPing(address, request.sequence)
        while len(self._relayed_pings) > MAX_RELAYED_PINGS:
            del self._relayed_pings[next(iter(self._relayed_pings))]
        target = self._context.table.members.get(request.target_name)
        is_suspect = target is not None and target.state == MemberState.SUSPECT
        self._context.send_ping(
            request.target_address, sequence, first=target if is_suspect else None
        )
        timeout_ms = self._context.config.probe_timeout_ms * NACK_TIMEOUT_SHARE
        self._context.effects.set_timer(now_ms + timeout_ms, NackTimer(sequence))

    def on_nack_timer(self, sequence: int) -> None:
        """Let the requester know that its target has not answered this instance."""
        relayed = self._relayed_pings.get(sequence)
        if relayed is not None:
            self._context.effects.send(
                relayed.requester_address, Nack(relayed.requester_sequence)
            )

    def on_ack(self, now_ms: float, sequence: int) -> None:
        """Take note of an answer to a final check, or relay one to its requester."""
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
