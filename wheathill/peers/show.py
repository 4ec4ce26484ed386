"""`wheathill peers`: asks a running instance over its control socket, and prints what it tells."""

import json
import socket

import click

from wheathill.config import checked, operator
from wheathill.config.errors import ConfigurationError
from wheathill.peers.cluster_view import ViewState

WAIT = 5.0  # s


def ask(path, request):
    """One request, one answer. Raises ConfigurationError where nobody answers."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.settimeout(WAIT)
            sock.connect(path)
            sock.sendall(json.dumps(request).encode() + b"\n")
            text = b""
            while not text.endswith(b"\n"):
                data = sock.recv(65536)
                if not data:
                    break
                text += data
        return json.loads(text)
    except (OSError, ValueError) as wrong:
        raise ConfigurationError(
            f"{path}: no instance answers there: {wrong}"
        ) from None


def control_of(path):
    file = operator.check_file(checked.load_toml(path))
    if file.peers is None or file.peers.control is None:
        raise ConfigurationError(
            "peers.control: is missing, so that the instance can't be asked"
        )
    return file.peers.control


def zone_lines(found):
    yield (
        f"zone {found['zone']}, region {found['region']} {found['region_state']}, fleet {found['fleet_state']}: "
        f"{found['fleet_at_work']} may be at work, layout {found['layout']}, the zone's part {found['part']:g}"
    )
    rows = [
        [
            "zone",
            "region",
            "state",
            "at work",
            "reached",
            "meant",
            "part",
            "layout",
            "out of reach",
            "delegates",
        ]
    ]
    for zone in found["zones"]:
        rows.append(
            [
                zone["name"],
                zone["region"],
                zone["state"],
                *(
                    "-" if zone[key] is None else str(zone[key])
                    for key in ("at_work", "reached")
                ),
                str(zone["meant"]),
                f"{zone['part']:g}",
                "-" if zone["layout"] is None else str(zone["layout"]),
                " ".join(zone["out_of_reach"]) or "-",
                " ".join(zone["delegates"]) or "-",
            ]
        )
    yield from columns(rows)


def columns(rows):
    widths = [max(len(row[place]) for row in rows) for place in range(len(rows[0]))]
    for row in rows:
        yield "  ".join(text.ljust(width) for text, width in zip(row, widths)).rstrip()


def lines(found):
    yield (
        f"{found['name']} of {found['cluster']}: {found['state']} for {found['since_s']:.0f} s, "
        f"{found['fleet']} may be at work, share {found['share']:g}"
        + (", alone" if found["alone"] else "")
    )
    if "zones" in found:
        yield from zone_lines(found)
    rows = [["member", "state", "since", "heard", "agrees", "address", "accused by"]]
    for member in found["members"]:
        state = member["state"] + (
            " (seen)" if member["state"] == "dead" and member["surely_gone"] else ""
        )
        heard = "-" if member["heard_s"] is None else f"{member['heard_s']:.0f} s"
        rows.append(
            [
                member["name"],
                state,
                f"{member['since_s']:.0f} s",
                heard,
                "yes" if member["agrees"] else "no",
                member["address"],
                " ".join(member["accused_by"]),
            ]
        )
    yield from columns(rows)
    for text in found["differs"]:
        yield f"because of its peers it {text}"
    dropped = found["links"]["dropped"]
    if dropped:
        yield "dropped: " + ", ".join(
            f"{count} ({why})" for why, count in dropped.items()
        )
    if "answered" in found:
        yield (
            "asked: "
            + ", ".join(found["answered"])
            + (
                ", no answer from " + ", ".join(found["silent"])
                if found["silent"]
                else ""
            )
        )
        for name, views in found["views_differ"].items():
            yield f"views of {name} differ: " + ", ".join(
                f"{viewer} {state}" for viewer, state in views.items()
            )
        if not found["views_differ"]:
            yield "all views alike"


def peers(file, as_json, compare, remove):
    control = control_of(file)
    if remove is not None:
        found = ask(control, {"remove": remove})
        click.echo(found.get("wrong") or f"{remove} is taken off")
        return 2 if "wrong" in found else 0
    found = ask(control, {"compare": True} if compare else {})
    click.echo(json.dumps(found, indent=2) if as_json else "\n".join(lines(found)))
    return (
        0
        if found["state"] == ViewState.CONVERGED and not found.get("views_differ")
        else 1
    )
