"""Effects, timers and fallback probes that the membership protocol requests."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.messages import Message


class ProbePurpose(Enum):
    """Why a fallback probe is made; it determines how the result is handled."""

    # The member did not answer a probe, or others suspect it.
    BEFORE_SUSPICION = auto()
    # The member's suspicion timeout is about to expire.
    BEFORE_DEATH = auto()
    # Others declared the member dead, but it was seen here recently.
    DEATH_REPORT = auto()
    # The member counts as dead without confirmation, and may only be partitioned.
    UNCONFIRMED_DEATH = auto()
    # Another process claims the member's name.
    NAME_CLAIM = auto()


class ProbeResult(Enum):
    """Outcome of a fallback probe."""

    REACHABLE = auto()
    # The host answered that nothing listens at the address: the process is dead.
    REFUSED = auto()
    NO_ANSWER = auto()


@dataclass(slots=True, frozen=True)
class FallbackProbe:
    """A TCP probe of whether a process listens at the member's address.

    It corresponds to memberlist's TCP fallback ping.
    """

    name: str
    generation: int
    address: str
    timeout_ms: float
    purpose: ProbePurpose


@dataclass(slots=True, frozen=True)
class ProbeTimer:
    """Ends the current probe and starts the next one."""


@dataclass(slots=True, frozen=True)
class ProbeTimeoutTimer:
    """The ack of the current probe is overdue."""


@dataclass(slots=True, frozen=True)
class NackTimer:
    """The ack of a ping sent on behalf of another instance is overdue."""

    sequence: int


@dataclass(slots=True, frozen=True)
class SuspicionTimer:
    """The final check of a suspect may be due."""


@dataclass(slots=True, frozen=True)
class DeathCheckTimer:
    """Starts a probe to confirm the death of a member that counts as dead."""

    name: str
    generation: int


@dataclass(slots=True, frozen=True)
class JoinTimer:
    """Retries joining through the seeds."""


@dataclass(slots=True, frozen=True)
class SyncTimer:
    """Starts a full state exchange with a random member."""


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
    """Performs the effects that the membership protocol requests."""

    def send(self, address: str | None, message: Message) -> None:
        """Send `message`, which may be lost.

        `address` is None in a reply to a message that was received on a stream.
        """

    def start_fallback_probe(self, probe: FallbackProbe) -> None:
        """Run a probe, and pass its result to `Membership.on_fallback_probe_result`."""

    def set_timer(self, at_ms: float, timer: Timer) -> None:
        """Pass `timer` to `Membership.on_timer` at `at_ms`."""

    def member_changed(
        self, member: Member, previous_state: MemberState | None
    ) -> None:
        """Handle a new member, or a member with a changed state or process.

        `previous_state` is None for a new member.
        """

    def log(self, text: str) -> None:
        """Write a message to the log."""
