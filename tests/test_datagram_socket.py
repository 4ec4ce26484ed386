"""A UDP socket on a real event loop."""

import asyncio
import socket

import pytest
from test_net import LIMITS

from wheathill.net.transport import Transport

pytestmark = pytest.mark.processes


def test_a_datagram_that_is_sent_after_the_socket_was_closed_is_dropped() -> None:
    # Guards against an exception in a timer that is due as the process leaves its cluster.
    async def play() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            transport = Transport(asyncio.get_running_loop(), LIMITS, print)
            sender = transport.bind_datagram_socket(None, ("127.0.0.1", 0))
            await asyncio.sleep(0.05)
            sender.send(b"before", receiver.getsockname())
            assert receiver.recv(64) == b"before"
            sender.close()
            for _ in range(5):
                sender.send(b"after", receiver.getsockname())
                await asyncio.sleep(0)
            receiver.setblocking(False)
            with pytest.raises(BlockingIOError):
                receiver.recv(64)

    asyncio.run(play())
