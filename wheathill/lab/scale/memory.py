"""Memory of a process in MB: what is resident, and what is in use.

Resident memory of small things says little: hundreds of KB that a start took and gave back are filled first. So what is
in use is counted as well, by Python's own allocator and the C library's.
"""

import ctypes
import os
import re
import sys
import tempfile

LIBC = ctypes.CDLL(None)


class Mallinfo(ctypes.Structure):
    _fields_ = [
        (name, ctypes.c_size_t)
        for name in (
            "arena",
            "ordblks",
            "smblks",
            "hblks",
            "hblkhd",
            "usmblks",
            "fsmblks",
            "uordblks",
            "fordblks",
            "keepcost",
        )
    ]


def resident_mb(process="self"):
    """Its own: pages of files, as of the libraries, are those of all processes."""
    with open(f"/proc/{process}/status") as status:
        return next(
            int(line.split()[1]) / 1024 for line in status if line.startswith("RssAnon")
        )


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
    return (int(own.replace(b",", b"")) + info.uordblks + info.hblkhd) / 2**20
