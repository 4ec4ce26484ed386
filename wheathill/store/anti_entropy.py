"""Anti-entropy between replicas, without I/O.

Changes are pushed as they are made, and every so often one member is asked for what is
missing here. A message that is lost, duplicated, late or out of order costs time, never
a difference that stays.
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

# Shares of the interval between which the next request is drawn, so that members don't
# ask in step.
MIN_INTERVAL_SHARE = 0.75
MAX_INTERVAL_SHARE = 1.25


class AntiEntropyTimer(StrEnum):
    """Timers of the protocol."""

    PUSH = "push"
    REQUEST = "request"


class AntiEntropyEffects(Protocol):
    """What the protocol needs of its surroundings."""

    def send(self, member: str, message: Message) -> None:
        """Encode and send a message, which may get lost.

        It is to be encoded before the call returns, as it refers to the replica's own
        version vector.
        """

    def set_timer(self, at_ms: float, timer: AntiEntropyTimer) -> None:
        """Call `AntiEntropy.on_timer` at that time."""


@dataclass(frozen=True, slots=True)
class AntiEntropyConfig:
    """Settings of the protocol.

    Attributes:
        request_interval_ms: mean time between two requests.
        push_delay_ms: how long a local change waits for others to be pushed with it.
        reply_timeout_ms: time for all parts of a reply to arrive.
        max_reply_parts: replies of more parts are dropped.
    """

    request_interval_ms: float
    push_delay_ms: float
    reply_timeout_ms: float
    max_reply_parts: int = 4096


@dataclass(slots=True)
class PendingRequest:
    """The request whose reply is awaited.

    Attributes:
        number: number of the request.
        member: member that was asked.
        deadline_ms: time at which another request may be sent.
        parts: index -> entries of the parts that have arrived.
    """

    number: int
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
        """Make the protocol machine of a replica.

        Args:
            effects: sends messages and sets timers.
            rng: draws intervals and members.
            replica: the replica that is kept in step.
            config: intervals and limits.
            live_members: names of the members that are reachable.
            collection_members: names of the members that must have seen a tombstone
                before it is dropped.
        """
        self._effects = effects
        self._rng = rng
        self._replica = replica
        self._config = config
        self._live_members = live_members
        self._collection_members = collection_members
        self._request_count = 0
        self._pending: PendingRequest | None = None
        self._is_push_due = False

    def start(self, now_ms: float) -> None:
        """Set the timer of the first request."""
        delay_ms = self._rng.uniform(0.0, self._config.request_interval_ms)
        self._effects.set_timer(now_ms + delay_ms, AntiEntropyTimer.REQUEST)

    def schedule_push(self, now_ms: float) -> None:
        """Set the timer of a push after local changes."""
        if not self._is_push_due and self._replica.exchange.has_delta:
            self._is_push_due = True
            self._effects.set_timer(
                now_ms + self._config.push_delay_ms, AntiEntropyTimer.PUSH
            )

    def on_timer(self, now_ms: float, timer: AntiEntropyTimer) -> None:
        """Act on a timer that has expired."""
        if timer is AntiEntropyTimer.PUSH:
            self._is_push_due = False
            self._push()
            return
        share = self._rng.uniform(MIN_INTERVAL_SHARE, MAX_INTERVAL_SHARE)
        self._effects.set_timer(
            now_ms + self._config.request_interval_ms * share, AntiEntropyTimer.REQUEST
        )
        self.send_request(now_ms)
        self._replica.tombstones.collect(self._collection_members())

    def send_request(self, now_ms: float, member: str | None = None) -> None:
        """Ask a member, by default a random one, for what is missing here.

        Nothing is sent while the reply to an earlier request is awaited.
        """
        others = self._other_members()
        is_awaiting_reply = (
            self._pending is not None and now_ms < self._pending.deadline_ms
        )
        if is_awaiting_reply or not others:
            return
        self._request_count += 1
        member = member or self._rng.choice(others)
        deadline_ms = now_ms + self._config.reply_timeout_ms
        self._pending = PendingRequest(self._request_count, member, deadline_ms)
        request = RequestMessage(self._request_count, self._replica.version_vector)
        self._effects.send(member, request)

    def on_message(self, now_ms: float, member: str, message: Message) -> None:
        """Act on a message of a member.

        Raises:
            ValueError: an entry of the message is malformed; those before it are
                merged.
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
        if not self._replica.tombstones.is_behind(message.version_vector):
            self._replica.exchange.apply_push(message.replica_id, message.delta, now_ms)

    def _on_request(self, member: str, message: RequestMessage) -> None:
        reply = self._replica.exchange.reply_to(member, message.version_vector)
        for part, rows in enumerate(reply.parts):
            self._effects.send(
                member,
                ReplyMessage(
                    message.number, part, len(reply.parts), reply.header, rows
                ),
            )

    def _on_reply(self, now_ms: float, member: str, message: ReplyMessage) -> None:
        pending = self._pending
        if pending is None:
            return
        if (pending.number, pending.member) != (message.number, member):
            return
        if not 0 <= message.part < message.part_count <= self._config.max_reply_parts:
            return
        pending.parts[message.part] = message.rows
        if len(pending.parts) == message.part_count:
            self._pending = None
            rows = [
                row for part in range(message.part_count) for row in pending.parts[part]
            ]
            self._replica.exchange.apply_reply(message.header, rows, now_ms)
            self._replica.tombstones.record_peer_vector(
                member, message.header.version_vector
            )
