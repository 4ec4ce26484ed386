"""Anti-entropy protocol between replicas, free of I/O.

Local changes are pushed shortly after they are made, and one random member is
periodically asked for changes that are missing here. Lost, duplicated, delayed or
reordered messages postpone convergence but never prevent it.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from wheathill.store.entries import EncodedRow
from wheathill.store.messages import (
    Message,
    PushMessage,
    ReplyMessage,
    RequestMessage,
)
from wheathill.store.replica import Replica

# Range of the random factor applied to the request interval, so that the members'
# requests do not synchronize.
MIN_INTERVAL_FACTOR = 0.75
MAX_INTERVAL_FACTOR = 1.25


class AntiEntropyTimer(StrEnum):
    """Timers of the protocol."""

    PUSH = "push"
    REQUEST = "request"


class AntiEntropyEffects(Protocol):
    """Operations that the protocol calls for."""

    def send(self, member: str, message: Message) -> None:
        """Encode and send a message; delivery is not guaranteed.

        Implementations must encode the message before they return, because it
        references the replica's own mutable version vector.
        """

    def set_timer(self, at_ms: float, timer: AntiEntropyTimer) -> None:
        """Schedule a call of `AntiEntropy.on_timer` at `at_ms`."""


@dataclass(frozen=True, slots=True)
class AntiEntropyConfig:
    """Settings of the protocol.

    Attributes:
        request_interval_ms: mean time between two requests.
        push_delay_ms: how long a local change is delayed so that later ones are pushed
            in the same message.
        reply_timeout_ms: time limit for all parts of a reply to arrive.
        max_reply_parts: replies with more parts are dropped.
    """

    request_interval_ms: float
    push_delay_ms: float
    reply_timeout_ms: float
    max_reply_parts: int = 4096


@dataclass(slots=True)
class PendingRequest:
    """Outstanding request whose reply has not arrived completely.

    Attributes:
        request_id: id of the request.
        member: member that the request was sent to.
        deadline_ms: time from which another request may be sent.
        parts: part index -> encoded entries of the parts that have arrived.
    """

    request_id: int
    member: str
    deadline_ms: float
    parts: dict[int, list[EncodedRow]] = field(default_factory=dict)


class AntiEntropy:
    """Exchanges changes of one replica with those of the other members."""

    def __init__(
        self,
        effects: AntiEntropyEffects,
        rng: random.Random,
        replica: Replica,
        config: AntiEntropyConfig,
        *,
        live_members: Callable[[], Iterable[str]],
        collection_members: Callable[[], Iterable[str]],
    ) -> None:
        """Create the protocol state machine of a replica.

        Args:
            effects: sends messages and sets timers.
            rng: draws intervals and members.
            replica: the replica to synchronize.
            config: intervals and limits.
            live_members: returns the names of the reachable members.
            collection_members: returns the names of the members that must have seen a
                tombstone before it is collected.
        """
        self._effects = effects
        self._rng = rng
        self._replica = replica
        self._config = config
        self._live_members = live_members
        self._collection_members = collection_members
        self._last_request_id = 0
        self._pending: PendingRequest | None = None
        self._is_push_scheduled = False

    def start(self, now_ms: float) -> None:
        """Schedule the first request."""
        delay_ms = self._rng.uniform(0.0, self._config.request_interval_ms)
        self._effects.set_timer(now_ms + delay_ms, AntiEntropyTimer.REQUEST)

    def schedule_push(self, now_ms: float) -> None:
        """Schedule a push if there are local changes and none is scheduled."""
        if not self._is_push_scheduled and self._replica.exchange.has_delta:
            self._is_push_scheduled = True
            self._effects.set_timer(
                now_ms + self._config.push_delay_ms, AntiEntropyTimer.PUSH
            )

    def on_timer(self, now_ms: float, timer: AntiEntropyTimer) -> None:
        """Handle an expired timer."""
        if timer is AntiEntropyTimer.PUSH:
            self._is_push_scheduled = False
            self._push()
            return
        interval_factor = self._rng.uniform(MIN_INTERVAL_FACTOR, MAX_INTERVAL_FACTOR)
        self._effects.set_timer(
            now_ms + self._config.request_interval_ms * interval_factor,
            AntiEntropyTimer.REQUEST,
        )
        self.send_request(now_ms)
        self._replica.tombstones.collect(self._collection_members())

    def send_request(self, now_ms: float, member: str | None = None) -> None:
        """Ask a member, by default a random one, for changes missing here.

        Sends nothing while an earlier request is outstanding.
        """
        other_members = self._other_members()
        is_awaiting_reply = (
            self._pending is not None and now_ms < self._pending.deadline_ms
        )
        if is_awaiting_reply or not other_members:
            return
        self._last_request_id += 1
        member = member or self._rng.choice(other_members)
        deadline_ms = now_ms + self._config.reply_timeout_ms
        self._pending = PendingRequest(self._last_request_id, member, deadline_ms)
        request = RequestMessage(self._last_request_id, self._replica.version_vector)
        self._effects.send(member, request)

    def on_message(self, now_ms: float, member: str, message: Message) -> None:
        """Handle a message from a member.

        Raises:
            ValueError: an entry of the message is malformed; the entries before it have
                been merged.
        """
        if isinstance(message, PushMessage):
            self._on_push(now_ms, message)
        elif isinstance(message, RequestMessage):
            self._on_request(member, message)
        else:
            self._on_reply(now_ms, member, message)

    def _other_members(self) -> list[str]:
        return [name for name in self._live_members() if name != self._replica.instance]

    def _push(self) -> None:
        if not self._replica.exchange.has_delta:
            return
        delta = self._replica.exchange.take_delta()
        message = PushMessage(
            self._replica.replica_id, self._replica.version_vector, delta
        )
        for member in self._other_members():
            self._effects.send(member, message)

    def _on_push(self, now_ms: float, message: PushMessage) -> None:
        if not self._replica.tombstones.needs_full_state(message.version_vector):
            self._replica.exchange.apply_push(message.replica_id, message.delta, now_ms)

    def _on_request(self, member: str, message: RequestMessage) -> None:
        reply = self._replica.exchange.reply_to(member, message.version_vector)
        for part_index, rows in enumerate(reply.parts):
            self._effects.send(
                member,
                ReplyMessage(
                    message.request_id, part_index, len(reply.parts), reply.header, rows
                ),
            )

    def _on_reply(self, now_ms: float, member: str, message: ReplyMessage) -> None:
        pending = self._pending
        if pending is None:
            return
        if (pending.request_id, pending.member) != (message.request_id, member):
            return
        if (
            not 0
            <= message.part_index
            < message.part_count
            <= self._config.max_reply_parts
        ):
            return
        pending.parts[message.part_index] = message.rows
        if len(pending.parts) == message.part_count:
            self._pending = None
            rows = [
                row
                for part_index in range(message.part_count)
                for row in pending.parts[part_index]
            ]
            self._replica.exchange.apply_reply(message.header, rows, now_ms)
            self._replica.tombstones.record_peer_vector(
                member, message.header.version_vector
            )
