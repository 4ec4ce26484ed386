"""The store's directory: killed at every byte, torn, flipped, full, read by two, of another cluster."""

import errno
import os
import threading

import pytest

from drive import kept
from wheathill.store.journal import DiskFailed, Files, Journal, record, records
from wheathill.store.kept import Keeper


class Faulty(Files):
    """Fails from the Nth write or sync on; may take a part of what it is given first."""

    def __init__(self, writes=10**9, syncs=10**9, part=0):
        self.writes, self.syncs, self.part = writes, syncs, part

    def write(self, file, data):
        self.writes -= 1
        if self.writes < 0:
            raise OSError(errno.ENOSPC, "No space left on device")
        if self.writes == 0 and self.part:
            return os.write(file, data[: self.part])
        return os.write(file, data)

    def sync(self, file):
        self.syncs -= 1
        if self.syncs < 0:
            raise OSError(errno.EIO, "Input/output error")
        os.fsync(file)


def written(path, count=5, **more):
    journal = Journal(str(path), "c", **more)
    for number in range(count):
        journal.append([["cell", number, "x" * number]])
    journal.sync()
    journal.close()
    return path / "log.0"


def test_killed_at_every_byte_of_the_last_record(tmp_path):
    whole = written(tmp_path / "whole").read_bytes()
    start = len(whole) - len(record(["cell", 4, "x" * 4]))
    for size in range(start, len(whole) + 1):
        path = tmp_path / f"cut{size}"
        log = written(path)
        os.truncate(log, size)
        journal = Journal(str(path), "c")
        numbers = [words[1] for words in journal.tail]
        assert numbers == ([0, 1, 2, 3, 4] if size == len(whole) else [0, 1, 2, 3])
        assert journal.damage == [] and journal.torn == (
            size - start if size < len(whole) else 0
        )
        # What comes after is read again.
        journal.append([["cell", 9, ""]])
        journal.sync()
        journal.close()
        again = Journal(str(path), "c")
        assert [words[1] for words in again.tail][-1] == 9 and again.torn == 0
        again.close()


def test_a_flipped_byte_anywhere_is_found(tmp_path):
    whole = written(tmp_path / "whole").read_bytes()
    for place in range(len(whole)):
        data = bytearray(whole)
        data[place] ^= 0x40
        found, good, damage = records(data)
        assert [words[1] for words in found] in (
            [1, 2, 3, 4],
            [0, 2, 3, 4],
            [0, 1, 3, 4],
            [0, 1, 2, 4],
            [0, 1, 2, 3],
        )
        assert damage or good < len(whole)


def test_snapshot_and_death_between_its_steps(tmp_path):
    path = tmp_path / "d"
    written(path)
    journal = Journal(str(path), "c")
    journal.snapshot(["image", 5])
    journal.append([["cell", 6]])
    journal.sync()
    journal.close()
    assert sorted(os.listdir(path)) == ["cluster", "lock", "log.1", "snap.1"]
    # Died before the old files went, and while the next snapshot was written.
    (path / "log.0").write_bytes(record(["cell", "old"]))
    (path / "snap.2.new").write_bytes(b"half")
    journal = Journal(str(path), "c")
    assert (journal.image, journal.tail, journal.damage) == (
        ["image", 5],
        [["cell", 6]],
        [],
    )
    journal.close()
    # The snapshot itself is damaged: it is named, and what is left is read.
    (path / "snap.1").write_bytes(b"\0" * 40)
    journal = Journal(str(path), "c")
    assert journal.image is None and journal.damage == [("snap.1", 0)]
    assert journal.tail == [["cell", "old"], ["cell", 6]]
    journal.close()


def refusals():
    import tempfile

    with tempfile.TemporaryDirectory() as folder:

        def said(make):
            try:
                make()
                return "nothing"
            except DiskFailed as wrong:
                return str(wrong).replace(folder, "DIR")

        path = os.path.join(folder, "d")
        journal = Journal(path, "c")
        yield f"a second process: {said(lambda: Journal(path, 'c'))}"
        journal.append([["cell", 1]])
        journal.sync()
        journal.close()
        yield f"another cluster: {said(lambda: Journal(path, 'other'))}"
        for name, files in (
            ("full", Faulty(writes=1)),
            ("full in a record's middle", Faulty(writes=2, part=3)),
            ("lost sync", Faulty(syncs=1)),
        ):
            journal = Journal(path, "c", files)
            if name == "full":
                journal.append([["cell", 2]])
            yield f"{name}: {said(lambda: (journal.append([['cell', 3]]), journal.sync()))}"
            yield f"and then: {said(lambda: journal.append([['cell', 4]]))}"
            journal.close()
        journal = Journal(path, "c")
        yield f"read again: {journal.tail}, torn {journal.torn}, damage {journal.damage}"
        journal.close()
        os.remove(os.path.join(path, "cluster"))
        yield f"no name of a cluster: {said(lambda: Journal(path, 'c'))}"
        blocked = os.path.join(folder, "file")
        open(blocked, "w").close()
        yield f"no directory: {said(lambda: Journal(blocked, 'c'))}"


SCENARIOS = {"refusals": lambda: list(refusals())}


def test_story():
    assert kept("refusals", SCENARIOS["refusals"]())


class Loop:
    """Stands in for the loop: what is to be called is, by the thread that hands it over."""

    def __init__(self):
        self.kept, self.failures, self.event = 0, [], threading.Event()

    def call_soon(self, call, *args):
        call(*args)
        self.event.set()

    def note(self, count):
        self.kept = count


def test_group_commit(tmp_path):
    loop, gate = Loop(), threading.Event()
    syncs = []

    class Slow(Files):
        def sync(self, file):
            syncs.append(file)
            gate.wait(8)
            os.fsync(file)

    gate.set()
    journal = Journal(str(tmp_path / "d"), "c", Slow())
    gate.clear()
    keeper = Keeper(
        journal, loop.call_soon, loop.note, loop.failures.append, snapshot_after=400
    )
    del syncs[:]
    for number in range(500):
        keeper.put(["cell", number])  # returns though the disk stands still
    assert loop.kept == 0 and keeper.due
    gate.set()
    keeper.close()
    assert loop.kept == 500 and len(syncs) <= 3 and not loop.failures
    journal.close()
    again = Journal(str(tmp_path / "d"), "c")
    assert [words[1] for words in again.tail] == list(range(500))
    again.close()


def test_a_disk_that_fails_is_told_once(tmp_path):
    loop = Loop()
    journal = Journal(str(tmp_path / "d"), "c", Faulty(writes=2))
    keeper = Keeper(
        journal, loop.call_soon, loop.note, loop.failures.append, snapshot_after=400
    )
    for number in range(20):
        loop.event.clear()
        keeper.put(["cell", number])
        loop.event.wait(0.02)
    keeper.close()
    assert len(loop.failures) == 1 and "No space left" in loop.failures[0]
    journal.close()


@pytest.mark.parametrize("junk", [b"", b"\0" * 100, b"\xff" * 100, record([1])[:-1]])
def test_junk_is_no_record(junk):
    assert records(junk)[0] == []
