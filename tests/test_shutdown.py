"""A planned restart: SIGTERM, and SIGKILL a stated time later, in virtual time.

The platform kills the process at the longest dial timeout, of which 3 s count at most,
and 0.7 s more after SIGTERM. By then each session that was taken has its final answer.
"""

import itertools
import math

import pytest

from golden_proxy import End, Scene, started

# What the platform waits between SIGTERM and SIGKILL.
MAX_COUNTED_DIAL_TIMEOUT_MS = 3000.0
KILL_MARGIN_MS = 700.0
# New connections go on coming for so long after SIGTERM.
LAST_CLIENT_MS = 300.0
ANSWERS = ("BUSY", "ERR")


def kill_after_ms(dial_timeout_ms: float) -> float:
    """Returns when the platform kills the process, counted from SIGTERM."""
    return min(dial_timeout_ms, MAX_COUNTED_DIAL_TIMEOUT_MS) + KILL_MARGIN_MS


class PlannedRestart:
    """A proxy whose servers hang from shortly before SIGTERM on."""

    def __init__(
        self, mode: str, dial_timeout_ms: float, repeat: str = "retryable"
    ) -> None:
        self.dial_timeout_ms = dial_timeout_ms
        self.numbers = itertools.count(1)
        self.waiting: list[End] = []
        self.scene = started(
            "a",
            "b",
            "c",
            familyInfo={"mode": mode},
            listeners=[
                {
                    "name": "any",
                    "repeat": repeat,
                    "dialTimeoutS": dial_timeout_ms / 1000,
                }
            ],
            limits={"maxDials": 3, "mayProbe": True},
            report={"how": "on_probe", "names": ["inflight"]},
        )
        # Servers that have answered a probe just now may use all of a session's time.
        self.scene.answer = self.answer_probes
        self.scene.proxy.run(3000.0)
        self.scene.answer = Scene.no_answer

    @staticmethod
    def answer_probes(text: str) -> str:
        """Answers probes alone."""
        return "PONG inflight=1\r\n" if text == "STATS\r\n" else ""

    def open(self) -> End:
        """A session that no server answers."""
        values = f"c=any,t=t,d={self.dial_timeout_ms:.0f}"
        client = self.scene.open(next(self.numbers), values, then_ms=5.0)
        self.waiting.append(client)
        return client

    def stop(self) -> None:
        """SIGTERM, with sessions that came before it and some that come after."""
        for _ in range(3):
            self.open()
        self.stopped_ms = self.scene.proxy.now()
        self.scene.proxy.stop()
        while self.scene.proxy.now() < self.stopped_ms + LAST_CLIENT_MS:
            self.open()
            self.run_until(self.since_stop() + 40.0)

    def since_stop(self) -> float:
        """Returns the time since SIGTERM, in ms."""
        return self.scene.proxy.now() - self.stopped_ms

    def run_until(self, since_stop_ms: float) -> None:
        """Lets time pass."""
        self.scene.proxy.run(since_stop_ms - self.since_stop())

    def answers(self, client: End) -> list[str]:
        """Returns the first word of each line that the client got."""
        gets = f" {client.name} gets "
        texts = [line.partition(gets)[2] for line in self.scene.lines if gets in line]
        return [text.split()[0] for text in texts if not text.startswith("(")]


@pytest.mark.parametrize("repeat", ["retryable", "fragile"])
@pytest.mark.parametrize("dial_timeout_ms", [300.0, 2000.0, 3000.0, 4800.0, 8000.0])
@pytest.mark.parametrize("mode", ["proxy", "pass"])
def test_each_session_is_answered_before_the_planned_kill(
    mode: str, dial_timeout_ms: float, repeat: str
) -> None:
    # Guards against sessions that are held without an answer at SIGKILL, as the longest
    # dial timeout is longer than the platform waits.
    restart = PlannedRestart(mode, dial_timeout_ms, repeat)
    restart.stop()
    restart.run_until(kill_after_ms(dial_timeout_ms))
    answers = [restart.answers(client) for client in restart.waiting]
    assert len(answers) > 8
    assert [each for each in answers if len(each) != 1 or each[0] not in ANSWERS] == []


@pytest.mark.parametrize("mode", ["proxy", "pass"])
def test_servers_are_told_the_time_that_is_left_until_the_shutdown_ends(
    mode: str,
) -> None:
    # Guards against a server that works on a session whose proxy is gone by then.
    restart = PlannedRestart(mode, 4800.0)
    restart.stop()
    restart.run_until(kill_after_ms(4800.0))
    marker = ",d="
    told = [
        (float(line.split()[0]), float(line.partition(marker)[2].split("\\r")[0]))
        for line in restart.scene.lines
        if " gets OPEN " in line
    ]
    after = [(at, wait) for at, wait in told if at > restart.stopped_ms]
    assert len(after) >= 5
    assert max(at + wait for at, wait in after) < restart.stopped_ms + kill_after_ms(
        4800.0
    )


