"""The process of one proxy: its clock, transport, log and signals, joined.

Where its configuration comes from is the caller's affair.
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
from wheathill.net.garbage import keep_collections_short
from wheathill.net.log import EventLog
from wheathill.net.proxy import Proxy
from wheathill.net.transport import Transport

# Returns the configuration as it is now, or raises ConfigurationError.
ReadConfig = Callable[[], NodeConfig]
# Takes an event and its fields.
WriteLog = Callable[..., None]

EXIT_STOPPED = 0
EXIT_MISCONFIGURED = 2
# Bytes of the number by which processes of one name are told apart.
GENERATION_BYTES = 6


def run(read_config: ReadConfig) -> int:
    """Serve until a signal ends the process, and return its exit code.

    `read_config` is called again on SIGHUP. At the start its faults are printed.
    """
    # Until the proxy can read its configuration again, the order to do so must not
    # end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        node = raise_descriptor_limit(read_config())
        log = EventLog(node.name, node.limits.max_queued_log_lines)
        keep_collections_short()
        serving = serve(node, log, read_config)
        # A list of thousands is held once, by the proxy.
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
    """Allow the process as many descriptors as configured, where the system lets it.

    Returns the configuration with as many as there are.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = node.limits.max_sockets
    allowed = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    if soft != resource.RLIM_INFINITY and soft < allowed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
    return replace(node, limits=replace(node.limits, max_sockets=allowed))


async def serve(node: NodeConfig, log: WriteLog, read_config: ReadConfig) -> None:
    """Run one proxy until a signal has ended it.

    Raises:
        ConfigurationError: An address can't be listened at.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(partial(_log_internal_error, log))
    clock = Clock(loop)
    carrier = Transport(loop, node.limits, log)
    proxy = Proxy(node, carrier, clock, log)
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, _reload, proxy, log, read_config)
    loop.add_signal_handler(signal.SIGTERM, _stop, proxy, stopped)
    loop.add_signal_handler(signal.SIGINT, _stop, proxy, stopped)
    if node.peers:
        _start_peers(proxy, carrier, clock, log)
    if node.admin_address:
        _open_admin_endpoint(proxy, carrier, node.admin_address, log)
    _listen_for_clients(proxy, carrier, log)
    if node.listen_fd is not None and node.state_directory:
        # Imported only where another process may be there to take over from.
        from wheathill.handover.coordinator import UpgradeCoordinator

        UpgradeCoordinator(proxy, carrier, clock, log).begin()
    else:
        proxy.start()
    # A list of thousands is held once, by the proxy.
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


def _start_peers(proxy: Proxy, carrier: Transport, clock: Clock, log: WriteLog) -> None:
    """Join the cluster.

    No two processes of one name may be taken for one another, whatever seed their file
    gives them: the number that tells them apart is the system's.
    """
    # Imported only where the proxy knows other instances.
    from wheathill.peers import PeerEnvironment, create_peer_service

    node = proxy.node
    generation = int.from_bytes(os.urandom(GENERATION_BYTES), "big") | 1
    try:
        proxy.peers = create_peer_service(
            node.peers,
            PeerEnvironment(proxy, carrier, clock, log),
            generation,
            node.policy.proxy_count,
        )
    except OSError as error:
        if node.listen_fd is None:
            raise ConfigurationError(f"peers: {error}") from None
        # The process that this one takes over from holds the address until it ends.
        retry_after_ms = node.peers.probe_interval_ms
        clock.after(retry_after_ms, _start_peers, proxy, carrier, clock, log)
    else:
        clock.soon(proxy.peers.start)


def _open_admin_endpoint(
    proxy: Proxy, carrier: Transport, address: tuple[str, int], log: WriteLog
) -> None:
    # Imported only where operators may call.
    from wheathill.net.admin.server import AdminServer

    server = AdminServer(proxy)
    if proxy.peers:
        server.add_route("GET", "/peers", proxy.peers.status.report)
    _listen(carrier, "admin_addr", server.accept, address, server.make_room)
    log(LogEvent.ADMIN_LISTENING, at=_address_text(address))


def _listen_for_clients(proxy: Proxy, carrier: Transport, log: WriteLog) -> None:
    node = proxy.node
    address, inherited = node.listen_address, node.listen_fd
    proxy.door = _listen(
        carrier, "listen", proxy.client, address, proxy.room, inherited
    )
    log(LogEvent.LISTENING, at=_address_text(address), inherited=inherited is not None)


def _listen(
    carrier: Transport,
    key: str,
    accept: Callable[..., Any],
    address: tuple[str, int],
    has_room: Callable[[], bool],
    inherited: int | None = None,
) -> Any:  # noqa: ANN401 - the transport's type
    """Return a listening socket; `key` is the setting that a fault names."""
    try:
        return carrier.listen(accept, address, has_room, inherited)
    except OSError as error:
        raise ConfigurationError(f"{key}: {error}") from None


def _address_text(address: tuple[str, int]) -> str:
    return ":".join(map(str, address))


def _stop(proxy: Proxy, stopped: asyncio.Event) -> None:
    """Let the proxy see its sessions off, then leave the cluster and end."""

    def end() -> None:
        if proxy.peers:
            proxy.peers.leave()
        stopped.set()

    proxy.stop(end)


def _reload(proxy: Proxy, log: WriteLog, read_config: ReadConfig) -> None:
    """Take over a changed configuration.

    It is read and checked whole first: with a faulty one the proxy goes on as it was.
    """
    try:
        proxy.reload(raise_descriptor_limit(read_config()))
    except ConfigurationError as error:
        log(LogEvent.CONFIGURATION_ERROR, what=str(error))
