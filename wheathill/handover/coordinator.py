"""Coordinates the upgrades of one process: taking over, and being taken over from."""

import math
from collections.abc import Iterator, Sequence

from wheathill.handover.interfaces import (
    Clock,
    EventLog,
    ServerSocket,
    Transport,
)
from wheathill.handover.protocol import HandoverProtocol
from wheathill.handover.receiver import HandoverReceiver
from wheathill.handover.sender import HandoverSender
from wheathill.log_events import LogEvent
from wheathill.net.proxy import Proxy

# On the wire, where the new process recognizes it, also from another build.
UPGRADE_IN_PROGRESS = "another upgrade is under way"


class UpgradeCoordinator:
    """Ensures that only one of the processes of a proxy accepts connections.

    All of them share one listening socket. `begin` starts the proxy, with the state of
    another process or without one; afterwards another process can take over.
    """

    def __init__(
        self, proxy: Proxy, transport: Transport, clock: Clock, log_event: EventLog
    ) -> None:
        self.log_event = log_event
        self._proxy = proxy
        self._transport = transport
        self._clock = clock
        self._socket_name = f"wheathill-{proxy.node.file_tag}.up"
        self._receiver: HandoverReceiver | None = None
        self._sender: HandoverSender | None = None
        self._server_socket: ServerSocket | None = None  # where a successor connects
        self._began_ms: float | None = None
        # Budgets that were handed over, to be restored on a rollback.
        self._saved_process_started_ms: float | None = None
        self._saved_free_retries: float | None = None
        proxy.handover_coordinator = self
        proxy.listening_socket.set_paused(True)

    @property
    def is_handing_over(self) -> bool:
        """Whether sessions may be on their way between this process and another."""
        return any(
            protocol is not None and not protocol.is_ended
            for protocol in (self._receiver, self._sender)
        )

    # The new process

    def begin(self) -> None:
        """Request a handover by the running process, if there is one."""
        if self._began_ms is None:
            self._began_ms = self._clock.now()
        try:
            self._receiver = self._transport.connect_unix(
                self._proxy.node.state_directory,
                self._socket_name,
                lambda connection: HandoverReceiver(connection, self._proxy, self),
            ).machine
        except OSError as error:
            self._start_without_state(error.strerror)

    def on_state_received(self, failure_reason: str | None) -> None:
        """Start serving, as the old process accepts no more connections.

        Args:
            failure_reason: why the state could not be applied, or None if it was.
        """
        if failure_reason:
            self.log_event(LogEvent.HANDOVER_ERROR, what=failure_reason)
        else:
            self.log_event(
                LogEvent.HANDOVER_RECEIVED,
                servers=len(self._proxy.servers),
                after=self._elapsed_ms(),
            )
        self._serve(with_state=failure_reason is None)

    def on_receiver_ended(self, receiver: HandoverReceiver, reason: str) -> None:
        """Start without a state, unless it was received.

        If another upgrade is in progress, the request is first repeated for a while.
        """
        if receiver.has_state:
            self._proxy.forget_gone_servers()
            self.log_event(LogEvent.PREVIOUS_PROCESS_EXITED, why=reason)
        elif (
            reason == UPGRADE_IN_PROGRESS
            and self._elapsed_ms() < self._proxy.limits.handover_timeout_ms
        ):
            self._clock.after(self._proxy.limits.handover_retry_interval_ms, self.begin)
        else:
            self._start_without_state(reason)

    def _elapsed_ms(self) -> float:
        """Return the time since the first request, rounded to 0.1 ms."""
        return round(self._clock.now() - (self._began_ms or 0.0), 1)

    def _start_without_state(self, reason: str | None) -> None:
        self.log_event(LogEvent.HANDOVER_UNAVAILABLE, why=reason)
        self._serve(with_state=False)

    def _serve(self, with_state: bool) -> None:
        self._listen_for_successor()
        self._proxy.start(with_state)
        if self._proxy.stopping_since_ms is None:
            self._proxy.listening_socket.set_paused(False)
            self.log_event(LogEvent.ACCEPTING_CONNECTIONS)

    def _listen_for_successor(self) -> None:
        try:
            self._server_socket = self._transport.listen_unix(
                self._proxy.node.state_directory,
                self._socket_name,
                lambda connection: HandoverSender(connection, self._proxy, self),
            )
        except OSError as error:
            self.log_event(
                LogEvent.HANDOVER_UNAVAILABLE,
                why=f"cannot listen for a successor process: {error.strerror}",
            )

    # The old process

    def rejection_reason(self) -> str | None:
        """Return why no process can take over now, or None if one can."""
        return UPGRADE_IN_PROGRESS if self._sender else None

    def on_state_requested(self, sender: HandoverSender) -> None:
        """Stop accepting connections."""
        self._sender = sender
        self._proxy.listening_socket.set_paused(True)

    def on_state_sent(self) -> None:
        """Give up the permits of slow start and the remaining free retries.

        They were handed over in full to the new process, so none may be used here.
        """
        slow_start = self._proxy.balancer.slow_start
        self._saved_process_started_ms, slow_start.process_started_ms = (
            slow_start.process_started_ms,
            math.inf,
        )
        retry_budget = self._proxy.balancer.retry_budget
        self._saved_free_retries, retry_budget.free_retries = (
            retry_budget.free_retries,
            -math.inf,
        )

    def on_state_applied(self, with_state: bool) -> None:
        """Mark the proxy as handed over, as the new process accepts connections."""
        self._proxy.handed_over = True
        self.log_event(
            LogEvent.HANDOVER_SENT, whole=with_state, sessions=len(self._proxy.clients)
        )
        if self._server_socket:
            self._server_socket.close()
            self._server_socket = None

    def on_sender_ended(self, sender: HandoverSender, reason: str) -> None:
        """Roll back, as the new process is gone: accept again, also while stopping."""
        if sender is not self._sender:
            return
        self._sender = None
        self._proxy.handed_over = False
        self._restore_budgets()
        self.log_event(LogEvent.HANDOVER_ROLLED_BACK, why=reason)
        self._proxy.forget_gone_servers()
        # Has no effect if this process was told to stop after the handover.
        self._proxy.listening_socket.set_paused(False)
        if self._proxy.stopping_since_ms is None and self._server_socket is None:
            self._listen_for_successor()

    def _restore_budgets(self) -> None:
        if self._saved_process_started_ms is not None:
            self._proxy.balancer.slow_start.process_started_ms = (
                self._saved_process_started_ms
            )
            self._proxy.balancer.retry_budget.free_retries = self._saved_free_retries

    # Both processes

    def forward_maintenance(
        self, server_name: str, is_in_maintenance: bool, source: HandoverProtocol | None
    ) -> None:
        """Send a maintenance change to all processes of this proxy but its source."""
        for protocol in self._other_processes(source):
            protocol.send_maintenance(server_name, is_in_maintenance)

    def forward_session_ids(
        self, session_ids: Sequence[str], source: HandoverProtocol | None
    ) -> None:
        """Tell all processes of this proxy but the source of session ids."""
        for protocol in self._other_processes(source):
            protocol.share_session_ids(session_ids)

    def _other_processes(
        self, source: HandoverProtocol | None
    ) -> Iterator[HandoverProtocol]:
        """Yield the established handovers to other processes than the source."""
        for protocol in (self._receiver, self._sender):
            if (
                protocol
                and protocol is not source
                and not protocol.is_ended
                and protocol.is_established
            ):
                yield protocol
