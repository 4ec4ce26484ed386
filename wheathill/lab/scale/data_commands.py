"""`wheathill lab scale data`, `table` and `walks`."""

import sys

import click

from wheathill.lab.scale.kept import keep


@click.command()
@click.option(
    "--sizes",
    default="500,2000,4500,8000",
    show_default=True,
    help="connections, with commas between",
)
@click.option(
    "--processes",
    type=int,
    default=3,
    show_default=True,
    help="of servers, and of clients",
)
@click.option(
    "--seconds", type=float, default=8.0, show_default=True, help="of each measurement"
)
@click.option(
    "--rate", type=float, default=6000.0, show_default=True, help="deliveries a second"
)
@click.option(
    "--only",
    default="sizes,parts,core,rush",
    show_default=True,
    help="and endings, which is asked for alone",
)
@click.option(
    "--sessions",
    type=int,
    default=200_000,
    show_default=True,
    help="of endings: how many pass",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "json_path", type=click.Path(), help="keep the figures there")
def data(sizes, processes, seconds, rate, only, sessions, seed, json_path):
    """The data path: connections, handshakes, deliveries, moves, rest, one core's limit, a rush, what endings leave."""
    from wheathill.lab.scale import data as path
    from wheathill.lab.scale.rig import Failed, most_connections

    sizes = sorted(int(size) for size in sizes.split(","))
    if sizes[-1] > most_connections():
        raise click.BadParameter(
            f"at most {most_connections()}: the system lets a process have no more descriptors",
            param_hint="--sizes",
        )
    try:
        keep(
            path.measure(
                sizes,
                processes=processes,
                seconds=seconds,
                rate=rate,
                seed=seed,
                only=only.split(","),
                sessions=sessions,
                say=click.echo,
            ),
            json_path,
        )
    except Failed as wrong:
        click.echo(str(wrong), err=True)
        sys.exit(1)


@click.command()
@click.option(
    "--servers",
    default="500,1000,2000,4000,8000",
    show_default=True,
    help="with commas between",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "json_path", type=click.Path(), help="keep the figures there")
def table(servers, seed, json_path):
    """The slot table, lists and probes by servers: no sockets, the very code that a proxy runs."""
    from wheathill.lab.scale import table as slots

    keep(
        slots.measure(
            sorted(int(count) for count in servers.split(",")),
            seed=seed,
            say=click.echo,
        ),
        json_path,
    )


@click.command()
@click.option(
    "--connections",
    default="2000,8000,9000,12000,25000,50000",
    show_default=True,
    help="with commas between",
)
@click.option("--json", "json_path", type=click.Path(), help="keep the figures there")
def walks(connections, json_path):
    """What each client and the clock cost with many connections open: no sockets, a proxy's own lines."""
    from wheathill.lab.scale import walks as here

    keep(
        here.measure(
            sorted(int(count) for count in connections.split(",")), say=click.echo
        ),
        json_path,
    )
