"""The domain's types: servers, sessions, attempts, listeners, and what became of them.

All times are milliseconds of the monotonic clock with fractions, unless a field says
otherwise. Objects refer to each other directly; the identifiers of any wire stay with
the adapter that reads it, except `Server.name`, which the slot table hashes.
"""

import enum
import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol, TypeVar

# How long one call may occupy a list service that all proxies poll, in ms. The proxies
# spread their polls over this time multiplied by their number.
ENDPOINT_LIST_CALL_MS = 40.0
# The longest pause between two polls of the endpoint list, in ms: two polls have to fit
# into the 6 s after which a change counts as known.
MAX_LIST_POLL_INTERVAL_MS = 2750.0


T = TypeVar("T")


class Idempotency(enum.Enum):
    """What a second execution of one session's request would do.

    The values are those of the settings.
    """

    IDEMPOTENT = "repeatable"
    KEYED = "referenced"
    NON_IDEMPOTENT = "once-only"


class Phase(enum.Enum):
    """The life cycle phase of a server, as the endpoint list states it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(enum.Enum):
    """Where an update of the endpoint list comes from, and whether it is complete."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "cached"
    MAINTENANCE = "by hand"
    FAILED = "failed"


class AttemptOutcome(enum.Enum):
    """How an attempt to set up a session at a server ended, or a placed session."""

    COMPLETED = "completed"
    ERROR = "error"
    AT_CAPACITY = "full"
    TIMED_OUT = "overdue"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"

    @property
    def never_executed(self) -> bool:
        """Whether the server is known not to have executed the request."""
        return self in (
            AttemptOutcome.AT_CAPACITY,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.NEVER_SENT,
        )


@dataclass(eq=False)
class Listener:
    """A class of sessions with its objectives, as the settings define it.

    Attributes:
        name: the name in the settings and on the wire.
        idempotency: what a repeated execution of its requests would do.
        dedup_scope: of a keyed listener, where duplicates are recognised: at "all"
            servers, or within one "zone" or "cell".
        dedup_window_ms: of a keyed listener, for how long duplicates are recognised.
        handshake_target_ms: the latency objective of a set-up.
        dial_timeout_ms: the time within which a session gets its final answer.
        message_target_ms: the latency objective of a message.
        priority_weight: what one served session is worth, relative to others.
    """

    name: str
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: str = "all"
    dedup_window_ms: float = 0.0
    handshake_target_ms: float = 500.0
    dial_timeout_ms: float = 2000.0
    message_target_ms: float = 100.0
    priority_weight: float = 1.0


class BoundedHistory(list[T]):
    """A list that keeps the most recent `capacity` items that were appended.

    There are four of them for each server, and most are empty. An empty deque takes
    0.6 KB, which would be most of a proxy's memory where thousands of servers are
    listed.
    """

    __slots__ = ("capacity",)

    def __init__(self, capacity: int) -> None:
        super().__init__()
        self.capacity = capacity

    def append(self, item: T) -> None:
        """Add an item, and drop the oldest one where the history is full."""
        super().append(item)
        del self[: -self.capacity]

    def extend(self, items: Iterable[T]) -> None:
        """Add items in order, and drop the oldest ones past the capacity."""
        super().extend(items)
        del self[: -self.capacity]


