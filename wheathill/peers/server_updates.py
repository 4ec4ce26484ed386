"""Shares drains and process starts of servers between all proxies."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wheathill.model import Phase
from wheathill.peers.drain_registry import DrainRegistry
from wheathill.peers.environment import Clock, ServedProxy
from wheathill.peers.messages import DrainUpdate, Message, Sender, StartUpdate
from wheathill.peers.start_registry import StartRecord, StartRegistry


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """The phase of a server, and the start time of its process.

    `process_start_ms` is Unix time, 0.0 if unknown.
    """

    phase: Phase
    process_start_ms: float


class ServerUpdates(ABC):
    """Combines the own endpoint list with newer information from other proxies."""

    def __init__(self, proxy: ServedProxy) -> None:
        self._proxy = proxy
        self._listed: dict[str, ServerEntry] = {}

    def record_list_entry(
        self, server: str, phase: Phase, process_start_ms: float
    ) -> ServerEntry:
        """Apply an entry of the own list, and propagate its changes.

        Returns the effective entry of the server, which includes newer information
        from other proxies.
        """
        entry = self._listed[server] = ServerEntry(phase, process_start_ms)
        if phase is not Phase.GONE:
            self._propagate_entry(server, entry)
        return self._effective_entry(server, entry)

    def listed_entry(self, server: str) -> ServerEntry:
        """Return the entry of a server in the own list, ignoring other proxies.

        Raises:
            KeyError: The list doesn't contain the server.
        """
        return self._listed[server]

    def forget_server(self, server: str) -> None:
        """Remove the own list's entry of a server that has left the list."""
        self._listed.pop(server, None)

    def drained_by_peers(self) -> list[str]:
        """Return the sorted servers that only other proxies report as draining."""
        return [
            server
            for server, entry in sorted(self._listed.items())
            if self._effective_entry(server, entry).phase is not entry.phase
        ]

    @abstractmethod
    def handle(
        self, now_ms: float, sender: Sender, update: DrainUpdate | StartUpdate
    ) -> None:
        """Apply drains or starts that a member reports.

        Raises:
            ValueError: This implementation doesn't use such messages.
        """

    @abstractmethod
    def send_all_records(self, address: str) -> None:
        """Send a member all records that it may not have received."""

    @abstractmethod
    def _propagate_entry(self, server: str, entry: ServerEntry) -> None:
        """Send the changes in an entry of the own list to other proxies."""

    @abstractmethod
    def _latest_start_ms(self, server: str, listed_start_ms: float) -> float:
        """Return the latest start of the server's process known to any proxy."""

    @abstractmethod
    def _is_draining(self, server: str, process_start_ms: float) -> bool:
        """Return whether any proxy reports the process started then as draining."""

    def _effective_entry(self, server: str, entry: ServerEntry) -> ServerEntry:
        start_ms = self._latest_start_ms(server, entry.process_start_ms)
        phase = entry.phase
        if phase is Phase.READY and self._is_draining(server, start_ms):
            phase = Phase.DRAINING
        return ServerEntry(phase, start_ms)

    def apply(self, servers: Iterable[str]) -> None:
        """Apply reports of other proxies as if the own list contained them."""
        for name in servers:
            server = self._proxy.servers.get(name)
            if server is not None and name in self._listed:
                entry = self._effective_entry(name, self._listed[name])
                self._proxy.on_peer_update(server, entry.phase, entry.process_start_ms)


class DirectServerUpdates(ServerUpdates):
    """Sends each update directly to the members, in a fleet without zones.

    `send(address, message)` sends to one member, `send_to_all(message)` to all.
    """

    def __init__(
        self,
        proxy: ServedProxy,
        clock: Clock,
        send: Callable[[str, Message], None],
        send_to_all: Callable[[Message], None],
    ) -> None:
        super().__init__(proxy)
        self._clock = clock
        self._send = send
        self._send_to_all = send_to_all
        self._drains = DrainRegistry()
        self._starts = StartRegistry()

    def handle(
        self, now_ms: float, sender: Sender, update: DrainUpdate | StartUpdate
    ) -> None:
        """Apply drains or starts that a member reports."""
        if isinstance(update, DrainUpdate):
            source, generation = sender.name, sender.generation
            self.apply(self._drains.merge(source, generation, update.records))
        else:
            wall_ms = self._clock.to_wall(now_ms)
            self.apply(self._starts.merge(wall_ms, update.records))

    def send_all_records(self, address: str) -> None:
        """Send a member all records that it may not have received."""
        drains = self._drains.own_records()
        if drains:
            self._send(address, DrainUpdate(tuple(drains)))
        starts = self._starts.records()
        if starts:
            self._send(address, StartUpdate(tuple(starts)))

    def _propagate_entry(self, server: str, entry: ServerEntry) -> None:
        start_ms = entry.process_start_ms
        if start_ms:
            start = StartRecord(server, start_ms)
            # Passing the start itself as the present time keeps the check for start
            # times in the future from rejecting an entry of the own list.
            if self._starts.merge(start_ms, [start]):
                self._send_to_all(StartUpdate((start,)))
        is_draining = entry.phase is Phase.DRAINING
        drain = self._drains.record_list_entry(server, is_draining, start_ms)
        if drain is not None and (drain.is_draining or drain.sequence > 1):
            self._send_to_all(DrainUpdate((drain,)))

    def _latest_start_ms(self, server: str, listed_start_ms: float) -> float:
        return self._starts.latest_ms(server, listed_start_ms)

    def _is_draining(self, server: str, process_start_ms: float) -> bool:
        return self._drains.is_draining(server, process_start_ms)
