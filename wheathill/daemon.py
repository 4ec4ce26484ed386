"""The wiring of one proxy: its clock, sockets, log and signals, wherever its configuration comes from."""

import asyncio
import os
import resource
import signal
import sys
from dataclasses import replace

from wheathill.config.errors import ConfigurationError
from wheathill.log_events import LogEvent
from wheathill.net.clock import Clock
from wheathill.net.driver import Carrier
from wheathill.net.garbage import keep_collections_short
from wheathill.net.log import Log
from wheathill.net.proxy import Proxy


async def serve(node, log, read):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log(
            LogEvent.INTERNAL_ERROR,
            what=repr(context.get("exception") or context["message"]),
            where=str(context.get("handle")),
        )
    )
    clock = Clock(loop)
    carrier = Carrier(loop, node.limits, log)
    proxy = Proxy(node, carrier, clock, log)
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload, proxy, log, read)
    loop.add_signal_handler(signal.SIGTERM, stop, proxy, stopped)
    loop.add_signal_handler(signal.SIGINT, stop, proxy, stopped)
    if node.peers:
        join(proxy, carrier, clock, log)
    if node.admin_address:
        from wheathill.net.admin.server import AdminServer

        server = AdminServer(proxy)
        if proxy.peers:
            server.add_route("GET", "/peers", proxy.peers.status.table)
        listen(
            carrier,
            "admin_addr",
            server.accept,
            node.admin_address,
            server.make_room,
        )
        log(LogEvent.ADMIN_LISTENING, at=":".join(map(str, node.admin_address)))
    proxy.door = listen(
        carrier, "listen", proxy.client, node.listen_address, proxy.room, node.listen_fd
    )
    log(
        LogEvent.LISTENING,
        at=":".join(map(str, node.listen_address)),
        inherited=node.listen_fd is not None,
    )
    if node.listen_fd is not None and node.state_directory:
        from wheathill.handover.coordinator import UpgradeCoordinator

        UpgradeCoordinator(proxy, carrier, clock, log).begin()
    else:
        proxy.start()
    # A list of thousands is held once, by the proxy.
    del node
    await stopped.wait()


def join(proxy, carrier, clock, log):
    """No two processes of one name may be taken for one another, whatever seed their file gives them: the number
    that tells them apart is the system's."""
    from wheathill.peers import PeerEnvironment, create_peer_service

    node = proxy.node
    try:
        proxy.peers = create_peer_service(
            node.peers,
            PeerEnvironment(proxy, carrier, clock, log),
            int.from_bytes(os.urandom(6), "big") | 1,
            node.policy.proxy_count,
        )
    except OSError as wrong:
        if node.listen_fd is None:
            raise ConfigurationError(f"peers: {wrong}") from None
        # The process that this one takes over from holds the address until it ends.
        clock.after(node.peers.probe_interval_ms, join, proxy, carrier, clock, log)
    else:
        clock.soon(proxy.peers.start)


def stop(proxy, stopped):
    def all_done():
        if proxy.peers:
            proxy.peers.leave()
        stopped.set()

    proxy.stop(all_done)


def listen(carrier, key, *told):
    try:
        return carrier.listen(*told)
    except OSError as wrong:
        raise ConfigurationError(f"{key}: {wrong}") from None


def reload(proxy, log, read):
    """Read and checked whole first: with a faulty file the proxy goes on as it was."""
    try:
        proxy.reload(allow_sockets(read()))
    except ConfigurationError as wrong:
        log(LogEvent.CONFIGURATION_ERROR, what=str(wrong))


def allow_sockets(node):
    """As many descriptors as the proxy is told it may hold, where the system lets it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = (
        node.limits.max_sockets
        if hard == resource.RLIM_INFINITY
        else min(node.limits.max_sockets, hard)
    )
    if soft != resource.RLIM_INFINITY and soft < most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    return replace(node, limits=replace(node.limits, max_sockets=most))


def run(read):
    """Serves until it is told to stop. `read` gives the node, or raises ConfigurationError; called again on
    SIGHUP. Returns the exit code."""
    # Until the proxy can read its configuration again, the order to do so must not end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        node = allow_sockets(read())
        log = Log(node.name, node.limits.max_queued_log_lines)
        keep_collections_short()
        serving = serve(node, log, read)
        del node
        try:
            asyncio.run(serving)
        finally:
            log.close()
    except ConfigurationError as wrong:
        print(wrong, file=sys.stderr)
        return 2
    return 0
