"""The program started on free loopback ports, with plain sockets in the place of its peers."""

import os
import select
import signal
import socket
import subprocess
import sys
import time

import pytest

from drive import Rig, kept, listener
from wheathill.log_events import LogEvent

pytestmark = pytest.mark.processes


def serves_a_session():
    with Rig() as rig:
        rig.watched("a", "b")
        client = rig.open(h="0.5")
        server = rig.taken(("a", "b"))
        server.hear()
        server.say("UP r1\r\ncame along")
        client.hear()
        client.hear()
        client.say("one\r\ntw", end="")
        client.say("o")
        server.hear()
        server.hear()
        server.say("LOAD 0.7\r\necho")
        client.hear()
        client.hear()
        server.say("BYE")
        server.finish()
        client.hear()
        client.hear()
        client.finish()
        server.hear()
        return rig.lines


def turned_away_twice():
    with Rig() as rig:
        rig.watched("a", "b")
        client = rig.open()
        for answer in ("BUSY", "ERR"):
            server = rig.taken(("a", "b"))
            server.hear()
            server.say(answer)
            server.hear()
        client.hear()
        client.hear()
        return rig.lines


def closed_before_the_next_dial():
    with Rig() as rig:
        rig.watched("a", "b")
        client = rig.open(d=1000)
        first = rig.taken(("a", "b"))
        first.hear()
        second = rig.taken(("a", "b"))
        first.sock.setblocking(False)
        rig.lines.append(f"first dial closed: {first.sock.recv(1) == b''}")
        second.hear()
        second.say("UP r2")
        client.hear()
        return rig.lines


def once_only():
    with Rig(
        settings={
            "listeners": [{"name": "any", "repeat": "fragile", "dialTimeoutS": 2.0}]
        }
    ) as rig:
        rig.watched("a", "b")
        client = rig.open()
        server = rig.taken(("a", "b"))
        server.hear()
        server.say("BUSY")
        server = rig.taken(("a", "b"))
        server.hear()
        server.reset()
        client.hear()
        client.hear()
        return rig.lines


def connection_refused():
    with Rig() as rig:
        rig.watched("a", "b")
        rig.servers["a"].close()
        rig.servers["b"].close()
        client = rig.open()
        client.hear()
        client.hear()
        return rig.lines


def ends_passed_on():
    with Rig() as rig:
        rig.watched("a", "b")
        client, server = rig.up()
        client.finish()
        server.hear()
        server.say("BYE")
        server.finish()
        client.hear()
        client.hear()
        client, server = rig.up("k2")
        server.reset()
        client.hear()
        client, server = rig.up("k3")
        client.reset()
        server.hear()
        return rig.lines


def client_leaves_early():
    with Rig() as rig:
        rig.watched("a", "b")
        client = rig.open()
        server = rig.taken(("a", "b"))
        server.hear()
        client.finish()
        server.hear()
        client.hear()
        client.hear()
        return rig.lines


def silent_server():
    with Rig() as rig:
        rig.watched("a", "b")
        client, server = rig.up()
        server.say("half ", end="")
        client.say("anyone?")
        server.hear()
        began = time.monotonic()
        server.say("a line\r\nand half", end="")
        client.hear()
        client.say("anyone?")
        while client.hear() not in ("MOVE", "(end)"):
            pass
        rig.lines.append(f"within seven seconds: {time.monotonic() - began < 7}")
        return rig.lines


def silent_to_all():
    with Rig(names=("a",)) as rig:
        rig.watched("a")
        held = [rig.up(f"k{number}", names=("a",)) for number in range(6)]
        del rig.lines[:]
        for client, _ in held[:4]:
            client.say("anyone?")
        for client, _ in held:
            client.hear()
            client.hear()
        found = rig.reload()
        rig.lines.append(
            f"faults: {rig.seen[LogEvent.INTERNAL_ERROR]}, moves of all at once: {rig.seen[LogEvent.POLICY_DECISION]}, up {found['up']}"
        )
        return rig.lines


def moved_between_lines():
    with Rig() as rig:
        rig.watched("a", "b")
        client, server = rig.up()
        client.say("anyone?")
        client.hear()
        client.hear()
        server.hear()
        server.hear()
        return rig.lines


