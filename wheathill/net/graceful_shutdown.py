"""Ends a proxy process gracefully: serves, migrates and answers until it may exit.

The platform kills the process a stated time after it was told to stop. By then every
session that was taken has its final answer, and open ones were told to reconnect.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from typing import Any, Protocol

from wheathill.config.limits import ProxyLimits
from wheathill.config.node import NodeConfig
from wheathill.log_events import LogEvent
from wheathill.model import Session
from wheathill.net.interfaces import EventLog


class StoppingProxy(Protocol):
    """What a shutdown uses of its proxy; `Proxy` describes each attribute."""

    node: NodeConfig
    limits: ProxyLimits
    clock: Any
    transport: Any
    metrics: Any
    balancer: Any
    listening_socket: Any
    log_event: EventLog
    ready: bool
    handed_over: bool
    clients: Mapping[Session, Any]
    early_clients: Collection[Any] | None
    silent_clients: Collection[Any]

    def now(self) -> float:
        """Return the monotonic time in ms."""

    def answer_pending_sessions(self) -> None:
        """Give all sessions that are not up their final answer."""


class GracefulShutdown:
    """The shutdown of one proxy.

    Attributes:
        started_ms: when the shutdown began, or None.
        accept_until_ms: until when new clients are accepted, whoever is here.
        answer_deadline_ms: when the sessions that are not up get their answer.
        migration_deadline_ms: when all sessions that are up are asked to reconnect.
        deadline_ms: when the remaining sessions are ended.
    """

    def __init__(self, proxy: StoppingProxy) -> None:
        self._proxy = proxy
        self.started_ms: float | None = None
        self.accept_until_ms = 0.0
        self.answer_deadline_ms = 0.0
        self.migration_deadline_ms = 0.0
        self.deadline_ms = 0.0

    def begin(self, on_stopped: Callable[[], None]) -> None:
        """Start to shut down, unless that was requested before.

        New clients are still accepted and served for a while. `on_stopped` is called
        once all is done.
        """
        if self.started_ms is not None:
            return
        proxy = self._proxy
        self.started_ms = proxy.now()
        proxy.ready = False
        self._set_deadlines(self.started_ms)
        self._log_start(self.started_ms)
        self._shorten_pending_sessions()
        proxy.clock.at(self.answer_deadline_ms, proxy.answer_pending_sessions)
        if proxy.handed_over and proxy.listening_socket:
            # The process that has taken over listens on the same socket, and serves the
            # clients that wait there. Without one they wait for this process.
            proxy.listening_socket.close()
        proxy.clock.after(
            self._first_check_delay_ms(self.started_ms), self._check, on_stopped
        )
        if not proxy.handed_over:
            proxy.balancer.on_stop(self.started_ms, False)

    def ms_until_answers(self, now_ms: float) -> float:
        """Return how long a new session may wait for its answer, besides its timeout.

        That is unlimited unless a shutdown is in progress. It is so again after the
        answers of the shutdown, as who let this process go on is in no hurry.
        """
        if self.started_ms is None or now_ms >= self.answer_deadline_ms:
            return math.inf
        return self.answer_deadline_ms - now_ms

    def _set_deadlines(self, started_ms: float) -> None:
        # Determined at the start, as a configuration that is loaded later may shorten
        # the dial timeouts of sessions that are here already.
        limits = self._proxy.limits
        self.answer_deadline_ms = started_ms + limits.shutdown_answer_ms
        # Where packets pass through, open connections continue at other proxies once
        # this process is killed, but break if they are closed here: all their clients
        # then reconnected at once, and were rejected.
        self.deadline_ms = (
            self.answer_deadline_ms
            if self._proxy.node.migrates_at_shutdown
            else started_ms + limits.passthrough_shutdown_ms
        )
        self.accept_until_ms = min(
            started_ms + limits.shutdown_accept_ms,
            self.deadline_ms - limits.sweep_interval_ms,
        )
        # MOVE may not stand within a server's line, so servers are left time to
        # complete those that they have begun.
        line_time_ms = min(limits.shutdown_line_ms, (self.deadline_ms - started_ms) / 2)
        self.migration_deadline_ms = self.deadline_ms - line_time_ms

    def _log_start(self, started_ms: float) -> None:
        clients = self._proxy.clients.values()
        self._proxy.log_event(
            LogEvent.SHUTDOWN_STARTED,
            sessions=len(clients),
            pending=sum(not client.is_up for client in clients),
            answers_within=round(self.answer_deadline_ms - started_ms),
            ends_within=round(self.deadline_ms - started_ms),
        )

    def _shorten_pending_sessions(self) -> None:
        """Shorten the deadlines of sessions in set-up to the end of the shutdown.

        Further attempts then have only the time that is left.
        """
        latest_ms = self.answer_deadline_ms - self._proxy.limits.answer_margin_ms
        for session, client in self._proxy.clients.items():
            if client.is_up:
                continue
            session.deadline_ms = min(session.deadline_ms, latest_ms)
            if client.attempt is not None:
                client.attempt.limit_time(latest_ms)

    def _first_check_delay_ms(self, started_ms: float) -> float:
        """Return when sessions are asked to reconnect for the second time."""
        limits = self._proxy.limits
        if self._proxy.handed_over:
            return limits.sweep_interval_ms
        until_migrated_ms = self.migration_deadline_ms - started_ms
        return min(limits.shutdown_accept_ms, until_migrated_ms / 2)

    def _check(self, on_stopped: Callable[[], None]) -> None:
        """End the shutdown once no session is left, or at its deadline."""
        proxy = self._proxy
        now_ms = proxy.now()
        is_deadline_over = now_ms >= self.deadline_ms
        are_all_to_migrate = now_ms >= self.migration_deadline_ms
        if is_deadline_over or not proxy.handed_over:
            proxy.balancer.on_stop(now_ms, are_all_to_migrate)
        if is_deadline_over:
            proxy.answer_pending_sessions()
        if is_deadline_over or self._may_end(now_ms):
            proxy.log_event(
                LogEvent.SHUTDOWN_FINISHED,
                sessions=len(proxy.clients),
                within_line=sum(
                    client.is_migrating for client in proxy.clients.values()
                ),
                since_start=proxy.metrics.log_fields(),
            )
            linger_until_ms = now_ms + proxy.limits.shutdown_linger_ms
            self._wait_until_sent(on_stopped, linger_until_ms)
            return
        proxy.clock.at(self._next_check_ms(now_ms), self._check, on_stopped)

    def _next_check_ms(self, now_ms: float) -> float:
        next_sweep_ms = now_ms + self._proxy.limits.sweep_interval_ms
        if now_ms < self.migration_deadline_ms:
            return min(next_sweep_ms, self.migration_deadline_ms)
        return min(next_sweep_ms, self.deadline_ms)

    def _may_end(self, now_ms: float) -> bool:
        """Return whether new clients were accepted long enough, and none is left."""
        is_accepting = not self._proxy.handed_over and now_ms < self.accept_until_ms
        return not is_accepting and not self._may_have_sessions()

    def _may_have_sessions(self) -> bool:
        """Return whether a session is here, or its OPEN line may wait to be read.

        That line may be of a client that was accepted, or that waits to be.
        """
        proxy = self._proxy
        return bool(
            proxy.clients
            or proxy.early_clients
            or proxy.listening_socket
            and proxy.listening_socket.waiting
            or any(self._may_open_session(client) for client in proxy.silent_clients)
        )

    def _may_open_session(self, client: Any) -> bool:  # noqa: ANN401 - see `clients`
        """Return whether a client without a session is waited for.

        One that has sent PING only checks whether this proxy is alive. After a handover
        all clients are waited for.
        """
        return (
            self._proxy.handed_over
            or not client.ping_count
            or client.connection.has_unread_bytes
        )

    def _wait_until_sent(
        self, on_stopped: Callable[[], None], linger_until_ms: float
    ) -> None:
        """End once the last answers and MOVE lines have been sent.

        Closing with bytes unread or unsent would cut them off, and MOVE may still wait
        for the end of a line. It does not wait beyond the time after which this process
        may be killed.
        """
        proxy = self._proxy
        now_ms = proxy.now()
        closing = list(proxy.transport.closing_connections)
        latest_ms = self.deadline_ms + proxy.limits.shutdown_linger_ms
        is_unsent = any(connection.unsent_bytes for connection in closing)
        is_migrating = any(client.is_migrating for client in proxy.clients.values())
        if (
            closing
            and now_ms < linger_until_ms
            or (is_unsent or is_migrating)
            and now_ms < latest_ms
        ):
            proxy.clock.after(
                proxy.limits.shutdown_poll_interval_ms,
                self._wait_until_sent,
                on_stopped,
                linger_until_ms,
            )
        else:
            on_stopped()
