"""Judges of instances that know one another: what each believes, set against what the lab knows to be true.

Truth comes as `truth` events: who runs, who of these stands still or doesn't listen yet, which pairs can't reach each
other. Beliefs come as `believes` events, asked of each instance. Nothing is judged sooner than the script's limits
allow, counted from when the truth it is about began to hold, or from when the process concerned could first know it.
"""

from wheathill.lab.judging.judges import Judge
from wheathill.log_events import LogEvent

GONE = ("dead", "left")


class Awake:
    """Since when each process can know what befalls: it listens, and doesn't stand still. A new process under a name,
    and one that goes on after a stop, answer for nothing that befell before that; truth that is looked at now and then
    doesn't always show a short stop or a quick restart, so that what is done to hosts counts as well."""

    def __init__(self):
        self.since = {}

    def look(self, now, running, paused, starting):
        here = [name for name in running if name not in paused and name not in starting]
        self.since = {name: self.since.get(name, now) for name in here}

    def host(self, name):
        """Killed, ended, stopped, started or going on: what it could know before is over."""
        self.since.pop(name, None)


class MembershipViewJudge(Judge):
    """Views are equal a while after the last fault's end; nobody who answers is held dead for long; every death is
    known in time to all that run."""

    rule = "views"

    def __init__(
        self,
        *args,
        agreement_ms,
        false_death_ms,
        death_known_ms,
        excluded=(),
        zone_of=None,
    ):
        """`zone_of`: name -> zone, where whole views are held within a zone only."""
        super().__init__(*args)
        self.zone_of = zone_of or {}
        self.agree, self.false, self.known, self.odd = (
            agreement_ms,
            false_death_ms,
            death_known_ms,
            excluded,
        )
        self.awake = Awake()
        self.running, self.paused, self.cut = (
            {},
            {},
            {},
        )  # name (or pair) -> since when; who runs listens, too
        self.names = {}  # of all that ever ran
        self.gone = {}  # name -> since when it doesn't run
        self.held = {}  # (who, whom) -> since when it is held for gone
        self.fine = {}  # (who, whom) -> since when both run and reach each other
        self.still = {}  # (who, whom) -> the same, but that the other stands still
        self.differ = None  # since when views differ
        self.changed = 0.0  # when the truth last changed
        self.digests = {}  # name -> (when asked, digest)
        self.said = {}  # breaches told, once each

    def on_truth(self, now, running, paused, cut, starting):
        for name in running:
            self.gone.pop(name, None)
            self.names[name] = None
        for name, had in starting.items():
            if had > self.agree:
                self.once(
                    now,
                    name,
                    f"doesn't listen yet, {had:.0f} ms of its own time after its start",
                )
        self.awake.look(now, running, paused, starting)
        running = [
            name for name in running if name not in self.odd and name not in starting
        ]
        cut = [
            pair
            for pair in cut
            if not any(name in self.odd for name in pair.split())
            and self.together(*pair.split())
        ]
        for kept, here in (
            (self.running, running),
            (self.paused, paused),
            (self.cut, cut),
        ):
            for key in here:
                if key not in kept:
                    kept[key] = now
                    self.changed = now
            for key in [key for key in kept if key not in here]:
                del kept[key]
                self.changed = now
                if kept is self.running:
                    self.gone.setdefault(key, now)
        well = [name for name in running if name not in paused]
        for one in running:
            for other in running:
                if one != other and self.together(one, other):
                    fine = (
                        one in well
                        and other in well
                        and f"{one} {other}" not in cut
                        and f"{other} {one}" not in cut
                    )
                    self.keep(self.fine, (one, other), fine, now)
                    self.keep(
                        self.still,
                        (one, other),
                        one in well and other in paused and not cut,
                        now,
                    )
        for kept in (self.fine, self.still):
            for pair in [
                pair
                for pair in kept
                if pair[0] not in running or pair[1] not in running
            ]:
                del kept[pair]

    def together(self, one, other):
        return self.zone_of.get(one) == self.zone_of.get(other)

    @staticmethod
    def keep(kept, pair, here, now):
        if here:
            kept.setdefault(pair, now)
        else:
            kept.pop(pair, None)

    def on_host(self, now, name, state):
        if name not in self.names:
            return  # a server
        # All that may be over before the truth is next looked at.
        self.changed = now
        self.awake.host(name)
        self.digests.pop(name, None)
        for kept in (self.fine, self.still):
            for pair in [pair for pair in kept if name in pair]:
                del kept[pair]
        if state in ("killed", "ended"):
            self.running.pop(name, None)
            self.gone[name] = now
            for pair in [pair for pair in self.held if pair[0] == name]:
                del self.held[pair]
        elif state == "up":
            self.gone.pop(name, None)

    def on_log(self, now, node, event, **fields):
        """However short: one that answers is not buried by who reaches it."""
        if event == LogEvent.MEMBER_STATE_CHANGED and fields["state"] == "dead":
            since = self.fine.get((node, fields["peer"]))
            if since is not None and now - since > self.false:
                self.once(
                    now,
                    node,
                    f"buries {fields['peer']} at {now:.0f}, reaching it since {since:.0f}",
                )

    def on_believes(self, now, proxy, digest, members, **_):
        if proxy not in self.running or proxy not in self.awake.since:
            return
        for other, state in members.items():
            if state in GONE:
                held = self.held.setdefault((proxy, other), now)
                since, still = (
                    self.fine.get((proxy, other)),
                    self.still.get((proxy, other)),
                )
                # Who has just become reachable again is met within the same time as views become equal.
                if (
                    since is not None
                    and now - max(held, since + self.agree - self.false) > self.false
                ):
                    self.once(
                        now,
                        proxy,
                        f"holds {other} for {state} since {held:.0f}, reaching it since {since:.0f}",
                    )
                # Who was buried before, out of reach, can't deny it while it stands still, and is not met by a knock.
                if still is not None and held >= still and now - held > self.false:
                    self.once(
                        now,
                        proxy,
                        f"holds {other} for {state}, which only stands still since {still:.0f}",
                    )
            else:
                self.held.pop((proxy, other), None)
            since = max(self.gone.get(other, now), self.awake.since[proxy])
            if state not in GONE and other in self.gone and now - since > self.known:
                self.once(
                    now,
                    proxy,
                    f"holds {other} for {state}, which is gone for {now - since:.0f} ms",
                )
        for (one, other), since in self.fine.items():
            if one == proxy and other not in members and now - since > self.agree:
                self.once(
                    now, proxy, f"does not know {other} after {now - since:.0f} ms"
                )
        self.digests[proxy] = now, digest
        if now - self.changed > self.agree and not self.paused and not self.cut:
            fresh = {
                name: found
                for name, (when, found) in self.digests.items()
                if when - self.changed > self.agree and name in self.running
            }
            # Who leaves says so a moment before its process ends, and views are asked one after another.
            views = {
                (self.zone_of.get(name), found): None for name, found in fresh.items()
            }
            zones = {self.zone_of.get(name): None for name in fresh}
            if (
                len(views) <= len(zones)
                or self.differ is not None
                and self.differ < self.changed
            ):
                self.differ = None
            elif self.differ is None:
                self.differ = now
            elif now - self.differ > self.false:
                self.once(
                    now,
                    proxy,
                    f"views differ {now - self.changed:.0f} ms after the last change: "
                    + " ".join(
                        f"{name}={found}" for name, found in sorted(fresh.items())
                    ),
                )

    def once(self, now, proxy, what):
        key = (
            ("", "views differ")
            if what.startswith("views differ")
            else (proxy, what[:24])
        )
        if key not in self.said:
            self.said[key] = now
            self.report_breach(now, f"{proxy} {what}")

    def finish(self, now):
        if now - self.changed > 2 * self.agree:
            for name in sorted(self.running):
                if name not in self.digests and name not in self.paused:
                    self.report_breach(now, f"{name} has never said what it believes")


