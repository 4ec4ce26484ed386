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

from wheathill.lab.cores import store_cluster
from wheathill.store.anti_entropy import (
    AntiEntropy,
    AntiEntropyConfig,
    AntiEntropyTimer,
)
from wheathill.store.entries import decode_entry
from wheathill.store.entry_key import EntryKey, EntryKind
from wheathill.store.eviction import StoreLimits
from wheathill.store.messages import decode_message, encode_message
from wheathill.store.replica import Replica
from wheathill.store.snapshot import ReplicaSnapshot
from wheathill.store.write_ahead_log import WriteAheadLog

GOLDEN = pathlib.Path(__file__).parent / "golden"
CLUSTER = "golden"
# The last four take over full states, with removals and rewrites of all kinds of entries.
PLAY_SEEDS = (1, 4, 20, 244, 2012, 170, 2661, 3014, 3123)
FULL_MESSAGE_BYTES = 260  # longer ones are recorded by length and hash
BULK_ENTRIES = 205  # more than one message of a reply holds


# All names of the package that this file touches, beside the imports, stand in this part.


LIMITS = StoreLimits(max_entries=225, max_bytes=100_000)
CONFIG = AntiEntropyConfig(
    request_interval_ms=500.0, push_delay_ms=5.0, reply_timeout_ms=400.0
)
RECORDED_TIMERS = {AntiEntropyTimer.PUSH: "push", AntiEntropyTimer.REQUEST: "ask"}


class Node:
    """One member: a replica, its exchange with the others, and its directory."""

    def __init__(self, cluster, name, folder):
        self.cluster, self.name = cluster, name
        self.log = WriteAheadLog(str(folder), CLUSTER)
        self.replica = Replica(name, "g1", self.persist, LIMITS)
        self.anti_entropy = AntiEntropy(
            self,
            random.Random(f"golden/{name}"),
            self.replica,
            CONFIG,
            live_members=lambda: list(cluster.reachable),
            collection_members=lambda: list(cluster.reachable),
        )

    def persist(self, key, entry):
        encoded = None if entry is None else entry.encode()
        self.log.append([["cell", list(key), encoded]])

    def send(self, member, message):
        self.cluster.send(self.name, member, encode_message(message))

    def set_timer(self, at_ms, timer):
        recorded = RECORDED_TIMERS[timer]
        self.cluster.lines.append(f"{self.name} timer {recorded} at {at_ms!r}")
        self.cluster.after(
            at_ms, lambda: self.anti_entropy.on_timer(self.cluster.now, timer)
        )

    def start(self):
        self.anti_entropy.start(self.cluster.now)

    def receive(self, member, data):
        self.anti_entropy.on_message(self.cluster.now, member, decode_message(data))

    def change(self, name, *args):
        """One change or question by its general name; its result goes into the transcript."""
        replica, now = self.replica, self.cluster.now
        calls = {
            "set": replica.set_register,
            "delete": replica.delete_register,
            "count": replica.add_to_counter,
            "forget": replica.delete_counter_parts,
            "add": replica.add_element,
            "remove": replica.remove_element,
            "acquire": lambda key, term: replica.leases.acquire(key, now, term),
            "holds": lambda key: replica.leases.holds(key, now),
            "lease": lambda key: replica.leases.current(key).encode()[:2],
            "register": replica.get_register,
            "counter": replica.counter_value,
            "elements": replica.set_elements,
        }
        result = calls[name](*args)
        self.anti_entropy.schedule_push(now)
        return result

    def digest(self):
        return self.replica.digest()

    def image(self):
        return self.replica.snapshot().encode()

    def save(self):
        """Writes a snapshot, and the vectors into the log that begins behind it."""
        self.log.write_snapshot(self.image())
        self.save_vectors()

    def save_vectors(self):
        tombstones = self.replica.tombstones
        self.log.append(
            [
                [
                    "seen",
                    self.replica.version_vector,
                    tombstones.collected_vector,
                    tombstones.collected_lamport_time,
                ]
            ]
        )
        self.log.sync()

    def close(self):
        self.log.close()


def read_directory(folder):
    """What is read from a directory, and a replica that is started from it."""
    log = WriteAheadLog(str(folder), CLUSTER)
    image, tail = log.last_snapshot, log.records
    result = {
        "torn": log.torn_bytes,
        "damage": [list(each) for each in log.corrupt_locations],
    }
    log.close()
    replica = Replica("a", "g2", lambda *_: None, LIMITS)
    if image is not None:
        replica.load_snapshot(ReplicaSnapshot.decode(image), 7.0)
    for record_kind, *fields in tail:
        if record_kind == "seen":
            replica.load_vectors(*fields)
        else:
            (kind, *rest), encoded = fields
            entry = None if encoded is None else decode_entry(kind, encoded)
            replica.load_entry(EntryKey(EntryKind(kind), *rest), entry, 7.0)
    replica.include_previous_generation("a/g1")
    return {
        **result,
        "snapshot": hashed(image),
        "records": len(tail),
        "all records": hashed(tail),
        "loaded": hashed(replica.snapshot().encode()),
        "digest": replica.digest(),
    }


def recorded_form(record):
    """A record of a member's disk in the play of random faults, as it was recorded."""
    if isinstance(record, store_cluster.LoggedEntry):
        return ["cell", record.key, record.encoded]
    return [
        "seen",
        record.version_vector,
        record.collected_vector,
        record.collected_lamport_time,
    ]


def play(seed, monkeypatch):
    """A play of random changes and faults: hashes of all messages, timers and records, and the digest."""
    sent, timers = hashlib.blake2b(digest_size=16), hashlib.blake2b(digest_size=16)
    member_type = store_cluster.StoreMember
    send, set_timer = member_type.send, member_type.set_timer
    count = itertools.count()

    def recorded_send(self, member, message):
        next(count)
        data = encode_message(message)
        sent.update(f"{self.clock.now()!r} {self.name} {member} ".encode() + data)
        send(self, member, message)

    def recorded_set_timer(self, at_ms, timer):
        recorded = RECORDED_TIMERS[timer]
        timers.update(f"{self.clock.now()!r} {self.name} {at_ms!r} {recorded}".encode())
        set_timer(self, at_ms, timer)

    monkeypatch.setattr(member_type, "send", recorded_send)
    monkeypatch.setattr(member_type, "set_timer", recorded_set_timer)
    limits = StoreLimits(25, 10_000_000) if seed % 4 == 0 else store_cluster.NO_LIMITS
    result = store_cluster.run_random_faults(seed, limits=limits)
    cluster = result.cluster
    disks = [
        [
            disk.last_replica_id,
            list(map(recorded_form, disk.records)),
            disk.synced_count,
        ]
        for disk in cluster.disks.values()
    ]
    replicas = [member.replica for member in cluster.members.values()]
    return {
        "converged": result.has_converged,
        "messages": next(count),
        "message_bytes": cluster.sent_bytes,
        "sent": sent.hexdigest(),
        "timers": timers.hexdigest(),
        "records": hashed(disks),
        "images": hashed([replica.snapshot().encode() for replica in replicas]),
        "evicted": sum(replica.evicted_count for replica in replicas),
        "digests": sorted(set(result.digests.values())),
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