def stop_where_packets_pass():
    with Rig() as rig:
        rig.watched("a", "b")
        client, server = rig.up()
        rig.stop()
        newcomer, late = rig.up("late", name="newcomer")
        time.sleep(2.5)  # longer than the longest dial timeout
        client.say("still here")
        server.hear()
        for peer in (client, server, newcomer, late):
            peer.finish()
        rig.end()
        return rig.lines


def stop_where_connections_end():
    with Rig(mode="proxy") as rig:
        rig.watched("a", "b")
        client, server = rig.up()
        rig.stop()
        client.hear()
        client.hear()
        server.hear()
        newcomer, server = rig.up("late", name="newcomer")
        newcomer.hear()
        newcomer.hear()
        rig.end()
        return rig.lines


def drained_server():
    with Rig() as rig:
        rig.watched("a", "b")
        client, server = rig.up()
        name = server.name[-1]
        rig.tell(rig.list(name, whole=False, health="draining"))
        client.hear()
        client.hear()
        rig.lines = [
            line.replace(f"server {name}", "server that drains") for line in rig.lines
        ]
        left = rig.open("k2")
        rig.lines.append(
            f"next dial goes elsewhere: {rig.taken(('a', 'b')).name != server.name}"
        )
        left.sock.close()
        return rig.lines


def bad_input():
    with Rig() as rig:
        rig.watched("a", "b")
        for text in (
            "garbage",
            "OPEN only three",
            "OPEN  k c=any,d=5",
            "OPEN i k c=nobody,d=5",
            "OPEN i k c=any,t=nobody,d=5",
            "OPEN i k c=any,d=soon",
            "OPEN i k c=any,d=-5",
            "OPEN i k c=any,d=1_0",
            "OPEN i k c=any,d=" + 23 * "9",
            "OPEN i k c=any,d=5,d=6",
            "OPEN i k c=any,d=5,r=2",
            "OPEN i\x07 k c=any,d=5",
            "\xff\xfe",
            "OPEN i k c=any,d=5\r\nOPEN j k c=any,d=5",
            "PING\r\nPING",
            "x" * 5000,
        ):
            client = rig.client()
            rig.lines.append(f"client says {text[:30]!a}")
            client.say(text)
            client.hear()
            client.hear()
        client = rig.client("client that ends half a command")
        client.say("OPEN i", end="")
        client.finish()
        client.hear()
        client = rig.client("prober")
        for _ in range(2):
            client.say("PING")
            client.hear()
        return rig.lines


def id_of_another():
    with Rig() as rig:
        rig.watched("a", "b")
        client, server = rig.up("k")
        thief = rig.open("k", name="thief")
        thief.hear()
        client.say("still here")
        server.hear()
        client.finish()
        server.finish()
        client.hear()
        rig.open("k", name="thief that comes later").hear()
        _packets = rig.open("k", mid=1, name="packets that come again")
        rig.taken(("a", "b")).hear()
        return rig.lines


def more_before_up():
    with Rig() as rig:
        rig.watched("a", "b")
        client = rig.open()
        server = rig.taken(("a", "b"))
        server.hear()
        client.say("OPEN id-2 k c=any,d=5")
        client.hear()
        client.hear()
        server.hear()
        return rig.lines


def says_nothing():
    with Rig(sockets=96) as rig:
        rig.watched("a", "b")
        began = time.monotonic()
        silent = [rig.client("silent client") for _ in range(60)]
        rig.up()
        for client in silent:
            client.hear()
        del rig.lines[3:-1]
        rig.lines.append(f"within three seconds: {time.monotonic() - began < 3}")
        # Endless, as far as it gets: it is not read to its end.
        client = rig.client("client without end")
        client.sock.settimeout(3.0)
        try:
            for _ in range(1000):
                client.sock.sendall(b"x" * 60_000)
        except OSError as wrong:
            rig.lines.append(
                f"cut off: {isinstance(wrong, (ConnectionResetError, BrokenPipeError))}"
            )
        return rig.lines


