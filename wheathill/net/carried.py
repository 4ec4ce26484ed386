"""The sessions that a proxy carries: clients and their dials on one side, the decisions on the other, and what
these call for. Probes are carried likewise."""

from itertools import islice

from wheathill.log_events import LogEvent
from wheathill.model import AttemptOutcome, Session
from wheathill.net.client import Client
from wheathill.net.errors import ProtocolError
from wheathill.net.load_report import parse_load_report
from wheathill.net.open_request import OpenRequest
from wheathill.net.server import Dialled, ProbeLink
from wheathill.policy.retry_rules import may_reject, may_retry

# Of the spare descriptors, in eighths: so far newcomers are taken in, those taken in are dialled for, and servers are
# asked. The rest is for discovery, the operators' door and files.
NEWCOMERS, DIALS, PROBES = 3, 4, 5


def busy(come_back_after):
    return b"BUSY %d" % come_back_after if come_back_after >= 1 else b"BUSY"


class Carried:
    """A part of `proxy.Proxy`, which holds what both parts share."""

    # Clients

    def client(self, wire):
        return Client(wire, self, self.limits, self.clock)

    def came(self, client):
        self.silent[client] = self.now()

    def room(self):
        """Whether one more client may be taken in. Who connects without asking for anything holds a sixth of
        the descriptors at most, as sessions take two each and need the rest: the oldest make room. A line
        that has come and was not read yet is asked for."""
        if self.fits():
            return True
        for client in self.asking_nothing(self.limits.accepts_per_turn):
            self.shut(client)
        return self.fits()

    def fits(self):
        return len(self.silent) < self.limits.max_sockets // 6 and self.spare(NEWCOMERS)

    def spare(self, eighths):
        """Whether so many eighths of the spare descriptors are not all taken. Each use stops sooner than the next
        one: who may be most may take least."""
        return self.carrier.free > -self.limits.reserved_sockets * eighths / 8

    def asking_nothing(self, count):
        """Of so many that have sent no line, the oldest."""
        late = self.now() - self.limits.min_silence_to_evict_ms
        return [
            client
            for client, since in islice(self.silent.items(), count)
            if since < late and not client.wire.has_unread_bytes
        ]

    def shut(self, client):
        del self.silent[client]
        client.timer.cancel()
        client.wire.abort()

    def make_room(self):
        """Whether a session may be dialled for. What only rests makes room for it: links on which no probe is out,
        then clients that ask for nothing. What is under way without being a session, probes that are out and clients that
        have only just come, holds spare descriptors: sessions have the others, whoever took them first."""
        if self.carrier.free <= 0:
            for link in [link for link in self.links.values() if not link.asked][
                : 1 - self.carrier.free
            ]:
                link.end(None)
        if self.carrier.free <= 0:
            for client in self.asking_nothing(1 - self.carrier.free):
                self.shut(client)
        return self.carrier.free + len(self.links) + len(
            self.silent
        ) > 0 and self.spare(DIALS)

    def opened(self, client, came=None):
        """`came`: when its line did, where that was a while ago."""
        self.silent.pop(client, None)
        head, now = client.head, self.now()
        came = now - self.waited(client) if came is None else came
        listener = self.listeners.get(head.values.get("c"))
        if listener is None:
            raise ProtocolError("c names no listener")
        client.listener = listener
        left = min(
            head.number("d", listener.dial_timeout_ms), listener.dial_timeout_ms
        ) - (now - came)
        if left < -self.limits.max_answer_delay_ms:
            return self.give_up(client)
        tenant = head.values.get("t")
        if tenant is not None and self.tenants and tenant not in self.tenants:
            raise ProtocolError("t names no tenant")
        if self.early is not None:
            # What discovery's agent knows counts as told from the first moment, and the known list may be old.
            self.early[client] = came
            return client.set_timer(left / 4, client.wire.guard, self.let_in, client)
        sess = Session(
            listener=listener,
            key=head.key,
            deadline_ms=now + left - self.limits.answer_margin_ms,
            tenant=self.tenants.get(tenant, 0),
            group=head.values.get("g") if self.node.uses_groups else None,
            load=head.number("h"),
            mid_flow=head.flag("mid"),
            returning=head.flag("again"),
            is_client_retry=head.flag("r"),
        )
        self.note_id(head, sess)
        if not self.make_room():
            self.metrics.count("no sockets")
            self.answer(client, self.come_back(listener))
        elif "at" in head.values:
            client.sess = sess
            sess.deadline_ms = now + self.limits.restore_timeout_ms
            self.stand(client, sess)
        else:
            self.clients[sess] = client
            client.sess = sess
            self.metrics.count("came")
            client.set_timer(left, self.late, client)
            self.balancer.on_session(now, sess)

    def let_in(self, client):
        """Its time does not allow to wait for the first list any longer."""
        if self.early and client in self.early:
            early, self.early = self.early, None
            try:
                self.come_in(client, early.pop(client))
            finally:
                self.early = early

    def first_list_over(self):
        """It has come, or is waited for no longer: who came before it is let in."""
        early, self.early = self.early, None
        for client, came in (early or {}).items():
            client.timer.cancel()
            client.wire.guard(self.come_in, client, came)

    def come_in(self, client, came):
        try:
            self.opened(client, came)
        except ProtocolError as wrong:
            self.bad_client(client, str(wrong))

    def waited(self, client):
        """How long its line has lain here unread, which is nothing but where this process stood still."""
        self.stood_still(self.now())
        return client.wire.ms_since_receive if self.now() < self.old_until else 0.0

    def stood_still(self, now):
        """Where a sweep is late by a whole one, what is read now and in a moment has waited as well."""
        if now - self.swept > self.limits.sweep_interval_ms:
            self.old_until = now + 2 * self.limits.sweep_interval_ms

    def give_up(self, client):
        """Its time was over long before its line was read."""
        client.timer.cancel()
        client.wire.abort()

    def note_id(self, head, sess):
        """Ids are new with every connection: one that was seen belongs to another client, and servers answer
        its second session with ERR. Packets that come through this proxy again are the exception."""
        if head.id in self.ids and not sess.mid_flow and "at" not in head.values:
            raise ProtocolError("the id of another session")
        self.ids[head.id] = sess
        # Those that are open stay, and may be far more than the limit. Two looks for each that comes keep those that
        # are over fewer than the open ones and the limit; as many as there are above it took seconds for each client.
        for _ in range(2 if len(self.ids) > self.limits.max_session_ids else 0):
            oldest, held = next(iter(self.ids.items()))
            if held is sess or held in self.clients:
                self.ids.move_to_end(oldest)
            else:
                del self.ids[oldest]

    def late(self, client):
        """The decisions have missed a deadline, which only a fault can do, or this process stood still: the client
        must not suffer. One that was due long ago has given up, and is told nothing any more."""
        now = self.now()
        self.stood_still(now)
        behind = (
            now - client.sess.deadline_ms - self.limits.answer_margin_ms
            if client.sess
            else 0.0
        )
        self.log_event(
            LogEvent.DEADLINE_MISSED
            if behind >= self.limits.sweep_interval_ms or now < self.old_until
            else LogEvent.INTERNAL_ERROR,
            where="decisions",
            what="no answer in time",
            behind=round(behind),
        )
        if behind < self.limits.max_answer_delay_ms:
            self.answer_alone(client)
        else:
            self.hung_up(client)
            self.give_up(client)

    def answer_alone(self, client):
        """The final answer without the decisions, where a fault or the end of this process leaves them no time. What
        is known not to have run is refused: failed would say that it may have."""
        sess = client.sess
        refused = (
            may_reject(sess)
            if sess is not None
            else bool(self.early and client in self.early)
        )
        self.hung_up(client)
        self.answer(client, self.come_back(client.listener) if refused else b"ERR")

    def answer_all(self):
        for client in list(self.clients.values()):
            if not client.up:
                self.answer_alone(client)

    def come_back(self, listener):
        return busy(
            min(listener.handshake_target_ms, self.node.policy.max_retry_after_ms)
        )

    def answer(self, client, line):
        """A session's final answer where it isn't UP: the one place where it is given, and counted for the
        listener that it named."""
        if client.listener is not None:
            self.metrics.count_result(
                client.listener, "rejected" if line.startswith(b"BUSY") else "failed"
            )
        client.answer(line)

    def bad_client(self, client, why):
        self.silent.pop(client, None)
        self.metrics.count("bad")
        # They come by hundreds, at full speed: most are only counted.
        now = self.now()
        if now - self.bad_since >= self.limits.protocol_error_window_ms:
            self.bad_since, self.bad_logged = now, 0
        self.bad_logged += 1
        if self.bad_logged <= self.limits.max_protocol_errors_logged:
            self.log_event(
                LogEvent.PROTOCOL_ERROR, what=why, so_far=self.metrics.counts["bad"]
            )
        client.lines.unconsumed = b""
        self.answer(client, b"ERR")

    def hung_up(self, client):
        self.silent.pop(client, None)
        if self.early:
            self.early.pop(client, None)
        sess = client.sess
        if client.dial and not client.up and not client.dial.over:
            client.dial.over = True
            client.dial.timer.cancel()
            client.dial.wire.abort()
        if sess in self.clients:
            self.over(sess, "hung up")
            self.balancer.on_client_left(self.now(), sess)
        client.sess = None

    def over(self, sess, how):
        client = self.clients.pop(sess)
        self.asking.pop(client, None)
        client.sess = None
        sess.candidates = (
            None  # a generator that holds its session: a cycle, and of no use any more
        )
        self.ids[client.head.id] = None
        self.metrics.count(how)
        now = self.now()
        lasted = None if sess.accepted_ms is None else round(now - sess.accepted_ms)
        self.log_event(
            LogEvent.SESSION_ENDED,
            how=how,
            listener=sess.listener.name,
            lasted=lasted,
            waited=round(now - client.came - (lasted or 0), 1),
            dials=len(sess.attempts),
            server=sess.server and sess.server.name,
            came="mid-flow"
            if sess.mid_flow
            else "back"
            if sess.returning
            else "repeat"
            if sess.is_client_retry
            else "first",
        )
        return client

    def heard(self, server):
        self.balancer.on_server_activity(self.now(), server)

    def asks(self, client):
        """A line of it went to its server."""
        if client.sess is not None:
            self.asking[client] = None

    def message_took(self, client, spent):
        self.asking.pop(client, None)
        if client.sess is not None and spent > client.sess.listener.message_target_ms:
            self.metrics.count("late messages")
            self.balancer.on_message_latency(self.now(), client.sess, spent)

    def load_told(self, client, text):
        try:
            load = float(text)
        except ValueError:
            return self.log_event(LogEvent.PROTOCOL_ERROR, what="LOAD without a number")
        if client.sess is not None:
            self.balancer.on_load_declared(self.now(), client.sess, load)

    def sweep(self):
        self.clock.after(self.limits.sweep_interval_ms, self.sweep)
        now = self.now()
        self.worst_delay = max(self.worst_delay, now - self.swept)
        self.stood_still(now)
        self.swept = now + self.limits.sweep_interval_ms
        # These alone, and not all that are open: looking at each of them took a part of a core that grew with them.
        for client in list(self.asking):
            # Who reads nothing itself can't be brought an answer. One may end others of the same server.
            if (
                client.sess is not None
                and client.asked is not None
                and not client.wire.is_write_blocked
                and now - client.asked >= self.limits.unanswered_after_ms
            ):
                self.balancer.on_message_unanswered(
                    now, client.sess, now - client.asked
                )
                if (
                    client.moving
                    and now - client.asked >= self.limits.partial_line_timeout_ms
                ):
                    # Its server will hardly end the line any more, and MOVE may not stand within one.
                    client.dial.close()

    # Connections from before the start

    def stand(self, client, sess):
        """Up again at the server that holds it, however often that takes within the time given. The list
        that names it may still be on its way."""
        name, now = client.head.values["at"], self.now()
        if client.sess is not sess or not client.wire.open:
            pass
        elif now >= sess.deadline_ms:
            self.log_event(LogEvent.STANDING_SESSION_LOST, server=name)
            self.answer(client, b"ERR")
        elif name in self.servers:
            sess.server = self.servers[name]
            self.connect(client, sess.server, sess.deadline_ms - now)
        else:
            self.clock.after(self.limits.sweep_interval_ms, self.stand, client, sess)

    # Sessions of another process of this proxy, and for it

    def hand_over(self, sess, client):
        """Descriptors of both its connections, which this process lets go of; none where it has none left."""
        try:
            handles = [client.wire.duplicate()]
            try:
                handles.append(client.dial.wire.duplicate())
            except OSError:
                self.carrier.close_handles(handles)
                raise
        except OSError:
            return []
        client.dial.over = True
        client.timer.cancel()
        client.dial.timer.cancel()
        client.wire.abort()
        client.dial.wire.abort()
        self.over(sess, "handed over")
        self.balancer.on_client_left(self.now(), sess)
        return handles

    def carry(self, line, sess, handles, came, asked, server, rest):
        """Goes on where the other process stopped. Raises ValueError with nothing taken."""
        if server not in self.servers:
            raise ValueError(f"a session at {server!r}, which is not known")
        try:
            head = OpenRequest(line)
        except ProtocolError as wrong:
            raise ValueError(str(wrong)) from None
        client = Client(None, self, self.limits, self.clock)
        client.dial = dial = Dialled(
            client, self.servers[server], self, self.limits, self.clock
        )
        client.head, client.listener, client.sess = head, sess.listener, sess
        client.came, client.asked = came, asked
        if asked is not None:
            self.asking[client] = None
        client.up = dial.up = dial.sent = True
        dial.rest = rest
        self.clients[sess] = client
        self.ids[head.id] = sess
        self.metrics.add_listeners([sess.listener.name])
        self.balancer.on_session_handed_over(self.now(), sess, dial.server)
        for machine, handle in zip((client, dial), handles):
            self.carrier.adopt(handle, machine)

    # Dials

    def connect(self, client, server, time_out):
        client.dial = dial = Dialled(client, server, self, self.limits, self.clock)
        if client.sess.attempts:
            client.sess.attempts[-1].may_have_executed = False  # until its line leaves
        dial.address = self.addresses[server]
        dial.start(
            self.carrier.connect(dial, dial.address),
            time_out,
            self.limits.connect_timeout_ms,
        )

    @property
    def list_unread(self):
        """The list has more to tell that was not read yet: it counts as told already."""
        return any(
            watch and watch.wire.open and watch.wire.has_unread_bytes
            for watch in (self.watch, self.beside)
        )

    def may_send(self, dial):
        """The list may have changed while the connection was coming up: who answers at the old address of a server
        that came back elsewhere is not the one that was meant."""
        sess, now = dial.client.sess, self.now()
        if self.addresses.get(dial.server) != dial.address:
            return False
        if sess not in self.clients:
            return True
        # The window of an earlier dial may have ended meanwhile as well.
        may = self.balancer.endpoint_list.may_attempt(
            now, dial.server, sess.mid_flow
        ) and may_retry(now, sess, dial.server)
        # Told before the first byte leaves: from then on it may run.
        sess.attempts[-1].may_have_executed = may
        return may

    def dial_sent(self, dial):
        self.metrics.count("dials sent")

    def dial_up(self, dial, line):
        client, sess, now = dial.client, dial.client.sess, self.now()
        if (
            sess in self.clients
            and now > sess.deadline_ms + self.limits.answer_margin_ms
        ):
            # This process stood still over the dial timeout, and what its server said waited to be read before the
            # alarm that was due: UP is not said any more.
            return self.late(client)
        self.metrics.count_result(client.listener, "completed")
        client.serve(dial, line)
        self.heard(dial.server)
        if sess in self.clients:
            sess.candidates = None  # nobody else is to be tried
            self.balancer.on_session_accepted(now, sess)
        else:
            self.clients[sess] = client
            self.balancer.on_session_taken_over(now, sess, dial.server)

    def dial_over(self, dial, outcome):
        client, now = dial.client, self.now()
        # Of the dial that holds its client's place: one that was replaced is over for nobody.
        sess = client.sess if client.dial is dial else None
        if not dial.up:
            self.metrics.count("dial: " + outcome.value)
            self.log_event(
                LogEvent.ATTEMPT_FAILED,
                server=dial.server.name,
                outcome=outcome.value,
                after=round(now - dial.started, 1),
            )
        if sess is None:
            pass
        elif sess not in self.clients:
            # A standing connection that did not come up.
            self.clock.after(self.limits.sweep_interval_ms, self.stand, client, sess)
        elif dial.up:
            self.over(sess, outcome.value)
            self.balancer.on_outcome(now, sess, outcome, True)
        elif outcome is AttemptOutcome.COMPLETED:
            # Served to its end before it was ever up: the client is told what its server said.
            self.answer(self.over(sess, outcome.value), b"BYE")
            self.balancer.on_outcome(now, sess, outcome, True)
        else:
            self.balancer.on_outcome(now, sess, outcome, False)

    def odd_answer(self, dial, line):
        self.log_event(
            LogEvent.PROTOCOL_ERROR, server=dial.server.name, what=repr(line[:80])
        )

    def reported(self, server, text):
        figures = parse_load_report(text, self.node.report_fields)
        if figures:
            self.balancer.on_load_report(self.now(), server, figures)

    # What the decisions call for

    def start_attempt(self, session, server, timeout_ms):
        client = self.clients[session]
        if len(session.attempts) > 1:
            self.metrics.count("further dials")
        if not self.spare(DIALS):
            self.clock.soon(self.no_socket, session, session.attempts[-1])
        else:
            self.connect(client, server, timeout_ms)

    def no_socket(self, sess, dial):
        """Of that very dial: another one may be out by now."""
        if sess in self.clients and sess.attempts[-1] is dial:
            self.balancer.on_outcome(
                self.now(), sess, AttemptOutcome.CONNECT_FAILED, False
            )

    def reject(self, session, retry_after_ms):
        self.answer(self.over(session, "refused"), busy(retry_after_ms))

    def fail(self, session):
        self.answer(self.over(session, "torn down"), b"ERR")

    def migrate(self, session):
        client = self.clients.get(session)
        if client is not None and client.up and not client.moving:
            self.move_client(client)

    def move_client(self, client):
        if client.move():
            client.dial.over = True
            sess = client.sess
            self.over(sess, "moved")
            # Later: whoever asked for the move may be going through the sessions.
            self.clock.soon(self.moved, sess)

    def moved(self, sess):
        self.balancer.on_outcome(self.now(), sess, AttemptOutcome.CANCELLED, True)

    def set_timer(self, timer, at_ms):
        self.clock.at(at_ms, self.ring, timer)

    def ring(self, timer):
        self.balancer.on_timer(self.now(), timer)

    def log(self, text):
        self.log_event(LogEvent.POLICY_DECISION, what=text)

    # Probes

    def send_probe(self, server):
        self.metrics.count("probes")
        link = self.links.pop(server, None)
        if link is None:
            if (
                len(self.links) >= self.limits.max_probe_connections
                or self.carrier.free <= 0
            ):
                self.close_link()
            if not self.spare(PROBES):
                return self.clock.soon(self.no_probe, server)
            link = self.new_link(server)
        self.links[server] = link
        link.ask(self.now() + self.limits.probe_timeout_ms)

    def no_probe(self, server):
        """Held against nobody: no descriptor is left to ask."""
        self.balancer.on_probe_result(
            self.now(), server, AttemptOutcome.AT_CAPACITY, None
        )

    def new_link(self, server):
        link = ProbeLink(server, self, self.limits, self.clock)
        link.wire = self.carrier.connect(link, self.addresses[server])
        return link

    def probe_again(self, server, until):
        """Its link was closed for idleness in the moment in which it was asked, which tells nothing of the server."""
        if server in self.addresses:
            self.metrics.count("probes")
            link = self.links[server] = self.new_link(server)
            link.ask(until)
        else:
            self.balancer.on_probe_result(
                self.now(), server, AttemptOutcome.RESET, None
            )

    def close_link(self):
        for link in list(self.links.values()):
            if not link.asked:
                return link.end(None)

    def link_over(self, link):
        if self.links.get(link.server) is link:
            del self.links[link.server]

    def probed(self, link, outcome, text):
        figures = parse_load_report(text, self.node.report_fields)
        if outcome is AttemptOutcome.COMPLETED:
            self.heard(link.server)
        self.balancer.on_probe_result(self.now(), link.server, outcome, figures)
