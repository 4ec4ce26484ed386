"""The entry point, `python -m wheathill`.

Without arguments it starts the proxy as the platform does, configured by the
environment variable NODE_CONFIG. With arguments it is the command line, and what only
the command line needs is imported only then.
"""

import os
import sys


def main() -> int | None:
    """Start the proxy or run a command, and return the exit code."""
    if len(sys.argv) > 1:
        from wheathill.cli import main as command

        return command()
    from wheathill.config.platform import read_platform_config
    from wheathill.daemon import run

    return run(lambda: read_platform_config(os.environ))


if __name__ == "__main__":
    sys.exit(main())
