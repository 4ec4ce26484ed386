"""One instance of a fleet of zones: whole views within its zone, and of the others what their delegates say.

As `peer_service.PeerService` but for what would grow with the fleet: drains and starts go over the board, agreement is told by the
zone's first delegate, a limit's share is a share of the zone's part. docs/design/zones.md.
"""

from functools import partial

from wheathill.log_events import LogEvent
from wheathill.model import Phase
from wheathill.peers.cluster_view import ViewState
from wheathill.peers.fleet_limits import FleetLimits
from wheathill.peers.health_exchange import EvidenceLimits
from wheathill.peers.membership import FallbackProbe, ProbeResult
from wheathill.peers.messages import DigestNote, ZonedViewHeader
from wheathill.peers.peer_service import PeerService
from wheathill.peers.replicated_table import ReplicatedTable
from wheathill.peers.server_records import ServerRecords
from wheathill.peers.server_updates import ServerUpdates
from wheathill.peers.status import StatusReporter
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


class ZonedPeers(PeerService):
    EVIDENCE_LIMITS = EvidenceLimits(recipients=4, servers=12)
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

    def __init__(self, settings, environment, generation, expected_proxies):
        expected = max(1, settings.layout.zone(settings.zone).proxies)
        super().__init__(settings, environment, generation, expected)
        self.authenticator.version = self.VERSION
        # Who starts out of everyone's reach can't know that others took over the part of the process before it.
        self.cluster_view.minimum_proxies = expected
        self.news = {}  # key -> record that waits to be passed on
        self.abroad = {}  # those of them that were first heard within the zone
        self.begun = False  # whether some of them begin here
        self.changed_at = self.same_at = (
            self.clock.now()
        )  # when the board last changed; was last the same as another's
        self.asked_at = {}  # address -> when its board was last asked for what differs
        self.asks = 0  # answered since the last tick
        self.answers = {}  # address that was asked -> whether it has answered
        self.note_at, self.note_wait = 0.0, settings.probe_interval_ms
        self.states = None  # of region and fleet, as last logged

    # Parts

    def _create_view(self, generation, expected_proxies):
        settings = self.settings
        names = [zone.name for zone in settings.layout.zones]
        self.codec = RecordCodec(names, decode_summary, encode_summary)
        self.replicated_table = ReplicatedTable(names)
        self.server_records = ServerRecords(self.replicated_table)
        self.zones = Zones(
            self.clock.now(),
            settings.layout,
            settings.zone,
            f"{settings.name} {generation}",
            self.replicated_table,
            settings.probe_interval_ms,
            self.random.shuffle,
            self.random.choice,
        )
        return super()._create_view(generation, expected_proxies)

    def _create_limits(self, expected_proxies):
        return ZonedLimits(
            self.cluster_view, expected_proxies, self.capacity_estimate, self.zones
        )

    def _create_server_updates(self):
        return ReplicatedServerUpdates(
            self.proxy,
            self.server_records,
            self.wall,
            lambda record: self.begin(self.clock.now(), record),
        )

    def _create_status(self):
        return ZonedStatus(
            self._status_sources(), self.zones, self.replicated_table, self.state
        )

    def wall(self):
        return self.clock.to_wall(self.clock.now())

    # Words

    def header(self):
        return ZonedViewHeader(
            self.settings.zone,
            super().header(),
            self.settings.layout.version,
            self.replicated_table.digest,
        )

    def receive(self, now, sender, words):
        *header, message = words
        header = ZonedViewHeader.decode(header)
        kind, *rest = message
        zone, layout = header.zone, header.layout_version
        if zone == self.settings.zone:
            self.record_contact(now, sender)
            self.cluster_view.record_report(
                sender.name, sender.generation, header.view, int(layout)
            )
        elif zone in self.zones.others:
            self.zones.spoke(now, zone)
        else:
            raise ValueError(f"no zone of the layout: {zone}")
        self.zones.told_layout(int(layout))
        if kind in (NEWS, DIFFER, HAVE, BEAT, BEATEN):
            self.on_board(now, zone, sender.address, kind, rest)
        elif zone == self.settings.zone:
            self.handle_message(now, sender, message)
        else:
            raise ValueError(f"{kind!r} is not said between zones")
        if header.table_digest == self.replicated_table.digest:
            self.same_at = now
            self.answers.clear()
        elif sender.address is not None:
            self.ask_difference(now, sender.address)

    # What membership calls for

    def start_fallback_probe(self, probe: FallbackProbe) -> None:
        """A process may have taken the address that is of another zone now, by its file: nobody of this one ever meets
        it, and its connections come up all the same. That the one before is gone is what the transport has found since."""
        began = self.clock.now()

        def told(result):
            member = self.membership.members.get(probe.name)
            replaced = (
                member is not None
                and member.last_seen_ms <= began
                and self.transport.is_replaced(probe.address, probe.generation)
            )
            if result is ProbeResult.REACHABLE and replaced:
                result = ProbeResult.REFUSED
            self.membership.on_fallback_probe_result(self.clock.now(), probe, result)

        self.transport.start_fallback_probe(probe.address, probe.timeout_ms, told)

    # The board

    def on_board(self, now, zone, address, kind, rest):
        if kind == NEWS:
            self.learn(now, self.codec.decode_all(rest[0]), zone)
        elif kind == BEAT:
            self.learn(now, self.codec.decode_all(rest[1]), zone)
            self.send_words(rest[0], [BEATEN, self.summaries()])
        elif kind == BEATEN:
            self.learn(now, self.codec.decode_all(rest[0]), zone)
        elif kind == DIFFER:
            where, sums = rest
            if self.asks < self.MOST_ASKS:
                self.asks += 1
                buckets = self.replicated_table.differing_buckets(sums)
                for part in self.parts(self.encoded_by_bucket(buckets)):
                    self.send_words(
                        where, [HAVE, self.settings.advertise_address, *part]
                    )
        else:
            where, buckets, encoded = rest
            self.answers.pop(where, None)
            records = self.codec.decode_all(encoded)
            ahead = self.replicated_table.newer_records(buckets, records)
            self.learn(now, records, zone)
            for part in self.chunks(self.codec.encode_all(ahead)):
                self.send_words(where, [NEWS, part])

    def ask_difference(self, now, address):
        """Of one whose board is another. Not while news is on its way, as it is another at each for a moment; but where
        news comes all the time, what was lost of it is asked for all the same."""
        period = self.settings.probe_interval_ms
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
            self.send_words(
                address,
                [
                    DIFFER,
                    self.settings.advertise_address,
                    self.replicated_table.bucket_digests,
                ],
            )
            if tries > 1:
                self.clock.after(
                    self.AGAIN * self.settings.probe_interval_ms,
                    self.ask,
                    address,
                    since,
                    tries - 1,
                )
            else:
                self.clock.after(
                    self.AGAIN * self.settings.probe_interval_ms,
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
            length = self.authenticator.encoded_size(within)
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
            length = self.authenticator.encoded_size(record)
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
            self.pass_on(now, news, abroad=zone == self.settings.zone)
            self.server_updates.apply(
                [record.server for record in news if record.server is not None]
            )

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
        members = self.other_members()
        chosen = self.random.sample(members, min(len(members), self.PUSHED))
        if begun:
            chosen += [
                member
                for member in members
                if member.name in delegates and member not in chosen
            ]
        self.tell_each([member.address for member in chosen], news)
        if self.settings.name in delegates:
            now = self.clock.now()
            self.tell_each(
                [self.zones.address(now, zone) for zone in self.zones.others], abroad
            )

    def tell_each(self, addresses, records):
        for part in self.chunks(self.codec.encode_all(records)):
            for address in addresses:
                self.send_words(address, [NEWS, part])

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
        record = self.replicated_table.summary(self.settings.zone)
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
            self.settings.layout.version,
            *(known.layout_version for known in view.members.values()),
        ]
        return [
            self.state().value,
            view.max_active_proxies(now),
            1 + len(view.reachable_names()),
            view.digest() if view.have_all_reported_same() else "",
            sorted(self.zones.out_of_reach(now)),
            max(
                self.zones.through(self.settings.zone),
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
        if delegates and delegates[0][0] == self.settings.name and not alone:
            record = self.zones.write(now, self.summary(now, delegates))
            if record is not None:
                self.begin(now, record)
        if any(name == self.settings.name for name, _, _ in delegates):
            for address in self.zones.due(now):
                self.send_words(
                    address, [BEAT, self.settings.advertise_address, self.summaries()]
                )
        else:
            self.zones.listen(now)
        states = (
            self.zones.region_state(self.state()),
            self.zones.fleet_state(self.state()),
        )
        if states != self.states:
            self.states = states
            self.log_event(
                LogEvent.ZONE_VIEW_CHANGED,
                region=states[0].value,
                fleet=states[1].value,
                out_of_reach=self.zones.unreached(),
            )

    def zones_say(self):
        """What the own zone's summary confirms."""
        self.cluster_view.confirmed_digest = (
            self.zones.said(self.settings.zone, DIGEST) or None
        )

    def announce_view(self):
        """A view that has changed is told to the delegates, and again until the summary says that all have it."""
        now = self.clock.now()
        noted = self.cluster_view.digest(), self.cluster_view.is_established
        if noted != self._announced_view:
            self._announced_view, self.note_at, self.note_wait = (
                noted,
                now,
                self.settings.probe_interval_ms,
            )
        elif self.cluster_view.confirmed_digest == noted[0]:
            return
        if now >= self.note_at:
            self.note_at, self.note_wait = (
                now + self.note_wait,
                min(
                    2 * self.note_wait,
                    self.NOTED_AGAIN * self.settings.probe_interval_ms,
                ),
            )
            for name, _, address in self.delegates():
                if name != self.settings.name:
                    self.send_message(address, DigestNote())


class ZonedLimits(FleetLimits):
    """Of the own zone's part of each limit."""

    def __init__(self, view, expected_proxies, capacity_estimate, zones):
        super().__init__(view, expected_proxies, capacity_estimate)
        self.zones = zones

    def quota(self, now):
        return self.zones.part() * super().quota(now)

    def expected_quota(self):
        return self.zones.own.quota / self._expected_proxies

    def permit(self, server, unit):
        if not self.zones.part():
            return 0.0
        capacity = self._capacity_estimate()
        return self._view.permit(server, capacity, unit, self.zones.rounded)


class ReplicatedServerUpdates(ServerUpdates):
    """Drains and starts by the board. `wall()`: Unix ms; `begin(record)` passes on what begins here."""

    def __init__(self, proxy, records, wall, begin):
        super().__init__(proxy)
        self.records, self.wall, self.begin = records, wall, begin

    def handle(self, now, sender, update):
        raise ValueError("drains and starts go over the board")

    def send_all(self, address):
        pass  # the board is compared with each message

    def _share_entry(self, server, entry):
        record = self.records.update_from_list(
            self.wall(),
            server,
            entry.phase is Phase.DRAINING,
            entry.process_start_ms,
        )
        if record is not None:
            self.begin(record)

    def _latest_start_ms(self, server, listed_start_ms):
        return self.records.latest_start_ms(server, listed_start_ms)

    def _is_draining(self, server, process_start_ms):
        return self.records.is_draining(server, process_start_ms)


class ZonedStatus(StatusReporter):
    """With the zones. `state()`: of the own one."""

    def __init__(self, sources, zones, table, state):
        super().__init__(sources)
        self.zones, self.replicated_table, self.state = zones, table, state

    def table(self):
        sources, zones, mine = self._sources, self.zones, self.state()
        now = sources.clock.now()
        layout = sources.settings.layout
        fleet = sources.view.max_active_proxies(now)
        return {
            **super().table(),
            "zone": zones.own.name,
            "region": zones.own.region,
            "layout": layout.version,
            "part": round(zones.part(), 6),
            "fleet_at_work": zones.at_work(fleet),
            "region_state": zones.region_state(mine).value,
            "fleet_state": zones.fleet_state(mine).value,
            "zones": [self._zone_row(zone) for zone in layout.zones],
            "board": len(self.replicated_table.records),
        }

    def _zone_row(self, zone):
        said = partial(self.zones.said, zone.name)
        return {
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

    def deviations(self, now):
        found = super().deviations(now)
        zones = self.zones
        if zones.part() < zones.own.quota:
            held = zones.through(zones.own.name)
            found.append(
                f"takes {zones.part():.3g} for its zone's part, {zones.own.quota:.3g} by its layout: "
                f"not all zones hold version {zones.layout.version} (its own: {held})"
            )
        return found
