"""The members of a cluster as one instance knows them."""

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum


class MemberState(StrEnum):
    """What an instance holds a member to be. The values are those on the wire."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


_ACTIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(slots=True, eq=False)
class Member:
    """One process under a member's name, as this instance knows it.

    Attributes:
        name: Unique within the cluster.
        address: "HOST:PORT" of its datagrams and streams.
        incarnation: Orders the updates about one process (SWIM); only the process
            itself raises it, and an operator.
        generation: Tells apart the processes that run under one name. Generations have
            no order in time.
        state: What this instance holds it to be.
        state_since_ms: When it came into this state, or when its suspicion was last
            restarted.
        last_seen_ms: When a message of its own last arrived.
        suspected_by: Names of the members that suspect it, each independently.
        suspicion_deadline_ms: While suspect: when it is declared dead.
        suspicion_restarted_ms: When its suspicion was last restarted, None if never.
        unconfirmed_since_ms: Since when it has not answered this instance, while a
            fallback probe is under way.
        final_check_since_ms: Since when the fallback probe that precedes its
            declaration as dead is under way.
        reported_dead_incarnation: The incarnation others declared dead while this
            instance verifies that; else -1.
        is_death_confirmed: Whether its death was observed: its host refuses connections
            to its address.
        claimed_by_generation: Generation of the last process that tried to take over
            its name.
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
        """Whether it counts as running: alive, or only suspected."""
        return self.state in _ACTIVE_STATES

    def digest(self) -> int:
        """Return 48 bits of what this instance knows of the member."""
        fields = [
            self.state.value,
            self.name,
            self.address,
            self.incarnation,
            self.generation,
        ]
        # The text of the list is what other instances digest: it must not change.
        return int.from_bytes(
            hashlib.blake2b(repr(fields).encode(), digest_size=6).digest(), "big"
        )
