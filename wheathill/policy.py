"""All decisions of wheathill.

One `Balancer` decides for one proxy. Whoever carries the sessions calls its `on_*` methods,
one for each thing that happened, with the time in milliseconds first; it answers by calling the
`Actions` of `wheathill/model.py`, where its interface (Server, Session, Listener, Outcome) is
defined. Nothing here reads a clock, a file or a socket, and no name is ever looked at: a
server's name is only hashed. The mechanism is that of docs/design.md: a slot table after INCAB
(arXiv paper "In-network Congestion-aware Load Balancing at Transport Layer").
"""

import hashlib
import math
import sys
from array import array
from collections import Counter, deque
from itertools import chain
from statistics import fmean, median

from wheathill.model import (
    LIST_CALL,
    LIST_LONGEST,
    Dial,
    ListKind,
    Outcome,
    Phase,
    Repeat,
)


def slot_of(text, size):
    return (
        int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
        % size
    )


def slot_draws(name, count):
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
        self.least, self.moved_share, self.hard_time_out = (
            least,
            moved_share,
            hard_time_out,
        )
        self.keys_kept, self.keys_age = keys_kept, keys_age
        # Highest hash of all that are listed, whatever was shifted, and its score.
        self.home, self.lowest = [None] * size, [math.inf] * size
        self.current, self.new = [None] * size, [None] * size
        self.sessions = [{} for _ in range(size)]
        self.holders = {}  # group -> {server: how many of it are open there through this proxy}
        self.serving = {}  # servers that hold sessions, as of the last tick: far fewer than these to walk over
        self.opened = {}  # slot -> when its entry in the new table was written
        self.moved, self.exceptions = {}, {}  # key -> (server, when), oldest first

    def slot(self, sess):
        """Exception: where connections of a group share work, a server pays for the group as soon as
        it holds one of it. The group's name is then hashed in place of the key, so that it meets."""
        return slot_of(sess.key if sess.group is None else sess.group, self.size)

    def place(self, now, key, slot):
        server = self.new[slot]
        if server is None:
            return self.current[slot]
        self.moved.pop(key, None)
        self.moved[key] = (server, now)
        if len(self.moved) > self.keys_kept:
            del self.moved[next(iter(self.moved))]
        return server

    def find(self, key, slot):
        """The server that should hold a connection whose packets arrive mid-flow."""
        return (
            self.exceptions.get(key) or self.moved.get(key) or (self.current[slot],)
        )[0]

    def accepted(self, now, sess):
        self.sessions[sess.slot][sess] = self.serving[sess.server] = None
        if sess.group is not None:
            self.holders.setdefault(sess.group, Counter())[sess.server] += 1
        if sess.server not in (self.current[sess.slot], self.new[sess.slot]):
            self.except_key(now, sess)

    def ended(self, sess):
        self.sessions[sess.slot].pop(sess, None)
        self.exceptions.pop(sess.key, None)
        if sess.group is not None:
            self.holders[sess.group] -= Counter(
                (sess.server,)
            )  # keeps what is above none
            if not self.holders[sess.group]:
                del self.holders[sess.group]

    def except_key(self, now, sess):
        if len(self.exceptions) < self.keys_kept:
            self.exceptions.pop(sess.key, None)
            self.exceptions[sess.key] = (sess.server, now)

    def weigh(self, server):
        """What a server's hash counts for: its registered size. Exception: where crossing to another zone
        has a price, servers of the own zone weigh more; all proxies of a zone still fill alike."""
        server.draws = server.draws or slot_draws(server.name, 16)
        server.pull = server.weight * (self.near if server.zone == self.zone else 1.0)

    def others(self, slot):
        """Whom the slots after this one lead to, for where its own server will not do. Every proxy finds the
        same ones, and none goes over the whole fleet for a session."""
        for at in range(slot + 1, slot + self.reach):
            yield self.new[at % self.size] or self.current[at % self.size]

    def claim(self, slots, when, whom, pulls):
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
                if len(server.draws) < 3 * upto:
                    server.draws = slot_draws(server.name, upto)
                draws = server.draws
                for k, slot in enumerate(draws[3 * at : 3 * upto : 3], at):
                    if k / pull < when[slot & mask]:
                        claimed = (
                            k + draws[3 * k + 1] / 2**16 + draws[3 * k + 2] / 2**32
                        ) / pull
                        if claimed < when[slot & mask]:
                            when[slot & mask], whom[slot & mask] = claimed, server
            at = upto

    def settle(self, slots, servers):
        self.claim(
            slots, self.lowest, self.home, {server: server.pull for server in servers}
        )

    def stand(self, servers, slots, opened, known):
        """As another process of this proxy left it; without slots where its table was of another size."""
        for server in servers:
            self.weigh(server)
        self.settle(range(self.size), servers)
        self.current, self.new = (
            slots.get("current") or list(self.home),
            slots.get("new") or self.new,
        )
        self.opened = opened
        self.moved, self.exceptions = known["moved"], known["exceptions"]

    def update(self, now, joined, left, live):
        # One list may bring joins and leaves at once, and a joiner may inherit from who leaves.
        for server in joined:
            self.weigh(server)
        self.leave(left, live)
        self.join(now, joined)

    def join(self, now, joined):
        """Give joiners the slots that the highest hash gives them, about the mean count, whatever was
        shifted: every proxy with the same list then arrives at the same slots."""
        joined = dict.fromkeys(joined)
        self.settle(range(self.size if joined else 0), joined)
        for slot, server in enumerate(self.home if joined else ()):
            if server in joined and self.current[slot] is not server:
                self.redirect(now, slot, server)

    def leave(self, left, live):
        freed = [
            slot for slot, home in enumerate(self.home if left else ()) if home in left
        ]
        for slot in freed:
            self.home[slot], self.lowest[slot] = None, math.inf
        self.settle(freed, live)
        for slot in range(self.size if left else 0):
            if self.new[slot] in left:
                self.clear(slot)
            if self.current[slot] in left:
                # A server that is leaving gets nothing new, so the slot cannot wait for its end.
                self.current[slot] = self.new[slot] or self.home[slot]
                self.clear(slot)

    def redirect(self, now, slot, server):
        if self.current[slot] is not None and self.sessions[slot]:
            self.new[slot], self.opened[slot] = server, now
        else:
            self.current[slot] = server
            self.clear(slot)

    def clear(self, slot):
        self.new[slot] = None
        self.opened.pop(slot, None)

    def halve(self, now, levels, wait, usable):
        """Shift half of one top-level server's free slots to servers on lower levels."""
        top = max(levels.values(), default=0)
        tops = [
            server
            for server, level in levels.items()
            if level == top and server.shift_after <= now
        ]
        lower = [
            server for server, level in levels.items() if level < top and usable(server)
        ]
        room = int(self.size * self.moved_share) - len(self.opened)
        if not lower or not tops or room <= 0 or len(self.exceptions) >= self.keys_kept:
            return None
        server = self.choose(tops)
        free = [
            slot
            for slot in range(self.size)
            if self.current[slot] is server and self.new[slot] is None
        ]
        count = min(len(free) // 2, len(free) - self.least, room)
        if count <= 0:
            return None
        server.shift_after = now + wait
        # Which slots go, and where to, is settled by hash, so that proxies which see the same levels
        # shift alike and a connection that arrives mid-flow at another proxy still finds its server.
        free.sort(key=lambda slot: (self.home[slot] is server, -self.lowest[slot]))
        when, whom = [-math.inf] * self.size, [None] * self.size
        for slot in free[:count]:
            when[slot] = math.inf
        self.claim(
            free[:count],
            when,
            whom,
            {other: other.pull * 2.0 ** (top - levels[other]) for other in lower},
        )
        for slot in free[:count]:
            self.redirect(now, slot, whom[slot])
        return server, count

    def close(self, now):
        """End the transition of slots whose old connections are over, or have had long enough."""
        for known in (self.moved, self.exceptions):
            while known and next(iter(known.values()))[1] < now - self.keys_age:
                del known[next(iter(known))]
        for slot, since in list(self.opened.items()):
            old = [
                sess
                for sess in self.sessions[slot]
                if sess.server is not self.new[slot]
            ]
            if old and (
                now - since < self.hard_time_out
                or len(self.exceptions) + len(old) > self.keys_kept
            ):
                continue
            for sess in old:
                self.except_key(now, sess)
            for sess in self.sessions[slot]:
                self.moved.pop(sess.key, None)
            self.current[slot] = self.new[slot]
            self.clear(slot)


class LoadLevels:
    """From the last few probe answers to doubling levels."""

    def __init__(
        self, names, proxies, fresh, together, late, full, late_for, floor, tells_late
    ):
        self.tells_late, self.together, self.late_for, self.late = (
            tells_late,
            together,
            late_for,
            late,
        )
        self.full, self.names, self.fresh = full, names, fresh
        # Load over capacity says most; a queue or a count of connections only orders the servers.
        self.source = next(
            (name for name in ("x0", "util", "queue") if name in names), None
        )
        self.of_capacity = self.source in ("x0", "util")
        self.share = 1.0 / proxies  # of what all proxies may do together
        # Until some connections are held: this proxy's part of a few dozen in all.
        self.bearable = 40.0 * self.share
        self.found = deque(maxlen=5)  # the last of what it was found to be
        self.firm = deque(
            maxlen=5
        )  # the same, since sessions came slowly for the first time
        self.held = 0.0  # on a warm server, a tick ago
        # A proxy that has just started holds nothing on servers that others have loaded: without a floor it
        # took each of its connections for a whole server and refused nearly all.
        self.floor = floor
        self.base = 1.0 if self.source == "queue" else 0.25

    def sample(self, now, server, report):
        if self.source and report and len(report) == len(self.names):
            if (
                figure := report[self.names.index(self.source)]
            ) is not None and 0 <= figure < math.inf:
                server.samples.append((now, figure))

    def figure(self, now, server):
        # Smoothed over two that lie close together: an older one says how it was before the rush.
        samples = (
            server.samples
        )  # two at most: asked for of dozens of servers a session
        if not samples or samples[-1][0] <= now - self.fresh:
            return None
        (earlier, first), (when, last) = samples[0], samples[-1]
        return (
            (first + last) / 2 if earlier > when - self.together else last
        ) * server.doubt

    def figures(self, now, servers):
        """Of those that have one: with hundreds of proxies each sees few servers at a time."""
        return {
            server: found
            for server in servers
            if (found := self.figure(now, server)) is not None
        }

    def learn(self, now, warm):
        """What a warm server bears at full load, in this proxy's own connections. A proxy among hundreds
        holds less than one a server: only those on all together, over their mean load, tell it."""
        fresh = [
            server
            for server in warm
            if self.of_capacity and self.age(now, server) < self.together
        ]
        loads = [
            load / min(1.0, server.doubt)
            for server, load in self.figures(now, fresh).items()
        ]
        held = sum(len(server.sessions) for server in warm) / max(1, len(warm))
        if held and loads:
            # Not the last alone: one odd report would count for all.
            self.found.append(held / max(0.05, fmean(loads)))
            self.bearable = median(self.found)
            # Loads are told later than sessions come: after a start, while they come fast, more stands there
            # than was reported. A first finding of six times the truth pushed all cold servers over.
            if self.firm or held <= 1.5 * self.held:
                self.firm.append(self.found[-1])
        self.held = held

    @property
    def borne(self):
        """The same, as far as cold servers may be filled by it."""
        return median(self.firm) if self.firm else min(self.bearable, 40.0 * self.share)

    def take_share(self, share):
        """What is found follows a larger share by itself, but a smaller one too late."""
        less = min(1.0, share / self.share) if self.share else 1.0
        self.found, self.firm = (
            deque((each * less for each in kept), 5) for kept in (self.found, self.firm)
        )
        self.bearable = self.bearable * less if self.found else 40.0 * share
        self.share = share

    def expected(self, now, server):
        """The probed load with what this proxy has dialled since; 0 when nothing is known. Without
        it all sessions between two probes would crowd onto the server that looked best."""
        figure = self.figure(now, server) if self.of_capacity else None
        if figure is None:
            return 0.0
        since = server.samples[-1][0] - self.late
        return figure + sum(when > since for when in server.dialled) / max(
            self.floor, self.bearable
        )

    def told_late(self, now, server, times):
        """Evidence before belief: where messages miss their target a server is near full at least, whatever
        it reports; so late as `times` the target, and again within 3 s. Each second without such a notice
        takes a part of the doubt back, more where connections of this proxy stand there to tell."""
        again = now - server.late < 2 * self.late_for
        server.late = now
        figure = self.figure(now, server) if self.of_capacity else None
        if figure and times and again:
            server.doubt = min(
                8.0, server.doubt * max(1.0, 0.95 * min(1.0, times) / figure)
            )

    def believe(self, now, servers):
        """Also the other way: one that says it is past its capacity while this proxy's connections there
        hear nothing late says too much. Where late ones are not told, nothing speaks against it."""
        for server in servers:
            if server.doubt > 1.0 and not self.late_now(now, server):
                server.doubt = max(
                    1.0, server.doubt * (0.85 if server.sessions else 0.93)
                )
            elif (
                self.tells_late
                and now - server.late > self.fresh
                and server.doubt <= 1.0
            ):
                first = next(iter(server.sessions), None)
                over = (self.figure(now, server) or 0.0) >= server.doubt
                if (
                    not over
                    or first
                    and first.accepted is not None
                    and now - first.accepted > self.fresh
                ):
                    server.doubt = (
                        max(0.5, server.doubt * 0.9)
                        if over
                        else min(1.0, server.doubt * 1.01)
                    )

    def late_now(self, now, server):
        """Told, free of any probe, that messages there miss their target: it is full, by how much unknown."""
        return now - server.late < self.late_for

    def age(self, now, server):
        return now - server.samples[-1][0] if server.samples else math.inf

    def level(self, figure):
        return 0 if figure < self.base else 1 + int(math.log2(figure / self.base))

    def levels(self, now, servers):
        if self.source:
            known = self.figures(now, servers)
        else:
            mean = fmean([len(server.sessions) for server in servers] or [0]) or 1.0
            known = {server: len(server.sessions) / mean for server in servers}
        found = {server: self.level(figure) for server, figure in known.items()}
        if 2 * len(found) < len(servers):
            # Exception: with most unknown a level says nothing against the others'. Tables of hundreds of
            # proxies, each shifted by the few figures it happened to see, drift apart, and groups with them.
            found = {}
        middle = int(median(found.values())) if found else 0
        return {server: found.get(server, middle) for server in servers}


class Roster:
    """Follows the list of servers; tells who joined and who left."""

    def __init__(
        self, actions, must_ask, spread, drain_grace, sized, uniform, gone_binds
    ):
        self.gone_binds, self.spread, self.actions, self.sized = (
            gone_binds,
            spread,
            actions,
            sized,
        )
        self.must_ask, self.drain_grace, self.uniform = must_ask, drain_grace, uniform
        self.servers = {}  # ready ones, in order of name: the same at every proxy
        self.out = {}  # names of those that are out by hand -> since when
        self.back = {}  # of those put back -> (since when they were out, until when)
        self.following, self.asked, self.failures = False, None, 0

    def begin(self, now):
        """The list service is one for all and does not grow with them: a call by every proxy at the start
        would be turned away for most, and their next ones too."""
        if self.must_ask:
            self.actions.alarm("follow", now + self.uniform(0.0, self.spread))

    def ask(self, now):
        if self.must_ask and not self.following and self.asked is None:
            self.asked = now
            self.actions.follow_list(True)

    def update(self, now, kind, entries):
        """Entries are (server, phase, weight, started). Returns (joined, left)."""
        if kind is ListKind.FAILED:
            # Every proxy meets the failure at once; asking again together would keep the list
            # service down, so the wait doubles and is spread.
            self.following, self.asked, self.failures = False, None, self.failures + 1
            wait = min(
                LIST_LONGEST, max(500.0, self.spread / 2) * 2.0 ** min(self.failures, 5)
            )
            self.actions.alarm("follow", now + wait * self.uniform(0.5, 1.0))
            return [], []
        if kind in (ListKind.CHANGES, ListKind.FULL) and self.asked is not None:
            self.following, self.asked, self.failures = True, None, 0
        joined, left, listed = {}, {}, {}
        for server, phase, weight, started in entries:
            listed[server] = None
            server.listed, server.doubted = phase, False
            if phase is Phase.READY and server.name in self.out:
                phase = Phase.DRAINING
            since, until = self.back.get(server.name, (-math.inf, None))
            if (
                started is None
                and until is not None
                or started is not None
                and started < since
            ):
                started = until  # that it was restarted meanwhile may not be told yet
            restarted = started is not None and (
                server in self.servers
                if server.started is None
                else started > server.started
            )
            # Only a registered size is the same at every proxy; a live weight would tear tables apart.
            server.weight = weight if self.sized and weight and weight > 0 else 1.0
            server.started = started
            if phase is Phase.READY:
                if server not in self.servers or restarted:
                    joined[server] = None
                    # A new process knows nothing of what the old one was judged by.
                    for known in (
                        server.samples,
                        server.took,
                        server.results,
                        server.dialled,
                    ):
                        known.clear()
                    server.silent, server.probed, server.doubt = 0, None, 1.0
                server.phase = Phase.READY
            elif server.phase is Phase.READY or server in self.servers:
                self.miss(now, server, phase, left)
            else:
                server.phase = phase
        if kind not in (ListKind.CHANGES, ListKind.BY_HAND):
            for server in [server for server in self.servers if server not in listed]:
                self.miss(now, server, Phase.GONE, left)
        self.servers.update(joined)
        self.keep_ready()
        return [server for server in joined if server in self.servers], list(left)

    def keep_ready(self):
        self.servers = {
            server: None
            for server in sorted(self.servers, key=lambda server: server.name)
            if server.phase is Phase.READY
        }

    def miss(self, now, server, phase, left):
        """Where only draining binds, a list without a server is one witness: it leaves when it also gives no
        answer. One that was seen draining is never ready here, so no silence of a list brings it back."""
        if phase is Phase.GONE and not self.gone_binds:
            server.doubted = True
        else:
            self.lose(now, server, phase, left)

    @staticmethod
    def lose(now, server, phase, left):
        server.phase = phase
        server.told = now
        left[server] = None

    def may_dial(self, now, server, mid_flow):
        """Rule 3. A draining server still carries on what it holds, but only within the grace."""
        if server.phase is Phase.READY:
            return True
        return (
            mid_flow
            and server.phase is Phase.DRAINING
            and now < server.told + self.drain_grace / 2
        )


class Probes:
    """Sends probes: the asked ones, and within what sessions pay for a round over the fleet."""

    def __init__(self, actions, allowed, a_session, every, near_full):
        self.actions, self.allowed, self.a_session = actions, allowed, a_session
        self.every, self.near_full = every, near_full
        self.earned = 0.0

    def session(self, servers):
        # A probe has its price by the session and its work at the server: by the clock, all
        # proxies probing all servers would grow with the product of both.
        self.earned = min(self.earned + self.a_session, float(len(servers)))

    def send(self, now, server):
        if server.probed is None:
            server.probed = server.asked = now
            self.earned -= 1.0
            self.actions.probe(server)

    def due(self, now, servers, figures):
        """Those near full first, then those not asked for longest."""
        if not self.allowed or self.earned < 1.0:
            return []
        near = {
            server: None
            for server, figure in figures.items()
            if figure > self.near_full
        }
        due = [
            server
            for server in servers
            if server.probed is None and now - server.asked >= self.every
        ]
        return sorted(due, key=lambda server: (server not in near, server.asked))[
            : int(self.earned)
        ]


class Ways:
    """How long an answer takes from a server to this proxy and back, by the last few probes.

    Messages take as long: where that alone misses their target, the way is slow or the server swamped; alike
    to who waits. Of one not asked of late the others of its zone tell. It could do harm where probes wait and
    messages don't; so it only puts a server behind those that answer in time."""

    def __init__(self, fresh):
        self.fresh = fresh
        self.zones = {}  # zone -> the last few (when, ms) of its servers

    def took(self, now, server, ms):
        server.took.append((now, ms))
        self.zones.setdefault(server.zone, deque(maxlen=8)).append((now, ms))

    def slow(self, now, server, target):
        took, since = server.took, now - self.fresh
        if took and took[-1][0] > since:
            return took[-1][1] > target and (took[0][1] > target or took[0][0] <= since)
        alike = [ms for when, ms in self.zones.get(server.zone, ()) if when > since]
        return len(alike) >= 3 and median(alike) > target


class Health:
    """Who answers, judged by the last few dials and probes of this proxy alone."""

    def __init__(self, pause, stood, memory, shared_memory):
        self.pause, self.stood = pause, stood
        self.dials = deque(maxlen=16)
        self.shared_memory, self.memory = shared_memory, memory

    def dialled(self, now, server, well):
        self.dials.append((now, server, well))
        server.results.append((now, well))

    def broke(self, now, server, accepted):
        """A session was reset that had been set up. If its set-up is among the last few, that is what failed, and
        no other one: all sessions of a server that dies are reset at once, and are one server's trouble."""
        server.results.append((now, False))
        if (accepted, server, True) in self.dials:
            self.dials[self.dials.index((accepted, server, True))] = (
                accepted,
                server,
                False,
            )

    def silent(self, server):
        return server.silent >= 2

    def failing(self, now, server):
        """No fixed time stands for its return: one session at a time tries it, and until that one has stood
        a while nothing else goes there; each failure among the last few doubles the wait for the next try."""
        recent = [
            (when, well) for when, well in server.results if when > now - self.memory
        ]
        bad = [when for when, well in recent if not well]
        if len(bad) < 2 or 3 * len(bad) < len(recent):
            return False
        tries = [when for when, well in recent if well and when > bad[-1]]
        if tries:
            return now - tries[0] < self.stood
        trial = server.dialled and bad[-1] < server.dialled[-1] > now - self.pause * 2
        # What breaks together failed once.
        failed = 1 + sum(
            later - earlier > self.pause for earlier, later in zip(bad, bad[1:])
        )
        return trial or now - bad[-1] < self.pause * 2 ** (failed + 1)

    def shared_trouble(self, now):
        """Set-ups fail at many servers at once: what they all depend on is swamped, and dialling on
        would swamp it more."""
        met = {}
        for when, server, well in self.dials:
            if when > now - self.shared_memory:
                met.setdefault(server, []).append(well)
        # By servers too, not by dials alone: a few that fail by turns take many dials, with no common cause.
        # Two are enough: one proxy among hundreds sees hardly more before its clients give up.
        bad = sum(2 * sum(well) <= len(well) for well in met.values())
        dials = list(chain.from_iterable(met.values()))
        return bad >= 2 and 2 * bad >= len(met) and 2 * sum(dials) <= len(dials)

    def ill(self, now, server):
        return self.silent(server) or self.failing(now, server)


class ColdBudget:
    """Rule 4: this proxy's part of what a server that has just started can take.

    Less than one dial is neither rounded up nor kept for later: in a herd all would use theirs at once. In
    which windows it makes a whole one goes by the proxy's number, so that the sum over all is right though
    they can't talk to one another (docs/design/cold-servers.md)."""

    GOLDEN = (math.sqrt(5) - 1) / 2

    def __init__(
        self, levels, start_share, cold_for, multiple, window, number, proxies
    ):
        self.levels, self.start_share, self.cold_for = levels, start_share, cold_for
        self.multiple, self.window, self.number, self.proxies = (
            multiple,
            max(1.0, window),
            number,
            proxies,
        )
        self.since = math.inf  # this process began; the one before it may have dialled
        self.rights = None  # where proxies know each other: (server, dials for each borne) -> own dials

    def cold(self, now, server):
        return server.started is not None and now < server.started + self.cold_for

    def turn(self, now, server):
        """Between 0 and 1, anew each window, which no two proxies begin together. Multiples of the golden
        ratio fill the circle evenly (Steinhaus's three gaps): below a part lies that part of the proxies."""
        window = (
            max(0.0, now - server.started) / self.window + self.number / self.proxies
        )
        return (
            (self.number + int(window)) * self.GOLDEN + server.draws[0] / 2**16
        ) % 1.0

    def allows(self, now, server):
        if not self.cold(now, server):
            return True
        ready = (
            self.start_share
            + (1 - self.start_share) * max(0.0, now - server.started) / self.cold_for
        )
        # A server fills over its warm-up at the fastest; a quarter is left for repeats, probes, handshakes.
        unit = 0.75 * ready * self.multiple * self.window / self.cold_for
        part = (
            unit * self.levels.borne
            if self.rights is None
            else self.rights(server.name, unit)
        )
        server.cold_dials[:] = [
            when for when in server.cold_dials if when > now - self.window
        ]
        whole, rest = divmod(part, 1.0)
        # Two turns that follow one another fall into one window of the server's: each has half of the part. But
        # for so few proxies that one dial more of each is within what chance has beyond what is allowed.
        allowed = part * self.proxies / 0.75
        few = self.proxies * (1.0 - rest) <= 0.75 * (
            allowed / 4 + 2 * math.sqrt(allowed) + 2
        )
        most = whole + (self.turn(now, server) < (rest if few else rest / 2))
        return len(server.cold_dials) < most and now >= self.since + self.window

    def dialled(self, now, server):
        server.dialled.append(now)
        if self.cold(now, server):
            server.cold_dials.append(now)


class DialBudget:
    """Rule 5, where it is stated: within any `span`, this proxy's further dials number at most `free` plus
    `share` of the sessions it took. Dearer sessions go first: a cheaper one is dialled again only with what
    the dearer ones leave, at the rate at which they asked of late. No form of trouble is looked at; where
    dear sessions ask much and then stop, cheap ones find too little for one span."""

    def __init__(self, free, share, span):
        self.free, self.share, self.span = free, share, span
        # Of the last span: when sessions came; (when, utility of the session) of further dials; of wanted.
        self.taken, self.spent, self.asked = (
            deque(maxlen=None if span else 0) for _ in range(3)
        )
        self.withheld = 0

    def wanted(self, now, sess):
        self.asked.append((now, sess.listener.utility))
        return self.allows(now, sess)

    def took(self, now):
        self.taken.append(now)
        self.forget(now)

    def forget(self, now):
        # The carrier counts in units of its own: at both ends of the window the dearer reading counts.
        while self.taken and self.taken[0] <= now - self.span + 1.0:
            self.taken.popleft()
        for kept in (self.spent, self.asked):
            while kept and kept[0][0] < now - self.span - 1.0:
                kept.popleft()

    def allows(self, now, sess):
        if not self.span or not sess.dials:
            return True
        self.forget(now)
        utility = sess.listener.utility
        dearer = [
            sum(other > utility for _, other in kept)
            for kept in (self.asked, self.spent)
        ]
        room = (
            self.free
            + self.share * len(self.taken)
            - len(self.spent)
            - max(0, dearer[0] - dearer[1])
        )
        self.withheld += room < 1.0
        return room >= 1.0

    def dialled(self, now, sess):
        if sess.dials:
            self.spent.append((now, sess.listener.utility))

    def never_sent(self, sess):
        mark = (sess.dials[-1].sent, sess.listener.utility)
        if len(sess.dials) > 1 and mark in self.spent:
            self.spent.remove(mark)


class Stage:
    """One of the stages a session passes; results come back through them in reverse."""

    next = before = None

    def accepted(self, now, sess):
        self.before.accepted(now, sess)


class Admission(Stage):
    """Takes a session in, and gives its final answer when no later stage could.

    Exception: while set-ups fail at many servers, only so many may be under way at once, halved as they fail
    and growing as they succeed. Clients that return together would otherwise keep swamped what all set-ups
    depend on. One each is still too many of hundreds of proxies: below one, the next waits ever longer."""

    def __init__(
        self,
        actions,
        uniform,
        health,
        longest_wait,
        most_set_ups,
        least_set_ups,
        pause,
        cut_wait,
        hold,
    ):
        self.actions, self.uniform, self.health = actions, uniform, health
        self.most_set_ups, self.least_set_ups, self.window = (
            most_set_ups,
            least_set_ups,
            float(most_set_ups),
        )
        self.pause, self.cut_wait, self.hold, self.longest_wait = (
            pause,
            cut_wait,
            hold,
            longest_wait,
        )
        self.cut_at = self.next_at = -math.inf
        self.under_way = {}

    def enter(self, now, sess):
        full = len(self.under_way) >= max(1.0, self.window) or now < self.next_at
        if sess.deadline <= now or not sess.mid_flow and full:
            return self.back(now, sess, None)
        self.under_way[sess] = None
        self.space(now)
        self.next.enter(now, sess)

    def space(self, now):
        if self.window < 1.0:
            self.next_at = now + self.pause / self.window * self.uniform(0.5, 1.5)

    def accepted(self, now, sess):
        self.under_way.pop(sess, None)
        if now >= self.cut_at + self.hold:
            self.window = min(
                self.most_set_ups, self.window + min(self.window, 1 / self.window)
            )

    def failed(self, now):
        if self.health.shared_trouble(now) and now >= self.cut_at + self.cut_wait:
            self.window = max(
                self.least_set_ups, min(self.window, max(1, len(self.under_way))) / 2
            )
            self.cut_at = now
            self.space(now)
            self.actions.log(f"store: at most {self.window:.2g} set-ups at once")

    def back(self, now, sess, outcome):
        self.under_way.pop(sess, None)
        if outcome in (Outcome.ERROR, Outcome.OVERDUE):
            self.failed(now)
        sess.ended = True
        if may_refuse(sess):
            wait = max(sess.listener.handshake_target, self.next_at - now)
            self.actions.refuse(sess, min(self.longest_wait, wait))
        else:
            self.actions.tear_down(sess)


class Placement(Stage):
    """Names the server: the table's for the first dial, those of the slots after it for further ones."""

    def __init__(
        self,
        actions,
        table,
        levels,
        roster,
        health,
        ways,
        cold,
        budget,
        probes,
        most_dials,
        most_asked,
        recent,
    ):
        self.ways, self.actions, self.budget, self.probes = (
            ways,
            actions,
            budget,
            probes,
        )
        self.waiting = {}  # server -> sessions that wait for its answer
        self.patience = {}  # number of the wait -> (session, server)
        self.waits = 0
        self.levels, self.table, self.roster, self.health = (
            levels,
            table,
            roster,
            health,
        )
        self.cold, self.most_dials, self.most_asked, self.recent = (
            cold,
            most_dials,
            most_asked,
            recent,
        )

    def enter(self, now, sess):
        sess.slot = self.table.slot(sess)
        if sess.mid_flow:
            # The server keeps such a connection for a short time only: asked at once, ill or not. Only
            # a cold one keeps its budget: where the guess is wrong the connection is set up anew there.
            server = self.table.find(sess.key, sess.slot)
            if (
                server is not None
                and self.roster.may_dial(now, server, True)
                and self.cold.allows(now, server)
            ):
                return self.dial(now, sess, server)
        sess.choices = self.choices(now, sess)
        self.go(now, sess)

    def choices(self, now, sess):
        """Exception: where the table's server will not do, those that hold the session's group here, then
        those of the slots after its own. They act only for ill, tried and leaving servers, for cold ones
        past their budget, and for overdriven ones: halving comes too late for those."""
        first = self.table.place(now, sess.key, sess.slot)
        seen = {dial.server: None for dial in sess.dials}
        holding = list(self.table.holders.get(sess.group, ()))
        for server in chain((first,), holding, self.table.others(sess.slot)):
            if server is not None and server not in seen:
                seen[server] = None
                yield server

    def go(self, now, sess, asked=None):
        """With no server left the session is refused: past that load messages are late, so one more
        costs those placed more than it gains."""
        for server in sess.choices if asked is None else chain((asked,), sess.choices):
            if not self.usable(now, sess, server):
                continue
            slow = self.ways.slow(now, server, sess.listener.message_target)
            if self.health.ill(now, server):
                # When most look ill the cause is shared, and crowding the rest would not cure it.
                if sess.spare is None and not self.health.silent(server):
                    sess.spare = server
                continue
            sess.home = sess.home or (None if slow else server)
            sess.place += not slow and server is not asked
            if server is not asked and not slow and self.should_ask(now, sess, server):
                return self.ask(now, sess, server)
            if not self.has_room(now, sess, server):
                sess.met_full = True
            elif not slow:
                return self.dial(now, sess, server)
            elif sess.far is None:
                sess.far = server
        for server in (sess.far, None if sess.met_full else sess.spare):
            if server is not None and self.usable(now, sess, server):
                sess.far = sess.spare = None
                return self.dial(now, sess, server)
        self.before.back(now, sess, None)

    def should_ask(self, now, sess, server):
        """Exception: a server of which no recent figure is known is probed before a session goes there.
        Among hundreds of proxies each sees too few sessions to pay for following every server's load,
        so what the others sent meanwhile would be met blindly; a server that went silent shows as well.
        Not with little time left, and only a few a session: with none left, unknown ones are dialled."""
        if (
            sess.asked >= self.most_asked
            or not self.probes.allowed
            or not self.levels.of_capacity
        ):
            return False
        age = self.levels.age(now, server)
        # One that was full a moment ago is hardly empty now: who came again found the same ones full.
        return (
            age > self.recent
            and not self.levels.late_now(now, server)
            and (age > 4 * self.recent or self.has_room(now, sess, server))
            and sess.deadline - now > sess.listener.dial_timeout / 2
        )

    def ask(self, now, sess, server):
        sess.asked += 1
        self.waiting.setdefault(server, {})[sess] = None
        self.waits += 1
        self.patience[self.waits] = sess, server
        patience = min(sess.listener.handshake_target, sess.deadline - now) / 4
        self.actions.alarm(f"wait {self.waits}", now + patience)
        self.probes.send(now, server)

    def answered(self, now, server, well):
        for sess in self.waiting.pop(server, ()):
            self.resume(now, sess, server, well)

    def out_of_patience(self, now, number):
        sess, server = self.patience.pop(number)
        if self.waiting.get(server, {}).pop(sess, self) is not self:
            self.resume(now, sess, server, False)

    def resume(self, now, sess, server, well):
        if sess.ended:
            return
        if not well and sess.spare is None:
            sess.spare = server
        self.go(now, sess, server if well else None)

    def usable(self, now, sess, server):
        return (
            self.roster.may_dial(now, server, False)
            and may_redial(now, sess, server)
            and self.cold.allows(now, server)
        )

    def has_room(self, now, sess, server):
        # One that holds the group takes its member for far less than one that does not. What is not held
        # through this proxy is likely held through others, where its slot leads.
        holders = self.table.holders.get(sess.group, ())
        part = (
            1.0
            if sess.group is None or server in holders
            else max(0.45, 0.85 - 0.07 * (sess.place - 1))
        )
        # Of whom nothing is told after others were full, the same is to be expected: dialled unseen they took
        # what no other had room for, and each new holder of a group added its cost to a full fleet.
        known = (
            server is sess.home
            or not self.probes.allowed
            or not self.levels.of_capacity
            or self.levels.figure(now, server) is not None
        )
        return (
            known
            and self.levels.expected(now, server) < self.levels.full * part
            and not self.levels.late_now(now, server)
        )

    def dial(self, now, sess, server):
        sess.server = server
        self.next.enter(now, sess)

    def back(self, now, sess, outcome):
        sensible = outcome is Outcome.CONNECT_FAILED or not self.health.shared_trouble(
            now
        )
        possible = (
            len(sess.dials) < self.most_dials
            and sess.deadline > now
            and outcome not in (None, Outcome.CANCELLED)
        )
        if sensible and possible and self.budget.wanted(now, sess):
            sess.choices = sess.choices or self.choices(now, sess)
            self.go(now, sess)
        else:
            self.before.back(now, sess, outcome)


class Dialling(Stage):
    """Sends one dial at a time, and judges how it ended."""

    def __init__(self, actions, table, levels, health, cold, budget, alive):
        self.levels, self.budget, self.alive, self.actions = (
            levels,
            budget,
            alive,
            actions,
        )
        self.table, self.health, self.cold = table, health, cold

    def enter(self, now, sess):
        if not self.budget.allows(now, sess):
            return self.before.back(now, sess, None)
        self.budget.dialled(now, sess)
        sess.dials.append(Dial(sess.server, now))
        self.cold.dialled(now, sess.server)
        left = sess.deadline - now
        # A silent server must not hold a session until its client gives up, and a slow shared
        # store must not be asked twice: most of the time goes to the first dial, not all of it.
        # One that has just answered a probe is not silent.
        alive = self.levels.age(now, sess.server) < self.alive
        self.actions.dial(
            sess, sess.server, left if alive or len(sess.dials) > 1 else left * 0.6
        )

    def accepted(self, now, sess):
        self.before.accepted(now, sess)
        sess.accepted = now
        sess.server.sessions[sess] = None
        self.table.accepted(now, sess)
        self.health.dialled(now, sess.server, True)

    def back(self, now, sess, outcome):
        dial = sess.dials[-1]
        dial.may_have_run = not outcome.never_ran
        if outcome is Outcome.NEVER_SENT:
            self.budget.never_sent(sess)
        if outcome in (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.OVERDUE):
            self.health.dialled(now, dial.server, False)
        self.before.back(now, sess, outcome)


def ran(sess):
    return [dial for dial in sess.dials if dial.may_have_run]


def may_redial(now, sess, server):
    """Rule 2, for a session none of whose dials is out."""
    listener, scope = sess.listener, sess.listener.scope
    if listener.repeat is not Repeat.REFERENCED:
        return listener.repeat is Repeat.REPEATABLE or not ran(sess)
    return all(
        now < dial.sent + listener.window
        and (scope == "all" or getattr(server, scope) == getattr(dial.server, scope))
        for dial in ran(sess)
    )


def may_refuse(sess):
    listener = sess.listener
    return (
        listener.repeat is Repeat.REPEATABLE
        or not ran(sess)
        or listener.repeat is Repeat.REFERENCED
        and listener.scope == "all"
    )


class Balancer:
    """One proxy's decisions: wires the parts and hands them what happens."""

    TICK = 1000.0
    CONNECTION_LIFE = 10_000.0
    EARLY = 5000.0
    MOVE_FROM = 0.9
    SILENCE = 1500.0
    QUIET = 500.0

    def __init__(
        self,
        actions,
        rng,
        *,
        zone,
        proxies,
        report_names,
        may_probe,
        must_ask,
        ask_every,
        drain_grace,
        sized,
        start_share,
        cold_for,
        cold_multiple,
        cold_window,
        most_dials,
        longest_wait,
        crossing_price,
        move_price,
        passes_through,
        budget=None,
        gone_binds=True,
        nines=0.0,
        tells_late=False,
        number=None,
        slots=4096,
    ):
        self.actions, self.passes_through = actions, passes_through
        self.uniform = rng.uniform
        self.table = SlotTable(
            rng.choice,
            size=slots,
            least=4,
            moved_share=0.2,
            hard_time_out=10_000.0,
            keys_kept=4096,
            keys_age=60_000.0,
            zone=zone,
            near=self.nearness(crossing_price, move_price),
            reach=32,
        )
        self.levels = LoadLevels(
            report_names,
            proxies,
            fresh=5 * self.TICK,
            together=self.TICK,
            floor=5.0,
            late=0.5 * self.TICK,
            full=0.8 - 0.3 * nines,
            late_for=1.5 * self.TICK,
            tells_late=tells_late,
        )
        self.longest_spread = min(ask_every / 2, LIST_LONGEST)
        self.roster = Roster(
            actions,
            must_ask,
            min(self.longest_spread, proxies * LIST_CALL),
            drain_grace,
            sized,
            rng.uniform,
            gone_binds,
        )
        self.health = Health(
            pause=250.0,
            stood=0.4 * self.EARLY,
            memory=self.CONNECTION_LIFE,
            shared_memory=5000.0,
        )
        self.ways = Ways(fresh=5 * self.TICK)
        self.cold = ColdBudget(
            self.levels,
            start_share,
            cold_for,
            cold_multiple,
            cold_window,
            rng.uniform(0.0, proxies) if number is None else number,
            proxies,
        )
        self.budget = DialBudget(*(budget or (0.0, 0.0, 0.0)))
        admission = Admission(
            actions,
            rng.uniform,
            self.health,
            longest_wait,
            most_set_ups=256,
            least_set_ups=1 / 32,
            pause=250.0,
            cut_wait=500.0,
            hold=self.EARLY,
        )
        self.probes = Probes(
            actions,
            may_probe,
            a_session=3.0,
            every=0.9 * self.TICK,
            near_full=self.levels.full / 2,
        )
        self.placement = Placement(
            actions,
            self.table,
            self.levels,
            self.roster,
            self.health,
            self.ways,
            self.cold,
            self.budget,
            self.probes,
            most_dials,
            most_asked=4,
            recent=0.4 * self.TICK,
        )
        self.dialling = Dialling(
            actions,
            self.table,
            self.levels,
            self.health,
            self.cold,
            self.budget,
            alive=self.TICK,
        )
        self.next_probes = deque()
        self.first = admission
        for earlier, later in (
            (admission, self.placement),
            (self.placement, self.dialling),
        ):
            earlier.next, later.before = later, earlier

    @staticmethod
    def nearness(crossing_price, move_price):
        """How much more an own-zone server weighs. Tables that differ by zone cost resets when a
        connection's packets come to another zone, so it must pay well against moving clients."""
        return (
            min(8.0, max(1.0, crossing_price / (2 * move_price))) if move_price else 1.0
        )

    def on_start(self, now):
        self.roster.begin(now)
        self.cold.since = now
        # Proxies that start together would otherwise probe every server in the same instant.
        self.actions.alarm("tick", now + self.uniform(0.1, 1.0) * self.TICK)

    def on_list(self, now, kind, entries):
        joined, left = self.roster.update(now, kind, entries)
        self.table.update(now, joined, dict.fromkeys(left), self.roster.servers)
        for server in joined:
            # In unlike order at each proxy, or all would probe the same servers first.
            server.asked = now - self.uniform(1.0, 2.0) * self.CONNECTION_LIFE
        for what, servers in (("joined", joined), ("left", left)):
            if servers:
                self.actions.log(
                    f"list: {len(servers)} {what}, {len(self.roster.servers)} ready"
                )

    def on_hand(self, now, name, out, server):
        """A server is left out by hand, or put back, also if it is not listed now (`server` None). It drains
        as by list, and comes back as one that has just started: it may have, before any list tells so."""
        held = self.roster.out
        if out:
            held.setdefault(name, now)
        elif name in held:
            self.roster.back[name] = held.pop(name), now
        if server is not None and (server.phase is Phase.READY) is out:
            self.on_list(
                now,
                ListKind.BY_HAND,
                [(server, server.listed, server.weight, server.started)],
            )

    def on_fleet(self, now, share):
        """This proxy's part of what all may do together, as far as it knows who is there."""
        self.levels.take_share(share)
        self.roster.spread = min(self.longest_spread, LIST_CALL / max(share, 1e-6))

    def on_witnesses(self, now, failing, here):
        """Other proxies' sight: `failing` ones fail for them all and are tried by one session at a time, like
        those that failed here; of those that fail `here` alone the way is to blame, and nothing shared."""
        for server in failing:
            if not self.health.ill(now, server):
                server.results.extend([(now, False)] * 2)
        self.health.dials = deque(
            (dial for dial in self.health.dials if dial[1] not in here),
            maxlen=self.health.dials.maxlen,
        )

    def on_session(self, now, sess):
        # Clients that come again pay for nothing: in trouble each comes many times. Packets of open
        # connections pay: a proxy that takes over from another knows little of what it is handed.
        self.budget.took(now)
        if sess.mid_flow or not (sess.repeat or sess.returning):
            self.probes.session(self.roster.servers)
        self.first.enter(now, sess)

    def on_open_session(self, now, sess, server):
        sess.slot = self.table.slot(sess)
        sess.server = server
        sess.dials.append(Dial(server, now))
        self.dialling.accepted(now, sess)

    def on_carried(self, now, sess, server):
        """A session that another process of this proxy set up."""
        sess.slot = self.table.slot(sess)
        sess.server = server
        sess.dials.append(Dial(server, sess.accepted))
        server.sessions[sess] = None
        self.table.accepted(now, sess)

    def on_accepted(self, now, sess):
        self.dialling.accepted(now, sess)

    def on_outcome(self, now, sess, outcome, closed):
        self.forget(sess)
        if outcome is Outcome.RESET and sess.accepted is not None:
            self.health.broke(now, sess.server, sess.accepted)
            if now - sess.accepted < self.EARLY:
                self.first.failed(now)
        if closed or sess.ended:
            self.on_hang_up(now, sess)
        else:
            if outcome is Outcome.CONNECT_FAILED:
                self.second_witness(now, sess.server)
            self.dialling.back(now, sess, outcome)

    def on_hang_up(self, now, sess):
        sess.ended = True
        self.first.under_way.pop(sess, None)
        self.forget(sess)

    def forget(self, sess):
        if sess.server is not None and sess in sess.server.sessions:
            del sess.server.sessions[sess]
            self.table.ended(sess)

    def on_notice(self, now, sess, load=None, message_ms=None):
        if load is not None:
            sess.load = load
        if (
            message_ms is not None
            and message_ms > sess.listener.message_target
            and sess.server
        ):
            # Where the way alone takes so long the server is not to blame.
            far = self.ways.slow(now, sess.server, sess.listener.message_target)
            self.levels.told_late(
                now,
                sess.server,
                0.0 if far else message_ms / sess.listener.message_target,
            )

    def on_probed(self, now, server, outcome, report):
        sent, server.probed = server.probed, None
        if outcome is Outcome.COMPLETED:
            if sent is not None:
                self.ways.took(now, server, now - sent)
            server.silent = 0
            self.levels.sample(now, server, report)
        elif outcome is not Outcome.FULL:
            # One that has too many probes to answer is not a silent one.
            server.silent += 1
            self.second_witness(now, server)
        self.placement.answered(
            now, server, outcome in (Outcome.COMPLETED, Outcome.FULL)
        )

    def second_witness(self, now, server):
        if server.doubted:
            left = {}
            self.roster.lose(now, server, Phase.GONE, left)
            self.roster.keep_ready()
            self.table.update(now, [], left, self.roster.servers)
            self.actions.log("list: 1 left, it gives no answer either")

    def on_report(self, now, server, report):
        self.levels.sample(now, server, report)

    def on_unanswered(self, now, sess, waited):
        """A line got nothing back: its server or the way there is gone without a word. Where two wait and
        nothing at all came from there meanwhile, the others need not find out one by one."""
        server = sess.server
        if waited >= self.SILENCE:
            self.actions.move(sess)
        elif now - server.heard >= self.QUIET and server.unheard not in (None, sess):
            server.silent = 2 if self.probes.allowed else 0
            self.actions.log(
                f"move: {len(server.sessions)} connections off a server that says nothing"
            )
            self.send_away(list(server.sessions), 1)
        server.unheard = sess

    def on_heard(self, now, server):
        server.heard, server.unheard = now, None

    def on_stop(self, now, last):
        """Asked again and again until the end, so that those accepted meanwhile are sent away as well. Where
        packets pass through, connections go on without this proxy."""
        if not self.passes_through:
            self.send_away(
                [sess for held in self.table.sessions for sess in held],
                1 if last else 4,
            )

    def send_away(self, sessions, parts):
        """Clients are told to move before their server leaves, or this proxy. A part at a time: all of them
        are set up anew, and at once they would swamp what set-ups depend on."""
        for sess in sessions[: math.ceil(len(sessions) / parts)]:
            self.actions.move(sess)

    def on_alarm(self, now, name):
        if name == "follow":
            self.roster.ask(now)
        elif name == "tick":
            self.actions.alarm("tick", now + self.TICK)
            self.tick(now)
        elif name.startswith("wait "):
            self.placement.out_of_patience(now, int(name[5:]))
        elif name == "probe" and self.next_probes:
            server = self.next_probes.popleft()
            if server.phase is Phase.READY:
                self.probes.send(now, server)

    def tick(self, now):
        self.table.close(now)
        self.levels.believe(now, self.roster.servers)
        warm = [
            server for server in self.roster.servers if not self.cold.cold(now, server)
        ]
        self.levels.learn(now, warm)
        levels = self.levels.levels(now, self.roster.servers)
        shifted = self.table.halve(
            now,
            levels,
            self.CONNECTION_LIFE,
            lambda server: (
                not self.health.ill(now, server) and not self.cold.cold(now, server)
            ),
        )
        if shifted:
            self.actions.log(
                f"shift: {shifted[1]} slots off a server on level {levels[shifted[0]]}"
            )
        self.relieve(now)
        self.table.serving = {
            server: None for server in self.table.serving if server.sessions
        }
        for server in [
            server for server in self.table.serving if server.phase is Phase.DRAINING
        ]:
            # In three ticks: servers were seen to end 3.2 s after this proxy was told.
            self.send_away(
                list(server.sessions), max(1, 3 - int((now - server.told) / self.TICK))
            )
        due = self.probes.due(
            now, self.roster.servers, self.levels.figures(now, self.roster.servers)
        )
        self.next_probes = deque(due)
        for place in range(len(due)):
            self.actions.alarm("probe", now + self.TICK * (place + 0.5) / len(due))

    def relieve(self, now):
        """Exception: polite moves off an overdriven server. Shifted slots only help sessions to come, and
        connections outlive the trouble. They act from the load at which messages miss while other servers
        have room, and from full capacity in any case: past it nobody there is served, and those
        who must wait outside cost less. Whole slots go, so that a group is not spread; half the excess
        at a time, since reports lag behind the moves, but all of it past full capacity."""
        full = self.levels.full
        loads = {
            server: load
            for server, load in self.levels.figures(now, self.roster.servers).items()
            if self.levels.of_capacity and not self.health.silent(server)
        }
        room = sum(full - load for load in loads.values()) > 0
        late = [
            server
            for server in self.roster.servers
            if self.levels.late_now(now, server)
        ]
        for server in dict.fromkeys(chain(loads, late)):
            load = loads.get(server, 1.0)
            if load < (self.MOVE_FROM if room else 1.0) or now < server.move_after:
                continue
            excess = 1 - (0.75 if room else 1.0) * full / load
            # By chance in proportion: rounded up by hundreds of proxies that hold one each, all would go.
            share = excess if load >= 1.0 else excess / 2
            count = int(len(server.sessions) * share + self.uniform(0.0, 1.0))
            for sess in sorted(
                server.sessions,
                key=lambda sess: (
                    self.table.home[sess.slot] is server,
                    -self.table.lowest[sess.slot],
                ),
            )[:count]:
                self.actions.move(sess)
            if count:
                server.move_after = now + 2 * self.TICK
                self.actions.log(
                    f"move: {count} connections off a server at {load:.1f} of its capacity"
                )
