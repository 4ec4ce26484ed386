"""The only code that touches sockets: carries bytes between a connection and its state machine."""

import array
import asyncio
import fcntl
import math
import os
import select
import socket
import struct
import termios
from collections import deque

from wheathill.log_events import LogEvent
from wheathill.net.machine import NoMachine


class Carrier:
    """What all connections of a proxy share: the loop, one receive buffer, and the count of sockets."""

    def __init__(self, loop, limits, log):
        self.loop = loop
        self.limits = limits
        self.log = log
        # One is enough: a machine has consumed what came before the next read begins.
        self.buffer = memoryview(bytearray(limits.receive_buffer_bytes))
        self.sockets = 0
        self.parting = {}  # wires that their machines are done with, until they are closed
        self.lent = 0  # held by the process that this one takes over from

    @property
    def free(self):
        return (
            self.limits.max_sockets
            - self.limits.reserved_sockets
            - self.sockets
            - self.lent
        )

    def listen(self, make_machine, address, room, inherited=None):
        """`inherited`: the descriptor of a socket that listens there already."""
        return Door(
            self,
            make_machine,
            listening(address, inherited, self.limits.listen_backlog),
            room,
        )

    def adopt(self, handle, machine):
        """The connection of a descriptor from another process; it reads nothing until `hold(False)`."""
        wire = machine.wire = Wire(self, lambda _: machine)
        wire.handed = wire.counted = True  # as a descriptor, so far
        wire.begin(wire.take(socket.socket(fileno=handle)))
        return wire

    def drop(self, handles):
        for handle in handles:
            os.close(handle)
        self.sockets -= len(handles)

    def meet(self, folder, name, make_machine):
        """Listens for other processes on this machine."""
        return MeetingPlace(self, folder, name, make_machine)

    def reach(self, folder, name, make_machine):
        """Raises OSError where nobody listens there."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            with Folder(folder) as near:
                sock.connect(near(name))
        except OSError:
            sock.close()
            raise
        return Post(self, sock, make_machine)

    def connect(self, machine, address, source=None):
        """`source`: the host that it comes from, where the machine has several."""
        wire = Wire(self, lambda _: machine)
        # Counted from the start: a connection that is being set up holds a descriptor.
        wire.count(True)
        wire.begin(wire.connect(address, source))
        return wire

    def datagrams(self, machine, address):
        """Raises OSError. `machine.received(data, (host, port))` is called for each one."""
        return Datagrams(self, machine, address)


def listening(address, inherited, backlog):
    """Raises OSError. One that is inherited is shared with other processes: as it is, and not handed on."""
    if inherited is not None:
        sock = socket.socket(fileno=inherited)
        sock.set_inheritable(False)
    else:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.create_server(address, family=family, backlog=backlog)
    sock.setblocking(False)
    return sock


def readable(sock):
    """Whether something waits there, by the system's word."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


class Door:
    """A listening socket. Accepts a few at a time, so that their lines are read before the next ones hold a
    descriptor: asyncio's own servers take the whole backlog at once. What can't be taken waits there."""

    def __init__(self, carrier, make_machine, sock, room):
        self.carrier = carrier
        self.make_machine = make_machine
        self.room = room
        self.sock = sock
        self.later = None
        self.held = self.paused = False  # paused: only for a moment
        self.coming = {}  # wires that were accepted and have not told their machines yet
        self.hold(False)

    def hold(self, on):
        """While it is held nobody is taken in; the system still lets them come up. Closed stays closed."""
        if self.sock.fileno() < 0:
            return
        loop = self.carrier.loop
        self.held, self.paused = on, False
        if self.later:
            self.later.cancel()
        if on:
            loop.remove_reader(self.sock)
        else:
            loop.add_reader(self.sock, self.accept)

    def close(self):
        self.hold(True)
        self.sock.close()

    def accept(self):
        for _ in range(self.carrier.limits.accepts_per_turn):
            if not self.room():
                return self.pause()
            try:
                taken, _ = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as wrong:
                self.carrier.log(
                    LogEvent.INTERNAL_ERROR, where="accept", what=repr(wrong)
                )
                return self.pause()
            wire = Wire(self.carrier, self.make_machine)
            wire.count(True)
            self.coming[wire] = None
            wire.begin(wire.take(taken)).add_done_callback(
                lambda _, wire=wire: self.coming.pop(wire)
            )

    @property
    def waiting(self):
        """Whether somebody is on the way in: accepted, or yet to be accepted here."""
        return (
            bool(self.coming)
            or self.sock.fileno() >= 0
            and (not self.held or self.paused)
            and readable(self.sock)
        )

    def pause(self):
        self.hold(True)
        self.paused = True
        self.later = self.carrier.loop.call_later(
            self.carrier.limits.accept_pause_ms / 1000, self.hold, False
        )


