"""Base class of the two protocol state machines of a handover.

Messages are lines of JSON; their Python types are in `messages`:

    new process                            old process
    hello [VERSION, PROXY_NAME]        ->
                                       <-  no REASON; or it stops accepting and sends
                                           the sections of its state, then told
    took WITH_STATE                    ->
                                       <-  sessions [...], with two descriptors each
    carried COUNT                      ->
                                       <-  held COUNT (descriptors)
    hand [SERVER, IS_IN_MAINTENANCE]  <->  hand [SERVER, IS_IN_MAINTENANCE]
    used [SESSION_ID, ...]            <->  used [SESSION_ID, ...]

After `took`, sessions are handed over until the old process exits.

A line is limited to `limits.max_list_line_bytes`, and the wait for a reply to
`limits.handover_timeout_ms`. On any error a process closes the connection.
"""

from collections.abc import Sequence
from typing import Protocol

import orjson

from wheathill.handover.errors import HandoverError
from wheathill.handover.interfaces import Connection, EventLog, Handle
from wheathill.handover.messages import (
    MAX_SESSION_IDS,
    MaintenanceChange,
    SessionIdsUsed,
)
from wheathill.handover.restore import build_session
from wheathill.handover.session_codec import decode_session
from wheathill.log_events import LogEvent
from wheathill.net.protocol_machine import ProtocolMachine
from wheathill.net.proxy import Proxy


class Message(Protocol):
    """Interface of the types in `messages`."""

    def encode(self) -> dict:
        """Return the message's object."""


class Coordinator(Protocol):
    """The part of `coordinator.UpgradeCoordinator` that both ends use."""

    log_event: EventLog


class HandoverProtocol(ProtocolMachine):
    """One end of a handover.

    Attributes:
        is_ended: whether the handover has ended; nothing more is sent or processed.
    """

    def __init__(
        self, connection: Connection, proxy: Proxy, coordinator: Coordinator
    ) -> None:
        super().__init__(coordinator, proxy.limits, proxy.clock)
        self.connection = connection
        self.is_ended = False
        self._proxy = proxy
        self._coordinator = coordinator
        self._partial_line = b""
        self._unclaimed_handles: list[Handle] = []  # received before their message

    @property
    def is_established(self) -> bool:
        """Whether both processes have agreed to the handover."""
        raise NotImplementedError

    def on_message(self, name: str, value: object) -> None:
        """Handle one message.

        Raises:
            ValueError, AttributeError: if it is unexpected or invalid, which ends the
                handover.
        """
        raise NotImplementedError

    def on_ended(self, reason: str) -> None:
        """Handle the end of the handover; called once."""
        raise NotImplementedError

    # Called by the connection

    def received(self, data: bytes, handles: Sequence[Handle] = ()) -> None:
        """Process bytes, and the descriptors that were received with them."""
        self._unclaimed_handles += handles
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        try:
            if len(self._partial_line) > self.limits.max_list_line_bytes:
                raise HandoverError("message too long")
            for line in lines:
                self._receive_line(line)
        # AttributeError: the line is valid JSON, but not an object.
        except (ValueError, AttributeError) as error:
            self.end(f"{error}")

    def _receive_line(self, line: bytes) -> None:
        if not self.is_ended:
            for name, value in orjson.loads(line).items():
                self.on_message(name, value)

    def lost(self, reset: bool) -> None:
        """End the handover, as the connection was lost."""
        self.end("the other process is gone")

    def fault(self) -> None:
        """End the handover, as a callback of the connection raised an exception."""
        self.end("internal error")

    # Called by the subclasses

    def send_message(self, message: Message, handles: Sequence[Handle] = ()) -> None:
        """Send one message, with descriptors."""
        self.send_object(message.encode(), handles)

    def send_object(self, fields: dict, handles: Sequence[Handle] = ()) -> None:
        """Send one JSON object, with descriptors."""
        self.connection.send(
            orjson.dumps(fields, default=tuple, option=orjson.OPT_APPEND_NEWLINE),
            handles,
        )

    def start_reply_timeout(self) -> None:
        """End the handover unless the other process replies in time."""
        self.set_timer(
            self.limits.handover_timeout_ms, self.end, "timed out waiting for a reply"
        )

    def end(self, reason: str) -> None:
        """End the handover, unless it has ended; close unclaimed descriptors."""
        if not self.is_ended:
            self.is_ended = True
            self.timer.cancel()
            self.connection.close()
            self.connection.transport.close_handles(self._unclaimed_handles)
            self._unclaimed_handles = []
            self.on_ended(reason)

    def adopt_sessions(
        self, sessions: Sequence[dict], handles: Sequence[Handle]
    ) -> None:
        """Serve sessions, each with two descriptors that the transport has counted.

        An invalid session is logged, and its descriptors are closed.
        """
        for index, fields in enumerate(sessions):
            pair = handles[2 * index : 2 * index + 2]
            try:
                self._adopt_session(fields, pair)
            except ValueError as error:
                self.connection.transport.close_handles(pair)
                self._coordinator.log_event(LogEvent.HANDOVER_ERROR, what=str(error))

    def _adopt_session(self, fields: dict, handles: Sequence[Handle]) -> None:
        record = decode_session(fields)
        self._proxy.adopt_session(
            record.open_line,
            build_session(record, self._proxy.listeners),
            handles,
            connected_ms=record.connected_ms,
            unanswered_since_ms=record.unanswered_since_ms,
            server_name=record.server_name,
            partial_line=record.partial_line,
        )

    # Maintenance changes by operators apply to all processes of a proxy

    def send_maintenance(self, server_name: str, is_in_maintenance: bool) -> None:
        """Send a maintenance change that this process received from an operator."""
        self.send_message(MaintenanceChange(server_name, is_in_maintenance))

    def apply_maintenance(self, value: object) -> None:
        """Apply a maintenance change that the other process has sent."""
        change = MaintenanceChange.decode(value)
        self._proxy.set_maintenance(
            change.server_name, change.is_in_maintenance, forwarded_by=self
        )

    # No session id may run at both processes of a proxy

    def share_session_ids(self, session_ids: Sequence[str]) -> None:
        """Tell the other process of session ids that this one has taken.

        That has no effect if the other process is of a build that doesn't share them.
        """
        raise NotImplementedError

    def send_session_ids(self, session_ids: Sequence[str]) -> None:
        """Send session ids, in messages of limited size."""
        for start in range(0, len(session_ids), MAX_SESSION_IDS):
            batch = session_ids[start : start + MAX_SESSION_IDS]
            self.send_message(SessionIdsUsed(list(batch)))

    def apply_session_ids(self, value: object) -> None:
        """Remember session ids that the other process has taken."""
        session_ids = SessionIdsUsed.decode(value).session_ids
        self._proxy.remember_session_ids(session_ids, forwarded_by=self)
