"""The lab: its judges can fail, the same seed gives the same run, and the hard cases are really caused."""

import os
import random
import subprocess
import sys
import tomllib
from collections import Counter
from types import SimpleNamespace

import pytest

from drive import kept
from wheathill.config.errors import ConfigurationError
from wheathill.lab.judging.baselines import by_weight
from wheathill.lab.judging.mutants import MUTANTS, OutlivesItsKill
from wheathill.lab.scripts import language as scripts
from wheathill.lab.scripts.run import play
from wheathill.lab.scripts.scene import Scene
from wheathill.lab.tools.experiments import share_in_time
from wheathill.lab.worlds.virtual import VirtualWorld
from wheathill.net.admin.request import AdminRequest
from wheathill.net.admin.server import AdminServer
from wheathill.net.client import Client
from wheathill.net.proxy import Proxy

MUTANTS_SCRIPT = "tests/scripts/mutants.toml"
BUDGET_SCRIPT = "tests/scripts/budget.toml"
EXPERIMENTS = sorted(
    name for name in os.listdir("experiments") if name.endswith(".toml")
)

ONE = """
name = "one"
about = "A session alone, so that its whole story can be read."
seconds = 12
[[listener]]
name = "orders"
repeat = "%s"
[network]
jitter = 0
[gateways]
[discovery]
late_ms = 200
finds_dead_ms = 700
[[clients]]
name = "c"
listener = "orders"
count = 1
within_s = 0
life_s = 1000
tries = 1
think_ms = 700
[[gateways]]
count = 2
line_ms = 1
[proxies]
count = %d
""".replace("[gateways]\n", "")


def story(events, repeat="once-only", proxies=1, more=""):
    """What happened to one session, as lines."""
    text = (
        ONE % (repeat, proxies)
        + more
        + "".join(f"[[event]]\n{event}\n" for event in events)
    )
    result = play(scripts.parse_script(tomllib.loads(text)))
    shown = []
    for now, kind, fields in result.scene.record.events:
        if (
            kind in ("log", "told", "told start", "front takes")
            or "sess" not in fields
            and kind == "open"
        ):
            continue
        said = " ".join(
            str(value)
            for key, value in fields.items()
            if key
            not in (
                "first",
                "crowd",
                "desk",
                "deadline",
                "effect",
                "listener",
                "copy",
                "holds",
                "warm_from",
                "warm",
            )
        )
        shown.append(f"{now:8.1f} {kind}: {said}")
    shown += [f"BREACH {breach}" for breach in result.breaches]
    found = result.figures["message_ms"]
    shown.append(
        f"messages {found['count']}, worst {found['p100']:.1f} ms"
        if found["count"]
        else "no message"
    )
    return shown


def pause_after_opens_first_bytes():
    return story(
        [
            'at_s = 0.1\ndo = "cut"\non = "g1"\nword = "OPEN"\nbytes = 6\nwait_ms = 1500',
            'at_s = 0.1\ndo = "cut"\non = "g2"\nword = "OPEN"\nbytes = 6\nwait_ms = 1500',
        ]
    )


def pause_before_ups_last_byte():
    return story(
        ['when = "between OPEN and UP of the next session"\ndo = "pause"\nfor_s = 3'],
        "repeatable",
    )


def half_of_up_then_reset():
    return story(
        [
            f'at_s = 0.1\ndo = "cut"\non = "{name}"\nword = "UP"\nwait_ms = 30\nthen = "reset"'
            for name in ("g1", "g2")
        ]
    )


def proxy_killed_before_up():
    return story(
        ['when = "between OPEN and UP of the next session"\ndo = "proxy-kill"'],
        proxies=2,
    )


def back_at_its_address_while_connections_look_open():
    return story(
        [
            f'at_s = 3\ndo = "silent"\non = "{name}"\nfor_s = 0.3'
            for name in ("g1", "g2")
        ]
    )


