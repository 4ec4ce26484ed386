"""Frames between proxies, byte for byte as recorded: each kind of message, with zones (version 2) and without (1)."""

from typing import Any

import pytest

import golden_fleet
from golden_files import check_golden, read_golden

WITHOUT, WITH = "frames_v1.json", "frames_v2.json"
MEMBERSHIP = ["ack", "ask", "clash", "join", "nack", "ping", "state"]
GREETINGS = ["hello", "hello to nobody"]
KINDS = {
    WITHOUT: [
        *MEMBERSHIP,
        *GREETINGS,
        "drains",
        "note",
        "seen",
        "starts",
        "view",
        "view?",
    ],
    WITH: [
        *[kind for kind in MEMBERSHIP if kind != "clash"],
        *GREETINGS,
        *[
            "beat",
            "beaten",
            "compare",
            "differ",
            "have",
            "news",
            "note",
            "seen",
            "view",
            "view?",
            "want",
        ],
    ],
}
EXAMPLES = [(file, kind) for file, kinds in KINDS.items() for kind in kinds]


@pytest.mark.parametrize(
    ("file", "play"),
    [(WITHOUT, golden_fleet.play_without_zones), (WITH, golden_fleet.play_with_zones)],
)
def test_a_fleet_sends_the_recorded_frames(
    file: str, play: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = play(monkeypatch)
    check_golden(file, golden_fleet.summary_of(fleet))


@pytest.mark.parametrize("file", KINDS)
def test_each_kind_is_recorded(file: str) -> None:
    assert sorted(read_golden(file)["kinds"]) == sorted(KINDS[file])


@pytest.mark.parametrize(("file", "kind"), EXAMPLES)
def test_a_frame_is_made_of_its_message_byte_for_byte(file: str, kind: str) -> None:
    example = read_golden(file)["kinds"][kind]
    _, name, birth, to_birth, counter, message = example["body"]
    make = golden_fleet.frame_maker(1 if file == WITHOUT else 2, name, birth)
    frames = [make(to_birth, message) for _ in range(counter)]
    assert frames[-1].hex() == example["frame"]


@pytest.mark.parametrize(("file", "kind"), EXAMPLES)
def test_a_present_instance_takes_a_recorded_frame(
    file: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet, example = receiver(file, kind, monkeypatch)
    instance = fleet.peers[example["to"]]
    fleet.frames.clear()
    golden_fleet.feed_datagram(
        instance, bytes.fromhex(example["frame"]), fleet.address(example["from"])
    )
    if (
        kind == "hello to nobody"
    ):  # it is answered with the birth, and else nothing of it is taken
        answer = golden_fleet.body_of(fleet.frames[0][2])
        assert answer[3] == example["body"][2] and answer[5] == ["hello"]
    else:
        assert golden_fleet.counts_of(instance) == (1, {})


@pytest.mark.parametrize(("file", "kind"), [(WITHOUT, "ping"), (WITH, "news")])
def test_a_recorded_frame_with_a_changed_byte_is_not_taken(
    file: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet, example = receiver(file, kind, monkeypatch)
    instance = fleet.peers[example["to"]]
    frame = bytearray.fromhex(example["frame"])
    frame[-1] ^= 1
    golden_fleet.feed_datagram(instance, bytes(frame), fleet.address(example["from"]))
    assert golden_fleet.counts_of(instance) == (0, {"damaged": 1})


def receiver(
    file: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> tuple[golden_fleet.RecordedFleet, dict]:
    """Returns a fleet in which the one whom an example is meant for has just started, and that example."""
    example = read_golden(file)["kinds"][kind]
    zones = {"a": ("r", 5)} if file == WITHOUT else {"e": ("r", 4), "w": ("s", 3)}
    fleet = golden_fleet.RecordedFleet(zones, monkeypatch, zoned=file == WITH)
    fleet.start(example["to"])
    fleet.run(0.05)
    return fleet, example
