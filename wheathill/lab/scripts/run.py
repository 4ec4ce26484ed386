"""Runs a script once and collects the result."""

import time

import orjson

from wheathill.lab.judging.judges import ColdServerJudge
from wheathill.lab.judging.service import full_service
from wheathill.lab.scripts.scene import Scene, count_events, unconstrained_limits
from wheathill.lab.worlds.virtual import VirtualWorld
from wheathill.net.proxy import Proxy


class Result:
    """The result of a run.

    Attributes:
        figures: plain data: counts, percentiles in ms, breaches and fingerprint.
        scene: the scene of the run.
        breaches: what the judges found.
    """

    def __init__(self, scene, took_s):
        record = scene.record
        breaches = scene.breaches()
        self.scene = scene
        self.breaches = breaches
        self.figures = {
            "script": scene.script.name,
            "seed": scene.seed,
            "world": scene.world.name,
            "policy": scene.policy,
            "seconds": scene.script.seconds,
            "took_s": round(took_s, 3),
            "counts": count_events(record),
            "handshake_ms": record.handshakes.figures(),
            "message_ms": record.messages.figures(),
            "full_service": full_service(record.events, scene.clock.now()),
            "breaches": [breach.as_dict() for breach in breaches],
            "fingerprint": record.fingerprint(),
        }
        cold_server_judge = ColdServerJudge([], {}, 0.0, **scene.cold_rule())
        for event in record.events:
            cold_server_judge.observe(*event)
        if cold_server_judge.largest_excess is not None:
            self.figures["fleet"] = {
                "largest_multiple": round(cold_server_judge.largest_multiple, 2),
                "over_cold_bound": round(cold_server_judge.largest_excess, 2),
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
        """Write the figures to a JSON file."""
        with open(path, "wb") as output:
            output.write(
                orjson.dumps(
                    self.figures, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
                )
            )


def play(
    script, seed=None, world="virtual", policy="module", proxy=Proxy, program=None
):
    """Run a script once and return its result.

    Args:
        script: the script.
        seed: replaces the seed of the script.
        world: virtual, sockets or processes.
        policy: the module, or a baseline in its place.
        proxy: the class of the proxies in the virtual world.
        program: the command that starts a proxy in the processes world.
    """
    seed = script.seed if seed is None else seed
    net = script.network
    network = {
        "same": net.same_ms,
        "cross": net.cross_ms,
        "client": net.client_ms,
        "jitter": net.jitter,
    }
    if world == "sockets":
        # Real deliveries have a cost of their own, so hop_ms is not used.
        from wheathill.lab.worlds.sockets import SocketWorld

        world_instance = SocketWorld(seed, network)
    elif world == "processes":
        from wheathill.lab.worlds.processes import ProcessWorld

        world_instance = ProcessWorld(
            seed, network, unconstrained_limits(script), program
        )
    else:
        world_instance = VirtualWorld(seed, {**network, "hop": net.hop_ms}, proxy=proxy)
    start = time.perf_counter()
    try:
        scene = Scene(script, seed, world_instance, policy)
        scene.play()
    finally:
        world_instance.close()
    return Result(scene, time.perf_counter() - start)
