"""The data path's slopes: what a connection holds, what a handshake, a delivery, a line with its echo and a move take,
what is spent at rest and on what, what one core carries, and a rush of clients that a proxy's end sends to another.

Processor time is the proxy's alone, as the system counts it; what it spends at rest is taken off all but the rest."""

import json
import os
import signal
import time

from wheathill.lab.scale import fit, seen
from wheathill.lab.scale.ends import merged
from wheathill.lab.scale.rig import Failed, Rig, ask_all

SIZE = 50_000  # connections that a proxy is to hold
P99_MS = 140.0
ARRIVALS = 1500.0  # clients a second, where nothing else is asked
PASSING = 1200.0  # the same, of clients whose sessions end at once
HALF_LINE = 512
SESSIONS = 200_000  # that pass, where it is looked for what they leave
STEP = 1.25  # from one rate to the next, where a core's limit is looked for
KEPT_UP = (
    0.97  # of what was to be written or read: below it the stand-ins are the limit
)
FULL = 0.95  # of a core
SETTLED = 2.0  # seconds after many have come
A_FEW_TICKS = 3.0  # seconds: the decisions go round once in each
# Of its own: the largest topic's part of all listeners, 3.2 of 140 million, is less than a topic's here.
TOPICS = 150


class Spent:
    """Processor seconds of a process over a stretch, its length, and the part in which it waited for a core."""

    def __init__(self, proxy, rest=0.0):
        self.proxy, self.rest = proxy, rest

    def __enter__(self):
        (self.processor, self.wait), self.begun = (
            self.proxy.scheduled_s(),
            time.monotonic(),
        )
        return self

    def __exit__(self, *_):
        self.seconds = time.monotonic() - self.begun
        processor, wait = self.proxy.scheduled_s()
        self.whole = processor - self.processor
        self.share, self.waited = (
            self.whole / self.seconds,
            (wait - self.wait) / self.seconds,
        )
        self.net = max(0.0, self.whole - self.rest * self.seconds)


def at_size(size, *, processes, seconds, rate, seed, say):
    """All figures at one number of connections, with a proxy of its own."""
    with Rig(processes, TOPICS, seed) as rig:
        proxy = rig.proxy()
        bare = seen.memory_kb(proxy.pid)
        files = seen.descriptors(proxy.pid)
        with Spent(proxy) as empty:
            time.sleep(min(3.0, seconds))
        with Spent(proxy) as handshakes:
            ups = rig.come(proxy, size, ARRIVALS)
        time.sleep(min(SETTLED, seconds))
        with Spent(proxy) as rest:
            time.sleep(seconds)
        standing = seen.memory_kb(proxy.pid)
        found = {
            "connections": size,
            "rss_kb": standing[0],
            "pss_kb": standing[1],
            "bare_rss_kb": bare[0],
            "kb_a_connection": (standing[0] - bare[0]) / size,
            "descriptors_a_connection": (seen.descriptors(proxy.pid) - files) / size,
            "rest_core_share": rest.share,
            "empty_core_share": empty.share,
            "waited_at_rest": rest.waited,
            "waited_at_handshakes": handshakes.waited,
            "handshake_ms": 1000 * handshakes.net / size,
            "handshake_latency_ms": merged([one["ms"] for one in ups]),
            "turned_away": sum(
                one["counts"]["refused"] + one["counts"]["failed"] for one in ups
            ),
        }
        ask_all(rig.clients, "took")
        with Spent(proxy, rest.share) as deliveries:
            written = ask_all(
                rig.servers,
                "deliver",
                rate=rate / processes,
                seconds=seconds,
                seed=seed,
                within=seconds * 5 + 60,
            )
            time.sleep(0.5)
        took = ask_all(rig.clients, "took")
        found["delivery"] = latency(took, "deliveries")
        found["delivery_us"] = 1e6 * deliveries.net / max(1, found["delivery"]["count"])
        found["deliveries_lost"] = (
            sum(one["written"] for one in written) - found["delivery"]["count"]
        )
        with Spent(proxy, rest.share) as echoes:
            # As many lines a second at each size: what one takes depends on how many come at a time.
            ask_all(
                rig.clients,
                "ask",
                every=2 * size / rate,
                seconds=seconds,
                within=seconds * 5 + 60,
            )
            time.sleep(0.5)
        found["echo"] = latency(ask_all(rig.clients, "took"), "echoes")
        found["line_and_echo_us"] = 1e6 * echoes.net / max(1, found["echo"]["count"])
        found["kb_a_connection_under_way"] = under_way(rig, proxy, size, bare)
        found["move_ms"] = move(rig, proxy, size, rest.share)
    say(
        f"{size:6} connections: {found['kb_a_connection']:.1f} KB and {found['descriptors_a_connection']:.2f} "
        f"descriptors each, {found['handshake_ms']:.3f} ms a handshake, {found['delivery_us']:.1f} us a delivery, "
        f"{found['line_and_echo_us']:.1f} us a line with its echo, {found['move_ms']:.3f} ms a move, "
        f"{100 * found['rest_core_share']:.2f}% of a core at rest"
    )
    return found


