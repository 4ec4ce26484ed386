"""A member of one zone among the others: who speaks for the zone, what other zones last said, whom to tell, and the
zone's part of a limit. Free of I/O; all of it grows with the number of zones only.

A summary, as the delegates of a zone put it on the board: [state, how many may be at work, how many are reached, the
digest that all of them have told or "", names of zones out of reach, the version of the layout that all hold or 0,
[[name, address] of each delegate]].

Limits are escrowed (O'Neil, "The Escrow Transactional Method", 1986): a part for each zone, by the layout that the
operators' file states, so that no other zone's view is needed to keep to the whole. docs/design/zones.md has the proof.
"""

import hashlib

from wheathill.peers.cluster_view import ViewState

STATES = tuple(ViewState)
STATE, AT_WORK, REACHED, DIGEST, OUT_OF_REACH, LAYOUT, DELEGATES = range(
    7
)  # of a summary


def rank(*words):
    return hashlib.blake2b(" ".join(map(str, words)).encode(), digest_size=8).digest()


def check(value):
    """Raises ValueError or TypeError where `value` is no summary."""
    state, at_work, reached, digest, out, layout, delegates = value
    if (
        state not in STATES
        or not all(
            isinstance(number, int) and number >= 0
            for number in (at_work, reached, layout)
        )
        or not isinstance(digest, str)
        or not isinstance(out, list)
        or not isinstance(delegates, list)
        or not all(isinstance(text, str) for text in out)
    ):
        raise ValueError("no summary")
    for name, address in delegates:
        host, _, port = address.rpartition(":")
        if not isinstance(name, str) or not host or not 0 < int(port) < 65_536:
            raise ValueError("no delegate")


def decode_summary(value):
    """Raises ValueError or TypeError where `value` is no summary."""
    check(value)
    return value


def encode_summary(summary):
    return summary