class Folder:
    """Paths of Unix sockets are short: what stands in a folder is named by the folder's descriptor."""

    def __init__(self, path):
        self.path = path

    def __enter__(self):
        self.descriptor = os.open(
            self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC
        )
        return lambda name: f"/proc/self/fd/{self.descriptor}/{name}"

    def __exit__(self, *_):
        os.close(self.descriptor)


class MeetingPlace:
    """A listening Unix socket under a name; one that stood there before is replaced in one step."""

    def __init__(self, carrier, folder, name, make_machine):
        self.carrier = carrier
        self.make_machine = make_machine
        self.sock = socket.socket(
            socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK
        )
        try:
            with Folder(folder) as near:
                if os.path.lexists(near(name + ".new")):
                    os.unlink(near(name + ".new"))
                self.sock.bind(near(name + ".new"))
                os.chmod(near(name + ".new"), 0o600)
                self.sock.listen(4)
                os.rename(near(name + ".new"), near(name))
        except OSError:
            self.sock.close()
            raise
        carrier.loop.add_reader(self.sock, self.accept)

    def accept(self):
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        Post(self.carrier, sock, self.make_machine)

    def close(self):
        self.carrier.loop.remove_reader(self.sock)
        self.sock.close()


class Guarded:
    """What every wire does with its machine, on sockets and in the lab."""

    def guard(self, call, *args):
        """A fault in one connection's callback ends that connection, with an answer, and no other."""
        try:
            call(*args)
        except Exception as wrong:
            tell_fault(self.carrier.log, call, wrong)
            self.machine.fault()


