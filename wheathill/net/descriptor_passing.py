"""Passes file descriptors over Unix sockets (SCM_RIGHTS), which asyncio can't do."""

import array
import socket
from collections.abc import Sequence
from dataclasses import dataclass, field

MAX_DESCRIPTORS_PER_READ = 64
READ_BYTES = 65536
DESCRIPTOR_BYTES = array.array("i").itemsize
ANCILLARY_BYTES = socket.CMSG_SPACE(MAX_DESCRIPTORS_PER_READ * DESCRIPTOR_BYTES)


@dataclass(slots=True)
class ReceivedMessage:
    """The result of one read: bytes and the descriptors received with them.

    Attributes:
        data: the bytes; empty at end of stream.
        descriptors: open in this process; the receiver has to close them.
        is_truncated: whether the kernel dropped descriptors that did not fit.
    """

    data: bytes
    descriptors: list[int] = field(default_factory=list)
    is_truncated: bool = False


def receive_message(sock: socket.socket) -> ReceivedMessage:
    """Read once; a connection error is reported as end of stream.

    Raises:
        BlockingIOError, InterruptedError: there is nothing to read at the moment.
    """
    try:
        data, ancillary, flags, _ = sock.recvmsg(
            READ_BYTES, ANCILLARY_BYTES, socket.MSG_CMSG_CLOEXEC
        )
    except (BlockingIOError, InterruptedError):
        raise
    except OSError:
        return ReceivedMessage(b"")
    descriptors = array.array("i")
    for level, kind, content in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
            complete_bytes = len(content) - len(content) % DESCRIPTOR_BYTES
            descriptors.frombytes(content[:complete_bytes])
    return ReceivedMessage(data, list(descriptors), bool(flags & socket.MSG_CTRUNC))


def send_message(sock: socket.socket, data: bytes, descriptors: Sequence[int]) -> int:
    """Send once and return how many bytes the kernel accepted.

    The descriptors are attached to the first byte.

    Raises:
        OSError: nothing was sent.
    """
    ancillary = (
        [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))]
        if descriptors
        else []
    )
    return sock.sendmsg([data], ancillary)
