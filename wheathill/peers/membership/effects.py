"""What membership asks of the instance that runs it."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.messages import Message


class ProbePurpose(Enum):
    """Why a fallback probe is made, which decides what follows from its result."""

    # A member did not answer a probe, or is suspected by others.
    BEFORE_SUSPICION = auto()
    # The suspicion of a member is about to end in its death.
    BEFORE_DEATH = auto()
    # Others declared a member dead that was seen here a moment ago.
    DEATH_REPORT = auto()
    # A member counts as dead, but nobody observed its death: it may be partitioned.
    KNOWN_DEATH = auto()
    # Another process claims a member's name.
    NAME_CLAIM = auto()


class ProbeResult(Enum):
    """What a fallback probe found."""

    REACHABLE = auto()
    # The host is there and no process listens at the address: the process is dead.
    REFUSED = auto()
    NO_ANSWER = auto()


@dataclass(slots=True, frozen=True)
class FallbackProbe:
    """A probe over TCP, as memberlist's fallback ping.

    It finds whether a process listens at the member's address.
    """

    name: str
    generation: int
    address: str
    timeout_ms: float
    purpose: ProbePurpose


@dataclass(slots=True, frozen=True)
class ProbeTimer:
    """Ends the probe under way and begins the next."""


@dataclass(slots=True, frozen=True)
class ProbeTimeoutTimer:
    """The answer to a ping is late."""


@dataclass(slots=True, frozen=True)
class NackTimer:
    """The answer to a ping that was made for another instance is late."""

    sequence: int


@dataclass(slots=True, frozen=True)
class SuspicionTimer:
    """The suspicion of some member may end."""


@dataclass(slots=True, frozen=True)
class DeathCheckTimer:
    """Checks whether a member that counts as dead is."""

    name: str
    generation: int


@dataclass(slots=True, frozen=True)
class JoinTimer:
    """Tries the seeds again."""


@dataclass(slots=True, frozen=True)
class SyncTimer:
    """Exchanges states with a member at random."""


Timer = (
    ProbeTimer
    | ProbeTimeoutTimer
    | NackTimer
    | SuspicionTimer
    | DeathCheckTimer
    | JoinTimer
    | SyncTimer
)


class MembershipEffects(Protocol):
    """Carries out what membership decides."""

    def send(self, address: str | None, message: Message) -> None:
        """Send `message`, which may be lost.

        `address` is None in answer to a message that came over a stream.
        """

    def start_fallback_probe(self, probe: FallbackProbe) -> None:
        """Probe, and give the result to `Membership.on_fallback_probe_result`."""

    def set_timer(self, at_ms: float, timer: Timer) -> None:
        """Give `timer` to `Membership.on_timer` at that time."""

    def member_changed(
        self, member: Member, previous_state: MemberState | None
    ) -> None:
        """Take note that a member is new, or has another state or process.

        A new member has no previous state.
        """

    def log(self, text: str) -> None:
        """Write a line to the log."""
