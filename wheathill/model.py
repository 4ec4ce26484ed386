"""Domain types: servers, sessions, attempts, listeners, their outcomes, and timers.

Unless a field says otherwise, times are fractional milliseconds of the monotonic clock.
Objects refer to each other directly. Identifiers of a wire protocol stay in the adapter
that reads it, except `Server.name`, which the slot table hashes.
"""

import enum
import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol, TypeVar

# Time that one poll may occupy an endpoint list service shared by all proxies, in ms.
# The proxies spread their polls over this time multiplied by their number.
ENDPOINT_LIST_CALL_MS = 40.0
# Maximum interval between two polls of the endpoint list, in ms. Two polls have to fit
# into the 6 s within which every proxy must know of a change.
MAX_LIST_POLL_INTERVAL_MS = 2750.0


T = TypeVar("T")


class Idempotency(enum.Enum):
    """Whether the request of a session may be executed more than once.

    The values are those used in the settings.
    """

    IDEMPOTENT = "repeatable"
    KEYED = "referenced"
    NON_IDEMPOTENT = "once-only"


class Phase(enum.Enum):
    """The lifecycle phase of a server, with the values of the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(enum.Enum):
    """The source of an endpoint list update, and whether the update is complete."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "cached"
    MAINTENANCE = "by hand"
    FAILED = "failed"


class AttemptOutcome(enum.Enum):
    """How an attempt to set up a session, or a session that was set up, ended."""

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
        """Whether the request is known not to have been executed."""
        return self in (
            AttemptOutcome.AT_CAPACITY,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.NEVER_SENT,
        )


@dataclass(eq=False)
class Listener:
    """A class of sessions and its objectives, as defined in the settings.

    Attributes:
        name: the name in the settings and on the wire.
        idempotency: whether its requests may be executed more than once.
        dedup_scope: for a keyed listener, where duplicates are recognised: at "all"
            servers, or within one "zone" or "cell".
        dedup_window_ms: for a keyed listener, how long duplicates are recognised.
        handshake_target_ms: the latency objective of a session's set-up.
        dial_timeout_ms: the time within which a session gets its final answer.
        message_target_ms: the latency objective of a message.
        priority_weight: the value of one served session, relative to other listeners.
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
    """A list that keeps only the `capacity` items appended last.

    Each server has four of them, most of them empty. An empty deque takes 0.6 KB, which
    would account for most of a proxy's memory with thousands of servers.
    """

    __slots__ = ("capacity",)

    def __init__(self, capacity: int) -> None:
        super().__init__()
        self.capacity = capacity

    def append(self, item: T) -> None:
        """Append an item, and drop the oldest one if the history is full."""
        super().append(item)
        del self[: -self.capacity]

    def extend(self, items: Iterable[T]) -> None:
        """Append items in order, and drop the oldest ones beyond the capacity."""
        super().extend(items)
        del self[: -self.capacity]


@dataclass(eq=False, slots=True)
class Server:
    """A server of the endpoint list, and the state that this proxy keeps for it.

    Attributes:
        name: the name on the endpoint list.
        zone: the index of its zone.
        cell: the index of its cell within the zone.
        weight: its registered size, relative to other servers.
        started_ms: when its process started; None means long ago.
        phase: the phase used by this proxy: the listed one, or DRAINING while the
            server is in maintenance.
        listed_phase: the phase stated by the endpoint list.
        is_removal_unconfirmed: whether the list no longer has it where that alone does
            not remove it; it is removed once it also fails to answer.
        leaving_since_ms: when this proxy learned that it is draining or gone.
        hash_draws: pseudo-random numbers derived from its name, see
            `slot_claims.hash_draws`.
        effective_weight: the weight of its claims in the slot table.
        load_samples: the last reported (time, load) pairs.
        probe_sent_ms: when the probe in flight was sent, or None.
        probe_latencies: the last (time, probe latency in ms) pairs.
        last_probe_ms: when the last probe was sent.
        unanswered_probes: probes without an answer since the last answered one.
        recent_results: the last (time, succeeded) pairs, from attempts, resets and
            peers.
        attempt_times_ms: when the last attempts were made.
        warmup_attempt_times_ms: when the attempts of the last slow start window were
            made.
        last_late_message_ms: when a message to it last missed its latency objective.
        report_correction: the factor that its load reports are multiplied by.
        last_received_ms: when data was last received from it.
        unanswered_session: the session whose message was last found unanswered, or
            None once data was received.
        next_shift_ms: no slots are shifted off it before this time.
        next_migration_ms: no sessions are migrated off it before this time.
        sessions: its open sessions, in order of arrival.
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
    """The state of one server in an endpoint list update.

    Attributes:
        server: the server.
        phase: its listed phase.
        weight: its listed weight, or None.
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
        server: the server.
        sent_ms: when the attempt was made.
        may_have_executed: False once the request is known not to have been executed.
    """

    server: Server
    sent_ms: float
    may_have_executed: bool = True


