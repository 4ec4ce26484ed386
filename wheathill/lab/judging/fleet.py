"""Judges of proxies that know one another: their views, compared with what the lab knows to be true.

The truth comes as `truth` events: which processes run, which of these are paused or do not listen yet, and which pairs
can't reach each other. The views come as `believes` events, requested from each proxy. Nothing is judged before the
script's limits allow, counted from when the truth concerned began to hold, or from when the process concerned could
first know it.
"""

from wheathill.lab.judging.judges import Judge
from wheathill.log_events import LogEvent

GONE = ("dead", "left")
# Above rounding errors of a sum of quotas.
MAX_QUOTA_SUM = 1.001


class AwakeProcesses:
    """Since when each process has been able to observe the cluster: it listens and is not paused.

    A new process under a name, and one that is resumed, need not know what happened before. The truth is sampled, and a
    sample may miss a short pause or a quick restart; so events of hosts count as well.
    """

    def __init__(self):
        self.since = {}

    def update(self, now, running, paused, starting):
        """Apply a sample of the truth."""
        awake = [
            name for name in running if name not in paused and name not in starting
        ]
        self.since = {name: self.since.get(name, now) for name in awake}

    def reset(self, name):
        """Forget a process that was killed, ended, paused, started or resumed."""
        self.since.pop(name, None)