def silent_and_gone():
    return story(
        [
            'when = "g1 holds 1 sessions"\ndo = "silent"\non = "g1"',
            'when = "g2 holds 1 sessions"\ndo = "silent"\non = "g2"',
        ]
    )


def list_names_a_dead_gateway():
    return story(
        [
            'at_s = 0.1\ndo = "kill"\non = "g1"',
            'at_s = 0.3\ndo = "list-lies"\non = "g1"',
        ]
    )


def drains():
    return story(
        [
            'at_s = 2\ndo = "drain"\non = "g1"\nleaves_s = 5',
            'at_s = 6\ndo = "drain"\non = "g2"\nleaves_s = 5',
        ]
    )


def reset_one_way():
    return story(
        [
            f'when = "{name} holds 1 sessions"\ndo = "partition"\non = "{name}"\nwith = "n1"\none_way = true\n'
            "for_s = 4"
            for name in ("g1", "g2")
        ]
    )


SCENARIOS = {
    run.__name__: run
    for run in (
        pause_after_opens_first_bytes,
        pause_before_ups_last_byte,
        half_of_up_then_reset,
        proxy_killed_before_up,
        back_at_its_address_while_connections_look_open,
        silent_and_gone,
        list_names_a_dead_gateway,
        drains,
        reset_one_way,
    )
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_story(name):
    assert kept(name, SCENARIOS[name]())


def test_nothing_is_broken_unprovoked():
    assert play(scripts.read(MUTANTS_SCRIPT)).breaches == []
    assert play(scripts.read(BUDGET_SCRIPT)).breaches == []


@pytest.mark.parametrize("name", MUTANTS)
def test_mutant_is_caught(name):
    broken, rule, says = MUTANTS[name]
    found = play(
        scripts.read(BUDGET_SCRIPT if rule == 5 else MUTANTS_SCRIPT), proxy=broken
    ).breaches
    assert any(breach.rule == rule and says in breach.what for breach in found), list(
        map(str, found[:5])
    )


def test_a_shutdown_that_outlives_its_kill_is_caught():
    # Guards against a lab that kills a stopping proxy later than the platform does.
    script = scripts.read("experiments/roll-while-servers-hang.toml")
    found = play(script, proxy=OutlivesItsKill).breaches
    assert {(breach.rule, breach.what) for breach in found} == {
        (1, "its connection reset without an answer")
    }


SLOW_STORE = """
name = "slow-store"
about = "Two requests of one session run over half a second apart, as the store is slow."
seconds = 6
[[listener]]
name = "any"
repeat = "referenced"
scope = "all"
window_s = 0.3
dial_timeout_ms = 400
[proxies]
probes = false
[store]
at_once = 1
call_ms = 600
[[gateways]]
count = 2
[[clients]]
name = "c"
listener = "any"
count = 1
tries = 1
"""


def test_a_repeat_counts_from_when_the_first_request_was_sent():
    # Guards against servers that forget a request while its set-up waits for the store.
    result = play(scripts.parse_script(tomllib.loads(SLOW_STORE)))
    times = {"dial": [], "ran": []}
    copies = []
    for now, kind, fields in result.scene.record.events:
        if kind in times:
            times[kind].append(now)
        if kind == "ran":
            copies.append(fields["copy"])
    assert (
        times["dial"][1] - times["dial"][0] < 300.0 < times["ran"][1] - times["ran"][0]
    )
    assert copies[:2] == [False, True]
    assert result.breaches == []


@pytest.mark.processes
def test_same_seed_same_bytes():
    def fingerprint(hash_seed, seed):
        code = (
            "from wheathill.lab.scripts import language, run;"
            f"print(run.play(language.read('{MUTANTS_SCRIPT}'), {seed}).figures['fingerprint'])"
        )
        return subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
        ).stdout

    assert fingerprint(1, 5) == fingerprint(2, 5) != fingerprint(1, 6)


