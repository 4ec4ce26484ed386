"""An upgrade as one process sees it: whom it takes over from, and who takes over."""

import math

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

BUSY = "another upgrade is under way"


class UpgradeCoordinator:
    """Lets one process at a time accept, of all on one clients' socket.

    `begin` ends with the proxy serving, from another process's state or from nothing;
    then another process may come and take over.
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
        self._server_socket: ServerSocket | None = (
            None  # where another process may come
        )
        self._began_at_ms: float | None = None
        # Budgets that were given away, to be taken back if the handover is undone.
        self._slow_start_since_ms: float | None = None
        self._free_retries: float | None = None
        proxy.handover_coordinator = self
        proxy.listening_socket.set_paused(True)

    # The new process

    def begin(self) -> None:
        """Ask the process that is there, if any, to hand over."""
        if self._began_at_ms is None:
            self._began_at_ms = self._clock.now()
        try:
            self._receiver = self._transport.connect_unix(
                self._proxy.node.state_directory,
                self._socket_name,
                lambda connection: HandoverReceiver(connection, self._proxy, self),
            ).machine
        except OSError as error:
            self._start_from_nothing(error.strerror)

    def on_state_received(self, refusal: str | None) -> None:
        """Serve, as the old process has sent all and accepts no longer.

        Args:
            refusal: why its state could not be used, or None.
        """
        if refusal:
            self.log_event(LogEvent.HANDOVER_ERROR, what=refusal)
        else:
            self.log_event(
                LogEvent.HANDOVER_RECEIVED,
                servers=len(self._proxy.servers),
                after=self._elapsed_ms(),
            )
        self._serve(with_state=refusal is None)

    def on_receiver_over(self, receiver: HandoverReceiver, reason: str) -> None:
        """Serve from nothing, unless the state is here; or ask again for a while."""
        if receiver.has_state:
            self.log_event(LogEvent.PREVIOUS_PROCESS_EXITED, why=reason)
        elif (
            reason == BUSY
            and self._elapsed_ms() < self._proxy.limits.handover_timeout_ms
        ):
            self._clock.after(self._proxy.limits.handover_retry_interval_ms, self.begin)
        else:
            self._start_from_nothing(reason)

    def _elapsed_ms(self) -> float:
        """Return the time since the first try, to a tenth."""
        return round(self._clock.now() - (self._began_at_ms or 0.0), 1)

    def _start_from_nothing(self, reason: str | None) -> None:
        self.log_event(LogEvent.HANDOVER_UNAVAILABLE, why=reason)
        self._serve(with_state=False)

    def _serve(self, with_state: bool) -> None:
        self._await_successor()
        self._proxy.start(with_state)
        if self._proxy.stopping_since_ms is None:
            self._proxy.listening_socket.set_paused(False)
            self.log_event(LogEvent.ACCEPTING_CONNECTIONS)

    def _await_successor(self) -> None:
        try:
            self._server_socket = self._transport.listen_unix(
                self._proxy.node.state_directory,
                self._socket_name,
                lambda connection: HandoverSender(connection, self._proxy, self),
            )
        except OSError as error:
            self.log_event(
                LogEvent.HANDOVER_UNAVAILABLE,
                why=f"nobody can take over from here: {error.strerror}",
            )

    # The old process

    def rejection_reason(self) -> str | None:
        """Return why nobody can take over now, or None."""
        return BUSY if self._sender else None

    def on_state_requested(self, sender: HandoverSender) -> None:
        """Let nobody in any more."""
        self._sender = sender
        self._proxy.listening_socket.set_paused(True)

    def on_state_sent(self) -> None:
        """Give away what may go to warming servers, and what retries are left.

        The new process was sent them whole: none of it stays here.
        """
        slow_start = self._proxy.balancer.slow_start
        self._slow_start_since_ms, slow_start.process_started_ms = (
            slow_start.process_started_ms,
            math.inf,
        )
        retry_budget = self._proxy.balancer.retry_budget
        self._free_retries, retry_budget.free_retries = (
            retry_budget.free_retries,
            -math.inf,
        )

    def on_state_taken(self, with_state: bool) -> None:
        """Leave the place to the new process, which accepts from now on."""
        self._proxy.handed_over = True
        self.log_event(
            LogEvent.HANDOVER_SENT, whole=with_state, sessions=len(self._proxy.clients)
        )
        if self._server_socket:
            self._server_socket.close()
            self._server_socket = None

    def on_sender_over(self, sender: HandoverSender, reason: str) -> None:
        """Go on, as the new process is gone; unless this one is told to stop."""
        if sender is not self._sender:
            return
        self._sender = None
        self._proxy.handed_over = False
        self._take_budgets_back()
        self.log_event(LogEvent.HANDOVER_ROLLED_BACK, why=reason)
        if self._proxy.stopping_since_ms is None:
            self._proxy.listening_socket.set_paused(False)
            if self._server_socket is None:
                self._await_successor()

    def _take_budgets_back(self) -> None:
        if self._slow_start_since_ms is not None:
            self._proxy.balancer.slow_start.process_started_ms = (
                self._slow_start_since_ms
            )
            self._proxy.balancer.retry_budget.free_retries = self._free_retries

    # Both

    def forward_maintenance(
        self, server_name: str, is_out: bool, source: HandoverProtocol | None
    ) -> None:
        """Pass an operator's call on to all processes of this proxy but its source."""
        for protocol in (self._receiver, self._sender):
            if (
                protocol
                and protocol is not source
                and not protocol.is_over
                and protocol.is_agreed
            ):
                protocol.send_maintenance(server_name, is_out)