class MembershipViewJudge(Judge):
    """Checks members' views of one another.

    Views are equal within a time after the last fault's end; no member that answers is held dead for long; every death
    is known in time to all that run.

    `zone_of` is name -> zone, where complete views are held within a zone only.
    """

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
        super().__init__(*args)
        self.zone_of = zone_of or {}
        self.agreement_ms, self.false_death_ms, self.death_known_ms, self.excluded = (
            agreement_ms,
            false_death_ms,
            death_known_ms,
            excluded,
        )
        self.awake = AwakeProcesses()
        # Name (or pair) -> since when; those that run also listen.
        self.running, self.paused, self.cut = (
            {},
            {},
            {},
        )
        self.names = {}  # of all that ever ran
        self.gone = {}  # name -> since when it does not run
        self.held_gone = {}  # (observer, member) -> since when it is held dead or left
        # (observer, member) -> since when both run and reach each other.
        self.reachable = {}
        # (observer, member) -> the same, but that the member is paused.
        self.paused_reachable = {}
        self.differing_since = None
        self.last_change = 0.0  # of the truth
        self.digests = {}  # name -> (when asked, digest)
        self.reported = {}  # breaches, each reported once

    def on_truth(self, now, running, paused, cut, starting):
        """Apply a sample of the truth, and report a process that does not listen in time."""
        for name in running:
            self.gone.pop(name, None)
            self.names[name] = None
        for name, own_time_ms in starting.items():
            if own_time_ms > self.agreement_ms:
                self.report_once(
                    now,
                    name,
                    f"doesn't listen yet, {own_time_ms:.0f} ms of its own time after its start",
                )
        self.awake.update(now, running, paused, starting)
        running = [
            name
            for name in running
            if name not in self.excluded and name not in starting
        ]
        cut = [
            pair
            for pair in cut
            if not any(name in self.excluded for name in pair.split())
            and self.is_same_zone(*pair.split())
        ]
        for known, current in (
            (self.running, running),
            (self.paused, paused),
            (self.cut, cut),
        ):
            for key in current:
                if key not in known:
                    known[key] = now
                    self.last_change = now
            for key in [key for key in known if key not in current]:
                del known[key]
                self.last_change = now
                if known is self.running:
                    self.gone.setdefault(key, now)
        responsive = [name for name in running if name not in paused]
        for observer in running:
            for member in running:
                if observer != member and self.is_same_zone(observer, member):
                    is_reachable = (
                        observer in responsive
                        and member in responsive
                        and f"{observer} {member}" not in cut
                        and f"{member} {observer}" not in cut
                    )
                    self.update_since(
                        self.reachable, (observer, member), is_reachable, now
                    )
                    self.update_since(
                        self.paused_reachable,
                        (observer, member),
                        observer in responsive and member in paused and not cut,
                        now,
                    )
        for times in (self.reachable, self.paused_reachable):
            for pair in [
                pair
                for pair in times
                if pair[0] not in running or pair[1] not in running
            ]:
                del times[pair]

    def is_same_zone(self, first, second):
        """Whether both hold complete views of each other's zone."""
        return self.zone_of.get(first) == self.zone_of.get(second)

    @staticmethod
    def update_since(times, pair, holds, now):
        """Keep since when a condition holds for a pair."""
        if holds:
            times.setdefault(pair, now)
        else:
            times.pop(pair, None)

    def on_host(self, now, name, state):
        """Reset what is known of a proxy's process, as the condition may end before the next sample of the truth."""
        if name not in self.names:
            return  # a server
        self.last_change = now
        self.awake.reset(name)
        self.digests.pop(name, None)
        for times in (self.reachable, self.paused_reachable):
            for pair in [pair for pair in times if name in pair]:
                del times[pair]
        if state in ("killed", "ended"):
            self.running.pop(name, None)
            self.gone[name] = now
            for pair in [pair for pair in self.held_gone if pair[0] == name]:
                del self.held_gone[pair]
        elif state == "up":
            self.gone.pop(name, None)

    def on_log(self, now, node, event, **fields):
        """Check that no member that answers is declared dead by one that reaches it, however briefly."""
        if event == LogEvent.MEMBER_STATE_CHANGED and fields["state"] == "dead":
            since = self.reachable.get((node, fields["peer"]))
            if since is not None and now - since > self.false_death_ms:
                self.report_once(
                    now,
                    node,
                    f"buries {fields['peer']} at {now:.0f}, reaching it since {since:.0f}",
                )

    def on_believes(self, now, proxy, digest, members, **_):
        """Check a view against the truth, and against the other views."""
        if proxy not in self.running or proxy not in self.awake.since:
            return
        for other, state in members.items():
            if state in GONE:
                held = self.held_gone.setdefault((proxy, other), now)
                since, paused_since = (
                    self.reachable.get((proxy, other)),
                    self.paused_reachable.get((proxy, other)),
                )
                # A member that has just become reachable again may be held dead until views have to be equal.
                if (
                    since is not None
                    and now - max(held, since + self.agreement_ms - self.false_death_ms)
                    > self.false_death_ms
                ):
                    self.report_once(
                        now,
                        proxy,
                        f"holds {other} for {state} since {held:.0f}, reaching it since {since:.0f}",
                    )
                # A member that was declared dead while out of reach can't refute that while it is paused, and dead
                # members get no fallback probes.
                if (
                    paused_since is not None
                    and held >= paused_since
                    and now - held > self.false_death_ms
                ):
                    self.report_once(
                        now,
                        proxy,
                        f"holds {other} for {state}, which only stands still since {paused_since:.0f}",
                    )
            else:
                self.held_gone.pop((proxy, other), None)
            since = max(self.gone.get(other, now), self.awake.since[proxy])
            if (
                state not in GONE
                and other in self.gone
                and now - since > self.death_known_ms
            ):
                self.report_once(
                    now,
                    proxy,
                    f"holds {other} for {state}, which is gone for {now - since:.0f} ms",
                )
        for (observer, member), since in self.reachable.items():
            if (
                observer == proxy
                and member not in members
                and now - since > self.agreement_ms
            ):
                self.report_once(
                    now, proxy, f"does not know {member} after {now - since:.0f} ms"
                )
        self.digests[proxy] = now, digest
        if (
            now - self.last_change > self.agreement_ms
            and not self.paused
            and not self.cut
        ):
            fresh = {
                name: found
                for name, (asked, found) in self.digests.items()
                if asked - self.last_change > self.agreement_ms and name in self.running
            }
            # A difference has to last: a member announces that it leaves shortly before its process ends, and views
            # are requested one after another.
            views = {
                (self.zone_of.get(name), found): None for name, found in fresh.items()
            }
            zones = {self.zone_of.get(name): None for name in fresh}
            if (
                len(views) <= len(zones)
                or self.differing_since is not None
                and self.differing_since < self.last_change
            ):
                self.differing_since = None
            elif self.differing_since is None:
                self.differing_since = now
            elif now - self.differing_since > self.false_death_ms:
                self.report_once(
                    now,
                    proxy,
                    f"views differ {now - self.last_change:.0f} ms after the last change: "
                    + " ".join(
                        f"{name}={found}" for name, found in sorted(fresh.items())
                    ),
                )

    def report_once(self, now, proxy, what):
        """Report a breach, unless this proxy has had one of the same kind."""
        key = (
            ("", "views differ")
            if what.startswith("views differ")
            else (proxy, what[:24])
        )
        if key not in self.reported:
            self.reported[key] = now
            self.report_breach(now, f"{proxy} {what}")

    def finish(self, now):
        """Report running proxies that never returned a view."""
        if now - self.last_change > 2 * self.agreement_ms:
            for name in sorted(self.running):
                if name not in self.digests and name not in self.paused:
                    self.report_breach(now, f"{name} has never said what it believes")


