"""Slot tables after INCAB: which server the key of a session is mapped to.

INCAB ("In-network Congestion-aware Load Balancing at Transport Layer", arXiv) hashes
keys to slots, and keeps a current and a new table of slots. A slot that is shifted to
another server has an entry in both until its old connections have ended: until then,
new keys follow the new table and old ones the current table.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from wheathill.model import Server, Session
from wheathill.policy.settings import SlotTableSettings
from wheathill.policy.slot_claims import claim_slots, hash_draws, slot_of_key

# A server keeps so many slots at the least when its slots are shifted.
MIN_SLOTS_PER_SERVER = 4
# The part of all slots that may be in transition at once.
MAX_TRANSITION_SHARE = 0.2
# A transition ends after so many ms whatever is still open; what is open then becomes
# an exception by its key.
TRANSITION_TIMEOUT_MS = 10_000.0
# Keys that were moved, and exceptions, are kept up to this number and age in ms.
MAX_TRACKED_KEYS = 4096
TRACKED_KEY_LIFETIME_MS = 60_000.0
# Where a slot's own server won't do, those of so many slots from it on are considered.
MAX_FOLLOWING_SLOTS = 32
# Draws that are made of a server when it joins.
INITIAL_DRAWS = 16


class KeyRoute(NamedTuple):
    """Where a key leads, past the slot table.

    Attributes:
        server: the server that holds it.
        since_ms: since when.
    """

    server: Server
    since_ms: float


class SlotShift(NamedTuple):
    """Slots that were shifted off an overloaded server.

    Attributes:
        server: that server.
        slot_count: how many slots.
    """

    server: Server
    slot_count: int


class SlotTable:
    """The current and the new table, and the sessions of each slot.

    Attributes:
        size: the number of slots.
        min_slots: see `MIN_SLOTS_PER_SERVER`.
        preferred_servers: by slot, whose claim is the earliest of all listed servers,
            whatever was shifted.
        claim_scores: by slot, that claim.
        current: by slot, the server of the current table.
        new: by slot, the server of the new table where the slot is in transition.
        transition_started_ms: when each slot in transition got its new entry.
        sessions: by slot, the sessions that are open.
        group_holders: by group, how many of its sessions are open at which server
            through this proxy.
        active_servers: servers that hold sessions, as of the last tick: far fewer to
            walk over than slots.
        moved_keys: new keys of slots in transition, oldest first.
        exception_keys: keys that neither table leads to their server, oldest first.
    """

    def __init__(
        self, choose: Callable[[list[Server]], Server], settings: SlotTableSettings
    ) -> None:
        """Make an empty table.

        Args:
            choose: draws one server of a list at random.
            settings: its size, and how zones are weighed.
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
        """Return the slot that a session's key is hashed to.

        Exception: where sessions of a group share work, a server pays for the group as
        soon as it holds one of it. The group's name is then hashed in place of the key,
        so that the group meets at one server.
        """
        key = session.key if session.group is None else session.group
        return slot_of_key(key, self.size)

    def assign(self, now_ms: float, key: str, slot: int) -> Server | None:
        """Return the server for a new session, None where there is none."""
        server = self.new[slot]
        if server is None:
            return self.current[slot]
        self.moved_keys.pop(key, None)
        self.moved_keys[key] = KeyRoute(server, now_ms)
        if len(self.moved_keys) > MAX_TRACKED_KEYS:
            del self.moved_keys[next(iter(self.moved_keys))]
        return server

    def find_mid_flow(self, key: str, slot: int) -> Server | None:
        """Return the server that should hold a connection whose packets arrive."""
        route = self.exception_keys.get(key) or self.moved_keys.get(key)
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
        """Forget a session that has ended."""
        self.sessions[session.slot].pop(session, None)
        self.exception_keys.pop(session.key, None)
        if session.group is not None:
            assert session.server is not None, "an accepted session has a server"
            # Subtracting a counter keeps only what is above zero.
            self.group_holders[session.group] -= Counter((session.server,))
            if not self.group_holders[session.group]:
                del self.group_holders[session.group]

    def following_servers(self, slot: int) -> Iterator[Server | None]:
        """Yield the servers of the slots after this one.

        They take what the slot's own server can't. Every proxy finds the same ones, and
        none goes over the whole fleet for a session.
        """
        for index in range(slot + 1, slot + MAX_FOLLOWING_SLOTS):
            yield self.new[index % self.size] or self.current[index % self.size]

    def _add_exception(self, now_ms: float, session: Session) -> None:
        if len(self.exception_keys) < MAX_TRACKED_KEYS:
            assert session.server is not None, "an accepted session has a server"
            self.exception_keys.pop(session.key, None)
            self.exception_keys[session.key] = KeyRoute(session.server, now_ms)

    # The list of servers

    def restore(
        self,
        servers: Sequence[Server],
        current: Sequence[Server | None] | None,
        new: Sequence[Server | None] | None,
        transition_started_ms: dict[int, float],
    ) -> None:
        """Take the table over as another process of this proxy left it.

        Args:
            servers: the ready ones.
            current: the current table; None where that process had another number of
                slots, so that this table is filled anew.
            new: the new table, or None as well.
            transition_started_ms: of the slots in transition.
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
        """Apply a change of the list of servers.

        One update may bring joins and leaves at once, and a server that joins may
        inherit from one that leaves.
        """
        for server in joined:
            self.set_effective_weight(server)
        self._remove_servers(left, ready)
        self._add_servers(now_ms, joined)

    def set_effective_weight(self, server: Server) -> None:
        """Set what a server's draws count for: its registered size.

        Exception: where crossing to another zone has a price, servers of the own zone
        weigh more; all proxies of a zone still fill their tables alike.
        """
        server.hash_draws = server.hash_draws or hash_draws(server.name, INITIAL_DRAWS)
        is_own_zone = server.zone == self._zone
        zone_weight = self._own_zone_weight if is_own_zone else 1.0
        server.effective_weight = server.weight * zone_weight

    def _claim_preferred(self, slots: Sequence[int], servers: Iterable[Server]) -> None:
        weights = {server: server.effective_weight for server in servers}
        claim_slots(slots, self.claim_scores, self.preferred_servers, weights)

    def _add_servers(self, now_ms: float, joined: Sequence[Server]) -> None:
        """Give servers that join the slots to which their claims are the earliest.

        That is about the mean number of slots, whatever was shifted: every proxy with
        the same list then arrives at the same slots.
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
                # A server that is leaving gets nothing new, so the slot can't wait for
                # its connections to end.
                self.current[slot] = self.new[slot] or self.preferred_servers[slot]
                self._end_transition(slot)

    def redirect_slot(self, now_ms: float, slot: int, server: Server | None) -> None:
        """Lead a slot to another server, by a transition where sessions are open."""
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
        """Shift half of one top-level server's free slots to lower levels.

        Args:
            now_ms: the time.
            levels: the load level of each ready server.
            pause_ms: until the same server's slots may be shifted again.
            is_usable: whether a server may be given slots.

        Returns:
            What was shifted, None where nothing was.
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
        """Return how many slots more may be in transition; 0 without room for keys."""
        if len(self.exception_keys) >= MAX_TRACKED_KEYS:
            return 0
        return int(self.size * MAX_TRANSITION_SHARE) - len(self.transition_started_ms)

    def _slots_to_shift(self, server: Server, room: int) -> list[int]:
        """Return the slots of a server that go first, at most `room`.

        Which slots go, and where to, is settled by hash, so that proxies which see the
        same levels shift alike, and a connection that arrives mid-flow at another proxy
        still finds its server.
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
        """End the transition of slots whose old sessions are over or had their time."""
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
                self.moved_keys.pop(session.key, None)
            self.current[slot] = self.new[slot]
            self._end_transition(slot)

    def _expire_keys(self, now_ms: float) -> None:
        oldest_ms = now_ms - TRACKED_KEY_LIFETIME_MS
        for routes in (self.moved_keys, self.exception_keys):
            while routes and next(iter(routes.values())).since_ms < oldest_ms:
                del routes[next(iter(routes))]
