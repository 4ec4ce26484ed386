"""What a proxy may count on while views differ: from the members that are known to a few plain facts with an age.

Free of I/O. A limit over all proxies is a whole of which each takes a share, and the shares must never sum past it,
whoever sees whom. So whoever may be at work counts: the suspected, those that can't be reached (they may only be
cut off), those that are meant to be there and were never heard of, and, for `aged` ms, what those who are surely
gone may still have under way. Only a death that was seen, or an operator, frees a share.

A process that has just started is counted by those that have heard of it. Until all agree on it, it and the others
that are new split the part of the whole that stands with those it reaches: of n that were there before, r on this
side hold r/n of the whole, and k newcomers with them make that r/(n + k) each for the old and (r/n)/(n + k) each for
the new, r/n in all. Both sides of any split together thus hold the whole and no more (docs/design/fleet.md).
"""

import hashlib
from collections import deque

from wheathill.peers.membership import MemberState

AGREED, DOUBT, CUT_OFF, ALONE = "agreed", "in doubt", "cut off", "never heard of peers"


class Known:
    """One process that may be at work."""

    __slots__ = ("birth", "state", "digest", "old", "bears", "layout")

    def __init__(self, birth, state):
        self.birth, self.state = birth, state
        self.digest = None  # of its own view of who may be at work, as last told
        # Whether all agreed on it once. Who is only known by hearsay is taken for one that was there before.
        self.old = True
        self.bears = None  # what a warm server bears of its connections, as it finds
        self.layout = (
            0  # the version of the layout of zones that it holds, as last told
        )


