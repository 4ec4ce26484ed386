"""What operators are told: HTTP answers, the control socket, the file of servers in maintenance, the log's keys."""

import json
import os
import pathlib
from typing import Any

import pytest

import golden_edges
import golden_fleet
from golden_files import bytes_of, check_golden, compare_golden, read_golden, text_of
from golden_proxy import LIMITS, Scene, started

HEAD = " HTTP/1.1\r\nHost: x\r\n\r\n"
CALLS = [
    *(
        "GET /status" + HEAD,
        "GET /status?x=%41%42&y" + HEAD,
        "GET http://n0.lab/status#part" + HEAD,
    ),
    *(
        "get /status" + HEAD,
        "PUT /status" + HEAD,
        "GET /nowhere" + HEAD,
        "GET /peers" + HEAD,
    ),
    "\r\n\r\nGET /status HTTP/1.0\r\nContent-Length: 4\r\nX: y\r\n\r\nbody",
    *("PUT /maintenance/enter" + HEAD, "PUT /maintenance/enter?host=" + HEAD),
    *(
        "PUT /maintenance/enter?host=a&host=b" + HEAD,
        "PUT /maintenance/enter?host=nobody" + HEAD,
    ),
    *("GET /maintenance/enter?host=a" + HEAD, "PUT /maintenance/enter?host=%61" + HEAD),
    *(
        "GET /status/metrics" + HEAD,
        "PUT /maintenance/exit?host=a" + HEAD,
        "PUT /maintenance/exit?host=a" + HEAD,
    ),
    *(
        "GET /status/metrics" + HEAD,
        "GET /status HTTP/2.0\r\n\r\n",
        "GET /status\r\n\r\n",
        "GET status" + HEAD,
    ),
    *(
        "GET /%zz" + HEAD,
        "GET /%ff" + HEAD,
        "GET /status HTTP/1.1\r\nno header\r\n\r\n",
    ),
    "GET /status HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "GET /status HTTP/1.1\r\nContent-Length: two\r\n\r\n",
    "GET /status HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    "GET /status HTTP/1.1\r\nContent-Length: 99999\r\n\r\n",
    "GET /status HTTP/1.1\r\n" + "X: y\r\n" * 65 + "\r\n",
    "GET /" + "x" * 9000 + HEAD,
]


def http_answers() -> dict[str, str]:
    """Calls of each path, good and bad, while the proxy serves; then what else it answers at its start and end."""
    scene = started()
    scene.open(1)
    scene.server().send("UP r1\r\n")
    scene.proxy.run(20.0)
    scene.open(2, "c=once,d=500")
    scene.server().send("ERR\r\n")
    scene.proxy.run(20.0)
    answers = {
        f"{number} {call[:60]}": scene.call(call)
        for number, call in enumerate(CALLS, 1)
    }
    answers["half a call, then nothing"] = slow_call(scene)
    scene.proxy.stop()
    answers["stopping"] = scene.call("GET /status" + HEAD)
    scene = Scene(known=False, discovery=True)
    scene.proxy.start()
    for path in ("GET /status", "GET /status/metrics", "PUT /maintenance/enter?host=a"):
        answers[f"starting: {path}"] = scene.call(path + HEAD)
    return answers


def slow_call(scene: Scene) -> str:
    """A call that never comes whole; the answer is that to the time that has passed."""
    answer = scene.call("GET /status HTTP/1.1\r\n")
    before = len(scene.lines)
    scene.proxy.run(3000.0)
    return answer + "".join(
        line.partition(" gets ")[2]
        for line in scene.lines[before:]
        if "operator" in line
    )


def test_http_answers() -> None:
    check_golden("http_answers.json", http_answers())


def test_each_status_is_recorded() -> None:
    statuses = {answer[9:12] for answer in read_golden("http_answers.json").values()}
    assert statuses == {
        "200",
        "400",
        "404",
        "405",
        "408",
        "413",
        "431",
        "501",
        "503",
        "505",
    }


def test_an_http_answer_with_a_changed_byte_is_seen() -> None:
    answers = read_golden("http_answers.json")
    first = next(iter(answers))
    with pytest.raises(AssertionError):
        compare_golden(
            "http_answers.json",
            {**answers, first: answers[first].replace("ready", "Ready")},
        )


# Peers


def fleets(
    monkeypatch: pytest.MonkeyPatch,
) -> dict[str, tuple[golden_fleet.RecordedFleet, str]]:
    """Fleets without zones and with them, after their faults, and one instance of each."""
    with monkeypatch.context() as patch:
        without = golden_fleet.play_without_zones(patch)
    with monkeypatch.context() as patch:
        zoned = golden_fleet.play_with_zones(patch)
    return {"without zones": (without, "a-0"), "with zones": (zoned, "e-0")}


