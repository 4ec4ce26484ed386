"""The real proxy as a process, between stand-ins in processes of their own, all on this machine's loopback. Children
die with whoever holds the rig, whatever ends it."""

import json
import os
import resource
import select
import socket
import subprocess
import sys
import tempfile
import time

from wheathill.lab.scale import seen
from wheathill.lab.worlds.processes import dies_with_the_lab
from wheathill.lab.worlds.sockets import (
    LOOPBACK as HOST,
)  # of this process alone: no port of it is another's
from wheathill.lab.worlds.sockets import SPARE_FILES

DOORS = 4  # servers that one process stands in for
# What a proxy keeps back of its descriptors, and some: a connection takes two of the rest.
KEPT_BACK = 100


class Failed(Exception):
    pass


def most_connections():
    """That one proxy can hold here: two descriptors each, as far as the system lets one process have them."""
    return (resource.getrlimit(resource.RLIMIT_NOFILE)[1] - KEPT_BACK) // 2


class Stands:
    """A process of stand-ins (`ends`)."""

    def __init__(self):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wheathill.lab.scale.ends"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            preexec_fn=more_files,
        )
        self.pid = self.process.pid
        self.rest = b""

    def tell(self, command, **told):
        self.process.stdin.write(json.dumps({"do": command, **told}).encode() + b"\n")
        self.process.stdin.flush()

    def answer(self, within):
        until = time.monotonic() + within
        while b"\n" not in self.rest:
            left = until - time.monotonic()
            if left <= 0 or not select.select([self.process.stdout], [], [], left)[0]:
                raise Failed(f"no answer of stand-ins within {within:.0f} s")
            data = os.read(self.process.stdout.fileno(), 1 << 20)
            if not data:
                raise Failed("stand-ins ended")
            self.rest += data
        line, _, self.rest = self.rest.partition(b"\n")
        return json.loads(line)

    def close(self):
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()


def more_files():
    dies_with_the_lab(resource.getrlimit(resource.RLIMIT_NOFILE)[1])


def ask_all(stands, command, within=60.0, **told):
    for one in stands:
        one.tell(command, **told)
    return [one.answer(within) for one in stands]


class Proxy:
    """`python -m wheathill`, or another module that starts the same, told its list of servers by NODE_CONFIG."""

    def __init__(self, folder, name, servers, seed, module="wheathill", **env):
        self.config = os.path.join(folder, f"{name}.json")
        self.log = os.path.join(folder, f"{name}.log")
        files = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        self.at = HOST, free_port()
        with open(self.config, "w") as out:
            json.dump(
                configuration(name, self.at, servers, files - SPARE_FILES, seed), out
            )
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module],
                stdout=log,
                stderr=log,
                env={**os.environ, "NODE_CONFIG": self.config, **env},
                preexec_fn=more_files,
            )
        self.pid = self.process.pid
        self.logged("ready", 30.0)

    def logged(self, event, within):
        """The first line of that event, waited for."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            with open(self.log, "rb") as log:
                for line in log:
                    if (
                        line.endswith(b"\n")
                        and line.startswith(b"{")
                        and json.loads(line)["event"] == event
                    ):
                        return json.loads(line)
            if self.process.poll() is not None:
                break
            time.sleep(0.05)
        with open(self.log, "rb") as log:
            raise Failed(f"the proxy logged no {event!r}: {log.read()[-500:]!r}")

    def scheduled_s(self):
        return seen.scheduled_s(self.pid)

    def close(self):
        self.process.kill()
        self.process.wait()


def free_port():
    with socket.create_server((HOST, 0)) as sock:
        return sock.getsockname()[1]


def configuration(name, at, servers, files, seed):
    hosts = [
        {
            "host": f"server-{place}",
            "dial": "%s:%d" % tuple(where),
            "site": "x",
            "class": "m",
            "block": 1,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }
        for place, where in enumerate(servers)
    ]
    return {
        "name": name,
        "seed": f"{seed:x}",
        "listen": "%s:%d" % at,
        "discovery": False,
        "limits": {"sockets": files, "memory_mb": 2048},
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": {
            "listeners": [{"name": "any", "repeat": "retryable", "dialTimeoutS": 10.0}],
            "limits": {"maxDials": 3, "retryAfter": True, "maxRetryAfterS": 1.0},
            # Late answers here are the machine's: no server is held full, and no client moved, by them.
            "familyInfo": {"mode": "proxy", "groups": True, "messageAimS": [60.0]},
            "dcs": ["x"],
            "tenants": [],
            "obligations": {"drainGraceS": 0.5},
        },
    }


class Rig:
    """So many processes of servers and as many of clients, and the proxies that are started between them."""

    def __init__(self, processes, groups, seed):
        self.seed, self.groups = seed, groups
        self.folder = tempfile.TemporaryDirectory()
        self.proxies, self.stands = [], []
        try:
            self.servers = [self.stand() for _ in range(processes)]
            self.clients = [self.stand() for _ in range(processes)]
            self.listed = [
                where
                for found in ask_all(self.servers, "serve", doors=DOORS, host=HOST)
                for where in found["at"]
            ]
        except BaseException:
            self.close()
            raise

    def stand(self):
        one = Stands()
        self.stands.append(one)
        return one

    def proxy(self, **more):
        self.proxies.append(
            Proxy(
                self.folder.name,
                f"p{len(self.proxies)}",
                self.listed,
                self.seed,
                **more,
            )
        )
        return self.proxies[-1]

    def come(self, proxy, count, rate, clients=None, within=120.0):
        """So many clients more at a proxy, by `rate` a second. What each process of them answers, once all are up."""
        clients = clients or self.clients
        for place, one in enumerate(clients):
            part = count // len(clients) + (place < count % len(clients))
            one.tell(
                "come",
                proxy=proxy.at,
                count=part,
                rate=rate / len(clients),
                groups=self.groups,
                name=f"c{one.pid}",
                seed=self.seed + place,
            )
        return [one.answer(within + count / rate) for one in clients]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        for one in (*self.proxies, *self.stands):
            one.close()
        self.folder.cleanup()
