"""What a proxy is told: its configuration, the list of servers, and who is out by an operator's hand."""

import math
from itertools import islice

from wheathill.config.addresses import parse_address
from wheathill.config.reload import keys_needing_restart
from wheathill.log_events import LogEvent
from wheathill.model import AttemptOutcome, EndpointEntry, Phase, Server, UpdateKind
from wheathill.net.discovery import Watch
from wheathill.net.maintenance_store import maintenance_store_of

PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}


class Told:
    """A part of `proxy.Proxy`, which holds what both parts share."""

    # Configurations

    def take(self, node):
        self.node = node
        self.limits = self.transport.limits = node.limits
        self.listeners = {listener.name: listener for listener in node.listeners}
        self.metrics.add_listeners(self.listeners)
        self.tenants = {name: place for place, name in enumerate(node.tenants)}

    def reload(self, node):
        """Sessions, servers and slots stay as they are; sessions that are open keep the listener that they
        were taken with. Servers stay known until the list at a new address has come whole."""
        old = self.node
        self.take(node)
        changed = keys_needing_restart(self.started_with, node.source)
        self.log_event(
            LogEvent.CONFIGURATION_RELOADED, needs_restart=changed, **self.beliefs()
        )
        if node.discovery_address is None:
            self.close_watch()
            self.on_endpoint_list(node.initial_endpoints, UpdateKind.SNAPSHOT)
        elif node.discovery_address != old.discovery_address:
            # Versions count at one address; asked for from the first, the new one tells all that has changed.
            self.list_version = 0
            self.open_watch()

    # Servers in maintenance

    def set_maintenance(self, name, out, forwarded_by=None):
        """Takes a server out of service or back in; returns whether that outlives this process.

        Kept first, then in force. `forwarded_by`: the other process that an operator called. Raises OSError with
        nothing changed."""
        held = dict(self.balancer.endpoint_list.maintenance_since_ms)
        if out:
            held.setdefault(name, self.now())
        else:
            held.pop(name, None)
        store = maintenance_store_of(self.node)
        if store and list(held) != list(
            self.balancer.endpoint_list.maintenance_since_ms
        ):
            try:
                store.save(
                    {other: self.clock.to_wall(since) for other, since in held.items()}
                )
            except OSError as wrong:
                if forwarded_by is None:
                    raise
                # The other process has kept it, and said yes: it counts here all the same.
                self.log_event(
                    LogEvent.MAINTENANCE_FILE_ERROR, path=store.path, what=str(wrong)
                )
        self.log_event(
            LogEvent.MAINTENANCE_ENTERED if out else LogEvent.MAINTENANCE_EXITED,
            server=name,
            out=len(held),
        )
        self.balancer.set_maintenance(self.now(), name, out, self.servers.get(name))
        if self.handover_coordinator:
            self.handover_coordinator.forward_maintenance(name, out, forwarded_by)
        return store is not None

    def load_maintenance(self):
        store = maintenance_store_of(self.node)
        if store is None:
            return
        try:
            for name, since in store.load(self.limits.max_unlisted_names).items():
                self.known_names[name] = None
                self.balancer.endpoint_list.maintenance_since_ms.setdefault(
                    name, self.clock.from_wall(since)
                )
                self.log_event(
                    LogEvent.MAINTENANCE_ENTERED,
                    server=name,
                    out=len(self.balancer.endpoint_list.maintenance_since_ms),
                )
        except (OSError, ValueError) as wrong:
            self.log_event(
                LogEvent.MAINTENANCE_FILE_ERROR, path=store.path, what=str(wrong)
            )

    # The list of servers

    def open_watch(self):
        """Asks anew, from the version of which all took effect."""
        self.close_watch()
        self.gap = False
        self.asked_at = self.now()
        self.watch = self.ask_list()
        self.watch_timer = self.clock.after(
            self.limits.watch_hedge_delay_ms, self.ask_beside, self.watch
        )

    def ask_list(self):
        watch = Watch(
            self.node.discovery_address[0],
            self.list_version,
            self,
            self.limits,
            self.clock,
        )
        watch.start(self.transport.connect(watch, self.node.discovery_address))
        return watch

    def ask_beside(self, watch):
        """One that was asked while discovery was out of reach may never be answered, while what is known there at its
        return counts as told at once; a slow answer is waited for all the same. So a second one is asked beside the
        first, again and again: whichever answers first is the watch."""
        if watch is self.watch and not watch.is_answered:
            if self.hedge_watch:
                self.hedge_watch.cancel()
                self.hedge_watch = None
            # Not beside one whose answer is on its way: a list of thousands may take that long, and more so asked twice.
            if self.now() - watch.last_received_ms >= self.limits.watch_hedge_delay_ms:
                self.hedge_watch = self.ask_list()
            self.watch_timer = self.clock.after(
                self.limits.watch_hedge_delay_ms, self.ask_beside, watch
            )

    def on_watch_answered(self, watch):
        other = self.watch if watch is self.hedge_watch else self.hedge_watch
        if other:
            other.cancel()
        self.watch, self.hedge_watch = watch, None
        self.watch_timer.cancel()

    def close_watch(self):
        if self.watch_timer:
            self.watch_timer.cancel()
        for watch in (self.watch, self.hedge_watch):
            if watch:
                watch.cancel()
        self.watch = self.hedge_watch = None

    def on_watch_ended(self, watch, why):
        if watch is self.hedge_watch:
            self.hedge_watch = None
        if watch is not self.watch:
            return
        if why != self.watch_why:
            self.log_event(LogEvent.ENDPOINT_WATCH_LOST, why=why)
        self.watch_why = why
        self.close_watch()
        if self.limits.watch_backoff_ms:
            # Every proxy meets its failure at once, and calls that come together again keep it down.
            self.list_failures = 0 if watch.is_answered else self.list_failures + 1
            wait = min(
                self.limits.max_watch_backoff_ms,
                self.limits.watch_backoff_ms * 2.0 ** min(self.list_failures, 5),
            )
            self.watch_timer = self.clock.after(
                wait * self.balancer.uniform(0.5, 1.0), self.open_watch
            )
            return
        # At once after one that had lasted: what the agent has meanwhile counts as told.
        self.watch_timer = self.clock.at(
            max(self.now(), self.asked_at + self.limits.min_watch_interval_ms),
            self.open_watch,
        )

    def read_again(self, watch):
        if watch is self.watch:
            self.open_watch()

    def poll_endpoint_list(self, enabled):
        """The watch is always open: the agent is on this machine and costs nothing."""
        self.clock.soon(self.followed)

    def followed(self):
        self.balancer.on_endpoint_update(self.now(), UpdateKind.DELTA, [])

    def on_endpoint_list(self, found, kind=None):
        """The version is noted last, once all of the list is in force: asked again from it, discovery would not
        repeat what failed here or could not be read, a drain among it."""
        if not isinstance(found, dict) or not isinstance(found.get("hosts"), list):
            return self.log_event(LogEvent.PROTOCOL_ERROR, what="a list without hosts")
        kind = kind or (UpdateKind.SNAPSHOT if found.get("whole") else UpdateKind.DELTA)
        version = found.get("seq") if isinstance(found.get("seq"), int) else None
        entries, moved, unread = [], [], 0
        for host in found["hosts"]:
            try:
                entries.append(self.parse_entry(host, version, moved))
            except (AttributeError, KeyError, TypeError, ValueError) as wrong:
                self.log_event(
                    LogEvent.PROTOCOL_ERROR, what=f"an entry of the list: {wrong!r}"
                )
                unread += 1
                entries += self.what_is_left(host)
        if unread and not entries:
            kind = (
                UpdateKind.DELTA
            )  # nothing of it could be read: it is no list of nobody
        before = dict(self.balancer.endpoint_list.servers)
        try:
            self.balancer.on_endpoint_update(self.now(), kind, entries)
        except Exception:
            # Who leaves is not dialled any more. But asked for again, the list has to change the slots as well: whoever
            # joined or left by it does so once more.
            self.balancer.endpoint_list.servers = before
            raise
        self.note_told(entries, kind, version)
        for server in moved:
            # Nothing is held against one that has another address now. Later: whoever waits for the answer is dialled.
            if server in self.probe_connections:
                self.probe_connections[server].end(AttemptOutcome.AT_CAPACITY)
        self.forget_gone()
        if kind is not UpdateKind.CACHED:
            if self.watch_why is not None:
                self.log_event(LogEvent.ENDPOINT_WATCH_RESTORED)
            self.watch_why = None
            self.first_list_over()
            self.get_ready()
        if unread and kind is not UpdateKind.CACHED and self.watch:
            self.find_out(self.watch)
        elif version is not None and not self.gap and not unread:
            self.list_version, self.gaps = version, 0

    def find_out(self, watch):
        """What could not be read is asked for again, from before it; again and again, but ever more seldom, as it
        may never be readable: each 4 s in the end, as it counts as told after 6. Meanwhile the watch goes on, and no
        version is noted."""
        if not self.gap:
            self.gap = True
            again = self.limits.min_watch_interval_ms * 2 ** min(self.gaps, 4)
            self.gaps += 1
            self.clock.after(again, self.read_again, watch)

    def note_told(self, entries, kind, version):
        for entry in entries:
            name = entry.server.name
            self.known_names.pop(name, None)
            self.known_names[name] = (
                None if entry.phase is Phase.READY else (version, entry.started_ms)
            )
        if kind is UpdateKind.SNAPSHOT:
            for server in self.servers.values():
                if (
                    server.phase is Phase.GONE
                    and self.known_names.get(server.name) is None
                ):
                    self.known_names[server.name] = version, server.started_ms

    def forget_gone(self):
        """Names may be new with every release: those that left would add up. One that comes back is new."""
        ready = self.balancer.endpoint_list.servers
        for name, server in list(self.servers.items()):
            if (
                server.phase is Phase.GONE
                and server not in ready
                and not server.sessions
            ):
                if server in self.probe_connections:
                    self.probe_connections[server].end(AttemptOutcome.RESET)
                del self.servers[name]
                self.addresses.pop(server, None)
                if self.peers:
                    self.peers.forget_server(name)
        # Of those listed the list is the bound; of the others the oldest go, unless they are out.
        over = (
            len(self.known_names) - len(self.servers) - self.limits.max_unlisted_names
        )
        gone = (
            old
            for old in self.known_names
            if old not in self.servers
            and old not in self.balancer.endpoint_list.maintenance_since_ms
        )
        for old in list(islice(gone, max(0, over))):
            del self.known_names[old]

    def on_peer_update(self, server, phase, born):
        """Others were told of a drain, that it is over, or of a new start, which this proxy's list doesn't say."""
        started = self.clock.from_wall(born) if born else None
        if server.listed_phase is not phase or (server.started_ms or 0.0) < (
            started or 0.0
        ):
            self.log_event(
                LogEvent.ENDPOINT_PHASE_FROM_PEER, server=server.name, phase=phase.value
            )
            self.balancer.on_endpoint_update(
                self.now(),
                UpdateKind.MAINTENANCE,
                [EndpointEntry(server, phase, server.weight, started)],
            )

    def parse_entry(self, host, version, moved):
        """Raises AttributeError, KeyError, TypeError or ValueError, with nothing changed, where it can't be read."""
        name, phase, born = (
            host["host"],
            PHASES[host["health"]],
            float(host.get("born_ms") or 0),
        )
        weight = float(host.get("share") or 1.0)
        cell = int(host.get("block") or 0)
        if not isinstance(name, str) or not name or not math.isfinite(born + weight):
            raise ValueError("no name, or figures that are none")
        server = self.servers.get(name) or Server(name)
        where = (
            parse_address(host["dial"], "dial")
            if host.get("dial")
            else self.addresses.get(server)
        )
        if where is None and phase is not Phase.GONE:
            raise ValueError("no address")
        if self.peers:
            listed = self.peers.record_list_entry(name, phase, born)
            phase, born = listed.phase, listed.process_start_ms
        started = self.clock.from_wall(born) if born else None
        left, since = self.known_names.get(name) or (None, None)
        if (
            phase is Phase.READY
            and None not in (left, version)
            and version < left
            and (started or -math.inf) <= (since or -math.inf)
        ):
            # An agent that is behind, at a new address or after a restart: what a newer list told to leave does not
            # come back by an older one, unless it has started since.
            self.log_event(
                LogEvent.STALE_ENDPOINT_LIST, server=name, version=version, newer=left
            )
            phase, started = (
                server.listed_phase if name in self.servers else Phase.GONE,
                since,
            )
        if where is not None:
            if self.addresses.get(server, where) != where:
                moved.append(server)
            self.addresses[server] = where
        if host.get("site") is not None:
            server.zone, server.cell = self.zones.get(host["site"], -1), cell
        self.servers[name] = server
        return EndpointEntry(server, phase, weight, started)

    def what_is_left(self, host):
        """Of an entry that can't be read: the known server that it is about, as it was, but that it leaves where that
        much is said."""
        name = host.get("host") if isinstance(host, dict) else None
        server = self.servers.get(name) if isinstance(name, str) else None
        if server is None:
            return []
        phase = host.get("health")
        leaves = (
            isinstance(phase, str) and PHASES.get(phase, Phase.READY) is not Phase.READY
        )
        return [
            EndpointEntry(
                server,
                PHASES[phase] if leaves else server.listed_phase,
                server.weight,
                server.started_ms,
            )
        ]
