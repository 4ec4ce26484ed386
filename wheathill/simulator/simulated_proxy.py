"""A simulated proxy: translates between the wire protocol and a `Balancer`.

Identifiers in events are mapped to objects, and objects to identifiers in orders. All
decisions are made by the balancer.
"""

import random
from collections.abc import Mapping
from typing import Any

from wheathill.config.listener_settings import read_listeners
from wheathill.config.policy_settings import read_policy
from wheathill.config.settings_reader import SettingsReader
from wheathill.model import (
    AttemptOutcome,
    EndpointEntry,
    Idempotency,
    Listener,
    Phase,
    Server,
    Session,
    Timer,
)
from wheathill.policy.balancer import Balancer
from wheathill.simulator.timer_names import decode_timer, encode_timer
from wheathill.simulator.wire import (
    CLIENT_RETRY,
    ENTRY_VALUES,
    LATENCY_NOTICE,
    LOAD_DECLARED,
    LOAD_NOTICE,
    MID_FLOW,
    MS_PER_S,
    OUTCOMES,
    PHASES,
    RETURNING,
    UPDATE_KINDS,
    MalformedBatchError,
)

Report = list[float | None]


class SimulatedProxy:
    """One instance: handles its events, and emits its balancer's decisions as orders.

    Attributes:
        orders: the list that orders are appended to, set for each batch.
    """

    def __init__(
        self,
        name: str,
        orders: list[list[Any]],
        seed: Any,  # noqa: ANN401 - whatever JSON value the simulator draws
        settings: Mapping[str, Any],
    ) -> None:
        """Read the settings; no order is emitted before `start`.

        Raises:
            ConfigurationError: the settings are invalid.
        """
        self.orders = orders
        self._name = name
        self._servers: dict[str, Server] = {}
        self._sessions: dict[str, Session] = {}
        self._handles: dict[Session, str] = {}
        reader = SettingsReader(settings)
        self._listeners = read_listeners(reader)
        self._balancer = Balancer(self, random.Random(seed), read_policy(reader))

    def start(self, now_ms: float) -> None:
        """Start the balancer."""
        self._balancer.on_start(now_ms)

    # Events

    def on_endpoint_update(
        self, now_ms: float, scope: int, _version: int, entries: list[Any] | None
    ) -> None:
        """Handle an endpoint list update.

        Raises:
            MalformedBatchError: the scope is unknown, or an entry is malformed.
        """
        entries = entries or []
        if scope not in UPDATE_KINDS or any(
            not isinstance(entry, list) or len(entry) != ENTRY_VALUES
            for entry in entries
        ):
            raise MalformedBatchError(
                "rosterChange takes a known scope and entries of 7 values"
            )
        decoded = [self._decode_entry(*entry) for entry in entries]
        self._balancer.on_endpoint_update(now_ms, UPDATE_KINDS[scope], decoded)

    def on_session(self, now_ms: float, *fields: Any) -> None:  # noqa: ANN401 - see `_add_session`
        """Handle a new session."""
        self._balancer.on_session(now_ms, self._add_session(now_ms, *fields))

    def on_session_taken_over(
        self,
        now_ms: float,
        *fields: Any,  # noqa: ANN401 - see `_add_session`
    ) -> None:
        """Handle an open session that another instance has set up."""
        *session_fields, server_name = fields
        server = self._servers.get(server_name)
        if not server:
            server = self._servers.setdefault(server_name, Server(server_name))
        session = self._add_session(now_ms, *session_fields)
        self._balancer.on_session_taken_over(now_ms, session, server)

    def on_accepted(
        self, now_ms: float, handle: str, _server: str, _attempt: int, _spent_s: float
    ) -> None:
        """Handle the acceptance of a session by a server."""
        if handle in self._sessions:
            self._balancer.on_session_accepted(now_ms, self._sessions[handle])

    def on_outcome(
        self,
        now_ms: float,
        handle: str,
        _attempt: int,
        server_name: str,
        outcome: str,
        _spent_s: float,
        is_closed: bool,
        report: Report | None,
    ) -> None:
        """Handle the end of an attempt or of an open session."""
        if report and server_name in self._servers:
            self._balancer.on_load_report(now_ms, self._servers[server_name], report)
        session = self._sessions.get(handle)
        if session is None:
            return
        if is_closed:
            self._forget(session)
        attempt_outcome = OUTCOMES.get(outcome, AttemptOutcome.ERROR)
        self._balancer.on_outcome(now_ms, session, attempt_outcome, bool(is_closed))

    def on_client_left(self, now_ms: float, handle: str) -> None:
        """Handle a client that has left."""
        session = self._sessions.get(handle)
        if session is not None:
            self._forget(session)
            self._balancer.on_client_left(now_ms, session)

    def on_notice(
        self,
        now_ms: float,
        handle: str,
        _attempt: int,
        _server: str,
        topic: int,
        value: float,
    ) -> None:
        """Handle a declared load, or the latency of a message in ms."""
        session = self._sessions.get(handle)
        if session is None:
            return
        if topic == LOAD_NOTICE:
            self._balancer.on_load_declared(now_ms, session, value)
        elif topic == LATENCY_NOTICE:
            self._balancer.on_message_latency(now_ms, session, value)

    def on_probe_result(
        self,
        now_ms: float,
        server_name: str,
        outcome: str,
        _spent_s: float,
        report: Report | None,
    ) -> None:
        """Handle the result of a probe."""
        server = self._servers.get(server_name)
        if server is not None:
            probe_outcome = OUTCOMES.get(outcome, AttemptOutcome.ERROR)
            self._balancer.on_probe_result(now_ms, server, probe_outcome, report)

    def on_datagram(self, now_ms: float, _sender: str, _message: str) -> None:
        """Ignore a datagram, as simulated instances do not communicate."""

    def on_timer(self, now_ms: float, name: str) -> None:
        """Handle a timer that has fired."""
        timer = decode_timer(name)
        if timer is not None:
            self._balancer.on_timer(now_ms, timer)

    # Effects, see `SessionEffects`

    def start_attempt(
        self, session: Session, server: Server, timeout_ms: float
    ) -> None:
        """Emit an order for an attempt."""
        handle = self._handles[session]
        self._order("forward", handle, timeout_ms / MS_PER_S, server.name)

    def reject(self, session: Session, retry_after_ms: float) -> None:
        """Emit an order to reject the session."""
        self._order("notNow", self._handles[session], retry_after_ms / MS_PER_S)
        self._forget(session)

    def fail(self, session: Session) -> None:
        """Emit an order to fail the session."""
        self._order("error", self._handles[session])
        self._forget(session)

    def migrate(self, session: Session) -> None:
        """Emit an order to ask the client to reconnect."""
        self._order("relocate", self._handles[session])

    def send_probe(self, server: Server) -> None:
        """Emit an order for a probe."""
        self._order("sample", server.name)

    def poll_endpoint_list(self, enabled: bool) -> None:
        """Emit an order for a poll of the endpoint list."""
        self._order("follow", enabled)

    def set_timer(self, timer: Timer, at_ms: float) -> None:
        """Emit an order for a timer."""
        self._order("timer", encode_timer(timer), at_ms / MS_PER_S)

    def log(self, text: str) -> None:
        """Emit an order for a log line."""
        self._order("trace", text)

    # Identifiers

    def _decode_entry(
        self,
        weight: float | None,
        zone: int,
        name: str,
        cell: int,
        started_s: float | None,
        _machine: int,
        phase: int,
    ) -> EndpointEntry:
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = Server(name)
        server.zone, server.cell = zone, cell
        started_ms = started_s * MS_PER_S if started_s else None
        return EndpointEntry(server, PHASES.get(phase, Phase.GONE), weight, started_ms)

    def _add_session(
        self,
        now_ms: float,
        handle: str,
        listener: int | None,
        tenant: int | None,
        key: str | None,
        time_left_s: float | None,
        load: float | None,
        group: str | None,
        flags: int | None,
    ) -> Session:
        flags = flags or 0
        session = Session(
            listener=self._listener(listener),
            key=key or handle,
            deadline_ms=now_ms + (time_left_s or 0.0) * MS_PER_S,
            tenant=tenant or 0,
            group=group,
            load=load if flags & LOAD_DECLARED else None,
            mid_flow=bool(flags & MID_FLOW),
            returning=bool(flags & RETURNING),
            is_client_retry=bool(flags & CLIENT_RETRY),
        )
        self._sessions[handle] = session
        self._handles[session] = handle
        return session

    def _listener(self, index: int | None) -> Listener:
        if index is not None and 0 <= index < len(self._listeners):
            return self._listeners[index]
        return Listener("", Idempotency.NON_IDEMPOTENT)

    def _forget(self, session: Session) -> None:
        handle = self._handles.pop(session, None)
        if handle is not None:
            self._sessions.pop(handle, None)

    def _order(self, name: str, *values: Any) -> None:  # noqa: ANN401 - JSON values
        self.orders.append([name, self._name, *values])
