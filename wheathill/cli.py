"""The command line. Each command imports its implementation when it is called.

`--help` prints the docstring of a command unless it sets `help`.
"""

import json
import sys
from typing import Any

import click

from wheathill.config.errors import ConfigurationError

EXIT_MISCONFIGURED = 2


class ReportingGroup(click.Group):
    """A command group that reports configuration errors and exits with 2."""

    def invoke(self, ctx: click.Context) -> Any:  # noqa: ANN401 - as click's own
        """Run a command; print any configuration errors and exit with 2."""
        try:
            return super().invoke(ctx)
        except ConfigurationError as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_MISCONFIGURED)


class ScaleGroup(click.Group):
    """The commands of `lab scale`, imported on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands."""
        from wheathill.lab.scale.commands import COMMANDS

        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command with that name."""
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
    "--mutant", help="run a deliberately broken variant (lab/judging/mutated)"
)


@click.group(
    cls=ReportingGroup, context_settings={"help_option_names": ["-h", "--help"]}
)
def main() -> None:
    """A balancer for long-lived connections."""


@main.command(
    help=(
        "Run a proxy with the configuration in FILE."
        " SIGHUP reloads it, SIGTERM shuts the proxy down."
    )
)
@file_argument
def daemon(file: str) -> None:
    """Run one proxy until a signal stops it."""
    from wheathill.config.operator import read_operator_config
    from wheathill.daemon import run

    sys.exit(run(lambda: read_operator_config(file)))


@main.command()
@file_argument
def check(file: str) -> None:
    """Validate FILE; report every invalid key, and exit with 2 if there is one."""
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
    """Print the JSON schema of the operator's configuration file."""
    import msgspec

    from wheathill.config.operator_tables import File

    click.echo(json.dumps(msgspec.json.schema(File), indent=2))


@main.command(
    help=(
        "Show the cluster members known to the proxy configured by FILE."
        " Exits with 1 if its cluster view has not converged."
    )
)
@file_argument
@click.option("--json", "as_json", is_flag=True, help="print the whole answer as JSON")
@click.option(
    "--compare",
    is_flag=True,
    help="query all reachable members, and show where their views differ",
)
@click.option(
    "--remove", metavar="NAME", help="remove a member that will not come back"
)
def peers(file: str, as_json: bool, compare: bool, remove: str | None) -> None:
    """Ask a running proxy for its view of the cluster, and print it."""
    from wheathill.peers import command

    sys.exit(command.run(file, as_json, compare, remove))


@main.group(
    help=(
        "Run scripted failure scenarios against the real proxy,"
        " in simulated time or on loopback sockets."
    )
)
def lab() -> None:
    """Group the commands of the lab."""


@lab.command()
@script_argument
@click.option("--seed", type=int, help="random seed; defaults to the script's own")
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
@click.option("--json", "json_path", type=click.Path(), help="save the results there")
@click.option(
    "--log",
    "log_path",
    type=click.Path(),
    help="save every event there, one JSON line each",
)
@click.option(
    "--report", type=click.Path(), help="write a report with plots to this directory"
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
    """Run SCRIPT once; exit with 1 if an invariant was violated."""
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
    help="KEY=V1,V2: run with each value; may be repeated",
)
@click.option(
    "--policies", default="module", show_default=True, help="comma-separated list"
)
@world_option
@mutant_option
@click.option("--jobs", type=int, default=4, show_default=True)
@click.option("--json", "json_path", type=click.Path(), help="save all results there")
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
    """Run SCRIPT over a grid of seeds, keys and policies; print medians and ranges."""
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
    """Compare the saved results of two runs or sweeps side by side."""
    from wheathill.lab.tools import experiments

    sys.exit(experiments.compare(one, other))


@lab.command("draw-site")
@click.option(
    "--seed", type=int, required=True, help="equal seeds give identical output"
)
def draw_site(seed: int) -> None:
    """Print a randomly generated site for the operators' bench (docs/lab.md)."""
    from wheathill.lab.tools import sites

    click.echo(sites.site_text(seed), nl=False)


@lab.group(cls=ScaleGroup)
def scale() -> None:
    """Measure how the resource use of one proxy scales."""
