"""One instance among its peers: joins links, membership and what follows from them to the proxy.

The proxy asks it one thing (whether others say that a listed server drains) and is told three: its share of what all
may do together, servers that fail for all, servers that fail for it alone. No session waits for any of it.
"""

import os
import random

from wheathill.model import Phase
from wheathill.peers.control import Control
from wheathill.peers.drain_registry import DrainRecord, DrainRegistry
from wheathill.peers.cluster_view import ClusterView, ClusterViewConfig, ViewState
from wheathill.peers.frames import Seal
from wheathill.peers.links import Links
from wheathill.peers.membership import (
    FallbackProbe,
    Member,
    Membership,
    MembershipConfig,
    MemberState,
    Message,
    ProbeResult,
    StateSync,
    Timer,
    decode_message,
    encode_message,
)
from wheathill.peers.messages import ViewHeader
from wheathill.peers.peer_health_reports import (
    HealthObservation,
    HealthReport,
    HealthVerdict,
    PeerHealthReports,
    ServerHealth,
)
from wheathill.peers.start_registry import StartRecord, StartRegistry

DRAINS, STARTS, SEEN, ASK_VIEW, VIEW, NOTE = (
    "drains",
    "starts",
    "seen",
    "view?",
    "view",
    "note",
)


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
            MembershipConfig(
                name=told.name,
                address=told.advertise_address,
                generation=birth,
                probe_interval_ms=told.probe_interval_ms,
                probe_timeout_ms=told.probe_timeout_ms,
                indirect_checks=3,
                retention_ms=60 * told.probe_interval_ms,
                sync_interval_ms=10 * told.probe_interval_ms,
                digest_sync=told.layout is not None,
            ),
        )
        others = [seed for seed in told.seeds if seed != told.advertise_address]
        silence_ms = self.SILENCE * told.probe_interval_ms if others else 0.0
        self.expected_proxies = meant
        self.cluster_view = ClusterView(
            ClusterViewConfig(
                name=told.name,
                generation=birth,
                expected_proxies=meant,
                expected_members=tuple(told.expected_members),
                ended_process_hold_ms=self.AGED,
                startup_silence_ms=silence_ms,
            ),
            now,
        )
        self.health_reports = PeerHealthReports(self.FRESH)
        self.drains, self.starts = DrainRegistry(), StartRegistry()
        self.own = {}  # server name -> (phase, start) as the own list has it
        self.telling = []  # whom to tell next
        self.noted = None  # the digest that all were last told
        self.shared = None  # the share as last told to the decisions
        self.verdict = HealthVerdict()
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
        self.membership.leave()
        self.links.close()
        if self.place:
            self.place.close()

    # What membership calls for

    def send(self, address: str | None, message: Message) -> None:
        self.say(address, encode_message(message), bulk=isinstance(message, StateSync))

    def say(self, address, words, bulk=False):
        self.links.send(address, [*self.header().encode(), words], bulk)

    def header(self):
        """What each message says of this one's view."""
        view = self.cluster_view
        return ViewHeader(view.digest(), view.is_established, self.bears())

    def bears(self):
        return self.proxy.balancer.levels.borne

    def start_fallback_probe(self, probe: FallbackProbe) -> None:
        self.links.knock(
            probe.address,
            probe.timeout_ms,
            lambda result: self.membership.on_fallback_probe_result(
                self.clock.now(), probe, ProbeResult(result)
            ),
        )

    def set_timer(self, at_ms: float, timer: Timer) -> None:
        self.clock.at(at_ms, self.on_timer, timer)

    def on_timer(self, timer: Timer) -> None:
        self.membership.on_timer(self.clock.now(), timer)

    def member_changed(
        self, member: Member, previous_state: MemberState | None
    ) -> None:
        now = self.clock.now()
        self.cluster_view.update_member(
            now, member.name, member.generation, member.state, member.is_death_confirmed
        )
        if member.state in (MemberState.DEAD, MemberState.LEFT):
            self.health_reports.forget_source(member.name)
        by = list(member.suspected_by) if member.state == MemberState.SUSPECT else None
        self.log_event(
            "peer",
            peer=member.name,
            state=member.state.value,
            was=None if previous_state is None else previous_state.value,
            address=member.address,
            by=by,
            surely=member.is_death_confirmed
            if member.state == MemberState.DEAD
            else None,
        )
        if previous_state is None and member.state == MemberState.ALIVE:
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
        *header, (kind, *rest) = words
        header = ViewHeader.decode(header)
        self.meets(now, name, birth, address)
        self.cluster_view.record_report(name, birth, header)
        if kind == DRAINS:
            records = [DrainRecord.decode(fields) for fields in rest[0]]
            self.apply(self.drains.merge(name, birth, records))
        elif kind == STARTS:
            records = [StartRecord.decode(fields) for fields in rest[0]]
            self.apply(self.starts.merge(self.clock.to_wall(now), records))
        else:
            self.follow(now, name, address, kind, rest)

    def meets(self, now, name, birth, address):
        if address is not None:
            self.membership.on_contact(now, name, birth, address)

    def follow(self, now, name, address, kind, rest):
        """What is said alike wherever whole views are held."""
        if kind == NOTE:
            pass
        elif kind == SEEN:
            if self.listens(name):
                reports = [HealthReport.decode(fields) for fields in rest[0]]
                self.health_reports.record(
                    now, name, [report for report in reports if report is not None]
                )
        elif kind == ASK_VIEW:
            self.say(address, [VIEW, rest[0], self.view()])
        elif kind == VIEW:
            self.viewed(rest[0], name, rest[1])
        else:
            self.membership.on_message(now, address, decode_message([kind, *rest]))

    def listens(self, name):
        """Evidence counts where this instance is not cut off, and from members that are there."""
        member = self.membership.members.get(name)
        return (
            self.cluster_view.state != ViewState.PARTITIONED
            and member is not None
            and member.state == MemberState.ALIVE
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
        if self.cluster_view.state not in (
            ViewState.PARTITIONED,
            ViewState.STANDALONE,
        ):
            # The bad first: what is well is known to be so by most.
            seen = sorted(own.items(), key=lambda item: (item[1].health, item[0]))[
                : self.MOST_SEEN
            ]
            words = [
                SEEN,
                [
                    HealthReport(
                        name, last.health, round(now - last.seen_at_ms, 1)
                    ).encode()
                    for name, last in seen
                ],
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
            for member in self.membership.active_members()
            if member is not self.membership.local
        ]

    def note(self):
        """Every message tells the digest of this view; one that has changed is told at once, so that all know soon
        that they agree."""
        noted = self.cluster_view.digest(), self.cluster_view.is_established
        if noted != self.noted:
            self.noted = noted
            self.tell_all([NOTE])

    def tell_all(self, words):
        for member in self.membership.active_members()[: self.NOTED]:
            if member is not self.membership.local:
                self.say(member.address, words)

    def look(self, now):
        view = self.cluster_view
        view.is_isolated = self.membership.is_isolated
        before, since = view.state, view.state_since_ms
        state = view.update_state(now, self.membership.unanswered_probes)
        if state != before:
            self.log_event(
                "peers are",
                state=state.value,
                was=before.value,
                after=round(now - since),
                reached=len(self.cluster_view.reachable_names()),
                fleet=self.cluster_view.max_active_proxies(now),
            )
        share = self.share(now)
        if share != self.shared:
            self.shared = share
            self.proxy.balancer.on_fleet(now, share)

    def share(self, now):
        """This proxy's part of what all may do together, between 0 and 1."""
        return self.cluster_view.quota(now)

    def right(self, server, unit):
        """Dials in a window that this proxy may send a cold server (`ClusterView.permit`)."""
        return self.cluster_view.permit(server, self.bears(), unit)

    def sight(self, now):
        """By server, the last that this proxy has seen of each itself."""
        found = {}
        for name, server in self.proxy.servers.items():
            seen = [(server.heard, ServerHealth.SERVING)]
            if server.samples:
                seen.append((server.samples[-1][0], ServerHealth.SERVING))
            if server.results:
                seen.append(
                    (server.results[-1][0], ServerHealth(bool(server.results[-1][1])))
                )
            if server.silent >= 2:
                seen.append((server.asked, ServerHealth.FAILING))
            when, how = max(seen)
            if now - when < self.FRESH:
                found[name] = HealthObservation(how, when)
        return found

    def judge_servers(self, now, own):
        verdict = (
            self.health_reports.verdict(now, own)
            if self.cluster_view.state != ViewState.PARTITIONED
            else HealthVerdict()
        )
        servers = self.proxy.servers
        if verdict != self.verdict:
            self.verdict = verdict
            self.log_event(
                "peers say",
                fail_for_all=list(verdict.failing_for_all),
                fail_here_alone=list(verdict.failing_here_alone),
            )
        if verdict:
            self.proxy.balancer.on_witnesses(
                now,
                [servers[name] for name in verdict.failing_for_all if name in servers],
                [
                    servers[name]
                    for name in verdict.failing_here_alone
                    if name in servers
                ],
            )

    # Drains and starts

    def tell_news(self, address):
        """What one was told and the others may not have been."""
        drains = [record.encode() for record in self.drains.own_records()]
        if drains:
            self.say(address, [DRAINS, drains])
        starts = [record.encode() for record in self.starts.records()]
        if starts:
            self.say(address, [STARTS, starts])

    def on_entry(self, name, phase, started):
        """What holds for an entry of the own list: its phase and start, or what others were told of it since."""
        self.own[name] = phase, started
        if (
            phase is not Phase.GONE
            and started
            and self.starts.merge(started, [StartRecord(name, started)])
        ):
            self.tell_all([STARTS, [[name, started]]])
        if phase is not Phase.GONE:
            record = self.drains.record_list_entry(
                name, phase is Phase.DRAINING, started
            )
            if record is not None and (record.is_draining or record.count > 1):
                self.tell_all([DRAINS, [record.encode()]])
        return self.holds(name, phase, started), self.latest(name, started)

    def latest(self, name, started):
        """The latest start of a server's process that anyone was told of, where the own list says `started`."""
        return self.starts.latest_ms(name, started)

    def drained(self, name, started):
        """Whether anyone was told that the process which started then drains."""
        return self.drains.is_draining(name, started)

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
            name: [member.generation, member.state.value]
            for name, member in self.membership.members.items()
        }

    def table(self):
        now = self.clock.now()
        view, membership = self.cluster_view, self.membership
        members = []
        for name in sorted(membership.members):
            member, known = membership.members[name], view.members.get(name)
            members.append(
                {
                    "name": name,
                    "address": member.address,
                    "state": member.state.value,
                    "since_s": round((now - member.state_since_ms) / 1000, 1),
                    "heard_s": None
                    if member is membership.local
                    else round((now - member.last_seen_ms) / 1000, 1),
                    "accused_by": list(member.suspected_by)
                    if member.state == MemberState.SUSPECT
                    else [],
                    "surely_gone": member.is_death_confirmed
                    or member.state == MemberState.LEFT,
                    "agrees": known is not None
                    and known.digest == view.digest()
                    or member is membership.local,
                }
            )
        return {
            "name": self.told.name,
            "cluster": self.told.cluster,
            "state": view.state.value,
            "since_s": round((now - view.state_since_ms) / 1000, 1),
            "digest": membership.digest(),
            "alone": membership.is_isolated,
            "fleet": view.max_active_proxies(now),
            "share": round(self.share(now), 6),
            "members": members,
            "differs": self.differs(now),
            "links": self.links.figures(),
        }

    def differs(self, now):
        """What this proxy does because of its peers, and would not do without."""
        view = self.cluster_view
        if view.state == ViewState.PARTITIONED:
            found = [
                "is cut off: serves with what it has, tells and takes no evidence of servers"
            ]
        else:
            found = []
        if view.max_active_proxies(now) != self.expected_proxies:
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
        if self.verdict.failing_for_all:
            found.append(
                "tries with one session at a time "
                + ", ".join(self.verdict.failing_for_all)
                + ": they fail for others"
            )
        if self.verdict.failing_here_alone:
            found.append(
                "takes for its own way's fault that "
                + ", ".join(self.verdict.failing_here_alone)
                + " fail here"
            )
        return found

    def meant_share(self):
        return 1 / self.expected_proxies

    def figures(self):
        now = self.clock.now()
        return {
            "state": self.cluster_view.state.value,
            "reached": len(self.cluster_view.reachable_names()),
            "fleet": self.cluster_view.max_active_proxies(now),
            "share": round(self.share(now), 6),
            **self.links.figures(),
        }

    def answer(self, request, done):
        if "compare" in request:
            self.compare(done)
        elif "remove" in request:
            gone = self.membership.remove_member(
                self.clock.now(), str(request["remove"])
            )
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
        for member in self.membership.active_members():
            if member is not self.membership.local:
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
            for member in self.membership.active_members()
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