def control_answers(fleet: golden_fleet.RecordedFleet, name: str) -> dict[str, Any]:
    """What one instance answers on its control socket, to good requests and bad ones."""
    instance, clock, found = fleet.peers[name], fleet.hosts[name].clock, {}
    other = next(each for each in fleet.peers if each != name)
    for what, request in {
        "all": {},
        "compare": {"compare": True},
        "remove nobody": {"remove": "nobody"},
        "remove itself": {"remove": name},
        "remove another": {"remove": other},
        "no object": [],
    }.items():
        wire = golden_edges.control_answer(
            instance, clock, LIMITS, json.dumps(request).encode() + b"\n"
        )
        fleet.run(2.0)
        found[what] = text_of(wire.sent)
    # What follows is the JSON library's own text.
    wire = golden_edges.control_answer(instance, clock, LIMITS, b"{half\n")
    found["no JSON"] = text_of(wire.sent).partition("request: ")[0]
    wire = golden_edges.control_answer(instance, clock, LIMITS, b"x" * 70_000)
    found["too long"] = [text_of(wire.sent), wire.closed]
    found["in the log's figures"] = golden_edges.counts_for_log(instance)
    return found


def test_control_socket(monkeypatch: pytest.MonkeyPatch) -> None:
    found = {what: control_answers(*each) for what, each in fleets(monkeypatch).items()}
    check_golden("control.json", found)


def test_http_answer_of_the_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    scene, found = started(), {}
    for what, (fleet, name) in fleets(monkeypatch).items():
        for call in ("GET /peers", "PUT /peers", "GET /nowhere"):
            answer = golden_edges.call_with_peers(
                scene.proxy.internal(), fleet.peers[name], (call + HEAD).encode()
            )
            found[f"{what}: {call}"] = text_of(answer)
    check_golden("http_peers.json", found)


# The file of servers in maintenance

RECORDED = (
    '{"version":1,"out":{"a":1800000000000.0,"b \\"quoted\\" \u00e9":1800000000123.25}}'
)


def test_the_written_file_of_servers_in_maintenance(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "file.out"
    golden_edges.write_maintenance(
        path, {"a": 1.8e12, 'b "quoted" \u00e9': 1.8e12 + 123.25}
    )
    assert path.read_bytes() == RECORDED.encode()
    assert path.stat().st_mode & 0o777 == 0o600
    assert os.listdir(tmp_path) == ["file.out"]
    golden_edges.write_maintenance(path, {})
    assert path.read_bytes() == b'{"version":1,"out":{}}'


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (RECORDED, {"a": 1.8e12, 'b "quoted" \u00e9': 1.8e12 + 123.25}),
        ('{"out":{"a":5},"version":1,"more":[]}', {"a": 5}),
        ('{"version":1,"out":{}}', {}),
    ],
)
def test_a_recorded_file_of_servers_in_maintenance(
    tmp_path: pathlib.Path, text: str, expected: dict
) -> None:
    path = tmp_path / "file.out"
    path.write_text(text)
    assert golden_edges.read_maintenance(path) == expected


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        '{"version":2,"out":{}}',
        '{"version":1}',
        '{"version":1,"out":[]}',
        '{"version":1,"out":{"a":"x"}}',
    ]
    + [RECORDED.replace("version", "Version"), RECORDED.replace('"out"', '"off"')],
)
def test_what_is_no_file_of_servers_in_maintenance(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / "file.out"
    path.write_text(text)
    with pytest.raises(ValueError):
        golden_edges.read_maintenance(path)


def test_the_name_of_the_file_of_servers_in_maintenance(tmp_path: pathlib.Path) -> None:
    values = {**Scene().values(True, False, {}), "admin_addr": "127.0.0.1:9100"}
    assert (
        golden_edges.maintenance_path(values, "/state")
        == "/state/wheathill-04e7dd3f.out"
    )
    assert golden_edges.maintenance_path(values, None) is None
    assert golden_edges.read_maintenance(tmp_path / "not there") == {}


# The log


def keys_of(value: Any, path: str = "") -> list[str]:
    """Returns the paths of all keys, in order."""
    if not isinstance(value, dict):
        return [path]
    return [
        found
        for key, inner in value.items()
        for found in keys_of(inner, f"{path}.{key}" if path else key)
    ] or [path]


def test_the_keys_of_the_figures_in_the_log() -> None:
    scene = started(
        limits={"maxDials": 3, "mayProbe": True},
        report={"how": "on_probe", "names": ["inflight"]},
    )
    scene.answer = lambda text: "PONG inflight=1\r\n" if text == "STATS\r\n" else ""
    for number, answer in enumerate(
        ("UP r\r\n", "BUSY\r\n", "ERR\r\n", "BYE\r\n", "MOVE\r\n", "")
    ):
        client = scene.open(number, f"c={('any', 'once')[number % 2]}")
        if answer:
            scene.server().send(answer)
        scene.proxy.run(300.0)
        if number < 2:
            client.finish()
    scene.client("bad\r\n")
    scene.proxy.run(11_000.0)
    found = [
        fields for event, fields in scene.proxy.log if event == golden_edges.FIGURES
    ]
    check_golden("log_figures.json", [keys_of(fields) for fields in found])


def test_a_line_of_the_log() -> None:
    reading, writing = os.pipe()
    golden_edges.log_line(
        writing,
        "event",
        {"what": "t\u00e9xt", "count": 3, "none": None, "path": pathlib.Path("p")},
    )
    os.close(writing)
    with open(reading, "rb") as source:
        line = source.read()
    found = json.loads(line)
    assert list(found) == ["time", "node", "event", "what", "count", "none", "path"]
    rest = line[line.index(b',"node"') :]
    assert rest == bytes_of(
        ',"node":"n0","event":"event","what":"t\xc3\xa9xt","count":3,"none":null,"path":"p"}\n'
    )
