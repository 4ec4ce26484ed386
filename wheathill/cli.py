"""The command line. Each command imports what it needs when it is called."""

import json
import sys

import click

from wheathill.config import Misconfigured


class Commands(click.Group):
    def invoke(self, context):
        """A file that can't be used is answered with its faults and exit code 2, by every command."""
        try:
            return super().invoke(context)
        except Misconfigured as wrong:
            click.echo(str(wrong), err=True)
            sys.exit(2)


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """A balancer for long-lived connections."""


@main.command()
@click.argument("file", type=click.Path())
def daemon(file):
    """Run one installation's proxy as FILE says. SIGHUP reads it again, SIGTERM ends it."""
    from wheathill.config import operator
    from wheathill.daemon import run
    sys.exit(run(lambda: operator.read(file)))


@main.command()
@click.argument("file", type=click.Path())
def check(file):
    """Read FILE whole; name every faulty key, and exit with 2 if there is one."""
    from wheathill.config import operator
    node = operator.read(file)
    click.echo(f"{file}: good; {len(node.listeners)} listeners, {len(node.known['hosts'])} servers listed, "
               f"discovery {':'.join(map(str, node.discovery)) if node.discovery else 'off'}")


@main.command()
def schema():
    """Print the JSON schema of the operator's file."""
    import msgspec
    from wheathill.config.operator import File
    click.echo(json.dumps(msgspec.json.schema(File), indent=2))
