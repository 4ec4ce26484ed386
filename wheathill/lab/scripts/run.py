"""One run of a script, and what is kept of it."""

import time

import orjson

from wheathill.lab.judging.judges import ColdServerJudge
from wheathill.lab.judging.service import full_service
from wheathill.lab.scripts.scene import Scene, count_events, unconstrained_limits
from wheathill.lab.worlds.virtual import VirtualWorld
from wheathill.net.proxy import Proxy


class Result:
    """`figures` is plain data (counts, percentiles in ms, breaches, fingerprint); `scene` what it came
    from."""

    def __init__(self, scene, took):
        record = scene.record
        found = scene.breaches()
        self.scene = scene
        self.breaches = found
        self.figures = {
            "script": scene.script.name,
            "seed": scene.seed,
            "world": scene.world.name,
            "policy": scene.policy,
            "seconds": scene.script.seconds,
            "took_s": round(took, 3),
            "counts": count_events(record),
            "handshake_ms": record.handshakes.figures(),
            "message_ms": record.messages.figures(),
            "full_service": full_service(record.events, scene.clock.now()),
            "breaches": [breach.as_dict() for breach in found],
            "fingerprint": record.fingerprint(),
        }
        cold = ColdServerJudge([], {}, 0.0, **scene.cold_rule())
        for event in record.events:
            cold.observe(*event)
        if cold.largest_excess is not None:
            self.figures["fleet"] = {
                "largest_multiple": round(cold.largest_multiple, 2),
                "over_cold_bound": round(cold.largest_excess, 2),
            }
        if scene.script.proxies.peers:
            from wheathill.lab.judging.fleet import convergence_times

            self.figures["fleet"] = {
                **convergence_times(record.events),
                **self.figures.get("fleet", {"largest_multiple": 0.0}),
            }
        if scene.world.spent:
            self.figures["spent"] = scene.world.spent

    def save(self, path):
        with open(path, "wb") as out:
            out.write(
                orjson.dumps(
                    self.figures, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
                )
            )


def play(
    script, seed=None, world="virtual", policy="module", proxy=Proxy, program=None
):
    """`proxy`, `program`: what stands in for the proxy's class, or for the words that start its process."""
    seed = script.seed if seed is None else seed
    net = script.network
    network = {
        "same": net.same_ms,
        "cross": net.cross_ms,
        "client": net.client_ms,
        "jitter": net.jitter,
    }
    if world == "sockets":
        # There each delivery costs what it costs.
        from wheathill.lab.worlds.sockets import SocketWorld

        place = SocketWorld(seed, network)
    elif world == "processes":
        from wheathill.lab.worlds.processes import ProcessWorld

        place = ProcessWorld(seed, network, unconstrained_limits(script), program)
    else:
        place = VirtualWorld(seed, {**network, "hop": net.hop_ms}, proxy=proxy)
    began = time.perf_counter()
    try:
        scene = Scene(script, seed, place, policy)
        scene.play()
    finally:
        place.close()
    return Result(scene, time.perf_counter() - began)