@dataclass(eq=False, slots=True, weakref_slot=True)
class Session:
    """A client's session, from its request to its end.

    Attributes:
        listener: its listener.
        key: the key that is hashed to a slot.
        deadline_ms: when its final answer is due.
        tenant: the index of its tenant.
        group: the name of a group of sessions that share work at a server, or None.
        load: the load declared by its client, or None.
        mid_flow: whether it is already set up, and its packets were routed through
            another proxy before.
        returning: whether its client reconnects after an interruption or a migration.
        is_client_retry: whether its client has tried before.
        slot: the slot of its key.
        server: the server of its last attempt, or the one that accepted it.
        attempts: all attempts so far, oldest first.
        candidates: the servers that may be selected next.
        unhealthy_candidate: a candidate that is an outlier, used if no healthy one is
            found.
        slow_path_candidate: a candidate with capacity on a slow network path.
        preferred_server: the first of its candidates that is healthy and not on a slow
            network path.
        candidates_considered: how many such candidates were considered.
        found_full_server: whether a healthy candidate had no capacity for it.
        probes_requested: how many probes were requested for it.
        accepted_ms: when a server accepted it, or None.
        migration_requested: whether its client was to be asked to reconnect. That may
            take effect only once its server has completed a line.
        has_ended: whether its final answer was given or its client has left.
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
    slow_path_candidate: Server | None = None
    preferred_server: Server | None = None
    candidates_considered: int = 0
    found_full_server: bool = False
    probes_requested: int = 0
    accepted_ms: float | None = None
    migration_requested: bool = False
    has_ended: bool = False


class TimerKind(enum.Enum):
    """The purpose of a timer."""

    POLL_ENDPOINT_LIST = enum.auto()
    TICK = enum.auto()
    PROBE = enum.auto()
    PROBE_WAIT = enum.auto()


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer set by the balancer, and passed back to it when it fires.

    Attributes:
        kind: its purpose.
        selection_number: for a PROBE_WAIT, the number of the selection that waits.
    """

    kind: TimerKind
    selection_number: int = 0


POLL_TIMER = Timer(TimerKind.POLL_ENDPOINT_LIST)
TICK_TIMER = Timer(TimerKind.TICK)
PROBE_TIMER = Timer(TimerKind.PROBE)


class SessionEffects(Protocol):
    """The effects of decisions, carried out by a proxy or the simulator adapter."""

    def start_attempt(
        self, session: Session, server: Server, timeout_ms: float
    ) -> None:
        """Make an attempt at a server, which must accept the session in time."""

    def reject(self, session: Session, retry_after_ms: float) -> None:
        """Reject the session, with a promise of no effect; its client may retry."""

    def fail(self, session: Session) -> None:
        """Fail the session, whose request may have been executed."""

    def migrate(self, session: Session) -> None:
        """Ask the client to reconnect, so that another server takes the session."""

    def send_probe(self, server: Server) -> None:
        """Send a probe to a server."""

    def poll_endpoint_list(self, enabled: bool) -> None:
        """Poll the endpoint list and then watch it, where `enabled`."""

    def set_timer(self, timer: Timer, at_ms: float) -> None:
        """Call `Balancer.on_timer` with the timer at the given time."""

    def log(self, text: str) -> None:
        """Log a decision for operators."""
