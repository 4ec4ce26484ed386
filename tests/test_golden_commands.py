"""The command line and configuration errors: output, exit codes and the keys that are named, as recorded."""

import hashlib
import json
import pathlib
import signal
import socket
import sys
import threading
from collections.abc import Iterator
from typing import Any

import click
import pytest
from click.testing import CliRunner

import golden_edges
from golden_files import check_golden, compare_golden, read_golden
from golden_proxy import Scene
from wheathill.cli import main

GOOD = """name = "edge"
listen = "127.0.0.1:9000"
discovery = "127.0.0.1:8500"
admin_addr = "127.0.0.1:9600"
desk = ["alpha", "beta"]
zone = ["east", "west"]
own_zone = "east"
[[listener]]
name = "any"
repeat = "referenced"
window_s = 30
[[listener]]
name = "other"
[[server]]
name = "a"
address = "127.0.0.1:9101"
zone = "east"
[[server]]
name = "b"
address = "127.0.0.1:9102"
[limits]
sockets = 256
[fleet]
proxies = 3
"""
PEERS = """[peers]
cluster = "edge"
listen = "127.0.0.1:9700"
key_file = "key"
control = "control"
"""
ZONES = """zone = "east"
layout = 2
[[peers.zones]]
name = "east"
proxies = 2
seeds = ["127.0.0.1:9700"]
part = 0.5
was = 0.25
[[peers.zones]]
name = "west"
region = "far"
proxies = 1
seeds = ["127.0.0.1:9701"]
part = 0.25
was = 0.75
"""
# (what of a good file is replaced, by what)
CHANGES = [
    *[
        ('name = "edge"', 'nam = "edge"'),
        ('name = "edge"', 'name = "a b"'),
        ('name = "edge"', "name ="),
    ],
    *[
        ('"127.0.0.1:9000"', '"here"'),
        ('"127.0.0.1:9000"', '"here:99999"'),
        ('"127.0.0.1:8500"', '":1"'),
    ],
    *[
        ('["alpha", "beta"]', '["alpha", "alpha"]'),
        ('["alpha", "beta"]', "7"),
        ('own_zone = "east"', 'own_zone = "n"'),
    ],
    *[
        ('"referenced"', '"often"'),
        ("window_s = 30", "window_s = 0"),
        ("window_s = 30", "window_s = 1e9"),
    ],
    *[
        ("window_s = 30", "dial_timeout_ms = 5"),
        ("window_s = 30", "dial_timout_ms = 5"),
        ('name = "b"', 'name = "a"'),
    ],
    *[
        ('name = "other"', 'name = "any"'),
        ('zone = "east"\n[[server]]', 'zone = "n"\nstate = "gone"\n[[server]]'),
    ],
    *[
        ("sockets = 256", 'sockets = "many"'),
        ("sockets = 256", "sockets = 63"),
        ("sockets = 256", "memory_mb = 1"),
    ],
    *[
        ("sockets = 256", "dials = 0"),
        ("proxies = 3", "slots = 5000"),
        ("proxies = 3", "further_dials_free = 2"),
    ],
    *[
        ("proxies = 3", 'report_fields = ["x"]'),
        ("[fleet]", "[flett]"),
        ("[fleet]", "[goal]\nnines = 2\n[fleet]"),
    ],
    *[("proxies = 3", "proxies = 0\ncold_multiple = -1\n[prices]\nmove = 5000")],
]
PEERS_CHANGES = [
    *[
        ('cluster = "edge"', ""),
        ('listen = "127.0.0.1:9700"', 'listen = "x:y"'),
        ('"key"', '"no such file"'),
    ],
    *[
        ('"key"', '"short"'),
        ('"key"', '"open"'),
        ('"control"', '"control"\nroster = ["x"]'),
    ],
    *[
        ('"control"', '"control"\nroster = ["edge", "edge"]'),
        ('"control"', '"control"\npatience_ms = 1000'),
    ],
    *[
        ('"control"', '"control"\nzone = "east"'),
        ('zone = "east"\nlayout', 'zone = "north"\nlayout'),
    ],
    *[
        ('zone = "east"\nlayout', "layout"),
        ('region = "far"', 'regoin = "far"'),
        ("part = 0.25", "part = 0.75"),
    ],
    *[
        ("part = 0.25", ""),
        ("proxies = 1", "proxies = 9"),
        ('["127.0.0.1:9701"]', "[]"),
        ('name = "west"', 'name = "east"'),
    ],
]


