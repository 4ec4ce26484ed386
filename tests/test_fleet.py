"""Several real processes of the program that know one another, with faults put between them: every script of
experiments/peers holds, every instance broken on purpose is named by a judge, and the rig leaves nothing behind. The
same scripts in the virtual world, over seeds.

Plays run beside one another, each a process of its own; the longest first.
"""

import json
import multiprocessing
import os
import pathlib
import signal
import subprocess
import sys
import time
import tomllib
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor

import pytest

from wheathill.config.errors import ConfigurationError
from wheathill.lab.judging.mutated import MUTANTS
from wheathill.lab.scripts import language
from wheathill.lab.scripts.run import play as processes
from wheathill.lab.scripts.run import play as virtual
from wheathill.log_events import LogEvent

pytestmark = pytest.mark.processes

SCRIPTS = sorted(path.stem for path in pathlib.Path("experiments/peers").glob("*.toml"))
IN_MEMORY = [name for name in SCRIPTS if name not in ("starved", "strangers")]
# Seeds that once did not hold, beside the first two.
ONCE = {"pieces": (21, 59, 75), "zone-and-drain": (48, 133), "stopped": (3,)}
# Each mutant, where it is seen, and what the judge says.
SEEN = {
    "counts-only-the-alive": ("split-2-5", "shares sum to"),
    "forgets-who-is-cut-off": ("split-2-5", "shares sum to"),
    "rumour-beats-own-sight": ("pieces", "buries"),
    "never-denies": ("pieces", "for dead"),
    "keeps-its-birth": ("kill", "for dead"),
    "buries-who-stands-still": ("stopped", "only stands still"),
    "never-asks-the-dead": ("pieces", "for dead"),
    "keeps-drains-to-itself": ("told-to-one", "was told that it drains"),
    "own-list-undoes-drains": ("told-to-one", "was told that it drains"),
    "goes-past-any-other": ("odd-ones", "hold the name"),
    "takes-its-zone-for-all": ("zones-cut", "shares sum to"),
    "keeps-news-in-its-zone": ("zones-told", "was told that it drains"),
    "holds-on-to-a-zone-that-is-cut-off": ("zones-cut", "after it was cut off"),
}
# Those that chance saves in some plays, as where the first to be asked happens to be the one that is left: (script, what
# the judge says, seeds of the virtual world in each of which they are seen, same bytes every time).
SEEN_IN_MEMORY = {
    "takes-no-successor": ("all-but-one", "views differ", (4, 5, 6, 7, 8))
}
WORKERS = max(4, min(6, (os.cpu_count() or 4) - 2))


def path_of(script):
    return f"experiments/peers/{script}.toml"


# For what threads start. A child that is given none reads the C library's, which the main thread changes meanwhile (the
# test runner notes each test there), and is then not started at all (EFAULT).
ENVIRONMENT = dict(os.environ)


def run(*words):
    """The interpreter with these words, from any thread, as (exit code, what was printed)."""
    done = subprocess.run(
        [sys.executable, *words],
        capture_output=True,
        text=True,
        timeout=240,
        env=ENVIRONMENT,
    )
    return done.returncode, done.stdout + done.stderr


def play(script, *more):
    return run(
        "-m", "wheathill", "lab", "run", path_of(script), "--world", "processes", *more
    )


def test_threads_start_processes_while_the_environment_changes():
    names = [f"WHEATHILL_TEST_{number}" for number in range(32)]
    with ThreadPoolExecutor(WORKERS) as pool:
        begun = [pool.submit(run, "-S", "-c", "") for _ in range(100)]
        while not all(each.done() for each in begun):
            for name in names:
                os.environ[name] = name
            for name in names:
                del os.environ[name]
    assert [each.result() for each in begun] == [(0, "")] * len(begun)


@pytest.fixture(scope="module")
def plays():
    """(script, mutant or None) -> a future; all that any test here waits for."""
    wanted = [(script, None) for script in SCRIPTS] + [
        (script, name) for name, (script, _) in SEEN.items()
    ]
    wanted.sort(key=lambda item: -language.read(path_of(item[0])).seconds)
    with ThreadPoolExecutor(WORKERS) as pool:
        yield {
            (script, name): pool.submit(
                play, script, *(["--mutant", name] if name else [])
            )
            for script, name in wanted
        }


def play_virtually(script, seed):
    """(breaches, fingerprint)."""
    result = virtual(language.read(path_of(script)), seed)
    return list(map(str, result.breaches)), result.figures["fingerprint"]


@pytest.fixture(scope="module")
def virtually():
    """(script, seed) -> a future."""
    with ProcessPoolExecutor(WORKERS, multiprocessing.get_context("spawn")) as pool:
        found = {
            (script, seed): pool.submit(play_virtually, script, seed)
            for script in IN_MEMORY
            for seed in (1, 2, *ONCE.get(script, ()))
        }
        yield {
            **found,
            ("split-3-4", "again"): pool.submit(play_virtually, "split-3-4", 1),
        }


