"""The old process's end of a handover: sends the state, then the sessions."""

import enum
from collections.abc import Iterator, Sequence
from itertools import islice
from typing import Protocol

from wheathill.handover import messages
from wheathill.handover.errors import HandoverError
from wheathill.handover.interfaces import Connection, Handle
from wheathill.handover.messages import (
    DescriptorsHeld,
    Hello,
    Rejection,
    SessionBatch,
    SessionsReceived,
    StateApplied,
    StateComplete,
)
from wheathill.handover.protocol import Coordinator, HandoverProtocol
from wheathill.handover.session_codec import encode_session
from wheathill.handover.snapshot import collect_session, collect_snapshot
from wheathill.handover.state_codec import encode_snapshot
from wheathill.model import Session
from wheathill.net.client import Client
from wheathill.net.proxy import Proxy

INCOMPATIBLE_PROCESS = "it speaks another version, or for another proxy"  # on the wire


class SenderState(enum.Enum):
    """Progress of the handover."""

    AWAITING_HELLO = enum.auto()
    STATE_SENT = enum.auto()
    SENDING_SESSIONS = enum.auto()  # the new process accepts connections


class SenderCoordinator(Coordinator, Protocol):
    """The part of `coordinator.UpgradeCoordinator` that the sender uses."""

    def rejection_reason(self) -> str | None:
        """Return why no process can take over now, or None if one can."""

    def on_state_requested(self, sender: "HandoverSender") -> None:
        """A new process has requested the state, which is sent next."""

    def on_state_sent(self) -> None:
        """The whole state has been sent."""

    def on_state_applied(self, with_state: bool) -> None:
        """The new process accepts connections."""

    def on_sender_ended(self, sender: "HandoverSender", reason: str) -> None:
        """The handover has ended."""


