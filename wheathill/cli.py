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
    click.echo(
        f"{file}: good; {len(node.listeners)} listeners, {len(node.known['hosts'])} servers listed, "
        f"discovery {':'.join(map(str, node.discovery)) if node.discovery else 'off'}"
    )


@main.command()
def schema():
    """Print the JSON schema of the operator's file."""
    import msgspec

    from wheathill.config.operator import File

    click.echo(json.dumps(msgspec.json.schema(File), indent=2))


@main.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="print all that is told")
@click.option(
    "--compare",
    is_flag=True,
    help="ask all that can be reached, and show where views differ",
)
@click.option(
    "--remove", metavar="NAME", help="take a member off that is lost for good"
)
def peers(file, as_json, compare, remove):
    """Show the instances that the proxy of FILE knows. Exits with 1 where its view is not agreed."""
    from wheathill.peers import command

    sys.exit(command.run(file, as_json, compare, remove))


@main.group()
def lab():
    """Play scripted incidents against the real proxy, in simulated time or on loopback sockets."""


@lab.command()
@click.argument("script", type=click.Path())
@click.option("--seed", type=int, help="of all chance; the script's own where left out")
@click.option(
    "--world",
    type=click.Choice(["virtual", "sockets", "processes"]),
    default="virtual",
    show_default=True,
)
@click.option(
    "--policy",
    default="module",
    show_default=True,
    help="module, random, weighted-random, least-connections, two-choices or true-sight (virtual only)",
)
@click.option("--mutant", help="instances broken on purpose (lab/judging/mutated)")
@click.option("--json", "json_path", type=click.Path(), help="keep the figures there")
@click.option(
    "--log",
    "log_path",
    type=click.Path(),
    help="keep every event there, one JSON line each",
)
@click.option(
    "--report", type=click.Path(), help="write a page with plots into this folder"
)
def run(script, seed, world, policy, mutant, json_path, log_path, report):
    """Play SCRIPT once; exit with 1 if a rule was broken."""
    from wheathill.lab.tools import experiments

    sys.exit(
        experiments.run(
            script, seed, world, policy, json_path, log_path, report, mutant
        )
    )


@lab.command()
@click.argument("script", type=click.Path())
@click.option("--seeds", default="1..5", show_default=True, help="A..B")
@click.option(
    "--set",
    "changes",
    multiple=True,
    help="KEY=V1,V2: play it with each; may be repeated",
)
@click.option(
    "--policies", default="module", show_default=True, help="with commas between"
)
@click.option(
    "--world",
    type=click.Choice(["virtual", "sockets", "processes"]),
    default="virtual",
    show_default=True,
)
@click.option("--mutant", help="instances broken on purpose (lab/judging/mutated)")
@click.option("--jobs", type=int, default=4, show_default=True)
@click.option("--json", "json_path", type=click.Path(), help="keep all figures there")
def sweep(script, seeds, changes, policies, world, mutant, jobs, json_path):
    """Play SCRIPT over a grid of seeds, keys and policies; print medians and ranges."""
    from wheathill.lab.tools import experiments

    sys.exit(
        experiments.sweep(
            script, seeds, changes, policies.split(","), world, jobs, json_path, mutant
        )
    )


@lab.command()
@click.argument("one", type=click.Path(exists=True))
@click.argument("other", type=click.Path(exists=True))
def compare(one, other):
    """Set the figures of two kept runs or sweeps side by side."""
    from wheathill.lab.tools import experiments

    sys.exit(experiments.compare(one, other))


@lab.command("draw-site")
@click.option(
    "--seed", type=int, required=True, help="the same one gives the same bytes"
)
def draw_site(seed):
    """Print a site drawn at random, as the operators' bench reads it (docs/lab.md)."""
    from wheathill.lab.tools import sites

    click.echo(sites.text(seed), nl=False)


class Scale(click.Group):
    """The commands of `lab scale`, imported once one is asked for."""

    def list_commands(self, context):
        from wheathill.lab.scale.commands import COMMANDS

        return list(COMMANDS)

    def get_command(self, context, name):
        from wheathill.lab.scale.commands import COMMANDS

        return COMMANDS.get(name)


@lab.group(cls=Scale)
def scale():
    """Measure how the cost of one proxy grows."""
