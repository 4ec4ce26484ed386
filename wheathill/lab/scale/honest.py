"""Whether hollow proxies cost what real ones do: as many of each, told the same of their peers, at rest on the same
machine; the real ones are `wheathill daemon FILE`, and what one without peers needs is taken off."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from statistics import mean, median

from wheathill.config.errors import ConfigurationError
from wheathill.lab.scale import fleet
from wheathill.lab.scale.layout import Layout, free_net
from wheathill.lab.scale.memory import resident_mb
from wheathill.lab.scale.operators_file import operators_file
from wheathill.lab.worlds.processes import dies_with_the_lab
from wheathill.peers.control_client import call_control_socket

BASES = 4  # real ones without peers
WITHIN = 0.15
# Of the memory what is in use: the few hundred KB of thirty members are less than what a start takes and gives back.
HELD = ("messages_per_s", "bytes_per_s", "core_share", "memory_mb")
START = 30.0  # s for a daemon to answer, on a busy machine


class Real:
    """One daemon in a folder of its own. `told`: a `config.peers.PeerSettings`, or None for one without peers."""

    def __init__(self, folder, name, meant, told, key_path):
        self.control = os.path.join(folder, f"{name}.control")
        path = os.path.join(folder, f"{name}.toml")
        with open(path, "w") as out:
            out.write(
                operators_file(
                    name,
                    f"127.0.0.1:{free_port()}",
                    [{"name": "all"}],
                    [("s", "127.0.0.1:1", "ready")],
                    meant,
                    told,
                    key_path,
                    self.control,
                )
            )
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wheathill.lab.scale.telling", "daemon", path],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            preexec_fn=dies_with_the_lab,
            env={**os.environ, "TMPDIR": folder, "ALLOCATED": path + ".allocated"},
        )
        self.allocated = path + ".allocated"

    def cpu_s(self):
        """Of all its threads, by the scheduler's own count."""
        total = 0
        for thread in os.listdir(f"/proc/{self.process.pid}/task"):
            with open(f"/proc/{self.process.pid}/task/{thread}/schedstat") as stat:
                total += int(stat.read().split()[0])
        return total / 1e9

    def used_mb(self):
        self.process.send_signal(signal.SIGUSR1)
        until = time.monotonic() + START
        while not os.path.exists(self.allocated) and time.monotonic() < until:
            time.sleep(0.01)
        with open(self.allocated) as told:
            return float(told.read())

    def links(self):
        return call_control_socket(self.control, {})["links"]


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def real(members, seed, before, rest, say):
    """{figure: mean over the real ones} of those that the hollow ones are held against."""
    net, held = free_net(os.getpid() + 50)
    layout = Layout(members, 1, 1, net, seed, 1000.0, 300.0, 0, 0, False)
    reals = []
    with tempfile.TemporaryDirectory(prefix="scale") as folder, held:
        key_path = os.path.join(folder, "key")
        with open(
            key_path, "wb", opener=lambda path, flags: os.open(path, flags, 0o600)
        ) as out:
            out.write(layout.told(0).shared_key)
        try:
            for number in range(members + BASES):
                reals.append(
                    Real(
                        folder,
                        layout.name(number),
                        members,
                        layout.told(number) if number < members else None,
                        key_path,
                    )
                )
            peers = reals[:members]
            start = time.monotonic()
            await_all(peers, start + START)
            say(f"{members} real ones answer after {time.monotonic() - start:.1f} s")
            time.sleep(before)
            first, spent, began = (
                [one.links() for one in peers],
                [one.cpu_s() for one in reals],
                time.monotonic(),
            )
            time.sleep(rest)
            took = time.monotonic() - began
            used = [(one.cpu_s() - old) / took for one, old in zip(reals, spent)]
            last = [one.links() for one in peers]
            state = [call_control_socket(one.control, {})["state"] for one in peers]
            memory = [resident_mb(one.process.pid) for one in reals]
            in_use = [one.used_mb() for one in reals]
        finally:
            for one in reals:
                one.process.kill()
                one.process.wait()
    base = mean(used[members:])
    return {
        "messages_per_s": mean(
            (new["sent"] + new["taken"] - old["sent"] - old["taken"]) / took
            for old, new in zip(first, last)
        ),
        "bytes_per_s": mean(
            (new["bytes"] + new["bytes_in"] - old["bytes"] - old["bytes_in"]) / took
            for old, new in zip(first, last)
        ),
        "core_share": mean(used[:members]) - base,
        "memory_mb": mean(in_use[:members]) - median(in_use[members:]),
        "resident_mb": mean(memory[:members]) - median(memory[members:]),
        "agreed": state.count("agreed"),
        "base_core_share": base,
        "base_resident_mb": median(memory[members:]),
    }


def await_all(reals, until):
    waiting = list(reals)
    while waiting:
        try:
            waiting[-1].links()
            waiting.pop()
        except ConfigurationError:
            if time.monotonic() > until:
                raise ConfigurationError(
                    f"{len(waiting)} of the real proxies do not answer"
                ) from None
            time.sleep(0.2)


def hollow(members, seed, before, rest, processes, say):
    # What a run has before its rest is 0.3 of it.
    plan = fleet.Plan(
        members=members,
        zones=1,
        regions=1,
        seconds=before / 0.3,
        seed=seed,
        rest=rest,
        servers=0,
        changes=0,
        shaped=False,
        faults=False,
        zoned=False,
        processes=processes,
    )
    found = fleet.play(plan, say)
    return {
        **{name: found[name]["mean"] for name in (*HELD, "resident_mb")},
        "core_share_shared": found["core_share_shared"]["mean"],
        "agreed": found["agreed_at_rest"],
    }


def compare(members, seed, before, rest, processes, say):
    """Both at the same time, so that a busy machine is as busy for both."""
    with ThreadPoolExecutor(1) as pool:
        waited = pool.submit(hollow, members, seed, before, rest, processes, say)
        one = real(members, seed, before, rest, say)
        other = waited.result()
    apart = {name: other[name] / one[name] - 1.0 for name in (*HELD, "resident_mb")}
    return {
        "members": members,
        "seed": seed,
        "rest_s": rest,
        "real": one,
        "hollow": other,
        "apart": {name: round(value, 4) for name, value in apart.items()},
        "honest": all(abs(apart[name]) <= WITHIN for name in HELD),
    }
