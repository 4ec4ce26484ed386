"""Who is there: SWIM with suspicion and Lifeguard's local health, without I/O.

After "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta,
Motivala, 2002) and "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips,
Currey, 2018).

Beside the papers: a probe without an answer is a private doubt first. It is told to others only when the member
can't be reached by a connection either and has said nothing meanwhile, so that neither lost datagrams nor a process
that stands still look like a death; one whose machine refuses the connection is known to be dead.

Fed with (now in ms, who sent it, the words of a message), it calls `actions`: `send(address, words)`,
`knock(name, birth, address, ms, why)`, `alarm(at, what)`, `changed(member, old state)` and `log(text)`. The answer to a
knock comes by `on_knock`. Words are lists of numbers and text, ready for msgpack. What an instance says of members
rides on its probes; nothing is broadcast.
"""

import hashlib
import math
from collections import deque

ALIVE, SUSPECT, DEAD, LEFT = "alive", "suspect", "dead", "left"
RANK = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
PING, ACK, ASK, NACK, JOIN, STATE, CLASH = (
    "ping",
    "ack",
    "ask",
    "nack",
    "join",
    "state",
    "clash",
)
COMPARE, WANT = "compare", "want"


class Member:
    """`birth` tells one process from another under the same name; `incarnation` orders what is said of
    one."""

    __slots__ = (
        "name",
        "address",
        "incarnation",
        "birth",
        "state",
        "since",
        "accusers",
        "deadline",
        "heard",
        "doubted",
        "buried",
        "told",
        "certain",
        "claimed",
        "renewed",
    )

    def __init__(self, name, address, incarnation, birth, state, since):
        self.name, self.address, self.incarnation, self.birth = (
            name,
            address,
            incarnation,
            birth,
        )
        self.state, self.since = state, since
        self.accusers = ()  # names of those who suspect it, each by itself
        self.deadline = None  # while suspect: when it counts as dead
        self.heard = since  # when it last said something itself
        self.doubted = None  # since when it doesn't answer this instance, which knocks
        self.buried = None  # since when it is knocked at for the last time
        self.told = (
            -1
        )  # incarnation of which others say that it is dead, while that is looked into
        self.certain = False  # its death was seen: its machine refuses connections
        self.claimed = None  # birth of the last that claimed its name
        self.renewed = None  # when its suspicion last began anew

    def words(self):
        return [self.state, self.name, self.address, self.incarnation, self.birth]

    def digest(self):
        return int.from_bytes(
            hashlib.blake2b(repr(self.words()).encode(), digest_size=6).digest(), "big"
        )


class Rumours:
    """What is to be passed on, the least often told first; each about log n times, then no more."""

    def __init__(self, times):
        self.times = times
        self.told = {}  # member -> [how often, who says so]

    def add(self, member, by):
        self.told[member] = [0, by]

    def take(self, most, members, first=None):
        """Up to `most` updates as words; `first` goes in whatever was told of it."""
        # First those that are gone: at a start of hundreds the newcomers would keep them waiting.
        chosen = sorted(
            self.told, key=lambda member: (RANK[member.state] < 2, self.told[member][0])
        )[:most]
        if first is not None and first not in chosen:
            chosen = [first, *chosen[: most - 1]]
        limit = math.ceil(self.times * math.log10(members + 1))
        words = []
        for member in chosen:
            entry = self.told.get(member)
            words.append([*member.words(), entry[1] if entry else ""])
            if entry:
                entry[0] += 1
                if entry[0] >= limit:
                    del self.told[member]
        return words


