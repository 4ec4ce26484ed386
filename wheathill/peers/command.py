"""The command `wheathill peers`: shows a running proxy's view of its peers."""

import json

import click

from wheathill.config import checked, operator
from wheathill.config.errors import ConfigurationError
from wheathill.peers.cluster_view import ViewState
from wheathill.peers.control_client import call_control_socket
from wheathill.peers.status_text import status_lines
from wheathill.peers.status_view import PeerStatus

EXIT_CONVERGED, EXIT_NOT_CONVERGED, EXIT_FAILED = 0, 1, 2


def run(file: str, as_json: bool, compare: bool, remove: str | None) -> int:
    """Print the status of a running proxy, or remove a member.

    Returns the exit code: `EXIT_CONVERGED` if the proxy's view has converged and, with
    `compare`, all views agree.

    Args:
        file: path of the operator's configuration file of that proxy.
        as_json: print the reply as JSON.
        compare: compare the views of all reachable proxies.
        remove: name of the member to remove, or None to print the status.

    Raises:
        ConfigurationError: The file configures no control socket, or no proxy replies
            on it.
    """
    path = _control_socket_path(file)
    if remove is not None:
        return _remove_member(path, remove)
    reply = call_control_socket(path, {"compare": True} if compare else {})
    if as_json:
        click.echo(json.dumps(reply, indent=2))
    else:
        click.echo("\n".join(status_lines(PeerStatus.decode(reply))))
    has_converged = reply["state"] == ViewState.CONVERGED
    if has_converged and not reply.get("views_differ"):
        return EXIT_CONVERGED
    return EXIT_NOT_CONVERGED


def _control_socket_path(file: str) -> str:
    settings = operator.check_file(checked.load_toml(file))
    if settings.peers is None or settings.peers.control is None:
        raise ConfigurationError(
            "peers.control: not set, so the proxy has no control socket to query"
        )
    path: str = settings.peers.control
    return path


def _remove_member(path: str, member: str) -> int:
    reply = call_control_socket(path, {"remove": member})
    click.echo(reply.get("wrong") or f"{member} is taken off")
    return EXIT_FAILED if "wrong" in reply else EXIT_CONVERGED
