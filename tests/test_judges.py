"""The judges of the lab, fed with events: what they name, and what they must not."""

from collections import defaultdict

from wheathill.lab.judging.judges import DuplicateEffectJudge

SLACK_MS = 50.0
SESSION = "session-1"


def judged(*events: tuple, repeat: str = "referenced", end_ms: float = 9000.0):
    """Returns what the judge of effects finds in (time, kind, fields)."""
    breaches: list = []
    judge = DuplicateEffectJudge(
        breaches,
        defaultdict(list),
        SLACK_MS,
        retry_rules={"any": (repeat, "cell", 600.0)},
    )
    for now_ms, kind, fields in events:
        judge.observe(now_ms, kind, fields)
    judge.finish(end_ms)
    return [breach.what for breach in breaches]


def opened(now_ms: float, mid: bool = False) -> tuple:
    """Returns the event of a session that a proxy has taken."""
    return now_ms, "open", {"sess": SESSION, "listener": "any", "mid": mid}


def dialled(now_ms: float, server: str) -> tuple:
    """Returns the event of a request that a server has read."""
    return now_ms, "dial", {"sess": SESSION, "server": server, "first": now_ms}


def dial_over(now_ms: float, server: str, how: str = "closed") -> tuple:
    """Returns the event of an attempt that has ended, as its server sees it."""
    return now_ms, "dial over", {"sess": SESSION, "server": server, "how": how}


def host(now_ms: float, name: str, state: str) -> tuple:
    """Returns the event of a host whose state changes."""
    return now_ms, "host", {"name": name, "state": state}


def test_an_attempt_that_is_read_after_a_pause_is_no_second_one():
    # Guards against blaming a proxy that gave the attempt at a paused server up long ago.
    found = judged(
        opened(0.0),
        host(10.0, "a", "paused"),
        dialled(500.0, "b"),
        dialled(2000.0, "a"),
        host(2000.0, "a", "up"),
        dial_over(2000.0, "a"),
        dial_over(2500.0, "b"),
    )
    assert found == []


def test_two_attempts_at_once_are_named_also_where_one_server_was_paused():
    # Guards against a judge that no longer looks at servers that were ever paused.
    found = judged(
        opened(0.0),
        host(10.0, "a", "paused"),
        host(300.0, "a", "up"),
        dialled(500.0, "b"),
        dialled(600.0, "a"),
        dial_over(900.0, "b"),
        dial_over(950.0, "a"),
    )
    assert found == ["two dials out at once for 300 ms"]


def test_once_only_is_named_also_where_the_attempt_is_read_after_a_pause():
    # Guards against a second attempt that hides behind a paused server.
    found = judged(
        opened(0.0),
        host(10.0, "a", "paused"),
        dialled(500.0, "b"),
        dial_over(600.0, "b"),
        dialled(2000.0, "a"),
        host(2000.0, "a", "up"),
        repeat="once-only",
    )
    assert found == ["dialled again, once-only, though the dial at b may have run"]


def ran(now_ms: float, server: str) -> tuple:
    """Returns the event of a request that took effect."""
    return now_ms, "ran", {"sess": SESSION, "server": server, "copy": False}


def answered(now_ms: float, word: str) -> tuple:
    """Returns the event of an answer that the client got."""
    return now_ms, "answer", {"sess": SESSION, "word": word, "rest": ""}


def test_packets_that_arrive_mid_flow_may_be_refused():
    # Guards against counting what ran at another proxy, whose answer was UP.
    found = judged(
        opened(0.0),
        dialled(10.0, "a"),
        ran(20.0, "a"),
        answered(30.0, "UP"),
        opened(1000.0, mid=True),
        answered(1010.0, "BUSY"),
    )
    assert found == []


def test_what_ran_mid_flow_may_not_be_refused():
    # Guards against a judge that no longer looks at packets that arrive mid-flow.
    found = judged(
        opened(0.0),
        dialled(10.0, "a"),
        ran(20.0, "a"),
        answered(30.0, "UP"),
        opened(1000.0, mid=True),
        dialled(1005.0, "b"),
        ran(1010.0, "b"),
        answered(1020.0, "BUSY"),
    )
    assert "refused although it ran at b" in found
