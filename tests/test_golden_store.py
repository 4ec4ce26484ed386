"""The replicated store's bytes: log, snapshot, messages and digests are those that were recorded.

`tests/golden/store_*` was recorded from commit 1c90a33. `python tests/test_golden_store.py` records anew, for a
person to read before it is kept: a difference means that stored data or messages of running members change.
"""

import hashlib
import heapq
import itertools
import json
import os
import pathlib
import random
import shutil
import sys
import tempfile

import msgspec
import pytest

from wheathill.lab.cores import copies as lab_copies
from wheathill.store.journal import Journal
from wheathill.store.replica import Replica
from wheathill.store.sync import Sync

GOLDEN = pathlib.Path(__file__).parent / "golden"
CLUSTER = "golden"
PLAY_SEEDS = (1, 4, 20, 244, 2012)
FULL_MESSAGE_BYTES = 260  # longer ones are recorded by length and hash
BULK_ENTRIES = 205  # more than one message of a reply holds


# All names of the package that this file touches, beside the imports, stand in this part.


class Node:
    """One member: a replica, its exchange with the others, and its directory."""

    def __init__(self, cluster, name, folder):
        self.cluster, self.name = cluster, name
        self.log = Journal(str(folder), CLUSTER)
        self.replica = Replica(
            name, "g1", self.write, most_cells=225, most_bytes=100_000
        )
        self.sync = Sync(
            self,
            random.Random(f"golden/{name}"),
            self.replica,
            lambda: list(cluster.reachable),
            lambda: list(cluster.reachable),
            every=500.0,
            gather=5.0,
            patience=400.0,
        )

    def write(self, key, cell):
        self.log.append([["cell", list(key), None if cell is None else cell.words()]])

    def send(self, member, words):
        self.cluster.send(self.name, member, msgspec.msgpack.encode(words))

    def alarm(self, at, what):
        self.cluster.lines.append(f"{self.name} timer {what} at {at!r}")
        self.cluster.after(at, lambda: self.sync.on_alarm(self.cluster.now, what))

    def start(self):
        self.sync.start(self.cluster.now)

    def receive(self, member, data):
        self.sync.on_message(self.cluster.now, member, msgspec.msgpack.decode(data))

    def change(self, name, *args):
        """One change or question by its general name; its result goes into the transcript."""
        replica, now = self.replica, self.cluster.now
        calls = {
            "set": replica.set,
            "delete": replica.delete,
            "count": replica.add,
            "forget": replica.forget_counts,
            "add": replica.include,
            "remove": replica.exclude,
            "acquire": lambda key, term: replica.acquire(key, now, term),
            "holds": lambda key: replica.holds(key, now),
            "lease": replica.lease,
            "register": replica.get,
            "counter": replica.count,
            "elements": replica.members,
        }
        result = calls[name](*args)
        self.sync.changed(now)
        return result

    def digest(self):
        return self.replica.digest()

    def image(self):
        return self.replica.image()

    def save(self):
        """Writes a snapshot, and the vectors into the log that begins behind it."""
        self.log.snapshot(self.replica.image())
        self.save_vectors()

    def save_vectors(self):
        replica = self.replica
        self.log.append([["seen", replica.seen, replica.collected, replica.floor]])
        self.log.sync()

    def close(self):
        self.log.close()


def read_directory(folder):
    """What is read from a directory, and a replica that is started from it."""
    log = Journal(str(folder), CLUSTER)
    image, tail = log.image, log.tail
    result = {"torn": log.torn, "damage": [list(each) for each in log.damage]}
    log.close()
    replica = Replica("a", "g2", lambda *_: None, most_cells=225, most_bytes=100_000)
    if image is not None:
        replica.load(image, 7.0)
    for kind, *fields in tail:
        if kind == "seen":
            replica.seen, replica.collected = dict(fields[0]), dict(fields[1])
            replica.floor = fields[2]
        else:
            replica.load_cell(tuple(fields[0]), fields[1], 7.0)
    replica.own_seen("a/g1")
    return {
        **result,
        "snapshot": hashed(image),
        "records": len(tail),
        "all records": hashed(tail),
        "loaded": hashed(replica.image()),
        "digest": replica.digest(),
    }


