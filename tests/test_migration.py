"""Which sessions the decisions ask to reconnect, in batches, where some can't be moved at once."""

from collections import Counter

import pytest

from drive import Drive
from wheathill.model import Phase, Session, UpdateKind


class StuckSessions(Drive):
    """Sessions at server a that stay although they are asked, as it hangs within lines."""

    def __init__(self, session_count: int, **settings: object) -> None:
        self.asked: list[Session] = []
        super().__init__(**settings)
        self.list("a", "b", "c", kind=UpdateKind.CACHED)
        self.loud = False
        for number in range(session_count):
            self.accept(f"s{number}")
        self.held = list(self.servers["a"].sessions)

    def migrate(self, session: Session) -> None:
        """Notes the request, which has no effect yet."""
        self.asked.append(session)


def test_an_overloaded_server_sheds_others_than_those_that_were_asked_before() -> None:
    # Guards against sessions within a line that take the place of all others each time.
    drive = StuckSessions(90, loads=dict.fromkeys("abc", 0.1))
    drive.loads["a"] = 0.97
    drive.pass_time(20_000.0)
    assert len(drive.asked) >= 4
    assert max(Counter(drive.asked).values()) == 1


@pytest.mark.parametrize("session_count", [9, 90])
def test_each_batch_of_a_shutdown_asks_others(session_count: int) -> None:
    # Guards against batches that are the same each time, and leave the rest for the end.
    drive = StuckSessions(session_count, is_passthrough=False)
    rounds = 0
    while len(set(drive.asked)) < session_count:
        drive.balancer.on_stop(drive.now, False)
        rounds += 1
        assert rounds <= session_count
    assert len(drive.asked) == session_count


def test_the_batches_of_a_drain_ask_others_and_the_last_asks_all() -> None:
    # Guards against a drain whose batches are filled by those that were asked before.
    drive = StuckSessions(90)
    drive.list(("a", Phase.DRAINING))
    asked: list[int] = []
    for _ in range(4):
        drive.until(drive.now + 1000.0)
        asked.append(len(set(drive.asked)))
    third = len(drive.held) / 3
    assert abs(asked[0] - third) <= 1
    assert abs(asked[1] - 2 * third) <= 2
    assert asked[2] == len(drive.held)
