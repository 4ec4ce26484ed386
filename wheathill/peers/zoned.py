"""One instance of a fleet of zones: whole views within its zone, and of the others what their delegates say.

As `instance.Peers` but for what would grow with the fleet: drains and starts go over the board, agreement is told by the
zone's first delegate, a limit's share is a share of the zone's part. docs/design/zones.md.
"""

from functools import partial

from wheathill.model import Phase
from wheathill.peers.cluster_view import ViewState
from wheathill.peers.instance import NOTE, Peers
from wheathill.peers.membership import FallbackProbe, ProbeResult
from wheathill.peers.messages import ZonedViewHeader
from wheathill.peers.replicated_table import ReplicatedTable
from wheathill.peers.server_records import ServerRecords
from wheathill.peers.table_records import RecordCodec
from wheathill.peers.zones import (
    AT_WORK,
    DELEGATES,
    DIGEST,
    LAYOUT,
    OUT_OF_REACH,
    REACHED,
    Zones,
    decode_summary,
    encode_summary,
)

NEWS, DIFFER, HAVE, BEAT, BEATEN = "news", "differ", "have", "beat", "beaten"


class ZonedPeers(Peers):
    TELLS, MOST_SEEN = 4, 12  # evidence: instances a period, servers each
    PUSHED = 3  # members that news is passed on to
    BATCH = 20.0  # ms that news is gathered
    CHUNK = 1150  # bytes of records in a datagram
    VERSION = 2  # of frames; instances without zones speak another and are refused
    MOST_ASKS = 8  # differences told a period, by whoever is asked
    AGAIN, TRIES = (
        0.3,
        4,
    )  # periods until an answer would be there; how often the same one is asked
    NOTED_AGAIN = 32.0  # periods at the most between two tellings of one view

    def __init__(self, told, proxy, carrier, clock, log, birth, meant):
        meant = max(1, told.layout.zone(told.zone).proxies)
        super().__init__(told, proxy, carrier, clock, log, birth, meant)
        self.seal.VERSION = self.VERSION
        # Who starts out of everyone's reach can't know that others took over the part of the process before it.
        self.cluster_view.minimum_proxies = meant
        self.wall = lambda: clock.to_wall(clock.now())
        names = [zone.name for zone in told.layout.zones]
        self.codec = RecordCodec(names, decode_summary, encode_summary)
        self.replicated_table = ReplicatedTable(names)
        self.server_records = ServerRecords(self.replicated_table)
        self.zones = Zones(
            clock.now(),
            told.layout,
            told.zone,
            f"{told.name} {birth}",
            self.replicated_table,
            told.probe_interval_ms,
            self.shuffle,
            self.choice,
        )
        self.news = {}  # key -> record that waits to be passed on
        self.abroad = {}  # those of them that were first heard within the zone
        self.begun = False  # whether some of them begin here
        self.changed_at = self.same_at = (
            clock.now()
        )  # when the board last changed; was last the same as another's
        self.asked_at = {}  # address -> when its board was last asked for what differs
        self.asks = 0  # answered since the last tick
        self.answers = {}  # address that was asked -> whether it has answered
        self.note_at, self.note_wait = 0.0, told.probe_interval_ms
        self.states = None  # of region and fleet, as last logged

    # Words

    def header(self):
        return ZonedViewHeader(
            self.told.zone,
            super().header(),
            self.told.layout.version,
            self.replicated_table.digest,
        )

    def take(self, now, name, birth, address, words):
        *header, (kind, *rest) = words
        header = ZonedViewHeader.decode(header)
        zone, layout = header.zone, header.layout_version
        if zone == self.told.zone:
            self.meets(now, name, birth, address)
            self.cluster_view.record_report(name, birth, header.view, int(layout))
        elif zone in self.zones.others:
            self.zones.spoke(now, zone)
        else:
            raise ValueError(f"no zone of the layout: {zone}")
        self.zones.told_layout(int(layout))
        if kind in (NEWS, DIFFER, HAVE, BEAT, BEATEN):
            self.on_board(now, zone, address, kind, rest)
        elif zone == self.told.zone:
            self.follow(now, name, address, kind, rest)
        else:
            raise ValueError(f"{kind!r} is not said between zones")
        if header.table_digest == self.replicated_table.digest:
            self.same_at = now
            self.answers.clear()
        elif address is not None:
            self.ask_difference(now, address)

    # What membership calls for

    def start_fallback_probe(self, probe: FallbackProbe) -> None:
        """A process may have taken the address that is of another zone now, by its file: nobody of this one ever meets
        it, and its connections come up all the same. That the one before is gone is what links have found since."""
        began = self.clock.now()

        def told(result):
            member, peer = (
                self.membership.members.get(probe.name),
                self.links.peers.get(probe.address),
            )
            replaced = (
                member is not None
                and member.last_seen_ms <= began
                and peer is not None
                and probe.generation in peer.past
            )
            found = ProbeResult(result)
            if found == ProbeResult.REACHABLE and replaced:
                found = ProbeResult.REFUSED
            self.membership.on_fallback_probe_result(self.clock.now(), probe, found)

        self.links.knock(probe.address, probe.timeout_ms, told)

    # The board

    def on_board(self, now, zone, address, kind, rest):
        if kind == NEWS:
            self.learn(now, self.codec.decode_all(rest[0]), zone)
        elif kind == BEAT:
            self.learn(now, self.codec.decode_all(rest[1]), zone)
            self.say(rest[0], [BEATEN, self.summaries()])
        elif kind == BEATEN:
            self.learn(now, self.codec.decode_all(rest[0]), zone)
        elif kind == DIFFER:
            where, sums = rest
            if self.asks < self.MOST_ASKS:
                self.asks += 1
                buckets = self.replicated_table.differing_buckets(sums)
                for part in self.parts(self.encoded_by_bucket(buckets)):
                    self.say(where, [HAVE, self.told.advertise_address, *part])
        else:
            where, buckets, encoded = rest
            self.answers.pop(where, None)
            records = self.codec.decode_all(encoded)
            ahead = self.replicated_table.newer_records(buckets, records)
            self.learn(now, records, zone)
            for part in self.chunks(self.codec.encode_all(ahead)):
                self.say(where, [NEWS, part])

    def ask_difference(self, now, address):
        """Of one whose board is another. Not while news is on its way, as it is another at each for a moment; but where
        news comes all the time, what was lost of it is asked for all the same."""
        period = self.told.probe_interval_ms
        moment = now - self.changed_at < period / 2 and now - self.same_at < period
        if moment or now - self.asked_at.get(address, -period) < period:
            return
        for old in [old for old, when in self.asked_at.items() if now - when >= period]:
            del self.asked_at[old]
        if len(self.asked_at) < self.MOST_ASKS:
            self.asked_at[address] = self.same_at = now
            self.answers[address] = now
            self.ask(address, now, self.TRIES)

    def ask(self, address, since, tries):
        """Again where no answer comes: the question or the answer may have been lost, and while news comes all the time
        the next one would be asked two periods later."""
        if self.answers.get(address) == since:
            self.say(
                address,
                [
                    DIFFER,
                    self.told.advertise_address,
                    self.replicated_table.bucket_digests,
                ],
            )
            if tries > 1:
                self.clock.after(
                    self.AGAIN * self.told.probe_interval_ms,
                    self.ask,
                    address,
                    since,
                    tries - 1,
                )
            else:
                self.clock.after(
                    self.AGAIN * self.told.probe_interval_ms,
                    self.give_up,
                    address,
                    since,
                )

    def give_up(self, address, since):
        if self.answers.get(address) == since:
            del self.answers[address]

    def encoded_by_bucket(self, buckets):
        found = self.replicated_table.records_by_bucket(buckets)
        return {
            bucket: self.codec.encode_all(records) for bucket, records in found.items()
        }

    def parts(self, found):
        """(buckets, all records in them), as many as a datagram takes, which needs no connection first: what is told of one
        bucket is all of it, and goes by stream where that is more. `found`: {bucket: its records, encoded}."""
        some, records, size = [], [], 0
        for bucket, within in found.items():
            length = len(self.seal.encode(within))
            if some and size + length > self.CHUNK:
                yield some, records
                some, records, size = [], [], 0
            some.append(bucket)
            records = records + within
            size += length
        if some:
            yield some, records

    def chunks(self, records):
        """As many as a datagram takes."""
        part, size = [], 0
        for record in records:
            length = len(self.seal.encode(record))
            if part and size + length > self.CHUNK:
                yield part
                part, size = [], 0
            part.append(record)
            size += length
        if part:
            yield part

    def learn(self, now, records, zone):
        news = self.replicated_table.merge(self.wall(), records)
        if news:
            self.pass_on(now, news, abroad=zone == self.told.zone)
            self.apply([record.server for record in news if record.server is not None])

    def pass_on(self, now, records, abroad):
        """What is news here is told on in a moment. Delegates tell other zones what they hear in theirs."""
        self.changed_at = now
        if not self.news:
            self.clock.after(self.BATCH, self.tell_on)
        for record in records:
            self.news[record.key] = record
            if abroad:
                self.abroad[record.key] = record
        self.zones_say()

    def begin(self, now, record):
        """What begins here also goes to those who tell the other zones."""
        self.pass_on(now, [record], True)
        self.begun = True

    def tell_on(self):
        news, self.news = list(self.news.values()), {}
        abroad, self.abroad = list(self.abroad.values()), {}
        begun, self.begun = self.begun, False
        delegates = {name: None for name, _, _ in self.delegates()}
        members = self.reached()
        chosen = self.sample(members, min(len(members), self.PUSHED))
        if begun:
            chosen += [
                member
                for member in members
                if member.name in delegates and member not in chosen
            ]
        self.tell_each([member.address for member in chosen], news)
        if self.told.name in delegates:
            now = self.clock.now()
            self.tell_each(
                [self.zones.address(now, zone) for zone in self.zones.others], abroad
            )

    def tell_each(self, addresses, records):
        for part in self.chunks(self.codec.encode_all(records)):
            for address in addresses:
                self.say(address, [NEWS, part])

    # Delegates

    def delegates(self):
        """(name, birth, address) of those who speak for the zone, by this view."""
        if self.membership.is_isolated:
            return []
        return self.zones.delegates(
            [
                (member.name, member.generation, member.address)
                for member in self.membership.active_members()
            ]
        )

    def summaries(self):
        """The record of the own zone's summary, if there is one."""
        record = self.replicated_table.summary(self.told.zone)
        return [] if record is None else [self.codec.encode(record)]

    def state(self):
        """Of the own zone; one of a single member is agreed with itself."""
        return (
            ViewState.CONVERGED
            if self.cluster_view.state == ViewState.STANDALONE
            and self.zones.own.proxies <= 1
            else self.cluster_view.state
        )

    def summary(self, now, delegates):
        view = self.cluster_view
        layouts = [
            self.told.layout.version,
            *(known.layout_version for known in view.members.values()),
        ]
        return [
            self.state().value,
            view.max_active_proxies(now),
            1 + len(view.reachable_names()),
            view.digest() if view.have_all_reported_same() else "",
            sorted(self.zones.out_of_reach(now)),
            max(
                self.zones.through(self.told.zone),
                0 if view.unseen_count() else min(layouts),
            ),
            [[name, address] for name, _, address in delegates],
        ]

    def tick(self):
        now = self.clock.now()
        self.asks = 0
        self.replicated_table.remove_expired(self.wall())
        super().tick()
        delegates = self.delegates()
        alone = (
            self.cluster_view.state == ViewState.STANDALONE
            and not self.cluster_view.may_stand_alone(now)
        )  # others may be on the way
        if delegates and delegates[0][0] == self.told.name and not alone:
            record = self.zones.write(now, self.summary(now, delegates))
            if record is not None:
                self.begin(now, record)
        if any(name == self.told.name for name, _, _ in delegates):
            for address in self.zones.due(now):
                self.say(address, [BEAT, self.told.advertise_address, self.summaries()])
        else:
            self.zones.listen(now)
        states = (
            self.zones.region_state(self.state()),
            self.zones.fleet_state(self.state()),
        )
        if states != self.states:
            self.states = states
            self.log_event(
                "zones are",
                region=states[0].value,
                fleet=states[1].value,
                out_of_reach=self.zones.unreached(),
            )

    def zones_say(self):
        """What the own zone's summary confirms."""
        self.cluster_view.confirmed_digest = (
            self.zones.said(self.told.zone, DIGEST) or None
        )

    def note(self):
        """A view that has changed is told to the delegates, and again until the summary says that all have it."""
        now = self.clock.now()
        noted = self.cluster_view.digest(), self.cluster_view.is_established
        if noted != self.noted:
            self.noted, self.note_at, self.note_wait = (
                noted,
                now,
                self.told.probe_interval_ms,
            )
        elif self.cluster_view.confirmed_digest == noted[0]:
            return
        if now >= self.note_at:
            self.note_at, self.note_wait = (
                now + self.note_wait,
                min(2 * self.note_wait, self.NOTED_AGAIN * self.told.probe_interval_ms),
            )
            for name, _, address in self.delegates():
                if name != self.told.name:
                    self.say(address, [NOTE])

    # Limits

    def share(self, now):
        return self.zones.part() * self.cluster_view.quota(now)

    def meant_share(self):
        return self.zones.own.quota / self.expected_proxies

    def right(self, server, unit):
        return (
            self.cluster_view.permit(server, self.bears(), unit, self.zones.rounded)
            if self.zones.part()
            else 0.0
        )

    # Drains and starts

    def tell_news(self, address):
        pass  # the board is compared with each message

    def on_entry(self, name, phase, started):
        self.own[name] = phase, started
        if phase is not Phase.GONE:
            record = self.server_records.update_from_list(
                self.wall(), name, phase is Phase.DRAINING, started
            )
            if record is not None:
                self.begin(self.clock.now(), record)
        return self.holds(name, phase, started), self.latest(name, started)

    def latest(self, name, started):
        return self.server_records.latest_start_ms(name, started)

    def drained(self, name, started):
        return self.server_records.is_draining(name, started)

    # Operators

    def table(self):
        now = self.clock.now()
        found = super().table()
        rows = []
        for zone in self.told.layout.zones:
            said = partial(self.zones.said, zone.name)
            rows.append(
                {
                    "name": zone.name,
                    "region": zone.region,
                    "meant": zone.proxies,
                    "part": round(zone.quota, 6),
                    "state": self.zones.state(zone.name, self.state()).value,
                    "at_work": said(AT_WORK),
                    "reached": said(REACHED),
                    "layout": said(LAYOUT),
                    "out_of_reach": said(OUT_OF_REACH, []),
                    "delegates": [name for name, _ in said(DELEGATES, [])],
                }
            )
        return {
            **found,
            "zone": self.told.zone,
            "region": self.zones.own.region,
            "layout": self.told.layout.version,
            "part": round(self.zones.part(), 6),
            "fleet_at_work": self.zones.at_work(
                self.cluster_view.max_active_proxies(now)
            ),
            "region_state": self.zones.region_state(self.state()).value,
            "fleet_state": self.zones.fleet_state(self.state()).value,
            "zones": rows,
            "board": len(self.replicated_table.records),
        }

    def differs(self, now):
        found = super().differs(now)
        if self.zones.part() < self.zones.own.quota:
            held = self.zones.through(self.told.zone)
            found.append(
                f"takes {self.zones.part():.3g} for its zone's part, {self.zones.own.quota:.3g} by its layout: "
                f"not all zones hold version {self.told.layout.version} (its own: {held})"
            )
        return found