def latency(took, what):
    return merged([one[what] for one in took])


def under_way(rig, proxy, size, bare):
    """KB a connection, while each has half a line from its server and a line of its client without an answer."""
    ask_all(rig.servers, "hold", on=True, half=HALF_LINE)
    written = ask_all(rig.clients, "ask", every=1.0, seconds=1.0)
    wait_for(
        lambda: (
            sum(one["held"] for one in ask_all(rig.servers, "count"))
            >= sum(one["written"] for one in written)
        ),
        30.0,
    )
    grown = (seen.memory_kb(proxy.pid)[0] - bare[0]) / size
    ask_all(rig.servers, "hold", on=False, half=HALF_LINE)
    time.sleep(0.5)
    ask_all(rig.clients, "took")
    return grown


def move(rig, proxy, size, rest):
    """Processor ms for each client that is told to move, without its return: the order to stop."""
    ask_all(rig.clients, "stay_away")
    begun, spent = time.monotonic(), proxy.scheduled_s()[0]
    proxy.process.send_signal(signal.SIGTERM)
    last = spent
    while proxy.process.poll() is None and time.monotonic() < begun + 60.0:
        try:
            last = proxy.scheduled_s()[0]
        except OSError:
            break
        time.sleep(0.02)
    return 1000 * max(0.0, last - spent - rest * (time.monotonic() - begun)) / size


def wait_for(what, within):
    until = time.monotonic() + within
    while not what():
        if time.monotonic() > until:
            raise Failed("waited in vain")
        time.sleep(0.1)


def parts_at_rest(size, *, processes, seconds, seed, say):
    """What the proxy's processor time at rest goes to, by part of the program."""
    with Rig(processes, TOPICS, seed) as rig:
        path = os.path.join(rig.folder.name, "parts")
        proxy = rig.proxy(module="wheathill.lab.scale.parts", SCALE_PARTS=path)
        rig.come(proxy, size, ARRIVALS)
        time.sleep(min(SETTLED, seconds))
        coming = told(proxy, path)
        time.sleep(max(A_FEW_TICKS, seconds))
        found = told(proxy, path)
    parts = {
        name: {
            "core_share": part["s"] / found["seconds"],
            "a_second": part["calls"] / found["seconds"],
            "ns_a_connection": 1e9 * part["s"] / max(1, part["calls"]) / size,
        }
        for name, part in sorted(found["parts"].items(), key=lambda item: -item[1]["s"])
    }
    whole = found["processor_s"] / found["seconds"]
    full = coming["full_collections_ms"]
    parts["all else"] = {
        "core_share": whole - sum(part["core_share"] for part in parts.values())
    }
    say(f"at rest with {size} connections, {100 * whole:.2f}% of a core:")
    for name, part in parts.items():
        say(
            f"    {name:28} {100 * part['core_share']:6.3f}%"
            + (
                f"  {part['a_second']:5.1f} a second, {part['ns_a_connection']:5.1f} ns a connection"
                if "a_second" in part
                else ""
            )
        )
    say(
        f"    while they came {len(full)} full collections of garbage, the longest {max(full, default=0.0):.0f} ms"
    )
    return {
        "connections": size,
        "core_share": whole,
        "parts": parts,
        "full_collections_ms": full,
    }


def told(proxy, path):
    if os.path.exists(path):
        os.unlink(path)
    proxy.process.send_signal(signal.SIGUSR1)
    wait_for(lambda: os.path.exists(path), 10.0)
    with open(path) as found:
        return json.load(found)


