"""The one helper: drives a Balancer by hand, or a started proxy over sockets, and writes down what it
does as lines.

A trace is compared with the file of its name in tests/traces; `python tests/drive.py` writes
those files anew, for a person to read before they are kept.
"""

import importlib
import json
import os
import pathlib
import random
import re
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import replace

from wheathill.log_events import LogEvent
from wheathill.model import (
    AttemptOutcome,
    EndpointEntry,
    Listener,
    Phase,
    Server,
    Session,
    UpdateKind,
)
from wheathill.policy.balancer import Balancer
from wheathill.policy.settings import (
    EndpointListSettings,
    LoadEstimatorSettings,
    PolicySettings,
    SlowStartSettings,
)
from wheathill.simulator.timer_names import decode_timer, encode_timer

TRACES = pathlib.Path(__file__).parent / "traces"
USUAL = PolicySettings(
    proxy_count=2,
    may_probe=True,
    is_passthrough=True,
    max_attempts=3,
    max_retry_after_ms=1000.0,
    load_estimator=LoadEstimatorSettings(report_fields=["x0"]),
    endpoint_list=EndpointListSettings(drain_grace_ms=500.0, uses_weights=True),
    slow_start=SlowStartSettings(
        initial_share=0.2, duration_ms=10_000.0, rate_multiple=3.0
    ),
)


class Drive:
    """Stands in for the carrier of sessions; `loads` answers the probes, None for silence."""

    def __init__(self, seed=1, loads=None, **settings):
        self.lines = []
        self.now = 0.0
        self.alarms = []
        self.loads = loads or {}
        settings.setdefault("may_probe", loads is not None)
        usual = replace(USUAL, **settings)
        self.names = {}
        self.servers = {}
        self.probes = 0
        self.delays = {}  # name -> ms until a probe is answered
        self.answers = True
        self.loud = True
        self.balancer = Balancer(self, random.Random(seed), usual)
        self.balancer.on_start(self.now)

    def say(self, text):
        if self.loud:
            self.lines.append(f"{self.now:8.0f} {text}")

    def start_attempt(self, session, server, timeout_ms):
        self.say(f"{self.names[session]} dials {server.name} for {timeout_ms:.0f}")

    def reject(self, session, retry_after_ms):
        self.say(f"{self.names[session]} refused, back after {retry_after_ms:.0f}")

    def fail(self, session):
        self.say(f"{self.names[session]} torn down")

    def migrate(self, session):
        self.say(f"{self.names[session]} moved off {session.server.name}")

    def send_probe(self, server):
        self.probes += 1
        if not self.answers:
            return
        if server.name in self.delays:
            self.alarms.append(
                (self.now + self.delays[server.name], len(self.alarms), server)
            )
        else:
            self.answer(server)

    def answer(self, server):
        load = self.loads.get(server.name)
        answer = AttemptOutcome.TIMED_OUT if load is None else AttemptOutcome.COMPLETED
        self.balancer.on_probe_result(self.now, server, answer, [load])

    def poll_endpoint_list(self, enabled):
        self.say(f"follows the list: {enabled}")

    def set_timer(self, timer, at_ms):
        self.alarms.append((at_ms, len(self.alarms), encode_timer(timer)))

    def log(self, text):
        self.say(f"log: {text}")

    def list(self, *entries, kind=UpdateKind.DELTA):
        """Entries are a name, or (name, phase), or (name, when it started)."""
        found = []
        for entry in entries:
            name, what = entry if isinstance(entry, tuple) else (entry, Phase.READY)
            phase, started = (
                (what, None) if isinstance(what, Phase) else (Phase.READY, what)
            )
            server = self.servers.setdefault(
                name, Server(name, zone=len(self.servers) % 2)
            )
            found.append(EndpointEntry(server, phase, 1.0, started))
        self.balancer.on_endpoint_update(self.now, kind, found)

    def hand(self, name, out):
        self.say(f"{name} {'out by hand' if out else 'put back'}")
        self.balancer.set_maintenance(self.now, name, out, self.servers.get(name))

    def session(self, name, listener=None, key=None, left=2000.0, **more):
        sess = Session(
            listener or Listener("any"), key or name, self.now + left, **more
        )
        self.names[sess] = name
        self.balancer.on_session(self.now, sess)
        return sess

    def accept(self, name, **more):
        sess = self.session(name, **more)
        if not sess.has_ended:
            self.balancer.on_session_accepted(self.now, sess)
        return sess

    def outcome(self, sess, outcome, closed=False):
        self.say(f"{self.names[sess]}: {outcome.value}")
        self.balancer.on_outcome(self.now, sess, outcome, closed)

    def until(self, then):
        while self.alarms and min(self.alarms)[0] <= then:
            alarm = min(self.alarms)
            self.alarms.remove(alarm)
            self.now = max(self.now, alarm[0])
            if isinstance(alarm[2], Server):
                self.answer(alarm[2])
            else:
                self.balancer.on_timer(self.now, decode_timer(alarm[2]))
        self.now = then

    def pass_time(self, then):
        """With sessions that come and go, as these pay for probes."""
        while self.now < then:
            self.until(min(then, self.now + 100.0))
            self.loud, loud = False, self.loud
            sess = self.session(f"passing {self.now:.0f}")
            if not sess.has_ended:
                self.balancer.on_session_accepted(self.now, sess)
                self.balancer.on_outcome(self.now, sess, AttemptOutcome.COMPLETED, True)
            self.loud = loud

    def ended(self, name):
        return next(
            sess.has_ended for sess, known in self.names.items() if known == name
        )

    def shares(self):
        table = self.balancer.slot_table
        for name, server in sorted(self.servers.items()):
            self.say(
                f"{name}: {table.current.count(server)} slots, {table.new.count(server)} to come"
            )