class ZoneStateJudge(Judge):
    """Checks the states of region and fleet that members of a fleet of zones report.

    They are converged once there has been no fault for a time, and a zone that can't reach any other is reported as
    partitioned. Each zone is a region of its own.

    The zone's delegates detect that it is partitioned and write that to its summary, a record of the replicated table
    like a drain. So a member that joins such a zone has to know it as soon as a drain, `propagation_ms` after it
    listens.
    """

    rule = "zones"

    def __init__(
        self, *args, zone_of, agreement_ms, isolation_known_ms, propagation_ms
    ):
        super().__init__(*args)
        (
            self.zone_of,
            self.agreement_ms,
            self.isolation_known_ms,
            self.propagation_ms,
        ) = (
            zone_of,
            agreement_ms,
            isolation_known_ms,
            propagation_ms,
        )
        self.awake = AwakeProcesses()
        self.truth, self.last_change = None, 0.0
        # Zone -> since when none of its members reaches another zone.
        self.partitioned = {}
        self.reported = {}

    def on_truth(self, now, running, paused, cut, starting):
        """Apply a sample of the truth."""
        self.awake.update(now, running, paused, starting)
        if (running, paused, cut) != self.truth:
            self.truth, self.last_change = (running, paused, cut), now
        cut = dict.fromkeys(cut)
        for zone in dict.fromkeys(self.zone_of.values()):
            inside = [name for name in running if self.zone_of[name] == zone]
            outside = [name for name in running if self.zone_of[name] != zone]
            is_partitioned = bool(inside and outside) and all(
                f"{one} {other}" in cut or f"{other} {one}" in cut
                for one in inside
                for other in outside
            )
            if is_partitioned:
                self.partitioned.setdefault(zone, now)
            else:
                self.partitioned.pop(zone, None)

    def on_host(self, now, name, state):
        """Reset a proxy's process; servers, which have no zone, are ignored."""
        if name in self.zone_of:
            self.last_change = now
            self.awake.reset(name)

    def isolation_known_by(self, zone, proxy):
        """Return from when on a proxy must report that its zone is partitioned.

        A member that was awake all the time, or the first one since, has to detect it; later ones are told.
        """
        first = min(
            self.awake.since[name]
            for name in self.awake.since
            if self.zone_of[name] == zone
        )
        return max(
            max(self.partitioned[zone], first) + self.isolation_known_ms,
            self.awake.since[proxy] + self.propagation_ms,
        )

    def reaches_another_zone(self, proxy):
        """Whether a proxy reaches any other zone, directly or through others.

        A part of a zone may be partitioned from the rest of it as well.
        """
        running, paused, cut = self.truth
        cut = dict.fromkeys(cut)
        visited, pending = {proxy: None}, [proxy]
        while pending:
            current = pending.pop()
            for name in running:
                if (
                    name not in visited
                    and name not in paused
                    and f"{current} {name}" not in cut
                    and f"{name} {current}" not in cut
                ):
                    if self.zone_of[name] != self.zone_of[proxy]:
                        return True
                    visited[name] = None
                    pending.append(name)
        return False

    def on_believes(self, now, proxy, region_state, fleet_state, **_):
        """Check the states that a proxy reports."""
        running, paused, cut = self.truth or ((), (), ())
        zone = self.zone_of[proxy]
        if proxy not in self.awake.since:
            return
        if region_state == "cut off":
            if now - self.last_change > self.agreement_ms and self.reaches_another_zone(
                proxy
            ):
                self.report_once(now, f"{proxy} says that it is cut off, and is not")
        elif zone in self.partitioned and now > self.isolation_known_by(zone, proxy):
            self.report_once(
                now,
                f"{proxy} says that its region is {region_state}, {now - self.partitioned[zone]:.0f} ms after it "
                f"was cut off",
            )
        if (
            len(running) == len(self.zone_of)
            and not paused
            and not cut
            and now - self.last_change > 2 * self.agreement_ms
            and fleet_state != "agreed"
        ):
            self.report_once(
                now,
                f"{proxy} says that the fleet is {fleet_state}, {now - self.last_change:.0f} ms after all was "
                f"well",
            )

    def report_once(self, now, what):
        """Report a breach, unless the same one was reported with another time."""
        key = what.split(",")[0]
        if key not in self.reported:
            self.reported[key] = None
            self.report_breach(now, what)


