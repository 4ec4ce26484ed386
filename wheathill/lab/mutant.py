"""Starts the program with one deliberately broken part (`judging/mutated`).

    python -m wheathill.lab.mutant NAME daemon FILE

Runs as `wheathill daemon FILE` does, but without the command line module: that one offers the lab's commands, and so
depends on the lab.
"""

import sys

from wheathill.config import operator
from wheathill.daemon import run
from wheathill.lab.judging.mutated import VARIANTS


def main(name, command, path):
    """Apply the mutant or variant `name`, then run the daemon with the configuration at `path`."""
    if command != "daemon":
        raise SystemExit(f"{command}: mutants can only be started as a daemon")
    VARIANTS[name]()
    return run(lambda: operator.read_operator_config(path))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