class ZoneStateJudge(Judge):
    """What members of a fleet of zones believe of region and fleet: all agree where nothing has befallen anyone for a
    while, and a zone out of every other's reach says that it is cut off. Each zone is a region of its own.

    That a zone is cut off is found out by its delegates and said in its summary, a record of the replicated table as a drain is.
    So whoever joins a zone that knows has to know it as soon as a drain: `told` ms after it listens."""

    rule = "zones"

    def __init__(
        self, *args, zone_of, agreement_ms, isolation_known_ms, propagation_ms
    ):
        super().__init__(*args)
        self.zone_of, self.agree, self.apart, self.told = (
            zone_of,
            agreement_ms,
            isolation_known_ms,
            propagation_ms,
        )
        self.awake = Awake()
        self.truth, self.changed = None, 0.0
        self.alone = {}  # zone -> since when none of it reaches another zone
        self.said = {}

    def on_truth(self, now, running, paused, cut, starting):
        self.awake.look(now, running, paused, starting)
        if (running, paused, cut) != self.truth:
            self.truth, self.changed = (running, paused, cut), now
        cut = dict.fromkeys(cut)
        for zone in dict.fromkeys(self.zone_of.values()):
            within = [name for name in running if self.zone_of[name] == zone]
            others = [name for name in running if self.zone_of[name] != zone]
            alone = bool(within and others) and all(
                f"{one} {other}" in cut or f"{other} {one}" in cut
                for one in within
                for other in others
            )
            if alone:
                self.alone.setdefault(zone, now)
            else:
                self.alone.pop(zone, None)

    def on_host(self, now, name, state):
        if name in self.zone_of:  # servers come and go as well
            self.changed = now
            self.awake.host(name)

    def due(self, zone, proxy):
        """From when on it answers for what it says of its zone, which is cut off. Some member that was awake all the
        time, or the first one since, has to find it out; who came later is told."""
        first = min(
            self.awake.since[name]
            for name in self.awake.since
            if self.zone_of[name] == zone
        )
        return max(
            max(self.alone[zone], first) + self.apart,
            self.awake.since[proxy] + self.told,
        )

    def reaches_another(self, proxy):
        """Whether any other zone can be reached from here, by way of others if need be: a part of a zone may be cut off
        from the rest of it as well."""
        running, paused, cut = self.truth
        cut = dict.fromkeys(cut)
        seen, ahead = {proxy: None}, [proxy]
        while ahead:
            here = ahead.pop()
            for name in running:
                if (
                    name not in seen
                    and name not in paused
                    and f"{here} {name}" not in cut
                    and f"{name} {here}" not in cut
                ):
                    if self.zone_of[name] != self.zone_of[proxy]:
                        return True
                    seen[name] = None
                    ahead.append(name)
        return False

    def on_believes(self, now, proxy, region_state, fleet_state, **_):
        running, paused, cut = self.truth or ((), (), ())
        zone = self.zone_of[proxy]
        if proxy not in self.awake.since:
            return
        if region_state == "cut off":
            if now - self.changed > self.agree and self.reaches_another(proxy):
                self.once(now, f"{proxy} says that it is cut off, and is not")
        elif zone in self.alone and now > self.due(zone, proxy):
            self.once(
                now,
                f"{proxy} says that its region is {region_state}, {now - self.alone[zone]:.0f} ms after it "
                f"was cut off",
            )
        if (
            len(running) == len(self.zone_of)
            and not paused
            and not cut
            and now - self.changed > 2 * self.agree
            and fleet_state != "agreed"
        ):
            self.once(
                now,
                f"{proxy} says that the fleet is {fleet_state}, {now - self.changed:.0f} ms after all was "
                f"well",
            )

    def once(self, now, what):
        key = what.split(",")[0]
        if key not in self.said:
            self.said[key] = None
            self.report_breach(now, what)


