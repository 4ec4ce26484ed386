"""A scripted fleet of proxies in the virtual world that sends each kind of message between proxies.

Names of the program that these recordings need stand in the first part of this file alone.
"""

import dataclasses
import hashlib
from collections.abc import Callable
from typing import Any

import msgspec

from wheathill.lab.cores import fleets
from wheathill.lab.worlds import network
from wheathill.peers.frames import HEADER, FrameAuthenticator

KEY = b"the lab's own"
CLUSTER = "lab"
SEED = 3

# Adapters: one place for each name of the program that may change.


def frame_authenticator(name: str, generation: int) -> FrameAuthenticator:
    """Returns what makes and opens the frames of a process of the scripted fleet."""
    return FrameAuthenticator(
        cluster=CLUSTER, shared_key=KEY, name=name, generation=generation
    )


def frame_opener(generation: int) -> Callable[[bytes], Any]:
    """Returns what opens frames for the process of that generation; it raises for those that it does not take."""
    return frame_authenticator("opener", generation).decode_frame


def frame_maker(
    version: int, name: str, generation: int
) -> Callable[[int, list], bytes]:
    """Returns what makes frames of that process: called with the receiver's generation and the message."""
    authenticator = frame_authenticator(name, generation)
    authenticator.version = version
    return authenticator.encode_frame


def feed_datagram(instance: Any, data: bytes, address: tuple[str, int]) -> None:
    """Gives an instance a datagram that came from `address`."""
    instance.transport.received(data, address)


def counts_of(instance: Any) -> tuple[int, dict]:
    """Returns how many messages an instance has taken, and those it dropped by reason."""
    return (
        instance.transport.metrics.messages_received,
        instance.transport.metrics.dropped,
    )


def set_health(fleet: "RecordedFleet", name: str, server: str, well: bool) -> None:
    """Lets a member find a server well or not, by its own calls."""
    fleet.proxies[name].servers[server].recent_results.append((fleet.clock.now(), well))


def list_server(
    fleet: "RecordedFleet", name: str, server: str, draining: bool, started: float
) -> None:
    """Lets a member's own list say so of a server."""
    fleet.proxies[name].list(fleet.peers[name], server, draining, started)


def compare_views(fleet: "RecordedFleet", name: str) -> list:
    """Asks a member, as an operator, to compare its view with the others'; the answer comes into the list."""
    answers: list = []
    fleet.peers[name].operator_requests.handle({"compare": True}, answers.append)
    return answers


def leave(fleet: "RecordedFleet", name: str) -> None:
    """Ends a member's process in order."""
    fleet.peers[name].leave()
    fleet.kill(name)


class RecordedFleet(fleets.Fleet):
    """A fleet all of whose frames are kept: (sender, receiver, bytes), datagrams and streams in order of sending.

    `zoned` False makes it one of frames' version 1. `claims`: member -> another name that it goes by.
    """

    def __init__(
        self, zones: dict, monkeypatch: Any, zoned: bool, claims: dict | None = None
    ) -> None:
        self.frames: list[tuple[str, str, bytes]] = []
        super().__init__(zones, SEED)
        create, claims = fleets.create_peer_service, claims or {}

        def create_peer_service(settings: Any, *others: Any) -> Any:
            """Stands in for the function of that name: changes the settings of the instance that is made."""
            changed = dataclasses.replace(
                settings, name=claims.get(settings.name, settings.name)
            )
            if not zoned:
                changed = dataclasses.replace(changed, zone=None, layout=None)
            return create(changed, *others)

        monkeypatch.setattr(fleets, "create_peer_service", create_peer_service)
        send_datagram, send_stream = self.ways.pass_on, network.VirtualWire.send

        def datagram(one: str, other: str, data: bytes) -> None:
            self.frames.append((one, other, data))
            send_datagram(one, other, data)

        def stream(wire: Any, *parts: bytes) -> None:
            self.frames.append((wire.host.name, wire.peer.host.name, b"".join(parts)))
            send_stream(wire, *parts)

        monkeypatch.setattr(self.ways, "pass_on", datagram)
        monkeypatch.setattr(network.VirtualWire, "send", stream)


