"""The way between instances: datagrams that are late, lost, doubled, overtaken, or cut off in one direction
or both. The same faults, decided by the same seed, in memory and over UDP on loopback.

An endpoint has `send(to, data)` and calls `received(data, came_from)`; names stand for addresses.
"""

import asyncio

from wheathill.peers.fallback_probe import CONNECTION_ATTEMPTS
from wheathill.peers.membership import ProbeResult


class Faults:
    """What befalls each datagram. Times in ms; `loss`, `doubled`, `overtaken` are chances; one that is
    overtaken is held for up to four more of the longest usual ways."""

    def __init__(self, chance, delay, jitter, loss=0.0, doubled=0.0, overtaken=0.0):
        self.random, self.expovariate, self.uniform = (
            chance.random,
            chance.expovariate,
            chance.uniform,
        )
        self.delay, self.jitter = delay, jitter
        self.loss, self.doubled, self.overtaken = loss, doubled, overtaken
        self.cuts = {}  # (from, to) -> None
        self.sent = self.lost = 0

    def cut(self, ones, others, both=True):
        """Nothing goes from any of `ones` to any of `others`, nor back where `both`."""
        for one in ones:
            for other in others:
                self.cuts[one, other] = None
                if both:
                    self.cuts[other, one] = None

    def mend(self):
        self.cuts = {}

    def ways(self, one, other):
        """After how long each copy arrives; none for one that is lost."""
        self.sent += 1
        if (one, other) in self.cuts or self.random() < self.loss:
            self.lost += 1
            return []
        waits = [self.wait()]
        if self.random() < self.doubled:
            waits.append(self.wait())
        return waits

    def wait(self):
        usual = self.delay * (1.0 + self.jitter * self.expovariate(1.0))
        return usual + (
            self.uniform(0.0, 4 * self.delay * (1 + self.jitter))
            if self.overtaken and self.random() < self.overtaken
            else 0.0
        )


class VirtualPeers:
    """Endpoints in memory. A host that is gone or silent neither sends nor hears."""

    def __init__(self, clock, faults):
        self.clock = clock
        self.faults = faults
        self.endpoints = {}

    def endpoint(self, host, received):
        end = self.endpoints[host.name] = VirtualEndpoint(self, host, received)
        return end

    def start_fallback_probe(self, host, to, wait, told):
        """Connections' starts: asked again as TCP does within the first 15 s of each (RFC 6298)."""
        tries = sorted(
            start + again
            for start in (
                number * wait / CONNECTION_ATTEMPTS
                for number in range(CONNECTION_ATTEMPTS)
            )
            for again in (0.0, 1000.0, 3000.0, 7000.0)
            if start + again < wait
        )
        self.ask(host, to, told, tries, wait)

    def ask(self, host, to, told, tries, wait):
        other = self.endpoints[to].host
        if not other.silent and not host.silent:
            for there in self.faults.ways(host.name, to)[:1]:
                for back in self.faults.ways(to, host.name)[:1]:
                    how = ProbeResult.REACHABLE if other.alive else ProbeResult.REFUSED
                    return self.clock.after(
                        there + back, host.gate, host.life, told, how
                    )
        first, *more = tries
        if more:
            self.clock.after(more[0] - first, self.ask, host, to, told, more, wait)
        else:
            self.clock.after(
                wait - first, host.gate, host.life, told, ProbeResult.NO_ANSWER
            )


class VirtualEndpoint:
    def __init__(self, peers, host, received):
        self.peers, self.host, self.received = peers, host, received

    def send(self, to, data):
        if self.host.silent or not self.host.alive:
            return
        data = bytes(data)
        for wait in self.peers.faults.ways(self.host.name, to):
            self.peers.clock.after(wait, self.arrive, to, data)

    def arrive(self, to, data):
        end = self.peers.endpoints.get(to)
        if end is not None and not end.host.silent:
            end.host.gate(end.host.life, end.received, data, self.host.name)


class SocketPeers:
    """Endpoints over UDP on loopback; faults are met by who sends."""

    def __init__(self, loop, clock, faults):
        self.loop, self.clock, self.faults = loop, clock, faults
        self.addresses = {}  # name -> address
        self.names = {}

    async def endpoint(self, name, received):
        transport, end = await self.loop.create_datagram_endpoint(
            lambda: SocketEndpoint(self, name, received), local_addr=("127.0.0.1", 0)
        )
        address = transport.get_extra_info("sockname")
        self.addresses[name], self.names[address] = address, name
        return end


class SocketEndpoint(asyncio.DatagramProtocol):
    def __init__(self, peers, name, received):
        self.peers, self.name, self.received = peers, name, received
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def send(self, to, data):
        data = bytes(data)
        for wait in self.peers.faults.ways(self.name, to):
            self.peers.clock.after(wait, self.go, to, data)

    def go(self, to, data):
        if not self.transport.is_closing():
            self.transport.sendto(data, self.peers.addresses[to])

    def datagram_received(self, data, address):
        name = self.peers.names.get(address)
        if name is not None:
            self.received(data, name)

    def close(self):
        self.transport.close()