class QuotaSumJudge(Judge):
    """Checks that all quotas of a limit together are at most one, whatever the views.

    Quotas are asked for one after another, so a short overlap is no breach.
    """

    rule = "shares"
    MAX_OVERLAP_MS = 1500.0

    def __init__(self, *args):
        super().__init__(*args)
        self.quotas = {}
        self.running = []
        self.exceeded_since = None
        self.largest_sum = 0.0

    def on_host(self, now, name, state):
        """Drop the quota of a process that has ended."""
        if state in ("killed", "ended"):
            self.quotas.pop(name, None)
            self.running = [other for other in self.running if other != name]

    def on_believes(self, now, proxy, share, **_):
        """Record a proxy's quota."""
        if proxy in self.running:
            self.quotas[proxy] = share

    def on_truth(self, now, running, paused, cut, **_):
        """Check the sum of the last quotas of all that run."""
        self.running = running
        self.quotas = {
            name: quota for name, quota in self.quotas.items() if name in running
        }
        total = sum(self.quotas.values())
        self.largest_sum = max(self.largest_sum, total)
        if total <= MAX_QUOTA_SUM:
            self.exceeded_since = None
        elif self.exceeded_since is None:
            self.exceeded_since = now
        elif now - self.exceeded_since > self.MAX_OVERLAP_MS:
            self.report_breach(
                now,
                f"shares sum to {total:.3f}: "
                + " ".join(
                    f"{name}={quota:g}" for name, quota in sorted(self.quotas.items())
                ),
            )
            self.exceeded_since = float("inf")