@dataclass(eq=False, slots=True)
class Server:
    """A server on the endpoint list, with what this proxy knows of it.

    Attributes:
        name: the name on the list.
        zone: the index of its zone.
        cell: the index of its cell within the zone.
        weight: its registered size, relative to other servers.
        started_ms: when its process started; None means long ago.
        phase: the phase that is in force here: the listed one, or DRAINING while the
            server is in maintenance.
        listed_phase: the phase that the endpoint list states.
        is_removal_unconfirmed: the list calls it gone, which does not bind by itself;
            one more sign of failure, and it is removed.
        leaving_since_ms: when this proxy was notified that it drains or is gone.
        hash_draws: pseudo-random numbers from its name, see `slot_table.hash_draws`.
        effective_weight: what a draw of it counts for in the slot table.
        load_samples: the last (time, load) pairs that were reported.
        probe_sent_ms: when the probe that is in flight was sent, else None.
        probe_latencies: the last (time, ms until a probe was answered) pairs.
        last_probe_ms: when the last probe was sent.
        unanswered_probes: probes without an answer since the last answered one.
        recent_results: the last (time, succeeded) pairs of attempts and probes.
        attempt_times_ms: when the last attempts were made.
        warmup_attempt_times_ms: when attempts of the last window were made while it
            was warming up.
        last_late_message_ms: when a message there last missed its latency objective.
        report_correction: the factor by which its load reports are corrected.
        last_received_ms: when anything was last received from it.
        unanswered_session: a session with a line that waits for its answer.
        next_shift_ms: no slots are shifted off it before this time.
        next_migration_ms: no sessions are migrated off it before this time.
        sessions: the sessions that are open there, in order of arrival.
    """

    name: str
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    started_ms: float | None = None
    phase: Phase = Phase.READY
    listed_phase: Phase = Phase.READY
    is_removal_unconfirmed: bool = False
    leaving_since_ms: float = 0.0
    hash_draws: Sequence[int] = ()
    effective_weight: float = 1.0
    load_samples: BoundedHistory[tuple[float, float]] = field(
        default_factory=partial(BoundedHistory, 2),
    )
    probe_sent_ms: float | None = None
    probe_latencies: BoundedHistory[tuple[float, float]] = field(
        default_factory=partial(BoundedHistory, 2),
    )
    last_probe_ms: float = -math.inf
    unanswered_probes: int = 0
    recent_results: BoundedHistory[tuple[float, bool]] = field(
        default_factory=partial(BoundedHistory, 8),
    )
    attempt_times_ms: BoundedHistory[float] = field(
        default_factory=partial(BoundedHistory, 128),
    )
    warmup_attempt_times_ms: list[float] = field(default_factory=list)
    last_late_message_ms: float = -math.inf
    report_correction: float = 1.0
    last_received_ms: float = -math.inf
    unanswered_session: "Session | None" = None
    next_shift_ms: float = 0.0
    next_migration_ms: float = 0.0
    sessions: "dict[Session, None]" = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """What an update of the endpoint list states of one server.

    Attributes:
        server: the server.
        phase: the phase that is stated.
        weight: the stated weight, None where there is none.
        started_ms: when its process started; None means long ago.
    """

    server: Server
    phase: Phase
    weight: float | None
    started_ms: float | None


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to set up a session at a server.

    Attributes:
        server: where it goes.
        sent_ms: when it was decided.
        may_have_executed: False once the request is known not to have been executed.
    """

    server: Server
    sent_ms: float
    may_have_executed: bool = True


@dataclass(eq=False, slots=True, weakref_slot=True)
class Session:
    """A client's session, from its request to its end.

    Attributes:
        listener: its class.
        key: the key that is hashed to a slot.
        deadline_ms: by when it must have its final answer.
        tenant: the index of its tenant.
        group: the name of a group of sessions that share work at a server, or None.
        load: the load that its client declared, or None.
        mid_flow: it is set up already, and its packets came to this proxy from
            another one.
        returning: its client comes back after a break or a migration.
        is_client_retry: its client tried before.
        slot: the slot of its key.
        server: the server of the attempt that is in flight or was accepted.
        attempts: all attempts so far, oldest first.
        candidates: the servers that may be selected next.
        unhealthy_candidate: a candidate that is an outlier, to be used where no
            healthy one was found.
        distant_candidate: a candidate with capacity on a slow network path.
        preferred_server: the first healthy one of its candidates.
        candidates_passed: how many healthy candidates were considered.
        met_full_server: a healthy candidate had no capacity for it.
        probes_requested: how many servers were probed for it.
        accepted_ms: when a server accepted it, or None.
        has_ended: its final answer was given, or its client has left.
    """

    listener: Listener
    key: str
    deadline_ms: float
    tenant: int = 0
    group: str | None = None
    load: float | None = None
    mid_flow: bool = False
    returning: bool = False
    is_client_retry: bool = False
    slot: int = 0
    server: Server | None = None
    attempts: list[Attempt] = field(default_factory=list)
    candidates: Iterator[Server] | None = None
    unhealthy_candidate: Server | None = None
    distant_candidate: Server | None = None
    preferred_server: Server | None = None
    candidates_passed: int = 0
    met_full_server: bool = False
    probes_requested: int = 0
    accepted_ms: float | None = None
    has_ended: bool = False


class TimerKind(enum.Enum):
    """What the decisions set a timer for."""

    POLL_ENDPOINT_LIST = enum.auto()
    TICK = enum.auto()
    PROBE = enum.auto()
    PROBE_WAIT = enum.auto()


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that the decisions set, and get back when it fires.

    Attributes:
        kind: what it is for.
        selection_number: of a PROBE_WAIT, which selection has waited for long enough.
    """

    kind: TimerKind
    selection_number: int = 0


POLL_TIMER = Timer(TimerKind.POLL_ENDPOINT_LIST)
TICK_TIMER = Timer(TimerKind.TICK)
PROBE_TIMER = Timer(TimerKind.PROBE)


class SessionEffects(Protocol):
    """What the decisions call for, carried out by a proxy or the simulator adapter."""

    def start_attempt(
        self, session: Session, server: Server, timeout_ms: float
    ) -> None:
        """Make an attempt at a server, which has so long to accept the session."""

    def reject(self, session: Session, retry_after_ms: float) -> None:
        """Reject the session: nothing of it was executed; the client may retry."""

    def fail(self, session: Session) -> None:
        """Answer the session as failed: it may have been executed."""

    def migrate(self, session: Session) -> None:
        """Ask the client to reconnect, so that its session migrates."""

    def send_probe(self, server: Server) -> None:
        """Send a health check to a server."""

    def poll_endpoint_list(self, enabled: bool) -> None:
        """Poll the endpoint list, and watch it from then on."""

    def set_timer(self, timer: Timer, at_ms: float) -> None:
        """Call `Balancer.on_timer` with this timer at that time."""

    def log(self, text: str) -> None:
        """Log a decision for operators."""
