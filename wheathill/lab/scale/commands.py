"""The commands of `wheathill lab scale`."""

import json
import sys

import click

from wheathill.lab.scale.data_commands import data, table, walks
from wheathill.lab.scale.kept import keep


def say(text):
    click.echo(text, err=True)


@click.command()
@click.option("--members", type=click.IntRange(2, 10_000), required=True)
@click.option("--zones", type=click.IntRange(1, 1000), required=True)
@click.option("--regions", type=click.IntRange(1, 1000), required=True)
@click.option(
    "--seconds",
    type=click.FloatRange(5.0, 86_400.0),
    required=True,
    help="of the fleet's time",
)
@click.option(
    "--loss",
    type=click.FloatRange(0.0, 0.9),
    default=0.0,
    help="share of datagrams, and of segments",
)
@click.option("--cut", metavar="REGION", help="r1, r2, ...: cut off and back")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "json_path", type=click.Path(), help="keep the figures there")
@click.option(
    "--kill-zone", metavar="ZONE", help="z1, z2, ...: all its processes die at once"
)
@click.option(
    "--cut-out", metavar="REGION", help="as --cut, but only what leaves it is lost"
)
@click.option(
    "--rack",
    metavar="ZONE",
    help="z1, z2, ...: a twentieth of it, two at the least, dies at once",
)
@click.option(
    "--release",
    type=click.FloatRange(0.0),
    metavar="SECONDS",
    help="all are restarted after the faults by tenths; the next when views are right, or after so long",
)
@click.option(
    "--deaths",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="single processes that die for good",
)
@click.option(
    "--churn",
    type=click.IntRange(0),
    default=0,
    show_default=True,
    help="processes restarted during the faults",
)
@click.option(
    "--changes",
    type=click.IntRange(0, 100),
    default=3,
    show_default=True,
    help="issued at one member",
)
@click.option("--processes", type=click.IntRange(1, 200), help="that share the members")
@click.option(
    "--period", type=float, default=1000.0, show_default=True, help="ms between probes"
)
@click.option(
    "--patience", type=float, default=300.0, show_default=True, help="ms for an answer"
)
@click.option(
    "--stretch",
    type=click.FloatRange(1.0),
    default=1.0,
    show_default=True,
    help="seconds of the machine in one of the fleet's",
)
@click.option(
    "--servers",
    type=click.IntRange(0),
    default=64,
    show_default=True,
    help="that each has just seen",
)
@click.option("--known", is_flag=True, help="all know each other from the start")
@click.option(
    "--rest", type=float, help="seconds measured at rest; a fifth of all where left out"
)
@click.option(
    "--zoned/--flat",
    "zoned",
    default=None,
    help="whether members are told the zones; as soon as there are two, where left out",
)
@click.option(
    "--one-way",
    is_flag=True,
    help="1, 5 and 80 to 200 ms each way, not for the way there and back",
)
@click.option(
    "--no-shape", is_flag=True, help="no delays, losses or cuts between the members"
)
@click.option("--no-faults", is_flag=True, help="measure rest only")
@click.option(
    "--real",
    type=click.IntRange(0, 100),
    default=0,
    show_default=True,
    help="of the members: daemons with sessions, a process each",
)
@click.option(
    "--sessions",
    type=click.FloatRange(0.0, 100.0),
    default=2.0,
    show_default=True,
    help="a second, that visitors open at each real one",
)
def fleet(json_path, stretch, no_shape, no_faults, **told):
    """Run hollow and real proxies and judge them from outside; exit with 1 if something did not hold."""
    from wheathill.lab.scale import fleet as runs

    found = runs.play(
        runs.Plan(rate=stretch, shaped=not no_shape, faults=not no_faults, **told), say
    )
    keep(found, json_path)
    click.echo(json.dumps(found))
    for breach in found["breaches"]:
        say(f"did not hold: {breach}")
    sys.exit(1 if found["breaches"] else 0)