class DrainPropagationJudge(Judge):
    """Rule 3 over the fleet: a drain that one proxy was told is known to all that it reaches.

    None of them sends the server a new session later than `propagation_ms` and the grace after that.
    """

    rule = 3

    def __init__(self, *args, grace_ms, propagation_ms):
        super().__init__(*args)
        self.grace_ms, self.propagation_ms = grace_ms, propagation_ms
        self.told = {}  # server -> {proxy that was told: when}
        self.proxies = {}  # session -> its proxy
        self.awake = AwakeProcesses()
        self.reachable = {}  # proxy -> since when it is awake and reaches all others
        self.reported = {}

    def on_told(self, now, proxy, server, health, stale=False):
        """Record a drain, unless a late list reports one that is over, which the others know."""
        if health == "draining" and not stale:
            self.told.setdefault(server, {}).setdefault(proxy, now)

    def on_ready(self, now, server):
        """End the server's drain."""
        self.told.pop(server, None)

    def on_cold(self, now, server, **_):
        """End the server's drain by its restart."""
        self.told.pop(server, None)

    def on_host(self, now, name, state):
        """Reset a proxy's process; the next one under its name has to be told itself."""
        self.awake.reset(name)
        self.reachable.pop(name, None)
        if state in ("killed", "ended"):
            for times in self.told.values():
                times.pop(name, None)

    def on_truth(self, now, running, paused, cut, starting):
        """Apply a sample of the truth."""
        self.awake.update(now, running, paused, starting)
        cut_off = dict.fromkeys(name for pair in cut for name in pair.split())
        self.reachable = {
            name: self.reachable.get(name, now)
            for name in self.awake.since
            if name not in cut_off
        }

    def on_open(self, now, sess, proxy, **_):
        """Record the session's proxy."""
        self.proxies[sess] = proxy

    def on_dial(self, now, sess, server, first):
        """Check that the attempt was sent before the drain had to be known."""
        proxy = self.proxies.get(sess)
        if proxy not in self.reachable:
            return
        sources = [
            (max(told, self.reachable[other]), other)
            for other, told in self.told.get(server, {}).items()
            if other != proxy and other in self.reachable
        ]
        if not sources:
            return
        told, other = min(sources)
        late_ms = first - max(told, self.reachable[proxy])
        if (
            late_ms > self.grace_ms + self.propagation_ms + self.slack_ms
            and (proxy, server) not in self.reported
        ):
            self.reported[proxy, server] = now
            self.report_breach(
                now,
                f"{proxy} dialled it {late_ms:.0f} ms after {other} was told that it drains",
                sess,
                server,
            )


class IsolationJudge(Judge):
    """Checks that misconfigured proxies stay isolated.

    One with another cluster, key or protocol version, or with another proxy's name, does not become a member; the
    others report that they drop its messages, and no other proxy is affected.
    """

    rule = "apart"
    REASONS = {
        "cluster": "another cluster",
        "key": "another key",
        "version": "another version",
    }

    def __init__(self, *args, misconfigured, agreement_ms):
        super().__init__(*args)
        self.misconfigured = {item.on: item for item in misconfigured}
        self.agreement_ms = agreement_ms
        self.awake = AwakeProcesses()
        # (misconfigured proxy, reason) -> None, once others have dropped its messages.
        self.dropped = {}
        # Name -> {proxy: since when it holds that name and is not alone}.
        self.holders = {}
        self.reported = {}
        # Name -> since when no proxy holds it.
        self.unheld_since = {item.claims: 0.0 for item in misconfigured if item.claims}

    def on_host(self, now, name, state):
        """Reset a proxy's process: a new one holds no name yet, and a resumed one may report outdated state."""
        self.awake.reset(name)
        for holders in self.holders.values():
            holders.pop(name, None)

    def on_truth(self, now, running, paused, cut, starting):
        """Check that some proxy holds each claimed name."""
        self.awake.update(now, running, paused, starting)
        for name in self.unheld_since:
            awake_since = [
                self.awake.since[proxy]
                for proxy in self.claimants(name)
                if proxy in self.awake.since
            ]
            if self.holders.get(name) or not awake_since:
                self.unheld_since[name] = now
            elif (
                now - max(self.unheld_since[name], min(awake_since)) > self.agreement_ms
            ):
                self.report_once(
                    now, f"nobody holds the name {name}, which a running one claims"
                )
        for holders in self.holders.values():
            for proxy in [proxy for proxy in holders if proxy not in running]:
                del holders[proxy]

    def claimants(self, name):
        """Return the proxies that are configured with a name, its rightful holder first."""
        return [
            name,
            *(
                proxy
                for proxy, item in self.misconfigured.items()
                if item.claims == name
            ),
        ]

    def on_believes(self, now, proxy, name, alone, dropped, members, **_):
        """Check that a name has one holder, and that misconfigured proxies and others do not know each other."""
        if proxy not in self.awake.since:
            return
        misconfiguration = self.misconfigured.get(proxy)
        holders = self.holders.setdefault(name, {})
        if alone:
            holders.pop(proxy, None)
        else:
            holders.setdefault(proxy, now)
        if len(holders) > 1 and now - sorted(holders.values())[1] > self.agreement_ms:
            self.report_once(
                now, f"{' and '.join(sorted(holders))} hold the name {name}"
            )
        if (
            misconfiguration is not None
            and not misconfiguration.claims
            and (
                misconfiguration.cluster
                or misconfiguration.key
                or misconfiguration.version
            )
        ):
            for other, state in members.items():
                if other != name:
                    self.report_once(now, f"{proxy} knows {other}")
        elif misconfiguration is None:
            for other, item in self.misconfigured.items():
                if other in members and not item.claims:
                    self.report_once(now, f"{proxy} knows {other}")
                for field, reason in self.REASONS.items():
                    if getattr(item, field) and dropped.get(reason):
                        self.dropped[other, reason] = None

    def report_once(self, now, what):
        """Report a breach, unless the same one was reported before."""
        if what not in self.reported:
            self.reported[what] = None
            self.report_breach(now, what)

    def finish(self, now):
        """Report misconfigured proxies whose messages no other proxy has dropped."""
        for name, item in self.misconfigured.items():
            for field, reason in self.REASONS.items():
                if getattr(item, field) and (name, reason) not in self.dropped:
                    self.report_breach(
                        now, f"nobody has dropped what {name} says as of {reason}"
                    )