class QuotaSumJudge(Judge):
    """All shares of a limit together are one at the most, whatever the views; more than a moment's overlap of what
    was asked at different times is a breach."""

    rule = "shares"
    OVERLAP = 1500.0

    def __init__(self, *args):
        super().__init__(*args)
        self.shares = {}
        self.running = []
        self.over = None  # since when the sum is over one
        self.largest = 0.0

    def on_host(self, now, name, state):
        if state in ("killed", "ended"):
            self.shares.pop(name, None)
            self.running = [other for other in self.running if other != name]

    def on_believes(self, now, proxy, share, **_):
        if proxy in self.running:
            self.shares[proxy] = share

    def on_truth(self, now, running, paused, cut, **_):
        """Of what all have said since they were asked last."""
        self.running = running
        self.shares = {
            name: share for name, share in self.shares.items() if name in running
        }
        total = sum(self.shares.values())
        self.largest = max(self.largest, total)
        if total <= 1.001:
            self.over = None
        elif self.over is None:
            self.over = now
        elif now - self.over > self.OVERLAP:
            self.report_breach(
                now,
                f"shares sum to {total:.3f}: "
                + " ".join(
                    f"{name}={share:g}" for name, share in sorted(self.shares.items())
                ),
            )
            self.over = float("inf")