def test_a_cold_gateway_falls_over_and_stays_down():
    text = open(MUTANTS_SCRIPT).read().replace("falls_over = 20", "falls_over = 1.5")
    result = play(
        scripts.parse_script(tomllib.loads(text)), proxy=MUTANTS["floods a cold one"][0]
    )
    fell = [
        (now, fields["server"])
        for now, kind, fields in result.scene.record.events
        if kind == "fell over"
    ]
    assert fell and fell[0][1] == "g3"
    assert not any(
        kind == "up" and fields["server"] == "g3" and now > fell[0][0]
        for now, kind, fields in result.scene.record.events
    )


@pytest.mark.slow
def test_herd_on_a_slow_store_is_answered_at_once():
    result = play(
        scripts.read("experiments/herd-on-a-slow-store.toml", [("store.at_once", 2)])
    )
    counts = result.figures["counts"]
    assert not result.breaches and counts["answer BUSY"] > 100
    assert result.figures["handshake_ms"]["p100"] < 2000


@pytest.mark.parametrize("name", ["overload", "fickle-clients", "back-cold", "upgrade"])
def test_figures_are_true(name):
    """Each second, against what clients and gateways wrote down: what is on its way may be missing."""
    script, seed = scripts.read(f"experiments/{name}.toml"), 1
    world = VirtualWorld(
        seed, {"same": 0.25, "cross": 4.0, "client": 0.7, "jitter": 0.2, "hop": 0.2}
    )
    scene = Scene(script, seed, world)
    listener, of, seen, left, worst, checks = (
        {},
        {},
        Counter(),
        Counter(),
        Counter(),
        [],
    )

    def watch(now, kind, fields):
        seat = scene.seats.get(fields.get("proxy"))
        process = of.get(fields.get("sess"))
        if kind == "open":
            listener[fields["sess"]] = fields["listener"]
            # The process that accepts now is the one that takes it, but for what is on its way.
            of[fields["sess"]] = seat.proxy
        elif kind == "answer" and process:
            result = {"UP": "completed", "BUSY": "rejected"}.get(
                fields["word"], "failed"
            )
            seen[process, listener[fields["sess"]], result] += 1
        elif kind == "left" and fields["how"] == "changed its mind":
            left[process, listener[fields["sess"]]] += 1
        elif kind == "dial" and process:
            seen[process, "dials"] += 1

    def check():
        world.clock.after(1000.0, check)
        for name, seat in scene.seats.items():
            figures = seat.proxy.metrics_report()
            checks.append(name)
            for who, results in figures["downstream_requests"].items():
                for result, count in results.items():
                    # What ended after its client had left may stand under any count or none.
                    apart = count - seen[seat.proxy, who, result]
                    worst[result] = max(
                        worst[result], -apart, apart - left[seat.proxy, who]
                    )
            worst["dials"] = max(
                worst["dials"],
                abs(figures["upstream_requests"] - seen[seat.proxy, "dials"]),
            )
            unusable = [
                server
                for server in seat.proxy.balancer.endpoint_list.servers
                if server.name in seat.proxy.excluded_servers(world.clock.now())
            ]
            assert figures["members_unavailable"] >= len(unusable)

    scene.record.watchers.append(watch)
    world.clock.after(1000.0, check)
    scene.play()
    assert len(checks) >= 2 * 28 and sum(seen.values()) > 500
    assert max(worst.values()) <= 3


@pytest.mark.slow
def test_without_its_part_a_script_shows_it(monkeypatch):
    """The judge names a proxy that forgets its operators' calls; sessions that don't go over are cut."""

    class Deaf(Proxy):
        def set_maintenance(self, name, out, forwarded_by=None):
            pass

    found = play(scripts.read("experiments/out-by-hand.toml"), proxy=Deaf).breaches
    assert any(breach.rule == 3 for breach in found)

    monkeypatch.setattr(
        AdminServer, "make_room", lambda server: True
    )  # nobody makes room
    monkeypatch.setattr(
        AdminRequest, "connected", lambda call: call.connection.set_paused(True)
    )
    calls = play(scripts.read("experiments/callers.toml")).breaches
    assert any("an operator's call" in breach.what for breach in calls)

    def cut(before):
        script = scripts.read(
            "experiments/upgrade.toml", [("proxies.packets_pass", True)]
        )
        return sum(
            kind == "cut" and now < before
            for now, kind, _ in play(script).scene.record.events
        )

    assert cut(22_000.0) == 0
    monkeypatch.setattr(Client, "quiet", False)
    assert cut(22_000.0) > 50