class Facts:
    """`meant`: how many proxies the file names, which is a floor; `roster`: their names, where it says so. `silence`:
    ms after the start in which an answer of others would have come; until then, or the first, it takes no share: the
    others may have taken over what the process before it left."""

    MOST_NAMES = 4096
    UNANSWERED = 3  # probes in a row that nobody answers: whoever is alive can't be reached from here

    def __init__(self, now, name, birth, meant, roster, aged, silence):
        self.speaks = (
            now + silence
        )  # from when on it counts as the only one, where nobody was heard
        self.name, self.birth, self.meant, self.roster, self.aged = (
            name,
            birth,
            meant,
            tuple(roster),
            aged,
        )
        self.there = {}  # name -> Known
        self.names = {name: None}  # all that were ever heard of
        # A process that starts may follow one that spent its share a moment ago.
        self.ended = deque([now])  # when processes were surely gone
        self.old = False  # all have agreed on this one
        self.apart = (
            False  # another holds its name, or it was taken off: nobody counts it
        )
        self.state, self.since = ALONE, now
        # A digest that all who are reached have told, as one says who has asked them: whoever has the same agrees.
        self.confirmed = None
        self.least = (
            1  # the smallest number of which a share is taken, whoever is surely gone
        )
        self.digested = None  # the digest of `there`, until that changes

    # What is told

    def member(self, now, name, birth, state, certain):
        self.digested = None
        known = self.there.get(name)
        if known is not None and known.birth != birth:
            if state not in (MemberState.ALIVE, MemberState.SUSPECT):
                return
            # The process before it is gone for good; the new one is nobody's until all agree.
            self.ended.append(now)
            known = None
        if (
            state in (MemberState.ALIVE, MemberState.SUSPECT)
            or state == MemberState.DEAD
            and not certain
        ):
            if known is None:
                known = self.there[name] = Known(birth, state)
                known.old = name not in self.names
            known.state = state
        elif known is not None:
            del self.there[name]
            self.ended.append(now)
        self.names[name] = None
        while len(self.names) > self.MOST_NAMES:
            self.names.pop(next(other for other in self.names if other != self.name))

    def told(self, name, birth, digest, old, bears, layout=0):
        """What a member says of its own view."""
        known = self.there.get(name)
        if known is not None and known.birth == birth:
            known.digest, known.old, known.bears, known.layout = (
                digest,
                old,
                bears,
                layout,
            )

    # What follows

    def digest(self):
        """Of all that may be at work: equal where the views on that agree. Each message says it, so it is kept."""
        if self.digested is None:
            here = sorted(
                [
                    (self.name, self.birth),
                    *((name, known.birth) for name, known in self.there.items()),
                ]
            )
            self.digested = hashlib.blake2b(
                repr(here).encode(), digest_size=6
            ).hexdigest()
        return self.digested

    def unseen(self):
        """How many are meant to be there and were never heard of."""
        if self.roster:
            return sum(name not in self.names for name in self.roster)
        return max(0, self.meant - len(self.names))

    def fleet(self, now):
        """The largest number of proxies that may be at work."""
        while self.ended and now - self.ended[0] >= self.aged:
            self.ended.popleft()
        return max(self.least, 1 + len(self.there) + len(self.ended) + self.unseen())

    def reached(self):
        return [
            name
            for name in sorted(self.there)
            if self.there[name].state != MemberState.DEAD
        ]

    def all_told(self):
        """Whether all that are reached have told the digest that this one has."""
        mine = self.digest()
        return all(
            known.digest == mine
            for known in self.there.values()
            if known.state != MemberState.DEAD
        )

    def look(self, now, unanswered):
        """The state of this view, worked out anew; `since` tells its age."""
        reached = self.reached()
        every = 1 + len(self.there) + (self.unseen() if self.roster else 0)
        same = self.confirmed == self.digest() or self.all_told()
        if len(self.names) == 1:
            state = ALONE
        elif (
            self.apart
            or unanswered >= self.UNANSWERED
            or 2 * (1 + len(reached)) <= every
            and every > 1
        ):
            state = CUT_OFF
        elif (
            len(reached) < len(self.there)
            or not same
            or any(self.there[name].state == MemberState.SUSPECT for name in reached)
        ):
            state = DOUBT
        else:
            state = AGREED
        if state != self.state:
            self.state, self.since = state, now
        self.old = (self.old or state == AGREED) and not self.apart
        return state

    def share(self, now):
        """This proxy's part of a limit over all, between 0 and 1. One that is new takes nothing that those who were
        there before have not yet left to it."""
        if self.apart:
            return 0.0
        whole = 1.0 / self.fleet(now)
        if self.state == ALONE:
            return whole if now >= self.speaks else 0.0
        if self.old:
            return whole
        before = [known for known in self.there.values() if known.old]
        if not before:
            return whole
        mine = self.digest()
        return (
            whole
            * sum(
                known.state != MemberState.DEAD
                and mine in (known.digest, self.confirmed)
                for known in before
            )
            / len(before)
        )

    def right(self, server, bears, unit, rounded=None):
        """Dials in a window that this proxy may send a cold server, which by all together may get `unit` for each
        connection that it bears; of those this proxy finds `bears` to be its own.

        Where that is less than one for each proxy, parts of a dial would add up by chance to more. So only as many
        as there are whole dials hold a right, of one dial a window: the first by rendezvous (highest random weight:
        Thaler and Ravishankar 1998) among all that were agreed on once, those out of reach included. Both sides of
        a split thus name the same, and a death passes on one right alone. `rounded(server, whole)`: how many hold one,
        where this is a part of a larger fleet; rounded down, but to one at least, where left out."""
        before = [name for name in sorted(self.there) if self.there[name].old]
        whole = unit * (
            bears
            + sum(
                bears if known.bears is None else known.bears
                for known in self.there.values()
            )
        )
        if (
            self.state == ALONE
            or not before
            and not self.old
            or whole >= 1 + len(before)
        ):
            return unit * bears  # none before `speaks`: what is borne goes by the share
        if not self.old or self.apart:
            return 0.0
        ranked = sorted(
            [self.name, *before],
            key=lambda name: hashlib.blake2b(
                f"{server} {name}".encode(), digest_size=8
            ).digest(),
        )
        count = max(1, int(whole)) if rounded is None else rounded(server, whole)
        return 1.0 if self.name in ranked[:count] else 0.0
