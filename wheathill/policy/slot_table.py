"""Slot tables after INCAB: which server the key of a session leads to."""

import hashlib
import math
import sys
from array import array
from collections import Counter


def slot_of_key(text, size):
    return (
        int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
        % size
    )


def hash_draws(name, count):
    """The first `count` draws of a server, the same on every machine, three numbers each: a slot, and the two
    halves of a part of one."""
    draws = array("H", hashlib.shake_128(name.encode()).digest(6 * count))
    if sys.byteorder == "big":
        draws.byteswap()
    return draws


class SlotTable:
    """Current and new table; which server a session's key leads to."""

    def __init__(
        self,
        choose,
        size,
        least,
        moved_share,
        hard_time_out,
        keys_kept,
        keys_age,
        zone,
        near,
        reach,
    ):
        self.reach, self.zone, self.near, self.choose, self.size = (
            reach,
            zone,
            near,
            choose,
            size,
        )
        self.min_slots, self.moved_share, self.hard_time_out = (
            least,
            moved_share,
            hard_time_out,
        )
        self.keys_kept, self.keys_age = keys_kept, keys_age
        # Highest hash of all that are listed, whatever was shifted, and its score.
        self.preferred_servers, self.claim_scores = [None] * size, [math.inf] * size
        self.current, self.new = [None] * size, [None] * size
        self.sessions = [{} for _ in range(size)]
        self.group_holders = {}  # group -> {server: how many of it are open there through this proxy}
        self.active_servers = {}  # servers that hold sessions, as of the last tick: far fewer than these to walk over
        self.transition_started_ms = {}  # slot -> when its entry in the new table was written
        self.moved_keys, self.exception_keys = (
            {},
            {},
        )  # key -> (server, when), oldest first

    def slot_of(self, sess):
        """Exception: where connections of a group share work, a server pays for the group as soon as
        it holds one of it. The group's name is then hashed in place of the key, so that it meets."""
        return slot_of_key(sess.key if sess.group is None else sess.group, self.size)

    def assign(self, now, key, slot):
        server = self.new[slot]
        if server is None:
            return self.current[slot]
        self.moved_keys.pop(key, None)
        self.moved_keys[key] = (server, now)
        if len(self.moved_keys) > self.keys_kept:
            del self.moved_keys[next(iter(self.moved_keys))]
        return server

    def find_mid_flow(self, key, slot):
        """The server that should hold a connection whose packets arrive mid-flow."""
        return (
            self.exception_keys.get(key)
            or self.moved_keys.get(key)
            or (self.current[slot],)
        )[0]

    def add_session(self, now, sess):
        self.sessions[sess.slot][sess] = self.active_servers[sess.server] = None
        if sess.group is not None:
            self.group_holders.setdefault(sess.group, Counter())[sess.server] += 1
        if sess.server not in (self.current[sess.slot], self.new[sess.slot]):
            self.add_exception(now, sess)

    def remove_session(self, sess):
        self.sessions[sess.slot].pop(sess, None)
        self.exception_keys.pop(sess.key, None)
        if sess.group is not None:
            self.group_holders[sess.group] -= Counter(
                (sess.server,)
            )  # keeps what is above none
            if not self.group_holders[sess.group]:
                del self.group_holders[sess.group]

    def add_exception(self, now, sess):
        if len(self.exception_keys) < self.keys_kept:
            self.exception_keys.pop(sess.key, None)
            self.exception_keys[sess.key] = (sess.server, now)

    def set_effective_weight(self, server):
        """What a server's hash counts for: its registered size. Exception: where crossing to another zone
        has a price, servers of the own zone weigh more; all proxies of a zone still fill alike."""
        server.hash_draws = server.hash_draws or hash_draws(server.name, 16)
        server.effective_weight = server.weight * (
            self.near if server.zone == self.zone else 1.0
        )

    def following_servers(self, slot):
        """Whom the slots after this one lead to, for where its own server will not do. Every proxy finds the
        same ones, and none goes over the whole fleet for a session."""
        for at in range(slot + 1, slot + self.reach):
            yield self.new[at % self.size] or self.current[at % self.size]

    def claim_slots(self, slots, when, whom, pulls):
        """Who claims these slots first: by slot `when`, and by `whom`, so far; `pulls`: server -> what it counts
        for. A server's draws name slots one after another, the k-th at k and a part of one, over the pull. So slots
        fall to servers in proportion, and only draws that can come first are made: some 14 a slot in all."""
        at, mask = 0, self.size - 1
        while True:
            last = max(map(when.__getitem__, slots), default=0.0)
            pulls = {server: pull for server, pull in pulls.items() if at < last * pull}
            if not pulls:
                return
            upto = int(
                min(
                    at + 16 + 4 * self.size // len(pulls),
                    1 + last * max(pulls.values()),
                )
            )
            for server, pull in pulls.items():
                if len(server.hash_draws) < 3 * upto:
                    server.hash_draws = hash_draws(server.name, upto)
                draws = server.hash_draws
                for k, slot in enumerate(draws[3 * at : 3 * upto : 3], at):
                    if k / pull < when[slot & mask]:
                        claimed = (
                            k + draws[3 * k + 1] / 2**16 + draws[3 * k + 2] / 2**32
                        ) / pull
                        if claimed < when[slot & mask]:
                            when[slot & mask], whom[slot & mask] = claimed, server
            at = upto

    def claim_preferred(self, slots, servers):
        self.claim_slots(
            slots,
            self.claim_scores,
            self.preferred_servers,
            {server: server.effective_weight for server in servers},
        )

    def restore(self, servers, slots, opened, known):
        """As another process of this proxy left it; without slots where its table was of another size."""
        for server in servers:
            self.set_effective_weight(server)
        self.claim_preferred(range(self.size), servers)
        self.current, self.new = (
            slots.get("current") or list(self.preferred_servers),
            slots.get("new") or self.new,
        )
        self.transition_started_ms = opened
        self.moved_keys, self.exception_keys = known["moved"], known["exceptions"]

    def update(self, now, joined, left, live):
        # One list may bring joins and leaves at once, and a joiner may inherit from who leaves.
        for server in joined:
            self.set_effective_weight(server)
        self.leave(left, live)
        self.join(now, joined)

    def join(self, now, joined):
        """Give joiners the slots that the highest hash gives them, about the mean count, whatever was
        shifted: every proxy with the same list then arrives at the same slots."""
        joined = dict.fromkeys(joined)
        self.claim_preferred(range(self.size if joined else 0), joined)
        for slot, server in enumerate(self.preferred_servers if joined else ()):
            if server in joined and self.current[slot] is not server:
                self.redirect_slot(now, slot, server)

    def leave(self, left, live):
        freed = [
            slot
            for slot, home in enumerate(self.preferred_servers if left else ())
            if home in left
        ]
        for slot in freed:
            self.preferred_servers[slot], self.claim_scores[slot] = None, math.inf
        self.claim_preferred(freed, live)
        for slot in range(self.size if left else 0):
            if self.new[slot] in left:
                self.end_transition(slot)
            if self.current[slot] in left:
                # A server that is leaving gets nothing new, so the slot cannot wait for its end.
                self.current[slot] = self.new[slot] or self.preferred_servers[slot]
                self.end_transition(slot)

    def redirect_slot(self, now, slot, server):
        if self.current[slot] is not None and self.sessions[slot]:
            self.new[slot], self.transition_started_ms[slot] = server, now
        else:
            self.current[slot] = server
            self.end_transition(slot)

    def end_transition(self, slot):
        self.new[slot] = None
        self.transition_started_ms.pop(slot, None)

    def shift_slots(self, now, levels, wait, usable):
        """Shift half of one top-level server's free slots to servers on lower levels."""
        top = max(levels.values(), default=0)
        tops = [
            server
            for server, level in levels.items()
            if level == top and server.next_shift_ms <= now
        ]
        lower = [
            server for server, level in levels.items() if level < top and usable(server)
        ]
        room = int(self.size * self.moved_share) - len(self.transition_started_ms)
        if (
            not lower
            or not tops
            or room <= 0
            or len(self.exception_keys) >= self.keys_kept
        ):
            return None
        server = self.choose(tops)
        free = [
            slot
            for slot in range(self.size)
            if self.current[slot] is server and self.new[slot] is None
        ]
        count = min(len(free) // 2, len(free) - self.min_slots, room)
        if count <= 0:
            return None
        server.next_shift_ms = now + wait
        # Which slots go, and where to, is settled by hash, so that proxies which see the same levels
        # shift alike and a connection that arrives mid-flow at another proxy still finds its server.
        free.sort(
            key=lambda slot: (
                self.preferred_servers[slot] is server,
                -self.claim_scores[slot],
            )
        )
        when, whom = [-math.inf] * self.size, [None] * self.size
        for slot in free[:count]:
            when[slot] = math.inf
        self.claim_slots(
            free[:count],
            when,
            whom,
            {
                other: other.effective_weight * 2.0 ** (top - levels[other])
                for other in lower
            },
        )
        for slot in free[:count]:
            self.redirect_slot(now, slot, whom[slot])
        return server, count

    def finish_transitions(self, now):
        """End the transition of slots whose old connections are over, or have had long enough."""
        for known in (self.moved_keys, self.exception_keys):
            while known and next(iter(known.values()))[1] < now - self.keys_age:
                del known[next(iter(known))]
        for slot, since in list(self.transition_started_ms.items()):
            old = [
                sess
                for sess in self.sessions[slot]
                if sess.server is not self.new[slot]
            ]
            if old and (
                now - since < self.hard_time_out
                or len(self.exception_keys) + len(old) > self.keys_kept
            ):
                continue
            for sess in old:
                self.add_exception(now, sess)
            for sess in self.sessions[slot]:
                self.moved_keys.pop(sess.key, None)
            self.current[slot] = self.new[slot]
            self.end_transition(slot)
