"""The scripts of tests/test_golden_lines.py: what clients, servers and discovery send, bytes in."""

from collections.abc import Iterator
from itertools import cycle

from golden_proxy import Scene, started

START_MS = 1_700_000_000_000.0  # the virtual world's wall clock at its start, Unix milliseconds
HTTP = "HTTP/1.1 200 OK\r\n"
CHUNKED = HTTP + "Transfer-Encoding: chunked\r\n\r\n"

BAD_LINES = {
    "no OPEN": "HELLO id key c=any\r\n",
    "no values": "OPEN id key\r\n",
    "an empty word": "OPEN  key c=any\r\n",
    "a control character": "OPEN id key c=any,\x07=1\r\n",
    "not ASCII": "OPEN id key c=any,x=\xe9\r\n",
    "a value without a name": "OPEN id key c=any,=1\r\n",
    "a name twice": "OPEN id key c=any,d=1,d=2\r\n",
    "no such listener": "OPEN id key c=none\r\n",
    "no listener": "OPEN id key d=1000\r\n",
    "no such tenant": "OPEN id key c=any,t=none\r\n",
    "d is no number": "OPEN id key c=any,d=soon\r\n",
    "h is no number": "OPEN id key c=any,h=-1\r\n",
    "again is no flag": "OPEN id key c=any,again=2\r\n",
    "two lines at once": "OPEN id key c=any\r\nOPEN id2 key c=any\r\n",
    "two PINGs at once": "PING\r\nPING\r\n",
    "too long": "OPEN id key c=any,x=" + "y" * 5000 + "\r\n",
    "too long without an end": "y" * 5000,
    "half a line and the end": "OPEN id",
}


def pings() -> list[str]:
    """PING before the proxy is ready and after, several times, then an OPEN on the same connection."""
    scene = Scene(known=False, discovery=True)
    scene.proxy.start()
    scene.client("PING\r\n")
    scene.accepted["disco"][0].send(CHUNKED)
    scene.tell(scene.list("a"))
    end = scene.client("PING\r\n")
    for _ in range(12):
        end.send("PING\r\n")
        scene.proxy.run(5.0)
    scene.pass_time(12)
    return scene.lines


def bad_lines() -> list[str]:
    """Each kind of line that no client sends."""
    scene = started()
    for what, text in BAD_LINES.items():
        scene.lines.append(f"-- {what}")
        end = scene.client(text)
        if what.endswith("the end"):
            end.finish()
            scene.proxy.run(20.0)
    return scene.lines


def served() -> list[str]:
    """One session with lines and load in both directions, ended by its server; ends and breaks from either side."""
    scene = started()
    client = scene.open(1, "h=0.5,c=any,t=t,d=1500,g=group,r=1,again=1,more=2")
    server = scene.server()
    server.send("LOAD 0.2\r\nUP r1\r\nfirst\r\nha")
    scene.proxy.run(5.0)
    client.send("line one\r\nand half")
    scene.proxy.run(5.0)
    client.send(" of another\r\n\x00\xff raw\r\n")
    server.send("lf\r\nLOAD 0.7\r\nLOAD x\r\nBYE inflight=1\r\n")
    scene.proxy.run(5.0)
    server.finish()
    scene.proxy.run(50.0)
    for number, what in enumerate(("client ends", "client breaks", "server breaks"), 2):
        scene.lines.append(f"-- {what}")
        client = scene.open(number)
        server = scene.server()
        server.send("UP r\r\n")
        scene.proxy.run(5.0)
        if what == "client ends":
            client.finish()
        elif what == "client breaks":
            client.reset()
        else:
            server.reset()
        scene.proxy.run(3000.0)
    return scene.lines


def head_values() -> list[str]:
    """What a server is sent: the line as it came, but for `d`, which is cut to the listener's and the time left."""
    scene = started()
    values = [
        "c=any",
        "c=any,d=9999",
        "d=700.5,c=any",
        "c=any,d=1000,x=d=5",
        "c=once,t=t,mid=1",
        "c=any,h=12.5,z=",
    ]
    for number, text in enumerate(values):
        scene.open(number, text)
        scene.server().send("ERR\r\n")
        scene.proxy.run(3000.0)
    return scene.lines


