"""The command line. Each command imports what it needs when it is called.

Docstrings of commands are what `--help` prints, where they state no `help`.
"""

import json
import sys
from typing import Any

import click

from wheathill.config.errors import ConfigurationError

EXIT_MISCONFIGURED = 2


class ReportingGroup(click.Group):
    """Commands that answer a configuration that can't be used with its faults."""

    def invoke(self, ctx: click.Context) -> Any:  # noqa: ANN401 - as click's own
        """Run a command; print the faults and exit with 2 where there are any."""
        try:
            return super().invoke(ctx)
        except ConfigurationError as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_MISCONFIGURED)


class ScaleGroup(click.Group):
    """The commands of `lab scale`, imported once one is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the commands' names."""
        from wheathill.lab.scale.commands import COMMANDS

        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of that name."""
        from wheathill.lab.scale.commands import COMMANDS

        return COMMANDS.get(cmd_name)


file_argument = click.argument("file", type=click.Path())
script_argument = click.argument("script", type=click.Path())
world_option = click.option(
    "--world",
    type=click.Choice(["virtual", "sockets", "processes"]),
    default="virtual",
    show_default=True,
)
mutant_option = click.option(
    "--mutant", help="instances broken on purpose (lab/judging/mutated)"
)


@click.group(
    cls=ReportingGroup, context_settings={"help_option_names": ["-h", "--help"]}
)
def main() -> None:
    """A balancer for long-lived connections."""


@main.command(
    help=(
        "Run one installation's proxy as FILE says."
        " SIGHUP reads it again, SIGTERM ends it."
    )
)
@file_argument
def daemon(file: str) -> None:
    """Run one proxy until a signal ends it."""
    from wheathill.config.operator import read_operator_config
    from wheathill.daemon import run

    sys.exit(run(lambda: read_operator_config(file)))


@main.command()
@file_argument
def check(file: str) -> None:
    """Read FILE whole; name every faulty key, and exit with 2 if there is one."""
    from wheathill.config.operator import read_operator_config

    node = read_operator_config(file)
    discovery = ":".join(map(str, node.discovery_address or ("off",)))
    click.echo(
        f"{file}: good; {len(node.listeners)} listeners,"
        f" {len(node.initial_endpoints['hosts'])} servers listed,"
        f" discovery {discovery}"
    )


@main.command()
def schema() -> None:
    """Print the JSON schema of the operator's file."""
    import msgspec

    from wheathill.config.operator_tables import File

    click.echo(json.dumps(msgspec.json.schema(File), indent=2))


@main.command(
    help=(
        "Show the instances that the proxy of FILE knows."
        " Exits with 1 where its view is not agreed."
    )
)
@file_argument
@click.option("--json", "as_json", is_flag=True, help="print all that is told")
@click.option(
    "--compare",
    is_flag=True,
    help="ask all that can be reached, and show where views differ",
)
@click.option(
    "--remove", metavar="NAME", help="take a member off that is lost for good"
)
def peers(file: str, as_json: bool, compare: bool, remove: str | None) -> None:
    """Ask a running proxy for its view of the cluster, and print it."""
    from wheathill.peers import command

    sys.exit(command.run(file, as_json, compare, remove))


@main.group(
    help=(
        "Play scripted incidents against the real proxy,"
        " in simulated time or on loopback sockets."
    )
)
def lab() -> None:
    """Hold the commands of the lab."""


@lab.command()
@script_argument
@click.option("--seed", type=int, help="of all chance; the script's own where left out")
@world_option
@click.option(
    "--policy",
    default="module",
    show_default=True,
    help=(
        "module, random, weighted-random, least-connections, two-choices or"
        " true-sight (virtual only)"
    ),
)
@mutant_option
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
def run(
    script: str,
    seed: int | None,
    world: str,
    policy: str,
    mutant: str | None,
    json_path: str | None,
    log_path: str | None,
    report: str | None,
) -> None:
    """Play SCRIPT once; exit with 1 if a rule was broken."""
    from wheathill.lab.tools import experiments

    exit_code = experiments.run(
        script, seed, world, policy, json_path, log_path, report, mutant
    )
    sys.exit(exit_code)


@lab.command()
@script_argument
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
@world_option
@mutant_option
@click.option("--jobs", type=int, default=4, show_default=True)
@click.option("--json", "json_path", type=click.Path(), help="keep all figures there")
def sweep(
    script: str,
    seeds: str,
    changes: tuple[str, ...],
    policies: str,
    world: str,
    mutant: str | None,
    jobs: int,
    json_path: str | None,
) -> None:
    """Play SCRIPT over a grid of seeds, keys and policies; print medians and ranges."""
    from wheathill.lab.tools import experiments

    names = policies.split(",")
    exit_code = experiments.sweep(
        script, seeds, changes, names, world, jobs, json_path, mutant
    )
    sys.exit(exit_code)


@lab.command()
@click.argument("one", type=click.Path(exists=True))
@click.argument("other", type=click.Path(exists=True))
def compare(one: str, other: str) -> None:
    """Set the figures of two kept runs or sweeps side by side."""
    from wheathill.lab.tools import experiments

    sys.exit(experiments.compare(one, other))


@lab.command("draw-site")
@click.option(
    "--seed", type=int, required=True, help="the same one gives the same bytes"
)
def draw_site(seed: int) -> None:
    """Print a site drawn at random, as the operators' bench reads it (docs/lab.md)."""
    from wheathill.lab.tools import sites

    click.echo(sites.text(seed), nl=False)


@lab.group(cls=ScaleGroup)
def scale() -> None:
    """Measure how the cost of one proxy grows."""
