"""Who is there: SWIM with suspicion and Lifeguard's local health, without I/O.

After "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta,
Motivala, 2002) and "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips,
Currey, 2018).

Fed with (now in ms, who sent it, the words of a message), it calls `actions`: `send(address, words)`,
`alarm(at, what)`, `changed(member, old state)` and `log(text)`. Words are lists of numbers and text, ready
for msgpack. What an instance says of members rides on its probes; nothing is broadcast.
"""

import math

ALIVE, SUSPECT, DEAD, LEFT = "alive", "suspect", "dead", "left"
RANK = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
PING, ACK, ASK, NACK, JOIN, STATE, CLASH = "ping", "ack", "ask", "nack", "join", "state", "clash"


class Member:
    """`birth` tells one process from another under the same name; `incarnation` orders what is said of
    one."""

    __slots__ = ("name", "address", "incarnation", "birth", "state", "since", "accusers", "deadline")

    def __init__(self, name, address, incarnation, birth, state, since):
        self.name, self.address, self.incarnation, self.birth = name, address, incarnation, birth
        self.state, self.since = state, since
        self.accusers = ()          # names of those who suspect it, each by itself
        self.deadline = None        # while suspect: when it counts as dead

    def words(self):
        return [self.state, self.name, self.address, self.incarnation, self.birth]


