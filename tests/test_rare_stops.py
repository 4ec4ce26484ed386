"""Moments at which a stop crosses with who comes, waits or reads slowly."""

import signal
import time

import pytest

from drive import Rig, kept
from turns import Turns, blocked, read_slowly
from wheathill.log_events import LogEvent

pytestmark = pytest.mark.processes


def stop_behind_unread_lines():
    """The end of this process follows the bytes, within the time in which it may be killed."""
    # Who reads nothing for as long as ends linger is cut off, stop or not: here it reads again before.
    with Turns(
        dial=4.0,
        limits={"linger_ms": 6000.0},
        settings={"familyInfo": {"mode": "proxy"}},
    ) as turns:
        client = blocked(turns)
        ended = []
        turns.proxy.stop(lambda: ended.append(turns.proxy.now()))
        turns.for_ms(1300)
        turns.lines.append(f"ended with lines unsent: {bool(ended)}")
        got, _ = read_slowly(turns, client, 1, 1 << 20)
        turns.lines.append(f"last come {got[-9:]}")
        turns.until(lambda: ended)
        turns.lines.append(
            f"in time: {ended[0] - turns.proxy.stopping_since_ms < 4700}"
        )
        return turns.lines


def stop_behind_who_never_reads():
    with Turns(dial=0.5, settings={"familyInfo": {"mode": "proxy"}}) as turns:
        blocked(turns)
        ended = []
        turns.proxy.stop(lambda: ended.append(turns.proxy.now()))
        turns.until(lambda: ended)
        turns.lines.append(
            f"in time: {ended[0] - turns.proxy.stopping_since_ms < 1200}"
        )
        return turns.lines


def stopping(**more):
    return Rig(mode="proxy", **more)


def line_in_the_backlog_at_the_end():
    """It comes while this process stands still, and is met in the turn in which the stop would have ended."""
    with stopping() as rig:
        rig.watched("a", "b")
        rig.stop()
        rig.process.send_signal(signal.SIGSTOP)
        client = rig.open(d=2000)
        time.sleep(0.9)  # longer than newcomers are waited for
        rig.process.send_signal(signal.SIGCONT)
        server = rig.taken(("a", "b"))
        server.hear()
        time.sleep(0.2)  # longer than what lingers at the end
        server.say("UP r1")
        client.hear()
        client.hear()  # MOVE
        rig.end()
        return rig.lines


def let_in_and_silent_at_the_end():
    """Who was let in without a line, but one that only looks, is waited for."""
    with stopping() as rig:
        rig.watched("a", "b")
        prober = rig.client("prober")
        prober.say("PING")
        prober.hear()
        rig.stop()
        client = rig.client()
        time.sleep(1.1)
        client.say("OPEN id k c=any,d=1000")
        server = rig.taken(("a", "b"))
        server.hear()
        server.say("UP r1")
        client.hear()
        client.hear()
        rig.end()
        return rig.lines


def still_waiting_at_the_end():
    """Who came late and has more time than this process: a final answer, refused where it is known not to have run."""
    settings = {
        "listeners": [{"name": "any", "repeat": "retryable", "dialTimeoutS": 1.0}]
    }
    with stopping(settings=settings) as rig:
        rig.watched("a", "b")
        rig.client(
            "silent client"
        )  # it is waited for, so that the stop does not end sooner
        rig.stop()
        time.sleep(0.75)
        client = rig.open(d=1000)
        first = rig.taken(("a", "b"))
        first.hear()
        first.say("BUSY")
        rig.taken(("a", "b")).hear()  # and says nothing
        client.hear()
        rig.end()
        return rig.lines


def deadlines_much_shorter():
    """The longest is 0.2 s, so that the kill may come after 0.9 s: all are told to move, and it has ended by then."""
    settings = {
        "listeners": [{"name": "any", "repeat": "retryable", "dialTimeoutS": 0.2}]
    }
    with stopping(settings=settings) as rig:
        rig.watched("a", "b")
        held = [rig.up(f"k{number}") for number in range(5)]
        del rig.lines[:]
        rig.stop()
        began = time.monotonic()
        for client, server in held:
            client.hear()
            for peer in (client, server):
                peer.sock.close()
        rig.end()
        rig.lines.append(f"before it may be killed: {time.monotonic() - began < 0.9}")
        return rig.lines


def stopped_twice_and_before_ready():
    with stopping(known=False) as rig:
        rig.process.send_signal(signal.SIGTERM)
        rig.process.send_signal(signal.SIGTERM)
        rig.until_logged(LogEvent.SHUTDOWN_STARTED)
        rig.process.send_signal(signal.SIGHUP)
        rig.until_logged(LogEvent.CONFIGURATION_RELOADED)
        prober = rig.client("prober")
        prober.say("PING")
        prober.hear()
        client = rig.open(d=300)
        client.hear()  # no server is known
        rig.end()
        return rig.lines


def handed_over_in_the_turn_of_lines_and_ends():
    """The process that is taken over from stands still as the other one asks, as a line comes and as two sessions end."""
    with Rig(inherited=True, names=("a",)) as rig:
        rig.watched("a")
        (client, server), (leaves, left), (told, ends) = [
            rig.up(f"k{number}", names=("a",)) for number in range(3)
        ]
        del rig.lines[:]
        rig.process.send_signal(signal.SIGSTOP)
        client.say("a line")
        leaves.finish()
        ends.say("BYE")
        ends.finish()
        rig.begin_beside()
        time.sleep(0.2)  # it has asked by then
        rig.old[0].send_signal(signal.SIGCONT)
        server.hear()
        left.hear()
        told.hear()
        told.hear()
        rig.until_logged(LogEvent.HANDOVER_RECEIVED)
        server.say("and back")
        client.hear()
        rig.old[0].send_signal(signal.SIGTERM)
        rig.lines.append(f"the older one exits with {rig.old[0].wait(8)}")
        client.say("another")
        server.hear()
        return rig.lines


SCENARIOS = {
    run.__name__: run
    for run in (
        stop_behind_unread_lines,
        stop_behind_who_never_reads,
        line_in_the_backlog_at_the_end,
        let_in_and_silent_at_the_end,
        still_waiting_at_the_end,
        deadlines_much_shorter,
        stopped_twice_and_before_ready,
        handed_over_in_the_turn_of_lines_and_ends,
    )
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_trace(name):
    assert kept(name, SCENARIOS[name]())
