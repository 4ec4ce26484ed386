"""What both ends of a handover share: state machines fed bytes and descriptors.

The conversation, in lines of JSON:

    new process                       old process
    hello [VERSION, NAME]         ->
                                  <-  no REASON; or it stops accepting and sends
                                      the sections of its state, then told
    took (whether from the state) ->
                                  <-  sessions [...], two descriptors each
    carried COUNT                 ->
                                  <-  held COUNT (descriptors)
    hand [SERVER, IS_OUT]        <->  hand [SERVER, IS_OUT]

From `took` on this goes on until the old process has no session left, and ends.

Bounded: a line by `limits.max_list_line_bytes`, waits by `limits.handover_timeout_ms`.
Whoever is in doubt closes.
"""

from collections.abc import Sequence
from typing import Protocol

import orjson

from wheathill.handover.errors import HandoverError
from wheathill.handover.interfaces import Connection, EventLog, Handle
from wheathill.handover.messages import MaintenanceChange
from wheathill.handover.restore import build_session
from wheathill.handover.session_codec import decode_session
from wheathill.log_events import LogEvent
from wheathill.net.protocol_machine import ProtocolMachine
from wheathill.net.proxy import Proxy


class Message(Protocol):
    """Any of `messages`."""

    def encode(self) -> dict:
        """Return the message's object."""


class Coordinator(Protocol):
    """What both ends need of `coordinator.UpgradeCoordinator`."""

    log_event: EventLog


class HandoverProtocol(ProtocolMachine):
    """One end of a handover.

    Attributes:
        is_over: the conversation has ended; nothing is sent or taken any more.
    """

    def __init__(
        self, connection: Connection, proxy: Proxy, coordinator: Coordinator
    ) -> None:
        super().__init__(coordinator, proxy.limits, proxy.clock)
        self.connection = connection
        self.is_over = False
        self._proxy = proxy
        self._coordinator = coordinator
        self._unfinished_line = b""
        self._received_handles: list[Handle] = []  # of no message yet

    @property
    def is_agreed(self) -> bool:
        """Whether both processes go on with the handover."""
        raise NotImplementedError

    def on_message(self, name: str, value: object) -> None:
        """React to one message.

        Raises:
            ValueError, AttributeError: if it is out of turn or cannot be used; the
                conversation ends.
        """
        raise NotImplementedError

    def on_over(self, reason: str) -> None:
        """React to the end of the conversation, which comes once."""
        raise NotImplementedError

    # Called by the connection

    def received(self, data: bytes, handles: Sequence[Handle] = ()) -> None:
        """Take bytes and the descriptors that came with them."""
        self._received_handles += handles
        *lines, self._unfinished_line = (self._unfinished_line + data).split(b"\n")
        try:
            if len(self._unfinished_line) > self.limits.max_list_line_bytes:
                raise HandoverError("a message too long")
            for line in lines:
                self._receive_line(line)
        # An AttributeError: a line that holds no object.
        except (ValueError, AttributeError) as error:
            self.end(f"{error}")

    def _receive_line(self, line: bytes) -> None:
        if not self.is_over:
            for name, value in orjson.loads(line).items():
                self.on_message(name, value)

    def lost(self, reset: bool) -> None:
        """End, as the connection is over."""
        self.end("the other process is gone")

    def fault(self) -> None:
        """End, as a call from the connection has raised an exception."""
        self.end("a fault")

    # Called by both ends

    def send_message(self, message: Message, handles: Sequence[Handle] = ()) -> None:
        """Send one message, with descriptors."""
        self.send_object(message.encode(), handles)

    def send_object(self, fields: dict, handles: Sequence[Handle] = ()) -> None:
        """Send one JSON object, with descriptors."""
        self.connection.send(
            orjson.dumps(fields, default=tuple, option=orjson.OPT_APPEND_NEWLINE),
            handles,
        )

    def await_answer(self) -> None:
        """Give the other process so long to answer."""
        self.set_timer(self.limits.handover_timeout_ms, self.end, "no answer in time")

    def end(self, reason: str) -> None:
        """End the conversation, once; descriptors of no message are closed."""
        if not self.is_over:
            self.is_over = True
            self.timer.cancel()
            self.connection.close()
            self.connection.transport.close_handles(self._received_handles)
            self._received_handles = []
            self.on_over(reason)

    def adopt_sessions(
        self, sessions: Sequence[dict], handles: Sequence[Handle]
    ) -> None:
        """Serve sessions, each with two descriptors, counted so far as plain ones.

        One that cannot be used is logged, and its connections are closed.
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

    # Operators' calls count for all processes of a proxy

    def send_maintenance(self, server_name: str, is_out: bool) -> None:
        """Pass on an operator's call that came to this process."""
        self.send_message(MaintenanceChange(server_name, is_out))

    def apply_maintenance(self, value: object) -> None:
        """Put an operator's call that came to the other process in force here."""
        change = MaintenanceChange.decode(value)
        self._proxy.set_maintenance(
            change.server_name, change.is_out, forwarded_by=self
        )
