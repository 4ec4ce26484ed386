"""The replicated store: replicas converge, nothing that was deleted comes back, and leases
never trust another instance's clock."""

import pytest
from msgspec import msgpack

from drive import kept
from wheathill.lab.cores.store_cluster import (
    NO_LIMITS,
    StoreCluster,
    run_random_faults,
)
from wheathill.store.delta_buffer import Delta
from wheathill.store.entries import decode_entry
from wheathill.store.entry_key import EntryKey, EntryKind
from wheathill.store.errors import MalformedEntryError, MalformedMessageError
from wheathill.store.eviction import StoreLimits
from wheathill.store.exchange import ReplyHeader
from wheathill.store.messages import decode_message
from wheathill.store.replica import Replica
from wheathill.store.version_vector import VersionVector

SMALL_LIMITS = StoreLimits(max_entries=25, max_bytes=10_000_000)


def make_replica(instance, generation="1", max_entries=100):
    limits = StoreLimits(max_entries, max_bytes=100_000)
    return Replica(instance, generation, lambda _key, _entry: None, limits)


def synchronize(replica, other, now=0.0):
    """`replica` asks `other` for what it lacks; what it was sent, in words."""
    reply = other.exchange.reply_to(replica.instance, replica.version_vector)
    rows = [row for part in reply.parts for row in part]
    replica.exchange.apply_reply(reply.header, rows, now)
    return "the whole" if reply.header.is_full_state else f"{len(rows)} cells"


def token_of(replica, name):
    lease = replica.leases.current(name)
    return lease.owner, lease.token


def concurrent_writes():
    a, b = make_replica("a"), make_replica("b")
    a.set_register("k", "by a")
    b.set_register("k", "by b")
    a.add_element("s", "x")
    synchronize(b, a)
    b.remove_element("s", "x")
    a.add_element("s", "x")
    a.add_to_counter("n", 2)
    b.add_to_counter("n", 3)
    for first, second in ((a, b), (b, a)):
        yield f"{first.instance} is sent {synchronize(first, second)}"
    for each in (a, b):
        register, elements = each.get_register("k"), each.set_elements("s")
        yield f"{each.instance}: k={register} s={elements} n={each.counter_value('n')}"
    yield f"digests equal: {a.digest() == b.digest()}"


def a_tombstone_waits_for_all_that_count():
    a, b, c = make_replica("a"), make_replica("b"), make_replica("c")
    a.set_register("k", 1)
    for each in (b, c):
        synchronize(each, a)
    a.delete_register("k")
    synchronize(b, a)
    a.tombstones.collect(["a", "b", "c"])
    yield f"c has not seen it: {len(a.table.tombstones)} kept"
    a.tombstones.record_peer_vector("b", b.version_vector)
    a.tombstones.collect(["a", "b"])
    yield f"c does not count: {len(a.table.tombstones)} kept"
    c.set_register("own", "written while away")
    sent = synchronize(a, c)
    yield f"a takes nothing from c yet: {sent}, k={a.get_register('k')}"
    for begin, replica, other in (("c", c, a), ("then a", a, c)):
        sent = synchronize(replica, other)
        k, own = replica.get_register("k"), replica.get_register("own")
        yield f"{begin} is sent {sent}: k={k}, own={own}"
    yield f"digests equal: {a.digest() == c.digest()}"


def late_and_doubled():
    a, b = make_replica("a"), make_replica("b")
    a.set_register("k", 1)
    first = a.exchange.take_delta()
    a.set_register("k", 2)
    second = a.exchange.take_delta()
    for number, delta in enumerate((second, first, second, first)):
        b.exchange.apply_push(a.replica_id, delta, 0.0)
        seen = b.version_vector.get(a.replica_id, 0)
        yield f"push {number}: k={b.get_register('k')}, seen {seen}"
    yield f"b is sent {synchronize(b, a)}, seen {b.version_vector[a.replica_id]}"
    a.delete_register("k")
    synchronize(b, a)
    b.tombstones.record_peer_vector("a", a.version_vector)
    b.tombstones.collect(["a", "b"])
    b.exchange.apply_push(a.replica_id, first, 0.0)
    k = b.get_register("k")
    yield f"a minute late, after its deletion was dropped: k={k}"


def leases():
    a, b = make_replica("a"), make_replica("b")
    yield f"a takes it: {a.leases.acquire('l', 0.0, 1000.0)}"
    synchronize(b, a, now=500_000.0)  # b's clock is minutes ahead
    yield f"b may not: {b.leases.acquire('l', 500_500.0, 1000.0)}"
    holds, holds_later = a.leases.holds("l", 800.0), a.leases.holds("l", 30_000.0)
    yield f"a holds it at 0.8 s {holds}, after a pause of 30 s {holds_later}"
    acquired = b.leases.acquire("l", 501_200.0, 1000.0)
    yield f"b once it has run out for b: {acquired}, {token_of(b, 'l')}"
    synchronize(a, b, now=30_010.0)
    acquired = a.leases.acquire("l", 30_020.0, 1000.0)
    yield f"a, awake, may not: {acquired}, holds {a.leases.holds('l', 30_020.0)}"
    restarted = make_replica("b", "2")
    restarted.load_snapshot(b.snapshot(), 7.0)
    holds = restarted.leases.holds("l", 8.0)
    acquired = restarted.leases.acquire("l", 8.0, 1000.0)
    yield f"b started anew holds it: {holds}, takes it {acquired}"


