"""The store's directory: a log of records with checksums, and snapshots; read whole at the start.

cluster     the cluster's name, so that a directory of another one is found lock        held by the process
that has the directory open log.N       records since snapshot N: length (4 bytes), CRC-32 (4 bytes), msgpack
snap.N      one such record that holds the whole

What `append` was given counts as kept once the `sync` after it has returned. A log whose end was torn off by
a kill ends before the torn record, which nobody was told is kept. A record damaged in the middle is another
matter: what follows it is still read, where it can be, and `damage` says so. A snapshot is written beside,
synced, renamed, the directory synced, and only then the older log goes. All failures of the disk come as
`DiskFailed`, with the file.
"""

import fcntl
import os
import struct
import zlib

from msgspec import DecodeError, msgpack

HEAD = struct.Struct(">II")
LONGEST = 64 * 2**20


class DiskFailed(Exception):
    """Text that names the file and what is wrong with it."""


class Files:
    """What the journal asks of the system; tests stand in for it."""

    def open(self, path, append):
        return os.open(
            path,
            os.O_RDWR | os.O_CREAT | (os.O_APPEND if append else os.O_TRUNC),
            0o600,
        )

    def write(self, file, data):
        return os.write(file, data)

    def sync(self, file):
        os.fsync(file)

    def rename(self, old, new):
        os.replace(old, new)


def record(words):
    body = msgpack.encode(words)
    return HEAD.pack(len(body), zlib.crc32(body)) + body


def records(data):
    """(records, where the good part ends, places of damage). After damage the next place is looked for where
    a whole record with a right checksum stands."""
    found, damage, place, good = [], [], 0, 0
    while place < len(data):
        words, after = one(data, place)
        if after is None:
            again = next(
                (
                    start
                    for start in range(place + 1, len(data) - HEAD.size + 1)
                    if one(data, start)[1] is not None
                ),
                None,
            )
            if again is None:
                break  # nothing whole follows: the end was torn off
            damage.append(place)
            place = again
            continue
        found.append(words)
        place = good = after
    return found, good, damage


def one(data, place):
    """The record at a place and where it ends, or (None, None)."""
    if place + HEAD.size > len(data):
        return None, None
    length, checksum = HEAD.unpack_from(data, place)
    start, end = place + HEAD.size, place + HEAD.size + length
    if not 0 < length <= LONGEST or end > len(data):
        return None, None
    body = bytes(data[start:end])
    if zlib.crc32(body) != checksum:
        return None, None
    try:
        return msgpack.decode(body), end
    except DecodeError:
        return None, None


class Journal:
    """One open directory. `image` is the last snapshot's words or None, `tail` the records since, `torn` the
    bytes of an unfinished record that were cut off, `damage` [(file, place)] in what was kept."""

    def __init__(self, path, cluster, files=None):
        self.path = path
        self.files = files or Files()
        self.damage, self.torn = [], 0
        self.image, self.tail = None, []
        self.file = None
        self.broken = None  # why nothing can be written any more
        try:
            os.makedirs(path, mode=0o700, exist_ok=True)
            self.lock()
            self.check_cluster(cluster)
            self.read()
        except OSError as wrong:
            self.close()
            raise DiskFailed(f"{wrong.filename or path}: {wrong.strerror}") from None
        except DiskFailed:
            self.close()
            raise

    def at(self, name):
        return os.path.join(self.path, name)

    def lock(self):
        self.held = None
        self.held = os.open(self.at("lock"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise DiskFailed(
                f"{self.at('lock')}: another process has this directory open"
            ) from None

    def check_cluster(self, cluster):
        try:
            with open(self.at("cluster")) as source:
                found = source.read().strip()
        except FileNotFoundError:
            if any(
                name.startswith(("log.", "snap.")) for name in os.listdir(self.path)
            ):
                raise DiskFailed(
                    f"{self.at('cluster')}: is missing beside a log"
                ) from None
            self.replace("cluster", cluster.encode())
            return
        if found != cluster:
            raise DiskFailed(
                f"{self.at('cluster')}: a directory of {found!r}, not of {cluster!r}"
            )

    def numbers(self, kind):
        return sorted(
            int(name[len(kind) :])
            for name in os.listdir(self.path)
            if name.startswith(kind) and name[len(kind) :].isdecimal()
        )

    def read(self):
        self.number = 0
        for number in reversed(self.numbers("snap.")):
            found, _, _ = records(self.content(f"snap.{number}"))
            if len(found) == 1:
                self.image, self.number = found[0], number
                break
            self.damage.append((f"snap.{number}", 0))
        # Logs older than the snapshot are left over from a death between the two; all since count, in order.
        logs = [number for number in self.numbers("log.") if number >= self.number]
        for number in logs:
            name = f"log.{number}"
            data = self.content(name)
            found, good, damage = records(data)
            self.tail += found
            self.damage += [(name, place) for place in damage]
            if number == logs[-1]:
                self.torn = len(data) - good
                if self.torn:
                    os.truncate(self.at(name), good)
            elif good < len(data):
                self.damage.append((name, good))
        self.number = logs[-1] if logs else self.number
        self.open_log()

    def content(self, name):
        with open(self.at(name), "rb") as source:
            return source.read()

    def open_log(self):
        if self.file is not None:
            os.close(self.file)
        self.file = self.files.open(self.at(f"log.{self.number}"), True)
        self.sync_folder()

    def sync_folder(self):
        folder = os.open(self.path, os.O_RDONLY)
        try:
            self.files.sync(folder)
        finally:
            os.close(folder)

    # Writing

    def append(self, words):
        """Many records at once. After a failure nothing more is written to this log: what stands behind a
        half record could not be told from damage."""
        if self.broken:
            raise DiskFailed(self.broken)
        data = b"".join(map(record, words))
        try:
            while data:
                data = data[self.files.write(self.file, data) :]
        except OSError as wrong:
            self.fail(f"log.{self.number}", wrong)

    def sync(self):
        """After a sync that failed the system may have let go of what was written: it is not tried again."""
        if self.broken:
            raise DiskFailed(self.broken)
        try:
            self.files.sync(self.file)
        except OSError as wrong:
            self.fail(f"log.{self.number}", wrong)

    def fail(self, name, wrong):
        self.broken = f"{self.at(name)}: {wrong.strerror}"
        raise DiskFailed(self.broken) from None

    def snapshot(self, words):
        """The whole in one record, and a new log behind it. The older files go when the new ones are kept."""
        number = self.number + 1
        try:
            self.replace(f"snap.{number}", record(words))
        except OSError as wrong:
            # The log that is open goes on as it was.
            raise DiskFailed(f"{self.at(f'snap.{number}')}: {wrong.strerror}") from None
        old = [
            f"{kind}{each}"
            for kind in ("snap.", "log.")
            for each in self.numbers(kind)
            if each < number
        ]
        self.number = number
        self.broken = None
        self.open_log()
        for name in old:
            os.remove(self.at(name))

    def replace(self, name, data):
        temporary = self.at(name + ".new")
        file = self.files.open(temporary, False)
        try:
            while data:
                data = data[self.files.write(file, data) :]
            self.files.sync(file)
        finally:
            os.close(file)
        self.files.rename(temporary, self.at(name))
        self.sync_folder()

    def close(self):
        for file in (self.file, getattr(self, "held", None)):
            if file is not None:
                os.close(file)
        self.file = self.held = None
