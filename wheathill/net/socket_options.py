"""Options and kernel state of individual sockets."""

import fcntl
import select
import socket
import struct
import termios

# Linux's struct tcp_info: offset of tcpi_last_data_recv, an unsigned int, in ms.
TCP_INFO_LAST_DATA_RECV = 52
TCP_INFO_SIZE = 56
# Linux's tcpi_state, the first byte of struct tcp_info, of a connection that is over.
TCP_STATE_CLOSED = 7
KEEP_ALIVE_PROBES = 3  # unanswered probes before the connection is closed
# Linux's struct ucred: process id, user id, group id of a Unix socket's peer.
PEER_CREDENTIALS = struct.Struct("3i")


def create_listening_socket(
    address: tuple[str, int], inherited_descriptor: int | None, backlog: int
) -> socket.socket:
    """Return a non-blocking listening socket.

    An inherited socket is shared with other processes, so it is used as it is; child
    processes do not inherit it.

    Raises:
        OSError: the address can't be listened on.
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
    """Return the address family of an IP address."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def is_readable(sock: socket.socket) -> bool:
    """Return whether the kernel has data to read, or a connection to accept."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def enable_keep_alive(sock: socket.socket, idle_ms: float) -> None:
    """Enable TCP keep-alive, which closes the connection to an unreachable peer.

    Otherwise a client whose host has failed would hold its descriptors forever.
    """
    idle_s = int(idle_ms / 1000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, max(1, idle_s // 3))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


def reset_on_close(sock: socket.socket) -> None:
    """Make the next close reset the connection and discard unsent bytes."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def last_receive_ago_ms(sock: socket.socket) -> float:
    """Return the ms since data last arrived from the network; 0 if unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        return float(struct.unpack_from("I", info, TCP_INFO_LAST_DATA_RECV)[0])
    except (OSError, struct.error):
        return 0.0


def was_reset(sock: socket.socket) -> bool:
    """Return whether the peer has reset the connection.

    The kernel still gives the bytes that it received before, and reports the reset
    behind them.
    """
    state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    return state == TCP_STATE_CLOSED and bool(
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    )


def kernel_unsent_bytes(sock: socket.socket) -> int:
    """Return the bytes in the kernel's send queue that the peer has not acknowledged.

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
