"""Reading of an operator's own TOML file.

A file is checked whole, then turned into the platform's form, so that
`platform.build_node_config` gives both the same checks and defaults.
"""

import os
from dataclasses import replace

from wheathill.config import peers
from wheathill.config.checked import convert, load_toml
from wheathill.config.environment import read_environment
from wheathill.config.errors import ConfigurationError
from wheathill.config.node import NodeConfig
from wheathill.config.operator_checks import contradictions
from wheathill.config.operator_platform import platform_values
from wheathill.config.operator_tables import File
from wheathill.config.platform import build_node_config


def check_file(values: object) -> File:
    """Return the tables of a file's values.

    Raises:
        ConfigurationError: One line a fault.
    """
    file = convert(values, File)
    faults = list(contradictions(file))
    if faults:
        raise ConfigurationError("\n".join(faults))
    return file


def read_operator_config(path: str) -> NodeConfig:
    """Return the configuration that the operator's file at `path` states.

    The file states all but what is handed to the process: $NODE_FD, $TMPDIR, and
    $NODE_ADMIN_ADDR where the file names no admin address.

    Raises:
        ConfigurationError: One line a fault.
    """
    values = load_toml(path)
    file = check_file(values)
    # The table of peers as it was read: a reload compares it.
    platform_config = {**platform_values(file), "peers": values.get("peers")}
    node = build_node_config(platform_config, read_environment(os.environ))
    if file.peers is None:
        return node
    peer_settings = peers.read_peer_settings(file.peers, proxy_name=file.name)
    return replace(node, peers=peer_settings)
