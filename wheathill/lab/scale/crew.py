"""The processes of hollow proxies, as their parent has them: orders go to all of them or to the one of a member. They
die with this process, whatever ends it, by the system's parent-death signal."""

import asyncio
import json
import os
import sys
from dataclasses import asdict

from wheathill.lab.worlds.processes import dies_with_the_lab


class Lost(Exception):
    """A process of the fleet has ended, or answers that it failed; the text says how."""


async def begin(module, **env):
    """A process of `wheathill.lab.scale.MODULE`, which takes orders."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"wheathill.lab.scale.{module}",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=2**27,
        preexec_fn=dies_with_the_lab,
        env={**os.environ, "PYTHONHASHSEED": "0", **env},
    )


async def ask(worker, order):
    worker.stdin.write(json.dumps(order).encode() + b"\n")
    line = await worker.stdout.readline()
    if not line:
        raise Lost(f"a process of the fleet ended with {await worker.wait()}")
    answer = json.loads(line)
    if "wrong" in answer:
        raise Lost(f"{order.get('do')}: {answer['wrong']}")
    return answer["answer"]


async def end(workers):
    for worker in workers:
        if worker.returncode is None:
            worker.kill()
    for worker in workers:
        await worker.wait()


class Crews:
    """Some members have a process of their own: what shares one can't be told apart from the others by its memory, nor by
    its processor time from what it costs to wake a process up. One process more has none, and is what is taken off.
    `real`: numbers of members that are not hollow ones."""

    ALONE, ENOUGH = 8, 30  # so many, where there are so many members

    def __init__(self, layout, processes, real=()):
        self.layout = layout
        hollow = [number for number in range(layout.members) if number not in real]
        self.alone = self.ALONE if len(hollow) >= self.ENOUGH else 0
        shared = hollow[: len(hollow) - self.alone]
        processes = min(processes, len(shared))
        # Neighbours are in different processes: each has of every zone.
        self.numbers = (
            [[number] for number in hollow[len(shared) :]]
            + [shared[first::processes] for first in range(processes)]
            + [[]]
        )
        self.place = {
            number: place
            for place, numbers in enumerate(self.numbers)
            for number in numbers
        }
        self.workers = []

    async def begin(self, rate, loss, shaped, sockets):
        for _ in self.numbers:
            self.workers.append(await begin("hollow"))
        return await asyncio.gather(
            *(
                ask(
                    worker,
                    {
                        "do": "build",
                        "layout": asdict(self.layout),
                        "numbers": numbers,
                        "rate": rate,
                        "loss": loss,
                        "shaped": shaped,
                        "sockets": sockets,
                        "prompt": place < self.alone or not numbers,
                    },
                )
                for place, (worker, numbers) in enumerate(
                    zip(self.workers, self.numbers)
                )
            )
        )

    async def all(self, do, **order):
        """The answers of all processes."""
        return await asyncio.gather(
            *(ask(worker, {"do": do, **order}) for worker in self.workers)
        )

    async def each(self, do, numbers, **order):
        """Each process is told of those of `numbers` that are its own; the answers of those that have any."""
        parts = [[] for _ in self.workers]
        for number in numbers:
            parts[self.place[number]].append(number)
        return await asyncio.gather(
            *(
                ask(worker, {"do": do, "numbers": part, **order})
                for worker, part in zip(self.workers, parts)
                if part
            )
        )

    async def start(self, known):
        """All of them; where they know each other from the start, those with a process of their own (or of the first
        process) as fully as after a while."""
        return await asyncio.gather(
            *(
                ask(
                    worker,
                    {
                        "do": "start",
                        "numbers": numbers,
                        "together": known,
                        "full": known and place < max(1, self.alone),
                    },
                )
                for place, (worker, numbers) in enumerate(
                    zip(self.workers, self.numbers)
                )
            )
        )

    async def of(self, do, number, **order):
        return await ask(
            self.workers[self.place[number]], {"do": do, "number": number, **order}
        )

    async def end(self):
        await end(self.workers)
