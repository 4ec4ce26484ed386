"""The new process's end of a handover: takes a state, then sessions."""

from typing import Protocol

from wheathill.handover import messages
from wheathill.handover.errors import HandoverError
from wheathill.handover.interfaces import Connection
from wheathill.handover.messages import (
    DescriptorsHeld,
    Hello,
    Rejection,
    SessionBatch,
    SessionsReceived,
    StateApplied,
)
from wheathill.handover.protocol import Coordinator, HandoverProtocol
from wheathill.handover.state_receiver import StateReceiver
from wheathill.net.proxy import Proxy


class ReceiverCoordinator(Coordinator, Protocol):
    """What this end needs of `coordinator.UpgradeCoordinator`."""

    def on_state_received(self, refusal: str | None) -> None:
        """The whole state has come, and was used unless there is a refusal."""

    def on_receiver_over(self, receiver: "HandoverReceiver", reason: str) -> None:
        """The conversation has ended."""


class HandoverReceiver(HandoverProtocol):
    """Asks for the state, uses it whole or not at all, then serves the sessions.

    Attributes:
        has_state: the old process has sent its whole state, and accepts no longer.
    """

    def __init__(
        self, connection: Connection, proxy: Proxy, coordinator: ReceiverCoordinator
    ) -> None:
        super().__init__(connection, proxy, coordinator)
        self._coordinator: ReceiverCoordinator = coordinator
        self.has_state = False
        self._state_receiver: StateReceiver | None = StateReceiver(proxy.limits)

    @property
    def is_agreed(self) -> bool:
        """Whether the old process has handed over."""
        return self.has_state

    def connected(self) -> None:
        """Ask for the state."""
        self.await_answer()
        self.send_message(Hello(self._proxy.node.name))

    def on_message(self, name: str, value: object) -> None:
        """React to one message, see `HandoverProtocol`."""
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
            case _:
                raise HandoverError(f"{name} out of turn")

    def _on_state_complete(self, state_receiver: StateReceiver) -> None:
        self.timer.cancel()
        self.has_state = True
        refusal = None
        try:
            state_receiver.apply(self._proxy)
        except ValueError as error:
            refusal = str(error)
        self._state_receiver = None
        self._coordinator.on_state_received(refusal)
        self.send_message(StateApplied(with_state=refusal is None))

    def _on_sessions(self, value: object) -> None:
        batch = SessionBatch.decode(value, len(self._received_handles))
        count = len(batch.sessions)
        # Before a byte of them is read: who dies now has taken none.
        self.send_message(SessionsReceived(count))
        handles = self._received_handles[: 2 * count]
        self._received_handles = self._received_handles[2 * count :]
        self.adopt_sessions(batch.sessions, handles)

    def on_over(self, reason: str) -> None:
        """Take back what the old process held of the descriptors."""
        self.connection.transport.previous_process_sockets = 0
        self._coordinator.on_receiver_over(self, reason)
