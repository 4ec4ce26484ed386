"""Main loop of the adapter: reads batches of events, and writes orders."""

import sys
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TextIO

from wheathill.config.errors import ConfigurationError
from wheathill.simulator.simulated_proxy import SimulatedProxy
from wheathill.simulator.wire import MalformedBatchError, decode_batch, encode_orders

# Exit status after an input line that could not be decoded.
MALFORMED_INPUT = 2


class EventType(NamedTuple):
    """The handler of an event, and the number of values after the instance."""

    handler: Callable[..., None]
    value_count: int


EVENTS = {
    "rosterChange": EventType(SimulatedProxy.on_endpoint_update, 3),
    "accept": EventType(SimulatedProxy.on_session, 8),
    "takenOver": EventType(SimulatedProxy.on_session_taken_over, 9),
    "accepted": EventType(SimulatedProxy.on_accepted, 4),
    "notice": EventType(SimulatedProxy.on_notice, 5),
    "reply": EventType(SimulatedProxy.on_outcome, 7),
    "hangup": EventType(SimulatedProxy.on_client_left, 1),
    "probeResult": EventType(SimulatedProxy.on_probe_result, 4),
    "datagram": EventType(SimulatedProxy.on_datagram, 2),
    "ring": EventType(SimulatedProxy.on_timer, 1),
}
START_EVENT = "start"
CRASH_EVENT = "crashNow"

Orders = list[list[Any]]


class Adapter:
    """The simulated proxies of one simulation, by instance name."""

    def __init__(self) -> None:
        """Create an adapter without instances."""
        self._proxies: dict[str, SimulatedProxy] = {}

    def answer(self, line: bytes) -> str:
        """Process one batch, and return the line with its orders.

        Raises:
            MalformedBatchError: the batch or one of its events is malformed.
            ConfigurationError: an instance is started with invalid settings.
        """
        now_ms, events = decode_batch(line)
        orders: Orders = []
        for event in events:
            self._handle(now_ms, event, orders)
        return encode_orders(orders)

    def _handle(self, now_ms: float, event: object, orders: Orders) -> None:
        if (
            not isinstance(event, list)
            or len(event) < 2
            or not isinstance(event[1], str)
        ):
            raise MalformedBatchError(
                "an event is an array of a name, an instance and values"
            )
        name, instance, *values = event
        if name == START_EVENT:
            self._start(now_ms, instance, values, orders)
            return
        if name != CRASH_EVENT and name not in EVENTS:
            raise MalformedBatchError(f"unknown event {name!r}")
        if instance not in self._proxies:
            raise MalformedBatchError(
                f"{name} for instance {instance!r}, which was never started"
            )
        if name == CRASH_EVENT:
            del self._proxies[instance]
            return
        handler, value_count = EVENTS[name]
        if len(values) != value_count:
            raise MalformedBatchError(
                f"{name} takes {value_count} values after the instance,"
                f" not {len(values)}"
            )
        proxy = self._proxies[instance]
        proxy.orders = orders
        handler(proxy, now_ms, *values)

    def _start(
        self, now_ms: float, instance: str, values: list[Any], orders: Orders
    ) -> None:
        if len(values) != 2 or not isinstance(values[1], dict):
            raise MalformedBatchError("start takes a seed and a settings object")
        seed, settings = values
        proxy = SimulatedProxy(instance, orders, seed, settings)
        self._proxies[instance] = proxy
        proxy.start(now_ms)


def main(
    source: Iterable[bytes] = sys.stdin.buffer, output: TextIO = sys.stdout
) -> int:
    """Process each input line until the input ends, and return the exit status."""
    adapter = Adapter()
    for number, line in enumerate(source, 1):
        try:
            answer = adapter.answer(line)
        except (MalformedBatchError, ConfigurationError) as error:
            print(f"line {number}: {error}", file=sys.stderr)
            return MALFORMED_INPUT
        output.write(answer)
        output.flush()
    return 0
