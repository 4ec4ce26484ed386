"""Messages with descriptors on Unix sockets (SCM_RIGHTS), which asyncio lacks."""

import array
import socket
from collections.abc import Sequence
from dataclasses import dataclass, field

MAX_DESCRIPTORS = 64  # that are received with one read
READ_SIZE = 65536
DESCRIPTOR_SIZE = array.array("i").itemsize
ANCILLARY_SIZE = socket.CMSG_SPACE(MAX_DESCRIPTORS * DESCRIPTOR_SIZE)


@dataclass(slots=True)
class ReceivedMessage:
    """Bytes, and the descriptors that came with them.

    Attributes:
        data: empty where the peer has ended.
        descriptors: open in this process from now on.
        is_truncated: whether descriptors were dropped by the system.
    """

    data: bytes
    descriptors: list[int] = field(default_factory=list)
    is_truncated: bool = False


def receive_message(sock: socket.socket) -> ReceivedMessage:
    """Read once; an error of the connection reads as its end.

    Raises:
        BlockingIOError, InterruptedError: nothing can be read now.
    """
    try:
        data, ancillary, flags, _ = sock.recvmsg(
            READ_SIZE, ANCILLARY_SIZE, socket.MSG_CMSG_CLOEXEC
        )
    except (BlockingIOError, InterruptedError):
        raise
    except OSError:
        return ReceivedMessage(b"")
    descriptors = array.array("i")
    for level, kind, content in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
            whole = len(content) - len(content) % DESCRIPTOR_SIZE
            descriptors.frombytes(content[:whole])
    return ReceivedMessage(data, list(descriptors), bool(flags & socket.MSG_CTRUNC))


def send_message(sock: socket.socket, data: bytes, descriptors: Sequence[int]) -> int:
    """Send once, and return how many bytes were taken; raises OSError.

    The descriptors go with the first byte.
    """
    ancillary = (
        [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))]
        if descriptors
        else []
    )
    return sock.sendmsg([data], ancillary)
