"""Datagram networks between instances, with faults: delay, loss, duplication, reordering and partitions.

The same faults, decided by the same seed, in memory and over UDP on loopback. An endpoint has `send(to, data)` and
calls `on_datagram(data, sender)`; names stand for addresses.
"""

import asyncio

from wheathill.peers.fallback_probe import CONNECTION_ATTEMPTS
from wheathill.peers.membership import ProbeResult

# When TCP sends the first segment of a connection, and again, within its first 15 s (RFC 6298).
SYN_TIMES_MS = (0.0, 1000.0, 3000.0, 7000.0)


class DatagramFaults:
    """Decides the faults of each datagram.

    `loss`, `duplication` and `reordering` are probabilities; `jitter` is a share of the delay, exponentially
    distributed. A reordered datagram is held for up to four times the mean delay, and may be overtaken by later ones.
    """

    def __init__(
        self, rng, delay_ms, jitter, loss=0.0, duplication=0.0, reordering=0.0
    ):
        self.random, self.expovariate, self.uniform = (
            rng.random,
            rng.expovariate,
            rng.uniform,
        )
        self.delay_ms, self.jitter = delay_ms, jitter
        self.loss, self.duplication, self.reordering = loss, duplication, reordering
        self.partitioned = {}  # (from, to) -> None
        self.sent = self.lost = 0

    def partition(self, names, others, both=True):
        """Lose all datagrams from any of `names` to any of `others`, and if `both` in the other direction too."""
        for name in names:
            for other in others:
                self.partitioned[name, other] = None
                if both:
                    self.partitioned[other, name] = None

    def heal(self):
        """End all partitions."""
        self.partitioned = {}

    def delays_ms(self, sender, receiver):
        """Return the delay of each copy of a datagram; none if it is lost."""
        self.sent += 1
        if (sender, receiver) in self.partitioned or self.random() < self.loss:
            self.lost += 1
            return []
        copy_delays_ms = [self.draw_delay_ms()]
        if self.random() < self.duplication:
            copy_delays_ms.append(self.draw_delay_ms())
        return copy_delays_ms

    def draw_delay_ms(self):
        """Return a random delay."""
        usual_ms = self.delay_ms * (1.0 + self.jitter * self.expovariate(1.0))
        return usual_ms + (
            self.uniform(0.0, 4 * self.delay_ms * (1 + self.jitter))
            if self.reordering and self.random() < self.reordering
            else 0.0
        )


class VirtualDatagramNetwork:
    """Endpoints in memory; a host that is gone or silent neither sends nor receives."""

    def __init__(self, clock, faults):
        self.clock = clock
        self.faults = faults
        self.endpoints = {}

    def endpoint(self, host, on_datagram):
        """Create the endpoint of a host's process."""
        endpoint = self.endpoints[host.name] = VirtualEndpoint(self, host, on_datagram)
        return endpoint

    def start_fallback_probe(self, host, to, timeout_ms, on_result):
        """Start the connection attempts of a fallback probe, each with TCP's retransmissions."""
        send_times_ms = sorted(
            start + retransmission
            for start in (
                number * timeout_ms / CONNECTION_ATTEMPTS
                for number in range(CONNECTION_ATTEMPTS)
            )
            for retransmission in SYN_TIMES_MS
            if start + retransmission < timeout_ms
        )
        self.send_probe(host, to, on_result, send_times_ms, timeout_ms)

    def send_probe(self, host, to, on_result, send_times_ms, timeout_ms):
        """Send one segment, and report its answer, or go on with the next segment if it or its answer is lost."""
        other = self.endpoints[to].host
        if not other.silent and not host.silent:
            for request_delay_ms in self.faults.delays_ms(host.name, to)[:1]:
                for reply_delay_ms in self.faults.delays_ms(to, host.name)[:1]:
                    result = (
                        ProbeResult.REACHABLE if other.alive else ProbeResult.REFUSED
                    )
                    return self.clock.after(
                        request_delay_ms + reply_delay_ms,
                        host.gate,
                        host.life,
                        on_result,
                        result,
                    )
        first, *remaining = send_times_ms
        if remaining:
            self.clock.after(
                remaining[0] - first,
                self.send_probe,
                host,
                to,
                on_result,
                remaining,
                timeout_ms,
            )
        else:
            self.clock.after(
                timeout_ms - first,
                host.gate,
                host.life,
                on_result,
                ProbeResult.NO_ANSWER,
            )


class VirtualEndpoint:
    """One process's end of a `VirtualDatagramNetwork`."""

    def __init__(self, network, host, on_datagram):
        self.network, self.host, self.on_datagram = network, host, on_datagram

    def send(self, to, data):
        """Send a datagram, unless the host is gone or silent."""
        if self.host.silent or not self.host.alive:
            return
        data = bytes(data)
        for delay_ms in self.network.faults.delays_ms(self.host.name, to):
            self.network.clock.after(delay_ms, self.deliver, to, data)

    def deliver(self, to, data):
        """Pass a datagram to the endpoint that the receiver has by now."""
        endpoint = self.network.endpoints.get(to)
        if endpoint is not None and not endpoint.host.silent:
            endpoint.host.gate(
                endpoint.host.life, endpoint.on_datagram, data, self.host.name
            )


class LoopbackDatagramNetwork:
    """Endpoints over UDP on loopback; the sender applies the faults."""

    def __init__(self, loop, clock, faults):
        self.loop, self.clock, self.faults = loop, clock, faults
        self.addresses = {}  # name -> address
        self.names = {}  # address -> name

    async def endpoint(self, name, on_datagram):
        """Open the endpoint of a process."""
        transport, endpoint = await self.loop.create_datagram_endpoint(
            lambda: LoopbackEndpoint(self, name, on_datagram),
            local_addr=("127.0.0.1", 0),
        )
        address = transport.get_extra_info("sockname")
        self.addresses[name], self.names[address] = address, name
        return endpoint


class LoopbackEndpoint(asyncio.DatagramProtocol):
    """One process's end of a `LoopbackDatagramNetwork`."""

    def __init__(self, network, name, on_datagram):
        self.network, self.name, self.on_datagram = network, name, on_datagram
        self.transport = None

    def connection_made(self, transport):
        """Keep the transport, see `asyncio.DatagramProtocol`."""
        self.transport = transport

    def send(self, to, data):
        """Send a datagram after its delay."""
        data = bytes(data)
        for delay_ms in self.network.faults.delays_ms(self.name, to):
            self.network.clock.after(delay_ms, self.send_now, to, data)

    def send_now(self, to, data):
        """Send a datagram, unless the endpoint is closed."""
        if not self.transport.is_closing():
            self.transport.sendto(data, self.network.addresses[to])

    def datagram_received(self, data, address):
        """Pass on a datagram of another endpoint, see `asyncio.DatagramProtocol`."""
        name = self.network.names.get(address)
        if name is not None:
            self.on_datagram(data, name)

    def close(self):
        """Close the socket."""
        self.transport.close()