def follows_discovery():
    with Rig(names=("a", "b", "c"), known=False) as rig:
        prober = rig.client("prober")
        prober.say("PING")
        prober.hear()
        rig.lines.append(rig.watched("a"))
        rig.until_logged(LogEvent.READY)
        prober.say("PING")
        prober.hear()
        rig.up()
        rig.watch.sock.close()
        rig.lines.append(rig.watched())
        rig.tell(rig.list("a", whole=False, health="gone"))
        rig.tell(rig.list("b", whole=False))
        rig.tell(
            {"seq": 3, "whole": True, "hosts": [{"host": "b", "health": "asleep"}]}
        )
        rig.up("k2", names=("a", "b", "c"))
        rig.tell({"seq": "none"})
        rig.watch.say("5\r\n{[}]\n")
        rig.watch.hear()
        rig.lines.append(rig.watched("c"))
        rig.up("k3", names=("a", "b", "c"))
        rig.lines.append("(discovery says nothing more)")
        rig.lines.append(rig.watched())
        return rig.lines


def reloads():
    with Rig() as rig:
        rig.watched("a", "b")
        client, server = rig.up()
        rig.reload(LogEvent.CONFIGURATION_ERROR, limits={"sockets": "many"})
        old, old_list = rig.watch, rig.discovery
        rig.discovery = listener()
        there = "{}:{}".format(*rig.discovery.getsockname())
        rig.reload(
            discovery=there,
            listen="127.0.0.1:1",
            limits={"sockets": 200},
            settings={
                **rig.config["settings"],
                "obligations": {"drainGraceS": 0.1},
                "listeners": [
                    {"name": "any", "repeat": "retryable", "dialTimeoutS": 1.0},
                    {"name": "added", "repeat": "retryable", "dialTimeoutS": 1.0},
                ],
            },
        )
        old.hear()
        held = rig.open("before-the-list", c="added", name="newcomer")
        rig.taken(("a", "b")).hear()
        rig.lines.append(rig.watched("b"))
        client.say("still here")
        server.hear()
        for number in range(4):
            rig.open(f"after-{number}", name="newcomer")
            rig.taken(("a", "b")).hear()
        rig.reload(discovery=there)
        old_list.setblocking(False)
        try:
            old_list.accept()
        except BlockingIOError:
            rig.lines.append("nobody asks at the old address")
        rig.process.send_signal(signal.SIGHUP)
        rig.process.send_signal(signal.SIGTERM)
        rig.process.send_signal(signal.SIGHUP)
        del held
        client.finish()
        server.finish()
        rig.end()
        return rig.lines


def beliefs_and_sockets():
    with Rig(mode="proxy") as rig:
        rig.watched("a", "b")
        held = [rig.up(f"k{number}") for number in range(8)]
        del rig.lines[:]
        held[0][1].reset()
        held[1][0].reset()
        held[2][1].finish()
        for number in range(3):
            held[number][number == 1].hear()
        given_up = rig.open("given-up", d=150)
        dials = [rig.taken(("a", "b")) for _ in range(2)]
        given_up.hear()
        rig.client("silent client").hear()
        rig.tell(rig.list("a", whole=False, health="draining"))
        for client, server in held[3:]:
            if server.name == "server a":
                client.hear()
        del dials
        # The proxy waits up to a second for clients to close after their last answer.
        for _ in range(20):
            time.sleep(0.25)
            # A watch that is silent for 2.7 s is opened again, and while the new one is
            # not answered another one is opened beside it, which is a sixth socket.
            if select.select([rig.discovery], [], [], 0)[0]:
                rig.watched("a", whole=False, health="draining")
            found = rig.reload()
            if found["sockets"] == 2 * found["up"] + 1 == rig.sockets():
                break
            rig.lines.pop()
        rig.lines.append(
            ", ".join(f"{name} {found[name]}" for name in ("up", "placed", "servers"))
        )
        rig.lines.append(
            f"sockets as many as believed: {found['sockets'] == rig.sockets()}, {found['sockets']}"
        )
        rig.tell(rig.list("a", whole=False, health="gone"))
        return rig.lines


