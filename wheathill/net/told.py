"""What a proxy is told: its configuration, the list of servers, and who is out by an operator's hand."""

from wheathill.config import address, needs_restart
from wheathill.model import ListKind, Outcome, Phase, Server
from wheathill.net import bans
from wheathill.net.discovery import Watch

PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}


class Told:
    """A part of `proxy.Proxy`, which holds what both parts share."""

    # Configurations

    def take(self, node):
        self.node = node
        self.limits = self.carrier.limits = node.limits
        self.listeners = {listener.name: listener for listener in node.listeners}
        self.figures.know(self.listeners)
        self.tenants = {name: place for place, name in enumerate(node.tenants)}

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
                if self.peers:
                    self.peers.forget_server(name)

    def told_by_peers(self, server, phase, born):
        """Others were told of a drain, that it is over, or of a new start, which this proxy's list doesn't say."""
        started = self.clock.from_wall(born) if born else None
        if server.listed is not phase or (server.started or 0.0) < (started or 0.0):
            self.log_event("told by a peer", server=server.name, phase=phase.value)
            self.balancer.on_list(self.now(), ListKind.BY_HAND, [(server, phase, server.weight, started)])

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
        if self.peers:
            phase, born = self.peers.on_entry(name, phase, born)
        self.servers[name] = server
        self.names.pop(name, None)
        self.names[name] = None
        if len(self.names) > self.limits.names:
            # Of those listed the list is the bound; the others go, unless they are out.
            gone = next((old for old in self.names
                         if old not in self.servers and old not in self.balancer.roster.out), None)
            self.names.pop(gone, None)
        return server, phase, weight, self.clock.from_wall(born) if born else None
