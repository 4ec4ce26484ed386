"""The place of one proxy in the virtual world."""

import random
from dataclasses import replace
from functools import partial

from wheathill.config.platform import build_node_config
from wheathill.lab.worlds.network import VirtualCarrier, VirtualHost
from wheathill.net.admin.server import AdminServer


class Seat:
    """The place of one proxy: its host, and whatever proxy runs on it at the time."""

    def __init__(self, world, name, zone, values, log):
        self.world, self.name, self.zone, self.values, self.log = (
            world,
            name,
            zone,
            values,
            log,
        )
        self.host = VirtualHost(world.net, name, zone)
        world.net.hosts_by_address[self.host.where] = self.host
        self.where = self.host.where
        self.proxy = None
        self.starts = 0
        self.calls = False  # operators may call
        self.told = self.odd = (
            None  # of its peers, where it knows them; what is odd about it
        )

    @property
    def admin(self):
        """Where operators call the process that runs now."""
        return self.where[0], 9600 + self.starts

    def open_to_operators(self, carrier):
        if self.calls:
            server = AdminServer(self.proxy)
            carrier.listen(server.accept, self.admin, server.make_room)

    @property
    def running(self):
        return self.proxy is not None

    def start(self):
        self.starts += 1
        node = replace(build_node_config(self.values), peers=self.told)
        self.host.begin()
        carrier = VirtualCarrier(self.host, node.limits, self.log)
        self.proxy = self.world.make_proxy(
            node, carrier, self.host.clock, self.log, self.world.decisions
        )
        if self.told:
            self.join(node, carrier)
        carrier.listen(self.proxy.create_client, self.where, self.proxy.has_room)
        self.open_to_operators(carrier)
        self.proxy.start()

    def join(self, node, carrier):
        """As `daemon._start_peers`, but that the number of its generation comes from the seed."""
        from wheathill.peers import PeerEnvironment, create_peer_service

        generation = (
            random.Random(
                f"{self.world.seed}/{self.name}/birth {self.starts}"
            ).getrandbits(48)
            | 1
        )
        self.proxy.peers = create_peer_service(
            self.told,
            PeerEnvironment(self.proxy, carrier, self.host.clock, self.log),
            generation,
            node.policy.proxy_count,
        )
        if self.odd and self.odd.version:
            self.proxy.peers.authenticator.version += 1
        self.host.clock.soon(self.proxy.peers.start)

    @property
    def paused(self):
        return self.host.paused

    def ask(self):
        """What it believes; one that stands still says nothing."""
        if self.running and not self.paused and self.proxy.peers:
            self.world.believes(self, self.proxy.peers.status.report())

    def kill(self):
        self.host.kill()
        self.proxy = None

    def stop(self, stopped):
        self.proxy.stop(partial(self.leave, self.proxy.peers, stopped))

    @staticmethod
    def leave(peers, stopped):
        if peers:
            peers.leave()
        stopped()

    def reload(self):
        self.proxy.reload(build_node_config(self.values))

    def pause(self):
        """There is no process to stop where none runs, and the next one starts as any other."""
        if self.running:
            self.host.pause()

    def resume(self):
        self.host.resume()