class DrainPropagationJudge(Judge):
    """Rule 3 over the fleet: a server that one instance was told drains gets nothing new from any that it reaches,
    `within` ms and the grace later."""

    rule = 3

    def __init__(self, *args, grace_ms, propagation_ms):
        super().__init__(*args)
        self.grace, self.within = grace_ms, propagation_ms
        self.told = {}  # server -> {proxy that was told: when}
        self.of = {}  # session -> its proxy
        self.awake = Awake()
        self.fine = {}  # proxy -> since when it is awake and reaches all others
        self.said = {}

    def on_told(self, now, proxy, server, health, stale=False):
        """A late list may tell a new process of a drain that is over, which the others know."""
        if health == "draining" and not stale:
            self.told.setdefault(server, {}).setdefault(proxy, now)

    def on_ready(self, now, server):
        self.told.pop(server, None)

    def on_cold(self, now, server, **_):
        self.told.pop(server, None)

    def on_host(self, now, name, state):
        self.awake.host(name)
        self.fine.pop(name, None)
        if state in ("killed", "ended"):
            # What it was told it knows no more; the next process of its name is told for itself.
            for told in self.told.values():
                told.pop(name, None)

    def on_truth(self, now, running, paused, cut, starting):
        self.awake.look(now, running, paused, starting)
        cut_off = dict.fromkeys(name for pair in cut for name in pair.split())
        self.fine = {
            name: self.fine.get(name, now)
            for name in self.awake.since
            if name not in cut_off
        }

    def on_open(self, now, sess, proxy, **_):
        self.of[sess] = proxy

    def on_dial(self, now, sess, server, first):
        proxy = self.of.get(sess)
        if proxy not in self.fine:
            return
        known = [
            (max(when, self.fine[other]), other)
            for other, when in self.told.get(server, {}).items()
            if other != proxy and other in self.fine
        ]
        if not known:
            return
        when, other = min(known)
        late = first - max(when, self.fine[proxy])
        if (
            late > self.grace + self.within + self.slack_ms
            and (proxy, server) not in self.said
        ):
            self.said[proxy, server] = now
            self.report_breach(
                now,
                f"{proxy} dialled it {late:.0f} ms after {other} was told that it drains",
                sess,
                server,
            )


