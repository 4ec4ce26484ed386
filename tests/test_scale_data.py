"""The tool that measures the data path's slopes, in small: its figures are there and sane, and nothing is left running,
also where it was killed."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from wheathill.lab.scale import fit, rig

ROOT = pathlib.Path(__file__).parent.parent


def tool(*words):
    return [sys.executable, "-m", "wheathill", "lab", "scale", *words]


def children(pid):
    """Of a process and of its children, as the system has them now."""
    found, todo = [], [pid]
    while todo:
        one = todo.pop()
        try:
            told = pathlib.Path(f"/proc/{one}/task/{one}/children").read_text().split()
        except OSError:
            continue
        found += map(int, told)
        todo += map(int, told)
    return found


def running(pid):
    try:
        with open(f"/proc/{pid}/stat") as stat:
            return stat.read().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False


def until(what, within=60.0):
    """Waits for it; on a busy machine that may take a while."""
    end = time.monotonic() + within
    while not what():
        assert time.monotonic() < end, "waited in vain"
        time.sleep(0.05)


@pytest.mark.processes
def test_figures_of_the_data_path_in_small(tmp_path):
    path = tmp_path / "figures.json"
    process = subprocess.Popen(
        tool(
            "data",
            "--sizes",
            "20,40",
            "--processes",
            "1",
            "--seconds",
            "0.5",
            "--rate",
            "200",
            "--only",
            "sizes,parts",
            "--seed",
            "7",
            "--json",
            str(path),
        ),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        cwd=ROOT,
    )
    seen = set()
    while process.poll() is None:
        seen.update(children(process.pid))
        time.sleep(0.1)
    assert process.returncode == 0, process.stderr.read()
    process.stdout.close()
    process.stderr.close()
    assert len(seen) >= 3 and not any(running(pid) for pid in seen)
    found = json.loads(path.read_text())
    assert [one["connections"] for one in found["by_size"]] == [20, 40] and found[
        "seed"
    ] == 7
    for one in found["by_size"]:
        assert one["descriptors_a_connection"] == 2.0
        assert (
            one["handshake_ms"] > 0.0
            and one["delivery_us"] > 0.0
            and one["line_and_echo_us"] > 0.0
        )
        assert one["move_ms"] > 0.0 and one["rss_kb"] > one["bare_rss_kb"] > 1000
        # All that was written came, whenever; a client is up within its dial timeout.
        assert (
            one["deliveries_lost"] == 0
            and one["delivery"]["count"] == 100
            and one["echo"]["count"] > 0
        )
        assert (
            0.0
            < one["delivery"]["p50"]
            <= one["delivery"]["p99"]
            <= one["delivery"]["p100"]
        )
        assert one["handshake_latency_ms"]["count"] == one["connections"]
    assert set(found["slopes"]) >= {
        "KB a connection",
        "ms a handshake",
        "us a delivery",
        "% of a core at rest",
    }
    assert found["slopes"]["descriptors a connection"]["at 50000"] == 2.0
    parts = found["rest"]["parts"]
    assert (
        parts["Proxy.sweep"]["a_second"] > 0.0
        and parts["Balancer.tick"]["core_share"] > 0.0
    )
    assert (
        abs(
            sum(part["core_share"] for part in parts.values())
            - found["rest"]["core_share"]
        )
        < 1e-9
    )


@pytest.mark.processes
def test_clients_of_a_proxy_that_ends_come_to_another():
    from wheathill.lab.scale import data

    rush = data.rush(
        20, processes=1, seconds=2.0, rate=200.0, seed=3, over=0.3, say=lambda _: None
    )
    assert (
        rush["come"] == rush["from_loss_to_up_ms"]["count"] == 20
        and rush["all_up_s"] > 0.0
    )
    # Whoever held its connection hears all along.
    assert (
        rush["delivery_before"]["count"] > 0 and rush["delivery_meanwhile"]["count"] > 0
    )


@pytest.mark.processes
def test_sessions_that_end_in_all_ways_pass():
    from wheathill.lab.scale import data

    found = data.endings(
        102,
        processes=1,
        seconds=0.1,
        seed=1,
        say=lambda _: None,
        rounds=2,
        open_meanwhile=5,
    )
    assert found["sessions"] == 102 and len(found["rss_kb"]) == 3
    # Two of 52 are never answered UP, two not asked for, one leaves before.
    assert found["up"] > 50


@pytest.mark.processes
def test_a_rising_rate_ends_where_it_is_not_kept_up(monkeypatch):
    """The limit is set where the first step is past it: no answer comes in no time."""
    from wheathill.lab.scale import data

    monkeypatch.setattr(data, "P99_MS", 0.0)
    found = data.one_core(
        20, processes=1, seconds=0.3, rate=100.0, seed=1, say=lambda _: None
    )
    assert (
        len(found["steps"]) == 1
        and found["most_at_p99"] is None
        and found["steps"][0]["count"] == 30
    )


def restore_interrupts():
    """In a child: a shell's background job has SIGINT ignored, and hands that on."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