class Rumours:
    """What is to be passed on, the least often told first; each about log n times, then no more."""

    def __init__(self, times):
        self.times = times
        self.told = {}              # member -> [how often, who says so]

    def add(self, member, by):
        self.told[member] = [0, by]

    def take(self, most, members, first=None):
        """Up to `most` updates as words; `first` goes in whatever was told of it."""
        chosen = sorted(self.told, key=lambda member: self.told[member][0])[:most]
        if first is not None and first not in chosen:
            chosen = [first, *chosen[:most - 1]]
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
    local health. `helpers`: whom it asks to probe for it. `kept`: ms that the dead are remembered."""

    MOST_UPDATES = 8
    MOST_HEALTH = 8             # Lifeguard's S: 9 times the usual patience at the most
    STATE_CHUNK = 24            # entries a message, so that it stays a small datagram
    SUSPICION, SLOWEST, CONFIRMATIONS = 5.0, 6.0, 3

    def __init__(self, actions, rng, name, address, birth, *, period, patience, helpers, kept, sync_every):
        self.actions = actions
        self.shuffle, self.sample = rng.shuffle, rng.sample
        self.uniform, self.choice = rng.uniform, rng.choice
        self.period, self.patience, self.helpers, self.kept = period, patience, helpers, kept
        self.sync_every = sync_every
        self.me = Member(name, address, 0, birth, ALIVE, 0.0)
        self.members = {name: self.me}
        self.rumours = Rumours(times=6.0)
        self.health = 0             # 0: well; each missed answer makes this instance more careful
        self.round = []             # whom to probe next
        self.number = 0
        self.probe = None           # (number, member, acknowledged, nacks awaited)
        self.asked = {}             # number of a probe made for another -> (address to answer, its number)
        self.seeds = []
        self.joined = False
        self.stopped = False

    # Start and end

    def start(self, now, seeds):
        self.seeds = [seed for seed in seeds if seed != self.me.address]
        self.me.since = now
        self.rumours.add(self.me, self.me.name)
        self.join(now)
        # Not in step with those that start together.
        self.actions.alarm(now + self.uniform(0.0, self.period), "probe")
        self.actions.alarm(now + self.uniform(0.5, 1.5) * self.sync_every, "sync")

    def join(self, now):
        for seed in self.seeds:
            self.actions.send(seed, [JOIN, self.me.words()])
        if self.seeds and not self.joined:
            self.actions.alarm(now + self.period, "join")

    def leave(self, now):
        """Said to a few, who pass it on; nothing is answered after."""
        self.me.state = LEFT
        self.me.incarnation += 1
        others = [member for member in self.alive() if member is not self.me]
        for member in self.sample(others, min(len(others), 2 * self.helpers)):
            self.actions.send(member.address, [PING, 0, self.me.name, [[*self.me.words(), self.me.name]]])
        self.stopped = True

    def alive(self):
        """Members that count as there, suspects among them, in order of name."""
        return [self.members[name] for name in sorted(self.members)
                if self.members[name].state in (ALIVE, SUSPECT)]

    # Alarms

    def on_alarm(self, now, what):
        if self.stopped:
            return
        if what == "probe":
            self.end_probe(now)
            # One that is starved answers late itself: it probes more seldom, and waits longer.
            self.actions.alarm(now + self.period * (1 + self.health), "probe")
            self.begin_probe(now)
        elif what == "late":
            self.ask_others(now)
        elif what[0] == "nack":
            self.say_here(what[1])
        elif what == "suspects":
            self.end_suspicions(now)
        elif what == "join" and not self.joined:
            self.join(now)
        elif what == "sync":
            self.actions.alarm(now + self.sync_every * self.uniform(0.75, 1.25), "sync")
            self.sync(now)

    def begin_probe(self, now):
        for name in sorted(self.members):
            suspect = self.members[name]
            if suspect.state == SUSPECT and self.me.name in suspect.accusers:
                # Whom this instance accuses it also tells, again and again: one lost message is no death.
                self.send_probe(suspect, 0)
        member = self.next_target()
        if member is None:
            self.probe = None
            return
        self.number += 1
        self.probe = [self.number, member, False, 0]
        self.send_probe(member, self.number)
        self.actions.alarm(now + self.patience * (1 + self.health), "late")

    def next_target(self):
        """Each in turn, in an order drawn anew each round: found dead within two rounds, and by chance
        sooner."""
        while True:
            if not self.round:
                self.round = [member for member in self.alive() if member is not self.me]
                self.shuffle(self.round)
                if not self.round:
                    return None
            member = self.round.pop()
            if member.state in (ALIVE, SUSPECT) and self.members.get(member.name) is member:
                return member

    def send_probe(self, member, number):
        # A suspect hears of it first of all, so that it can deny it.
        first = member if member.state == SUSPECT else None
        self.actions.send(member.address, [PING, number, self.me.name, self.gossip(first)])

    def gossip(self, first=None):
        return self.rumours.take(self.MOST_UPDATES, len(self.members), first)

    def ask_others(self, now):
        if self.probe is None or self.probe[2]:
            return
        number, target = self.probe[:2]
        self.send_probe(target, number)     # the first may have been lost
        others = [member for member in self.alive() if member not in (self.me, target)]
        chosen = self.sample(others, min(len(others), self.helpers))
        self.probe[3] = len(chosen)
        for member in chosen:
            self.actions.send(member.address, [ASK, number, self.me.name, target.name, target.address,
                                               self.gossip()])

    def end_probe(self, now):
        if self.probe is None:
            return
        _, target, answered, missing = self.probe
        self.probe = None
        if answered:
            self.health = max(0, self.health - 1)
            return
        # Helpers that say nothing at all point at this instance, not at the target.
        self.health = min(self.MOST_HEALTH, self.health + 1 + missing)
        if target.state == ALIVE:
            self.accuse(now, target, target.incarnation, self.me.name)
        elif target.state == SUSPECT:
            self.confirm(now, target, self.me.name)

    # Messages

    def on_message(self, now, address, words):
        """`address` is where it came from. Words that are not of the protocol raise ValueError."""
        if self.stopped:
            return
        kind, *rest = words
        if kind == PING:
            number, sender, updates = rest
            self.hear(now, updates)
            if number:
                self.actions.send(address, [ACK, number, self.me.name, self.gossip()])
        elif kind == ACK:
            number, sender, updates = rest
            self.hear(now, updates)
            self.acknowledged(now, number)
        elif kind == ASK:
            number, sender, name, target, updates = rest
            self.hear(now, updates)
            self.number += 1
            self.asked[self.number] = address, number
            while len(self.asked) > 4096:
                del self.asked[next(iter(self.asked))]
            member = self.members.get(name)
            first = member if member is not None and member.state == SUSPECT else None
            self.actions.send(target, [PING, self.number, self.me.name, self.gossip(first)])
            self.actions.alarm(now + self.patience * 0.8, ("nack", self.number))
        elif kind == NACK:
            if self.probe is not None and self.probe[0] == rest[0]:
                self.probe[3] = max(0, self.probe[3] - 1)
        elif kind == JOIN:
            self.on_join(now, address, rest[0])
        elif kind == STATE:
            self.joined = True
            self.hear(now, rest[0])
        elif kind == CLASH:
            self.on_clash(now, rest[0])
        else:
            raise ValueError(f"{kind!r} is no kind of message")

    def say_here(self, number):
        """The target has not answered this helper, which says at least that it is there itself."""
        if number in self.asked:
            address, theirs = self.asked[number]
            self.actions.send(address, [NACK, theirs])

    def acknowledged(self, now, number):
        if self.probe is not None and self.probe[0] == number:
            self.probe[2] = True
        elif number in self.asked:
            address, theirs = self.asked.pop(number)
            self.actions.send(address, [ACK, theirs, self.me.name, self.gossip()])

    def on_join(self, now, address, words):
        state, name, their_address, incarnation, birth = words
        known = self.members.get(name)
        if known is not None and known.birth != birth and self.holds_name(known):
            # Two claim one name: who holds it keeps it while it is there.
            self.actions.log(f"peers: {their_address} claims the name {name}, which {known.address} holds")
            self.actions.send(their_address, [CLASH, [*known.words()]])
            return
        self.send_state(their_address)
        self.hear(now, [[*words, name]])

    def holds_name(self, known):
        return known is self.me or known.state == ALIVE

    def on_clash(self, now, words):
        _, name, address, _, birth = words
        if name == self.me.name and birth != self.me.birth:
            self.actions.log(f"peers: the name {name} is held by {address}; this instance stays alone")
            self.stopped = True

    def send_state(self, address):
        everyone = [[*self.members[name].words(), self.me.name] for name in sorted(self.members)]
        for place in range(0, len(everyone), self.STATE_CHUNK):
            self.actions.send(address, [STATE, everyone[place:place + self.STATE_CHUNK]])

    def sync(self, now):
        """Whole states are exchanged now and then with one at random, the dead included: two halves that have
        taken each other for dead meet again so. Who has been forgotten is not a member."""
        for name in [name for name, member in self.members.items()
                     if member.state in (DEAD, LEFT) and now - member.since > self.kept]:
            del self.members[name]
        others = [self.members[name] for name in sorted(self.members)
                  if name != self.me.name and self.members[name].state != LEFT]
        if others:
            other = self.choice(others)
            self.send_state(other.address)
            self.actions.send(other.address, [JOIN, self.me.words()])
        elif not self.joined or self.seeds:
            self.joined = False
            self.join(now)

    # What is said of members

    def hear(self, now, updates):
        for state, name, address, incarnation, birth, by in updates:
            if state not in RANK:
                raise ValueError(f"{state!r} is no state of a member")
            if name == self.me.name:
                self.hear_of_me(now, state, incarnation, birth, by)
            else:
                self.hear_of(now, state, name, address, incarnation, birth, by)

    def hear_of_me(self, now, state, incarnation, birth, by):
        if birth != self.me.birth:
            # Of the process that had this name before: this one goes past it.
            if incarnation >= self.me.incarnation:
                self.me.incarnation = incarnation + 1
                self.rumours.add(self.me, self.me.name)
        elif state in (SUSPECT, DEAD) and incarnation >= self.me.incarnation:
            # To be accused is a sign of being slow.
            self.me.incarnation = incarnation + 1
            self.health = min(self.MOST_HEALTH, self.health + 1)
            self.rumours.add(self.me, self.me.name)
            self.deny(by)

    def deny(self, by):
        """At once, to who said so and to a few more: what rides on probes may come too late."""
        others = [member for member in self.alive() if member is not self.me]
        told = self.sample(others, min(len(others), self.helpers))
        accuser = self.members.get(by)
        if accuser is not None and accuser is not self.me and accuser not in told:
            told.append(accuser)
        for member in told:
            self.actions.send(member.address, [PING, 0, self.me.name, self.gossip(self.me)])

    def hear_of(self, now, state, name, address, incarnation, birth, by):
        known = self.members.get(name)
        if known is None:
            if state in (ALIVE, SUSPECT):
                known = self.members[name] = Member(name, address, incarnation, birth, ALIVE, now)
                self.rumours.add(known, by)
                self.actions.changed(known, None)
                if state == SUSPECT:
                    self.accuse(now, known, incarnation, by)
            elif state == DEAD:
                # Kept, so that an old rumour does not bring it back.
                self.members[name] = Member(name, address, incarnation, birth, DEAD, now)
            return
        if known.birth != birth:
            # Another process under the name: it counts where it is ahead, or where the one known is gone.
            if state == ALIVE and incarnation > known.incarnation:
                if known.state == ALIVE and known.address != address:
                    self.actions.log(f"peers: {name} is at {address} now, and was at {known.address}")
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
        elif known.state in (ALIVE, SUSPECT) and incarnation >= known.incarnation:
            known.incarnation = incarnation
            self.set_gone(now, known, state, by)

    def set_alive(self, now, member, address, incarnation, birth, by):
        old, changed = member.state, member.birth != birth
        member.address, member.incarnation, member.birth = address, incarnation, birth
        member.state, member.since, member.deadline = ALIVE, now, None
        self.rumours.add(member, by)
        if old != ALIVE or changed:
            self.actions.changed(member, old)

    def set_gone(self, now, member, state, by):
        old = member.state
        member.state, member.since, member.deadline = state, now, None
        self.rumours.add(member, by)
        self.actions.changed(member, old)

    def accuse(self, now, member, incarnation, by):
        member.state, member.incarnation, member.since = SUSPECT, incarnation, now
        member.accusers = (by,)
        self.set_deadline(now, member)
        self.rumours.add(member, by)
        self.actions.changed(member, ALIVE)

    def confirm(self, now, member, by):
        """Others that came to it by themselves make it likelier that it is true."""
        if by and by not in member.accusers and len(member.accusers) <= self.CONFIRMATIONS:
            member.accusers += (by,)
            self.set_deadline(now, member)
            self.rumours.add(member, by)

    def set_deadline(self, now, member):
        """From the slowest down to the fastest as others confirm. Alone among a few there is nobody to
        confirm: the fastest at once."""
        count = len([each for each in self.members.values() if each.state in (ALIVE, SUSPECT)])
        fastest = self.SUSPICION * max(1.0, math.log10(max(1, count))) * self.period
        most = min(self.CONFIRMATIONS, count - 2)
        if most < 1:
            wait = fastest
        else:
            told = min(most, len(member.accusers) - 1)
            wait = fastest * (self.SLOWEST - (self.SLOWEST - 1) * math.log(told + 1) / math.log(most + 1))
        member.deadline = member.since + wait
        self.actions.alarm(max(now, member.deadline), "suspects")

    def end_suspicions(self, now):
        for name in sorted(self.members):
            member = self.members[name]
            if member.state == SUSPECT and member.deadline is not None and now >= member.deadline:
                self.set_gone(now, member, DEAD, self.me.name)