def standing_connection():
    with Rig() as rig:
        rig.watched("a", "b")
        address = rig.servers["a"].getsockname()
        rig.servers["a"].close()
        client = rig.open(at="a")
        rig.until_logged(LogEvent.ATTEMPT_FAILED)
        rig.servers["a"] = socket.create_server(address)
        server = rig.taken(("a",))
        server.hear()
        server.say("UP r1")
        client.hear()
        client = rig.open(at="c", name="client of a server not listed yet")
        rig.servers["c"] = listener()
        rig.tell(rig.list("c", whole=False))
        server = rig.taken(("a", "b", "c"))
        server.hear()
        return rig.lines


def no_descriptor_left():
    with Rig(sockets=73) as rig:
        rig.watched("a", "b")
        held = [rig.up(f"k{number}") for number in range(7)]
        del rig.lines[:]
        rig.open("one-more").hear()
        idle = [rig.client() for _ in range(60)]
        rig.open("another").hear()
        client, server = held[0]
        client.say("still served")
        server.hear()
        del idle
        return rig.lines


def flood_on_a_small_proxy():
    with Rig(sockets=64) as rig:
        rig.watched("a", "b")
        rig.process.send_signal(signal.SIGSTOP)
        clients = [rig.open(f"k{number}") for number in range(120)]
        rig.process.send_signal(signal.SIGCONT)
        answers = [client.hear().split()[0] for client in clients]
        return [f"120 clients hear {sorted(set(answers))}"]


def probes():
    report = {"how": "on_probe", "names": ["active", "x0"]}
    limits = {"maxDials": 3, "mayProbe": True}
    with Rig(names=("a",), settings={"report": report, "limits": limits}) as rig:
        rig.watched("a")
        client = rig.open()
        link = rig.taken(("a",))
        link.hear()
        link.say("PONG active=3,x0=0.95,new=1")
        client.hear()
        client = rig.open("k2")
        time.sleep(1.7)  # the figure grows old, also for one that was full
        client = rig.open("k3")
        link.hear()
        link.say("PONG active=3,x0=0.2")
        server = rig.taken(("a",))
        server.hear()
        return rig.lines


SCENARIOS = {
    run.__name__: run
    for run in (
        serves_a_session,
        turned_away_twice,
        closed_before_the_next_dial,
        once_only,
        connection_refused,
        ends_passed_on,
        client_leaves_early,
        silent_server,
        silent_to_all,
        moved_between_lines,
        stop_where_packets_pass,
        stop_where_connections_end,
        drained_server,
        bad_input,
        id_of_another,
        more_before_up,
        says_nothing,
        follows_discovery,
        reloads,
        beliefs_and_sockets,
        standing_connection,
        no_descriptor_left,
        flood_on_a_small_proxy,
        probes,
    )
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_trace(name):
    assert kept(name, SCENARIOS[name]())


@pytest.mark.parametrize(
    "config, key",
    [
        (
            '{"settings": {"listeners": [{}]}, "limits": {"sockets": "many"}, "listen": "h:1", "discovery": "h:1",'
            '"name": "n", "seed": ""}',
            "limits.sockets",
        ),
        (
            '{"settings": {"listeners": [{"repeat": "often"}]}}',
            "settings.listeners[0].repeat",
        ),
        ('{"settings": {"listeners": [{}]}, "listen": "here"}', "listen"),
        (
            '{"settings": {"listeners": [{}]}, "limits": {"memory_mb": 8}, "listen": "h:1", "discovery": "h:1",'
            '"name": "n", "seed": ""}',
            "limits.memory_mb",
        ),
        (
            '{"settings": {"listeners": [{"dialTimeoutS": 1e999}]}, "listen": "h:1", "discovery": "h:1", "name": "n",'
            '"seed": ""}',
            "settings.listeners[0].dialTimeoutS",
        ),
        (
            '{"settings": {"listeners": [{}], "obligations": {"drainGraceS": %s}}, "listen": "h:1", "discovery": "h:1",'
            '"name": "n", "seed": ""}' % (10**400),
            "settings.obligations.drainGraceS",
        ),
        ("{", "NODE_CONFIG"),
    ],
)
def test_bad_configuration(tmp_path, config, key):
    path = tmp_path / "config.json"
    path.write_text(config)
    done = subprocess.run(
        [sys.executable, "-m", "wheathill"],
        capture_output=True,
        text=True,
        env={**os.environ, "NODE_CONFIG": str(path)},
    )
    assert (done.returncode, done.stderr.partition(":")[0]) == (2, key)