class Peer:
    """One end of a connection to the proxy; says and hears lines, and writes both down."""

    def __init__(self, rig, name, sock):
        self.rig, self.name, self.sock, self.rest = rig, name, sock, b""
        sock.settimeout(8.0)
        rig.peers.append(
            self
        )  # or it would be closed when a scenario no longer names it

    def say(self, text, end="\r\n"):
        self.sock.sendall((text + end).encode())

    def hear(self):
        """One line, or how the connection ended."""
        try:
            while b"\n" not in self.rest:
                data = self.sock.recv(65536)
                if not data:
                    break
                self.rest += data
            line, _, self.rest = self.rest.partition(b"\n")
            text = line.decode().rstrip("\r") or "(end)"
        except ConnectionResetError:
            text = "(reset)"
        # How much time is left differs from run to run.
        self.rig.lines.append(f"{self.name} hears {re.sub(r'd=[0-9]+', 'd=...', text)}")
        return text

    def is_closed(self):
        """Whether the other end has closed, with nothing left to be read."""
        if self.rest or not select.select([self.sock], [], [], 0)[0]:
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except ConnectionResetError:
            return True

    def hear_bytes(self, count):
        while len(self.rest) < count:
            self.rest += self.sock.recv(65536)

    def ask(self, text):
        self.say(text)
        return self.hear()

    def finish(self):
        self.sock.shutdown(socket.SHUT_WR)

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


def listener():
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(8.0)
    return sock


def free_port():
    """Below those that the system gives to whoever connects: none of these takes it meanwhile."""
    for port in PORTS:
        try:
            socket.create_server(("127.0.0.1", port)).close()
            return port
        except OSError:
            pass


# pytest-xdist starts tests in several processes: no port is given out by two of them.
WORKERS = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
FIRST_PORT = 10_000 + os.getpid() * 61 % 20_000 // WORKERS * WORKERS + WORKER
PORTS = iter(range(FIRST_PORT, 32_000, WORKERS))