def answers() -> Iterator[str]:
    """Each first word of a server, for a session that may be repeated and one that may not."""
    for listener in ("any", "once"):
        for text in (
            *(
                "BUSY\r\n",
                "BUSY inflight=3,queue=2\r\n",
                "BUSY\r\nERR\r\n",
                "ERR\r\n",
                "ERR util=0.9\r\n",
            ),
            *(
                "BYE inflight=1\r\n",
                "MOVE\r\n",
                "WHAT\r\n",
                "\r\n",
                "x" * 5000,
                "(finish)",
                "(reset)",
                "",
            ),
        ):
            yield f"-- {listener}: {text[:30]}"
            scene = started(
                "a",
                "b",
                report={"how": "inline", "names": ["inflight", "waiting", "cpu"]},
            )
            scene.open(1, f"c={listener},d=1500")
            server = scene.server()
            if text.startswith("("):
                server.finish() if text == "(finish)" else server.reset()
            elif text:
                server.send(text)
            scene.proxy.run(100.0)
            later = scene.server()
            if later is not server:
                later.send("UP second\r\n")
            scene.proxy.run(4000.0)
            yield from scene.lines


def nobody_there() -> list[str]:
    """Refused where all servers turn away or are not there, with a time to come back."""
    scene = Scene(("a",), known=True)
    scene.proxy.start()
    scene.open(1, "c=any,d=500")
    for _ in range(3):
        scene.server().send("BUSY\r\n")
        scene.proxy.run(200.0)
    scene.proxy.run(1000.0)
    empty = Scene(("a",), known=False)
    empty.proxy.start()
    empty.open(1, "c=any,d=500", 1000.0)
    empty.open(2, "c=once,d=500", 1000.0)
    return [*scene.lines, "-- nobody known", *empty.lines]


def moved() -> list[str]:
    """A drain sends the client away between two lines; `d` is told to the server that holds a standing one."""
    scene = started(known=True, discovery=True)
    scene.accepted["disco"][-1].send(CHUNKED)
    scene.tell(scene.list("a", "b"))
    client = scene.open(1)
    server = scene.server()
    server.send("UP r1\r\nhalf ")
    scene.proxy.run(5.0)
    client.send("a line\r\n")
    name = server.name.partition("-")[0]
    scene.tell(scene.list(name, whole=False, health="draining"))
    scene.pass_time(3)
    server.send("a line\r\n")
    scene.pass_time(1)
    return scene.lines


def standing() -> list[str]:
    """Connections from before the start, at a server that is known and one that is not."""
    scene = started()
    scene.open(1, "c=any,at=a")
    scene.server().send("UP r1\r\n")
    scene.proxy.run(50.0)
    scene.open(2, "c=any,at=nobody", 41_000.0)
    scene.open(1, "c=any")
    return scene.lines


def stopping() -> list[str]:
    """SIGTERM with one session up, one that waits, and one that comes after."""
    scene = started(familyInfo={"mode": "proxy"})
    scene.open(1)
    scene.server().send("UP r1\r\n")
    scene.proxy.run(20.0)
    scene.open(2)
    scene.proxy.stop()
    scene.client("PING\r\n")
    scene.open(3)
    scene.proxy.run(6000.0)
    return scene.lines


def probes() -> list[str]:
    """STATS on links that are kept, answered well, oddly, late, and closed for idleness."""
    limits = {"maxDials": 3, "mayProbe": True, "idleCloseS": 1.0}
    scene = started(
        limits=limits, report={"how": "on_probe", "names": ["inflight", "waiting"]}
    )
    answers = (
        "PONG inflight=1,queue=0\r\n",
        "BUSY\r\n",
        "PONG\r\n",
        "WHAT\r\n",
        "PONG a\r\nPONG b\r\n",
        "",
    )
    replies = cycle(answers)
    scene.answer = lambda text: (
        next(replies)
        if text == "STATS\r\n"
        else "UP r\r\n"
        if text[:4] == "OPEN"
        else ""
    )
    for number in range(40):
        scene.open(number)
        scene.proxy.run(100.0)
    scene.proxy.run(3000.0)
    return scene.lines


def chunk(text: str) -> str:
    """Returns one chunk of an answer."""
    return f"{len(text):x}\r\n{text}\r\n"


DISCOVERY = {
    "chunks": [
        CHUNKED,
        '5\r\n{"seq',
        '\r\n9;ext=1\r\n":7,"whol\r\n',
        '15\r\ne":true,"hosts":[]}\n\n\r\n',
    ],
    "a stated length": [
        HTTP + "Content-Length: 37\r\n\r\n",
        '{"seq":9,"whole":true,"hosts":[    ]}\n',
    ],
    "to its end": [
        HTTP + "\r\n",
        '{"seq":9,"whole":true,\n "hosts":[]}',
        '\n\n{"seq":11,"hosts":[]}',
    ],
    "another status": ["HTTP/1.1 503 Service Unavailable\r\n\r\n"],
    "no HTTP": ["SSH-2.0\r\n"],
    "a length that is none": [HTTP + "Content-Length: many\r\n\r\n"],
    "a chunk's size that is none": [CHUNKED, "zz\r\n"],
    "a chunk longer than it says": [CHUNKED, "2\r\n{}}\r\n"],
    "the last chunk": [CHUNKED, "0\r\n\r\n"],
    "no object": [CHUNKED, "3\r\n[1]\r\n"],
    "a string without an end": [CHUNKED, '7\r\n{"a": "\n\r\n'],
    "a bracket that was not open": [CHUNKED, '4\r\n{"a"]\r\n'],
    "no list": [CHUNKED, '9\r\n{"seq":8}\r\n'],
    "an entry that can't be read": [
        CHUNKED,
        chunk('{"seq":8,"whole":true,"hosts":[{"host":1}]}\n'),
    ],
    "silence": [],
}