@pytest.mark.parametrize("script", IN_MEMORY)
def test_holds_in_the_virtual_world(virtually, script):
    for seed in (1, 2, *ONCE.get(script, ())):
        assert virtually[script, seed].result()[0] == []


def test_the_same_seed_gives_the_same_bytes(virtually):
    one, same, other = (
        virtually["split-3-4", seed].result()[1] for seed in (1, "again", 2)
    )
    assert one == same != other


@pytest.mark.parametrize("script", SCRIPTS)
def test_holds(plays, script):
    code, text = plays[script, None].result()
    assert code == 0 and "no rule broken" in text, text[-4000:]


def test_every_mutant_is_seen_somewhere():
    assert sorted([*SEEN, *SEEN_IN_MEMORY]) == sorted(MUTANTS)


@pytest.mark.parametrize("name", SEEN_IN_MEMORY)
def test_mutant_is_named_in_the_virtual_world(name):
    script, says, seeds = SEEN_IN_MEMORY[name]
    # In a process of its own: it breaks the program that it runs in.
    code = (
        "import test_fleet as t; from wheathill.lab.judging import mutated\n"
        f"mutated.MUTANTS[{name!r}]()\n"
        f"for seed in {seeds}: print(seed, any({says!r} in each for each in t.play_virtually({script!r}, seed)[0]))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=120,
        env={**os.environ, "PYTHONPATH": os.pathsep.join((".", "tests"))},
    )
    assert done.stdout.split("\n")[:-1] == [f"{seed} True" for seed in seeds], (
        done.stderr[-2000:]
    )


@pytest.mark.parametrize("name", SEEN)
def test_mutant_is_named(plays, name):
    script, says = SEEN[name]
    code, text = plays[script, name].result()
    assert code == 1 and any(
        line.startswith("BREACH") and says in line for line in text.splitlines()
    ), text[-4000:]


def children(pid):
    return [
        int(path.parent.name)
        for path in pathlib.Path("/proc").glob("[0-9]*/stat")
        if parent_of(path) == pid
    ]


def parent_of(path):
    try:
        return int(path.read_text().rpartition(")")[2].split()[1])
    except (OSError, IndexError):
        return None


def wait_until(met, seconds=20.0):
    until = time.monotonic() + seconds
    while not met():
        assert time.monotonic() < until
        time.sleep(0.02)


def test_a_killed_lab_leaves_no_process():
    lab = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "wheathill",
            "lab",
            "run",
            path_of("kill"),
            "--world",
            "processes",
        ],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    wait_until(lambda: len(children(lab.pid)) == 7)
    left = children(lab.pid)
    lab.send_signal(signal.SIGKILL)
    lab.wait()
    wait_until(lambda: not any(pathlib.Path(f"/proc/{pid}").exists() for pid in left))


def test_a_fault_without_effect_fails_the_run(tmp_path):
    script = tmp_path / "idle.toml"
    text = (
        pathlib.Path(path_of("flapping"))
        .read_text()
        .partition("[[event]]")[0]
        .replace("seconds = 26", "seconds = 4")
    )
    # Said of two that are not there any more by then: nothing passes that could be spoilt.
    script.write_text(
        text
        + '[[event]]\nat_s = 2\ndo = "proxy-kill"\non = "n1"\n\n[[event]]\nat_s = 2.5\n'
        'do = "link"\non = "n1"\nwith = "n2"\none_way = true\nspoilt = 1\nfor_s = 0.4\n'
    )
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "wheathill",
            "lab",
            "run",
            str(script),
            "--world",
            "processes",
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 1 and "fault without effect: link on n1" in done.stdout


SLOW = "import runpy, time; time.sleep({}); runpy.run_module('wheathill', run_name='__main__')"


def test_a_stop_of_a_process_that_doesn_t_run_doesn_t_stop_the_next_one():
    text = pathlib.Path(path_of("flapping")).read_text().partition("[[event]]")[
        0
    ] + "".join(
        f'[[event]]\nat_s = {at}\ndo = "{do}"\non = "n1"\n{more}'
        for at, do, more in ((2, "proxy-kill", ""), (2.5, "proxy-pause", "for_s = 9\n"))
    )
    result = virtual(language.parse_script(tomllib.loads(text)), 1)
    truths = [
        fields for _, kind, fields in result.scene.record.events if kind == "truth"
    ]
    assert (
        not any(truth["paused"] for truth in truths) and "n1" in truths[-1]["running"]
    )
    assert list(map(str, result.breaches)) == []


def short_play(seconds, program, *events):
    """The fleet of `flapping` for a few seconds, by another program."""
    text = pathlib.Path(path_of("flapping")).read_text().partition("[[event]]")[0]
    text = text.replace("seconds = 26", f"seconds = {seconds}") + "".join(
        f'[[event]]\nat_s = {at}\ndo = "{do}"\non = "{on}"\n' for at, do, on in events
    )
    return processes(
        language.parse_script(tomllib.loads(text)),
        1,
        world="processes",
        program=("-c", program),
    )


