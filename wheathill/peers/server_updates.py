"""Drains and starts of servers: what one proxy is given holds for all."""

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
    """The phase of a server, and the start of its process.

    `process_start_ms`: Unix time, 0.0 where it is not known.
    """

    phase: Phase
    process_start_ms: float


class ServerUpdates(ABC):
    """What the own list says of servers, and what other proxies know beyond it."""

    def __init__(self, proxy: ServedProxy) -> None:
        self._proxy = proxy
        self._listed: dict[str, ServerEntry] = {}

    def record_list_entry(
        self, server: str, phase: Phase, process_start_ms: float
    ) -> ServerEntry:
        """Take in an entry of the own list, and pass on what is new in it.

        Returns what holds for the server: the entry, or what others know since.
        """
        entry = self._listed[server] = ServerEntry(phase, process_start_ms)
        if phase is not Phase.GONE:
            self._propagate_entry(server, entry)
        return self._effective_entry(server, entry)

    def listed_entry(self, server: str) -> ServerEntry:
        """Return what the own list alone says of a server.

        Raises KeyError where the list doesn't name it.
        """
        return self._listed[server]

    def forget_server(self, server: str) -> None:
        """Drop the own list's entry of a server that has left."""
        self._listed.pop(server, None)

    def drained_by_peers(self) -> list[str]:
        """Return the servers that drain here because of others alone, in order."""
        return [
            server
            for server, entry in sorted(self._listed.items())
            if self._effective_entry(server, entry).phase is not entry.phase
        ]

    @abstractmethod
    def handle(
        self, now_ms: float, sender: Sender, update: DrainUpdate | StartUpdate
    ) -> None:
        """Take in drains or starts that a member reports.

        Raises ValueError where such messages aren't used.
        """

    @abstractmethod
    def send_all_records(self, address: str) -> None:
        """Send a member all that it may not have got."""

    @abstractmethod
    def _propagate_entry(self, server: str, entry: ServerEntry) -> None:
        """Pass on what is new in an entry of the own list."""

    @abstractmethod
    def _latest_start_ms(self, server: str, listed_start_ms: float) -> float:
        """Return the latest start of the server's process that any proxy was given."""

    @abstractmethod
    def _is_draining(self, server: str, process_start_ms: float) -> bool:
        """Tell whether any proxy says that the process which started then drains."""

    def _effective_entry(self, server: str, entry: ServerEntry) -> ServerEntry:
        start_ms = self._latest_start_ms(server, entry.process_start_ms)
        phase = entry.phase
        if phase is Phase.READY and self._is_draining(server, start_ms):
            phase = Phase.DRAINING
        return ServerEntry(phase, start_ms)

    def apply(self, servers: Iterable[str]) -> None:
        """Put into force what others have reported, as if the own list had said so."""
        for name in servers:
            server = self._proxy.servers.get(name)
            if server is not None and name in self._listed:
                entry = self._effective_entry(name, self._listed[name])
                self._proxy.on_peer_update(server, entry.phase, entry.process_start_ms)


class DirectServerUpdates(ServerUpdates):
    """Sends each update to the members itself, as in a fleet without zones.

    `send(address, message)` and `send_to_all(message)` send to members.
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
        """Take in drains or starts that a member reports."""
        if isinstance(update, DrainUpdate):
            source, generation = sender.name, sender.generation
            self.apply(self._drains.merge(source, generation, update.records))
        else:
            wall_ms = self._clock.to_wall(now_ms)
            self.apply(self._starts.merge(wall_ms, update.records))

    def send_all_records(self, address: str) -> None:
        """Send a member all that it may not have got."""
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
            # The own list is taken at its word: its start is never in the future.
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