class Membership:
    """One instance's view. `period`: ms between probes; `patience`: ms for an answer; both stretch with the
    local health. `helpers`: whom it asks to probe for it. `kept`: ms that those
    who are surely gone are remembered. `differences`: whole states are compared by digest first, and only what
    differs is sent; all of a cluster do so or none."""

    MOST_UPDATES = 8
    MOST_HEALTH = 8  # Lifeguard's S: 9 times the usual patience at the most
    STATE_CHUNK = 24  # entries a message
    SUSPICION, SLOWEST, CONFIRMATIONS = 3.0, 6.0, 3
    # Periods for one of several connections to come up (`links.Knocks`), without losses and with many.
    DOUBT, BURIAL = (1.3, 2.0), (3.5, 3.5)
    RUMOUR = 0.5, 1.2  # the same, where others have buried it already
    CHECKS = 4  # of those that hear of a suspicion, so many look for themselves
    HELD, CONTESTS = (
        10.0,
        3,
    )  # periods after which a name is one's own; how often it is then defended against another
    PROOFS = 8  # of those that can't be reached, asked for again with each exchange
    BUCKETS = 16  # of a state that is compared
    MOST_REMOVED = MOST_DOUBTFUL = 1024
    RECENT = (
        5.0,
        20.0,
    )  # periods that own sight of a member beats a rumour of its death: among few, among many

    def __init__(
        self,
        actions,
        rng,
        name,
        address,
        birth,
        *,
        period,
        patience,
        helpers,
        kept,
        sync_every,
        differences=False,
    ):
        self.actions, self.differences = actions, differences
        self.shuffle, self.sample = rng.shuffle, rng.sample
        self.uniform, self.choice, self.random = rng.uniform, rng.choice, rng.random
        self.period, self.patience, self.helpers, self.kept = (
            period,
            patience,
            helpers,
            kept,
        )
        self.sync_every = sync_every
        # Often while it teaches: where hundreds start at once each has met few, and rumours of all are long on their
        # way.
        self.sync_wait = min(period, sync_every)
        self.news = False  # a whole state has told of some that were not known
        self.me = Member(name, address, 0, birth, ALIVE, 0.0)
        self.members = {name: self.me}
        self.rumours = Rumours(times=8.0)
        self.health = 0  # 0: well; each missed answer makes this instance more careful
        self.round = []  # whom to probe next
        self.number = 0
        self.probe = None  # [number, member, acknowledged, nacks awaited, late]
        self.asks = {}  # number of a last question for one -> that member
        self.asked = {}  # number of a probe made for another -> (address to answer, its number)
        self.seeds = []
        self.joined = False
        self.asking = False  # whether the alarm for the next try is set
        self.alone = False  # another holds its name: it probes nobody, and says nothing of itself but its claim
        self.off = False  # an operator took it off
        self.held = 0.0  # since when it holds its name
        self.contests = {}  # birth of another that claims it -> how often this one has gone past it
        self.stopped = False
        self.due = None  # when the next probe's alarm rings
        self.late = deque(
            maxlen=16
        )  # of the last probes: who answered late or not, else None
        self.unanswered = 0  # probes in a row that nobody answered
        self.woke = (
            None  # since when it has been stopped itself and not been answered yet
        )
        self.proofs = []  # names of those that can't be reached, whom to ask for again next
        self.removed = {}  # (name, birth) of processes that are gone for good

    # Start and end

    def start(self, now, seeds):
        self.seeds = [seed for seed in seeds if seed != self.me.address]
        self.me.since = self.held = now
        self.rumours.add(self.me, self.me.name)
        self.join(now)
        # Not in step with those that start together.
        self.set_probe(now + self.uniform(0.0, self.period))
        self.actions.alarm(now + self.uniform(0.5, 1.5) * self.sync_wait, "sync")

    def join(self, now):
        for seed in self.seeds if not self.off else ():
            self.actions.send(seed, [JOIN, self.me.words()])
        if self.seeds and not self.joined and not self.asking:
            self.asking = True
            self.actions.alarm(now + self.period, "join")

    def leave(self, now):
        """Said to a few, who pass it on; nothing is answered after."""
        self.me.state = LEFT
        self.me.incarnation += 1
        others = [member for member in self.alive() if member is not self.me]
        for member in self.sample(others, min(len(others), 2 * self.helpers)):
            self.actions.send(
                member.address,
                [PING, 0, self.me.name, [[*self.me.words(), self.me.name]]],
            )
        self.stopped = True

    def remove(self, now, name):
        """By an operator: whoever is there no longer counts as one that has left, and no rumour brings that
        process back. Returns whether the name is known."""
        member = self.members.get(name)
        if member is None or member is self.me:
            return False
        member.incarnation += 1
        self.set_gone(now, member, LEFT, self.me.name)
        return True

    def forbid(self, member):
        self.removed[member.name, member.birth] = None
        while len(self.removed) > self.MOST_REMOVED:
            del self.removed[next(iter(self.removed))]

    def digest(self):
        """Of the processes that count as there: equal where views agree."""
        there = ";".join(f"{member.name} {member.birth}" for member in self.alive())
        return hashlib.blake2b(there.encode(), digest_size=6).hexdigest()

    def alive(self):
        """Members that count as there, suspects among them, in order of name."""
        return [
            self.members[name]
            for name in sorted(self.members)
            if self.members[name].state in (ALIVE, SUSPECT)
        ]

    # Alarms

    def on_alarm(self, now, what):
        if self.stopped:
            return
        if what == "probe":
            if now - self.due > self.patience:
                self.wake(now, now - self.due)
            self.end_probe(now)
            # One that is starved answers late itself: it probes more seldom, and waits longer.
            self.set_probe(now + self.period * (1 + self.health))
            self.begin_probe(now)
        elif what == "late":
            self.ask_others(now)
        elif what[0] == "nack":
            self.say_here(what[1])
        elif what == "suspects":
            self.end_suspicions(now)
        elif what[0] == "prove":
            self.prove(now, *what[1:])
        elif what == "join":
            self.asking = False
            if not self.joined:
                self.join(now)
        elif what == "sync":
            self.sync_wait = (
                max(self.period, self.sync_wait / 2)
                if self.news
                else min(self.sync_every, 2 * self.sync_wait)
            )
            self.news = False
            self.actions.alarm(now + self.sync_wait * self.uniform(0.75, 1.25), "sync")
            self.sync(now)

    def set_probe(self, when):
        self.due = when
        self.actions.alarm(when, "probe")

    def wake(self, now, gap):
        """It was stopped or starved itself: what it has not heard meanwhile says nothing of others. Until it is
        answered again it accuses and buries nobody."""
        self.actions.log(f"peers: this process stood still for {gap:.0f} ms")
        self.woke, self.probe = now, None
        self.health = min(self.MOST_HEALTH, self.health + 1)
        for name in sorted(self.members):
            member = self.members[name]
            member.doubted = member.buried = None
            if member.state == SUSPECT:
                self.renew(now, member)

    def begin_probe(self, now):
        if self.alone:
            return
        for name in sorted(self.members):
            suspect = self.members[name]
            if (
                suspect.doubted is not None
                and suspect.state in (ALIVE, SUSPECT)
                or suspect.state == SUSPECT
                and self.me.name in suspect.accusers
            ):
                # Whom this instance doubts or accuses it also tells, again and again: one lost message is no
                # death. The number asks for an answer, whichever probe is under way.
                self.number += 1
                self.send_probe(suspect, self.number)
        member = self.next_target()
        if member is None:
            self.probe = None
            return
        self.number += 1
        self.probe = [self.number, member, False, 0, False]
        self.send_probe(member, self.number)
        self.actions.alarm(now + self.patience * (1 + self.health), "late")

    def next_target(self):
        """Each in turn, in an order drawn anew each round: found dead within two rounds, and by chance
        sooner."""
        while True:
            if not self.round:
                self.round = [
                    member for member in self.alive() if member is not self.me
                ]
                self.shuffle(self.round)
                if not self.round:
                    return None
            member = self.round.pop()
            if (
                member.state in (ALIVE, SUSPECT)
                and self.members.get(member.name) is member
            ):
                return member

    def enter_round(self, member):
        """Anywhere in it: else those met first would be probed first, and then not for a whole round."""
        self.round.insert(int(self.random() * (len(self.round) + 1)), member)

    def send_probe(self, member, number):
        # A suspect hears of it first of all, so that it can deny it.
        first = member if member.state == SUSPECT else None
        self.actions.send(
            member.address, [PING, number, self.me.name, self.gossip(first)]
        )

    def gossip(self, first=None):
        return self.rumours.take(self.MOST_UPDATES, len(self.members), first)

    def ask_others(self, now):
        if self.probe is None or self.probe[2]:
            return
        number, target = self.probe[:2]
        self.probe[4] = True
        self.send_probe(target, number)  # the first may have been lost
        self.probe[3] = self.ask_for(target, number, self.helpers)

    def end_probe(self, now):
        if self.probe is None:
            return
        _, target, answered, missing, late = self.probe
        self.probe = None
        self.late.append(target.name if late or not answered else None)
        if answered:
            # One that was cut off has grown careful by those that it could not reach: it is well again soon.
            self.health = max(0, self.health - 1) if late else self.health // 2
            return
        self.unanswered += 1
        # Helpers that say nothing at all point at this instance, not at the target.
        self.health = min(self.MOST_HEALTH, self.health + 1 + missing)
        if (
            target.state in (ALIVE, SUSPECT)
            and target.doubted is None
            and self.woke is None
        ):
            target.doubted = now
            self.knock(target, "doubt", self.DOUBT)

    @property
    def lossy(self):
        """Probes of several go unanswered at first: datagrams are lost, so that silence says less."""
        late = [name for name in self.late if name is not None]
        return len(dict.fromkeys(late)) >= 2 and 8 * len(late) > len(self.late)

    def knock(self, member, why, periods):
        wait = periods[self.lossy] * self.period
        self.actions.knock(member.name, member.birth, member.address, wait, why)

    def knock_last(self, now, member):
        """Before a burial: by a connection, and through others."""
        if member.buried is None:
            member.buried = now
            self.knock(member, "burial", self.BURIAL)
            self.number += 1
            self.asks[self.number] = member
            while len(self.asks) > 1024:
                del self.asks[next(iter(self.asks))]
            self.ask_for(member, self.number, 2 * self.helpers)

    def ask_for(self, target, number, count):
        """Of so many others at random to probe it too; returns how many there are."""
        others = [member for member in self.alive() if member not in (self.me, target)]
        chosen = self.sample(others, min(len(others), count))
        for member in chosen:
            self.actions.send(
                member.address,
                [ASK, number, self.me.name, target.name, target.address, self.gossip()],
            )
        return len(chosen)

    def on_knock(self, now, name, birth, how, why):
        """Whether a process listens where the member is: "up", "refused" or "nothing"."""
        member = self.members.get(name)
        if (
            self.stopped
            or member is None
            or member.birth != birth
            or member.state == LEFT
        ):
            return
        since = member.buried if why == "burial" else member.doubted
        if why == "burial":
            member.buried = None
        elif why in ("doubt", "rumour"):
            member.doubted = None
        if how == "refused":
            if not member.certain:
                member.certain = True
                self.forbid(member)
                if member.state == DEAD:
                    self.actions.changed(member, DEAD)
                else:
                    self.set_gone(now, member, DEAD, self.me.name)
        elif member.state == DEAD:
            if how == "up":
                # It was cut off, or stood still, and is there: it hears what is said of it, and denies.
                self.meet(member)
        elif how == "up":
            # It stands still, or its datagrams are lost: a death is neither.
            if member.state == SUSPECT:
                self.renew(now, member)
        elif (
            self.woke is not None
            or since is None
            or member.heard > since
            or why == "claim"
        ):
            if member.state == SUSPECT:
                self.set_deadline(now, member)
        elif member.told >= member.incarnation:
            self.set_gone(now, member, DEAD, self.me.name)
        elif member.state == ALIVE:
            self.accuse(now, member, member.incarnation, self.me.name)
            self.knock_last(now, member)
            others = [other for other in self.alive() if other not in (self.me, member)]
            for other in self.sample(others, min(len(others), self.CHECKS)):
                self.actions.send(
                    other.address, [PING, 0, self.me.name, self.gossip(member)]
                )
        elif why != "burial":
            self.confirm(now, member, self.me.name)
            self.knock_last(now, member)
        elif now >= member.deadline:
            self.set_gone(now, member, DEAD, self.me.name)
        else:
            self.set_deadline(now, member)

    def prove(self, now, name, birth):
        """Others say that it is dead: whether its machine says so as well."""
        member = self.members.get(name)
        if (
            member is not None
            and member.birth == birth
            and member.state == DEAD
            and not member.certain
        ):
            self.knock(member, "proof", self.DOUBT)

    # Messages

    def on_message(self, now, address, words):
        """`address` is where it came from. Words that are not of the protocol raise ValueError."""
        if self.stopped:
            return
        kind, *rest = words
        if kind == PING:
            number, sender, updates = rest
            self.hear_from(now, sender, address)
            self.hear(now, updates)
            if number:
                # Who is held for gone here, and speaks, is told so, and denies it.
                member = self.members.get(sender)
                accused = (
                    member is not None
                    and member.state in (SUSPECT, DEAD)
                    and member.address == address
                )
                self.actions.send(
                    address,
                    [
                        ACK,
                        number,
                        self.me.name,
                        self.gossip(member if accused else None),
                    ],
                )
        elif kind == ACK:
            number, sender, updates = rest
            self.woke, self.unanswered = None, 0
            self.hear_from(now, sender, address)
            self.hear(now, updates)
            self.acknowledged(now, number)
        elif kind == ASK:
            number, sender, name, target, updates = rest
            self.hear_from(now, sender, address)
            self.hear(now, updates)
            self.number += 1
            self.asked[self.number] = address, number
            while len(self.asked) > 4096:
                del self.asked[next(iter(self.asked))]
            member = self.members.get(name)
            first = member if member is not None and member.state == SUSPECT else None
            self.actions.send(
                target, [PING, self.number, self.me.name, self.gossip(first)]
            )
            self.actions.alarm(now + self.patience * 0.8, ("nack", self.number))
        elif kind == NACK:
            if self.probe is not None and self.probe[0] == rest[0]:
                self.probe[3] = max(0, self.probe[3] - 1)
        elif kind == JOIN:
            self.on_join(now, address, rest[0])
        elif kind == STATE:
            self.joined = True
            before = len(self.members)
            self.hear(now, rest[0])
            self.news = self.news or len(self.members) > before
        elif kind == CLASH:
            self.on_clash(now, rest[0])
        elif kind == COMPARE:
            self.compare(address, rest[0])
        elif kind == WANT:
            self.send_state(address, rest[0])
        else:
            raise ValueError(f"{kind!r} is no kind of message")

    def contact(self, now, name, birth, address):
        """A process has spoken here itself, and not in the past. At the address of another one of its name it is
        that one's successor, whether or not that death was noticed."""
        known = self.members.get(name)
        if (
            known is None
            or known is self.me
            or known.birth == birth
            or known.address != address
            or (name, birth) in self.removed
        ):
            return
        if self.differences:
            # Who hasn't met it holds to the one before until this one is ahead; no whole state tells it of that one.
            self.actions.send(address, [STATE, [[*known.words(), self.me.name]]])
        self.forbid(known)
        self.set_alive(now, known, address, known.incarnation, birth, self.me.name)

    def hear_from(self, now, sender, address):
        member = self.members.get(sender)
        if member is not None and address == member.address:
            member.heard, member.doubted = now, None

    def say_here(self, number):
        """The target has not answered this helper, which says at least that it is there itself."""
        if number in self.asked:
            address, theirs = self.asked[number]
            self.actions.send(address, [NACK, theirs])

    def acknowledged(self, now, number):
        if self.probe is not None and self.probe[0] == number:
            self.probe[2] = True
        elif number in self.asks:
            # Through another, or late: it is there.
            member = self.asks.pop(number)
            member.heard, member.doubted = now, None
        elif number in self.asked:
            address, theirs = self.asked.pop(number)
            self.actions.send(address, [ACK, theirs, self.me.name, self.gossip()])

    def on_join(self, now, address, words):
        state, name, their_address, incarnation, birth = words
        known = self.members.get(name)
        if (
            known is not None
            and known.birth != birth
            and known.address != their_address
            and self.holds_name(known)
        ):
            # Two claim one name: who holds it keeps it while it is there.
            if known.claimed != birth:
                known.claimed = birth
                self.actions.log(
                    f"peers: {their_address} claims the name {name}, which {known.address} holds"
                )
            self.actions.send(their_address, [CLASH, [*known.words()]])
            if known is not self.me:
                # It may have died a moment ago, and its successor be at another address.
                self.knock(known, "claim", self.DOUBT)
            return
        self.send_state(their_address)
        self.hear(now, [[*words, name]])
        # Last of all, that it is taken in: it may have been told otherwise.
        taken = self.members.get(name)
        if taken is not None and taken.birth == birth:
            self.actions.send(their_address, [STATE, [[*taken.words(), self.me.name]]])

    def holds_name(self, known):
        return known is self.me or known.state == ALIVE

    def on_clash(self, now, words):
        _, name, address, incarnation, birth = words
        if name == self.me.name and birth != self.me.birth:
            self.contest(now, address, incarnation, birth)

    def contest(self, now, address, incarnation, birth):
        """Another process goes by its name, elsewhere. All others hold to the higher incarnation, and of equal ones to
        the lower birth. One that has held the name for a while goes past the other, a few times; where both do,
        after a cut, the lower birth stays."""
        if (incarnation, -birth) < (self.me.incarnation, -self.me.birth) or self.off:
            return
        gone_past = self.contests.get(birth, 0)
        held = not self.alone and now - self.held >= self.HELD * self.period
        if held and (gone_past < self.CONTESTS or self.me.birth < birth):
            self.contests[birth] = gone_past + 1
            self.go_past(incarnation)
        elif not self.alone:
            # It asks again: who holds the name may be gone by then.
            self.alone = True
            self.rumours.told.pop(self.me, None)
            self.actions.log(
                f"peers: the name {self.me.name} is held by {address}; this instance stays alone"
            )

    def hold(self, now):
        """Its name is its own."""
        if self.alone and not self.off:
            self.alone, self.held = False, now
            self.actions.log(f"peers: the name {self.me.name} is this instance's")

    def go_past(self, incarnation):
        if incarnation >= self.me.incarnation:
            self.me.incarnation = incarnation + 1
            self.rumours.add(self.me, self.me.name)

    def send_state(self, address, buckets=None):
        """Of all members, or of those in `buckets`."""
        everyone = [
            [*member.words(), self.me.name]
            for name, member in sorted(self.members.items())
            if buckets is None or self.bucket(name) in buckets
        ]
        for place in range(0, len(everyone), self.STATE_CHUNK):
            self.actions.send(
                address, [STATE, everyone[place : place + self.STATE_CHUNK]]
            )

    def sync(self, now):
        """Whole states are exchanged now and then with one at random, the dead included: two halves that have
        taken each other for dead meet again so. Who has been forgotten is not a member."""
        for name in [
            name
            for name, member in self.members.items()
            if (member.state == LEFT or member.certain)
            and now - member.since > self.kept
        ]:
            del self.members[name]
        # Whose death nobody saw may only be cut off: kept until it is certain or an operator takes it off.
        doubtful = [
            name
            for name, member in self.members.items()
            if member.state == DEAD and not member.certain
        ]
        for name in doubtful[: -self.MOST_DOUBTFUL]:
            del self.members[name]
        # Some in turn are asked for again; a connection that comes up ends a cut sooner than chance does.
        self.proofs = [name for name in self.proofs if name in doubtful] or doubtful
        asked, self.proofs = self.proofs[: self.PROOFS], self.proofs[self.PROOFS :]
        for name in asked:
            self.prove(now, name, self.members[name].birth)
        others = [
            self.members[name]
            for name in sorted(self.members)
            if name != self.me.name and self.members[name].state != LEFT
        ]
        if self.alone:
            self.join(now)
        elif others:
            self.meet(self.choice(others))
        elif not self.joined or self.seeds:
            self.joined = False
            self.join(now)

    @classmethod
    def bucket(cls, name):
        return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % cls.BUCKETS

    def sums(self):
        """A digest of each bucket of this view, but for those who are surely gone: each forgets them in its own time."""
        found = [0] * self.BUCKETS
        for name, member in self.members.items():
            if member.state != LEFT and not member.certain:
                found[self.bucket(name)] ^= member.digest()
        return found

    def compare(self, address, theirs):
        if len(theirs) != self.BUCKETS:
            raise ValueError("not as many buckets")
        differ = [
            place
            for place, (mine, other) in enumerate(zip(self.sums(), theirs))
            if mine != other
        ]
        if differ:
            self.send_state(address, differ)
            self.actions.send(address, [WANT, differ])

    def meet(self, other):
        # Whoever is there now in place of one that is gone knows nothing yet, and goes by another birth.
        if self.differences and other.state != DEAD:
            return self.actions.send(other.address, [COMPARE, self.sums()])
        self.send_state(other.address)
        self.actions.send(other.address, [JOIN, self.me.words()])

    # What is said of members

    def hear(self, now, updates):
        for state, name, address, incarnation, birth, by in updates:
            if state not in RANK:
                raise ValueError(f"{state!r} is no state of a member")
            if (name, birth) in self.removed:
                continue
            if name == self.me.name:
                self.hear_of_me(now, state, address, incarnation, birth, by)
            else:
                self.hear_of(now, state, name, address, incarnation, birth, by)

    def hear_of_me(self, now, state, address, incarnation, birth, by):
        if birth != self.me.birth:
            if state == ALIVE and address != self.me.address:
                return self.contest(now, address, incarnation, birth)
            # Of the process that had this name before: this one goes past it.
            self.hold(now)
            self.go_past(incarnation)
        elif state == LEFT and not self.off:
            self.alone = self.off = True
            self.actions.log(
                "peers: an operator took this instance off; it comes back with its next start"
            )
        elif state == ALIVE:
            self.hold(now)
        elif (
            state in (SUSPECT, DEAD)
            and incarnation >= self.me.incarnation
            and not self.alone
        ):
            # To be accused is a sign of being slow.
            self.health = min(self.MOST_HEALTH, self.health + 1)
            self.go_past(incarnation)
            self.deny(by)

    def deny(self, by):
        """At once, to who said so and to a few more: what rides on probes may come too late."""
        others = [member for member in self.alive() if member is not self.me]
        told = self.sample(others, min(len(others), self.helpers))
        accuser = self.members.get(by)
        if accuser is not None and accuser is not self.me and accuser not in told:
            told.append(accuser)
        for member in told:
            self.actions.send(
                member.address, [PING, 0, self.me.name, self.gossip(self.me)]
            )

    def hear_of(self, now, state, name, address, incarnation, birth, by):
        known = self.members.get(name)
        if known is None:
            if state in (ALIVE, SUSPECT):
                known = self.members[name] = Member(
                    name, address, incarnation, birth, ALIVE, now
                )
                self.enter_round(known)
                self.rumours.add(known, by)
                self.actions.changed(known, None)
                if state == SUSPECT:
                    self.accuse(now, known, incarnation, by)
            elif state == DEAD:
                # Kept, so that an old rumour does not bring it back.
                self.members[name] = Member(
                    name, address, incarnation, birth, DEAD, now
                )
                self.seek_proof(now, self.members[name])
            return
        if known.birth != birth:
            # Another process under the name: it counts where it is ahead, or where the one known is gone. Births
            # have no order, but one that is surely gone or was succeeded at its address never counts again. Of two
            # that are there the lower birth counts, so that all come to the same.
            ahead = (incarnation, -birth) > (
                known.incarnation,
                -known.birth,
            ) and known.address != address
            if state == ALIVE and (
                incarnation > known.incarnation or ahead or known.state in (DEAD, LEFT)
            ):
                if known.state == ALIVE and known.address != address:
                    self.actions.log(
                        f"peers: {name} is at {address} now, and was at {known.address}"
                    )
                self.set_alive(now, known, address, incarnation, birth, by)
            return
        if state == ALIVE:
            if incarnation > known.incarnation:
                self.set_alive(now, known, address, incarnation, birth, by)
        elif state == SUSPECT:
            if known.state == SUSPECT and incarnation == known.incarnation:
                self.confirm(now, known, by)
            elif known.state == ALIVE and incarnation >= known.incarnation:
                self.accuse(now, known, incarnation, by)
                # A few see for themselves: what several found apart is likelier, and sooner certain.
                if (
                    known.doubted is None
                    and self.woke is None
                    and self.random() * (len(self.members) - 2) < self.CHECKS
                ):
                    known.doubted = now
                    self.knock(known, "doubt", self.DOUBT)
        elif known.state in (ALIVE, SUSPECT) and incarnation >= known.incarnation:
            # Each speaks here twice in a round, or so: of seven one was not heard for five periods, and taken for dead.
            recent = min(self.RECENT[1], max(self.RECENT[0], 2.0 * len(self.members)))
            if state == DEAD and now - known.heard < recent * self.period:
                return self.verify(now, known, incarnation, by)
            known.incarnation = incarnation
            self.set_gone(now, known, state, by)

    def verify(self, now, member, incarnation, by):
        """Own sight beats rumour: somebody, perhaps cut off from it, has buried one that spoke here a moment ago. It
        is told, so that it denies, and knocked at; dead is it where that fails too."""
        member.told = incarnation
        if member.doubted is None and self.woke is None:
            member.doubted = now
            self.knock(member, "rumour", self.RUMOUR)
            self.number += 1
            said = [DEAD, member.name, member.address, incarnation, member.birth, by]
            self.actions.send(member.address, [PING, self.number, self.me.name, [said]])

    def set_alive(self, now, member, address, incarnation, birth, by):
        old, changed = member.state, member.birth != birth
        member.doubted, member.buried, member.certain, member.heard, member.told = (
            None,
            None,
            False,
            now,
            -1,
        )
        member.address, member.incarnation, member.birth = address, incarnation, birth
        member.state, member.since, member.deadline = ALIVE, now, None
        self.rumours.add(member, by)
        if old != ALIVE or changed:
            if old in (DEAD, LEFT):
                self.enter_round(member)
            self.actions.changed(member, old)

    def set_gone(self, now, member, state, by):
        old = member.state
        member.state, member.since, member.deadline = state, now, None
        if state == LEFT:
            self.forbid(member)
        else:
            self.seek_proof(now, member)
        self.rumours.add(member, by)
        self.actions.changed(member, old)

    def seek_proof(self, now, member):
        if not member.certain:
            self.actions.alarm(
                now + self.uniform(0.0, self.period),
                ("prove", member.name, member.birth),
            )

    def accuse(self, now, member, incarnation, by):
        member.state, member.incarnation, member.since = SUSPECT, incarnation, now
        member.accusers, member.renewed = (by,), None
        self.set_deadline(now, member)
        self.rumours.add(member, by)
        self.actions.changed(member, ALIVE)

    def confirm(self, now, member, by):
        """Others that came to it by themselves make it likelier that it is true."""
        if (
            by
            and by not in member.accusers
            and len(member.accusers) <= self.CONFIRMATIONS
        ):
            member.accusers += (by,)
            self.set_deadline(now, member)
            self.rumours.add(member, by)

    def set_deadline(self, now, member):
        """From the slowest down to the fastest as others confirm. Alone among a few there is nobody to
        confirm: the fastest at once."""
        count = len(
            [each for each in self.members.values() if each.state in (ALIVE, SUSPECT)]
        )
        fastest = self.SUSPICION * max(1.0, math.log10(max(1, count))) * self.period
        most = min(self.CONFIRMATIONS, count - 2)
        if most < 1:
            wait = fastest
        else:
            told = min(most, len(member.accusers) - 1)
            wait = fastest * (
                self.SLOWEST
                - (self.SLOWEST - 1) * math.log(told + 1) / math.log(most + 1)
            )
        member.deadline = member.since + wait
        self.actions.alarm(max(now, self.last_call(member)), "suspects")

    def renew(self, now, member):
        """Its suspicion begins anew."""
        member.since = member.renewed = now
        self.set_deadline(now, member)

    def last_call(self, member):
        """When the last knock has to begin. Among few a suspicion is shorter than that knock takes: it would be due as
        soon as it begins anew, again and again without an end where that is because this instance may bury nobody yet,
        or because the member's machine answers each knock at once."""
        due = member.deadline - self.BURIAL[self.lossy] * self.period
        return due if member.renewed is None else max(due, member.renewed + self.period)

    def end_suspicions(self, now):
        """Nobody is buried whom a connection still reaches, nor by one that was stopped itself."""
        for name in sorted(self.members):
            member = self.members[name]
            if (
                member.state != SUSPECT
                or member.deadline is None
                or member.buried is not None
                or now < self.last_call(member)
            ):
                continue
            if self.woke is not None:
                self.renew(now, member)
            else:
                self.knock_last(now, member)
