"""Reading of an operator's TOML configuration file.

A file is validated as a whole and converted to the platform's format, so that
`platform.build_node_config` applies the same validation and defaults to both.
"""

import os
from dataclasses import replace

from wheathill.config import peers
from wheathill.config.checked import convert, load_toml
from wheathill.config.environment import read_environment
from wheathill.config.errors import ConfigurationError
from wheathill.config.node import NodeConfig
from wheathill.config.operator_checks import consistency_errors
from wheathill.config.operator_platform import platform_values
from wheathill.config.operator_tables import File
from wheathill.config.platform import build_node_config


def check_file(values: object) -> File:
    """Return the validated tables of a file.

    Args:
        values: the parsed TOML.

    Raises:
        ConfigurationError: the values are invalid; the message has one line per error.
    """
    file = convert(values, File)
    errors = list(consistency_errors(file))
    if errors:
        raise ConfigurationError("\n".join(errors))
    return file


def read_operator_config(path: str) -> NodeConfig:
    """Return the configuration in the operator's file at `path`.

    The environment adds $NODE_FD, $TMPDIR and, if the file states no admin address,
    $NODE_ADMIN_ADDR.

    Raises:
        ConfigurationError: the file is invalid; the message has one line per error.
    """
    values = load_toml(path)
    file = check_file(values)
    # The unconverted `[peers]` table is added so that a reload detects changes to it.
    platform_config = {**platform_values(file), "peers": values.get("peers")}
    node = build_node_config(platform_config, read_environment(os.environ))
    if file.peers is None:
        return node
    peer_settings = peers.read_peer_settings(file.peers, proxy_name=file.name)
    return replace(node, peers=peer_settings)
