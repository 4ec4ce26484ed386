"""The real proxies of a fleet under test, as their parent has them: a process each (`member`), with stand-ins at both
ends of their sessions (`visits`). They die with this process, as the hollow ones."""

import asyncio
import os
import tempfile
from dataclasses import asdict

from wheathill.lab.scale import judge
from wheathill.lab.scale.crew import ask, begin, end
from wheathill.lab.scale.layout import SEEDS

STEADY = 4  # servers that no change is about
GRACE = 0.5  # s, as by a file that doesn't say


def numbers(members, zones, real):
    """Which members are real ones: after the seeds, over the zones in turn."""
    first = max(0, min(SEEDS * zones, members - real))
    return list(range(first, first + real))


class Reals:
    def __init__(self, layout, numbers, sessions):
        self.layout, self.numbers, self.sessions = layout, numbers, sessions
        self.workers = {}  # number -> its process, while it runs
        self.past = []  # what those that were killed had shown
        self.starts = {}  # number -> when each of its processes started, the fleet's ms
        self.visits = None
        self.region, self.out = None, False
        self.folder = None

    async def begin(self, rate, loss, shaped, sockets):
        if not self.numbers:
            return
        self.folder = tempfile.TemporaryDirectory(prefix="scale")
        self.key_path = os.path.join(self.folder.name, "key")
        with open(
            self.key_path, "wb", opener=lambda path, flags: os.open(path, flags, 0o600)
        ) as out:
            out.write(self.layout.told(0).shared_key)
        self.told = {
            "layout": asdict(self.layout),
            "rate": rate,
            "loss": loss,
            "shaped": shaped,
            "sockets": sockets,
            "key_path": self.key_path,
        }
        self.visits = await begin("visits")
        names = [
            *(f"change-{change}" for change in range(self.layout.changes)),
            *(f"steady-{number}" for number in range(STEADY)),
        ]
        listed = await ask(
            self.visits,
            {
                "do": "build",
                "rate": rate,
                "servers": names,
                "host": self.layout.stands(),
                "seed": self.layout.seed,
            },
        )
        self.servers = [(name, where, "ready") for name, where in zip(names, listed)]
        await asyncio.gather(*(self.build(number) for number in self.numbers))

    async def build(self, number):
        folder = os.path.join(self.folder.name, self.layout.name(number))
        os.makedirs(folder, exist_ok=True)
        worker = self.workers[number] = await begin("member", TMPDIR=folder)
        await ask(
            worker,
            {
                "do": "build",
                "number": number,
                "region": self.region,
                "out": self.out,
                "servers": self.servers,
                "path": os.path.join(folder, "file.toml"),
                **self.told,
            },
        )

    async def all(self, do, **order):
        """The answers of all that run."""
        return await asyncio.gather(
            *(ask(worker, {"do": do, **order}) for worker in self.workers.values())
        )

    async def of(self, do, number, **order):
        return await ask(self.workers[number], {"do": do, "number": number, **order})

    # Their lives

    async def start(self, known):
        started = await self.all("start", process=1, wait=1.0, together=known)
        self.starts = {number: [when] for number, when in zip(self.workers, started)}

    async def receive(self):
        """Visitors come from now on."""
        if self.visits and self.sessions:
            await self.ready(self.workers.values())
            await ask(
                self.visits,
                {
                    "do": "begin",
                    "sessions": self.sessions,
                    "proxies": {
                        number: self.layout.door(number) for number in self.workers
                    },
                },
            )

    async def cut(self, region, out):
        self.region, self.out = region, out
        return await self.all("cut", region=region, out=out)

    async def kill(self, numbers):
        """By SIGKILL; the system closes what they have open."""
        if not numbers:
            return
        await ask(self.visits, {"do": "down", "numbers": numbers})
        self.past += await asyncio.gather(*(self.of_last(number) for number in numbers))

    async def of_last(self, number):
        worker = self.workers.pop(number)
        shown = await ask(worker, {"do": "last"})
        await end([worker])
        return shown

    async def come_back(self, number, process):
        """Another process under this name; its visitors come as soon as clients are taken in."""
        await self.build(number)
        worker = self.workers[number]
        self.starts[number].append(
            await ask(worker, {"do": "start", "process": process, "wait": 0.0})
        )
        await self.ready([worker])
        await ask(self.visits, {"do": "up", "numbers": [number]})

    @staticmethod
    async def ready(workers):
        for worker in workers:
            while not await ask(worker, {"do": "ready"}):
                await asyncio.sleep(0.02)

    async def end(self):
        await end([*self.workers.values(), *([self.visits] if self.visits else [])])
        if self.folder:
            self.folder.cleanup()

    # What they showed

    async def judged(self, changes, since, cut, within):
        """What visitors and servers saw; `changes` as `judge.changes_in_force`; `since(ms)`: the fleet's seconds."""
        found = await ask(self.visits, {"do": "judged"})
        opens = [(server, proxy, since(when)) for server, proxy, when in found["opens"]]
        starts = {
            number: [since(when) for when in told]
            for number, told in self.starts.items()
        }
        ways, by_proxy = {}, found["by_proxy"]
        for told in by_proxy.values():
            for how, count in told.items():
                ways[how] = ways.get(how, 0) + count
        return {
            "sessions": ways,
            "lines": found["lines"],
            "open_at_end": found["open"],
            "up_after_ms": judge.spread(found["took_ms"], 2),
            "fewest_up_at_one": min(
                by_proxy.get(str(number), {}).get("up", 0) for number in self.numbers
            ),
            **judge.opened_anew(opens, changes, starts, cut, within + GRACE),
            "still_at_drained": sum(
                found["still"].get(server, 0) for server in changes
            ),
            "faults": found["counts"],
        }
