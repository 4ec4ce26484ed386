"""Simulated users of a proxy's admin listener.

Some request the metrics; others send nothing or an incomplete request and keep the
connection open.
"""

from wheathill.net.protocol_machine import ProtocolMachine

METRICS_REQUEST = b"GET /status/metrics HTTP/1.1\r\nHost: lab\r\n\r\n"
INCOMPLETE_REQUESTS = b"", b"GET /sta", b"GET /status HTTP/1.1\r\nHost:"
METRICS_TIMEOUT_MS = 1000.0
IDLE_CONNECTION_MS = 4000.0  # how long an incomplete request stays open


class AdminConnection(ProtocolMachine):
    """One connection to the admin listener.

    Attributes:
        text: the bytes to send; None once the connection is over.
        started_ms: when the connection was started.
        answer: the bytes received so far.
    """

    def __init__(self, callers, limits, clock, text):
        super().__init__(callers, limits, clock)
        self.text = text
        self.started_ms = clock.now()
        self.answer = b""

    def connected(self):
        """Send the request, or the part of it that is to be sent."""
        if self.text:
            self.connection.send(self.text)

    def received(self, data):
        """Collect the answer."""
        self.answer += bytes(data)

    def ended(self):
        """Close: the answer is complete."""
        self.connection.close_gracefully()
        self._finish()

    def lost(self, reset):
        """Report the answer as received so far."""
        self._finish()

    def fault(self):
        """Report the answer as received so far."""
        self._finish()

    def leave(self):
        """Abort the connection at its timeout."""
        self.connection.abort()
        self._finish()

    def _finish(self):
        self.timer.cancel()
        if self.text is METRICS_REQUEST:
            self.owner.on_metrics_answer(self)
        self.text = None


class Callers:
    """Connects to the admin listener of one proxy until stopped.

    Args:
        host: the host to connect from.
        limits: size and time limits of the connections.
        record: the record of the run.
        name: the name of the proxy.
        address: the address of its admin listener.
        idle_connections: how many connections with an incomplete request to keep open.
        interval_ms: the time between two requests for the metrics.
    """

    def __init__(
        self, host, limits, record, name, address, idle_connections, interval_ms=100.0
    ):
        self.host, self.limits, self.record = host, limits, record
        self.name, self.address, self.idle_connections, self.interval_ms = (
            name,
            address,
            idle_connections,
            interval_ms,
        )
        self.running = True
        self._request_metrics()
        self._open_idle_connections()

    def _connect(self, text, timeout_ms):
        connection = AdminConnection(self, self.limits, self.host.clock, text)
        connection.connection = self.host.carrier.connect(connection, self.address)
        connection.set_timer(timeout_ms, connection.leave)

    def _request_metrics(self):
        if self.running:
            self.host.clock.after(self.interval_ms, self._request_metrics)
            self._connect(METRICS_REQUEST, METRICS_TIMEOUT_MS)

    def _open_idle_connections(self):
        if self.running:
            self.host.clock.after(IDLE_CONNECTION_MS, self._open_idle_connections)
            for number in range(self.idle_connections):
                self._connect(
                    INCOMPLETE_REQUESTS[number % len(INCOMPLETE_REQUESTS)],
                    IDLE_CONNECTION_MS,
                )

    def on_metrics_answer(self, connection):
        """Record the status and the duration of a request for the metrics."""
        status = connection.answer[9:12].decode("ascii", "replace")
        self.record.note(
            "call",
            proxy=self.name,
            status=status,
            took=self.host.clock.now() - connection.started_ms,
        )

    def stop(self):
        """Open no further connections."""
        self.running = False