class IsolationJudge(Judge):
    """Who has another cluster, key or version, or claims another's name, stays apart; that is seen, and nobody else
    suffers."""

    rule = "apart"
    REASONS = {
        "cluster": "another cluster",
        "key": "another key",
        "version": "another version",
    }

    def __init__(self, *args, misconfigured, agreement_ms):
        super().__init__(*args)
        self.odd = {item.on: item for item in misconfigured}
        self.within = agreement_ms
        self.awake = Awake()
        self.seen = {}  # (odd one, reason) -> None, once others have dropped what it says
        self.holders = {}  # name -> {proxy: since when it holds that name and is not alone}
        self.said = {}
        self.nobody = {
            item.claims: 0.0 for item in misconfigured if item.claims
        }  # name -> since when nobody holds it

    def on_host(self, now, name, state):
        """The next process of its name holds nothing yet, and one that stood still may say what holds no more."""
        self.awake.host(name)
        for holders in self.holders.values():
            holders.pop(name, None)

    def on_truth(self, now, running, paused, cut, starting):
        self.awake.look(now, running, paused, starting)
        for name in self.nobody:
            since = [
                self.awake.since[proxy]
                for proxy in self.claims(name)
                if proxy in self.awake.since
            ]
            if self.holders.get(name) or not since:
                self.nobody[name] = now
            elif now - max(self.nobody[name], min(since)) > self.within:
                self.once(
                    now, f"nobody holds the name {name}, which a running one claims"
                )
        for holders in self.holders.values():
            for proxy in [proxy for proxy in holders if proxy not in running]:
                del holders[proxy]

    def claims(self, name):
        return [
            name,
            *(proxy for proxy, item in self.odd.items() if item.claims == name),
        ]

    def on_believes(self, now, proxy, name, alone, dropped, members, **_):
        if proxy not in self.awake.since:
            return
        odd = self.odd.get(proxy)
        holders = self.holders.setdefault(name, {})
        if alone:
            holders.pop(proxy, None)
        else:
            holders.setdefault(proxy, now)
        if len(holders) > 1 and now - sorted(holders.values())[1] > self.within:
            self.once(now, f"{' and '.join(sorted(holders))} hold the name {name}")
        if (
            odd is not None
            and not odd.claims
            and (odd.cluster or odd.key or odd.version)
        ):
            for other, state in members.items():
                if other != name:
                    self.once(now, f"{proxy} knows {other}")
        elif odd is None:
            for other, item in self.odd.items():
                if other in members and not item.claims:
                    self.once(now, f"{proxy} knows {other}")
                for field, reason in self.REASONS.items():
                    if getattr(item, field) and dropped.get(reason):
                        self.seen[other, reason] = None

    def once(self, now, what):
        if what not in self.said:
            self.said[what] = None
            self.report_breach(now, what)

    def finish(self, now):
        for name, item in self.odd.items():
            for field, reason in self.REASONS.items():
                if getattr(item, field) and (name, reason) not in self.seen:
                    self.report_breach(
                        now, f"nobody has dropped what {name} says as of {reason}"
                    )


class FaultEffectJudge(Judge):
    """Not a rule of the program's: a fault that did nothing proves nothing."""

    rule = "none"

    def on_effect(self, now, do, on, count):
        if not count:
            self.report_breach(now, f"fault without effect: {do} on {on}")


class ConvergenceTimes(Judge):
    """No judge: how long things took, in ms. `agreed`: from a change of the truth (or its end, where a cut or a stop
    heals) until all views are equal; `first`, `all`: from a death until one, and all that run, say so."""

    def __init__(self):
        super().__init__([], {}, 0.0)
        self.awake = Awake()
        self.running, self.paused, self.cut = [], [], []
        self.changed = None
        self.digests = {}
        self.deaths = {}  # name -> (when, {who says so: when})
        self.found = {"agreed": [], "first": [], "all": []}

    def on_truth(self, now, running, paused, cut, starting):
        self.awake.look(now, running, paused, starting)
        running = [name for name in running if name not in starting]
        if (running, paused, cut) != (self.running, self.paused, self.cut):
            self.running, self.paused, self.cut = running, paused, cut
            self.changed, self.digests = now, {}

    def on_host(self, now, name, state):
        self.awake.host(name)
        if state == "killed":
            self.deaths[name] = now, {}
        elif state == "up":
            self.deaths.pop(name, None)

    def on_believes(self, now, proxy, digest, **_):
        if self.changed is None or self.paused or self.cut:
            return
        self.digests[proxy] = digest
        if (
            all(name in self.digests for name in self.running)
            and len(dict.fromkeys(self.digests[name] for name in self.running)) == 1
        ):
            self.found["agreed"].append(round(now - self.changed))
            self.changed = None

    def on_log(self, now, node, event, **fields):
        if (
            event != LogEvent.MEMBER_STATE_CHANGED
            or fields["state"] != "dead"
            or fields["peer"] not in self.deaths
        ):
            return
        when, told = self.deaths[fields["peer"]]
        if not told:
            self.found["first"].append(round(now - when))
        told.setdefault(node, now)
        # Who was not awake when it happened has nothing to find out.
        here = [
            name
            for name, since in self.awake.since.items()
            if since <= when and name not in self.deaths
        ]
        if all(name in told for name in here):
            self.found["all"].append(round(now - when))
            del self.deaths[fields["peer"]]


def convergence_times(events):
    judge, shares = ConvergenceTimes(), QuotaSumJudge([], {}, 0.0)
    for event in events:
        judge.observe(*event)
        shares.observe(*event)
    return {**judge.found, "largest_sum": round(shares.largest, 4)}
