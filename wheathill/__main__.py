"""The entry point of `python -m wheathill`.

Without arguments it starts the proxy with the configuration in the environment variable
NODE_CONFIG, as the platform does. With arguments it runs the command line, whose
dependencies are imported only in that case.
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
