"""Starts the program with one of its parts broken on purpose (`judging/mutated`):

    python -m wheathill.lab.mutant NAME daemon FILE
"""

import sys

from wheathill.cli import main
from wheathill.lab.judging.mutated import VARIANTS

if __name__ == "__main__":
    VARIANTS[sys.argv.pop(1)]()
    main()