class Wire(Guarded, asyncio.BufferedProtocol):
    def __init__(self, carrier, make_machine):
        self.carrier = carrier
        self.machine = make_machine(self)
        self.transport = None
        self.task = None
        self.full = False
        self.finished = False  # we send no more
        self.ended = False  # the peer sends no more
        self.parted = False  # the machine is done with it
        self.thrown_away = 0  # bytes that came after that
        self.over = False
        self.counted = False
        self.handed = False  # by another process
        self.refused = False  # nobody listens there

    def begin(self, how):
        self.task = self.carrier.loop.create_task(how)
        self.task.add_done_callback(self.begun)
        return self.task

    def begun(self, _task):
        self.task = None
        if self.transport is None:
            self.forget_machine()

    async def take(self, sock):
        try:
            await self.carrier.loop.connect_accepted_socket(lambda: self, sock)
        except OSError:
            sock.close()
            self.count(False)
            if self.handed:
                self.tell_lost(False)

    async def connect(self, address, source):
        while self.machine.held_back:
            await asyncio.sleep(0)
        try:
            await self.carrier.loop.create_connection(
                lambda: self, *address, local_addr=(source, 0) if source else None
            )
        except OSError as wrong:
            self.refused = isinstance(wrong, ConnectionRefusedError)
            self.count(False)
            self.tell_lost(False)

    def count(self, on):
        self.carrier.sockets += on - self.counted
        self.counted = on

    def connection_made(self, transport):
        self.transport = transport
        self.count(True)
        if self.over:
            transport.abort()
            return
        # Nothing may lie in the buffer unnoticed: a line counts as sent when its last byte has left.
        transport.set_write_buffer_limits(high=0)
        # A client whose machine is gone would hold its descriptors for good.
        sock, seconds = (
            transport.get_extra_info("socket"),
            int(self.carrier.limits.keepalive_idle_ms / 1000),
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, max(1, seconds // 3))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
        if self.handed:
            transport.pause_reading()
            self.guard(self.machine.carried)
        else:
            self.guard(self.machine.connected)

    def get_buffer(self, _hint):
        return self.carrier.buffer

    def buffer_updated(self, count):
        if not self.parted:
            return self.guard(self.machine.received, self.carrier.buffer[:count])
        # What comes after the end is read, so that the last line isn't lost, but not without end.
        self.thrown_away += count
        if self.thrown_away > self.carrier.limits.max_buffered_bytes:
            self.transport.pause_reading()

    def eof_received(self):
        # A reader that was held and let go is told of the same end again.
        if not self.ended and not self.parted:
            self.ended = True
            self.guard(self.machine.ended)
        self.ended = True
        # Once both sides have finished the connection closes; until then the other direction goes on.
        return not self.finished

    def pause_writing(self):
        self.full = True
        self.guard(self.machine.blocked, True)

    def resume_writing(self):
        self.full = False
        self.guard(self.machine.blocked, False)

    def connection_lost(self, wrong):
        self.carrier.parting.pop(self, None)
        self.count(False)
        self.tell_lost(wrong is not None)
        self.forget_machine()

    def forget_machine(self):
        """Nothing comes any more. No cycle of references is left, also none of the transport's own: asyncio's keeps a
        bound method of itself."""
        machine, self.machine = self.machine, NoMachine
        machine.let_go()
        held = vars(self.transport) if self.transport else {}
        for name in [
            name
            for name, found in held.items()
            if getattr(found, "__self__", None) is self.transport
        ]:
            del held[name]

    def tell_lost(self, reset):
        if not self.over and not self.parted:
            self.guard(self.machine.lost, reset)
        self.over = True

    @property
    def reached(self):
        """It was up once."""
        return self.transport is not None

    @property
    def open(self):
        return self.transport is not None and not self.over and not self.parted

    @property
    def quiet(self):
        """Open both ways, with no byte on its way through this process."""
        return (
            self.open
            and not self.finished
            and not self.ended
            and not self.full
            and self.drained
        )

    def copy(self):
        """Another descriptor of the same connection, for another process. Raises OSError. Once this one is
        aborted the peer notices nothing, if the wire was quiet."""
        handle = os.dup(self.transport.get_extra_info("socket").fileno())
        self.carrier.sockets += 1
        return handle

    @property
    def waited(self):
        """ms since the last bytes came from the network (tcpi_last_data_recv of the system's TCP_INFO)."""
        try:
            told = self.transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, 56
            )
            return float(struct.unpack_from("I", told, 52)[0])
        except (OSError, struct.error):
            return 0.0

    @property
    def unread(self):
        return readable(self.transport.get_extra_info("socket"))

    @property
    def to_send(self):
        """Bytes that wait for the peer to read, as long as any of them have not been taken over by the system, which
        goes on sending those that were."""
        held = self.transport.get_write_buffer_size() if self.transport else 0
        try:
            return (
                held
                and held
                + struct.unpack(
                    "i",
                    fcntl.ioctl(
                        self.transport.get_extra_info("socket").fileno(),
                        termios.TIOCOUTQ,
                        bytes(4),
                    ),
                )[0]
            )
        except OSError:
            return held

    @property
    def drained(self):
        """The last byte has left. A transport that failed has emptied its buffer too."""
        return (
            not self.transport.is_closing()
            and not self.transport.get_write_buffer_size()
        )

    def send(self, *parts):
        if self.open and not self.finished:
            self.transport.writelines(parts)

    def hold(self, on):
        if self.open and not self.transport.is_closing():
            (self.transport.pause_reading if on else self.transport.resume_reading)()

    def finish(self):
        """Sends no more; what the peer sends still comes in."""
        if self.open and not self.finished and not self.transport.is_closing():
            self.finished = True
            if self.ended:
                return self.transport.close()
            try:
                self.transport.write_eof()
            except OSError:
                # The peer has reset it, which has not been read yet.
                self.transport.abort()

    def part(self):
        """Ends politely: closed at once, bytes that the peer sent meanwhile would make the kernel
        reset the connection, and the last line might be lost with it. Not where descriptors run out."""
        if not self.open:
            return self.abort()
        self.hold(False)
        self.finish()
        self.parted = True
        if self.carrier.free < self.carrier.limits.reserved_sockets:
            return self.transport.close()
        self.carrier.parting[self] = None
        self.linger(math.inf)

    def linger(self, before):
        """For the peer's end, or while it reads what waits for it here: a slow reader is not cut off."""
        unsent = self.to_send
        if before is math.inf or 0 < unsent < before:
            self.carrier.loop.call_later(
                self.carrier.limits.linger_ms / 1000, self.linger, unsent
            )
        else:
            self.transport.abort()

    def abort(self, reset=False):
        if self.over:
            return
        self.over = True
        if self.transport is None:
            if self.task:
                self.task.cancel()
            return self.count(False)
        if reset:
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        self.transport.abort()
        # Closed a turn later, but before anything that is begun from now on.
        self.count(False)


class Datagrams(Guarded, asyncio.DatagramProtocol):
    """One socket for datagrams. What can't be sent at once is lost, as datagrams are."""

    def __init__(self, carrier, machine, address):
        self.carrier, self.machine = carrier, machine
        self.transport = None
        self.early = deque(maxlen=64)  # sent before the loop has the socket
        sock = socket.socket(
            socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM
        )
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self.task = carrier.loop.create_task(
            carrier.loop.create_datagram_endpoint(lambda: self, sock=sock)
        )

    def connection_made(self, transport):
        self.transport = transport
        for data, address in self.early:
            self.send(data, address)

    def datagram_received(self, data, address):
        self.guard(self.machine.received, data, address[:2])

    def error_received(self, wrong):
        """A machine that refuses: found out by whoever needs to know."""

    def send(self, data, address):
        if self.transport is None:
            self.early.append((data, address))
        elif not self.transport.get_write_buffer_size():
            self.transport.sendto(data, address)

    def close(self):
        if self.transport is not None:
            self.transport.close()


class Post(Guarded):
    """A Unix socket to another process of the same user: bytes, and descriptors with them, which no transport
    of asyncio's can receive."""

    MOST_HANDLES = 64  # that come with one read
    READ = 65536

    def __init__(self, carrier, sock, make_machine):
        self.carrier = carrier
        self.sock = sock
        self.unsent = deque()  # [bytes, handles]
        self.over = False
        self.machine = make_machine(self)
        peer = sock.getsockopt(
            socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i")
        )
        if struct.unpack("3i", peer)[1] != os.geteuid():
            return self.close()
        carrier.loop.add_reader(sock, self.readable)
        self.guard(self.machine.connected)

    def readable(self):
        room = socket.CMSG_SPACE(self.MOST_HANDLES * array.array("i").itemsize)
        try:
            data, extra, flags, _ = self.sock.recvmsg(
                self.READ, room, socket.MSG_CMSG_CLOEXEC
            )
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data, extra, flags = b"", (), 0
        handles = array.array("i")
        for level, kind, found in extra:
            if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                handles.frombytes(found[: len(found) - len(found) % handles.itemsize])
        self.carrier.sockets += len(handles)
        if flags & socket.MSG_CTRUNC or not data:
            self.carrier.drop(handles)
            self.close()
            return self.guard(self.machine.lost, False)
        self.guard(self.machine.received, data, list(handles))

    def send(self, data, handles=()):
        if not self.over:
            self.unsent.append([data, list(handles)])
            self.writable()

    def writable(self):
        while self.unsent:
            data, handles = self.unsent[0]
            rights = (
                [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", handles))]
                if handles
                else []
            )
            try:
                sent = self.sock.sendmsg([data], rights)
            except (BlockingIOError, InterruptedError):
                return self.carrier.loop.add_writer(self.sock, self.writable)
            except OSError:
                # Found out by the reader, which tells the machine.
                self.unsent.clear()
                break
            if sent == len(data):
                self.unsent.popleft()
            else:
                self.unsent[0] = [data[sent:], ()]
        self.carrier.loop.remove_writer(self.sock)

    def close(self):
        if not self.over:
            self.over = True
            self.carrier.loop.remove_reader(self.sock)
            self.carrier.loop.remove_writer(self.sock)
            self.sock.close()


def tell_fault(log, call, wrong):
    log(
        LogEvent.INTERNAL_ERROR,
        where=getattr(call, "__qualname__", str(call)),
        what=repr(wrong),
        line=fault_line(wrong),
    )


def fault_line(wrong):
    trace = wrong.__traceback__
    while trace.tb_next:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename.rpartition('/')[2]}:{trace.tb_lineno}"