def one_core(size, *, processes, seconds, rate, seed, say, kind="deliveries"):
    """Deliveries, or clients' lines with their echoes, at rising constant rates, until 99 in 100 no longer arrive
    within the limit."""
    steps = []
    with Rig(processes, TOPICS, seed) as rig:
        proxy = rig.proxy()
        rig.come(proxy, size, ARRIVALS)
        ask_all(rig.clients, "took")
        while not steps or keeps_up(steps[-1]) and len(steps) < 20:
            steps.append(step(rig, proxy, size, kind, rate, seconds, seed + len(steps)))
            one = steps[-1]
            say(
                f"    {rate:8.0f} {kind} a second: p50 {one['p50']:.1f}, p99 {one['p99']:.1f} ms, proxy at "
                f"{100 * one['proxy_core_share']:.0f}% of a core, waiting for one {100 * one['proxy_waited']:.0f}%, "
                f"{one['us']:.1f} us each, stand-ins at most at {100 * busiest(one):.0f}%"
            )
            rate *= STEP
    held = [one for one in steps if keeps_up(one)]
    return {
        "connections": size,
        "kind": kind,
        "steps": steps,
        "most_at_p99": held[-1]["rate"] if held else None,
        # Past the stand-ins' own limit nothing is learnt of the proxy; nor where others had its core.
        "limit": "the stand-ins"
        if busiest(steps[-1]) > FULL
        else "the proxy"
        if steps[-1]["proxy_core_share"] > FULL
        else "the proxy, or who shares its cores",
    }


def busiest(one):
    return max(one["busiest_server_stand_in"], one["busiest_client_stand_in"])


def keeps_up(one):
    return one["p99"] <= P99_MS and one["written_a_second"] >= KEPT_UP * one["rate"]


def step(rig, proxy, size, kind, rate, seconds, seed):
    busy = [
        [one["processor_s"] for one in ask_all(side, "count")]
        for side in (rig.servers, rig.clients)
    ]
    patience = seconds * 10 + 60
    with Spent(proxy) as spent:
        if kind == "deliveries":
            written = ask_all(
                rig.servers,
                "deliver",
                rate=rate / len(rig.servers),
                seconds=seconds,
                seed=seed,
                within=patience,
            )
        else:
            written = ask_all(
                rig.clients, "ask", every=size / rate, seconds=seconds, within=patience
            )
    time.sleep(1.0)
    took = latency(ask_all(rig.clients, "took", within=patience), kind)
    after = [
        [one["processor_s"] for one in ask_all(side, "count")]
        for side in (rig.servers, rig.clients)
    ]
    share = [
        max(late - early for early, late in zip(*pair)) / spent.seconds
        for pair in zip(busy, after)
    ]
    length, count = (
        max(one["seconds"] for one in written),
        sum(one["written"] for one in written),
    )
    return {
        "rate": rate,
        "written_a_second": count / length,
        **took,
        "proxy_core_share": spent.share,
        "proxy_waited": spent.waited,
        "us": 1e6 * spent.whole / count,
        "busiest_server_stand_in": share[0],
        "busiest_client_stand_in": share[1],
        "behind_ms": max(one["behind_ms"] for one in written),
    }


