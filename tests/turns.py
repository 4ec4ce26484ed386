"""A proxy with its real drivers and real sockets in this process, whose loop goes a turn at a time.

Between two turns the peers may do as much as a test wants, so that what they did is met in one and the same turn, or
in the order in which the test lets it be met."""

import asyncio
import json
import select
import socket
import time
from dataclasses import replace

from drive import Peer, listener
from wheathill.config.platform import build_node_config
from wheathill.net.clock import Clock
from wheathill.net.proxy import Proxy
from wheathill.net.transport import Transport

PATIENCE = 8.0


class Turns:
    def __init__(
        self,
        names=("a", "b"),
        known=True,
        discovery=True,
        repeat="retryable",
        dial=2.0,
        settings=None,
        limits=None,
        step=None,
        sockets=256,
    ):
        """`step`: ms that each turn takes by the proxy's clock, whatever it takes by the machine's: seconds of alarms
        then pass in moments, and the same on a busy machine."""
        self.lines, self.peers, self.logged = [], [], []
        self.servers = {name: listener() for name in names}
        self.discovery = listener()
        self.watches = []
        self.seq = 0
        self.loop = asyncio.new_event_loop()
        self.step, self.spent = step, 0.0
        if step is not None:
            self.loop.time = lambda: self.spent / 1000
        free = listener()
        self.address = free.getsockname()
        free.close()
        self.limits = limits or {}
        self.config = {
            "name": "n0",
            "seed": "5eed",
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*self.discovery.getsockname())
            if discovery
            else False,
            "limits": {"sockets": sockets},
            "known": known
            if isinstance(known, dict)
            else self.list(*names)
            if known
            else {},
            "settings": {
                "listeners": [{"name": "any", "repeat": repeat, "dialTimeoutS": dial}],
                "limits": {"maxDials": 3, "retryAfter": True, "maxRetryAfterS": 1.0},
                "familyInfo": {"mode": "pass"},
                "obligations": {"drainGraceS": 0.5},
                **(settings or {}),
            },
        }
        node = self.node()
        self.carrier = Transport(self.loop, node.limits, self.note)
        self.proxy = Proxy(node, self.carrier, Clock(self.loop), self.note)
        self.proxy.listening_socket = self.carrier.listen(
            self.proxy.create_client, node.listen_address, self.proxy.has_room
        )
        self.proxy.start()

    def node(self, **changed):
        node = build_node_config({**self.config, **changed})
        return replace(node, limits=replace(node.limits, **self.limits))

    def note(self, event, **told):
        self.logged.append((event, told))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.proxy.listening_socket.close()
        self.proxy.close_watch()
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.turn()
        self.loop.close()
        for sock in (
            *self.servers.values(),
            self.discovery,
            *(peer.sock for peer in self.peers),
        ):
            sock.close()

    def turn(self, count=1):
        for _ in range(count):
            self.spent += self.step or 0.0
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()

    def until(self, found):
        """Turns until `found()` gives something, which is returned."""
        end = time.monotonic() + PATIENCE
        while not (what := found()):
            assert time.monotonic() < end, self.logged[-5:]
            self.turn()
            time.sleep(0.0005)
        return what

    def for_ms(self, spent):
        end = time.monotonic() + spent / 1000
        while time.monotonic() < end:
            self.turn()
            time.sleep(0.0005)

    def list(self, *names, whole=True, **changed):
        self.seq += 1
        return {
            "seq": self.seq,
            "whole": whole,
            "hosts": [
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
            ],
        }

    def client(self, name="client"):
        return Peer(self, name, socket.create_connection(self.address, PATIENCE))

    def open(self, key="k", name="client", **values):
        client = self.client(name)
        told = ",".join(
            f"{name}={value}"
            for name, value in {"c": "any", "d": 2000, **values}.items()
        )
        client.say(f"OPEN id-{key} {key} {told}")
        return client

    def taken(self, *names):
        """The next connection at one of the servers, once it is there."""
        names = names or tuple(self.servers)
        socks = [self.servers[name] for name in names]
        ready = self.until(lambda: select.select(socks, [], [], 0)[0])
        return Peer(
            self, f"server {names[socks.index(ready[0])]}", ready[0].accept()[0]
        )

    def dialled(self, *names):
        """How many connections wait at the servers; none of them is taken."""
        return bool(
            select.select(
                [self.servers[name] for name in names or self.servers], [], [], 0
            )[0]
        )

    def discovery_waits(self):
        return select.select([self.discovery], [], [], 0)[0]

    def of_dial(self):
        """The server that the one session there is is being dialled at."""
        (sess,) = self.proxy.clients
        return sess.server.name

    def sent(self):
        """How many dials' lines have left."""
        return self.proxy.metrics.counts["dials sent"]

    def hears(self, peer):
        """One line, or how the connection ended, as the loop goes on."""
        self.until(
            lambda: (
                b"\n" in peer.rest
                or select.select([peer.sock], [], [], 0)[0]
                and self.read(peer)
            )
        )
        return peer.hear()

    @staticmethod
    def read(peer):
        """Whether a line or an end is there."""
        try:
            data = peer.sock.recv(65536, socket.MSG_PEEK)
        except OSError:
            return True
        return not data or b"\n" in data

    def watch(self):
        """The next watch, with its request read."""
        self.until(lambda: select.select([self.discovery], [], [], 0)[0])
        watch = Peer(self, "discovery", self.discovery.accept()[0])
        request = self.hears(watch)
        while self.hears(watch) != "(end)":
            pass
        del self.lines[-4:]
        self.watches.append(watch)
        return watch, request

    def head(self, watch):
        watch.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n")

    def chunk(self, watch, text):
        watch.say(f"{len(text):x}\r\n{text}")

    def watched(self, *names):
        """A watch that was answered with a list of these."""
        watch, _ = self.watch()
        self.head(watch)
        self.chunk(watch, json.dumps(self.list(*names)) + "\n")
        self.until(lambda: self.proxy.ready)
        return watch


def blocked(turns):
    """A client that reads nothing, so that whole lines of its server wait in this process."""
    turns.watched("a", "b")
    client = Peer(turns, "client", socket.socket())
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    client.sock.connect(turns.address)
    client.say("OPEN id k c=any,d=2000")
    server = turns.taken()
    turns.hears(server)
    server.say("UP r1")
    turns.hears(client)
    (carried,) = turns.proxy.clients.values()
    while not carried.connection.is_write_blocked:
        server.sock.sendall(b"x" * 998 + b"\r\n")
        turns.turn()
    turns.for_ms(20)
    assert not carried.connection.drained and carried.attempt.between_lines
    return client


def read_slowly(turns, client, wait, at_once):
    """What it hears until the end, and how many ms that took."""
    client.sock.setblocking(False)
    got, began = client.rest, time.monotonic()
    while time.monotonic() - began < 10:
        try:
            data = client.sock.recv(at_once)
            if not data:
                break
            got += data
        except BlockingIOError:
            pass
        except ConnectionResetError:
            got += b"(reset)"
            break
        turns.for_ms(wait)
    return got, 1000 * (time.monotonic() - began)