@pytest.mark.slow
@pytest.mark.parametrize("name", EXPERIMENTS)
def test_experiments_break_no_rule(name):
    script = scripts.read(f"experiments/{name}")
    assert script.about and script.name == name.removesuffix(".toml")
    assert list(map(str, play(script).breaches)) == []


@pytest.mark.parametrize(
    "old, new, fault",
    [
        ('on = "g1"', 'on = "g9"', "event[0].on: 'g9' is not one of g1 to g3"),
        (
            "at_s = 3",
            "at_s = 99",
            "event[0].at_s: 99 is past the end of the script, 14",
        ),
        ("at_s = 3", "", "event[0]: requires either at_s or when"),
        (
            "at_s = 3",
            'when = "it rains"',
            "event[0].when: 'it rains' is not one of 'NAME holds N sessions', 'between OPEN "
            "and UP of the next session [at NAME]', 'N sessions were asked for', 'NAME suspects|buries|meets NAME', "
            "'NAME has sent N messages of kind K'",
        ),
        (
            "for_s = 2",
            "for_s = 20",
            "event[3].for_s: lasts past the end of the script, 14",
        ),
        ("factor = 1.5", "", "event[4].factor: is missing"),
        ('do = "drain"', 'do = "back"', "event[0]: no earlier event concerns g1"),
        (
            'do = "drain"',
            'do = "drian"',
            "event[0].do: invalid enum value 'drian', expected one of silent, pause, kill, "
            "back, erring, slow, drain, list-lies, by-hand, untrue, flap, proxy-kill, proxy-roll, proxy-pause, proxy-reload, proxy-upgrade, callers, store-slower, herd, "
            "list-unreachable, list-torn, list-restarted, list-moved, costly, partition, way, cut, link, link-flap, ring, "
            "replay, split, proxy-starve, stranger",
        ),
        (
            'listener = "orders"',
            'listener = "odd"',
            "clients[0].listener: 'odd' is not one of orders, reads",
        ),
        ('name = "b"', 'name = "a"', "clients: 'a' is listed twice"),
        (
            "[[gateways]]",
            "[[gateways]]\nweight_error = [1.6, 0.6]",
            "gateways[0].weight_error: lowest 1.6 is above highest 0.6",
        ),
        (
            "[[gateways]]",
            "[[gateways]]\nweight_error = [0.6]",
            "gateways[0].weight_error: expected `array` of length >= 2",
        ),
        (
            "[[gateways]]",
            "[[gateways]]\nweight_error = [0, 1]",
            "gateways[0].weight_error[0]: expected `float` > 0.0",
        ),
        (
            "[[clients]]",
            "[front]\nshares = [3, 0.3]\n[[clients]]",
            "front.shares: lowest 3 is above highest 0.3",
        ),
        (
            'name = "b"',
            'name = "b"\nload_sigma = -1',
            "clients[1].load_sigma: expected `float` >= 0.0",
        ),
    ],
)
def test_script_faults(old, new, fault):
    with pytest.raises(ConfigurationError) as wrong:
        scripts.parse_script(
            tomllib.loads(open(MUTANTS_SCRIPT).read().replace(old, new, 1))
        )
    assert fault in str(wrong.value).splitlines()