def play(seed, monkeypatch):
    """A play of random changes and faults: hashes of all messages, timers and records, and the digest."""
    sent, timers = hashlib.blake2b(digest_size=16), hashlib.blake2b(digest_size=16)
    send, alarm = lab_copies.Copy.send, lab_copies.Copy.alarm
    count = itertools.count()

    def recorded_send(self, member, words):
        next(count)
        data = msgspec.msgpack.encode(words)
        sent.update(f"{self.clock.now()!r} {self.name} {member} ".encode() + data)
        send(self, member, words)

    def recorded_alarm(self, at, what):
        timers.update(f"{self.clock.now()!r} {self.name} {at!r} {what}".encode())
        alarm(self, at, what)

    monkeypatch.setattr(lab_copies.Copy, "send", recorded_send)
    monkeypatch.setattr(lab_copies.Copy, "alarm", recorded_alarm)
    equal, digests, copies = lab_copies.converges(
        seed, most_cells=25 if seed % 4 == 0 else 100_000
    )
    disks = [
        [disk.last, [[*record] for record in disk.records], disk.synced]
        for disk in copies.disks.values()
    ]
    evicted = sum(copy.replica.evicted for copy in copies.copies.values())
    return {
        "converged": equal,
        "messages": next(count),
        "message_bytes": copies.bytes,
        "sent": sent.hexdigest(),
        "timers": timers.hexdigest(),
        "records": hashed(disks),
        "images": hashed([copy.replica.image() for copy in copies.copies.values()]),
        "evicted": evicted,
        "digests": sorted(set(digests.values())),
    }


# From here on nothing of the package is named.


class Cluster:
    """Three members, a clock that is set, and the transcript of what they send and the timers they set."""

    def __init__(self, folder):
        self.now, self.lines, self.events = 0.0, [], []
        self.order = itertools.count()
        self.reachable = ["a", "b", "c"]
        self.nodes = {name: Node(self, name, folder / name) for name in "abc"}
        for node in self.nodes.values():
            node.start()

    def after(self, at, call):
        heapq.heappush(self.events, (at, next(self.order), call))

    def send(self, sender, member, data):
        shown = data.hex()
        if len(data) > FULL_MESSAGE_BYTES:
            shown = f"{len(data)} bytes, {hashlib.blake2b(data, digest_size=16).hexdigest()}"
        arrives = sender in self.reachable and member in self.reachable
        self.lines.append(f"{sender} > {member}{'' if arrives else ' (lost)'}: {shown}")
        if arrives:
            self.after(self.now + 1.0, lambda: self.nodes[member].receive(sender, data))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until

    def change(self, name, *args):
        result = self.nodes[name].change(*args)
        self.lines.append(f"{name} {json.dumps(args)}: {json.dumps(result)}")

    def note_digests(self):
        for name, node in self.nodes.items():
            self.lines.append(
                f"{name} digest {node.digest()}, image {hashed(node.image())}"
            )


def hashed(value):
    return hashlib.blake2b(msgspec.msgpack.encode(value), digest_size=16).hexdigest()


