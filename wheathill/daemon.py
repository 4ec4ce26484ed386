"""The wiring of one proxy: its clock, sockets, log and signals, wherever its configuration comes from."""

import asyncio
import resource
import signal
import sys
from dataclasses import replace

from wheathill.config import Misconfigured
from wheathill.net.clock import Clock
from wheathill.net.driver import Carrier
from wheathill.net.log import Log
from wheathill.net.proxy import Proxy


async def serve(node, log, read):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: log(
        "fault", what=repr(context.get("exception") or context["message"]), where=str(context.get("handle"))))
    clock = Clock(loop)
    carrier = Carrier(loop, node.limits, log)
    proxy = Proxy(node, carrier, clock, log)
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload, proxy, log, read)
    loop.add_signal_handler(signal.SIGTERM, proxy.stop, stopped.set)
    loop.add_signal_handler(signal.SIGINT, proxy.stop, stopped.set)
    if node.admin:
        from wheathill.net.operators import OperatorsDoor
        door = OperatorsDoor(proxy)
        listen(carrier, "admin_addr", door.call, node.admin, door.room)
        log("operators' door", at=":".join(map(str, node.admin)))
    proxy.door = listen(carrier, "listen", proxy.client, node.listen, proxy.room, node.listen_fd)
    log("listening", at=":".join(map(str, node.listen)), inherited=node.listen_fd is not None)
    if node.listen_fd is not None and node.state:
        from wheathill.handover.upgrade import Upgrade
        Upgrade(proxy, carrier, clock, log).begin()
    else:
        proxy.start()
    await stopped.wait()


def listen(carrier, key, *told):
    try:
        return carrier.listen(*told)
    except OSError as wrong:
        raise Misconfigured(f"{key}: {wrong}") from None


def reload(proxy, log, read):
    """Read and checked whole first: with a faulty file the proxy goes on as it was."""
    try:
        proxy.reload(allow_sockets(read()))
    except Misconfigured as wrong:
        log("bad configuration", what=str(wrong))


def allow_sockets(node):
    """As many descriptors as the proxy is told it may hold, where the system lets it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = node.limits.sockets if hard == resource.RLIM_INFINITY else min(node.limits.sockets, hard)
    if soft != resource.RLIM_INFINITY and soft < most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    return replace(node, limits=replace(node.limits, sockets=most))


def run(read):
    """Serves until it is told to stop. `read` gives the node, or raises Misconfigured; called again on
    SIGHUP. Returns the exit code."""
    # Until the proxy can read its configuration again, the order to do so must not end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        node = allow_sockets(read())
        log = Log(node.name, node.limits.log_lines)
        try:
            asyncio.run(serve(node, log, read))
        finally:
            log.close()
    except Misconfigured as wrong:
        print(wrong, file=sys.stderr)
        return 2
    return 0
