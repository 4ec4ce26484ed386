"""Runs a proxy process: sets up its clock, transport, log and signal handlers.

The caller provides a function that reads the configuration.
"""

import asyncio
import os
import resource
import signal
import sys
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from wheathill.config.errors import ConfigurationError
from wheathill.config.node import NodeConfig
from wheathill.log_events import LogEvent
from wheathill.net.clock import Clock
from wheathill.net.garbage import limit_gc_pauses
from wheathill.net.log import EventLog
from wheathill.net.proxy import Proxy
from wheathill.net.transport import Transport

# Returns the current configuration, or raises ConfigurationError.
ReadConfig = Callable[[], NodeConfig]
# Called with an event and its fields.
WriteLog = Callable[..., None]

EXIT_STOPPED = 0
EXIT_MISCONFIGURED = 2
# Size of the random number that distinguishes processes with the same member name.
GENERATION_BYTES = 6


def run(read_config: ReadConfig) -> int:
    """Serve until a signal stops the process, and return its exit code.

    `read_config` is called again on SIGHUP. Errors in the initial configuration are
    printed to standard error.
    """
    # Until the reload handler is installed, SIGHUP would terminate the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        node = raise_descriptor_limit(read_config())
        log = EventLog(node.name, node.limits.max_queued_log_lines)
        limit_gc_pauses()
        serving = serve(node, log, read_config)
        # Drop this reference: an endpoint list may have thousands of entries, and the
        # proxy keeps what it needs of it.
        del node
        try:
            asyncio.run(serving)
        finally:
            log.close()
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        return EXIT_MISCONFIGURED
    return EXIT_STOPPED


def raise_descriptor_limit(node: NodeConfig) -> NodeConfig:
    """Raise the soft descriptor limit to the configured number, up to the hard limit.

    Returns the configuration with the number that is available.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    configured = node.limits.max_sockets
    allowed = configured if hard == resource.RLIM_INFINITY else min(configured, hard)
    if soft != resource.RLIM_INFINITY and soft < allowed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
    return replace(node, limits=replace(node.limits, max_sockets=allowed))


async def serve(node: NodeConfig, log: WriteLog, read_config: ReadConfig) -> None:
    """Run one proxy until a signal stops it.

    Raises:
        ConfigurationError: An address can't be listened on.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(partial(_log_internal_error, log))
    clock = Clock(loop)
    transport = Transport(loop, node.limits, log)
    proxy = Proxy(node, transport, clock, log)
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, _reload, proxy, log, read_config)
    loop.add_signal_handler(signal.SIGTERM, _stop, proxy, stopped)
    loop.add_signal_handler(signal.SIGINT, _stop, proxy, stopped)
    if node.peers:
        _start_peers(proxy, transport, clock, log)
    if node.admin_address:
        _open_admin_endpoint(proxy, transport, node.admin_address, log)
    _listen_for_clients(proxy, transport, log)
    if node.listen_fd is not None and node.state_directory:
        # Imported only if there may be a process to take over from.
        from wheathill.handover.coordinator import UpgradeCoordinator

        UpgradeCoordinator(proxy, transport, clock, log).begin()
    else:
        proxy.start()
    # As in `run`, only the proxy keeps the endpoint list.
    del node
    await stopped.wait()


def _log_internal_error(
    log: WriteLog, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    log(
        LogEvent.INTERNAL_ERROR,
        what=repr(context.get("exception") or context["message"]),
        where=str(context.get("handle")),
    )


def _start_peers(
    proxy: Proxy, transport: Transport, clock: Clock, log: WriteLog
) -> None:
    """Join the cluster.

    Two processes with the same member name must never be mistaken for each other, even
    if their files set the same random seed. The generation therefore comes from the
    operating system's random source.
    """
    # Imported only if the proxy is a member of a cluster.
    from wheathill.peers import PeerEnvironment, create_peer_service

    node = proxy.node
    generation = int.from_bytes(os.urandom(GENERATION_BYTES), "big") | 1
    try:
        proxy.peers = create_peer_service(
            node.peers,
            PeerEnvironment(proxy, transport, clock, log),
            generation,
            node.policy.proxy_count,
        )
    except OSError as error:
        if node.listen_fd is None:
            raise ConfigurationError(f"peers: {error}") from None
        # The process being replaced holds the address until it exits, so retry.
        retry_after_ms = node.peers.probe_interval_ms
        clock.after(retry_after_ms, _start_peers, proxy, transport, clock, log)
    else:
        clock.soon(proxy.peers.start)


def _open_admin_endpoint(
    proxy: Proxy, transport: Transport, address: tuple[str, int], log: WriteLog
) -> None:
    # Imported only if the admin endpoint is enabled.
    from wheathill.net.admin.server import AdminServer

    server = AdminServer(proxy)
    if proxy.peers:
        server.add_route("GET", "/peers", proxy.peers.status.report)
    _listen(transport, "admin_addr", server.accept, address, server.make_room)
    log(LogEvent.ADMIN_LISTENING, at=_format_address(address))


def _listen_for_clients(proxy: Proxy, transport: Transport, log: WriteLog) -> None:
    node = proxy.node
    address, inherited = node.listen_address, node.listen_fd
    proxy.listening_socket = _listen(
        transport, "listen", proxy.create_client, address, proxy.has_room, inherited
    )
    log(
        LogEvent.LISTENING, at=_format_address(address), inherited=inherited is not None
    )


def _listen(
    transport: Transport,
    key: str,
    accept: Callable[..., Any],
    address: tuple[str, int],
    has_room: Callable[[], bool],
    inherited: int | None = None,
) -> Any:  # noqa: ANN401 - the transport's type
    """Return a listening socket; `key` is the setting named in error messages."""
    try:
        return transport.listen(accept, address, has_room, inherited)
    except OSError as error:
        raise ConfigurationError(f"{key}: {error}") from None


def _format_address(address: tuple[str, int]) -> str:
    return ":".join(map(str, address))


def _stop(proxy: Proxy, stopped: asyncio.Event) -> None:
    """Let the proxy drain its sessions, then leave the cluster and stop."""

    def end() -> None:
        if proxy.peers:
            proxy.peers.leave()
        stopped.set()

    proxy.stop(end)


def _reload(proxy: Proxy, log: WriteLog, read_config: ReadConfig) -> None:
    """Apply a changed configuration.

    It is read and validated completely first; if it has errors, the current one stays
    in effect.
    """
    try:
        proxy.reload(raise_descriptor_limit(read_config()))
    except ConfigurationError as error:
        log(LogEvent.CONFIGURATION_ERROR, what=str(error))