def rush(size, *, processes, seconds, rate, seed, over, say):
    """A proxy ends without a word; its clients come to another one, that holds as many, within `over` seconds."""
    half = max(1, processes // 2)
    with Rig(2 * half, TOPICS, seed) as rig:
        ending, other = rig.proxy(), rig.proxy()
        came, stay = rig.clients[:half], rig.clients[half:]
        rig.come(other, size, ARRIVALS, stay)
        rig.come(ending, size, ARRIVALS, came)
        ask_all(came, "expect", proxy=other.at, over=1000.0 * over)
        ask_all(stay, "took")
        # Of the servers' lines a half would go to the clients that come; only the others' are counted.
        for one in rig.servers:
            one.tell(
                "deliver", rate=rate / len(rig.servers), seconds=seconds, seed=seed
            )
        time.sleep(min(1.0, seconds / 4))
        before = ask_all(stay, "took")
        begun = time.monotonic()
        with Spent(other) as spent:
            ending.process.kill()
            back = ask_all(came, "back", within=120.0)
            took = time.monotonic() - begun
        meanwhile = ask_all(stay, "took")
        for one in rig.servers:
            one.answer(seconds * 10 + 60)
    found = {
        "connections": size,
        "come": size,
        "over_s": over,
        "all_up_s": took,
        "core_share": spent.share,
        "waited": spent.waited,
        "processor_s": spent.whole,
        "handshakes_a_second": size / took,
        "from_loss_to_up_ms": merged([one["ms"] for one in back]),
        "delivery_before": latency(before, "deliveries"),
        "delivery_meanwhile": latency(meanwhile, "deliveries"),
        "turned_away": sum(
            one["counts"]["refused"] + one["counts"]["failed"] for one in back
        ),
        "not_up": sum(one["counts"]["not up"] for one in back),
    }
    say(
        f"rush: {size} clients within {over:g} s to a proxy of {size}: all up after {took:.1f} s, "
        f"{found['turned_away'] + found['not_up']} tries in vain, its deliveries p99 "
        f"{found['delivery_before']['p99']:.1f} ms before, {found['delivery_meanwhile']['p99']:.1f} meanwhile"
    )
    return found


def endings(count, *, processes, seconds, seed, say, rounds=8, open_meanwhile=500):
    """Memory of a proxy through which so many sessions pass, that end in all ways, while others stand."""
    with Rig(processes, TOPICS, seed) as rig:
        proxy = rig.proxy()
        rig.come(proxy, open_meanwhile, ARRIVALS)
        resident, up, first, begun = (
            [seen.memory_kb(proxy.pid)[0]],
            0,
            0,
            time.monotonic(),
        )
        for _ in range(rounds):
            part = max(1, count // rounds // len(rig.clients))
            for one in rig.clients:
                one.tell(
                    "pass",
                    proxy=proxy.at,
                    count=part,
                    rate=PASSING / len(rig.clients),
                    first=first,
                    name=f"p{one.pid}",
                )
            up += sum(
                one.answer(60.0 + 10 * part / PASSING * len(rig.clients))["up"]
                for one in rig.clients
            )
            first += part
            time.sleep(min(SETTLED, seconds))  # what lingers is closed
            resident.append(seen.memory_kb(proxy.pid)[0])
        found = {
            "sessions": first * len(rig.clients),
            "up": up,
            "open_meanwhile": open_meanwhile,
            "rss_kb": resident,
            "seconds": time.monotonic() - begun,
        }
    say(
        f"{found['sessions']} sessions passed in {found['seconds']:.0f} s, {up} of them up, with {open_meanwhile} open "
        f"meanwhile: resident {', '.join(f'{kb / 1024:.1f}' for kb in resident)} MB"
    )
    return found


# Key, factor, and the forms that it may follow: what is told for each connection may grow with their number only where
# something walks over them.
EACH, ALL = ("constant", "linear"), ("constant", "linear", "square")
SLOPES = {
    "resident KB": ("rss_kb", 1, ALL),
    "KB a connection": ("kb_a_connection", 1, EACH),
    "KB a connection, a line under way": ("kb_a_connection_under_way", 1, EACH),
    "descriptors a connection": ("descriptors_a_connection", 1, EACH),
    "ms a handshake": ("handshake_ms", 1, EACH),
    "us a delivery": ("delivery_us", 1, EACH),
    "us a line with its echo": ("line_and_echo_us", 1, EACH),
    "ms a move": ("move_ms", 1, EACH),
    "% of a core at rest": ("rest_core_share", 100, ALL),
}


def slopes(by_size):
    """Each figure's fit over the sizes, what it says of a proxy of the stated size, and how far the largest size was
    off what the smaller ones had said."""
    found = {}
    for name, (key, times, forms) in SLOPES.items():
        found[name] = fit.grown(
            [(one["connections"], times * one[key]) for one in by_size], SIZE, forms
        )
    return found


def measure(
    sizes,
    *,
    processes,
    seconds,
    rate,
    seed,
    say,
    only=("sizes", "parts", "core", "rush"),
    sessions=SESSIONS,
):
    """All of it. `rate`: deliveries a second where none is looked for. Raises Failed where a process gives no answer."""
    told = dict(processes=processes, seconds=seconds, seed=seed, say=say)
    found = {
        "sizes": sizes,
        "seed": seed,
        "seconds": seconds,
        "processes": processes,
        "rate": rate,
    }
    if "endings" in only:
        found["endings"] = endings(sessions, **told)
    if "sizes" in only:
        found["by_size"] = [at_size(size, rate=rate, **told) for size in sizes]
        found["slopes"] = slopes(found["by_size"])
        for name, line in found["slopes"].items():
            say(fit.line_of(name, line, SIZE))
    if "parts" in only:
        found["rest"] = parts_at_rest(sizes[-1], **told)
    if "core" in only:
        found["core"] = one_core(sizes[-1], rate=rate, **told)
        found["core_lines"] = one_core(sizes[-1], rate=rate / 2, kind="echoes", **told)
    if "rush" in only:
        found["rush"] = rush(
            sizes[len(sizes) // 2] // 2,
            rate=rate,
            over=2.0,
            **{**told, "seconds": max(8.0, seconds)},
        )
    return found
