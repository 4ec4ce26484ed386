"""The old process's end of a handover: sends its state, then its sessions."""

import enum
from collections.abc import Iterator
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

WRONG_PARTNER = "it speaks another version, or for another proxy"


class SenderState(enum.Enum):
    """How far the handover is."""

    CONNECTED = enum.auto()  # the new process has not asked yet
    STATE_SENT = enum.auto()
    HANDING_OVER = enum.auto()  # the new process accepts


class SenderCoordinator(Coordinator, Protocol):
    """What this end needs of `coordinator.UpgradeCoordinator`."""

    def rejection_reason(self) -> str | None:
        """Return why nobody can take over now, or None."""

    def on_state_requested(self, sender: "HandoverSender") -> None:
        """A new process has asked for the state, which is sent next."""

    def on_state_sent(self) -> None:
        """The whole state has been sent."""

    def on_state_taken(self, with_state: bool) -> None:
        """The new process accepts."""

    def on_sender_over(self, sender: "HandoverSender", reason: str) -> None:
        """The conversation has ended."""


class HandoverSender(HandoverProtocol):
    """Sends the state when asked, then sessions as they become quiet.

    Few sessions at a time, the next ones once these are taken: descriptors are doubled
    on their way.
    """

    def __init__(
        self, connection: Connection, proxy: Proxy, coordinator: SenderCoordinator
    ) -> None:
        super().__init__(connection, proxy, coordinator)
        self._coordinator: SenderCoordinator = coordinator
        self._state = SenderState.CONNECTED
        self._batch: list[dict] = []  # of sessions that were sent and not yet taken
        self._batch_handles: list[Handle] = []
        self._last_descriptors_held: int | None = None  # as the other process knows

    @property
    def is_agreed(self) -> bool:
        """Whether the new process has asked and was not rejected."""
        return self._state is not SenderState.CONNECTED

    def connected(self) -> None:
        """Wait to be asked."""
        self.await_answer()

    def on_message(self, name: str, value: object) -> None:
        """React to one message, see `HandoverProtocol`."""
        match name, self._state:
            case messages.HELLO, SenderState.CONNECTED:
                self._on_hello(value)
            case messages.STATE_APPLIED, SenderState.STATE_SENT:
                self._on_state_applied(StateApplied.decode(value))
            case messages.SESSIONS_RECEIVED, SenderState.HANDING_OVER:
                self._on_sessions_received(value)
            case (
                messages.MAINTENANCE,
                SenderState.STATE_SENT | SenderState.HANDING_OVER,
            ):
                self.apply_maintenance(value)
            case _:
                raise HandoverError(f"{name} out of turn")

    def _on_hello(self, value: object) -> None:
        if not Hello(self._proxy.node.name).matches(value):
            self._reject(WRONG_PARTNER)
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
        self.await_answer()
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
        self._state = SenderState.HANDING_OVER
        self._coordinator.on_state_taken(message.with_state)
        self.send_sessions()

    def send_sessions(self) -> None:
        """Send the next batch, unless one is on its way; again after a while."""
        if self.is_over:
            return
        self._send_descriptors_held()
        if self._batch:
            return
        batch, handles = self._take_sessions()
        if batch:
            self._batch, self._batch_handles = batch, handles
            self.send_message(SessionBatch(batch), handles)
        self.set_timer(self.limits.handover_batch_interval_ms, self.send_sessions)

    def _send_descriptors_held(self) -> None:
        held = self.connection.transport.sockets + self.limits.non_connection_sockets
        if held != self._last_descriptors_held:
            self._last_descriptors_held = held
            self.send_message(DescriptorsHeld(held))

    def _take_sessions(self) -> tuple[list[dict], list[Handle]]:
        """Let go of some sessions: their forms on the wire and their descriptors."""
        batch, handles = [], []
        for session, client in list(
            islice(self._quiet(), self.limits.handover_batch_size)
        ):
            fields = encode_session(collect_session(client))
            pair = self._proxy.hand_over_session(session, client)
            if pair:
                batch.append(fields)
                handles += pair
        return batch, handles

    def _quiet(self) -> Iterator[tuple[Session, Client]]:
        """Yield sessions that may go over.

        No more are looked at than go over now: all, each time, would be their square.
        """
        for session, client in self._proxy.clients.items():
            if client.quiet:
                yield session, client

    def _on_sessions_received(self, value: object) -> None:
        if not SessionsReceived(len(self._batch)).matches(value):
            raise HandoverError("not what was sent")
        self.connection.transport.close_handles(self._batch_handles)
        self._batch, self._batch_handles = [], []
        self.send_sessions()

    def on_over(self, reason: str) -> None:
        """Serve what was sent and not said to be taken.

        It is still this process's: the other one answers before it reads a byte of it.
        """
        batch, self._batch = self._batch, []
        handles, self._batch_handles = self._batch_handles, []
        self.adopt_sessions(batch, handles)
        self._coordinator.on_sender_over(self, reason)
