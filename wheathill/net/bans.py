"""Who is out by hand, in a file that outlives the process: written whole before a call is answered."""

import os

import orjson

VERSION = 1


def path_of(node):
    """None where no folder outlives the process."""
    return node.state_directory and os.path.join(
        node.state_directory, f"wheathill-{node.file_tag}.out"
    )


def write(path, out):
    """`out`: {name: since when, Unix ms}. Raises OSError; the file is then as it was."""
    new = f"{path}.{os.getpid()}"  # at an upgrade two processes write
    descriptor = os.open(
        new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600
    )
    try:
        with open(descriptor, "wb") as file:
            file.write(orjson.dumps({"version": VERSION, "out": out}))
            file.flush()
            os.fsync(descriptor)
        os.rename(new, path)
    except OSError:
        os.unlink(new)
        raise


def read(path, most):
    """What was written, {} where nothing was. Raises OSError, or ValueError for what is no such file."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC)
    except FileNotFoundError:
        return {}
    with open(descriptor, "rb") as file:
        if os.fstat(descriptor).st_uid != os.geteuid():
            raise ValueError("the file is another user's")
        found = orjson.loads(file.read(most * 512))
    if (
        not isinstance(found, dict)
        or found.get("version") != VERSION
        or not isinstance(found.get("out"), dict)
        or not all(isinstance(since, (int, float)) for since in found["out"].values())
    ):
        raise ValueError("not a file of this version")
    return found["out"]
