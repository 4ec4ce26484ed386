"""Updates to a proxy: configuration, endpoint list, and servers in maintenance."""

import math
from itertools import islice

from wheathill.config.addresses import parse_address
from wheathill.config.reload import keys_needing_restart
from wheathill.log_events import LogEvent
from wheathill.model import AttemptOutcome, EndpointEntry, Phase, Server, UpdateKind
from wheathill.net.discovery import Watch
from wheathill.net.listed_state import ListedState, resolve_entry
from wheathill.net.maintenance_store import maintenance_store_of

PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}


class UpdateHandlingMixin:
    """The part of `proxy.Proxy` that applies updates to it.

    The state that both mixins share is in `Proxy`.
    """

    # Configuration

    def apply_config(self, node):
        """Use a configuration from now on."""
        self.node = node
        self.limits = self.transport.limits = node.limits
        self.listeners = {listener.name: listener for listener in node.listeners}
        self.metrics.add_listeners(self.listeners)
        self.tenant_indexes = {name: index for index, name in enumerate(node.tenants)}

    def reload(self, node):
        """Replace the configuration.

        Sessions, servers and slots stay as they are, and open sessions keep the
        listener that they were started with. Servers stay known until the complete list
        is received from a new discovery address.
        """
        old = self.node
        self.apply_config(node)
        changed = keys_needing_restart(self.initial_settings, node.raw_config)
        self.log_event(
            LogEvent.CONFIGURATION_RELOADED,
            needs_restart=changed,
            **self.state_metrics(),
        )
        if node.discovery_address is None:
            self.close_watch()
            self.on_endpoint_list(node.initial_endpoints, UpdateKind.SNAPSHOT)
        elif node.discovery_address != old.discovery_address:
            # Versions are counted per address. Requested from version 0, the new agent
            # sends everything that has changed.
            self.list_version = 0
            self.open_watch()

    # Servers in maintenance

    def set_maintenance(self, name, out, forwarded_by=None):
        """Take a server out of service or back in; return whether that is persistent.

        It is stored first, then applied.

        Args:
            name: of the server.
            out: whether it is taken out.
            forwarded_by: the handover protocol by which another process has passed on
                an operator's call, or None if the call came to this process.

        Raises:
            OSError: if it cannot be stored; nothing was changed then.
        """
        maintenance_since_ms = dict(self.balancer.endpoint_list.maintenance_since_ms)
        if out:
            maintenance_since_ms.setdefault(name, self.now())
        else:
            maintenance_since_ms.pop(name, None)
        store = maintenance_store_of(self.node)
        if store and list(maintenance_since_ms) != list(
            self.balancer.endpoint_list.maintenance_since_ms
        ):
            try:
                store.save(
                    {
                        other: self.clock.to_wall(since_ms)
                        for other, since_ms in maintenance_since_ms.items()
                    }
                )
            except OSError as error:
                if forwarded_by is None:
                    raise
                # The other process has stored and confirmed it, so it is applied here
                # all the same.
                self.log_event(
                    LogEvent.MAINTENANCE_FILE_ERROR, path=store.path, what=str(error)
                )
        self.log_event(
            LogEvent.MAINTENANCE_ENTERED if out else LogEvent.MAINTENANCE_EXITED,
            server=name,
            out=len(maintenance_since_ms),
        )
        self.balancer.set_maintenance(self.now(), name, out, self.servers.get(name))
        if self.handover_coordinator:
            self.handover_coordinator.forward_maintenance(name, out, forwarded_by)
        return store is not None

    def load_maintenance(self):
        """Apply what the maintenance file states; an unreadable file is logged."""
        store = maintenance_store_of(self.node)
        if store is None:
            return
        try:
            for name, since_ms in store.load(self.limits.max_unlisted_names).items():
                self.known_names[name] = None
                self.balancer.endpoint_list.maintenance_since_ms.setdefault(
                    name, self.clock.from_wall(since_ms)
                )
                self.log_event(
                    LogEvent.MAINTENANCE_ENTERED,
                    server=name,
                    out=len(self.balancer.endpoint_list.maintenance_since_ms),
                )
        except (OSError, ValueError) as error:
            self.log_event(
                LogEvent.MAINTENANCE_FILE_ERROR, path=store.path, what=str(error)
            )

    # The watch on the endpoint list

    def open_watch(self):
        """Request the list again, from the last version that was applied completely."""
        self.close_watch()
        self.is_reread_pending = False
        self.watch_opened_ms = self.now()
        self.watch = self.start_watch()
        self.watch_timer = self.clock.after(
            self.limits.watch_hedge_delay_ms, self.hedge, self.watch
        )

    def start_watch(self):
        """Return a watch that is being established."""
        watch = Watch(
            self.node.discovery_address[0],
            self.list_version,
            self,
            self.limits,
            self.clock,
        )
        watch.start(self.transport.connect(watch, self.node.discovery_address))
        return watch

    def hedge(self, watch):
        """Open a second watch beside one that is not answered, repeatedly.

        A request made while discovery was unreachable may never be answered, but what
        discovery knows at its return counts as known here at once. A slow answer is
        waited for all the same: whichever watch is answered first is kept.
        """
        if watch is self.watch and not watch.is_answered:
            if self.hedge_watch:
                self.hedge_watch.cancel()
                self.hedge_watch = None
            # Not while an answer is being received: a list of thousands of servers may
            # take that long, and longer if it is requested twice.
            if self.now() - watch.last_received_ms >= self.limits.watch_hedge_delay_ms:
                self.hedge_watch = self.start_watch()
            self.watch_timer = self.clock.after(
                self.limits.watch_hedge_delay_ms, self.hedge, watch
            )

    def on_watch_answered(self, watch):
        """Keep the watch that was answered first."""
        other = self.watch if watch is self.hedge_watch else self.hedge_watch
        if other:
            other.cancel()
        self.watch, self.hedge_watch = watch, None
        self.watch_timer.cancel()

    def close_watch(self):
        """Close the watch and open no other one."""
        if self.watch_timer:
            self.watch_timer.cancel()
        for watch in (self.watch, self.hedge_watch):
            if watch:
                watch.cancel()
        self.watch = self.hedge_watch = None

    def on_watch_ended(self, watch, reason):
        """Open another watch after one that has ended, after a delay where needed."""
        if watch is self.hedge_watch:
            self.hedge_watch = None
        if watch is not self.watch:
            return
        if reason != self.watch_end_reason:
            self.log_event(LogEvent.ENDPOINT_WATCH_LOST, why=reason)
        self.watch_end_reason = reason
        self.close_watch()
        if self.limits.watch_backoff_ms:
            # All proxies notice a failure of the service at once, and simultaneous
            # requests would keep it down.
            self.consecutive_watch_failures = (
                0 if watch.is_answered else self.consecutive_watch_failures + 1
            )
            delay_ms = min(
                self.limits.max_watch_backoff_ms,
                self.limits.watch_backoff_ms
                * 2.0 ** min(self.consecutive_watch_failures, 5),
            )
            self.watch_timer = self.clock.after(
                delay_ms * self.balancer.uniform(0.5, 1.0), self.open_watch
            )
            return
        # At once after a watch that has lasted: what the agent has learned meanwhile
        # counts as known here.
        self.watch_timer = self.clock.at(
            max(self.now(), self.watch_opened_ms + self.limits.min_watch_interval_ms),
            self.open_watch,
        )

    def reopen_watch(self, watch):
        """Open the watch again, unless that was done since."""
        if watch is self.watch:
            self.open_watch()

    def poll_endpoint_list(self, enabled):
        """Report the list as polled.

        The watch is always open: the agent is on this machine, so it costs nothing.
        """
        self.clock.soon(self.report_polled)

    def report_polled(self):
        """Pass an update without changes to the balancer."""
        self.balancer.on_endpoint_update(self.now(), UpdateKind.DELTA, [])

    # The endpoint list

    def on_endpoint_list(self, update, kind=None):
        """Apply a snapshot or a delta of the endpoint list.

        The version is noted last, once the whole list is applied: if the list is
        requested from that version, discovery does not repeat what failed here or could
        not be read, such as a drain.

        Args:
            update: the JSON object, as discovery or the configuration has it.
            kind: of the update; None if the object states it.
        """
        if not isinstance(update, dict) or not isinstance(update.get("hosts"), list):
            return self.list_errors.add(
                self.limits, "endpoint list has no array of hosts"
            )
        kind = kind or (
            UpdateKind.SNAPSHOT if update.get("whole") else UpdateKind.DELTA
        )
        version = update.get("seq") if isinstance(update.get("seq"), int) else None
        entries, states, readdressed, unreadable_count = [], {}, [], 0
        for host in update["hosts"]:
            try:
                entries.append(self.parse_entry(host, version, states, readdressed))
            except (AttributeError, KeyError, TypeError, ValueError) as error:
                self.list_errors.add(
                    self.limits, f"endpoint list has an invalid entry: {error!r}"
                )
                unreadable_count += 1
                entries += self.fallback_entries(host)
        if unreadable_count and not entries:
            # No entry could be read, which does not mean that no server is left.
            kind = UpdateKind.DELTA
        servers_before = dict(self.balancer.endpoint_list.servers)
        try:
            self.balancer.on_endpoint_update(self.now(), kind, entries)
        except Exception:
            # Servers that leave get no more attempts. Yet when the list is received
            # again, it has to change the slots as well: servers that join or leave by
            # it must do so once more.
            self.balancer.endpoint_list.servers = servers_before
            raise
        self.record_names(entries, states, kind, version)
        for server in readdressed:
            # A new address does not count against the server. This follows the update, as
            # the sessions that wait for the probe's result make their attempts now.
            if server in self.probe_connections:
                self.probe_connections[server].end(AttemptOutcome.AT_CAPACITY)
        self.forget_gone_servers()
        if kind is not UpdateKind.CACHED:
            if self.watch_end_reason is not None:
                self.log_event(LogEvent.ENDPOINT_WATCH_RESTORED)
            self.watch_end_reason = None
            self.admit_early_clients()
            self.mark_ready()
        if unreadable_count and kind is not UpdateKind.CACHED and self.watch:
            self.schedule_reread(self.watch)
        elif (
            version is not None and not self.is_reread_pending and not unreadable_count
        ):
            self.list_version, self.consecutive_rereads = version, 0

    def schedule_reread(self, watch):
        """Request a list again that could not be read, from the version before it.

        That is repeated with growing intervals, as the list may never become readable:
        every 4 s in the end, since a change counts as known after 6 s. Meanwhile the
        watch goes on, and no version is noted.
        """
        if not self.is_reread_pending:
            self.is_reread_pending = True
            delay_ms = self.limits.min_watch_interval_ms * 2 ** min(
                self.consecutive_rereads, 4
            )
            self.consecutive_rereads += 1
            self.clock.after(delay_ms, self.reopen_watch, watch)

    def record_names(self, entries, states, kind, version):
        """Remember what a list has said of each server, and which it has left out.

        `states` lacks the servers whose entries could not be read.
        """
        for entry in entries:
            name = entry.server.name
            self.known_names.pop(name, None)
            self.known_names[name] = states.get(name) or ListedState(
                version, entry.started_ms, has_left=entry.phase is not Phase.READY
            )
        if kind is UpdateKind.SNAPSHOT:
            for server in self.servers.values():
                known = self.known_names.get(server.name)
                is_gone = Phase.GONE in (server.phase, server.listed_phase)
                if is_gone and not (known and known.has_left):
                    started_ms = known.started_ms if known else server.started_ms
                    self.known_names[server.name] = ListedState(
                        version, started_ms, has_left=True
                    )

    def forget_gone_servers(self):
        """Drop what is kept of servers that are gone.

        Names may be new with every release, so those of gone servers would accumulate.
        A server that comes back later is a new one. During a handover all are kept, as
        sessions at any of them may be on their way between the processes.
        """
        if self.handover_coordinator and self.handover_coordinator.is_handing_over:
            return
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
        # The names of listed servers are bounded by the list. Of the others the oldest
        # are dropped, except those in maintenance.
        excess = (
            len(self.known_names) - len(self.servers) - self.limits.max_unlisted_names
        )
        unlisted = (
            name
            for name in self.known_names
            if name not in self.servers
            and name not in self.balancer.endpoint_list.maintenance_since_ms
        )
        for name in list(islice(unlisted, max(0, excess))):
            del self.known_names[name]

    def on_peer_update(self, server, phase, started_unix_ms):
        """Apply a phase or a start that peers know of, and this proxy's list does not.

        That is a drain, the end of a drain, or a new start of the server.
        """
        started_ms = self.clock.from_wall(started_unix_ms) if started_unix_ms else None
        if server.listed_phase is not phase or (server.started_ms or 0.0) < (
            started_ms or 0.0
        ):
            self.log_event(
                LogEvent.ENDPOINT_PHASE_FROM_PEER, server=server.name, phase=phase.value
            )
            self.balancer.on_endpoint_update(
                self.now(),
                UpdateKind.MAINTENANCE,
                [EndpointEntry(server, phase, server.weight, started_ms)],
            )

    def parse_entry(self, host, version, states, readdressed):
        """Return one entry of the endpoint list, and note the server's address.

        Args:
            host: the entry as it was received.
            version: of the list, or None.
            states: by name, what holds of the server by the lists is added.
            readdressed: the server is appended if its address has changed.

        Raises:
            AttributeError, KeyError, TypeError, ValueError: if the entry cannot be
                read; nothing was changed then.
        """
        name, phase, started_unix_ms = (
            host["host"],
            PHASES[host["health"]],
            float(host.get("born_ms") or 0),
        )
        weight = float(host.get("share") or 1.0)
        cell = int(host.get("block") or 0)
        if (
            not isinstance(name, str)
            or not name
            or not math.isfinite(started_unix_ms + weight)
        ):
            raise ValueError("host is no name, or born_ms or share is not finite")
        server = self.servers.get(name) or Server(name)
        address = (
            parse_address(host["dial"], "dial")
            if host.get("dial")
            else self.addresses.get(server)
        )
        if address is None and phase is not Phase.GONE:
            raise ValueError("dial is missing and no address is known")
        if self.peers:
            listed = self.peers.record_list_entry(name, phase, started_unix_ms)
            phase, started_unix_ms = listed.phase, listed.process_start_ms
        started_ms = self.clock.from_wall(started_unix_ms) if started_unix_ms else None
        known = self.known_names.get(name)
        resolved = resolve_entry(known, version, phase, started_ms)
        if resolved.is_return_stale:
            phase = server.listed_phase if name in self.servers else Phase.GONE
        if resolved.is_return_stale or started_ms != resolved.state.started_ms:
            self.log_event(
                LogEvent.STALE_ENDPOINT_LIST,
                server=name,
                version=version,
                newer=known.version,
            )
        started_ms, states[name] = resolved.state.started_ms, resolved.state
        if address is not None:
            if self.addresses.get(server, address) != address:
                readdressed.append(server)
            self.addresses[server] = address
        if host.get("site") is not None:
            server.zone, server.cell = self.zone_indexes.get(host["site"], -1), cell
        self.servers[name] = server
        return EndpointEntry(server, phase, weight, started_ms)

    def fallback_entries(self, host):
        """Return what holds for the server of an entry that cannot be read.

        A known server stays as it was, except that it leaves if that much can be read.
        """
        name = host.get("host") if isinstance(host, dict) else None
        server = self.servers.get(name) if isinstance(name, str) else None
        if server is None:
            return []
        phase = host.get("health")
        is_leaving = (
            isinstance(phase, str) and PHASES.get(phase, Phase.READY) is not Phase.READY
        )
        return [
            EndpointEntry(
                server,
                PHASES[phase] if is_leaving else server.listed_phase,
                server.weight,
                server.started_ms,
            )
        ]