@pytest.mark.processes
@pytest.mark.parametrize("end", (signal.SIGKILL, signal.SIGINT))
def test_nothing_is_left_of_a_tool_that_was_ended(end):
    process = subprocess.Popen(
        tool(
            "data",
            "--sizes",
            "20,40",
            "--processes",
            "1",
            "--seconds",
            "60",
            "--only",
            "sizes",
        ),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        cwd=ROOT,
        preexec_fn=restore_interrupts,
    )
    try:
        until(lambda: len(children(process.pid)) >= 3)  # two stand-ins and the proxy
        left = children(process.pid)
        os.kill(process.pid, end)
        process.wait(60.0)
        until(lambda: not any(running(pid) for pid in left))
    finally:
        process.kill()
        process.wait()


@pytest.mark.processes
def test_more_connections_than_descriptors_are_turned_down():
    found = subprocess.run(
        tool("data", "--sizes", str(rig.most_connections() + 1)),
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert found.returncode == 2 and "--sizes" in found.stderr


@pytest.mark.processes
def test_figures_by_servers(tmp_path):
    path = tmp_path / "figures.json"
    done = subprocess.run(
        tool("table", "--servers", "50,100,5000", "--json", str(path)),
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert done.returncode == 0, done.stderr
    few, more, most = json.loads(path.read_text())["by_servers"]
    assert (
        few["with_slot"] == 50 and most["with_slot"] < 4096
    )  # more servers than slots: some have none
    # Drawn by hash, and never less than a slot's part each.
    assert (
        few["most_slots"] >= 4096 / 50 and most["may_be_halved"] < few["may_be_halved"]
    )
    assert most["shards_a_slot"] == 420_000 / 4096
    # Some fourteen draws of six bytes for each slot in all, however many servers there are, and a few for each.
    assert (
        few["draws_bytes_a_server"] * 50 < 2 * 14 * 6 * 4096
        and most["draws_bytes_a_server"] < 300
    )
    for one in (few, more, most):
        assert (
            one["list_taken"]
            and one["list_bytes"] > 100 * one["servers"]
            and one["change_bytes"] < 500
        )
        # Three for each session, and one a server and second at most.
        assert (
            one["probes"]["10"] == 30.0 and one["probes"]["1000"] <= 2 * one["servers"]
        )


def test_fits_find_the_form_and_say_what_is_off():
    sizes = (50, 100, 200, 400)
    for form, call in (
        ("constant", lambda _: 3.0),
        ("linear", lambda x: 2.0 + 0.5 * x),
        ("square", lambda x: 1.0 + x * x),
    ):
        points = [(size, call(size)) for size in sizes]
        line = fit.simplest(points)
        assert line.form == form and line.residual < 1e-9
        assert abs(line.at(1000) - call(1000)) < 1e-6 * call(1000)
        assert abs(fit.predicted(points)["error"]) < 1e-9
    # The last point is not among those that it is predicted from.
    off = fit.predicted([(1, 1.0), (2, 2.0), (3, 3.0), (4, 8.0)])
    assert abs(off["predicted"] - 4.0) < 1e-9 and abs(off["error"] + 0.5) < 1e-9


@pytest.mark.processes
def test_figures_with_many_open(tmp_path):
    path = tmp_path / "figures.json"
    done = subprocess.run(
        tool("walks", "--connections", "100,200", "--json", str(path)),
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert done.returncode == 0, done.stderr
    found = json.loads(path.read_text())
    assert [one["connections"] for one in found["by_connections"]] == [100, 200]
    assert all(
        one["sweep_ms"] > 0.0 and one["a_handshake_ids_ms"] > 0.0
        for one in found["by_connections"]
    )