class Zones:
    """`layout`: a `config.peers.ZoneLayout`; `own`: the name of this member's zone; `writer`: a name that no other process
    has; `period`: ms; `shuffle` and `choice`: of a random.Random."""

    DELEGATES = 3
    VISITED = 3  # zones that a delegate tells each period
    LATE, OUT = 7.0, 15.0  # periods without a word: told each period; out of reach
    APART, PATIENCE = (
        4,
        64,
    )  # periods between two summaries; the most, for one that is overwritten

    def __init__(self, now, layout, own, writer, table, period, shuffle, choice):
        self.layout, self.writer, self.table, self.period = (
            layout,
            writer,
            table,
            period,
        )
        self.shuffle, self.choice = shuffle, choice
        self.own = layout.zone(own)
        self.others = {zone.name: zone for zone in layout.zones if zone is not self.own}
        # zone -> when anyone of it last spoke here, or since when this one speaks for its own
        self.heard = dict.fromkeys(self.others, now)
        self.spoken = {}  # those heard since then
        self.round = []
        self.tried = 0
        self.wrote = None  # version of the summary that this one wrote last
        self.wait, self.write_at = self.APART * period, now
        self.behind = False  # somebody holds a layout two versions later

    def said(self, zone, what, nothing=None):
        """One word of a zone's summary, as far as it is known; `nothing` where none was said."""
        held = self.table.summary(zone)
        return nothing if held is None else held.value[what]

    # Delegates

    def delegates(self, members):
        """Of (name, birth, address), those who speak for the zone, first one first: by rendezvous (highest random weight:
        Thaler and Ravishankar, 1998), so that equal views choose alike."""
        return sorted(
            members, key=lambda member: rank(self.own.name, member[0], member[1])
        )[: self.DELEGATES]

    def spoke(self, now, zone):
        self.heard[zone] = now
        self.spoken[zone] = None

    def listen(self, now):
        """One that doesn't speak for its zone is hardly spoken to: others' silence counts from when it does."""
        self.heard, self.spoken = dict.fromkeys(self.others, now), {}

    def out_of_reach(self, now):
        """What the delegate before this one held for out of reach is so until it is heard."""
        before = self.unreached()
        return [
            zone
            for zone in self.others
            if now - self.heard[zone] > self.OUT * self.period
            or zone in before
            and zone not in self.spoken
        ]

    def addresses(self, zone):
        """Where members of another zone are, as far as is known: its delegates, as it last said, then its seeds."""
        told = [address for _, address in self.said(zone, DELEGATES, [])]
        return list(dict.fromkeys([*told, *self.others[zone].seeds]))

    def address(self, now, zone):
        """One of them. Where nothing is heard each is tried in turn: its delegates may be gone."""
        addresses = self.addresses(zone)
        if (
            self.table.summary(zone) is None
            or now - self.heard[zone] > self.LATE * self.period
        ):
            self.tried += 1
            return addresses[self.tried % len(addresses)]
        return self.choice(addresses[: self.DELEGATES])

    def due(self, now):
        """Addresses of other zones to tell now, one a zone."""
        if not self.round:
            self.round = list(self.others)
            self.shuffle(self.round)
        visited, self.round = self.round[: self.VISITED], self.round[self.VISITED :]
        late = [
            zone
            for zone in self.others
            if self.LATE * self.period
            < now - self.heard[zone]
            <= self.OUT * self.period
        ]
        return [self.address(now, zone) for zone in dict.fromkeys([*visited, *late])]

    # The own zone's summary

    def write(self, now, value):
        """The record that tells a new summary, or None where the one that is held says the same, or this one has been
        overwritten by another that takes itself for first, and waits."""
        held = self.table.summary(self.own.name)
        last = held and held.version
        if held is not None and held.value == value:
            if last == self.wrote and now - self.write_at > 30 * self.period:
                self.wait = self.APART * self.period
            return None
        if now < self.write_at:
            return None
        if None not in (self.wrote, last) and last != self.wrote:
            self.wait = min(self.PATIENCE * self.period, 2 * self.wait)
        record = self.table.write_summary(self.own.name, self.writer, value)
        self.wrote, self.write_at = record.version, now + self.wait
        return record

    # Limits

    def through(self, zone):
        """The version of the layout that all who may be at work in a zone have held, as it last said; 0: not known. It never
        falls: who starts with an earlier one later on takes nothing."""
        return self.said(zone, LAYOUT, 0)

    def part(self):
        """The own zone's part of every limit over all."""
        layout, own = self.layout, self.own
        if (
            self.behind
            or self.through(own.name) > layout.version
            or any(
                self.through(zone.name) > layout.version + 1 for zone in layout.zones
            )
        ):
            return 0.0
        given = [zone for zone in layout.zones if zone.quota < zone.previous_quota]
        if all(self.through(zone.name) >= layout.version for zone in given):
            return own.quota
        return min(own.quota, own.previous_quota)

    def told_layout(self, version):
        """A member of any zone says which version it holds."""
        self.behind = self.behind or version > self.layout.version + 1

    def rounded(self, server, whole):
        """How many of the own zone hold a right to dial a cold server, where `whole` dials are the zone's: a part of a dial
        is rounded by hash, so that those of all zones add up to no more than the whole, rounded up."""
        part = self.own.quota
        if part <= 0.0:
            return 0
        before = 0.0
        for zone in self.layout.zones:
            if zone is self.own:
                break
            before += zone.quota
        shift = int.from_bytes(rank("rights", server), "big") / 2**64
        return int(whole / part * (before + part) + shift) - int(
            whole / part * before + shift
        )

    # What follows for the fleet

    def state(self, zone, mine):
        """Of one zone as far as it is known here; `mine`: of the own one."""
        if zone == self.own.name:
            return mine
        if zone in self.unreached():
            return ViewState.DIVERGED
        return ViewState(self.said(zone, STATE, ViewState.DIVERGED))

    def unreached(self):
        """Zones out of reach, as the own delegates say; none where they have said nothing yet."""
        return self.said(self.own.name, OUT_OF_REACH, [])

    def region_state(self, mine):
        others = [
            zone for zone in self.others.values() if zone.region != self.own.region
        ]
        near = [zone for zone in self.others.values() if zone.region == self.own.region]
        out = self.unreached()
        if others and all(zone.name in out for zone in others):
            return ViewState.PARTITIONED
        return self.together([mine, *(self.state(zone.name, mine) for zone in near)])

    def fleet_state(self, mine):
        return self.together(
            [self.state(zone.name, mine) for zone in self.layout.zones]
        )

    @staticmethod
    def together(states):
        if all(state == ViewState.CONVERGED for state in states):
            return ViewState.CONVERGED
        return ViewState.DIVERGED

    def at_work(self, mine):
        """How many may be at work in all: as last said, or as the layout says where nothing was."""
        return mine + sum(
            self.said(name, AT_WORK, zone.proxies) for name, zone in self.others.items()
        )