def test_a_script_s_time_counts_from_when_all_listen():
    """However long that takes; and the truth says who doesn't listen yet of those that start later on."""
    result = short_play(6, SLOW.format(2.0), (1, "proxy-kill", "n1"))
    events = result.scene.record.events
    assert all(
        now == 0.0
        for now, kind, fields in events[:100]
        if kind == "log" and fields["event"] == LogEvent.LISTENING
    )
    truths = [
        (now, fields["starting"]) for now, kind, fields in events if kind == "truth"
    ]
    assert (
        all(starting == {} for now, starting in truths if now < 1000.0)
        and truths[0][0] < 1000.0
    )
    had = [starting["n1"] for _, starting in truths if "n1" in starting]
    assert had == sorted(had) and had[-1] > 1500.0 and truths[-1][1] == {}
    assert [str(breach) for breach in result.breaches] == []


def test_a_program_that_never_listens_ends_the_run():
    with pytest.raises(AssertionError, match="doesn't listen"):
        short_play(4, SLOW.format(600))


@pytest.mark.parametrize(
    "change, fault",
    [
        (("event.0.with", "n9"), "event[0].with: 'n9' is not a proxy"),
        (("event.0.when", "n1 eats n2"), "event[0].when: 'n1 eats n2' is not one of"),
        (("proxies.peers", False), "event[0].do: link-flap requires proxies.peers"),
    ],
)
def test_script_faults(change, fault):
    with pytest.raises(ConfigurationError) as wrong:
        language.read(path_of("flapping"), [change])
    assert fault in str(wrong.value)


# The operators' command


def run_cli(*words):
    return subprocess.run(
        [sys.executable, "-m", "wheathill", *words],
        capture_output=True,
        text=True,
        timeout=20,
    )


def write_file(folder, name, ports, **more):
    key = folder / "key"
    if not key.exists():
        key.touch(0o600)
        key.write_text("k" * 32)
    peers = {
        "cluster": "c",
        "listen": f"127.0.0.1:{ports[name][1]}",
        "key_file": str(key),
        "seeds": [f"127.0.0.1:{peer}" for _, peer in ports.values()],
        "period_ms": 100.0,
        "patience_ms": 50.0,
        "control": str(folder / f"{name}.sock"),
        **more,
    }
    path = folder / f"{name}.toml"
    path.write_text(
        f'name = "{name}"\nlisten = "127.0.0.1:{ports[name][0]}"\n[[listener]]\nname = "orders"\n'
        '[[server]]\nname = "g1"\naddress = "127.0.0.1:9"\n[fleet]\nproxies = 2\n[peers]\n'
        + "".join(f"{key} = {json.dumps(value)}\n" for key, value in peers.items())
    )
    return path


@pytest.fixture
def two(tmp_path):
    import socket

    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(4)]
    free = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    ports = {"a": free[:2], "b": free[2:]}
    paths = [write_file(tmp_path, name, ports) for name in ports]
    running = [
        subprocess.Popen(
            [sys.executable, "-m", "wheathill", "daemon", str(path)],
            stdout=subprocess.DEVNULL,
        )
        for path in paths
    ]
    yield paths, running, ports
    for process in running:
        process.kill()
        process.wait()


def test_operators_see_a_loss_and_take_the_member_off(two):
    (first, second), running, _ = two
    wait_until(lambda: run_cli("peers", str(first)).returncode == 0)
    shown = run_cli("peers", str(first), "--compare").stdout
    assert "all views alike" in shown and "asked: a, b" in shown
    running[1].kill()
    running[1].wait()
    wait_until(lambda: "dead (seen)" in run_cli("peers", str(first)).stdout)
    told = json.loads(run_cli("peers", str(first), "--json").stdout)
    assert [member["state"] for member in told["members"]] == ["alive", "dead"]
    assert run_cli("peers", str(first), "--remove", "b").stdout == "b is taken off\n"
    wait_until(lambda: "left" in run_cli("peers", str(first)).stdout)
    assert run_cli("peers", str(first), "--remove", "c").returncode == 2
    assert run_cli("peers", str(second)).returncode == 2  # nobody answers there


@pytest.mark.parametrize(
    "more, fault",
    [
        ({"seeds": ["nowhere"]}, "peers.seeds[0]"),
        ({"roster": ["x"]}, "peers.roster: must include this instance, 'a'"),
        ({"patience_ms": 500.0}, "peers.patience_ms: must be less than"),
        ({"key_file": "/nowhere"}, "peers.key_file"),
        ({"sedes": []}, "peers.sedes: no such key; did you mean seeds?"),
    ],
)
def test_faults_of_the_file(tmp_path, more, fault):
    found = run_cli(
        "check", str(write_file(tmp_path, "a", {"a": [9001, 9002]}, **more))
    )
    assert found.returncode == 2 and fault in found.stderr


def test_a_key_that_others_may_read_is_refused(tmp_path):
    path = write_file(tmp_path, "a", {"a": [9001, 9002]})
    (tmp_path / "key").chmod(0o640)
    assert "accessible to no other user" in run_cli("check", str(path)).stderr