def old_copy_of_a_directory():
    a, b = make_replica("a"), make_replica("b")
    a.set_register("k", "old")
    snapshot = a.snapshot()
    a.set_register("k", "new")
    synchronize(b, a)
    restored = make_replica("a", "2")
    restored.load_snapshot(snapshot, 0.0)
    restored.include_previous_generation(a.replica_id)
    restored.set_register("other", 1)
    sequence = restored.version_vector[restored.replica_id]
    yield f"its next change is no dot of before: {restored.replica_id} {sequence}"
    yield f"b is sent {synchronize(b, restored)}, k={b.get_register('k')}"
    yield f"it is sent {synchronize(restored, b)}, k={restored.get_register('k')}"
    yield f"digests equal: {restored.digest() == b.digest()}"


def bounds():
    a = make_replica("a", max_entries=6)
    a.set_register("config", 1)
    a.leases.acquire("l", 0.0, 100.0)
    for number in range(4):
        a.add_to_counter(f"s{number}", 1)
    a.add_element("g", "x")
    a.set_register("config2", 2)
    left = [f"{key.kind}:{key.name}" for key, entry in a.table.items() if entry.is_live]
    yield f"evicted {a.evicted_count}, left {', '.join(left)}"
    b = make_replica("b")
    synchronize(b, a)
    yield f"the same at b: {a.digest() == b.digest()}"


SCENARIOS = {
    run.__name__: lambda run=run: list(run())
    for run in (
        concurrent_writes,
        a_tombstone_waits_for_all_that_count,
        late_and_doubled,
        leases,
        old_copy_of_a_directory,
        bounds,
    )
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_matches_its_trace(name):
    assert kept(name, SCENARIOS[name]())


@pytest.mark.parametrize(
    "seed", [*range(1, 13), 20, 36, 141, 170, 244, 348, 648, 936, 1640, 2012, 2661]
)
def test_random_faults_converge(seed):
    """The first, and those that once did not."""
    limits = SMALL_LIMITS if seed % 4 == 0 else NO_LIMITS
    assert run_random_faults(seed, limits=limits).has_converged


def test_three_of_five_killed_and_restarted():
    cluster = StoreCluster(7)
    for step in range(200):
        cluster.change_at_random()
        cluster.run(5.0)
        if step == 100:
            for name in ("i1", "i2", "i3"):
                cluster.kill(name)
        if step == 130:
            for name in ("i1", "i2", "i3"):
                cluster.start(name)
    cluster.run(2000.0)
    assert len(set(cluster.digests().values())) == 1


def test_a_change_removed_before_its_push_leaves_no_whole_range():
    a, b = make_replica("a"), make_replica("b")
    a.set_register("k", 1)
    a.delete_register("k")
    a.tombstones.collect(["a"])
    a.set_register("other", 2)
    delta = a.exchange.take_delta()
    assert (delta.first_sequence, delta.last_sequence, len(delta.rows)) == (0, 0, 1)
    b.exchange.apply_push(a.replica_id, delta, 0.0)
    assert b.get_register("other") == 2
    assert a.replica_id not in b.version_vector
    a.set_register("third", 3)
    delta = a.exchange.take_delta()
    assert (delta.first_sequence, delta.last_sequence, len(delta.rows)) == (4, 4, 1)


def test_entries_before_a_malformed_one_are_merged():
    a, b = make_replica("a"), make_replica("b")
    a.set_register("k", 1)
    delta = a.exchange.take_delta()
    delta.rows.append(["odd", "q", "", []])
    with pytest.raises(ValueError):
        b.exchange.apply_push(a.replica_id, delta, 0.0)
    assert b.get_register("k") == 1
    assert a.replica_id not in b.version_vector


@pytest.mark.parametrize(
    "own, taken",
    [
        (
            [5, {"x": 1, "y": 3}, {}, {"x": 1, "y": 3}],
            [5, {"y": 3}, {}, {"y": 3, "z": 2}],
        ),
        ([5, {"x": 1}, {}, {"x": 1}], [5, {}, {}, {"z": 2}]),
    ],
)
def test_an_add_that_the_sender_of_a_full_state_let_go_of_is_removed(own, taken):
    a = make_replica("a")
    a.exchange.apply_push("x", Delta(0, 0, [["set", "s", "e", own]]), 0.0)
    header = ReplyHeader(
        is_full_state=True,
        version_vector=VersionVector(x=1, z=2),
        collected_vector=VersionVector(z=2),
        collected_lamport_time=4,
    )
    theirs = [4, {}, {}, {"z": 2}]
    assert a.exchange.apply_reply(header, [["set", "s", "e", theirs]], 0.0)
    entry = a.table[EntryKey(EntryKind.SET, "s", "e")]
    assert entry.encode() == taken


@pytest.mark.parametrize(
    "kind, encoded",
    [
        (EntryKind.REGISTER, [1, "a", 1]),
        (EntryKind.REGISTER, [1, "a", 0, 1, {}]),
        ("odd", []),
        ("set", [1, {}, {}, {}]),
        (EntryKind.LEASE, [1, 2, 3, 4, {}]),
        (EntryKind.REGISTER, None),
    ],
)
def test_malformed_entry_is_refused(kind, encoded):
    with pytest.raises(ValueError) as refusal:
        decode_entry(kind, encoded)
    assert isinstance(refusal.value, MalformedEntryError)


@pytest.mark.parametrize(
    "fields",
    [
        ["odd", 1],
        ["push", "a/1", 1, 1, {}],
        ["store?", 1],
        ["store?", 1, []],
        ["store", 1, 0, 1, False, {}, {}, 0],
        [],
        7,
    ],
)
def test_malformed_message_is_refused(fields):
    with pytest.raises(ValueError) as refusal:
        decode_message(msgpack.encode(fields))
    assert isinstance(refusal.value, MalformedMessageError)
