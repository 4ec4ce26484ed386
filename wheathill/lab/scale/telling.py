"""`python -m wheathill.lab.scale.telling daemon FILE`: a proxy that tells what memory it has in use when it gets SIGUSR1, in
the file that $ALLOCATED names. A program of its own: what is imported for its figures starts no command line."""

import os
import signal
import sys

from wheathill.__main__ import main
from wheathill.lab.scale.memory import allocated_mb


def tell(*_):
    path = os.environ["ALLOCATED"]
    with open(path + ".new", "w") as out:
        out.write(str(allocated_mb()))
    os.rename(path + ".new", path)


if __name__ == "__main__":
    signal.signal(signal.SIGUSR1, tell)
    sys.exit(main())
