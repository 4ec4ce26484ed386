"""`python -m wheathill`: the platform's start, told what it needs by NODE_CONFIG. With words after it, the
command line; what that needs is imported only then."""

import os
import sys


def main():
    if len(sys.argv) > 1:
        from wheathill.cli import main as command

        return command()
    from wheathill.config import read_node
    from wheathill.daemon import run

    return run(lambda: read_node(os.environ))


if __name__ == "__main__":
    sys.exit(main())
