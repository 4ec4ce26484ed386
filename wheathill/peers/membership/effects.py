"""What membership asks of the instance that runs it: messages, fallback probes, timers and notifications."""

from dataclasses import dataclass
from enum import Enum, StrEnum, auto
from typing import Protocol

from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.messages import Message


class ProbePurpose(Enum):
    """Why a fallback probe is made, which decides what follows from its result."""

    BEFORE_SUSPICION = auto()
    """A member did not answer a probe, or is suspected by others."""
    BEFORE_DEATH = auto()
    """The suspicion of a member is about to end in its death."""
    DEATH_REPORT = auto()
    """Others declared a member dead that was seen here a moment ago."""
    KNOWN_DEATH = auto()
    """A member counts as dead, but nobody observed its death: it may only be partitioned."""
    NAME_CLAIM = auto()
    """Another process claims a member's name."""


class ProbeResult(StrEnum):
    """What a fallback probe found. The values are those of the transport."""

    REACHABLE = "up"
    REFUSED = "refused"
    """The host is there and no process listens at the address: the process is dead."""
    NO_ANSWER = "nothing"


@dataclass(slots=True, frozen=True)
class FallbackProbe:
    """A probe over TCP (memberlist's fallback ping): whether a process listens at the member's address."""

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
    """Carries out what membership decides. None of these may call membership back before it returns."""

    def send(self, address: str | None, message: Message) -> None:
        """Send `message`; it may be lost. Without an address it is."""

    def start_fallback_probe(self, probe: FallbackProbe) -> None:
        """Probe, and give the result to `Membership.on_fallback_probe_result`."""

    def set_timer(self, at_ms: float, timer: Timer) -> None:
        """Give `timer` to `Membership.on_timer` at that time."""

    def member_changed(
        self, member: Member, previous_state: MemberState | None
    ) -> None:
        """Take note of a change of state or process; without a previous state the member is new."""

    def log(self, text: str) -> None:
        """Write a line to the log."""
