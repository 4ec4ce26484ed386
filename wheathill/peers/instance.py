"""One instance among its peers: joins links, membership and what follows from them to the proxy.

The proxy asks it one thing (whether others say that a listed server drains) and is told three: its share of what all
may do together, servers that fail for all, servers that fail for it alone. No session waits for any of it.
"""

import os
import random

from wheathill.peers.control import Control
from wheathill.peers.drains import Drains, Starts
from wheathill.peers.facts import ALONE, CUT_OFF, Facts
from wheathill.peers.frames import Seal
from wheathill.peers.links import Links
from wheathill.peers.membership import ALIVE, DEAD, LEFT, STATE, SUSPECT, Membership
from wheathill.peers.witness import BAD, WELL, Witnesses
from wheathill.model import Phase

DRAINS, STARTS, SEEN, ASK_VIEW, VIEW, NOTE = (
    "drains",
    "starts",
    "seen",
    "view?",
    "view",
    "note",
)


def bounded(bears):
    return min(1e6, max(0.0, float(bears)))


def told(share):
    return f"{share:.3f}" if share >= 0.01 else f"{share:.2g}"


class Peers:
    """`told`: a `config.peers.PeerSettings`. `birth` is a number that no other process of this name has."""

    AGED = 3000.0  # ms; after that what a process had under way has ended or come back
    FRESH = 3000.0  # evidence of servers
    TELLS = (
        8  # instances told a period of what was seen: the same however many there are
    )
    MOST_SEEN = 64  # servers a message
    NOTED = 64  # instances told at once that this view has changed; more hear it with what is said anyway
    SILENCE = 3  # periods in which others would have answered
    ANSWERS = 1000.0  # for the views of others

    def __init__(self, told, proxy, carrier, clock, log, birth, meant):
        self.told, self.proxy, self.clock, self.log_event = told, proxy, clock, log
        rng = random.Random(f"{told.name}/{birth}")
        self.shuffle, self.sample, self.choice = rng.shuffle, rng.sample, rng.choice
        now = clock.now()
        self.seal = Seal(told.cluster, told.shared_key, told.name, birth)
        self.links = Links(carrier, clock, log, self.seal, self.heard, told.listen)
        self.membership = Membership(
            self,
            rng,
            told.name,
            told.advertise_address,
            birth,
            period=told.probe_interval_ms,
            patience=told.probe_timeout_ms,
            helpers=3,
            kept=60 * told.probe_interval_ms,
            sync_every=10 * told.probe_interval_ms,
            differences=told.layout is not None,
        )
        others = [seed for seed in told.seeds if seed != told.advertise_address]
        self.facts = Facts(
            now,
            told.name,
            birth,
            meant,
            told.expected_members,
            self.AGED,
            self.SILENCE * told.probe_interval_ms if others else 0.0,
        )
        self.witnesses = Witnesses(self.FRESH)
        self.drains, self.starts = Drains(), Starts()
        self.own = {}  # server name -> (phase, start) as the own list has it
        self.telling = []  # whom to tell next
        self.noted = None  # the digest that all were last told
        self.shared = None  # the share as last told to the decisions
        self.failing, self.here = [], []
        self.views = {}  # number of a comparison -> [views by name, when done]
        self.asked = 0
        self.place = None
        if told.control_socket_path:
            folder, name = os.path.split(told.control_socket_path)
            self.place = carrier.meet(
                folder or ".",
                name,
                lambda post: Control(post, self.answer, carrier.limits, clock),
            )

    def start(self):
        now = self.clock.now()
        self.log_event(
            "peers",
            at=self.told.advertise_address,
            cluster=self.told.cluster,
            seeds=len(self.told.seeds),
        )
        self.proxy.balancer.cold.rights = self.right
        self.membership.start(now, self.told.seeds)
        self.tick()

    def leave(self):
        """At the end: the others need not find out."""
        self.membership.leave(self.clock.now())
        self.links.close()
        if self.place:
            self.place.close()

    # What membership calls for

    def send(self, address, words):
        self.say(address, words, bulk=words[0] == STATE)

    def say(self, address, words, bulk=False):
        self.links.send(address, [*self.beliefs(), words], bulk)

    def beliefs(self):
        """What each message says of this one's view."""
        return self.facts.digest(), self.facts.old, round(self.bears(), 2)

    def bears(self):
        return self.proxy.balancer.levels.borne

    def knock(self, name, birth, address, wait, why):
        self.links.knock(
            address,
            wait,
            lambda how: self.membership.on_knock(
                self.clock.now(), name, birth, how, why
            ),
        )

    def alarm(self, at, what):
        self.clock.at(at, self.ring, what)

    def ring(self, what):
        self.membership.on_alarm(self.clock.now(), what)

    def changed(self, member, old):
        now = self.clock.now()
        self.facts.member(now, member.name, member.birth, member.state, member.certain)
        if member.state in (DEAD, LEFT):
            self.witnesses.forget(member.name)
        by = list(member.accusers) if member.state == SUSPECT else None
        self.log_event(
            "peer",
            peer=member.name,
            state=member.state,
            was=old,
            address=member.address,
            by=by,
            surely=member.certain if member.state == DEAD else None,
        )
        if old is None and member.state == ALIVE:
            self.tell_news(member.address)
        self.look(now)

    def log(self, text):
        self.log_event("peers", what=text)

    # Messages

    def heard(self, name, birth, address, words):
        try:
            self.take(self.clock.now(), name, birth, address, words)
        except (ValueError, TypeError, KeyError, IndexError, AttributeError):
            # Of the cluster's key, and yet not of the protocol: that message only.
            self.links.drop("nonsense", address or name)

    def take(self, now, name, birth, address, words):
        digest, old, bears, (kind, *rest) = words
        self.meets(now, name, birth, address)
        self.facts.told(name, birth, digest, bool(old), bounded(bears))
        if kind == DRAINS:
            self.apply(self.drains.hear(name, birth, rest[0]))
        elif kind == STARTS:
            self.apply(self.starts.hear(self.clock.to_wall(now), rest[0]))
        else:
            self.follow(now, name, address, kind, rest)

    def meets(self, now, name, birth, address):
        if address is not None:
            self.membership.contact(now, name, birth, address)

    def follow(self, now, name, address, kind, rest):
        """What is said alike wherever whole views are held."""
        if kind == NOTE:
            pass
        elif kind == SEEN:
            if self.listens(name):
                self.witnesses.tell(now, name, rest[0])
        elif kind == ASK_VIEW:
            self.say(address, [VIEW, rest[0], self.view()])
        elif kind == VIEW:
            self.viewed(rest[0], name, rest[1])
        else:
            self.membership.on_message(now, address, [kind, *rest])

    def listens(self, name):
        """Evidence counts where this instance is not cut off, and from members that are there."""
        member = self.membership.members.get(name)
        return (
            self.facts.state != CUT_OFF and member is not None and member.state == ALIVE
        )

    # What follows

    def tick(self):
        self.clock.after(self.told.probe_interval_ms, self.tick)
        now = self.clock.now()
        self.look(now)
        if not self.telling:
            self.telling = self.reached()
            self.shuffle(self.telling)
        self.note()
        now_told, self.telling = self.telling[: self.TELLS], self.telling[self.TELLS :]
        own = self.sight(now)
        if self.facts.state not in (CUT_OFF, ALONE):
            # The bad first: what is well is known to be so by most.
            seen = sorted(own.items(), key=lambda item: (item[1][0], item[0]))[
                : self.MOST_SEEN
            ]
            words = [
                SEEN,
                [[name, how, round(now - when, 1)] for name, (how, when) in seen],
            ]
            for member in now_told if seen else ():
                self.say(member.address, words)
        if now_told:
            # What was told at once may have been lost.
            self.tell_news(now_told[0].address)
        self.judge_servers(now, own)

    def reached(self):
        return [
            member
            for member in self.membership.alive()
            if member is not self.membership.me
        ]

    def note(self):
        """Every message tells the digest of this view; one that has changed is told at once, so that all know soon
        that they agree."""
        noted = self.facts.digest(), self.facts.old
        if noted != self.noted:
            self.noted = noted
            self.tell_all([NOTE])

    def tell_all(self, words):
        for member in self.membership.alive()[: self.NOTED]:
            if member is not self.membership.me:
                self.say(member.address, words)

    def look(self, now):
        self.facts.apart = self.membership.alone
        before, since = self.facts.state, self.facts.since
        state = self.facts.look(now, self.membership.unanswered)
        if state != before:
            self.log_event(
                "peers are",
                state=state,
                was=before,
                after=round(now - since),
                reached=len(self.facts.reached()),
                fleet=self.facts.fleet(now),
            )
        share = self.share(now)
        if share != self.shared:
            self.shared = share
            self.proxy.balancer.on_fleet(now, share)

    def share(self, now):
        """This proxy's part of what all may do together, between 0 and 1."""
        return self.facts.share(now)

    def right(self, server, unit):
        """Dials in a window that this proxy may send a cold server (`Facts.right`)."""
        return self.facts.right(server, self.bears(), unit)

    def sight(self, now):
        """server -> (BAD or WELL, when), the last that this proxy has seen of each itself."""
        found = {}
        for name, server in self.proxy.servers.items():
            seen = [(server.last_received_ms, WELL)]
            if server.load_samples:
                seen.append((server.load_samples[-1][0], WELL))
            if server.recent_results:
                seen.append(
                    (server.recent_results[-1][0], WELL if server.recent_results[-1][1] else BAD)
                )
            if server.unanswered_probes >= 2:
                seen.append((server.last_probe_ms, BAD))
            when, how = max(seen)
            if now - when < self.FRESH:
                found[name] = how, when
        return found

    def judge_servers(self, now, own):
        failing, here = (
            self.witnesses.verdicts(now, own)
            if self.facts.state != CUT_OFF
            else ([], [])
        )
        servers = self.proxy.servers
        if (failing, here) != (self.failing, self.here):
            self.failing, self.here = failing, here
            self.log_event("peers say", fail_for_all=failing, fail_here_alone=here)
        if failing or here:
            self.proxy.balancer.on_witnesses(
                now,
                [servers[name] for name in failing if name in servers],
                [servers[name] for name in here if name in servers],
            )

    # Drains and starts

    def tell_news(self, address):
        """What one was told and the others may not have been."""
        if self.drains.mine:
            self.say(address, [DRAINS, self.drains.told()])
        if self.starts.latest:
            self.say(address, [STARTS, list(self.starts.latest.items())])

    def on_entry(self, name, phase, started):
        """What holds for an entry of the own list: its phase and start, or what others were told of it since."""
        self.own[name] = phase, started
        if (
            phase is not Phase.GONE
            and started
            and self.starts.hear(started, [[name, started]])
        ):
            self.tell_all([STARTS, [[name, started]]])
        if phase is not Phase.GONE:
            said = self.drains.list_says(name, phase is Phase.DRAINING, started)
            if said is not None and (said[2] or said[1] > 1):
                self.tell_all([DRAINS, [said]])
        return self.holds(name, phase, started), self.latest(name, started)

    def latest(self, name, started):
        """The latest start of a server's process that anyone was told of, where the own list says `started`."""
        return self.starts.of(name, started)

    def drained(self, name, started):
        """Whether anyone was told that the process which started then drains."""
        return self.drains.drains(name, started)

    def holds(self, name, phase, started):
        drains = phase is Phase.READY and self.drained(name, self.latest(name, started))
        return Phase.DRAINING if drains else phase

    def forget_server(self, name):
        self.own.pop(name, None)

    def apply(self, names):
        """A peer's word, as if the list had said so."""
        for name in names:
            server = self.proxy.servers.get(name)
            if server is not None and name in self.own:
                self.proxy.told_by_peers(
                    server,
                    self.holds(name, *self.own[name]),
                    self.latest(name, self.own[name][1]),
                )

    # Operators

    def view(self):
        return {
            name: [member.birth, member.state]
            for name, member in self.membership.members.items()
        }

    def table(self):
        now = self.clock.now()
        facts, membership = self.facts, self.membership
        members = []
        for name in sorted(membership.members):
            member, known = membership.members[name], facts.there.get(name)
            members.append(
                {
                    "name": name,
                    "address": member.address,
                    "state": member.state,
                    "since_s": round((now - member.since) / 1000, 1),
                    "heard_s": None
                    if member is membership.me
                    else round((now - member.heard) / 1000, 1),
                    "accused_by": list(member.accusers)
                    if member.state == SUSPECT
                    else [],
                    "surely_gone": member.certain or member.state == LEFT,
                    "agrees": known is not None
                    and known.digest == facts.digest()
                    or member is membership.me,
                }
            )
        return {
            "name": self.told.name,
            "cluster": self.told.cluster,
            "state": facts.state,
            "since_s": round((now - facts.since) / 1000, 1),
            "digest": membership.digest(),
            "alone": membership.alone,
            "fleet": facts.fleet(now),
            "share": round(self.share(now), 6),
            "members": members,
            "differs": self.differs(now),
            "links": self.links.figures(),
        }

    def differs(self, now):
        """What this proxy does because of its peers, and would not do without."""
        facts = self.facts
        if facts.state == CUT_OFF:
            found = [
                "is cut off: serves with what it has, tells and takes no evidence of servers"
            ]
        else:
            found = []
        if facts.fleet(now) != facts.meant:
            found.append(
                f"takes {told(self.share(now))} of what all may do, {told(self.meant_share())} by its file"
            )
        drained = [
            name
            for name, (phase, started) in sorted(self.own.items())
            if self.holds(name, phase, started) is not phase
        ]
        if drained:
            found.append(
                "sends nothing new to "
                + ", ".join(drained)
                + ": a peer was told that they drain"
            )
        if self.failing:
            found.append(
                "tries with one session at a time "
                + ", ".join(self.failing)
                + ": they fail for others"
            )
        if self.here:
            found.append(
                "takes for its own way's fault that "
                + ", ".join(self.here)
                + " fail here"
            )
        return found

    def meant_share(self):
        return 1 / self.facts.meant

    def figures(self):
        now = self.clock.now()
        return {
            "state": self.facts.state,
            "reached": len(self.facts.reached()),
            "fleet": self.facts.fleet(now),
            "share": round(self.share(now), 6),
            **self.links.figures(),
        }

    def answer(self, request, done):
        if "compare" in request:
            self.compare(done)
        elif "remove" in request:
            gone = self.membership.remove(self.clock.now(), str(request["remove"]))
            done(
                {"removed": request["remove"]}
                if gone
                else {"wrong": f"no other member {request['remove']!r}"}
            )
        else:
            done(self.table())

    def compare(self, done):
        """Asks all that can be reached; what has come within a second is set side by side."""
        self.asked += 1
        self.views[self.asked] = {self.told.name: self.view()}
        for member in self.membership.alive():
            if member is not self.membership.me:
                self.say(member.address, [ASK_VIEW, self.asked])
        self.clock.after(self.ANSWERS, self.compared, self.asked, done)

    def viewed(self, number, name, view):
        if number in self.views:
            self.views[number][name] = {
                str(other): [birth, str(state)]
                for other, (birth, state) in view.items()
            }

    def compared(self, number, done):
        views = self.views.pop(number)
        names = sorted({name for view in views.values() for name in view})
        differ = {}
        for name in names:
            said = {
                viewer: view.get(name, [0, "unknown"])
                for viewer, view in sorted(views.items())
            }
            if len({tuple(each) for each in said.values()}) > 1:
                differ[name] = {viewer: state for viewer, (_, state) in said.items()}
        silent = [
            member.name
            for member in self.membership.alive()
            if member.name not in views
        ]
        done(
            {
                **self.table(),
                "answered": sorted(views),
                "silent": silent,
                "views_differ": differ,
            }
        )
