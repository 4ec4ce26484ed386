"""Fills a new proxy from the records of another process.

Everything is built and checked before the proxy is changed, so that an invalid state
has no effect.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from wheathill.bounded_name import bounded_name
from wheathill.handover.errors import HandoverError
from wheathill.handover.records import (
    HandoverSnapshot,
    KeyRouteRecord,
    PolicyRecord,
    ServerRecord,
    SessionRecord,
    SlotTableRecord,
)
from wheathill.model import Listener, Phase, Server, Session
from wheathill.net.listed_state import ListedState
from wheathill.net.proxy import Proxy
from wheathill.policy.endpoint_list import MaintenancePeriod
from wheathill.policy.outlier_detection import RecordedAttempt
from wheathill.policy.retry_budget import Retry
from wheathill.policy.slot_table import KeyRoute

KeyRoutes = dict[str, KeyRoute]


@dataclass(slots=True)
class _SlotTables:
    """A slot table record with its server indexes resolved."""

    preferred_servers: list[Server | None]
    current: list[Server | None]
    new: list[Server | None]
    transition_started_ms: dict[int, float]


@dataclass(slots=True)
class RestoredState:
    """The state that a proxy is filled with: its records, with resolved indexes."""

    servers: dict[str, Server]
    addresses: dict[Server, tuple[str, int]]
    ready_servers: dict[Server, None]  # in order of name
    slots: _SlotTables
    moved_keys: KeyRoutes
    exception_keys: KeyRoutes
    attempts: list[RecordedAttempt]
    session_ids: list[str]
    server_names: list[str]
    policy: PolicyRecord
    shares_session_ids: bool
    listed_states: dict[str, ListedState]

    @classmethod
    def build(cls, snapshot: HandoverSnapshot) -> "RestoredState":
        """Build the servers and resolve all references to them.

        Raises:
            HandoverError: if the state is inconsistent.
            IndexError: if an index refers to no server.
        """
        servers = [build_server(record) for record in snapshot.servers]
        servers_by_name = {server.name: server for server in servers}
        if len(servers_by_name) < len(servers):
            raise HandoverError("state contains two servers of the same name")
        addresses = {
            server: record.address
            for server, record in zip(servers, snapshot.servers, strict=True)
            if record.address is not None
        }
        slots = _resolve_slots(snapshot.slots, servers)
        moved_keys = _resolve_key_routes(snapshot.moved_keys, servers)
        exception_keys = _resolve_key_routes(snapshot.exception_keys, servers)
        ready_servers = {
            server: None
            for server in sorted(servers, key=lambda server: server.name)
            if server.phase is Phase.READY
        }
        _check_ready_servers(ready_servers, slots, addresses)
        return cls(
            servers=servers_by_name,
            addresses=addresses,
            ready_servers=ready_servers,
            slots=slots,
            moved_keys=moved_keys,
            exception_keys=exception_keys,
            attempts=_resolve_attempts(snapshot.policy, servers),
            session_ids=snapshot.session_ids,
            server_names=snapshot.server_names,
            policy=snapshot.policy,
            shares_session_ids=snapshot.shares_session_ids,
            listed_states={
                name: ListedState(state.version, state.started_ms, state.has_left)
                for name, state in snapshot.listed_states.items()
            },
        )

    def apply(self, proxy: Proxy) -> None:
        """Fill a new proxy; this raises no exception."""
        proxy.servers.update(self.servers)
        proxy.addresses.update(self.addresses)
        # Builds without bounded names send long ones.
        proxy.session_ids.update(dict.fromkeys(map(bounded_name, self.session_ids)))
        proxy.known_names.update(
            (name, self.listed_states.get(name)) for name in self.server_names
        )
        self._apply_endpoint_list(proxy)
        self._apply_slots(proxy)
        self._apply_estimates(proxy)
        # Each discovery address counts its own versions.
        if self.policy.discovery_address == list(proxy.node.discovery_address or ()):
            proxy.list_version = self.policy.list_version

    def _apply_endpoint_list(self, proxy: Proxy) -> None:
        endpoint_list = proxy.balancer.endpoint_list
        endpoint_list.servers.update(self.ready_servers)
        endpoint_list.listed.update(
            (server, None)
            for server in self.servers.values()
            if server.listed_phase is not Phase.GONE
        )
        endpoint_list.maintenance_since_ms.update(self.policy.maintenance_since_ms)
        endpoint_list.maintenance_ended_ms.update(
            (name, MaintenancePeriod(*period))
            for name, period in self.policy.maintenance_ended_ms.items()
        )

    def _apply_slots(self, proxy: Proxy) -> None:
        table = proxy.balancer.slot_table
        ready, slots = list(self.ready_servers), self.slots
        if len(slots.current) == table.size:
            table.restore(ready, slots.current, slots.new, slots.transition_started_ms)
        else:
            # A build with another number of slots sent it: the table is filled by
            # claims, as for an endpoint list.
            table.restore(ready, None, None, {})
        table.moved_keys = self.moved_keys
        table.exception_keys = self.exception_keys

    def _apply_estimates(self, proxy: Proxy) -> None:
        balancer, policy = proxy.balancer, self.policy
        balancer.load_estimator.capacity_estimate = policy.capacity_estimate
        # Sessions arrive fast during a handover, but load reports already include them,
        # so the estimator must not treat this as a growth that reports lag behind.
        balancer.load_estimator.previous_mean_sessions = policy.capacity_estimate
        balancer.probe_scheduler.credit = policy.probe_credit
        admission = balancer.admission
        admission.concurrency_limit = policy.concurrency_limit
        admission.limit_reduced_ms = policy.limit_reduced_ms
        admission.next_admission_ms = policy.next_admission_ms
        balancer.outlier_detector.recent_attempts.extend(self.attempts)
        balancer.retry_budget.retries.extend(
            Retry(retry.at_ms, retry.priority_weight) for retry in policy.retries
        )


def build_server(record: ServerRecord) -> Server:
    """Return a server with the state of a record."""
    server = Server(
        record.name,
        zone=record.zone,
        cell=record.cell,
        weight=record.weight,
        started_ms=record.started_ms,
        phase=record.phase,
        listed_phase=record.listed_phase,
    )
    server.unanswered_probes = record.unanswered_probes
    server.is_removal_unconfirmed = record.is_removal_unconfirmed
    server.load_samples.extend(record.load_samples)
    server.recent_results.extend(record.recent_results)
    server.attempt_times_ms.extend(record.attempt_times_ms)
    server.leaving_since_ms = record.leaving_since_ms
    server.last_late_message_ms = record.last_late_message_ms
    server.last_received_ms = record.last_received_ms
    server.next_shift_ms = record.next_shift_ms
    server.next_migration_ms = record.next_migration_ms
    server.last_probe_ms = record.last_probe_ms
    return server


def build_session(record: SessionRecord, listeners: Mapping[str, Listener]) -> Session:
    """Return a session with the state of a record.

    If the settings no longer contain its listener, the session gets one of that name.
    """
    session = Session(
        listener=listeners.get(record.listener_name) or Listener(record.listener_name),
        key=record.key,
        deadline_ms=record.accepted_ms,
        tenant=record.tenant,
        group=record.group,
        load=record.load,
        mid_flow=record.is_mid_flow,
        returning=record.is_returning,
        is_client_retry=record.is_client_retry,
    )
    session.accepted_ms = record.accepted_ms
    return session


def _resolve_attempts(
    record: PolicyRecord, servers: Sequence[Server]
) -> list[RecordedAttempt]:
    return [
        RecordedAttempt(attempt.at_ms, servers[attempt.server_index], attempt.succeeded)
        for attempt in record.attempts
    ]


def _resolve_slots(record: SlotTableRecord, servers: Sequence[Server]) -> _SlotTables:
    tables = _SlotTables(
        preferred_servers=_resolve_indexes(record.preferred_servers, servers),
        current=_resolve_indexes(record.current, servers),
        new=_resolve_indexes(record.new, servers),
        transition_started_ms=record.transition_started_ms,
    )
    size = len(tables.preferred_servers)
    if len(tables.current) != size or len(tables.new) != size:
        raise HandoverError("slot tables differ in size")
    if any(
        slot >= size or tables.new[slot] is None
        for slot in record.transition_started_ms
    ):
        raise HandoverError("slot in transition has no new server")
    return tables


def _resolve_indexes(
    indexes: Sequence[int | None], servers: Sequence[Server]
) -> list[Server | None]:
    return [None if index is None else servers[index] for index in indexes]


def _resolve_key_routes(
    records: Sequence[KeyRouteRecord], servers: Sequence[Server]
) -> KeyRoutes:
    return {
        bounded_name(record.key): KeyRoute(
            servers[record.server_index], record.since_ms
        )
        for record in records
    }


def _check_ready_servers(
    ready_servers: Mapping[Server, None],
    slots: _SlotTables,
    addresses: Mapping[Server, tuple[str, int]],
) -> None:
    """Check that slots refer to ready servers, and that those have addresses.

    A slot of a leaving server would send new sessions to it, which a drain forbids.
    """
    referenced_servers = {*slots.preferred_servers, *slots.current, *slots.new} - {None}
    if referenced_servers <= ready_servers.keys() <= addresses.keys():
        return
    raise HandoverError(
        "slot refers to a server that is not ready, or a ready server has no address"
    )
