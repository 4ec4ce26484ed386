"""Moments at which a list crosses with another, with a dial or with a start: peers on loopback sockets force the
order, in one turn of the loop where need be."""

import json
import select
import time

import pytest

from drive import Peer, kept, listener
from turns import Turns
from wheathill.log_events import LogEvent

pytestmark = pytest.mark.processes

HEAD = "HTTP/1.1 200 OK\r\n"


def ready(turns):
    return sorted(server.name for server in turns.proxy.balancer.endpoint_list.servers)


def list_indented_and_in_pieces():
    """Lists may come indented, in pieces cut anywhere, two in a chunk, one over several."""
    with Turns(("a", "b", "c")) as turns:
        watch, _ = turns.watch()
        turns.head(watch)
        text = json.dumps(turns.list("a", "b", "c"), indent=2) + "\n"
        for byte in f"{len(text):x}\r\n{text}\r\n":
            watch.say(byte, end="")
            turns.turn()
        turns.until(lambda: turns.proxy.ready)
        turns.lines.append(f"indented, byte by byte: {ready(turns)}")
        turns.chunk(
            watch,
            "".join(
                json.dumps(turns.list(name, whole=False, health="draining"))
                for name in "ab"
            ),
        )
        turns.until(lambda: turns.proxy.list_version == turns.seq)
        turns.lines.append(
            f"two drains in a chunk, without a line's end: {ready(turns)}"
        )
        text = json.dumps(turns.list("a", whole=False), indent=None) + "\n"
        for piece in (text[:40], text[40:41], text[41:]):
            turns.chunk(watch, piece)
        turns.until(lambda: turns.proxy.list_version == turns.seq)
        turns.lines.append(f"one over three chunks: {ready(turns)}")
        return turns.lines


def answer_of_a_stated_length():
    """A body with Content-Length on a connection that stays open: the next watch comes soon, not after a silence."""
    with Turns() as turns:
        watch, _ = turns.watch()
        body = json.dumps(turns.list("a"))
        watch.say(f"{HEAD}Content-Length: {len(body)}\r\n\r\n{body}", end="")
        turns.until(lambda: turns.proxy.ready)
        began = time.monotonic()
        _, request = turns.watch()
        turns.lines.append(
            f"next: {request}, within a second: {time.monotonic() - began < 1}"
        )
        return turns.lines


def answer_cut_in_the_middle():
    """A chunked answer that ends cleanly within a list: asked again from the version before, and at once."""
    with Turns() as turns:
        watch = turns.watched("a", "b")
        text = json.dumps(turns.list("a", whole=False, health="draining"))
        turns.chunk(watch, text[:60])
        watch.say("0\r\n")
        began = time.monotonic()
        watch, request = turns.watch()
        turns.lines.append(
            f"{request}, within half a second: {time.monotonic() - began < 0.5}"
        )
        turns.head(watch)
        turns.chunk(watch, text + "\n")
        turns.until(lambda: ready(turns) == ["b"])
        return turns.lines


def entry_that_cannot_be_read():
    """What it says of leaving counts; the version stays, and the watch is asked again from it."""
    with Turns(("a", "b", "c")) as turns:
        watch = turns.watched("a", "b", "c")
        turns.chunk(
            watch,
            json.dumps(turns.list("a", whole=False, health="draining", share="much"))
            + "\n",
        )
        turns.until(lambda: ready(turns) == ["b", "c"])
        _, request = turns.watch()
        turns.lines.append(request)
        watch = turns.watches[-1]
        turns.head(watch)
        turns.chunk(
            watch, json.dumps(turns.list("b", whole=False, health="asleep")) + "\n"
        )
        watch, request = turns.watch()
        turns.lines.append(f"{request}, ready {ready(turns)}")
        turns.head(watch)
        turns.chunk(
            watch, json.dumps(turns.list("b", whole=False, health="draining")) + "\n"
        )
        turns.until(lambda: turns.proxy.list_version == turns.seq)
        turns.lines.append(f"read at last: ready {ready(turns)}")
        return turns.lines


def whole_list_with_a_bad_entry():
    """Still the whole list: who is not in it has left; who is in it, but can't be read, is as it was."""
    with Turns(("a", "b", "c")) as turns:
        watch = turns.watched("a", "b", "c")
        found = turns.list("a", "b")
        found["hosts"][1]["share"] = "much"
        turns.chunk(watch, json.dumps(found) + "\n")
        turns.until(lambda: len(ready(turns)) < 3)
        turns.lines.append(f"ready {ready(turns)}")
        turns.chunk(
            watch,
            json.dumps({"seq": 9, "whole": True, "hosts": [4, {"host": None}]}) + "\n",
        )
        turns.for_ms(20)
        turns.lines.append(f"nothing of a list to be read: ready {ready(turns)}")
        return turns.lines