def watches() -> Iterator[str]:
    """What discovery is asked, from which version, and when again, after each kind of answer."""
    for mode in ("automatic", "subscribe"):
        for what, parts in DISCOVERY.items():
            yield f"-- {mode}: {what}"
            scene = started(known=False, discovery=True, membershipMode=mode)
            for part in parts:
                scene.accepted["disco"][0].send(part)
                scene.proxy.run(10.0)
            scene.proxy.run(1000.0)
            scene.accepted["disco"][0].finish()
            scene.proxy.run(600.0 if mode == "automatic" else 6000.0)
            yield from scene.lines


def lists() -> list[str]:
    """Servers come, change their address, drain, go and come back; where the dials go shows what was read."""
    scene = started("a", "b", "c", known=False, discovery=True)
    scene.accepted["disco"][-1].send(CHUNKED)
    changes = [
        scene.list("a"),
        scene.list("b", whole=False),
        scene.list("a", whole=False, health="draining"),
        scene.list("a", whole=False, dial="c.lab:9000", born_ms=1),
        scene.list("b", whole=False, health="gone"),
        scene.list("c", whole=False, health="odd"),
        scene.list("c", whole=True, share=None, born_ms=None, site=None, block=None),
    ]
    for number, change in enumerate(changes):
        scene.tell(change)
        scene.proxy.run(700.0)
        for part in ("x", "y"):
            scene.open(f"{number}{part}", "c=any,d=300")
            scene.server().send("UP r\r\nBYE\r\n")
            scene.proxy.run(10.0)
            scene.server().finish()
            scene.proxy.run(100.0)
    return scene.lines


def placed(scene: Scene, first: int, sessions: int) -> None:
    """Opens sessions one by one, each ended by its server: the transcript shows where they went."""
    for number in range(first, first + sessions):
        scene.open(number, "c=any,d=300")
        server = scene.server()
        server.send("UP r\r\nBYE\r\n")
        scene.proxy.run(10.0)
        server.finish()
        scene.proxy.run(100.0)


def weights() -> list[str]:
    """Servers of two weights, which change: the heavier one gets more, and what is no weight counts as 1."""
    scene = started(known=False, discovery=True, weightSource="nominal")
    scene.accepted["disco"][-1].send(CHUNKED)
    for number, share in enumerate((4.0, 0.25, 0, None)):
        scene.tell(scene.list("a"))
        scene.tell(scene.list("b", whole=False, share=share))
        scene.lines.append(f"-- b has a share of {share}")
        placed(scene, 20 * number, 20)
    return scene.lines


def starts() -> list[str]:
    """Servers that started just now, before, and again: one that is warming gets less, also beside a drain."""
    duties = {"drainGraceS": 0.5, "startCapacity": 0.1, "coldS": 4.0, "tipMultiple": 2}
    scene = started("a", "b", "c", known=False, discovery=True, obligations=duties)
    scene.accepted["disco"][-1].send(CHUNKED)
    scene.tell(scene.list("a", "b", "c"))
    placed(scene, 0, 8)
    changes = (
        ("b started long ago", {"born_ms": 1.0}),
        ("b starts", {"born_ms": START_MS + 3000.0}),
        ("b drains, with its old start", {"health": "draining", "born_ms": 1.0}),
        ("b is back with the old start", {"born_ms": 1.0}),
        ("b starts once more", {"born_ms": START_MS + 9000.0}),
        ("b drains, started anew", {"health": "draining", "born_ms": START_MS + 9500}),
        ("b is back, started anew", {"born_ms": START_MS + 9500.0}),
        ("no start is named", {"born_ms": None}),
    )
    for number, (what, values) in enumerate(changes, 1):
        scene.lines.append(f"-- {what}")
        scene.tell(scene.list("b", whole=False, **values))
        placed(scene, 20 * number, 12)
    return scene.lines


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        *(
            pings,
            bad_lines,
            served,
            head_values,
            answers,
            nobody_there,
            moved,
            standing,
            stopping,
        ),
        *(probes, watches, lists, weights, starts),
    )
}
