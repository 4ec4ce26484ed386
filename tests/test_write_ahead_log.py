"""The store's directory: killed at every byte, torn, flipped, full, read by two, of another cluster."""

import errno
import os
import threading

import pytest

from drive import kept
from wheathill.store.errors import DiskError
from wheathill.store.file_system import FileSystem
from wheathill.store.group_commit import GroupCommitWriter
from wheathill.store.record_framing import decode_records, encode_record
from wheathill.store.write_ahead_log import WriteAheadLog


class FaultyFileSystem(FileSystem):
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
    log = WriteAheadLog(str(path), "c", **more)
    for number in range(count):
        log.append([["cell", number, "x" * number]])
    log.sync()
    log.close()
    return path / "log.0"


def test_killed_at_every_byte_of_the_last_record(tmp_path):
    whole = written(tmp_path / "whole").read_bytes()
    start = len(whole) - len(encode_record(["cell", 4, "x" * 4]))
    for size in range(start, len(whole) + 1):
        path = tmp_path / f"cut{size}"
        log_path = written(path)
        os.truncate(log_path, size)
        log = WriteAheadLog(str(path), "c")
        numbers = [content[1] for content in log.records]
        assert numbers == ([0, 1, 2, 3, 4] if size == len(whole) else [0, 1, 2, 3])
        assert log.corrupt_locations == []
        assert log.torn_bytes == (size - start if size < len(whole) else 0)
        # What comes after is read again.
        log.append([["cell", 9, ""]])
        log.sync()
        log.close()
        reopened = WriteAheadLog(str(path), "c")
        assert reopened.records[-1][1] == 9
        assert reopened.torn_bytes == 0
        reopened.close()


def test_a_flipped_byte_anywhere_is_found(tmp_path):
    whole = written(tmp_path / "whole").read_bytes()
    for place in range(len(whole)):
        data = bytearray(whole)
        data[place] ^= 0x40
        decoded = decode_records(data)
        assert [content[1] for content in decoded.records] in (
            [1, 2, 3, 4],
            [0, 2, 3, 4],
            [0, 1, 3, 4],
            [0, 1, 2, 4],
            [0, 1, 2, 3],
        )
        assert decoded.corrupt_offsets or decoded.intact_bytes < len(whole)


def test_snapshot_and_death_between_its_steps(tmp_path):
    path = tmp_path / "d"
    written(path)
    log = WriteAheadLog(str(path), "c")
    log.write_snapshot(["image", 5])
    log.append([["cell", 6]])
    log.sync()
    log.close()
    assert sorted(os.listdir(path)) == ["cluster", "lock", "log.1", "snap.1"]
    # Died before the old files went, and while the next snapshot was written.
    (path / "log.0").write_bytes(encode_record(["cell", "old"]))
    (path / "snap.2.new").write_bytes(b"half")
    log = WriteAheadLog(str(path), "c")
    assert (log.last_snapshot, log.records, log.corrupt_locations) == (
        ["image", 5],
        [["cell", 6]],
        [],
    )
    log.close()
    # The snapshot itself is damaged: it is named, and what is left is read.
    (path / "snap.1").write_bytes(b"\0" * 40)
    log = WriteAheadLog(str(path), "c")
    assert log.last_snapshot is None and log.corrupt_locations == [("snap.1", 0)]
    assert log.records == [["cell", "old"], ["cell", 6]]
    log.close()


def refusals():
    import tempfile

    with tempfile.TemporaryDirectory() as folder:

        def said(make):
            try:
                make()
                return "nothing"
            except DiskError as wrong:
                return str(wrong).replace(folder, "DIR")

        path = os.path.join(folder, "d")
        log = WriteAheadLog(path, "c")
        yield f"a second process: {said(lambda: WriteAheadLog(path, 'c'))}"
        log.append([["cell", 1]])
        log.sync()
        log.close()
        yield f"another cluster: {said(lambda: WriteAheadLog(path, 'other'))}"
        for name, files in (
            ("full", FaultyFileSystem(writes=1)),
            ("full in a record's middle", FaultyFileSystem(writes=2, part=3)),
            ("lost sync", FaultyFileSystem(syncs=1)),
        ):
            log = WriteAheadLog(path, "c", files)
            if name == "full":
                log.append([["cell", 2]])

            def append_and_sync(log=log):
                log.append([["cell", 3]])
                log.sync()

            yield f"{name}: {said(append_and_sync)}"
            yield f"and then: {said(lambda log=log: log.append([['cell', 4]]))}"
            log.close()
        log = WriteAheadLog(path, "c")
        yield f"read again: {log.records}, torn {log.torn_bytes}, damage {log.corrupt_locations}"
        log.close()
        os.remove(os.path.join(path, "cluster"))
        yield f"no name of a cluster: {said(lambda: WriteAheadLog(path, 'c'))}"
        blocked = os.path.join(folder, "file")
        open(blocked, "w").close()
        yield f"no directory: {said(lambda: WriteAheadLog(blocked, 'c'))}"


SCENARIOS = {"refusals": lambda: list(refusals())}


def test_refusals_match_the_trace():
    assert kept("refusals", SCENARIOS["refusals"]())


class Loop:
    """Stands in for the loop: calls at once, in the thread that hands the call over."""

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

    class SlowFileSystem(FileSystem):
        def sync(self, file):
            syncs.append(file)
            gate.wait(8)
            os.fsync(file)

    gate.set()
    log = WriteAheadLog(str(tmp_path / "d"), "c", SlowFileSystem())
    gate.clear()
    writer = GroupCommitWriter(
        log, loop.call_soon, loop.note, loop.failures.append, snapshot_threshold=400
    )
    del syncs[:]
    for number in range(500):
        writer.append(["cell", number])  # returns though the disk stands still
    assert loop.kept == 0 and writer.is_snapshot_due
    gate.set()
    writer.close()
    assert loop.kept == 500 and len(syncs) <= 3 and not loop.failures
    log.close()
    reopened = WriteAheadLog(str(tmp_path / "d"), "c")
    assert [content[1] for content in reopened.records] == list(range(500))
    reopened.close()


def test_a_disk_failure_is_reported_once(tmp_path):
    loop = Loop()
    log = WriteAheadLog(str(tmp_path / "d"), "c", FaultyFileSystem(writes=2))
    writer = GroupCommitWriter(
        log, loop.call_soon, loop.note, loop.failures.append, snapshot_threshold=400
    )
    for number in range(20):
        loop.event.clear()
        writer.append(["cell", number])
        loop.event.wait(0.02)
    writer.close()
    assert len(loop.failures) == 1 and "No space left" in loop.failures[0]
    log.close()


@pytest.mark.parametrize(
    "junk", [b"", b"\0" * 100, b"\xff" * 100, encode_record([1])[:-1]]
)
def test_junk_is_no_record(junk):
    assert decode_records(junk).records == []
