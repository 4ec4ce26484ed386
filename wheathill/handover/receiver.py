"""The new process's end of a handover: receives the state, then the sessions."""

from collections.abc import Sequence
from typing import Protocol

from wheathill.handover import messages
from wheathill.handover.errors import HandoverError
from wheathill.handover.interfaces import Connection
from wheathill.handover.messages import (
    DescriptorsHeld,
    Hello,
    Rejection,
    SessionBatch,
    SessionIdsUsed,
    SessionsReceived,
    StateApplied,
)
from wheathill.handover.protocol import Coordinator, HandoverProtocol
from wheathill.handover.state_receiver import StateReceiver
from wheathill.net.proxy import Proxy


class ReceiverCoordinator(Coordinator, Protocol):
    """The part of `coordinator.UpgradeCoordinator` that the receiver uses."""

    def on_state_received(self, failure_reason: str | None) -> None:
        """The whole state was received, and applied if `failure_reason` is None."""

    def on_receiver_ended(self, receiver: "HandoverReceiver", reason: str) -> None:
        """The handover has ended."""


class HandoverReceiver(HandoverProtocol):
    """Requests the state, applies all or nothing of it, then serves the sessions.

    Attributes:
        has_state: whether the old process has sent its whole state; it then accepts no
            more connections.
    """

    def __init__(
        self, connection: Connection, proxy: Proxy, coordinator: ReceiverCoordinator
    ) -> None:
        super().__init__(connection, proxy, coordinator)
        self._coordinator: ReceiverCoordinator = coordinator
        self.has_state = False
        self._state_receiver: StateReceiver | None = StateReceiver(proxy.limits)
        self._shares_session_ids = False

    @property
    def is_established(self) -> bool:
        """Whether the old process has sent its whole state."""
        return self.has_state

    def connected(self) -> None:
        """Request the state."""
        self.start_reply_timeout()
        self.send_message(Hello(self._proxy.node.name))

    def on_message(self, name: str, value: object) -> None:
        """Handle one message, see `HandoverProtocol`."""
        if self._state_receiver is None:
            self._on_message_after_state(name, value)
        elif name == messages.REJECTION:
            self.end(Rejection.decode(value).reason)
        elif name == messages.STATE_COMPLETE:
            self._on_state_complete(self._state_receiver)
        else:
            self._state_receiver.add(name, value)

    def _on_message_after_state(self, name: str, value: object) -> None:
        match name:
            case messages.SESSIONS:
                self._on_sessions(value)
            case messages.DESCRIPTORS_HELD:
                self.connection.transport.previous_process_sockets = (
                    DescriptorsHeld.decode(value).count
                )
            case messages.MAINTENANCE:
                self.apply_maintenance(value)
            case messages.SESSION_IDS:
                self.apply_session_ids(value)
            case _:
                raise HandoverError(f"{name} message not expected in this state")

    def _on_state_complete(self, state_receiver: StateReceiver) -> None:
        self.timer.cancel()
        self.has_state = True
        failure_reason = None
        try:
            state_receiver.apply(self._proxy)
        except ValueError as error:
            failure_reason = str(error)
        self._state_receiver = None
        self._coordinator.on_state_received(failure_reason)
        self.send_message(StateApplied(with_state=failure_reason is None))
        if state_receiver.shares_session_ids:
            self._shares_session_ids = True
            self.send_message(SessionIdsUsed([]))

    def share_session_ids(self, session_ids: Sequence[str]) -> None:
        """Tell the old process of session ids, see `HandoverProtocol`."""
        if self._shares_session_ids:
            self.send_session_ids(session_ids)

    def _on_sessions(self, value: object) -> None:
        batch = SessionBatch.decode(value, len(self._unclaimed_handles))
        count = len(batch.sessions)
        # Sent before a byte of the sessions is read: if this process dies before the
        # acknowledgement, the old process continues them without loss.
        self.send_message(SessionsReceived(count))
        handles = self._unclaimed_handles[: 2 * count]
        self._unclaimed_handles = self._unclaimed_handles[2 * count :]
        self.adopt_sessions(batch.sessions, handles)

    def on_ended(self, reason: str) -> None:
        """Reclaim the descriptors that were left to the old process."""
        self.connection.transport.previous_process_sockets = 0
        self._coordinator.on_receiver_ended(self, reason)
