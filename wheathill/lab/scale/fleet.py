"""One run of a fleet of hollow and real proxies: it starts, rests, is measured, meets faults and is judged.

All times are the fleet's own seconds; `rate` says how many of the machine's go into one.
"""

import asyncio
import os
import random
import time
from dataclasses import dataclass

from wheathill.config.errors import ConfigurationError
from wheathill.lab.scale import judge
from wheathill.lab.scale.crew import Crews, Lost
from wheathill.lab.scale.layout import Layout, free_net, region_of, zone_of
from wheathill.lab.scale.reals import GRACE, Reals
from wheathill.lab.scale.reals import numbers as real_numbers
from wheathill.log_events import LogEvent

WITHIN = 6.0  # s for a change to be in force, and for a death to be known
RACK = 20  # one in so many of a zone
TENTHS = 10  # of a release
BACK = 2.0  # s until a process that was restarted is there again
RELEASED = 1.0  # the same where a release restarts it
ROUNDING = 1e-6


@dataclass(frozen=True)
class Plan:
    """What is asked for; see `lab scale fleet --help`."""

    members: int
    zones: int
    regions: int
    seconds: float
    seed: int = 1
    loss: float = 0.0
    cut: str | None = None
    cut_out: str | None = None
    kill_zone: str | None = None
    rack: str | None = None
    deaths: int = 1
    churn: int = 0
    changes: int = 3
    processes: int | None = None
    period: float = 1000.0
    patience: float = 300.0
    rate: float = 1.0
    servers: int = 64
    known: bool = False
    zoned: bool | None = None
    shaped: bool = True
    one_way: bool = False
    rest: float | None = None
    faults: bool = True
    sockets: int = 1024
    real: int = 0  # of the members
    sessions: float = 2.0  # a second at each real one
    release: float | None = None  # s that a tenth is waited for at the most


