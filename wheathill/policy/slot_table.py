"""The slot table, which maps the keys of sessions to servers, based on INCAB.

INCAB ("In-network Congestion-aware Load Balancing at Transport Layer", arXiv) hashes
keys to slots, and keeps a current and a new table of slots. A slot that is shifted to
another server is in transition, with an entry in both tables, until its old connections
have ended. During that time new keys follow the new table, and old keys the current
table.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from wheathill.bounded_name import bounded_name
from wheathill.model import Server, Session
from wheathill.policy.settings import SlotTableSettings
from wheathill.policy.slot_claims import claim_slots, hash_draws, slot_of_key

# Minimum number of slots that a server keeps when its slots are shifted.
MIN_SLOTS_PER_SERVER = 4
# Maximum fraction of the slots that may be in transition at the same time.
MAX_TRANSITION_SHARE = 0.2
# Time after which a transition ends, in ms. Sessions that are still open at the old
# server then become exceptions.
TRANSITION_TIMEOUT_MS = 10_000.0
# Maximum number and age, in ms, of moved keys and of exceptions.
MAX_TRACKED_KEYS = 4096
TRACKED_KEY_LIFETIME_MS = 60_000.0
# Number of slots, beginning with the session's own, whose servers are candidates.
MAX_FOLLOWING_SLOTS = 32
# Number of draws that are made for a server when it joins.
INITIAL_DRAWS = 16


class KeyRoute(NamedTuple):
    """The server of a key that does not follow the current table.

    Attributes:
        server: the server that has the session.
        since_ms: when the route was recorded.
    """

    server: Server
    since_ms: float


class SlotShift(NamedTuple):
    """Slots that were shifted off an overloaded server.

    Attributes:
        server: the overloaded server.
        slot_count: the number of slots.
    """

    server: Server
    slot_count: int


class SlotTable:
    """The current and the new table, and the open sessions of each slot.

    Attributes:
        size: the number of slots.
        min_slots: see `MIN_SLOTS_PER_SERVER`.
        preferred_servers: by slot, the ready server with the lowest claim score,
            regardless of shifts.
        claim_scores: by slot, the score of that claim.
        current: by slot, the server in the current table.
        new: by slot, the server in the new table if the slot is in transition.
        transition_started_ms: by slot in transition, when the transition began.
        sessions: by slot, the open sessions.
        group_holders: by group, the number of its sessions through this proxy at each
            server.
        active_servers: servers with sessions, pruned at each tick; there are far fewer
            of them than slots.
        moved_keys: new keys of slots in transition, oldest first; like those of
            `exception_keys`, in the form of `bounded_name`.
        exception_keys: keys whose server is in neither table, oldest first.
    """

    def __init__(
        self, choose: Callable[[list[Server]], Server], settings: SlotTableSettings
    ) -> None:
        """Make an empty table.

        Args:
            choose: selects a random server from a list.
            settings: the size of the table, and the costs that weigh zones.
        """
        self._choose = choose
        self._zone = settings.zone
        self._own_zone_weight = settings.own_zone_weight
        size = self.size = settings.slot_count
        self.min_slots = MIN_SLOTS_PER_SERVER
        self.preferred_servers: list[Server | None] = [None] * size
        self.claim_scores = [math.inf] * size
        self.current: list[Server | None] = [None] * size
        self.new: list[Server | None] = [None] * size
        self.transition_started_ms: dict[int, float] = {}
        self.sessions: list[dict[Session, None]] = [{} for _ in range(size)]
        self.group_holders: dict[str, Counter[Server]] = {}
        self.active_servers: dict[Server, None] = {}
        self.moved_keys: dict[str, KeyRoute] = {}
        self.exception_keys: dict[str, KeyRoute] = {}

    # Sessions

    def slot_of(self, session: Session) -> int:
        """Return the slot of a session, from the hash of its key or its group.

        Sessions of a group share work, and a server bears the cost of the group with
        the first of its sessions. The name of the group is therefore hashed instead of
        the key, which maps the whole group to one server.
        """
        key = session.key if session.group is None else session.group
        return slot_of_key(key, self.size)

    def assign(self, now_ms: float, key: str, slot: int) -> Server | None:
        """Return the server for a new session, or None if the table is empty."""
        server = self.new[slot]
        if server is None:
            return self.current[slot]
        tracked_key = bounded_name(key)
        self.moved_keys.pop(tracked_key, None)
        self.moved_keys[tracked_key] = KeyRoute(server, now_ms)
        if len(self.moved_keys) > MAX_TRACKED_KEYS:
            del self.moved_keys[next(iter(self.moved_keys))]
        return server

    def find_mid_flow(self, key: str, slot: int) -> Server | None:
        """Return the server that should have a mid-flow connection, or None."""
        tracked_key = bounded_name(key)
        route = self.exception_keys.get(tracked_key) or self.moved_keys.get(tracked_key)
        return route.server if route else self.current[slot]

    def add_session(self, now_ms: float, session: Session) -> None:
        """Record a session that its server has accepted."""
        server = session.server
        assert server is not None, "an accepted session has a server"
        self.sessions[session.slot][session] = self.active_servers[server] = None
        if session.group is not None:
            self.group_holders.setdefault(session.group, Counter())[server] += 1
        if server not in (self.current[session.slot], self.new[session.slot]):
            self._add_exception(now_ms, session)

    def remove_session(self, session: Session) -> None:
        """Remove a session that has ended."""
        self.sessions[session.slot].pop(session, None)
        self.exception_keys.pop(bounded_name(session.key), None)
        if session.group is not None:
            assert session.server is not None, "an accepted session has a server"
            # Counter subtraction keeps positive counts only.
            self.group_holders[session.group] -= Counter((session.server,))
            if not self.group_holders[session.group]:
                del self.group_holders[session.group]

    def following_servers(self, slot: int) -> Iterator[Server | None]:
        """Yield the servers of the slots that follow this one.

        They are the fallback for the slot's own server. They are the same at every
        proxy, and no session requires a search of all servers.
        """
        for index in range(slot + 1, slot + MAX_FOLLOWING_SLOTS):
            yield self.new[index % self.size] or self.current[index % self.size]

    def _add_exception(self, now_ms: float, session: Session) -> None:
        if len(self.exception_keys) < MAX_TRACKED_KEYS:
            assert session.server is not None, "an accepted session has a server"
            tracked_key = bounded_name(session.key)
            self.exception_keys.pop(tracked_key, None)
            self.exception_keys[tracked_key] = KeyRoute(session.server, now_ms)

    # Changes of the endpoint list

    def restore(
        self,
        servers: Sequence[Server],
        current: Sequence[Server | None] | None,
        new: Sequence[Server | None] | None,
        transition_started_ms: dict[int, float],
    ) -> None:
        """Restore the table from a handover by another process of this proxy.

        Args:
            servers: the ready servers.
            current: the current table; None if the other process had a different number
                of slots, so that the table is filled by claims.
            new: the new table, or None in the same case.
            transition_started_ms: by slot in transition, when the transition began.
        """
        for server in servers:
            self.set_effective_weight(server)
        self._claim_preferred(range(self.size), servers)
        self.current = list(current or self.preferred_servers)
        self.new = list(new or self.new)
        self.transition_started_ms = transition_started_ms

    def update(
        self,
        now_ms: float,
        joined: Sequence[Server],
        left: Mapping[Server, None],
        ready: Iterable[Server],
    ) -> None:
        """Apply a change of the endpoint list.

        One update may contain both joins and removals, and a joining server may take
        over slots of a removed one.
        """
        for server in joined:
            self.set_effective_weight(server)
        self._remove_servers(left, ready)
        self._add_servers(now_ms, joined)

    def set_effective_weight(self, server: Server) -> None:
        """Set the weight of a server's claims: its registered size.

        If sessions across zones have a cost, servers in the proxy's own zone get a
        higher weight. All proxies of one zone still have the same table.
        """
        server.hash_draws = server.hash_draws or hash_draws(server.name, INITIAL_DRAWS)
        is_own_zone = server.zone == self._zone
        zone_weight = self._own_zone_weight if is_own_zone else 1.0
        server.effective_weight = server.weight * zone_weight

    def _claim_preferred(self, slots: Sequence[int], servers: Iterable[Server]) -> None:
        weights = {server: server.effective_weight for server in servers}
        claim_slots(slots, self.claim_scores, self.preferred_servers, weights)

    def _add_servers(self, now_ms: float, joined: Sequence[Server]) -> None:
        """Assign joining servers the slots for which they have the lowest claim score.

        Their number is about the mean number of slots per server, regardless of shifts:
        every proxy with the same list assigns the same slots.
        """
        if not joined:
            return
        newcomers = dict.fromkeys(joined)
        self._claim_preferred(range(self.size), newcomers)
        for slot, server in enumerate(self.preferred_servers):
            if server in newcomers and self.current[slot] is not server:
                self.redirect_slot(now_ms, slot, server)

    def _remove_servers(
        self, left: Mapping[Server, None], ready: Iterable[Server]
    ) -> None:
        if not left:
            return
        freed = [
            slot for slot, server in enumerate(self.preferred_servers) if server in left
        ]
        for slot in freed:
            self.preferred_servers[slot], self.claim_scores[slot] = None, math.inf
        self._claim_preferred(freed, ready)
        for slot in range(self.size):
            if self.new[slot] in left:
                self._end_transition(slot)
            if self.current[slot] in left:
                # A leaving server gets no new sessions, so the slot changes at once,
                # without a transition.
                self.current[slot] = self.new[slot] or self.preferred_servers[slot]
                self._end_transition(slot)

    def redirect_slot(self, now_ms: float, slot: int, server: Server | None) -> None:
        """Redirect a slot to a server, with a transition if it has open sessions."""
        if self.current[slot] is not None and self.sessions[slot]:
            self.new[slot], self.transition_started_ms[slot] = server, now_ms
        else:
            self.current[slot] = server
            self._end_transition(slot)

    def _end_transition(self, slot: int) -> None:
        self.new[slot] = None
        self.transition_started_ms.pop(slot, None)

    # Load

    def shift_slots(
        self,
        now_ms: float,
        levels: Mapping[Server, int],
        pause_ms: float,
        is_usable: Callable[[Server], bool],
    ) -> SlotShift | None:
        """Shift slots off one server of the highest load level to lower levels.

        At most half of its slots that are not in transition are shifted.

        Args:
            now_ms: the monotonic time.
            levels: the load level of each ready server.
            pause_ms: the time until slots of the same server may be shifted again.
            is_usable: whether a server may get slots.

        Returns:
            The server and the number of slots, or None if no slot was shifted.
        """
        top = max(levels.values(), default=0)
        overloaded = [
            server
            for server, level in levels.items()
            if level == top and server.next_shift_ms <= now_ms
        ]
        weights = {
            server: server.effective_weight * 2.0 ** (top - level)
            for server, level in levels.items()
            if level < top and is_usable(server)
        }
        room = self._transition_room()
        if not weights or not overloaded or room <= 0:
            return None
        server = self._choose(overloaded)
        slots = self._slots_to_shift(server, room)
        if not slots:
            return None
        server.next_shift_ms = now_ms + pause_ms
        self._redirect_by_claims(now_ms, slots, weights)
        return SlotShift(server, len(slots))

    def _transition_room(self) -> int:
        """Return how many more slots may enter transition; 0 if exceptions are full."""
        if len(self.exception_keys) >= MAX_TRACKED_KEYS:
            return 0
        return int(self.size * MAX_TRANSITION_SHARE) - len(self.transition_started_ms)

    def _slots_to_shift(self, server: Server, room: int) -> list[int]:
        """Return the slots of a server to shift, at most `room`.

        The slots and their new servers are determined by hashes, so that proxies with
        the same load levels make the same shifts, and a mid-flow connection that
        arrives at another proxy still finds its server.
        """
        free = [
            slot
            for slot in range(self.size)
            if self.current[slot] is server and self.new[slot] is None
        ]
        count = min(len(free) // 2, len(free) - self.min_slots, room)
        if count <= 0:
            return []
        free.sort(
            key=lambda slot: (
                self.preferred_servers[slot] is server,
                -self.claim_scores[slot],
            )
        )
        return free[:count]

    def _redirect_by_claims(
        self, now_ms: float, slots: Sequence[int], weights: dict[Server, float]
    ) -> None:
        claim_scores = [-math.inf] * self.size
        owners: list[Server | None] = [None] * self.size
        for slot in slots:
            claim_scores[slot] = math.inf
        claim_slots(slots, claim_scores, owners, weights)
        for slot in slots:
            self.redirect_slot(now_ms, slot, owners[slot])

    def finish_transitions(self, now_ms: float) -> None:
        """End transitions whose old sessions have ended or whose timeout has passed."""
        self._expire_keys(now_ms)
        for slot, started_ms in list(self.transition_started_ms.items()):
            old = [
                session
                for session in self.sessions[slot]
                if session.server is not self.new[slot]
            ]
            if old and (
                now_ms - started_ms < TRANSITION_TIMEOUT_MS
                or len(self.exception_keys) + len(old) > MAX_TRACKED_KEYS
            ):
                continue
            for session in old:
                self._add_exception(now_ms, session)
            for session in self.sessions[slot]:
                self.moved_keys.pop(bounded_name(session.key), None)
            self.current[slot] = self.new[slot]
            self._end_transition(slot)

    def _expire_keys(self, now_ms: float) -> None:
        oldest_ms = now_ms - TRACKED_KEY_LIFETIME_MS
        for routes in (self.moved_keys, self.exception_keys):
            while routes and next(iter(routes.values())).since_ms < oldest_ms:
                del routes[next(iter(routes))]
