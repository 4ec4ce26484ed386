"""Creates the records of a running proxy; only this module reads its state."""

from collections.abc import Iterable, Mapping

from wheathill.handover.records import (
    AttemptRecord,
    HandoverSnapshot,
    KeyRouteRecord,
    ListedStateRecord,
    PolicyRecord,
    RetryRecord,
    ServerRecord,
    SessionRecord,
    SlotTableRecord,
)
from wheathill.model import Server
from wheathill.net.client import Client
from wheathill.net.proxy import Proxy
from wheathill.policy.balancer import Balancer
from wheathill.policy.slot_table import KeyRoute, SlotTable

# They go over in one message; the latest are kept.
MAX_LISTED_STATES = 4096

ServerIndexes = Mapping[Server, int]  # server -> index of its record


def collect_snapshot(proxy: Proxy) -> HandoverSnapshot:
    """Return the whole state of a proxy except its sessions."""
    balancer = proxy.balancer
    servers = list(proxy.servers.values())
    indexes = {server: index for index, server in enumerate(servers)}
    return HandoverSnapshot(
        servers=[
            collect_server(server, proxy.addresses.get(server)) for server in servers
        ],
        slots=collect_slot_table(balancer.slot_table, indexes),
        moved_keys=_collect_key_routes(balancer.slot_table.moved_keys, indexes),
        exception_keys=_collect_key_routes(balancer.slot_table.exception_keys, indexes),
        session_ids=list(proxy.session_ids),
        server_names=list(proxy.known_names),
        policy=collect_policy(
            balancer, indexes, proxy.list_version, proxy.node.discovery_address
        ),
        shares_session_ids=True,
        listed_states=_collect_listed_states(proxy),
    )


def _collect_listed_states(proxy: Proxy) -> dict[str, ListedStateRecord]:
    """Return what the lists say of servers, of those that have left or state a start.

    Of the others an older list says nothing that would undo it.
    """
    states = {
        name: ListedStateRecord(*state)
        for name, state in proxy.known_names.items()
        if state is not None and (state.has_left or state.started_ms is not None)
    }
    return dict(list(states.items())[-MAX_LISTED_STATES:])


def collect_server(server: Server, address: tuple[str, int] | None) -> ServerRecord:
    """Return the record of one server."""
    return ServerRecord(
        name=server.name,
        address=address,
        zone=server.zone,
        cell=server.cell,
        phase=server.phase,
        listed_phase=server.listed_phase,
        unanswered_probes=server.unanswered_probes,
        is_removal_unconfirmed=server.is_removal_unconfirmed,
        load_samples=list(server.load_samples),
        recent_results=list(server.recent_results),
        attempt_times_ms=list(server.attempt_times_ms),
        started_ms=server.started_ms,
        leaving_since_ms=server.leaving_since_ms,
        last_late_message_ms=server.last_late_message_ms,
        last_received_ms=server.last_received_ms,
        next_shift_ms=server.next_shift_ms,
        next_migration_ms=server.next_migration_ms,
        last_probe_ms=server.last_probe_ms,
        weight=server.weight,
    )


def collect_slot_table(table: SlotTable, indexes: ServerIndexes) -> SlotTableRecord:
    """Return the record of the slot table."""
    return SlotTableRecord(
        preferred_servers=_server_indexes(table.preferred_servers, indexes),
        current=_server_indexes(table.current, indexes),
        new=_server_indexes(table.new, indexes),
        transition_started_ms=dict(table.transition_started_ms),
    )


def _server_indexes(
    servers: Iterable[Server | None], indexes: ServerIndexes
) -> list[int | None]:
    """Return the index of each server; None for one that is no longer known."""
    return [None if server is None else indexes.get(server) for server in servers]


def _collect_key_routes(
    routes: Mapping[str, KeyRoute], indexes: ServerIndexes
) -> list[KeyRouteRecord]:
    """Return the routes whose servers are still known."""
    return [
        KeyRouteRecord(key, indexes[server], since_ms)
        for key, (server, since_ms) in routes.items()
        if server in indexes
    ]


def collect_policy(
    balancer: Balancer,
    indexes: ServerIndexes,
    list_version: int,
    discovery_address: tuple[str, int] | None,
) -> PolicyRecord:
    """Return the record of the state that belongs to no single server or slot."""
    admission = balancer.admission
    return PolicyRecord(
        list_version=list_version,
        discovery_address=discovery_address,
        maintenance_since_ms=dict(balancer.endpoint_list.maintenance_since_ms),
        maintenance_ended_ms={
            name: (period.started_ms, period.ended_ms)
            for name, period in balancer.endpoint_list.maintenance_ended_ms.items()
        },
        capacity_estimate=balancer.load_estimator.capacity_estimate,
        probe_credit=balancer.probe_scheduler.credit,
        concurrency_limit=admission.concurrency_limit,
        limit_reduced_ms=admission.limit_reduced_ms,
        next_admission_ms=admission.next_admission_ms,
        retries=[
            RetryRecord(at_ms, priority_weight)
            for at_ms, priority_weight in balancer.retry_budget.retries
        ],
        attempts=[
            AttemptRecord(attempt.at_ms, indexes[attempt.server], attempt.succeeded)
            for attempt in balancer.outlier_detector.recent_attempts
            if attempt.server in indexes
        ],
    )


def collect_session(client: Client) -> SessionRecord:
    """Return the record of a client's session; `client.quiet` must be true."""
    session, attempt = client.session, client.attempt
    return SessionRecord(
        open_line=client.open_request.line,
        listener_name=session.listener.name,
        key=session.key,
        tenant=session.tenant,
        group=session.group,
        load=session.load,
        is_mid_flow=session.mid_flow,
        is_returning=session.returning,
        is_client_retry=session.is_client_retry,
        accepted_ms=session.accepted_ms,
        connected_ms=client.connected_ms,
        unanswered_since_ms=client.unanswered_since_ms,
        server_name=attempt.server.name,
        partial_line=attempt.partial_line,
    )