# The scripts


def play_without_zones(monkeypatch: Any) -> RecordedFleet:
    """Four proxies and one more that claims the name of another; drains, starts, evidence, a cut, a death, a leave."""
    fleet = RecordedFleet(
        {"a": ("r", 5)}, monkeypatch, zoned=False, claims={"a-4": "a-1"}
    )
    for name in ("a-0", "a-1", "a-2", "a-3"):
        fleet.start(name)
    fleet.run(4.0)
    play_news(fleet, ["a-0", "a-1", "a-2", "a-3"])
    fleet.start("a-4")
    fleet.run(4.0)
    play_faults(fleet, "a-2", "a-3", "a-1")
    return fleet


def play_with_zones(monkeypatch: Any) -> RecordedFleet:
    """Two zones of four and three proxies, the same faults, and a zone that is cut off for a while."""
    fleet = RecordedFleet({"e": ("r", 4), "w": ("s", 3)}, monkeypatch, zoned=True)
    for name in fleet.zone_of:
        fleet.start(name)
    fleet.run(8.0)
    play_news(fleet, list(fleet.zone_of))
    fleet.cut(fleet.names["w"])
    list_server(fleet, "e-2", "s1", False, 0.0)
    fleet.run(6.0)
    fleet.cut(fleet.names["w"], False)
    play_faults(fleet, "e-2", "e-3", "e-1")
    return fleet


def play_news(fleet: RecordedFleet, names: list[str]) -> None:
    """A drain, a start and evidence of two servers; then views are compared."""
    started = fleet.clock.to_wall(fleet.clock.now()) - 100.0
    for name in names:
        for server in ("s1", "s2"):
            list_server(fleet, name, server, False, 0.0)
    set_health(fleet, names[0], "s1", False)
    set_health(fleet, names[1], "s2", True)
    list_server(fleet, names[0], "s1", True, 0.0)
    list_server(fleet, names[2], "s2", False, started)
    fleet.run(3.0)
    compare_views(fleet, names[2])
    fleet.run(2.0)


def play_faults(fleet: RecordedFleet, one: str, other: str, third: str) -> None:
    """Two that can't reach one another for a while, one that is gone for all, and one that leaves."""
    pair = fleet.ways.between([one], [other], one_way=False)
    fleet.ways.cut(pair, True)
    fleet.run(9.0)
    fleet.ways.cut(pair, False)
    fleet.run(4.0)
    fleet.kill(third)
    fleet.run(6.0)
    leave(fleet, other)
    fleet.run(2.0)


# What is recorded of them


def body_of(frame: bytes) -> list:
    """Returns [cluster, name, generation, the receiver's generation, counter, message] of one frame."""
    return msgspec.msgpack.decode(frame[HEADER.size :])


def kind_of(frame: bytes) -> str:
    """Returns the kind of a frame's message; a greeting that names no receiver is one by itself."""
    message = body_of(frame)[5]
    if message == ["hello"]:
        return "hello" if body_of(frame)[3] else "hello to nobody"
    return message[-1][0]


def summary_of(fleet: RecordedFleet) -> dict:
    """Returns what is pinned: how many frames, a digest of all, and the first of each kind."""
    digest = hashlib.sha256()
    kinds: dict[str, dict] = {}
    for one, other, frame in fleet.frames:
        digest.update(f"{one} {other} {len(frame)} ".encode() + frame)
        example = kinds.setdefault(
            kind_of(frame),
            {
                "count": 0,
                "from": one,
                "to": other,
                "body": body_of(frame),
                "frame": frame.hex(),
            },
        )
        example["count"] += 1
    return {
        "frames": len(fleet.frames),
        "sha256": digest.hexdigest(),
        "kinds": dict(sorted(kinds.items())),
    }