@pytest.mark.processes
def test_a_faulty_key_ends_the_command_with_2(tmp_path):
    script = tmp_path / "rough.toml"
    script.write_text(
        open("experiments/unreported.toml")
        .read()
        .replace("weight_error = [0.6, 1.6]", "weight_error = [2.0, 1.6]", 1)
    )
    for words in (["run", script], ["sweep", script, "--seeds", "1..1"]):
        ended = subprocess.run(
            [sys.executable, "-m", "wheathill", "lab", *map(str, words)],
            capture_output=True,
            text=True,
        )
        assert (ended.returncode, ended.stderr) == (
            2,
            "gateways[0].weight_error: lowest 2 is above highest 1.6\n",
        )
    script.write_text(
        open("experiments/unreported.toml")
        .read()
        .replace('weights = "registered"', 'weights = "off"')
    )
    with pytest.raises(
        ConfigurationError, match='weight_error requires proxies.weights = "registered"'
    ):
        scripts.read(script)


def unreported(seed=1, changes=()):
    script = scripts.read(
        "experiments/unreported.toml", [("seconds", 12), ("event", []), *changes]
    )
    return play(script, seed)


@pytest.mark.slow
def test_registered_weights_are_off_and_the_gateways_are_not():
    def registered(seed, changes=()):
        scene = unreported(seed, changes).scene
        assert {
            (gateway.cores, gateway.holds) for gateway in scene.gateways.values()
        } == {(2, 40), (3, 72), (4, 120)}
        return {
            name: entry["share"] / scene.gateway_placements[name][0].weight
            for name, entry in scene.registry.entries.items()
        }

    found = registered(1)
    assert found == registered(1, [("clients.0.count", 3)]) != registered(2)
    assert all(0.6 <= factor <= 1.6 for factor in found.values()) and max(
        found.values()
    ) > 1.8 * min(found.values())
    exact = [(f"gateways.{place}.weight_error", [1.0, 1.0]) for place in range(3)]
    assert set(registered(1, exact).values()) == {1.0}


@pytest.mark.slow
def test_nothing_is_probed_or_reported_and_no_line_tells_a_load():
    result = unreported()
    assert (
        result.figures["counts"].get("probes", 0)
        == 0
        < result.figures["counts"]["messages in time"]
    )
    scene = result.scene
    for gateway in scene.gateways.values():
        assert gateway.reported is None
        assert gateway.held_load == pytest.approx(
            sum(scene.session_loads[link.head.id] for link in gateway.connections)
        )
        assert not any("h" in link.head.values for link in gateway.connections)
    loads = sorted(scene.session_loads.values())
    assert (
        loads[-1] > 10 * loads[len(loads) // 2] and 0.8 < sum(loads) / len(loads) < 1.25
    )


@pytest.mark.slow
def test_the_front_deals_by_shares():
    got = Counter(
        fields["proxy"]
        for _, kind, fields in unreported().scene.record.events
        if kind == "open"
    )
    assert len(got) == 40 and max(got.values()) > 4 * min(got.values())
    alike = Counter(
        fields["proxy"]
        for _, kind, fields in unreported(changes=[("front", {})]).scene.record.events
        if kind == "open"
    )
    assert max(alike.values()) < 3 * min(alike.values())


def test_weighted_random_follows_what_is_registered():
    chance, able = (
        random.Random(1),
        [SimpleNamespace(weight=1.0), SimpleNamespace(weight=3.0)],
    )
    drawn = Counter(by_weight(chance, able).weight for _ in range(4000))
    assert 2.7 < drawn[3.0] / drawn[1.0] < 3.3


@pytest.mark.slow
def test_messages_in_time_are_counted_against_their_listeners_target():
    counts = unreported().figures
    strict = unreported(
        changes=[
            ("listener.0.message_target_ms", 1),
            ("listener.1.message_target_ms", 1),
        ]
    ).figures
    assert share_in_time(counts) > 0.9 and strict["counts"][
        "messages in time"
    ] == 0 == share_in_time(strict)
    assert (
        share_in_time(
            {
                "counts": {"messages in time": 6, "unanswered": 2},
                "message_ms": {"count": 8},
            }
        )
        == 0.6
    )
    assert share_in_time({"counts": {}, "message_ms": {"count": 0}}) is None
