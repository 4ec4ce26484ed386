"""Adapters of the recordings at the operators' edges: one place for each name of the program that may change."""

import pathlib
from typing import Any

from wheathill import __main__ as program
from wheathill.config.environment import EnvironmentDefaults
from wheathill.config.errors import ConfigurationError
from wheathill.config.platform import build_node_config, read_platform_config
from wheathill.log_events import LogEvent
from wheathill.net import log
from wheathill.net.admin.server import AdminServer
from wheathill.net.maintenance_store import MaintenanceStore, maintenance_store_of
from wheathill.peers.control_socket import ControlConnection

FIGURES = LogEvent.METRICS  # the event whose line tells the counts


class Sink:
    """Stands in for a connection: keeps what is sent. Has all that the program's machines ask of one."""

    def __init__(self) -> None:
        self.sent, self.closed = b"", False
        self.transport = self
        self.limits = None

    def send(self, *parts: bytes) -> None:
        """Keeps bytes."""
        self.sent += b"".join(parts)

    def close_gracefully(self) -> None:
        """Closes after what was sent."""
        self.closed = True

    close = abort = close_gracefully

    def close_handles(self, handles: tuple) -> None:
        """Has no descriptors."""


def call_with_peers(proxy: Any, instance: Any, data: bytes) -> bytes:
    """Returns the answer of a proxy's HTTP endpoint that also has the path of its peers."""
    server, wire = AdminServer(proxy), Sink()
    server.add_route("GET", "/peers", instance.status.report)
    request = server.accept(wire)
    request.connected()
    request.received(data)
    return wire.sent


def control_answer(instance: Any, clock: Any, limits: Any, data: bytes) -> Sink:
    """Feeds the control socket of an instance with one caller's bytes."""
    wire = Sink()
    control = ControlConnection(wire, instance.operator_requests.handle, limits, clock)
    control.connected()
    control.received(data)
    return wire


def counts_for_log(instance: Any) -> dict:
    """Returns what an instance adds to the figures in the log."""
    return instance.status.metrics()


def maintenance_path(values: dict, folder: str | None) -> str | None:
    """Returns the path of the file of servers in maintenance, of a platform's configuration."""
    store = maintenance_store_of(
        build_node_config(values, EnvironmentDefaults(state_directory=folder))
    )
    return store.path if store else None


def write_maintenance(path: pathlib.Path, out: dict[str, float]) -> None:
    """Writes the file of servers in maintenance."""
    MaintenanceStore(str(path)).save(out)


def read_maintenance(path: pathlib.Path) -> dict[str, float]:
    """Reads the file of servers in maintenance."""
    return MaintenanceStore(str(path)).load(1000)


def platform_error(values: Any) -> str:
    """Returns the error of a platform's configuration, or nothing."""
    try:
        build_node_config(values)
    except ConfigurationError as wrong:
        return str(wrong)
    return ""


def environment_error(environment: dict[str, str]) -> str:
    """Returns the error of the platform's environment, or nothing."""
    try:
        read_platform_config(environment)
    except ConfigurationError as wrong:
        return str(wrong)
    return ""


def start_program() -> int:
    """Starts the program in this process, as the platform does; returns its exit code."""
    return program.main()


def log_line(descriptor: int, event: str, fields: dict) -> None:
    """Writes one line of the log."""
    writer = log.EventLog("n0", 10, descriptor)
    writer(event, **fields)
    writer.close()