class Fleet:
    def __init__(self, plan, say=lambda text: None):
        if plan.regions > plan.zones or plan.zones > plan.members:
            raise ConfigurationError(
                "--zones: must be as many as --regions at the least, and --members as --zones"
            )
        if plan.real >= plan.members:
            raise ConfigurationError("--real: must be fewer than --members")
        self.plan, self.say = plan, say
        net, self.held = free_net(os.getpid())
        ways = (1.0, 5.0, 80.0, 200.0) if plan.one_way else Layout.ways
        self.layout = Layout(
            plan.members,
            plan.zones,
            plan.regions,
            net,
            plan.seed,
            plan.period,
            plan.patience,
            plan.servers,
            plan.changes,
            plan.zones > 1 if plan.zoned is None else plan.zoned,
            ways,
        )
        if plan.cut is not None and plan.cut_out is not None:
            raise ConfigurationError(
                "--cut-out: there is one cut at a time, and --cut asks for another"
            )
        self.out = plan.cut_out is not None
        self.region = self.zone = self.rack = None
        if plan.cut is not None or self.out:
            cut, option = (
                (plan.cut_out, "--cut-out") if self.out else (plan.cut, "--cut")
            )
            self.region = region_of(cut, self.layout, option)
        if plan.kill_zone is not None:
            self.zone = zone_of(plan.kill_zone, self.layout)
        if plan.rack is not None:
            self.rack = zone_of(plan.rack, self.layout, "--rack")
        self.rng = random.Random(f"{plan.seed}/faults")
        processes = plan.processes or min(os.cpu_count() or 1, -(-plan.members // 8))
        real = real_numbers(plan.members, plan.zones, plan.real)
        self.crews = Crews(self.layout, processes, real)
        self.reals = Reals(self.layout, real, plan.sessions)
        self.starts = {number: 1 for number in range(plan.members)}  # of those that run
        self.gone, self.changes = {}, {}
        self.spared = self.issuer = (
            None  # told of changes, so not killed but by a release
        )
        self.cut = judge.Cut(self.layout, None, 0.0, 0.0)
        self.shown = []  # what `judge_now` found: before a release, which ends all that ran, and at the end
        self.settled = 0.0  # all that was done has had its time by then
        self.found = {}

    # Time

    def now(self):
        """s since the start, in the fleet's time."""
        return time.monotonic() / self.plan.rate - self.began

    def since(self, ms):
        """Of a time that a process tells."""
        return ms / 1000 - self.began

    async def until(self, when):
        await asyncio.sleep(max(0.0, (when - self.now()) * self.plan.rate))

    # Members of both kinds

    async def every(self, do, **order):
        """The answers of all processes that have members."""
        return await self.crews.all(do, **order) + await self.reals.all(do, **order)

    def owner(self, number):
        return self.reals if number in self.reals.numbers else self.crews

    # The run

    async def play(self):
        plan = self.plan
        try:
            await self.crews.begin(plan.rate, plan.loss, plan.shaped, plan.sockets)
            await self.reals.begin(plan.rate, plan.loss, plan.shaped, plan.sockets)
            self.say(
                f"{plan.members - plan.real} hollow proxies in {len(self.crews.workers) - 1} processes, "
                f"{plan.real} real ones, zones {'told' if self.layout.zoned else 'not told'}"
            )
            idle = await self.crews.all("figures")
            await asyncio.sleep(1.0)
            self.idle = [
                (after["cpu_s"] - before["cpu_s"])
                / (after["now"] - before["now"])
                * 1000
                for before, after in zip(idle, await self.crews.all("figures"))
            ]
            self.began = time.monotonic() / plan.rate
            await asyncio.gather(
                self.crews.start(plan.known), self.reals.start(plan.known)
            )
            self.found["started_s"] = round(self.now(), 2)
            if plan.known:
                self.began = time.monotonic() / plan.rate
            await self.reals.receive()
            await self.settle()
            await self.rest()
            if plan.faults:
                await self.faults()
                if plan.release is not None:
                    await self.release()
                await self.until(max(plan.seconds, self.settled))
            return await self.judged()
        finally:
            await self.crews.end()
            await self.reals.end()
            self.held.close()

    def expected(self):
        """How many a member of each zone is to know."""
        layout = self.layout
        if not layout.zoned:
            return [len(self.starts)] * layout.zones
        return [
            sum(layout.zone(number) == zone for number in self.starts)
            for zone in range(layout.zones)
        ]

    async def sight(self):
        found = {}
        for each in await self.every("sight", names=self.expected()):
            for key, count in each.items():
                found[key] = found.get(key, 0) + count
        return found

    async def settle(self):
        """Until all know each other, or for 0.3 of the run."""
        self.found["settled_s"] = self.found["agreed_s"] = None
        while True:
            sight = await self.sight()
            now = round(self.now(), 2)
            if sight.get("know all") == len(self.starts):
                if self.found["settled_s"] is None:
                    self.found["settled_s"] = now
                    self.say(f"all know each other after {now} s")
                if sight.get("agreed") == len(self.starts):
                    self.found["agreed_s"] = now
                    break
            if now >= 0.3 * self.plan.seconds:
                break
            await self.until(min(self.now() + 0.5, 0.3 * self.plan.seconds))
        self.found["know_all_at_rest"], self.found["agreed_at_rest"] = (
            sight.get("know all", 0),
            sight.get("agreed", 0),
        )
        await self.until(0.3 * self.plan.seconds)

    async def rest(self):
        plan = self.plan
        if self.found["settled_s"] is None:
            self.say("they do not all know each other: what follows is not at rest")
        before, real_before = (
            await self.crews.all("figures"),
            await self.reals.all("figures"),
        )
        await self.until(self.now() + (plan.rest or 0.2 * plan.seconds))
        after, real_after = (
            await self.crews.all("figures"),
            await self.reals.all("figures"),
        )
        took, bytes_s, messages_s, share, alone = [], [], [], [], []
        spent = [
            (other["cpu_s"] - one["cpu_s"]) / (other["now"] - one["now"]) * 1000
            for one, other in zip(before, after)
        ]
        for place, (one, other, idle) in enumerate(zip(before, after, self.idle)):
            seconds = (other["now"] - one["now"]) / 1000
            took.append(seconds)
            # Beside those that are alone, and in the process without members, runs a proxy without sessions.
            idle = spent[-1] if place < self.crews.alone else idle
            each = max(0.0, spent[place] - idle) / max(1, len(other["members"]))
            for number, (sent, taken, out, come) in other["members"].items():
                old = one["members"][number]
                bytes_s.append((out + come - old[2] - old[3]) / seconds)
                messages_s.append((sent + taken - old[0] - old[1]) / seconds)
                (alone if place < self.crews.alone else share).append(each)
        *memory, nobody = await self.crews.all("memory")
        if self.crews.alone:
            memory = memory[: self.crews.alone]
            each = [found["all"] - nobody["all"] for found in memory]
        else:
            each = [
                (found["all"] - found["empty"]) / found["members"] for found in memory
            ]
        used = [(found["used"] - nobody["used"]) / found["members"] for found in memory]
        self.found |= {
            "bytes_per_s": judge.spread(bytes_s, 1),
            "messages_per_s": judge.spread(messages_s, 2),
            "core_share": judge.spread(alone or share, 6),
            "core_share_shared": judge.spread(share, 6),
            "memory_mb": judge.spread(used, 4),
            "resident_mb": judge.spread(each, 3),
            "rest_s": round(max(took), 2),
            "late_ms": round(max(found["late_ms"] for found in after + real_after), 1),
        }
        if self.plan.real:
            self.found["real"] = self.real_at_rest(
                real_before, real_after, await self.reals.all("memory")
            )
        self.say(
            f"at rest: {self.found['bytes_per_s']['p50']} bytes/s, "
            f"{100 * self.found['core_share']['mean']:.3f}% of a core "
            f"({100 * self.found['core_share_shared']['mean']:.3f}% where they share processes), "
            f"{self.found['memory_mb']['p50']} MB each"
        )

    @staticmethod
    def real_at_rest(before, after, memory):
        """What the control part said, as of a hollow one; processor and memory are those of the whole process."""
        bytes_s, messages_s, core = [], [], []
        for one, other in zip(before, after):
            seconds = (other["now"] - one["now"]) / 1000
            core.append((other["cpu_s"] - one["cpu_s"]) / seconds)
            (old,), (new,) = one["members"].values(), other["members"].values()
            messages_s.append((new[0] + new[1] - old[0] - old[1]) / seconds)
            bytes_s.append((new[2] + new[3] - old[2] - old[3]) / seconds)
        return {
            "bytes_per_s": judge.spread(bytes_s, 1),
            "messages_per_s": judge.spread(messages_s, 2),
            "core_share_with_sessions": judge.spread(core, 5),
            "resident_mb_whole": judge.spread([found["all"] for found in memory], 2),
        }

    async def faults(self):
        plan, first, each = self.plan, self.now(), self.plan.seconds
        spared = self.rng.randrange(plan.members)
        while self.zone is not None and self.layout.zone(spared) == self.zone:
            spared = self.rng.randrange(plan.members)
        others = [number for number in range(plan.members) if number != spared]
        deaths = self.rng.sample(others, min(plan.deaths, len(others)))
        # A real one is among those that die, each second one restarted is one, and one is told of a change itself.
        real = [
            number
            for number in self.reals.numbers
            if number in others
            and (self.zone is None or self.layout.zone(number) != self.zone)
        ]
        self.rng.shuffle(real)
        issuer = real.pop() if real else spared
        self.spared, self.issuer = spared, issuer
        others = [number for number in others if number != issuer]
        deaths = [number for number in deaths if number != issuer]
        if real and deaths:
            deaths[0] = real.pop()
        planned = [(first + 0.02 * each, self.kill, deaths)]
        if self.zone is not None:
            planned.append(
                (
                    first + 0.04 * each,
                    self.kill,
                    [
                        number
                        for number in others
                        if self.layout.zone(number) == self.zone
                    ],
                )
            )
        if self.rack is not None:
            # Those that die are there until then.
            near = [
                number for number in others if self.layout.zone(number) == self.rack
            ]
            planned.append(
                (
                    first + 0.01 * each,
                    self.kill,
                    self.rng.sample(near, max(2, -(-len(near) // RACK))),
                )
            )
        if self.region is not None:
            # Long enough in a minute for both sides to hold each other for dead.
            planned += [
                (first + 0.03 * each, self.set_cut, True),
                (first + 0.28 * each, self.set_cut, False),
            ]
        for turn in range(plan.churn):
            when, number = (
                first + self.rng.uniform(0.0, 0.25) * each,
                self.rng.choice(others),
            )
            planned.append(
                (when, self.restart, real.pop() if real and turn % 2 == 0 else number)
            )
        for change in range(plan.changes - (plan.release is not None)):
            # At first, amid what goes wrong, and after it.
            when = first + 0.30 * each * change / max(1, plan.changes - 1)
            number = issuer if change == plan.changes - 1 else spared
            planned.append(
                (
                    min(when, max(first, each - WITHIN - 1.0)),
                    self.change,
                    (number, change),
                )
            )
        while planned:
            planned.sort(key=lambda item: item[0])
            when, call, told = planned.pop(0)
            await self.until(when)
            if back := await call(told):
                planned.append((self.now() + BACK, *back))
        self.found["last_fault_s"] = round(self.now(), 2)
        self.found["views_right_s"] = None
        if right := await self.until_right(each):
            self.found["views_right_s"] = round(right - self.found["last_fault_s"], 2)

    async def until_right(self, end):
        """When all views are found right; None where they are not by then."""
        while self.now() < end:
            views = await self.views()
            if views["right"] == len(self.starts):
                return self.now()
            # To look at all costs the machine's time, whatever the fleet's.
            await self.until(
                min(
                    end, self.now() + max(0.5, self.plan.members / 200 / self.plan.rate)
                )
            )
        return None

    async def kill(self, numbers):
        numbers = [number for number in numbers if number in self.starts]
        told = await self.every(
            "gone", names=[self.layout.name(number) for number in numbers]
        )
        await self.stop(numbers)
        for number in numbers:
            del self.starts[number]
            self.gone[number] = self.since(max(told))
        self.say(f"{self.now():.1f} s: {len(numbers)} killed")

    async def stop(self, numbers):
        """As SIGKILL."""
        await self.crews.each(
            "kill", [number for number in numbers if self.owner(number) is self.crews]
        )
        await self.reals.kill(
            [number for number in numbers if self.owner(number) is self.reals]
        )

    async def restart(self, number):
        if number in self.starts:
            await self.stop([number])
            start = self.starts.pop(number)
            return self.come_back, {number: start + 1}

    async def come_back(self, starts):
        """`starts`: how many processes have run under each name, the new one with them."""
        hollow = [number for number in starts if self.owner(number) is self.crews]
        await asyncio.gather(
            self.crews.each("start", hollow),
            *(
                self.reals.come_back(number, start)
                for number, start in starts.items()
                if number not in hollow
            ),
        )
        self.starts |= starts
        self.found["restarts"] = self.found.get("restarts", 0) + len(starts)

    async def set_cut(self, on):
        region = self.region if on else None
        told = self.since(
            max(
                await self.crews.all("cut", region=region, out=self.out)
                + await self.reals.cut(region, self.out)
            )
        )
        if on:
            self.cut = judge.Cut(self.layout, self.region, told, float("inf"), self.out)
        else:
            self.cut.ended = told
        self.say(f"{told:.1f} s: r{self.region + 1} is {'cut off' if on else 'back'}")

    async def release(self):
        """Each that runs is restarted once, a tenth at a time; the next tenth when all views are right, or after the
        stated time. The last change is told amid it, to one that comes last."""
        await self.judge_now()
        last = [
            number
            for number in dict.fromkeys((self.spared, self.issuer))
            if number in self.starts
        ]
        numbers = [number for number in self.starts if number not in last]
        self.rng.shuffle(numbers)
        numbers += last
        share, found = -(-len(numbers) // TENTHS), []
        for tenth in range(TENTHS):
            part = numbers[tenth * share : (tenth + 1) * share]
            if not part:
                break
            before = await self.every("figures")
            began = self.now()
            await self.stop(part)
            back = {number: self.starts.pop(number) + 1 for number in part}
            if tenth == TENTHS // 2 - 1 and self.plan.changes:
                await self.change((self.issuer, self.plan.changes - 1))
            await self.until(began + RELEASED)
            await self.come_back(back)
            right = await self.until_right(began + self.plan.release)
            found.append(
                {
                    "members": len(part),
                    "right_after_s": right and round(right - began, 2),
                    "bytes_per_s": self.bytes_of(
                        before, await self.every("figures"), part
                    ),
                }
            )
            self.say(
                f"{self.now():.1f} s: {len(part)} released, "
                + ("all views right" if right else "not all views are right")
            )
        self.settled = self.now() + WITHIN + 1.0
        took = [each["right_after_s"] for each in found]
        self.found["release"] = {
            "tenths": len(found),
            "restarted": sum(each["members"] for each in found),
            "waited_out": took.count(None),
            "right_after_s": judge.spread([each for each in took if each], 2),
            "bytes_per_s_middle": judge.spread(
                [each["bytes_per_s"]["p50"] for each in found], 1
            ),
            "bytes_per_s_most": max(each["bytes_per_s"]["max"] for each in found),
        }

    def bytes_of(self, before, after, restarted):
        """Bytes a second of those that ran all the while."""
        old = {
            int(number): (found["now"], told)
            for found in before
            for number, told in found["members"].items()
        }
        rates = []
        for found in after:
            for number, told in found["members"].items():
                if int(number) in old and int(number) not in restarted:
                    since, one = old[int(number)]
                    rates.append(
                        (told[2] + told[3] - one[2] - one[3])
                        / (found["now"] - since)
                        * 1000
                    )
        return judge.spread(rates, 1)

    async def change(self, told):
        number, change = told
        when = await self.owner(number).of("change", number, change=change)
        self.changes[f"change-{change}"] = number, self.since(when)

    async def views(self):
        generations = {
            self.layout.name(number): self.layout.generation(number, start)
            for number, start in self.starts.items()
        }
        parts = await self.every("views", generations=generations)
        return {
            "right": sum(part["right"] for part in parts),
            "wrong": [one for part in parts for one in part["wrong"]],
        }

    # What it showed

    async def judge_now(self):
        """Changes and deaths, by those that run now; returns what all processes showed."""
        layout, end = self.layout, self.now()
        parts = await self.every("judged")
        told = {
            int(number): {server: self.since(when) for server, when in found.items()}
            for part in parts
            for number, found in part["told"].items()
        }
        began = {
            int(number): self.since(when)
            for part in parts
            for number, when in part["began"].items()
        }
        known = {
            (layout.number(member), layout.number(dead)): self.gone[layout.number(dead)]
            + took / 1000
            for part in parts
            for member, dead, took in part["known"]
        }
        real = {
            number: start
            for number, start in began.items()
            if number in self.reals.numbers
        }
        took, never = judge.deaths_known(
            known,
            self.gone,
            began,
            self.cut,
            lambda one, other: (
                not layout.zoned or layout.zone(one) == layout.zone(other)
            ),
        )
        self.shown.append(
            {
                "all": judge.changes_in_force(
                    self.changes, told, began, self.cut, end, WITHIN
                ),
                "real": judge.changes_in_force(
                    self.changes, told, real, self.cut, end, WITHIN
                ),
                "deaths": took,
                "never": never,
            }
        )
        return parts

    def force(self, of):
        """Of all changes, `of` "all" or "real" ones."""
        shown = [each[of] for each in self.shown]
        return {
            "change_in_force_s": judge.spread(
                [took for each in shown for took in each["in_force"]], 3
            ),
            "changes_late": sum(len(each["late"]) for each in shown),
            "changes_late_first": [late for each in shown for late in each["late"]][:5],
            "changes_open": sum(each["open"] for each in shown),
            "not_reached": len(
                dict.fromkeys(number for each in shown for number in each["lacked"])
            ),
        }

    async def judged(self):
        plan, layout = self.plan, self.layout
        views = await self.views()
        parts = await self.judge_now()
        counts, shaped = {}, {}
        for part in parts + self.reals.past:
            for total, here in ((counts, part["counts"]), (shaped, part["shaped"])):
                for key, count in here.items():
                    total[key] = total.get(key, 0) + count
        found = {
            "members": plan.members,
            "zones": plan.zones,
            "regions": plan.regions,
            "seconds": plan.seconds,
            "seed": plan.seed,
            "loss": plan.loss,
            "cut": plan.cut,
            "cut_out": plan.cut_out,
            "kill_zone": plan.kill_zone,
            "rack": plan.rack,
            "churn": plan.churn,
            "rate_of_time": plan.rate,
            "period_ms": plan.period,
            "patience_ms": plan.patience,
            "servers_seen": plan.servers,
            "processes": len(self.crews.workers) - 1,
            "zoned": layout.zoned,
            "start": "all known" if plan.known else "together",
            "one_way_ms": list(layout.ways) if plan.shaped else None,
            **self.found,
            **self.force("all"),
            "changes": len(self.changes),
            "death_known_s": judge.spread(
                [took for each in self.shown for took in each["deaths"]], 3
            ),
            "deaths": len(self.gone),
            "deaths_not_known": sum(each["never"] for each in self.shown),
            "largest_sum_of_shares": round(
                judge.largest_sum(
                    item for part in parts + self.reals.past for item in part["shares"]
                ),
                6,
            ),
            "views_right": views["right"],
            "views_wrong": views["wrong"][:5],
            "running": len(self.starts),
            "told_otherwise": counts.pop("told with another content", 0),
            "shaped": shaped,
            "counts": counts,
        }
        if plan.real:
            found["real"] = {
                "members": plan.real,
                "running": len(self.reals.workers),
                **found["real"],
                **self.force("real"),
                "processes_started": sum(map(len, self.reals.starts.values())),
                **await self.reals.judged(self.changes, self.since, self.cut, WITHIN),
            }
        found["breaches"] = list(self.breaches(found))
        return found

    def breaches(self, found):
        if found["late_ms"] > self.plan.patience * self.plan.rate:
            yield f"the machine was too busy: alarms were {found['late_ms']:.0f} ms late at rest"
        if found["largest_sum_of_shares"] > 1.0 + ROUNDING:
            yield f"shares summed to {found['largest_sum_of_shares']}"
        if found["told_otherwise"]:
            yield f"{found['told_otherwise']} were told of a change again with another content"
        if found["not_reached"]:
            yield f"{found['not_reached']} members lacked a change {WITHIN:g} s after they could have had it"
        if found["changes_late"]:
            yield f"{found['changes_late']} times a change was in force later than {WITHIN:g} s"
        if self.plan.faults and found["views_right"] != found["running"]:
            yield f"views of {found['running'] - found['views_right']} members are wrong at the end"
        if found["deaths_not_known"]:
            yield f"{found['deaths_not_known']} times a death was not known at the end"
        faults = [
            key for key in found["counts"] if key.startswith(LogEvent.INTERNAL_ERROR)
        ]
        if faults:
            yield f"faults in the program: {faults}"
        yield from self.session_breaches(found.get("real"))
        if (
            self.plan.faults
            and self.region is not None
            and not found["shaped"].get("datagrams cut off")
        ):
            yield "fault without effect: the cut stopped nothing"
        if (
            self.plan.loss
            and self.plan.shaped
            and not found["shaped"].get("datagrams lost")
        ):
            yield "fault without effect: nothing was lost"

    def session_breaches(self, real):
        if not real or not self.plan.sessions:
            return
        ways = real["sessions"]
        if real["opened_anew"]:
            yield f"{real['opened_anew']} sessions were opened at a server {WITHIN + GRACE:g} s after its drain"
        for how in ("broken", "failed", "answered out of order"):
            if ways.get(how):
                yield f"{ways[how]} sessions at real proxies that ran: {how}"
        if not real["fewest_up_at_one"]:
            yield "a real proxy had no session"
        if real["faults"]:
            yield f"faults of the stand-ins: {real['faults']}"
        if self.plan.faults and real["never_in_use"]:
            yield f"fault without effect: no session had been at {', '.join(real['never_in_use'])} before its drain"


def play(plan, say=lambda text: None):
    """The object that `--json` keeps. Raises ConfigurationError."""
    try:
        return asyncio.run(Fleet(plan, say).play())
    except Lost as wrong:
        raise ConfigurationError(str(wrong)) from None