class Rig:
    """A proxy as a program, with plain sockets in the place of its servers, discovery and clients."""

    def __init__(
        self,
        names=("a", "b"),
        known=True,
        mode="pass",
        settings=None,
        inherited=False,
        **limits,
    ):
        self.lines = []
        self.peers = []
        self.seen = Counter()  # lines of the log, by event
        self.servers = {name: listener() for name in names}
        self.discovery = listener()
        self.seq = 0
        self.door = socket.create_server(("127.0.0.1", free_port()), backlog=128)
        self.address = self.door.getsockname()
        self.inherited = inherited
        if not inherited:
            self.door.close()
        self.config = {
            "name": "n0",
            "seed": "5eed",
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*self.discovery.getsockname()),
            "limits": {"sockets": 256, **limits},
            "known": self.list(*names) if known else {},
            "settings": {
                "listeners": [
                    {"name": "any", "repeat": "retryable", "dialTimeoutS": 2.0}
                ],
                "limits": {"maxDials": 3, "retryAfter": True, "maxRetryAfterS": 1.0},
                "familyInfo": {"mode": mode},
                "dcs": ["x", "y"],
                "tenants": [{"name": "t"}],
                "obligations": {"drainGraceS": 0.5},
                **(settings or {}),
            },
        }
        self.folder = tempfile.TemporaryDirectory()
        path = self.path = pathlib.Path(self.folder.name) / "config.json"
        path.write_text(json.dumps(self.config))
        self.watch = None
        self.old = []  # processes that another was started beside
        self.begin()

    def begin(self):
        """Starts the program, the second time beside the one that runs; each has a door for operators."""
        self.admin = "127.0.0.1", free_port()
        told = {
            "NODE_CONFIG": str(self.path),
            "NODE_ADMIN_ADDR": "{}:{}".format(*self.admin),
            "TMPDIR": self.folder.name,
        }
        if self.inherited:
            told["NODE_FD"] = str(self.door.fileno())
        self.process = subprocess.Popen(
            [sys.executable, "-m", "wheathill"],
            stdout=subprocess.PIPE,
            pass_fds=[self.door.fileno()] if self.inherited else [],
            env={**os.environ, **told},
        )

    def begin_beside(self):
        self.old.append(self.process)
        self.begin()
        self.until_logged(LogEvent.LISTENING)

    def call(self, text, admin=None):
        """One call at the operators' door, as a line; the object that answers it."""
        with socket.create_connection(admin or self.admin, 8.0) as sock:
            sock.sendall(f"{text} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            answer = b"".join(iter(lambda: sock.recv(65536), b""))
        head, _, body = answer.partition(b"\r\n\r\n")
        self.lines.append(f"{text}: {head.split()[1].decode()} {body.decode().strip()}")
        return json.loads(body)

    def __enter__(self):
        self.until_logged(LogEvent.LISTENING)
        return self

    def __exit__(self, *_):
        for process in dict.fromkeys((*self.old, self.process)):
            process.kill()
            process.communicate()
        self.folder.cleanup()
        for sock in (*self.servers.values(), self.discovery, self.door):
            sock.close()

    def until_logged(self, event):
        for line in self.process.stdout:
            found = json.loads(line)
            self.seen[found["event"]] += 1
            if (
                found["event"] in event
                if isinstance(event, tuple)
                else found["event"] == event
            ):
                return found
        raise AssertionError(f"ended without a line {event}")

    def process_says(self, process, event, within=2.0):
        """Whether it logs that event soon; what it had logged before is passed over."""
        until = time.monotonic() + within
        while (left := until - time.monotonic()) > 0 and select.select(
            [process.stdout], [], [], left
        )[0]:
            line = process.stdout.readline()
            if not line:
                return False
            if json.loads(line)["event"] == event:
                return True
        return False

    def list(self, *names, whole=True, **changed):
        self.seq += 1
        hosts = [
            {
                "host": name,
                "dial": "{}:{}".format(*self.servers[name].getsockname()),
                "site": "x",
                "class": "m",
                "block": 1,
                "health": "ready",
                "share": 1.0,
                "born_ms": 0,
                **changed,
            }
            for name in names
        ]
        return {"seq": self.seq, "whole": whole, "hosts": hosts}

    def watched(self, *names, **changed):
        """Takes the proxy's watch in and sends it a first list.

        A proxy whose watch isn't answered within 250 ms opens another one beside it and
        closes the one that it leaves; on a busy machine a closed one may still wait to
        be accepted, and is passed over.
        """
        request = self.accept_watch()
        while self.watch.is_closed():
            request = self.accept_watch()
        self.watch.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n")
        if names:
            self.tell(self.list(*names, **changed))
        return request

    def accept_watch(self):
        """Takes in the next watch and reads its request."""
        self.watch = Peer(self, "discovery", self.discovery.accept()[0])
        request = self.watch.hear()
        while self.watch.hear() != "(end)":  # an empty line: the request is whole
            pass
        del self.lines[-4:]
        return request

    def tell(self, found):
        text = json.dumps(found) + "\n"
        self.watch.say(f"{len(text):x}\r\n{text}")

    def client(self, name="client"):
        return Peer(self, name, socket.create_connection(self.address, 8.0))

    def open(self, key="k", name="client", **values):
        """A client that sent its line."""
        client = self.client(name)
        values = {"c": "any", "t": "t", "d": 2000, **values}
        client.say(
            f"OPEN id-{key} {key} "
            + ",".join(f"{name}={value}" for name, value in values.items())
        )
        return client

    def taken(self, names):
        """The next dial, at whichever of the servers it arrives."""
        socks = [self.servers[name] for name in names]
        ready = select.select(socks, [], [], 8.0)[0]
        name = names[socks.index(ready[0])]
        return Peer(self, f"server {name}", ready[0].accept()[0])

    def up(self, key="k", names=("a", "b"), **values):
        client = self.open(key, **values)
        server = self.taken(names)
        server.hear()
        server.say("UP r1")
        client.hear()
        return client, server

    def reload(self, then=LogEvent.CONFIGURATION_RELOADED, **changed):
        self.path.write_text(json.dumps({**self.config, **changed}))
        self.process.send_signal(signal.SIGHUP)
        found = self.until_logged(then)
        self.lines.append(f"{then}: {found.get('what') or found.get('needs_restart')}")
        return found

    def sockets(self):
        """What the system says that the program holds, without its two listening ones and the loop's own two."""
        links = [
            os.readlink(path)
            for path in pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()
        ]
        return sum(link.startswith("socket:") for link in links) - 4

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        self.until_logged(LogEvent.SHUTDOWN_STARTED)

    def end(self):
        self.lines.append(f"proxy exits with {self.process.wait(8)}")


def kept(name, lines):
    return (TRACES / f"{name}.txt").read_text().splitlines() == lines


if __name__ == "__main__":
    sys.path.insert(0, str(pathlib.Path(__file__).parent))
    for module in (
        "test_policy",
        "test_net",
        "test_proxy",
        "test_lab",
        "test_worlds",
        "test_members",
        "test_store",
        "test_write_ahead_log",
        "test_operations",
        "test_rare_lists",
        "test_rare_dials",
        "test_rare_stops",
    ):
        for scenario, run in importlib.import_module(module).SCENARIOS.items():
            (TRACES / f"{scenario}.txt").write_text("\n".join(run()) + "\n")