@pytest.fixture(autouse=True)
def folder(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[pathlib.Path]:
    """The commands run in a folder of their own; a start that fails leaves the signals as they were."""
    monkeypatch.chdir(tmp_path)
    for name in ("NODE_FD", "NODE_ADMIN_ADDR", "NODE_CONFIG", "TMPDIR"):
        monkeypatch.delenv(name, raising=False)
    for name, text in {"key": "k" * 32, "short": "k", "open": "k" * 32}.items():
        (tmp_path / name).write_text(text)
        (tmp_path / name).chmod(0o644 if name == "open" else 0o600)
    before = signal.getsignal(signal.SIGHUP)
    yield tmp_path
    signal.signal(signal.SIGHUP, before)


def run(*arguments: str) -> dict[str, Any]:
    """Returns what a command prints and its exit code."""
    found = CliRunner().invoke(main, list(arguments))
    return {
        "exit": found.exit_code,
        "out": found.stdout.splitlines(),
        "err": found.stderr.splitlines(),
    }


def run_with(text: str, *arguments: str) -> dict[str, Any]:
    """The same with a file of that text, which is the last argument."""
    pathlib.Path("file.toml").write_text(text)
    return run(*arguments, "file.toml")


# check


def check_outputs() -> dict[str, Any]:
    """Good files, and each change that makes a file a bad one."""
    found = {
        "good": run_with(GOOD, "check"),
        "no discovery": run_with(
            GOOD.replace('discovery = "127.0.0.1:8500"\n', ""), "check"
        ),
        "peers": run_with(GOOD + PEERS, "check"),
        "zones": run_with(GOOD + PEERS + ZONES, "check"),
        "no file": run("check", "no such file.toml"),
        "empty": run_with("", "check"),
    }
    for old, new in CHANGES:
        assert old in GOOD, old
        found[f"{old} -> {new}"] = run_with(GOOD.replace(old, new, 1), "check")
    for old, new in PEERS_CHANGES:
        text = PEERS + (ZONES if old in ZONES else "")
        assert old in text, old
        found[f"peers: {old} -> {new}"] = run_with(
            GOOD + text.replace(old, new, 1), "check"
        )
    return found


def test_check() -> None:
    check_golden("check.json", check_outputs())


def test_good_files_exit_with_0_and_bad_ones_with_2() -> None:
    codes = {what: found["exit"] for what, found in read_golden("check.json").items()}
    good = ["good", "no discovery", "peers", "zones"]
    assert [what for what, code in codes.items() if code == 0] == good
    assert {code for what, code in codes.items() if what not in good} == {2}


def test_another_exit_code_is_seen() -> None:
    found = read_golden("check.json")
    with pytest.raises(AssertionError):
        compare_golden("check.json", {**found, "good": {**found["good"], "exit": 1}})


def test_daemon_with_a_faulty_file() -> None:
    found = run_with(GOOD.replace("sockets = 256", "sockets = 1"), "daemon")
    assert found == {
        "exit": 2,
        "out": [],
        "err": ["limits.sockets: expected `int` >= 64"],
    }


# schema


def shape(value: Any, definitions: dict) -> Any:
    """Returns a schema without its prose, and without the names of the program's classes."""
    if isinstance(value, list):
        return [shape(each, definitions) for each in value]
    if not isinstance(value, dict):
        return value
    if "$ref" in value:
        return shape(definitions[value["$ref"].rpartition("/")[2]], definitions)
    if "properties" in value:
        value = {
            **value,
            "properties": {
                key: shape(each, definitions)
                for key, each in value["properties"].items()
            },
        }
        return {
            key: each
            for key, each in value.items()
            if key not in ("title", "description")
        }
    return {
        key: shape(each, definitions)
        for key, each in value.items()
        if key not in ("title", "description")
    }


def test_schema_of_keys_and_limits() -> None:
    """What a file may hold; it may not change with any name or wording of the program."""
    found = json.loads("\n".join(run("schema")["out"]))
    check_golden("schema_shape.json", shape({"$ref": found["$ref"]}, found["$defs"]))


def test_schema_word_for_word() -> None:
    """The output as it is printed: with the tables' titles and descriptions."""
    check_golden("schema.json", run("schema"))


# Commands


def commands(command: click.Command, path: str) -> dict[str, list]:
    """Returns the parameters of a command and of all below it."""
    parameters = (
        " ".join([*each.opts, *each.secondary_opts]) for each in command.params
    )
    found = {path: sorted(parameters)}
    if isinstance(command, click.Group):
        context = click.Context(command)
        for name in command.list_commands(context):
            found.update(commands(command.get_command(context, name), f"{path} {name}"))
    return found


def test_commands_and_their_options() -> None:
    check_golden("commands.json", commands(main, "wheathill"))


@pytest.mark.parametrize(
    "arguments",
    [[], ["nothing"], ["check"], ["peers"], ["lab", "run", "x", "--world", "y"]],
)
def test_exit_code_of_wrong_usage(arguments: list[str]) -> None:
    assert run(*arguments)["exit"] == 2


def test_faulty_script_of_the_lab() -> None:
    found = {
        "no script": run("lab", "run", "no such.toml"),
        "no policy": run_with(GOOD, "lab", "run", "--policy", "none"),
        "no script's keys": run_with(GOOD, "lab", "run"),
        "seeds": run_with(GOOD, "lab", "sweep", "--seeds", "x"),
        "set": run_with(GOOD, "lab", "sweep", "--set", "x"),
    }
    check_golden("lab_faulty.json", found)


def test_a_drawn_site_has_the_same_bytes() -> None:
    lines = run("lab", "draw-site", "--seed", "1")
    digest = hashlib.sha256("\n".join(lines["out"]).encode()).hexdigest()
    check_golden(
        "draw_site.json",
        {"exit": lines["exit"], "lines": len(lines["out"]), "sha256": digest},
    )


def keys_of(value: Any, path: str = "") -> Iterator[str]:
    """Gives the paths of all keys, in order; those of a list's entries once."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from keys_of(inner, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        yield from keys_of(value[0], f"{path}[]")
    else:
        yield path


def test_keys_of_a_run_in_the_lab() -> None:
    script = pathlib.Path(__file__).parent / "scripts" / "budget.toml"
    assert run("lab", "run", str(script), "--json", "run.json")["exit"] == 0
    check_golden(
        "lab_run_keys.json",
        list(keys_of(json.loads(pathlib.Path("run.json").read_text()))),
    )


# peers


def run_peers(answer: str | None, *options: str) -> dict[str, Any]:
    """`peers` beside an instance that answers that; also the request as it came."""
    pathlib.Path("control").unlink(missing_ok=True)
    requests: list[str] = []
    with socket.socket(socket.AF_UNIX) as listening:
        if answer is not None:
            listening.bind("control")
            listening.settimeout(2.0)
            listening.listen()
            thread = threading.Thread(
                target=answer_once, args=(listening, answer, requests)
            )
            thread.start()
        found = run_with(GOOD + PEERS, "peers", *options)
        if answer is not None:
            thread.join()
    return {"request": requests, **found}


def answer_once(listening: socket.socket, answer: str, requests: list[str]) -> None:
    """One caller's request is kept and answered; where nobody calls, nothing is kept."""
    try:
        caller, _ = listening.accept()
    except TimeoutError:
        return
    with caller, caller.makefile("rw") as lines:
        requests.append(lines.readline())
        lines.write(answer)


@pytest.mark.processes
def test_peers() -> None:
    found = {
        "nobody there": run_peers(None),
        "no control socket": run_with(GOOD, "peers"),
    }
    for what, answers in read_golden("control.json").items():
        found[f"{what}: lines"] = run_peers(answers["all"])
        found[f"{what}: --json"] = run_peers(answers["all"], "--json")
        found[f"{what}: --compare"] = run_peers(answers["compare"], "--compare")
        found[f"{what}: --compare --json"] = run_peers(
            answers["compare"], "--compare", "--json"
        )
        found[f"{what}: in doubt"] = run_peers(
            answers["all"].replace('"agreed"', '"in doubt"')
        )
        found[f"{what}: --remove"] = run_peers(
            answers["remove another"], "--remove", "x"
        )
        found[f"{what}: --remove nobody"] = run_peers(
            answers["remove nobody"], "--remove", "nobody"
        )
    found["no JSON"] = {**run_peers("half\n"), "err": []}  # the JSON library's own text
    check_golden("peers_command.json", found)


# The platform's configuration

VALUES = [
    *[
        ("name", None),
        ("name", 7),
        ("listen", None),
        ("listen", "here"),
        ("listen", 1),
        ("discovery", None),
    ],
    *[
        ("discovery", "x:y"),
        ("discovery", True),
        ("seed", None),
        ("admin_addr", "x"),
        ("known", []),
        ("limits", 1),
    ],
    *[
        ("limits.sockets", 1),
        ("limits.sockets", "x"),
        ("limits.sockets", True),
        ("limits.memory_mb", 1),
    ],
    *[
        ("settings", None),
        ("settings", []),
        ("settings.listeners", None),
        ("settings.listeners", []),
    ],
    *[
        ("settings.listeners", {}),
        ("settings.listeners", [1]),
        ("settings.listeners", [{"name": 1}]),
    ],
    *[
        ("settings.listeners", [{"name": "x", key: value}])
        for key, value in (("repeat", "x"), ("dedupScope", "x"))
    ],
    *[
        ("settings.listeners", [{"name": "x", key: -1}])
        for key in ("windowS", "handshakeTargetS", "dialTimeoutS")
    ],
    *[
        ("settings.listeners", [{"name": "x", "utility": "much"}]),
        ("settings.tenants", [{"name": 1}]),
    ],
    *[
        ("settings.dcs", "x"),
        ("settings.dcs", ["x", 1]),
        ("settings.zone", -1),
        ("settings.balancers", "x"),
    ],
    *[
        ("settings.me", -1),
        ("settings.slots", 5000),
        ("settings.slots", 1.5),
        ("settings.membershipMode", 1),
    ],
    *[
        ("settings.weightSource", 1),
        ("settings.report", {"how": 1}),
        ("settings.report", {"names": [1]}),
    ],
    *[
        (f"settings.limits.{key}", -1)
        for key in ("maxDials", "connectTimeoutS", "idleCloseS")
    ],
    *[
        (f"settings.limits.{key}", "x")
        for key in ("mayProbe", "retryAfter", "maxRetryAfterS")
    ],
    *[
        (f"settings.obligations.{key}", -1)
        for key in ("drainGraceS", "startCapacity", "coldS", "tipMultiple")
    ],
    *[
        (f"settings.obligations.{key}", "x")
        for key in ("tipAfterS", "askEveryS", "onlyDrainingBinds")
    ],
    *[(f"settings.obligations.{key}", 1) for key in ("freeResends", "resendRatio")],
    *[("settings.obligations.ratioSpanS", 0), ("settings.obligations.ratioSpanS", 1e9)],
    *[
        ("settings.prices.crossZone", -1),
        ("settings.prices.moves", 1e300),
        ("settings.goal.ninesFull", 0),
    ],
    *[
        ("settings.goal.logLossPart", 2),
        ("settings.familyInfo.mode", 1),
        ("settings.familyInfo.groups", 1),
    ],
    *[
        ("settings.familyInfo.messageAimS", ["x"]),
        ("settings.familyInfo.tellsDelay", "x"),
    ],
]


def changed(values: dict, path: str, value: Any) -> dict:
    """Returns the configuration with one value in place of another."""
    key, _, rest = path.partition(".")
    return {
        **values,
        key: changed(values.get(key) or {}, rest, value) if rest else value,
    }


def test_errors_of_the_platforms_configuration() -> None:
    good = Scene(discovery=True).values(True, True, {})
    assert golden_edges.platform_error(good) == ""
    found = {
        f"{path} = {json.dumps(value)}": golden_edges.platform_error(
            changed(good, path, value)
        )
        for path, value in VALUES
    }
    found["no object"] = golden_edges.platform_error([])
    check_golden("platform_errors.json", found)


def test_errors_of_the_platforms_environment() -> None:
    pathlib.Path("half.json").write_text("{")
    pathlib.Path("good.json").write_text(json.dumps(Scene().values(True, False, {})))
    found = {
        json.dumps(environment): golden_edges.environment_error(environment)
        for environment in (
            {},
            {"NODE_CONFIG": ""},
            {"NODE_CONFIG": "no such file"},
            {"NODE_CONFIG": "half.json"},
            {"NODE_CONFIG": "good.json"},
            {"NODE_CONFIG": "good.json", "NODE_FD": "x"},
            {"NODE_CONFIG": "good.json", "NODE_FD": "99999"},
            {"NODE_CONFIG": "good.json", "NODE_ADMIN_ADDR": "x"},
        )
    }
    check_golden("environment_errors.json", found)


def test_the_program_ends_with_2_and_names_the_key(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(sys, "argv", ["wheathill"])
    assert golden_edges.start_program() == 2
    assert capsys.readouterr() == ("", "NODE_CONFIG: is missing\n")
    values = changed(Scene().values(True, False, {}), "settings.slots", 5000)
    pathlib.Path("bad.json").write_text(json.dumps(values))
    monkeypatch.setenv("NODE_CONFIG", "bad.json")
    assert golden_edges.start_program() == 2
    assert capsys.readouterr() == (
        "",
        "settings.slots: must be a power of two from 512 to 65,536\n",
    )
