"""The sessions of a proxy: its clients, attempts at servers, and probes.

Everything that happens on connections is reported to the balancer, whose decisions are
carried out here.
"""

from itertools import islice

from wheathill.log_events import LogEvent
from wheathill.model import AttemptOutcome, Session
from wheathill.net.client import Client
from wheathill.net.errors import ProtocolError
from wheathill.net.load_report import parse_load_report
from wheathill.net.open_request import OpenRequest
from wheathill.net.server import ProbeConnection, ServerAttempt
from wheathill.policy.retry_rules import may_reject, may_retry

# Eighths of the reserved descriptors up to which clients are accepted, attempts are
# started and servers are probed. The rest is for discovery, the admin endpoint and
# files.
ACCEPT_EIGHTHS, ATTEMPT_EIGHTHS, PROBE_EIGHTHS = 3, 4, 5


def encode_busy(retry_after_ms):
    """Return the BUSY line, with a delay where there is one."""
    return b"BUSY %d" % retry_after_ms if retry_after_ms >= 1 else b"BUSY"


class SessionHandlingMixin:
    """The part of `proxy.Proxy` that handles sessions and probes.

    The state that both mixins share is in `Proxy`.
    """

    # Clients

    def create_client(self, connection):
        """Return the state machine of a client's connection."""
        return Client(connection, self, self.limits, self.clock)

    def on_client_connected(self, client):
        """Note a client that has sent no line yet."""
        self.silent_clients[client] = self.now()

    def has_room(self):
        """Return whether one more client may be accepted.

        Clients that connect without a request hold a sixth of the descriptors at most,
        as sessions take two each and need the rest: the oldest of them are evicted. A
        line that was received and not read yet counts as a request.
        """
        if self.is_below_limits():
            return True
        for client in self.evictable_clients(self.limits.accept_batch_size):
            self.evict(client)
        return self.is_below_limits()

    def is_below_limits(self):
        """Return whether silent clients and descriptors are below their limits."""
        return len(
            self.silent_clients
        ) < self.limits.max_sockets // 6 and self.has_spare_descriptors(ACCEPT_EIGHTHS)

    def has_spare_descriptors(self, eighths):
        """Return whether fewer than these eighths of the reserve are in use.

        The more numerous the connections of a kind may be, the sooner it has to stop.
        """
        return self.transport.free > -self.limits.reserved_sockets * eighths / 8

    def evictable_clients(self, count):
        """Return those of the `count` oldest silent clients that may be evicted."""
        connected_before = self.now() - self.limits.min_idle_to_evict_ms
        return [
            client
            for client, connected_ms in islice(self.silent_clients.items(), count)
            if connected_ms < connected_before
            and not client.connection.has_unread_bytes
        ]

    def evict(self, client):
        """Close a silent client's connection."""
        del self.silent_clients[client]
        client.timer.cancel()
        client.connection.abort()

    def make_room_for_attempt(self):
        """Return whether an attempt may be made for a session.

        Idle connections are closed for it: first those to servers with no probe under
        way, then those of silent clients. Probes under way and clients that have just
        connected are no sessions, so they count against the reserved descriptors;
        sessions may use the others, whoever took them first.
        """
        if self.transport.free <= 0:
            for probe in [
                probe
                for probe in self.probe_connections.values()
                if not probe.is_awaiting_answer
            ][: 1 - self.transport.free]:
                probe.end(None)
        if self.transport.free <= 0:
            for client in self.evictable_clients(1 - self.transport.free):
                self.evict(client)
        return self.transport.free + len(self.probe_connections) + len(
            self.silent_clients
        ) > 0 and self.has_spare_descriptors(ATTEMPT_EIGHTHS)

    def on_open_request(self, client, received_ms=None):
        """Start a session, or keep its client until the first endpoint list.

        Args:
            client: whose OPEN line was read.
            received_ms: when the line was received, if that was a while ago.

        Raises:
            ProtocolError: if the line names no listener or tenant that is configured,
                a value is invalid, or the session id was used before.
        """
        self.silent_clients.pop(client, None)
        request, now = client.open_request, self.now()
        received_ms = (
            now - self.unread_age_ms(client) if received_ms is None else received_ms
        )
        listener = self.listeners.get(request.values.get("c"))
        if listener is None:
            raise ProtocolError("OPEN value c names no listener")
        client.listener = listener
        remaining_ms = min(
            request.number("d", listener.dial_timeout_ms), listener.dial_timeout_ms
        ) - (now - received_ms)
        if remaining_ms < -self.limits.max_answer_delay_ms:
            return self.drop_client(client)
        remaining_ms = min(remaining_ms, self.shutdown.ms_until_answers(now))
        tenant = request.values.get("t")
        if (
            tenant is not None
            and self.tenant_indexes
            and tenant not in self.tenant_indexes
        ):
            raise ProtocolError("OPEN value t names no tenant")
        if self.early_clients is not None:
            # What the discovery agent knows counts as known here from the start, and
            # the cached endpoint list may be outdated.
            self.early_clients[client] = received_ms
            return client.set_timer(
                remaining_ms / 4,
                client.connection.guard,
                self.admit_before_list,
                client,
            )
        session = Session(
            listener=listener,
            key=request.key,
            deadline_ms=now + remaining_ms - self.limits.answer_margin_ms,
            tenant=self.tenant_indexes.get(tenant, 0),
            group=request.values.get("g") if self.node.uses_groups else None,
            load=request.number("h"),
            mid_flow=request.flag("mid"),
            returning=request.flag("again"),
            is_client_retry=request.flag("r"),
        )
        self.record_session_id(request, session)
        if not self.make_room_for_attempt():
            self.metrics.count("no sockets")
            self.send_final_answer(client, self.busy_response(listener))
        elif "at" in request.values:
            client.session = session
            session.deadline_ms = now + self.limits.restore_timeout_ms
            self.restore_standing_session(client, session)
        else:
            self.clients[session] = client
            client.session = session
            self.metrics.count("came")
            client.set_timer(remaining_ms, self.on_deadline_missed, client)
            self.balancer.on_session(now, session)

    def admit_before_list(self, client):
        """Admit a client whose time is too short to wait for the endpoint list."""
        if self.early_clients and client in self.early_clients:
            early_clients, self.early_clients = self.early_clients, None
            try:
                self.admit(client, early_clients.pop(client))
            finally:
                self.early_clients = early_clients

    def admit_early_clients(self):
        """Admit all that wait, as the first list is here or no longer waited for."""
        early_clients, self.early_clients = self.early_clients, None
        for client, received_ms in (early_clients or {}).items():
            client.timer.cancel()
            client.connection.guard(self.admit, client, received_ms)

    def admit(self, client, received_ms):
        """Start the session of a client that has waited for the endpoint list."""
        try:
            self.on_open_request(client, received_ms)
        except ProtocolError as error:
            self.on_client_error(client, str(error))

    def unread_age_ms(self, client):
        """Return how long a line was in the kernel before it was read.

        That is 0 unless this process was paused.
        """
        self.detect_pause(self.now())
        return (
            client.connection.ms_since_receive
            if self.now() < self.stale_input_until_ms
            else 0.0
        )

    def detect_pause(self, now):
        """Recognise a pause of this process by a sweep that is a whole interval late.

        What is read now and in the next moments has waited as long.
        """
        if now - self.next_sweep_ms > self.limits.sweep_interval_ms:
            self.stale_input_until_ms = now + 2 * self.limits.sweep_interval_ms

    def drop_client(self, client):
        """Close without an answer, as the client has stopped waiting for one."""
        client.timer.cancel()
        client.connection.abort()

    def record_session_id(self, request, session):
        """Remember the id of a session; raises ProtocolError if it was used before.

        Ids are new with every connection, so a known one belongs to another client, and
        servers answer its second session with ERR. Packets of one session that return
        to this proxy are the exception.
        """
        session_id = request.remembered_id
        if (
            session_id in self.session_ids
            and not session.mid_flow
            and "at" not in request.values
        ):
            raise ProtocolError("session id was used before")
        self.session_ids.add(
            session_id, session, self.clients, self.limits.max_session_ids
        )
        if self.handover_coordinator:
            self.handover_coordinator.forward_session_ids([session_id], None)

    def remember_session_ids(self, session_ids, forwarded_by):
        """Remember ids of sessions that another process of this proxy has taken."""
        for session_id in session_ids:
            self.session_ids.add(
                session_id, None, self.clients, self.limits.max_session_ids
            )
        if self.handover_coordinator and session_ids:
            self.handover_coordinator.forward_session_ids(session_ids, forwarded_by)

    def on_deadline_missed(self, client):
        """Answer a client that the balancer has not answered by its deadline.

        Only a fault can cause that, or a pause of this process; the client must not
        suffer from it. If the deadline was long ago, the client has given up and is
        sent nothing any more.
        """
        now = self.now()
        self.detect_pause(now)
        overdue_ms = (
            now - client.session.deadline_ms - self.limits.answer_margin_ms
            if client.session
            else 0.0
        )
        self.log_event(
            LogEvent.DEADLINE_MISSED
            if overdue_ms >= self.limits.sweep_interval_ms
            or now < self.stale_input_until_ms
            else LogEvent.INTERNAL_ERROR,
            where="decisions",
            what="session had no final answer at its deadline",
            behind=round(overdue_ms),
        )
        if overdue_ms < self.limits.max_answer_delay_ms:
            self.answer_without_policy(client)
        else:
            self.on_client_left(client)
            self.drop_client(client)

    def answer_without_policy(self, client):
        """Give the final answer without the balancer.

        That is necessary after a fault, or when this process ends. What is known not to
        have run is rejected: failing it would say that it may have run.
        """
        session = client.session
        is_rejected = (
            may_reject(session)
            if session is not None
            else bool(self.early_clients and client in self.early_clients)
        )
        self.on_client_left(client)
        self.send_final_answer(
            client, self.busy_response(client.listener) if is_rejected else b"ERR"
        )

    def answer_pending_sessions(self):
        """Give all sessions that are not up their final answer."""
        for client in list(self.clients.values()):
            if not client.is_up:
                self.answer_without_policy(client)

    def busy_response(self, listener):
        """Return the BUSY line of a rejection that is not the balancer's."""
        return encode_busy(
            min(listener.handshake_target_ms, self.node.policy.max_retry_after_ms)
        )

    def send_final_answer(self, client, line):
        """Send a session's final answer where it isn't UP.

        All of them are sent here, and counted for the listener that the client named.
        """
        if client.listener is not None:
            self.metrics.count_result(
                client.listener, "rejected" if line.startswith(b"BUSY") else "failed"
            )
        client.answer(line)

    def on_client_error(self, client, reason):
        """Answer a client that breaks the protocol with ERR."""
        self.silent_clients.pop(client, None)
        self.metrics.count("bad")
        self.client_errors.add(self.limits, reason)
        client.lines.unconsumed = b""
        self.send_final_answer(client, b"ERR")

    def on_client_left(self, client):
        """End a client's session and its attempt, if any."""
        self.silent_clients.pop(client, None)
        if self.early_clients:
            self.early_clients.pop(client, None)
        session = client.session
        if client.attempt and not client.is_up and not client.attempt.is_over:
            client.attempt.is_over = True
            client.attempt.timer.cancel()
            client.attempt.connection.abort()
        if session in self.clients:
            self.end_session(session, "hung up")
            self.balancer.on_client_left(self.now(), session)
        client.session = None

    def end_session(self, session, reason):
        """Forget a session and log its end; returns its client."""
        client = self.clients.pop(session)
        self.awaiting_answer.pop(client, None)
        client.session = None
        # No longer needed: a generator that refers to its session forms a cycle.
        session.candidates = None
        self.session_ids[client.open_request.remembered_id] = None
        self.metrics.count(reason)
        now = self.now()
        lasted_ms = (
            None if session.accepted_ms is None else round(now - session.accepted_ms)
        )
        self.log_event(
            LogEvent.SESSION_ENDED,
            how=reason,
            listener=session.listener.name,
            lasted=lasted_ms,
            waited=round(now - client.connected_ms - (lasted_ms or 0), 1),
            dials=len(session.attempts),
            server=session.server and session.server.name,
            came="mid-flow"
            if session.mid_flow
            else "back"
            if session.returning
            else "repeat"
            if session.is_client_retry
            else "first",
        )
        return client

    def on_server_data(self, server):
        """Note that bytes were received from a server."""
        self.balancer.on_server_activity(self.now(), server)

    def on_request_forwarded(self, client):
        """Note that a line of a client went to its server, which has to answer it."""
        if client.session is not None:
            self.awaiting_answer[client] = None

    def on_message_answered(self, client, latency_ms):
        """Report a message that was answered too late."""
        self.awaiting_answer.pop(client, None)
        if (
            client.session is not None
            and latency_ms > client.session.listener.message_target_ms
        ):
            self.metrics.count("late messages")
            self.balancer.on_message_latency(self.now(), client.session, latency_ms)

    def on_load_declared(self, client, text):
        """Report the load of a session as its server declares it."""
        try:
            load = float(text)
        except ValueError:
            return self.server_errors.add(
                self.limits, "value of a LOAD line is not a number"
            )
        if client.session is not None:
            self.balancer.on_load_declared(self.now(), client.session, load)

    def sweep(self):
        """Report messages without an answer; runs periodically."""
        self.clock.after(self.limits.sweep_interval_ms, self.sweep)
        now = self.now()
        self.max_sweep_delay_ms = max(self.max_sweep_delay_ms, now - self.next_sweep_ms)
        self.detect_pause(now)
        self.next_sweep_ms = now + self.limits.sweep_interval_ms
        # Only these clients: iterating over all open sessions took a share of a core
        # that grew with their number.
        for client in list(self.awaiting_answer):
            # A client that does not read cannot be sent an answer. Ending one session
            # may end others of the same server.
            if (
                client.session is not None
                and client.unanswered_since_ms is not None
                and not client.connection.is_write_blocked
                and now - client.unanswered_since_ms >= self.limits.unanswered_after_ms
            ):
                self.balancer.on_message_unanswered(
                    now, client.session, now - client.unanswered_since_ms
                )
                if (
                    client.is_migrating
                    and now - client.unanswered_since_ms
                    >= self.limits.partial_line_timeout_ms
                ):
                    # The server will hardly complete its line any more, and MOVE may
                    # not stand within one.
                    client.attempt.close()

    # Standing sessions, from before the start of this proxy

    def restore_standing_session(self, client, session):
        """Connect a session to the server that holds it.

        That is retried within the given time. The endpoint list that names the server
        may not have been received yet.
        """
        name, now = client.open_request.values["at"], self.now()
        if client.session is not session or not client.connection.open:
            pass
        elif now >= session.deadline_ms:
            self.log_event(LogEvent.STANDING_SESSION_LOST, server=name)
            self.send_final_answer(client, b"ERR")
        elif name in self.servers:
            session.server = self.servers[name]
            self.connect(client, session.server, session.deadline_ms - now)
        else:
            self.clock.after(
                self.limits.sweep_interval_ms,
                self.restore_standing_session,
                client,
                session,
            )

    # Handover of sessions between processes of this proxy

    def hand_over_session(self, session, client):
        """Release a session; returns descriptors of both its connections.

        Returns:
            An empty list, with the session kept, if no descriptor is left.
        """
        try:
            handles = [client.connection.duplicate()]
            try:
                handles.append(client.attempt.connection.duplicate())
            except OSError:
                self.transport.close_handles(handles)
                raise
        except OSError:
            return []
        client.attempt.is_over = True
        client.timer.cancel()
        client.attempt.timer.cancel()
        client.connection.abort()
        client.attempt.connection.abort()
        self.end_session(session, "handed over")
        self.balancer.on_client_left(self.now(), session)
        return handles

    def adopt_session(
        self,
        open_line,
        session,
        handles,
        connected_ms,
        unanswered_since_ms,
        server_name,
        partial_line,
    ):
        """Continue a session that another process has handed over.

        Raises:
            ValueError: if the session cannot be used; nothing was changed then.
        """
        if server_name not in self.servers:
            raise ValueError(f"session is at an unknown server: {server_name!r}")
        try:
            request = OpenRequest(open_line)
        except ProtocolError as error:
            raise ValueError(str(error)) from None
        client = Client(None, self, self.limits, self.clock)
        client.attempt = attempt = ServerAttempt(
            client, self.servers[server_name], self, self.limits, self.clock
        )
        client.open_request, client.listener, client.session = (
            request,
            session.listener,
            session,
        )
        client.connected_ms, client.unanswered_since_ms = (
            connected_ms,
            unanswered_since_ms,
        )
        if unanswered_since_ms is not None:
            self.awaiting_answer[client] = None
        client.is_up = attempt.is_up = attempt.is_sent = True
        attempt.partial_line = partial_line
        self.clients[session] = client
        self.session_ids[request.remembered_id] = session
        self.metrics.add_listeners([session.listener.name])
        self.balancer.on_session_handed_over(self.now(), session, attempt.server)
        for machine, handle in zip((client, attempt), handles):
            self.transport.adopt(handle, machine)

    # Attempts

    def connect(self, client, server, timeout_ms):
        """Start an attempt of a client's session at a server."""
        client.attempt = attempt = ServerAttempt(
            client, server, self, self.limits, self.clock
        )
        if client.session.attempts:
            # Set again when the OPEN line is sent.
            client.session.attempts[-1].may_have_executed = False
        attempt.address = self.addresses[server]
        attempt.start(
            self.transport.connect(attempt, attempt.address),
            timeout_ms,
            self.limits.connect_timeout_ms,
        )

    @property
    def has_unread_list(self):
        """Whether bytes of the endpoint list wait to be read.

        What they say counts as known already.
        """
        return any(
            watch and watch.connection.open and watch.connection.has_unread_bytes
            for watch in (self.watch, self.hedge_watch)
        )

    def may_send(self, attempt):
        """Return whether the OPEN line may be sent, as far as is known by now.

        The endpoint list may have changed during the connection set-up: if the server
        has another address now, whatever answers at the old one is not that server.
        """
        session, now = attempt.client.session, self.now()
        if self.addresses.get(attempt.server) != attempt.address:
            return False
        if session not in self.clients:
            return True
        # The deduplication window of an earlier attempt may have ended meanwhile, too.
        may_send = self.balancer.endpoint_list.may_attempt(
            now, attempt.server, session.mid_flow
        ) and may_retry(now, session, attempt.server)
        # Set before the first byte leaves: from then on the session may run.
        session.attempts[-1].may_have_executed = may_send
        return may_send

    def on_request_sent(self, attempt):
        """Count an OPEN line that has left."""
        self.metrics.count("dials sent")

    def on_attempt_accepted(self, attempt, line):
        """Pass a server's UP line to its client, and note that the session is up."""
        client, session, now = attempt.client, attempt.client.session, self.now()
        if (
            session in self.clients
            and now > session.deadline_ms + self.limits.answer_margin_ms
        ):
            # This process was paused beyond the dial timeout, and the server's answer
            # was read before the timer that was due: UP is too late by now.
            return self.on_deadline_missed(client)
        self.metrics.count_result(client.listener, "completed")
        client.forward_up(attempt, line)
        self.on_server_data(attempt.server)
        if session in self.clients:
            session.candidates = None  # no other server will be tried
            self.balancer.on_session_accepted(now, session)
        else:
            self.clients[session] = client
            self.balancer.on_session_taken_over(now, session, attempt.server)

    def on_attempt_ended(self, attempt, outcome):
        """Report how an attempt, or a session that was up, has ended."""
        client, now = attempt.client, self.now()
        # Only if the attempt is its client's current one: for one that was replaced,
        # nobody has to be told.
        session = client.session if client.attempt is attempt else None
        if not attempt.is_up:
            self.metrics.count("dial: " + outcome.value)
            self.log_event(
                LogEvent.ATTEMPT_FAILED,
                server=attempt.server.name,
                outcome=outcome.value,
                after=round(now - attempt.started_ms, 1),
            )
        if session is None:
            pass
        elif session not in self.clients:
            # A standing session could not be restored yet.
            self.clock.after(
                self.limits.sweep_interval_ms,
                self.restore_standing_session,
                client,
                session,
            )
        elif attempt.is_up:
            self.end_session(session, outcome.value)
            self.balancer.on_outcome(now, session, outcome, True)
        elif outcome is AttemptOutcome.COMPLETED:
            # The session has run to its end without UP: the client is told so.
            self.send_final_answer(self.end_session(session, outcome.value), b"BYE")
            self.balancer.on_outcome(now, session, outcome, True)
        else:
            self.balancer.on_outcome(now, session, outcome, False)

    def on_unexpected_answer(self, attempt, line):
        """Log a server's first line that is not in the protocol."""
        self.server_errors.add(self.limits, repr(line[:80]), server=attempt.server.name)

    def on_load_report(self, server, text):
        """Report the load that a server states with its answer."""
        figures = parse_load_report(text, self.node.report_fields)
        if figures:
            self.balancer.on_load_report(self.now(), server, figures)

    # Effects that the balancer calls for, see `model.SessionEffects`

    def start_attempt(self, session, server, timeout_ms):
        """Make an attempt at a server, which has so long to accept the session."""
        client = self.clients[session]
        if len(session.attempts) > 1:
            self.metrics.count("further dials")
        if not self.has_spare_descriptors(ATTEMPT_EIGHTHS):
            self.clock.soon(self.fail_without_descriptor, session, session.attempts[-1])
        else:
            self.connect(client, server, timeout_ms)

    def fail_without_descriptor(self, session, attempt):
        """Report that no descriptor was left for an attempt, if it is still current."""
        if session in self.clients and session.attempts[-1] is attempt:
            self.balancer.on_outcome(
                self.now(), session, AttemptOutcome.CONNECT_FAILED, False
            )

    def reject(self, session, retry_after_ms):
        """Reject the session: nothing of it was executed; the client may retry."""
        self.send_final_answer(
            self.end_session(session, "refused"), encode_busy(retry_after_ms)
        )

    def fail(self, session):
        """Answer the session as failed: it may have been executed."""
        self.send_final_answer(self.end_session(session, "torn down"), b"ERR")

    def migrate(self, session):
        """Ask the client to reconnect, so that its session migrates."""
        client = self.clients.get(session)
        if client is not None and client.is_up and not client.is_migrating:
            self.migrate_client(client)

    def migrate_client(self, client):
        """Send MOVE, now or once the server has completed its line."""
        if not client.migrate():
            return
        attempt, session = client.attempt, client.session
        attempt.is_over = True
        if attempt.has_sent_last_line:
            outcome, reason = attempt.outcome, attempt.outcome.value
        else:
            outcome, reason = AttemptOutcome.CANCELLED, "moved"
        self.end_session(session, reason)
        # Deferred: the caller may be iterating over the sessions.
        self.clock.soon(self.report_migrated, session, outcome)

    def report_migrated(self, session, outcome):
        """Tell the balancer how a session has ended by migration."""
        self.balancer.on_outcome(self.now(), session, outcome, True)

    def set_timer(self, timer, at_ms):
        """Call `Balancer.on_timer` with this timer at that time."""
        self.clock.at(at_ms, self.on_timer, timer)

    def on_timer(self, timer):
        """Pass a timer back to the balancer."""
        self.balancer.on_timer(self.now(), timer)

    def log(self, text):
        """Log a decision for operators."""
        self.log_event(LogEvent.POLICY_DECISION, what=text)

    # Probes

    def send_probe(self, server):
        """Send a health check to a server."""
        self.metrics.count("probes")
        probe = self.probe_connections.pop(server, None)
        if probe is None:
            if (
                len(self.probe_connections) >= self.limits.max_probe_connections
                or self.transport.free <= 0
            ):
                self.close_idle_probe_connection()
            if not self.has_spare_descriptors(PROBE_EIGHTHS):
                return self.clock.soon(self.skip_probe, server)
            probe = self.open_probe_connection(server)
        self.probe_connections[server] = probe
        probe.request_report(self.now() + self.limits.probe_timeout_ms)

    def skip_probe(self, server):
        """Report a probe without a descriptor; it does not count against the server."""
        self.balancer.on_probe_result(
            self.now(), server, AttemptOutcome.AT_CAPACITY, None
        )

    def open_probe_connection(self, server):
        """Return a connection for probes that is being established."""
        probe = ProbeConnection(server, self, self.limits, self.clock)
        probe.connection = self.transport.connect(probe, self.addresses[server])
        return probe

    def retry_probe(self, server, deadline_ms):
        """Repeat a probe whose connection was closed for idleness as it was sent.

        That says nothing about the server.
        """
        if server in self.addresses:
            self.metrics.count("probes")
            probe = self.probe_connections[server] = self.open_probe_connection(server)
            probe.request_report(deadline_ms)
        else:
            self.balancer.on_probe_result(
                self.now(), server, AttemptOutcome.RESET, None
            )

    def close_idle_probe_connection(self):
        """Close the connection for probes that was not used for the longest time."""
        for probe in list(self.probe_connections.values()):
            if not probe.is_awaiting_answer:
                return probe.end(None)

    def on_probe_connection_closed(self, probe):
        """Forget a connection for probes."""
        if self.probe_connections.get(probe.server) is probe:
            del self.probe_connections[probe.server]

    def on_probe_ended(self, probe, outcome, text):
        """Report how a probe has ended, with the load that the answer states."""
        figures = parse_load_report(text, self.node.report_fields)
        if outcome is AttemptOutcome.COMPLETED:
            self.on_server_data(probe.server)
        self.balancer.on_probe_result(self.now(), probe.server, outcome, figures)
