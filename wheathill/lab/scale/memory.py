"""Memory of a process in MB: what is resident, and what is in use.

Resident memory of small things says little: hundreds of KB that a start took and gave back are filled first. So what is
in use is counted as well, by Python's own allocator and the C library's. `python -m wheathill.lab.scale.memory daemon FILE`
is a proxy that tells it when it gets SIGUSR1, in the file that $ALLOCATED names.
"""

import ctypes
import os
import re
import signal
import sys
import tempfile

LIBC = ctypes.CDLL(None)


class Mallinfo(ctypes.Structure):
    _fields_ = [(name, ctypes.c_size_t) for name in (
        "arena", "ordblks", "smblks", "hblks", "hblkhd", "usmblks", "fsmblks", "uordblks", "fordblks", "keepcost")]


def resident_mb(process="self"):
    """Its own: pages of files, as of the libraries, are those of all processes."""
    with open(f"/proc/{process}/status") as status:
        return next(int(line.split()[1]) / 1024 for line in status if line.startswith("RssAnon"))


def allocated_mb():
    """In use, of this process. Python prints its part to the standard error only."""
    with tempfile.TemporaryFile() as out:
        sys.stderr.flush()
        before = os.dup(2)
        try:
            os.dup2(out.fileno(), 2)
            sys._debugmallocstats()
        finally:
            os.dup2(before, 2)
            os.close(before)
        out.seek(0)
        own = re.search(rb"# bytes in allocated blocks\s+=\s+([\d,]+)", out.read())[1]
    LIBC.mallinfo2.restype = Mallinfo
    info = LIBC.mallinfo2()
    # Arenas of Python's allocator are mapped by itself, not by the C library.
    return (int(own.replace(b",", b"")) + info.uordblks + info.hblkhd) / 2 ** 20


def tell(*_):
    path = os.environ["ALLOCATED"]
    with open(path + ".new", "w") as out:
        out.write(str(allocated_mb()))
    os.rename(path + ".new", path)


if __name__ == "__main__":
    signal.signal(signal.SIGUSR1, tell)
    from wheathill.__main__ import main
    sys.exit(main())
