"""The proxy: joins connections, discovery and probes to the decisions, and carries out what they call for.

Names of the protocol become objects at this door; nothing is decided here but what the machine itself
cannot do (no descriptor left) or what cannot be read.
"""

import random
from itertools import islice

from wheathill.config import address, needs_restart
from wheathill.model import ListKind, Outcome, Phase, Server, Session
from wheathill.net import bans
from wheathill.net.client import Client
from wheathill.net.discovery import Watch
from wheathill.net.figures import Figures
from wheathill.net.lines import Head, Malformed, report
from wheathill.net.server import Dialled, ProbeLink
from wheathill.policy import Balancer

PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}


def busy(come_back_after):
    return b"BUSY %d" % come_back_after if come_back_after >= 1 else b"BUSY"


class Proxy:
    def __init__(self, node, carrier, clock, log, decisions=Balancer):
        self.carrier = carrier
        self.figures = Figures()
        self.door = None        # where clients are taken in
        self.upgrade = None     # where another process may take over, or has
        self.handed_over = False
        self.swept = self.worst_delay = 0.0     # when a sweep was due; the longest one was late since logged
        self.take(node)
        self.started_with = node.told
        self.clock = clock
        self.log_event = log
        self.zones = {name: place for place, name in enumerate(node.zones)}
        self.servers = {}       # by name
        self.names = {}         # of all that were ever listed, the longest unlisted first
        self.addresses = {}     # Server -> (host, port)
        self.clients = {}       # Session -> Client, in order of arrival
        self.silent = {}        # clients that have sent no line yet, oldest first
        self.ids = {}           # of sessions taken, oldest first -> whether it is open
        self.links = {}         # Server -> ProbeLink, the longest unused first
        self.seen = 0           # version of the list
        self.watch = None
        self.next_watch = None  # the alarm that opens it again
        self.watch_why = None   # it ended last time, and nothing came since
        self.ready = False
        self.stopping = None
        self.bad_since = self.bad_logged = 0
        self.balancer = decisions(self, random.Random(node.seed), **node.balancer)

    def take(self, node):
        self.node = node
        self.limits = self.carrier.limits = node.limits
        self.listeners = {listener.name: listener for listener in node.listeners}
        self.figures.know(self.listeners)
        self.tenants = {name: place for place, name in enumerate(node.tenants)}

    def now(self):
        return self.clock.now()

    # Start, new configurations and stop

    def reload(self, node):
        """Sessions, servers and slots stay as they are; sessions that are open keep the listener that they
        were taken with. Servers stay known until the list at a new address has come whole."""
        old = self.node
        self.take(node)
        changed = needs_restart(self.started_with, node.told)
        self.log_event("reloaded", needs_restart=changed, **self.beliefs())
        if node.discovery is None:
            self.leave_watch()
            self.listed(node.known, ListKind.FULL)
        elif node.discovery != old.discovery:
            # Versions count at one address; asked for from the first, the new one tells the whole list.
            self.seen = 0
            self.leave_watch()
            self.open_watch()

    def start(self, taken=False):
        """`taken`: the list and all else are those of the process before."""
        self.balancer.on_start(self.now())
        self.read_bans()
        if self.node.known and not taken:
            self.listed(self.node.known, ListKind.CACHED if self.node.discovery else ListKind.FULL)
        if self.node.discovery:
            self.open_watch()
        self.clock.after(0.0 if taken else self.limits.list_wait, self.get_ready)
        self.swept = self.now() + self.limits.sweep
        self.clock.after(self.limits.sweep, self.sweep)
        self.clock.after(self.limits.figures, self.log_figures)

    def get_ready(self):
        if not self.ready and self.stopping is None:
            self.ready = True
            self.log_event("ready", servers=len(self.servers))

    def stop(self, stopped):
        """Newcomers still come for a while and are served; `stopped` is called when all is done."""
        if self.stopping is None:
            self.stopping = self.now()
            self.ready = False
            self.log_event("stopping", sessions=len(self.clients))
            if self.node.listen_fd is not None and self.door:
                # Others listen on the same socket: whoever waits there is theirs.
                self.door.close()
            self.clock.after(self.limits.sweep if self.handed_over else self.limits.newcomers,
                             self.wait_for_end, stopped)
            if not self.handed_over:
                self.balancer.on_stop(self.stopping, False)

    def wait_for_end(self, stopped):
        now = self.now()
        # Where packets pass through, what is open goes on at other proxies once this one is killed, but
        # breaks if it ends by itself: all its clients then came back at once, and were refused.
        most = self.limits.longest_dial + self.limits.stop_margin if self.node.moves_at_stop \
            else self.limits.stop_hold
        last = now >= self.stopping + most
        if last or not self.handed_over:
            self.balancer.on_stop(now, last)
        # Who is let in and has said nothing yet is still served here, by one that was taken over from too.
        if last or not self.clients and not (self.handed_over and self.silent):
            self.log_event("stopped", sessions=len(self.clients), since_start=self.figures.since_start())
            # The last MOVE lines are on their way: an end too soon would overtake them.
            self.clock.after(self.limits.stop_linger, stopped)
        else:
            self.clock.after(self.limits.sweep, self.wait_for_end, stopped)

    def log_figures(self):
        self.clock.after(self.limits.figures, self.log_figures)
        self.log_event("figures", **self.beliefs(), worst_delay=round(self.worst_delay, 1),
                       since_start=self.figures.since_start())
        self.worst_delay = 0.0

    def metrics(self):
        """What operators are told; the counts are those of the log."""
        listed = [server for server in self.servers.values() if server.phase is not Phase.GONE]
        left_out = self.left_out(self.now())
        return {**self.figures.told(), "pending": len(self.clients), "members": len(listed),
                "members_unavailable": sum(server.phase is not Phase.READY or server.name in left_out
                                           for server in listed)}

    def beliefs(self):
        """What the decisions take for true, beside what the sockets hold."""
        return {"sessions": len(self.clients), "up": sum(client.up for client in self.clients.values()),
                "placed": sum(len(server.sessions) for server in self.servers.values()),
                "sockets": self.carrier.sockets, "servers": len(self.balancer.roster.servers),
                "left_out": self.left_out(self.now()),
                "doubted": {server.name: round(server.doubt, 2) for server in self.balancer.roster.servers
                            if server.doubt != 1.0},
                "further_withheld": self.balancer.budget.withheld}

    def left_out(self, now):
        """The ready servers that nothing new goes to, by name, and why."""
        balancer = self.balancer
        servers = list(balancer.roster.servers)
        return {server.name: why for why, test in (
            ("cold, past its budget", lambda server: not balancer.cold.allows(now, server)),
            ("full", lambda server: balancer.levels.expected(now, server) >= balancer.levels.full),
            ("late", lambda server: balancer.levels.late_now(now, server)),
            ("failing", lambda server: balancer.health.failing(now, server)),
            ("silent", balancer.health.silent)) for server in servers if test(server)}

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
        late = self.now() - self.limits.ask_within
        for client in [client for client, since in islice(self.silent.items(), self.limits.accepts)
                       if since < late and not client.wire.unread]:
            del self.silent[client]
            client.timer.cancel()
            client.wire.abort()
        return self.fits()

    def fits(self):
        return len(self.silent) < self.limits.sockets // 6 and \
            self.carrier.free >= -self.limits.spare_sockets / 2

    def opened(self, client):
        self.silent.pop(client, None)
        head, now = client.head, self.now()
        listener = self.listeners.get(head.values.get("c"))
        if listener is None:
            raise Malformed("c names no listener")
        client.listener = listener
        left = min(head.number("d", listener.dial_timeout), listener.dial_timeout)
        tenant = head.values.get("t")
        if tenant is not None and self.tenants and tenant not in self.tenants:
            raise Malformed("t names no tenant")
        sess = Session(listener=listener, key=head.key, deadline=now + left - self.limits.answer_margin,
                       tenant=self.tenants.get(tenant, 0),
                       group=head.values.get("g") if self.node.groups else None,
                       load=head.number("h"), mid_flow=head.flag("mid"),
                       returning=head.flag("again"), repeat=head.flag("r"))
        self.note_id(head, sess)
        if self.carrier.free <= 0:
            self.figures.count("no sockets")
            self.answer(client, busy(min(listener.handshake_target, self.node.balancer["longest_wait"])))
        elif "at" in head.values:
            client.sess = sess
            sess.deadline = now + self.limits.standing
            self.stand(client, sess)
        else:
            self.clients[sess] = client
            client.sess = sess
            self.figures.count("came")
            client.set_timer(left, self.late, client)
            self.balancer.on_session(now, sess)

    def note_id(self, head, sess):
        """Ids are new with every connection: one that was seen belongs to another client, and servers answer
        its second session with ERR. Packets that come through this proxy again are the exception."""
        if head.id in self.ids and not sess.mid_flow and "at" not in head.values:
            raise Malformed("the id of another session")
        self.ids[head.id] = sess
        while len(self.ids) > self.limits.ids:
            oldest = next(iter(self.ids))
            held = self.ids.pop(oldest)
            if held in self.clients:
                self.ids[oldest] = held

    def late(self, client):
        """The decisions have missed a deadline, which only a fault can do: the client must not suffer."""
        self.log_event("fault", where="decisions", what="no answer in time")
        self.hung_up(client)
        self.answer(client, b"ERR")

    def answer(self, client, line):
        """A session's final answer where it isn't UP: the one place where it is given, and counted for the
        listener that it named."""
        if client.listener is not None:
            self.figures.ended(client.listener, "rejected" if line.startswith(b"BUSY") else "failed")
        client.answer(line)

    def bad_client(self, client, why):
        self.silent.pop(client, None)
        self.figures.count("bad")
        # They come by hundreds, at full speed: most are only counted.
        now = self.now()
        if now - self.bad_since >= self.limits.bad_every:
            self.bad_since, self.bad_logged = now, 0
        self.bad_logged += 1
        if self.bad_logged <= self.limits.bad_lines:
            self.log_event("bad input", what=why, so_far=self.figures.counts["bad"])
        client.lines.rest = b""
        self.answer(client, b"ERR")

    def hung_up(self, client):
        self.silent.pop(client, None)
        sess = client.sess
        if client.dial and not client.up and not client.dial.over:
            client.dial.over = True
            client.dial.timer.cancel()
            client.dial.wire.abort()
        if sess in self.clients:
            self.over(sess, "hung up")
            self.balancer.on_hang_up(self.now(), sess)
        client.sess = None

    def over(self, sess, how):
        client = self.clients.pop(sess)
        client.sess = None
        self.ids[client.head.id] = None
        self.figures.count(how)
        now = self.now()
        lasted = None if sess.accepted is None else round(now - sess.accepted)
        self.log_event("session", how=how, listener=sess.listener.name, lasted=lasted,
                       waited=round(now - client.came - (lasted or 0), 1), dials=len(sess.dials),
                       server=sess.server and sess.server.name,
                       came="mid-flow" if sess.mid_flow else "back" if sess.returning
                       else "repeat" if sess.repeat else "first")
        return client

    def heard(self, server):
        self.balancer.on_heard(self.now(), server)

    def message_took(self, client, spent):
        if client.sess is not None and spent > client.sess.listener.message_target:
            self.figures.count("late messages")
            self.balancer.on_notice(self.now(), client.sess, message_ms=spent)

    def load_told(self, client, text):
        try:
            load = float(text)
        except ValueError:
            return self.log_event("bad input", what="LOAD without a number")
        if client.sess is not None:
            self.balancer.on_notice(self.now(), client.sess, load=load)

    def sweep(self):
        self.clock.after(self.limits.sweep, self.sweep)
        now = self.now()
        self.worst_delay = max(self.worst_delay, now - self.swept)
        self.swept = now + self.limits.sweep
        for client in list(self.clients.values()):
            # Who reads nothing itself can't be brought an answer. One may end others of the same server.
            if client.sess is not None and client.asked is not None and not client.wire.full \
                    and now - client.asked >= self.limits.unanswered:
                self.balancer.on_unanswered(now, client.sess, now - client.asked)
                if client.moving and now - client.asked >= self.limits.half_line:
                    # Its server will hardly end the line any more, and MOVE may not stand within one.
                    client.dial.close()

    # Connections from before the start

    def stand(self, client, sess):
        """Up again at the server that holds it, however often that takes within the time given. The list
        that names it may still be on its way."""
        name, now = client.head.values["at"], self.now()
        if client.sess is not sess or not client.wire.open:
            pass
        elif now >= sess.deadline:
            self.log_event("lost standing", server=name)
            self.answer(client, b"ERR")
        elif name in self.servers:
            sess.server = self.servers[name]
            self.connect(client, sess.server, sess.deadline - now)
        else:
            self.clock.after(self.limits.sweep, self.stand, client, sess)

    # Sessions of another process of this proxy, and for it

    def hand_over(self, sess, client):
        """Descriptors of both its connections, which this process lets go of; none where it has none left."""
        try:
            handles = [client.wire.copy()]
            try:
                handles.append(client.dial.wire.copy())
            except OSError:
                self.carrier.drop(handles)
                raise
        except OSError:
            return []
        client.dial.over = True
        client.timer.cancel()
        client.dial.timer.cancel()
        client.wire.abort()
        client.dial.wire.abort()
        self.over(sess, "handed over")
        self.balancer.on_hang_up(self.now(), sess)
        return handles

    def carry(self, line, sess, handles, came, asked, server, rest):
        """Goes on where the other process stopped. Raises ValueError with nothing taken."""
        if server not in self.servers:
            raise ValueError(f"a session at {server!r}, which is not known")
        try:
            head = Head(line)
        except Malformed as wrong:
            raise ValueError(str(wrong)) from None
        client = Client(None, self, self.limits, self.clock)
        client.dial = dial = Dialled(client, self.servers[server], self, self.limits, self.clock)
        client.head, client.listener, client.sess = head, sess.listener, sess
        client.came, client.asked = came, asked
        client.up = dial.up = dial.sent = True
        dial.rest = rest
        self.clients[sess] = client
        self.ids[head.id] = sess
        self.figures.know([sess.listener.name])
        self.balancer.on_carried(self.now(), sess, dial.server)
        for machine, handle in zip((client, dial), handles):
            self.carrier.adopt(handle, machine)

    # Dials

    def connect(self, client, server, time_out):
        client.dial = dial = Dialled(client, server, self, self.limits, self.clock)
        dial.start(self.carrier.connect(dial, self.addresses[server]), time_out, self.limits.connect)

    def may_send(self, dial):
        """The list may have changed while the connection was coming up."""
        sess = dial.client.sess
        return sess not in self.clients or self.balancer.roster.may_dial(
            self.now(), dial.server, sess.mid_flow)

    def dial_sent(self, dial):
        self.figures.count("dials sent")

    def dial_up(self, dial, line):
        client, sess, now = dial.client, dial.client.sess, self.now()
        self.figures.ended(client.listener, "completed")
        client.serve(dial, line)
        self.heard(dial.server)
        if sess in self.clients:
            self.balancer.on_accepted(now, sess)
        else:
            self.clients[sess] = client
            self.balancer.on_open_session(now, sess, dial.server)

    def dial_over(self, dial, outcome):
        client, now = dial.client, self.now()
        sess = client.sess
        if not dial.up:
            self.figures.count("dial: " + outcome.value)
            self.log_event("dial failed", server=dial.server.name, outcome=outcome.value,
                           after=round(now - dial.started, 1))
        if sess is None:
            pass
        elif sess not in self.clients:
            # A standing connection that did not come up.
            self.clock.after(self.limits.sweep, self.stand, client, sess)
        elif dial.up:
            self.over(sess, outcome.value)
            self.balancer.on_outcome(now, sess, outcome, True)
        elif outcome is Outcome.COMPLETED:
            # Served to its end before it was ever up: the client is told what its server said.
            self.answer(self.over(sess, outcome.value), b"BYE")
            self.balancer.on_outcome(now, sess, outcome, True)
        else:
            self.balancer.on_outcome(now, sess, outcome, False)

    def odd_answer(self, dial, line):
        self.log_event("bad input", server=dial.server.name, what=repr(line[:80]))

    def reported(self, server, text):
        figures = report(text, self.node.report_fields)
        if figures:
            self.balancer.on_report(self.now(), server, figures)

    # What the decisions call for

    def dial(self, sess, server, time_out):
        client = self.clients[sess]
        if len(sess.dials) > 1:
            self.figures.count("further dials")
        if self.carrier.free <= -self.limits.spare_sockets / 2:
            self.clock.soon(self.no_socket, sess)
        else:
            self.connect(client, server, time_out)

    def no_socket(self, sess):
        if sess in self.clients:
            self.balancer.on_outcome(self.now(), sess, Outcome.CONNECT_FAILED, False)

    def refuse(self, sess, come_back_after):
        self.answer(self.over(sess, "refused"), busy(come_back_after))

    def tear_down(self, sess):
        self.answer(self.over(sess, "torn down"), b"ERR")

    def move(self, sess):
        client = self.clients.get(sess)
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
        self.balancer.on_outcome(self.now(), sess, Outcome.CANCELLED, True)

    def alarm(self, name, at):
        self.clock.at(at, self.ring, name)

    def ring(self, name):
        self.balancer.on_alarm(self.now(), name)

    def log(self, text):
        self.log_event("decision", what=text)

    # Probes

    def probe(self, server):
        self.figures.count("probes")
        link = self.links.pop(server, None)
        if link is None:
            if len(self.links) >= self.limits.probe_links:
                self.close_link()
            link = ProbeLink(server, self, self.limits, self.clock)
            link.wire = self.carrier.connect(link, self.addresses[server])
        self.links[server] = link
        link.ask()

    def close_link(self):
        for link in list(self.links.values()):
            if not link.asked:
                return link.end(None)

    def link_over(self, link):
        if self.links.get(link.server) is link:
            del self.links[link.server]

    def probed(self, link, outcome, text):
        figures = report(text, self.node.report_fields)
        if outcome is Outcome.COMPLETED:
            self.heard(link.server)
        self.balancer.on_probed(self.now(), link.server, outcome, figures)

    # Servers out by hand

    def by_hand(self, name, out, told=None):
        """Kept first, then in force: whether it outlives this process. Raises OSError with nothing changed.
        `told`: the other process that said so."""
        held = dict(self.balancer.roster.out)
        if out:
            held.setdefault(name, self.now())
        else:
            held.pop(name, None)
        path = bans.path_of(self.node)
        if path and list(held) != list(self.balancer.roster.out):
            try:
                bans.write(path, {other: self.clock.to_wall(since) for other, since in held.items()})
            except OSError as wrong:
                if told is None:
                    raise
                # The other process has kept it, and said yes: it counts here all the same.
                self.log_event("bad bans", path=path, what=str(wrong))
        self.log_event("out by hand" if out else "put back", server=name, out=len(held))
        self.balancer.on_hand(self.now(), name, out, self.servers.get(name))
        if self.upgrade:
            self.upgrade.hand(name, out, told)
        return bool(path)

    def read_bans(self):
        path = bans.path_of(self.node)
        try:
            for name, since in bans.read(path, self.limits.names).items() if path else ():
                self.names[name] = None
                self.balancer.roster.out.setdefault(name, self.clock.from_wall(since))
                self.log_event("out by hand", server=name, out=len(self.balancer.roster.out))
        except (OSError, ValueError) as wrong:
            self.log_event("bad bans", path=path, what=str(wrong))

    # The list of servers

    def open_watch(self):
        if self.next_watch:
            self.next_watch.cancel()
        self.watch = Watch(self.node.discovery[0], self.seen, self, self.limits, self.clock)
        self.watch.start(self.carrier.connect(self.watch, self.node.discovery))

    def leave_watch(self):
        if self.next_watch:
            self.next_watch.cancel()
        if self.watch:
            self.watch.leave()

    def watch_over(self, why):
        if why != self.watch_why:
            self.log_event("watch over", why=why)
        self.watch_why = why
        self.next_watch = self.clock.after(self.limits.list_retry, self.open_watch)

    def follow_list(self, on):
        """The watch is always open: the agent is on this machine and costs nothing."""
        self.clock.soon(self.followed)

    def followed(self):
        self.balancer.on_list(self.now(), ListKind.CHANGES, [])

    def listed(self, found, kind=None):
        if not isinstance(found, dict) or not isinstance(found.get("hosts"), list):
            return self.log_event("bad input", what="a list without hosts")
        kind = kind or (ListKind.FULL if found.get("whole") else ListKind.CHANGES)
        entries = []
        for host in found["hosts"]:
            try:
                entries.append(self.entry(host))
            except (KeyError, TypeError, ValueError) as wrong:
                self.log_event("bad input", what=f"an entry of the list: {wrong!r}")
                # Not taken for the whole list: the server that it is about would count as gone.
                kind = ListKind.CHANGES
        if isinstance(found.get("seq"), int):
            self.seen = found["seq"]
        self.balancer.on_list(self.now(), kind, entries)
        self.forget_gone()
        if kind is not ListKind.CACHED:
            if self.watch_why is not None:
                self.log_event("watch back")
            self.watch_why = None
            self.get_ready()

    def forget_gone(self):
        """Names may be new with every release: those that left would add up. One that comes back is new."""
        ready = self.balancer.roster.servers
        for name, server in list(self.servers.items()):
            if server.phase is Phase.GONE and server not in ready and not server.sessions:
                if server in self.links:
                    self.links[server].end(Outcome.RESET)
                del self.servers[name]
                self.addresses.pop(server, None)

    def entry(self, host):
        name, phase, born = host["host"], PHASES[host["health"]], float(host.get("born_ms") or 0)
        weight = float(host.get("share") or 1.0)
        cell = int(host.get("block") or 0)
        server = self.servers.get(name) or Server(str(name))
        if host.get("dial"):
            where = address(host["dial"], "dial")
            if self.addresses.get(server, where) != where and server in self.links:
                self.links[server].end(Outcome.RESET)
            self.addresses[server] = where
        elif phase is not Phase.GONE:
            raise ValueError("no address")
        if host.get("site") is not None:
            server.zone, server.cell = self.zones.get(host["site"], -1), cell
        self.servers[name] = server
        self.names.pop(name, None)
        self.names[name] = None
        if len(self.names) > self.limits.names:
            # Of those listed the list is the bound; the others go, unless they are out.
            gone = next((old for old in self.names
                         if old not in self.servers and old not in self.balancer.roster.out), None)
            self.names.pop(gone, None)
        return server, phase, weight, self.clock.from_wall(born) if born else None