class HandoverSender(HandoverProtocol):
    """Sends the state on request, then sessions once they have no buffered bytes.

    Sessions are sent in small batches, each after the acknowledgement of the one
    before, because their descriptors are duplicated until then.
    """

    def __init__(
        self, connection: Connection, proxy: Proxy, coordinator: SenderCoordinator
    ) -> None:
        super().__init__(connection, proxy, coordinator)
        self._coordinator: SenderCoordinator = coordinator
        self._state = SenderState.AWAITING_HELLO
        self._unacknowledged_sessions: list[dict] = []
        self._unacknowledged_handles: list[Handle] = []
        self._reported_descriptor_count: int | None = None  # to the other process
        # Taken since the state was sent, until the other process has said that it
        # understands them; None from then on.
        self._unshared_session_ids: list[str] | None = []

    @property
    def is_established(self) -> bool:
        """Whether the new process has requested the state and was not rejected."""
        return self._state is not SenderState.AWAITING_HELLO

    def connected(self) -> None:
        """Wait for the request of the state."""
        self.start_reply_timeout()

    def on_message(self, name: str, value: object) -> None:
        """Handle one message, see `HandoverProtocol`."""
        match name, self._state:
            case messages.HELLO, SenderState.AWAITING_HELLO:
                self._on_hello(value)
            case messages.STATE_APPLIED, SenderState.STATE_SENT:
                self._on_state_applied(StateApplied.decode(value))
            case messages.SESSIONS_RECEIVED, SenderState.SENDING_SESSIONS:
                self._on_sessions_received(value)
            case (
                messages.MAINTENANCE,
                SenderState.STATE_SENT | SenderState.SENDING_SESSIONS,
            ):
                self.apply_maintenance(value)
            case messages.SESSION_IDS, SenderState.SENDING_SESSIONS:
                self._on_session_ids(value)
            case _:
                raise HandoverError(f"{name} message not expected in this state")

    def _on_hello(self, value: object) -> None:
        if not Hello(self._proxy.node.name).matches(value):
            self._reject(INCOMPATIBLE_PROCESS)
        elif reason := self._coordinator.rejection_reason():
            self._reject(reason)
        else:
            self._send_state()

    def _reject(self, reason: str) -> None:
        self.send_message(Rejection(reason))
        self.end(reason)

    def _send_state(self) -> None:
        self._state = SenderState.STATE_SENT
        self._coordinator.on_state_requested(self)
        self.start_reply_timeout()
        snapshot = collect_snapshot(self._proxy)
        now_ms, max_server_bytes = (
            self._proxy.now(),
            self.limits.max_list_line_bytes / 2,
        )
        for fields in encode_snapshot(snapshot, now_ms, max_server_bytes):
            self.send_object(fields)
        self.send_message(StateComplete())
        self._coordinator.on_state_sent()

    def _on_state_applied(self, message: StateApplied) -> None:
        self.timer.cancel()
        self._state = SenderState.SENDING_SESSIONS
        self._coordinator.on_state_applied(message.with_state)
        self.send_sessions()

    def send_sessions(self) -> None:
        """Send the next batch, unless one is unacknowledged; runs periodically."""
        if self.is_ended:
            return
        self._send_descriptors_held()
        if self._unacknowledged_sessions:
            return
        batch, handles = self._detach_sessions()
        if batch:
            self._unacknowledged_sessions, self._unacknowledged_handles = batch, handles
            self.send_message(SessionBatch(batch), handles)
        self.set_timer(self.limits.handover_batch_interval_ms, self.send_sessions)

    def _send_descriptors_held(self) -> None:
        descriptor_count = (
            self.connection.transport.sockets + self.limits.non_connection_sockets
        )
        if descriptor_count != self._reported_descriptor_count:
            self._reported_descriptor_count = descriptor_count
            self.send_message(DescriptorsHeld(descriptor_count))

    def _detach_sessions(self) -> tuple[list[dict], list[Handle]]:
        """Release a batch of sessions; return their encodings and descriptors."""
        batch, handles = [], []
        for session, client in list(
            islice(self._transferable_sessions(), self.limits.handover_batch_size)
        ):
            fields = encode_session(collect_session(client))
            pair = self._proxy.hand_over_session(session, client)
            if pair:
                batch.append(fields)
                handles += pair
        return batch, handles

    def _transferable_sessions(self) -> Iterator[tuple[Session, Client]]:
        """Yield sessions that can be handed over now.

        The caller stops after one batch: checking all sessions for every batch would
        take quadratic time, and stalled the old process.
        """
        for session, client in self._proxy.clients.items():
            if client.quiet:
                yield session, client

    def _on_sessions_received(self, value: object) -> None:
        if not SessionsReceived(len(self._unacknowledged_sessions)).matches(value):
            raise HandoverError("acknowledged session count differs from that sent")
        self.connection.transport.close_handles(self._unacknowledged_handles)
        self._unacknowledged_sessions, self._unacknowledged_handles = [], []
        self.send_sessions()

    def _on_session_ids(self, value: object) -> None:
        unshared, self._unshared_session_ids = self._unshared_session_ids, None
        self.send_session_ids(unshared or ())
        self.apply_session_ids(value)

    def share_session_ids(self, session_ids: Sequence[str]) -> None:
        """Tell the new process of session ids, see `HandoverProtocol`."""
        if self._unshared_session_ids is None:
            self.send_session_ids(session_ids)
        elif len(self._unshared_session_ids) < self.limits.max_session_ids:
            self._unshared_session_ids += session_ids

    def on_ended(self, reason: str) -> None:
        """Serve the unacknowledged sessions again.

        The new process acknowledges a batch before it reads a byte of its sessions, so
        they are unchanged.
        """
        batch, self._unacknowledged_sessions = self._unacknowledged_sessions, []
        handles, self._unacknowledged_handles = self._unacknowledged_handles, []
        self.adopt_sessions(batch, handles)
        self._coordinator.on_sender_ended(self, reason)