def exception_while_a_list_is_taken():
    """Not noted as told: the next watch asks for it again, and it changes the slots as if it had not come."""
    with Turns(("a", "b", "c")) as turns:
        watch = turns.watched("a", "b")
        table = turns.proxy.balancer.slot_table
        update, table.update = table.update, None
        found = turns.list("a", "c", whole=False)
        found["hosts"][0]["health"] = "draining"
        turns.chunk(watch, json.dumps(found) + "\n")
        watch, request = turns.watch()
        may = turns.proxy.balancer.endpoint_list.may_attempt(
            turns.proxy.now(), turns.proxy.servers["a"], False
        )
        turns.lines.append(f"{request}, a may be dialled: {may}")
        table.update = update
        turns.head(watch)
        turns.chunk(watch, json.dumps(found) + "\n")
        turns.until(lambda: turns.proxy.list_version == found["seq"])
        turns.lines.append(
            f"slots of {sorted({server.name for server in table.current})}, ready {ready(turns)}"
        )
        return turns.lines


def never_answered():
    """Asked while discovery is out of reach and never answered at its return: another is asked beside it."""
    with Turns() as turns:
        first, _ = turns.watch()
        began = time.monotonic()
        second, _ = turns.watch()
        turns.lines.append(
            f"a second one within half a second: {time.monotonic() - began < 0.5}"
        )
        turns.head(second)
        turns.chunk(
            second, json.dumps(turns.list("a", whole=False, health="draining")) + "\n"
        )
        turns.until(lambda: ready(turns) == ["b"])
        turns.lines.append("the second answers")
        turns.hears(first)
        turns.for_ms(300)
        turns.lines.append(f"a third is asked: {bool(turns.discovery_waits())}")
        return turns.lines


def answered_late():
    """The first one is still waited for: an agent may be slow."""
    with Turns() as turns:
        first, _ = turns.watch()
        second, _ = turns.watch()
        turns.head(first)
        turns.chunk(
            first, json.dumps(turns.list("a", whole=False, health="draining")) + "\n"
        )
        turns.until(lambda: ready(turns) == ["b"])
        turns.lines.append("the first answers")
        turns.hears(second)
        return turns.lines


def both_answer_in_one_turn():
    """Whichever is read first is the watch; what the other says is not told any more."""
    with Turns() as turns:
        first, _ = turns.watch()
        second, _ = turns.watch()
        for watch in (first, second):
            turns.head(watch)
            turns.chunk(watch, json.dumps(turns.list("a", whole=False)) + "\n")
        turns.until(lambda: turns.proxy.watch.is_answered)
        turns.for_ms(20)
        told = [event for event, _ in turns.logged if event == LogEvent.PROTOCOL_ERROR]
        turns.lines.append(
            f"one of the two is left: {turns.proxy.hedge_watch is None}, {told}"
        )
        turns.lines.append(
            f"its version: {turns.proxy.list_version in (turns.seq, turns.seq - 1)}"
        )
        return turns.lines


def trickle():
    """Bytes without a whole line are a silence."""
    with Turns(limits={"watch_idle_timeout_ms": 400.0}) as turns:
        watch = turns.watched("a", "b")
        watch.say("40\r\n{", end="")
        began = time.monotonic()
        while not turns.discovery_waits() and time.monotonic() - began < 2:
            watch.sock.send(b" ")
            turns.for_ms(50)
        turns.lines.append(f"opened again: {bool(turns.discovery_waits())}")
        return turns.lines


def older_list_at_a_new_address():
    """Who was told to leave does not come back by an older list, unless it has started since; by a newer one it does."""
    with Turns(("a", "b", "c")) as turns:
        watch = turns.watched("a", "b", "c")
        older = turns.list("a", "b", "c")
        turns.chunk(
            watch,
            json.dumps(turns.list("a", "b", whole=False, health="draining")) + "\n",
        )
        turns.until(lambda: ready(turns) == ["c"])
        turns.discovery.close()
        turns.discovery = listener()
        turns.proxy.reload(
            turns.node(discovery="{}:{}".format(*turns.discovery.getsockname()))
        )
        watch, request = turns.watch()
        turns.lines.append(request)
        turns.head(watch)
        older["hosts"][1]["born_ms"] = int(time.time() * 1000)
        turns.chunk(watch, json.dumps(older) + "\n")
        turns.until(lambda: turns.proxy.list_version == older["seq"])
        turns.lines.append(f"older, but that b has started anew: ready {ready(turns)}")
        turns.chunk(watch, json.dumps(turns.list("a", whole=False)) + "\n")
        turns.until(lambda: turns.proxy.list_version == turns.seq)
        turns.lines.append(f"newer: ready {ready(turns)}")
        return turns.lines


def reload_between_two_watches():
    """The alarm that opens the watch again and a new address: one watch, at the new one."""
    with Turns() as turns:
        watch = turns.watched("a", "b")
        watch.reset()
        turns.until(lambda: turns.proxy.watch is None)
        old, turns.discovery = turns.discovery, listener()
        turns.proxy.reload(
            turns.node(discovery="{}:{}".format(*turns.discovery.getsockname()))
        )
        _, request = turns.watch()
        turns.lines.append(request)
        turns.for_ms(400)
        old.setblocking(False)
        try:
            old.accept()
            turns.lines.append("asked at the old address")
        except BlockingIOError:
            turns.lines.append("nobody asks at the old address")
        old.close()
        return turns.lines