def test_where_packets_pass_open_sessions_and_newcomers_are_served_until_the_kill() -> (
    None
):
    # Guards against a shutdown that ends what only had to be answered.
    restart = PlannedRestart("pass", 4800.0)
    open_session = restart.open()
    restart.scene.server().send("UP r1\r\n")
    restart.stop()
    restart.waiting.remove(open_session)
    restart.run_until(kill_after_ms(4800.0) + 1000.0)
    newcomer = restart.open()
    restart.scene.server().send("UP r2\r\n")
    restart.run_until(restart.since_stop() + 2000.0)
    assert restart.answers(open_session) == ["UP"]
    assert restart.answers(newcomer) == ["UP"]


@pytest.mark.parametrize("last_line", ["BYE", "MOVE"])
@pytest.mark.parametrize("in_pieces", [False, True])
def test_a_session_that_its_server_has_ended_is_not_told_to_move(
    last_line: str, in_pieces: bool
) -> None:
    # Guards against MOVE behind BYE, for which a client comes again, and a second MOVE.
    restart = PlannedRestart("proxy", 2000.0)
    client = restart.open()
    server = restart.scene.server()
    server.send("UP r1\r\n")
    restart.scene.proxy.run(20.0)
    if in_pieces:
        server.send(last_line[:2])
        restart.scene.proxy.run(20.0)
        restart.scene.proxy.stop()
        restart.scene.proxy.run(20.0)
        server.send(last_line[2:] + "\r\n")
    else:
        server.send(last_line + "\r\n")
        restart.scene.proxy.run(20.0)
        restart.scene.proxy.stop()
    restart.scene.proxy.run(500.0)
    server.finish()
    restart.scene.proxy.run(3000.0)
    told = "".join(
        line.partition(" gets ")[2].replace("\\r\\n", " ")
        for line in restart.scene.lines
        if f" {client.name} gets " in line
    )
    assert told.split() == ["UP", "r1", last_line, "(end)"]


class StreamingServers:
    """Sessions at servers that stream lines in two pieces, some of which hang midway.

    Attributes:
        sound: the clients of the servers that don't hang.
    """

    PIECE_MS = 300.0
    LINE_EVERY_MS = 2000.0

    def __init__(self, dial_timeout_ms: float, session_count: int) -> None:
        self.restart = PlannedRestart("proxy", dial_timeout_ms)
        self.scene = self.restart.scene
        self.sound: list[End] = []
        self._streams: list[tuple[float, End]] = []
        for number in range(session_count):
            client = self.restart.open()
            server = self.scene.server()
            server.send("UP r\r\n")
            if server.name.startswith("a-"):
                server.send("half a li")
            else:
                self.sound.append(client)
                self._streams.append((number * 47.0 % self.LINE_EVERY_MS, server))

    def run(self, wait_ms: float, step_ms: float = 10.0) -> None:
        """Lets time pass while the servers that don't hang send their lines."""
        now = self.scene.proxy.now
        until_ms = now() + wait_ms
        while now() < until_ms:
            begin_ms = now()
            self.scene.proxy.run(step_ms)
            for offset_ms, server in self._streams:
                before_ms = (begin_ms - offset_ms) % self.LINE_EVERY_MS
                if before_ms < self.PIECE_MS <= before_ms + step_ms:
                    server.send("34\r\n")
                elif before_ms + step_ms >= self.LINE_EVERY_MS:
                    server.send("row 12")

    def moved_ms(self, client: End) -> float:
        """Returns when the client was told to come again, or infinity."""
        told = [
            float(line.split()[0])
            for line in self.scene.lines
            if f" {client.name} gets MOVE" in line
        ]
        return told[0] - self.restart.stopped_ms if told else math.inf


@pytest.mark.parametrize("dial_timeout_ms", [300.0, 2000.0, 4800.0])
def test_servers_that_hang_within_a_line_keep_no_other_session_from_moving(
    dial_timeout_ms: float,
) -> None:
    # Guards against batches that are filled by sessions which can't be moved, and
    # against sessions that are asked so late that their server's line is cut off.
    servers = StreamingServers(dial_timeout_ms, 60)
    servers.run(2000.0)
    restart = servers.restart
    restart.stopped_ms = servers.scene.proxy.now()
    servers.scene.proxy.stop()
    servers.run(kill_after_ms(dial_timeout_ms))
    assert 20 < len(servers.sound) < 55
    ended_ms = servers.scene.proxy.ended_ms - restart.stopped_ms
    assert ended_ms < kill_after_ms(dial_timeout_ms)
    moved_ms = [servers.moved_ms(client) for client in servers.sound]
    assert [moved for moved in moved_ms if moved > ended_ms] == []
