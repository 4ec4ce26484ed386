"""Typed records of what one process of a proxy hands over to the next.

The records are independent of the wire format, which the codecs define, and of the
proxy's own classes, which `snapshot` and `restore` access: names on either side can
change without the other. All times are milliseconds of the machine's monotonic clock,
which both processes read. Servers are referenced by their index in
`HandoverSnapshot.servers`.
"""

from dataclasses import dataclass, field

from wheathill.model import Phase


@dataclass(slots=True)
class ServerRecord:
    """The state that one process keeps for a server.

    A time of minus infinity means never; a `started_ms` of None means long ago. All
    fields but `address` are those of `model.Server`, where they are described.
    """

    name: str
    address: tuple[str, int] | None
    zone: int
    cell: int
    phase: Phase
    listed_phase: Phase
    unanswered_probes: int
    is_removal_unconfirmed: bool
    load_samples: list[tuple[float, float]]  # (time, load)
    recent_results: list[tuple[float, bool]]  # (time, succeeded)
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
    """The server of each slot in the three tables, and the slots in transition."""

    preferred_servers: list[int | None]
    current: list[int | None]
    new: list[int | None]
    transition_started_ms: dict[int, float]  # by slot


@dataclass(slots=True)
class KeyRouteRecord:
    """A key that is routed to a server other than that of its slot."""

    key: str
    server_index: int
    since_ms: float


@dataclass(slots=True)
class AttemptRecord:
    """A recent attempt to set up a session at any server."""

    at_ms: float
    server_index: int
    succeeded: bool


@dataclass(slots=True)
class RetryRecord:
    """A retry that still counts against the retry budget."""

    at_ms: float
    priority_weight: float


@dataclass(slots=True)
class PolicyRecord:
    """State of the policy that belongs to no single server or slot."""

    list_version: int
    discovery_address: object  # only compared; each address counts its own versions
    maintenance_since_ms: dict[str, float]  # by server name
    maintenance_ended_ms: dict[str, tuple[float, float]]  # name -> (started, ended)
    capacity_estimate: float  # sessions of this proxy that a warm server can take
    probe_credit: float
    concurrency_limit: float
    limit_reduced_ms: float
    next_admission_ms: float
    retries: list[RetryRecord]
    attempts: list[AttemptRecord]


@dataclass(slots=True)
class ListedStateRecord:
    """What the lists have last said of a server, see `net.listed_state.ListedState`."""

    version: int | None
    started_ms: float | None
    has_left: bool


@dataclass(slots=True)
class HandoverSnapshot:
    """The whole state of a proxy except its sessions."""

    servers: list[ServerRecord]
    slots: SlotTableRecord
    moved_keys: list[KeyRouteRecord]
    exception_keys: list[KeyRouteRecord]
    session_ids: list[str]  # oldest first
    server_names: list[str]  # all that were ever listed; longest unlisted first
    policy: PolicyRecord
    shares_session_ids: bool = False  # whether the sender understands SessionIdsUsed
    listed_states: dict[str, ListedStateRecord] = field(default_factory=dict)  # by name


@dataclass(slots=True)
class SessionRecord:
    """An open session without any buffered bytes in either direction."""

    open_line: bytes  # the OPEN line of the client
    listener_name: str
    key: str
    tenant: int
    group: str | None
    load: float | None
    is_mid_flow: bool
    is_returning: bool
    is_client_retry: bool
    accepted_ms: float
    connected_ms: float  # when the client's connection was accepted
    unanswered_since_ms: float | None  # when the oldest unanswered line was sent
    server_name: str
    partial_line: bytes  # start of an incomplete line from the server to the client