def line_before_the_first_list():
    """The known list may be old, and what the agent has counts as told from the first moment."""
    with Turns() as turns:
        clients = [turns.open(f"k{number}") for number in range(6)]
        turns.for_ms(30)
        turns.lines.append(f"dialled before the first list: {turns.dialled()}")
        watch, _ = turns.watch()
        turns.head(watch)
        turns.chunk(
            watch, json.dumps(turns.list("a", whole=False, health="draining")) + "\n"
        )
        for _ in clients:
            turns.hears(turns.taken("b"))
        turns.lines.append(f"dialled at a: {turns.dialled('a')}")
        return turns.lines


def line_before_a_list_that_does_not_come():
    """Discovery is out of reach at the start: with a quarter of its time gone a session does with the known list."""
    with Turns() as turns:
        client = turns.open(d=400)
        began = time.monotonic()
        server = turns.taken()
        spent = time.monotonic() - began
        turns.hears(server)
        server.say("UP r1")
        turns.hears(client)
        turns.lines.append(f"let in after a quarter of its time: {0.08 < spent < 0.3}")
        left = turns.open("k2", d=2000)
        turns.for_ms(20)
        left.finish()
        turns.until(lambda: turns.proxy.ready)
        turns.for_ms(30)
        turns.lines.append(f"who left meanwhile is dialled: {turns.dialled()}")
        return turns.lines


@pytest.mark.parametrize("answered", (True, False))
@pytest.mark.parametrize("turn", range(6))
def test_list_and_connection_in_one_turn(turn, answered):
    """After any number of turns of its dial a server drains: unless the line had left already, it never does. By the
    watch that was answered, or by a second one that is asked while none was."""
    with Turns() as turns:
        if answered:
            watch = turns.watched("a", "b")
        else:
            turns.watch()
            watch, _ = turns.watch()
            turns.head(watch)
        # Let in after a quarter of its time, before a third watch is asked.
        turns.open(d=2000 if answered else 700)
        turns.until(lambda: turns.proxy.clients)
        turns.turn(turn)
        place, was_sent = turns.of_dial(), turns.sent()
        turns.chunk(
            watch, json.dumps(turns.list(place, whole=False, health="draining")) + "\n"
        )
        time.sleep(0.02)
        turns.until(turns.sent)
        turns.for_ms(20)
        taken = Peer(turns, "server that drains", turns.servers[place].accept()[0])
        assert turns.hears(taken).startswith("OPEN") == was_sent
        assert turns.dialled() != was_sent


@pytest.mark.parametrize("turn", range(6))
def test_back_at_another_address(turn):
    """Gone and back under its name, in one list, while a dial comes up at where it was: who answers there was not
    meant."""
    with Turns(("a",)) as turns:
        watch = turns.watched("a")
        turns.open()
        turns.until(lambda: turns.proxy.clients)
        turns.turn(turn)
        was_sent = turns.sent()
        old, turns.servers["a"] = turns.servers["a"], listener()
        found = turns.list("a", "a", whole=False)
        found["hosts"][0]["health"] = "gone"
        turns.chunk(watch, json.dumps(found) + "\n")
        time.sleep(0.02)
        turns.for_ms(30)
        turns.until(lambda: select.select([old], [], [], 0)[0])
        there = Peer(turns, "old address", old.accept()[0])
        assert turns.hears(there).startswith("OPEN") == was_sent
        assert turns.sent() == was_sent
        old.close()


def known_list_with_a_bad_entry():
    """Not known from that version on: the watch asks for all."""
    hosts = [
        {"host": name, "dial": "127.0.0.1:1", "health": "ready", "share": share}
        for name, share in (("a", 1.0), ("b", "much"))
    ]
    with Turns(known={"seq": 7, "whole": True, "hosts": hosts}) as turns:
        _, request = turns.watch()
        turns.lines.append(f"{request}, ready {ready(turns)}")
        return turns.lines


def fault_while_the_first_list_is_awaited():
    """Nothing of it was sent: refused."""
    with Turns() as turns:
        client = turns.open()
        turns.until(lambda: turns.proxy.early_clients)
        next(iter(turns.proxy.early_clients)).fault()
        turns.hears(client)
        turns.lines.append(f"still waits: {len(turns.proxy.early_clients)}")
        return turns.lines


SCENARIOS = {
    run.__name__: run
    for run in (
        list_indented_and_in_pieces,
        answer_of_a_stated_length,
        answer_cut_in_the_middle,
        entry_that_cannot_be_read,
        whole_list_with_a_bad_entry,
        exception_while_a_list_is_taken,
        never_answered,
        answered_late,
        both_answer_in_one_turn,
        trickle,
        older_list_at_a_new_address,
        reload_between_two_watches,
        line_before_the_first_list,
        line_before_a_list_that_does_not_come,
        fault_while_the_first_list_is_awaited,
        known_list_with_a_bad_entry,
    )
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_trace(name):
    assert kept(name, SCENARIOS[name]())