@click.command()
@click.option("--members", type=click.IntRange(3, 200), default=30, show_default=True)
@click.option(
    "--before",
    type=float,
    default=30.0,
    show_default=True,
    help="seconds until they count as at rest",
)
@click.option(
    "--rest",
    type=float,
    default=40.0,
    show_default=True,
    help="seconds that are measured",
)
@click.option(
    "--processes",
    type=click.IntRange(1, 200),
    default=2,
    show_default=True,
    help="that share the hollow ones",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "json_path", type=click.Path(), help="keep the figures there")
def honest(members, before, rest, processes, seed, json_path):
    """Measure hollow proxies against real ones; exit with 1 where they are more than 15% apart."""
    from wheathill.lab.scale.honest import compare

    found = compare(members, seed, before, rest, processes, say)
    keep(found, json_path)
    for name, apart in found["apart"].items():
        click.echo(
            f"{name:<16} real {found['real'][name]:>12.4f}  hollow {found['hollow'][name]:>12.4f}  {apart:+.1%}"
        )
    sys.exit(0 if found["honest"] else 1)


def numbers(context, parameter, text):
    try:
        found = [int(part) for part in text.split(",")]
    except ValueError:
        raise click.BadParameter("numbers with commas between") from None
    if len(found) < 2 or found != sorted(found) or found[0] < 2 or found[-1] > 10_000:
        raise click.BadParameter(
            "two or more, each larger than the one before, from 2 to 10,000"
        )
    return found


def stretched(context, parameter, texts):
    try:
        return {
            int(size): float(rate)
            for size, _, rate in (text.partition("=") for text in texts)
        }
    except ValueError:
        raise click.BadParameter("SIZE=RATE") from None


@click.command()
@click.option(
    "--sizes",
    callback=numbers,
    required=True,
    help="N1,N2,...: the last is predicted from the others",
)
@click.option("--zones", type=click.IntRange(1, 1000), default=15, show_default=True)
@click.option("--regions", type=click.IntRange(1, 1000), default=6, show_default=True)
@click.option(
    "--seconds",
    type=click.FloatRange(5.0, 86_400.0),
    default=100.0,
    show_default=True,
    help="of a run, in the fleet's time; at rest from 0.3 to 0.5 of it",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "json_path", type=click.Path(), help="keep the figures there")
@click.option(
    "--stretch",
    "stretches",
    multiple=True,
    callback=stretched,
    metavar="SIZE=RATE",
    help="seconds of the machine in one of the fleet's, for a size; may be repeated",
)
@click.option(
    "--servers",
    type=click.IntRange(0),
    default=64,
    show_default=True,
    help="that each has just seen",
)
@click.option("--processes", type=click.IntRange(1, 200), help="that share the members")
@click.option(
    "--rest", type=float, help="seconds measured at rest; a fifth of all where left out"
)
@click.option("--known", is_flag=True, help="all know each other from the start")
@click.option(
    "--zoned/--flat",
    "zoned",
    default=None,
    help="whether members are told the zones; as soon as there are two, where left out",
)
def slope(sizes, json_path, stretches, **told):
    """Measure several sizes at rest, fit how the figures grow, and predict the largest before it is run."""
    from wheathill.lab.scale import fleet as runs
    from wheathill.lab.scale import slope as slopes

    plan = runs.Plan(members=sizes[-1], faults=False, changes=0, **told)
    found = slopes.play(sizes, plan, stretches, say)
    keep(found, json_path)
    for line in slopes.lines(found["runs"]):
        click.echo(line)
    for name, error in found["error"].items():
        click.echo(
            f"{sizes[-1]}, {name}: predicted {found['predicted'][name]:.6g}, {error:+.1%} from measured"
        )


COMMANDS = {
    "fleet": fleet,
    "honest": honest,
    "slope": slope,
    "data": data,
    "table": table,
    "walks": walks,
}
