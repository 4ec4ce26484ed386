"""What is asked of the system about single sockets."""

import fcntl
import select
import socket
import struct
import termios

# Linux's struct tcp_info: offset of tcpi_last_data_recv, an unsigned int, in ms.
TCP_INFO_LAST_DATA_RECV = 52
TCP_INFO_SIZE = 56
KEEP_ALIVE_PROBES = 3  # without an answer, then the connection is over
# Of a Unix socket's peer: process, user, group (struct ucred).
PEER_CREDENTIALS = struct.Struct("3i")


def create_listening_socket(
    address: tuple[str, int], inherited_descriptor: int | None, backlog: int
) -> socket.socket:
    """Return a non-blocking socket that listens; raises OSError.

    One that is inherited is shared with other processes: it is taken as it is, and is
    not handed on.
    """
    if inherited_descriptor is not None:
        sock = socket.socket(fileno=inherited_descriptor)
        sock.set_inheritable(False)
    else:
        family = address_family(address[0])
        sock = socket.create_server(address, family=family, backlog=backlog)
    sock.setblocking(False)
    return sock


def address_family(host: str) -> socket.AddressFamily:
    """Return the family of an IP address."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def is_readable(sock: socket.socket) -> bool:
    """Return whether something waits to be read or accepted, as the system says."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def enable_keep_alive(sock: socket.socket, idle_ms: float) -> None:
    """Let the system probe a peer that is silent, and close if it does not answer.

    A client whose machine is gone would hold its descriptors for good.
    """
    idle_s = int(idle_ms / 1000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, max(1, idle_s // 3))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


def reset_on_close(sock: socket.socket) -> None:
    """Let the next close reset the connection and drop what was not sent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def last_receive_ago_ms(sock: socket.socket) -> float:
    """Return the ms since data last came from the network, 0 where it isn't known."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        return float(struct.unpack_from("I", info, TCP_INFO_LAST_DATA_RECV)[0])
    except (OSError, struct.error):
        return 0.0


def kernel_unsent_bytes(sock: socket.socket) -> int:
    """Return how many bytes the system holds that the peer has not acknowledged.

    Raises:
        OSError: the socket is closed.
    """
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0]


def peer_user(sock: socket.socket) -> int:
    """Return the user id of the process at the other end of a Unix socket."""
    credentials = sock.getsockopt(
        socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size
    )
    return PEER_CREDENTIALS.unpack(credentials)[1]
