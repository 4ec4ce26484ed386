"""What goes over from one process of a proxy to the next, as typed records.

The records belong to neither the wire (the codecs' part) nor the decisions (the part of
`snapshot` and `restore`), so that names of either may change without the other's. All
times are milliseconds of the machine's monotonic clock, which both processes read.
Servers are referred to by their index in `HandoverSnapshot.servers`.
"""

from dataclasses import dataclass

from wheathill.model import Phase


@dataclass(slots=True)
class ServerRecord:
    """What one process knows of a server.

    A time of minus infinity stands for "never"; `started_at_ms` of None for "long ago".
    """

    name: str
    address: tuple[str, int] | None
    zone: int
    cell: int
    phase: Phase
    listed_phase: Phase
    unanswered_probes: int
    is_removal_unconfirmed: bool  # its list says gone, which alone does not bind
    load_samples: list[tuple[float, float]]  # (time, load figure)
    recent_results: list[tuple[float, bool]]  # (time, whether it went well)
    attempt_times_ms: list[float]
    started_ms: float | None
    leaving_since_ms: float
    last_late_message_ms: float
    last_received_ms: float
    next_shift_ms: float
    next_migration_ms: float
    last_probe_ms: float
    weight: float


@dataclass(slots=True)
class SlotTableRecord:
    """Each slot's server in the three tables, and the slots in transition."""

    preferred_servers: list[int | None]
    current: list[int | None]
    new: list[int | None]
    transition_started_ms: dict[int, float]  # by slot


@dataclass(slots=True)
class KeyRouteRecord:
    """A key that is led to a server past the slot table."""

    key: str
    server_index: int
    since_ms: float


@dataclass(slots=True)
class AttemptRecord:
    """One of the last attempts to set up a session, at any server."""

    at_ms: float
    server_index: int
    succeeded: bool


@dataclass(slots=True)
class RetryRecord:
    """One retry that the retry budget still counts."""

    at_ms: float
    priority_weight: float


@dataclass(slots=True)
class PolicyRecord:
    """What the decisions know that belongs to no single server or slot."""

    list_version: int
    discovery_address: object  # only compared: versions count at one address
    maintenance_since_ms: dict[str, float]  # by server name
    maintenance_ended_ms: dict[str, tuple[float, float]]  # name -> (since, until)
    capacity_estimate: float  # sessions of this proxy that a warm server bears
    probe_credit: float
    concurrency_limit: float
    limit_reduced_ms: float
    next_admission_ms: float
    retries: list[RetryRecord]
    attempts: list[AttemptRecord]


@dataclass(slots=True)
class HandoverSnapshot:
    """The whole state of a proxy but its sessions."""

    servers: list[ServerRecord]
    slots: SlotTableRecord
    moved_keys: list[KeyRouteRecord]
    exception_keys: list[KeyRouteRecord]
    session_ids: list[str]  # oldest first
    server_names: list[str]  # of all that were ever listed, longest unlisted first
    policy: PolicyRecord


@dataclass(slots=True)
class SessionRecord:
    """A session that is up, with no byte waiting on either side."""

    open_line: bytes  # of its client
    listener_name: str
    key: str
    tenant: int
    group: str | None
    load: float | None
    is_mid_flow: bool
    is_returning: bool
    is_client_retry: bool
    accepted_ms: float
    connected_ms: float  # its client's line came
    unanswered_since_ms: float | None  # a line that its server has not answered
    server_name: str
    partial_line: bytes  # of an unfinished line to the client
