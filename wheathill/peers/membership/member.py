"""One instance's record of a cluster member."""

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum


class MemberState(StrEnum):
    """State of a member as seen by one instance; the values are used on the wire."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


_ACTIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(slots=True, eq=False)
class Member:
    """A process that runs under a member's name, as this instance knows it.

    Attributes:
        name: Name that is unique within the cluster.
        address: "HOST:PORT" of its datagram and stream sockets.
        incarnation: Orders the updates about one process (SWIM). Only the process
            itself or an operator raises it.
        generation: Distinguishes processes of the same name. Generations have no order
            in time.
        state: Current state as seen by this instance.
        state_since_ms: When it entered this state, or when its suspicion was last
            restarted.
        last_seen_ms: When a message sent by it was last received.
        suspected_by: Names of the members that suspect it independently.
        suspicion_deadline_ms: When a suspect is declared dead.
        suspicion_restarted_ms: When its suspicion was last restarted, None if never.
        unconfirmed_since_ms: When it was found unresponsive, while a fallback probe is
            pending.
        final_check_since_ms: When the fallback probe before its declaration as dead
            started, while that is pending.
        reported_dead_incarnation: The incarnation that others declared dead, while
            this instance verifies the report; else -1.
        is_death_confirmed: Whether its death was observed: its host refuses connections
            to its address.
        claimed_by_generation: Generation of the last other process that claimed its
            name.
    """

    name: str
    address: str
    incarnation: int
    generation: int
    state: MemberState
    state_since_ms: float
    last_seen_ms: float = field(init=False)
    suspected_by: tuple[str, ...] = ()
    suspicion_deadline_ms: float | None = None
    suspicion_restarted_ms: float | None = None
    unconfirmed_since_ms: float | None = None
    final_check_since_ms: float | None = None
    reported_dead_incarnation: int = -1
    is_death_confirmed: bool = False
    claimed_by_generation: int | None = None

    def __post_init__(self) -> None:
        self.last_seen_ms = self.state_since_ms

    @property
    def is_active(self) -> bool:
        """Whether the member counts as running, which includes suspects."""
        return self.state in _ACTIVE_STATES

    def digest(self) -> int:
        """Return a 48-bit digest of the member's state as seen by this instance."""
        fields = [
            self.state.value,
            self.name,
            self.address,
            self.incarnation,
            self.generation,
        ]
        # Other instances compute the digest from the same text, so it must not change.
        return int.from_bytes(
            hashlib.blake2b(repr(fields).encode(), digest_size=6).digest(), "big"
        )