def write_all(folder):
    """Plays the calls; leaves the members' directories in `folder` and returns the transcript."""
    cluster = Cluster(folder)
    cluster.run(10.0)
    cluster.change("a", "set", "limits", {"rate": 2.5, "zones": ["east", "ö", None]})
    cluster.change("a", "set", "short", 1)
    cluster.change("a", "count", "sessions", 3)
    cluster.change("a", "add", "drained", "s1")
    cluster.change("a", "add", "drained", "s2")
    cluster.change("a", "acquire", "leader", 900.0)
    cluster.change("a", "holds", "leader")
    cluster.change("b", "set", "limits", "of b")
    cluster.change("b", "count", "sessions", -2)
    cluster.change("b", "add", "drained", "s1")
    cluster.run(800.0)
    cluster.change("a", "acquire", "leader", 900.0)
    cluster.change("b", "acquire", "leader", 900.0)
    cluster.run(2000.0)
    cluster.note_digests()
    cluster.change("b", "acquire", "leader", 900.0)
    cluster.change("b", "remove", "drained", "s1")
    cluster.change("a", "add", "drained", "s1")
    cluster.change("c", "remove", "drained", "s2")
    cluster.change("a", "delete", "short")
    cluster.change("c", "count", "sessions", 7)
    cluster.run(3200.0)
    cluster.note_digests()
    for name in "abc":
        cluster.change(name, "holds", "leader")
        cluster.change(name, "lease", "leader")
        cluster.change(name, "register", "limits")
        cluster.change(name, "counter", "sessions")
        cluster.change(name, "elements", "drained")
    cluster.nodes["a"].save()
    # c is away until the others have dropped tombstones that it has not seen, and writes meanwhile.
    cluster.reachable = ["a", "b"]
    cluster.change("a", "delete", "limits")
    cluster.change("b", "remove", "drained", "s1")
    cluster.change("c", "set", "written by c", True)
    cluster.change("c", "add", "drained", "s9")
    cluster.change("c", "count", "sessions", 1)
    cluster.run(5000.0)
    cluster.change("b", "forget", "c")
    for number in range(BULK_ENTRIES):
        cluster.change("a", "set", f"bulk{number}", number)
    cluster.run(7000.0)
    cluster.reachable = ["a", "b", "c"]
    cluster.run(10_000.0)
    cluster.note_digests()
    cluster.change("b", "acquire", "leader", 900.0)
    # More than the limit on entries: the oldest of the least valuable kind are deleted.
    for number in range(25):
        cluster.change("b", "set", f"more{number}", number)
    cluster.run(13_000.0)
    cluster.note_digests()
    for node in cluster.nodes.values():
        node.save_vectors()
        node.close()
    for name in "abc":
        for file in sorted(os.listdir(folder / name)):
            data = (folder / name / file).read_bytes()
            shown = hashlib.blake2b(data, digest_size=16).hexdigest()
            cluster.lines.append(f"{name}/{file}: {len(data)} bytes, {shown}")
    return "\n".join(cluster.lines) + "\n"


def damage(folder):
    """A byte flipped in the log's middle, its end torn off, and a later snapshot that can't be read."""
    log = bytearray((folder / "log.1").read_bytes())
    log[len(log) // 2] ^= 0x40
    (folder / "log.1").write_bytes(log[:-5])
    (folder / "snap.2").write_bytes((folder / "snap.1").read_bytes()[:-1])


def read_copy(name, tmp_path):
    shutil.copytree(GOLDEN / name, tmp_path / name)
    return read_directory(tmp_path / name)


def test_the_same_calls_write_the_same_bytes(tmp_path):
    transcript = write_all(tmp_path)
    assert transcript == (GOLDEN / "store_transcript.txt").read_text()
    for file in ("cluster", "snap.1", "log.1"):
        assert (tmp_path / "a" / file).read_bytes() == (
            GOLDEN / "store_directory" / file
        ).read_bytes()


@pytest.mark.parametrize("name", ["store_directory", "store_damaged"])
def test_recorded_files_are_read(name, tmp_path):
    expected = json.loads((GOLDEN / "store_reads.json").read_text())[name]
    assert read_copy(name, tmp_path) == expected


@pytest.mark.parametrize("seed", PLAY_SEEDS)
def test_plays_send_and_store_the_same(seed, monkeypatch):
    expected = json.loads((GOLDEN / "store_plays.json").read_text())[str(seed)]
    assert play(seed, monkeypatch) == expected


def record():
    """Writes all files anew."""
    GOLDEN.mkdir(exist_ok=True)
    for name in ("store_directory", "store_damaged"):
        shutil.rmtree(GOLDEN / name, ignore_errors=True)
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        (GOLDEN / "store_transcript.txt").write_text(write_all(folder))
        for name in ("store_directory", "store_damaged"):
            shutil.copytree(folder / "a", GOLDEN / name, ignore=lambda *_: ["lock"])
        damage(GOLDEN / "store_damaged")
        reads = {
            name: read_copy(name, folder)
            for name in ("store_directory", "store_damaged")
        }
    (GOLDEN / "store_reads.json").write_text(json.dumps(reads, indent=1) + "\n")
    plays = {}
    for seed in PLAY_SEEDS:
        with pytest.MonkeyPatch.context() as monkeypatch:
            plays[str(seed)] = play(seed, monkeypatch)
    (GOLDEN / "store_plays.json").write_text(json.dumps(plays, indent=1) + "\n")


if __name__ == "__main__":
    sys.exit(record())
