"""Starts the program with one of its parts broken on purpose (`judging/mutated`):

    python -m wheathill.lab.mutant NAME daemon FILE

As `wheathill daemon FILE` does, below the command line, which offers the lab's commands and so stands above it.
"""

import sys

from wheathill.config import operator
from wheathill.daemon import run
from wheathill.lab.judging.mutated import VARIANTS


def main(name, command, path):
    if command != "daemon":
        raise SystemExit(f"{command}: a mutant is started as a daemon only")
    VARIANTS[name]()
    return run(lambda: operator.read_operator_config(path))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