class FaultEffectJudge(Judge):
    """Checks the script, not the program: a fault that affected nothing proves nothing."""

    rule = "none"

    def on_effect(self, now, do, on, count):
        """Report a fault that affected nothing."""
        if not count:
            self.report_breach(now, f"fault without effect: {do} on {on}")


class ConvergenceTimes(Judge):
    """Measures how long convergence takes, in ms, and reports no breaches.

    `agreed`: from a change of the truth (or the end of a partition or pause) until all views are equal. `first`, `all`:
    from a death until one proxy, and until all that run, have declared it.
    """

    def __init__(self):
        super().__init__([], {}, 0.0)
        self.awake = AwakeProcesses()
        self.running, self.paused, self.cut = [], [], []
        self.changed = None
        self.digests = {}
        self.deaths = {}  # name -> (when, {proxy that declared it: when})
        self.times_ms = {"agreed": [], "first": [], "all": []}

    def on_truth(self, now, running, paused, cut, starting):
        """Apply a sample of the truth."""
        self.awake.update(now, running, paused, starting)
        running = [name for name in running if name not in starting]
        if (running, paused, cut) != (self.running, self.paused, self.cut):
            self.running, self.paused, self.cut = running, paused, cut
            self.changed, self.digests = now, {}

    def on_host(self, now, name, state):
        """Record a death, or end it by the name's next process."""
        self.awake.reset(name)
        if state == "killed":
            self.deaths[name] = now, {}
        elif state == "up":
            self.deaths.pop(name, None)

    def on_believes(self, now, proxy, digest, **_):
        """Record the time until all views are equal."""
        if self.changed is None or self.paused or self.cut:
            return
        self.digests[proxy] = digest
        if (
            all(name in self.digests for name in self.running)
            and len(dict.fromkeys(self.digests[name] for name in self.running)) == 1
        ):
            self.times_ms["agreed"].append(round(now - self.changed))
            self.changed = None

    def on_log(self, now, node, event, **fields):
        """Record the time until a death is known to one proxy, and to all that were awake when it happened."""
        if (
            event != LogEvent.MEMBER_STATE_CHANGED
            or fields["state"] != "dead"
            or fields["peer"] not in self.deaths
        ):
            return
        died, declared = self.deaths[fields["peer"]]
        if not declared:
            self.times_ms["first"].append(round(now - died))
        declared.setdefault(node, now)
        witnesses = [
            name
            for name, since in self.awake.since.items()
            if since <= died and name not in self.deaths
        ]
        if all(name in declared for name in witnesses):
            self.times_ms["all"].append(round(now - died))
            del self.deaths[fields["peer"]]


def convergence_times(events):
    """Return the times until convergence and the largest sum of quotas, as plain data for the report."""
    times, quota_sum = ConvergenceTimes(), QuotaSumJudge([], {}, 0.0)
    for event in events:
        times.observe(*event)
        quota_sum.observe(*event)
    return {**times.times_ms, "largest_sum": round(quota_sum.largest_sum, 4)}
