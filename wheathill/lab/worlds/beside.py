"""Two processes of one proxy in the virtual world: the clients' socket that the platform holds, the Unix
socket between them, and connections that go over from one to the other."""

from dataclasses import replace

from wheathill.config.limits import ProxyLimits
from wheathill.config.platform import build_node_config
from wheathill.handover.coordinator import UpgradeCoordinator
from wheathill.lab.worlds.network import Door, VirtualCarrier, VirtualHost
from wheathill.lab.worlds.seat import Seat
from wheathill.net.fault_isolation import FaultIsolation


class HeldDoor(Door):
    """Belongs to no process: who connects waits here until one that accepts has room."""

    def __init__(self, net, name, zone, address, limits):
        host = VirtualHost(net, name, zone)
        super().__init__(VirtualCarrier(host, limits, None), None, address, None)
        self.views = []

    def accept(self):
        self.due = False
        for _ in range(self.carrier.limits.accept_batch_size):
            view = next((view for view in self.views if view.accepts), None)
            if not self.backlog or view is None:
                return
            if not view.room():
                return self.look(self.carrier.limits.accept_pause_ms)
            wire = self.backlog.popleft()
            if not wire.gone:
                rehome(wire, view.carrier)
                wire.accepted(view.make_machine)
        if self.backlog:
            self.look()


class View:
    """The held socket as one process has it."""

    def __init__(self, held, carrier, make_machine, room):
        self.held, self.carrier, self.make_machine, self.room = (
            held,
            carrier,
            make_machine,
            room,
        )
        self.on = True
        held.views.append(self)

    waiting = False  # whoever waits is the other process's as well

    @property
    def accepts(self):
        return self.on and self.carrier.host.alive and not self.carrier.host.paused

    def set_paused(self, on):
        self.on = not on
        self.held.look()

    def close(self):
        self.on = False


def rehome(wire, carrier):
    wire.host.wires.pop(wire, None)
    wire.transport, wire.host, wire.life = carrier, carrier.host, carrier.host.life
    wire.host.wires[wire] = None


class ProcessCarrier(VirtualCarrier):
    """Of a process that another may be started beside. A handle is the wire itself."""

    def __init__(self, host, limits, log, held, places):
        super().__init__(host, limits, log)
        self.held = held
        self.places = (
            places  # name -> MeetingPlace, of the folder that the processes share
        )
        self.previous_process_sockets = 0

    @property
    def free(self):
        return super().free - self.previous_process_sockets

    def open_door(self, make_machine, room):
        return View(self.held, self, make_machine, room)

    def adopt(self, wire, machine):
        rehome(wire, self)
        wire.machine, machine.connection = machine, wire
        wire.copied, wire.over, wire.held, wire.holds_descriptor = (
            False,
            wire.gone,
            True,
            True,
        )
        self.host.clock.soon(self.adopted, wire)
        return wire

    @staticmethod
    def adopted(wire):
        """As on sockets, not within the call that adopts it."""
        if wire.gone:
            wire.count(False)
            wire.guard(wire.machine.lost, True)
        else:
            wire.guard(wire.machine.adopted)

    def close_handles(self, handles):
        self.sockets -= len(handles)
        for wire in handles:
            if wire.copied:
                wire.close()

    def listen_unix(self, folder, name, make_machine):
        return MeetingPlace(self, name, make_machine)

    def connect_unix(self, folder, name, make_machine):
        place = self.places.get(name)
        if place is None or not place.carrier.host.alive:
            raise FileNotFoundError(2, "nobody is there")
        near, far = VirtualPost(self), VirtualPost(place.carrier)
        near.peer, far.peer = far, near
        far.machine, near.machine = place.make_machine(far), make_machine(near)
        far.guard(far.machine.connected)
        near.guard(near.machine.connected)
        return near


class MeetingPlace:
    def __init__(self, carrier, name, make_machine):
        self.carrier, self.name, self.make_machine = carrier, name, make_machine
        carrier.places[name] = self

    def close(self):
        if self.carrier.places.get(self.name) is self:
            del self.carrier.places[self.name]


class VirtualPost(FaultIsolation):
    def __init__(self, carrier):
        self.transport = carrier
        self.over = False
        carrier.host.posts.append(self)

    def send(self, data, handles=()):
        if not self.over:
            self.peer.transport.host.clock.soon(self.peer.arrive, data, list(handles))

    def arrive(self, data, handles):
        self.transport.sockets += len(handles)
        if self.over:
            self.transport.close_handles(handles)
        else:
            self.guard(self.machine.received, data, handles)

    def close(self):
        if not self.over:
            self.over = True
            self.peer.transport.host.clock.soon(self.peer.lose)

    def lose(self):
        if not self.over:
            self.over = True
            self.guard(self.machine.lost, False)


PLATFORM = ProxyLimits(
    max_sockets=1_000_000,
    connect_timeout_ms=1000.0,
    max_dial_timeout_ms=1000.0,
    probe_idle_timeout_ms=1000.0,
)


class HeldSeat(Seat):
    """Of a proxy whose clients' socket the platform holds: a second process may be started"""

    def __init__(self, world, name, zone, values, log):
        super().__init__(world, name, zone, values, log)
        self.door = HeldDoor(world.net, name, zone, self.where, PLATFORM)
        self.places = {}
        self.old = None  # (host, proxy) that was taken over from

    def start(self):
        self.starts += 1
        node = replace(build_node_config(self.values), listen_fd=3, state_directory="")
        self.host.begin()
        carrier = ProcessCarrier(
            self.host, node.limits, self.log, self.door, self.places
        )
        self.proxy = self.world.make_proxy(
            node, carrier, self.host.clock, self.log, self.world.decisions
        )
        self.proxy.listening_socket = carrier.open_door(
            self.proxy.create_client, self.proxy.has_room
        )
        self.open_to_operators(carrier)
        UpgradeCoordinator(self.proxy, carrier, self.host.clock, self.log).begin()

    def upgrade(self, kill_delay_ms):
        """Start a second process; once it is ready, stop the first, and kill it after that delay."""
        self.old = self.host, self.proxy
        self.host = VirtualHost(self.world.net, self.name, self.zone)
        self.start()
        self.wait_for_yes(*self.old, kill_delay_ms)

    def wait_for_yes(self, host, proxy, kill_delay_ms):
        clock = self.world.clock
        if not self.running:
            return
        if not self.proxy.ready:
            return clock.after(20.0, self.wait_for_yes, host, proxy, kill_delay_ms)
        if host.alive:
            host.clock.soon(proxy.stop, host.kill)
            clock.after(kill_delay_ms, host.kill)

    def kill(self):
        if self.old:
            self.old[0].kill()
        super().kill()
