"""Resource limits and timeouts of one proxy, independent of the balancing policy."""

from dataclasses import dataclass

from wheathill.model import MAX_LIST_POLL_INTERVAL_MS

# Memory use of the program, in MB, without connections and endpoint list.
BASE_MEMORY_MB = 22.0
# Minimum memory for buffers and the endpoint list, in MB, whatever the memory limit.
MIN_BUFFER_MEMORY_MB = 4.0
# Bounds of the shared receive buffer, in bytes.
MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES = 4096, 65_536
# Maximum length of a line received on a watch, in bytes, if the memory limit allows it.
MAX_LIST_LINE_BYTES = 4 * 2**20
# Fraction of the buffer memory that one line of a watch may take. A line is parsed as a
# whole, into objects that take several times its size.
LIST_LINE_MEMORY_FRACTION = 1 / 8


@dataclass(frozen=True)
class ProxyLimits:
    """Limits of one proxy: sizes in bytes, counts, and times in milliseconds.

    The first four are configured, and `platform` derives some others from the
    configuration. All others have fixed values.
    """

    # Maximum number of file descriptors of all kinds.
    max_sockets: int
    # Timeout for establishing a connection.
    connect_timeout_ms: float
    # Maximum dial timeout over all listeners.
    max_dial_timeout_ms: float
    # A probe connection that is idle for this long is closed.
    probe_idle_timeout_ms: float

    # Descriptors

    # Reserved for files, probes, discovery and rejecting clients.
    reserved_sockets: int = 48
    # Descriptors that a process holds besides its connections. During an upgrade they
    # are added to the number of descriptors in use.
    non_connection_sockets: int = 12
    # Maximum number of server connections kept open for probes.
    max_probe_connections: int = 64
    # When descriptors run out, a connection that has been idle for longer than this may
    # be closed to free one.
    min_idle_to_evict_ms: float = 20.0

    # Buffers

    # Maximum length of a line from a client or a server.
    max_line_bytes: int = 4096
    # Size of the shared receive buffer, see `buffer_sizes`.
    receive_buffer_bytes: int = MAX_RECEIVE_BUFFER_BYTES
    # Maximum data buffered, per direction, for a peer that does not read.
    max_buffered_bytes: int = 65_536
    # Maximum length of a line received on a watch, see `buffer_sizes`.
    max_list_line_bytes: int = MAX_LIST_LINE_BYTES

    # Accepting clients

    # Connections that the kernel queues until the proxy accepts them.
    listen_backlog: int = 1024
    # Maximum number of connections accepted per readiness event.
    accept_batch_size: int = 8
    # Pause before accepting again after descriptors have run out.
    accept_pause_ms: float = 10.0

    # Client input

    # Timeout for a client's first line.
    first_line_timeout_ms: float = 2000.0
    # Timeout for the next line of a client that has sent PING.
    next_line_timeout_ms: float = 10_000.0
    # Rate limit for PING: one per interval, after an initial burst.
    ping_interval_ms: float = 50.0
    max_ping_burst: int = 20
    # Rate limit for logging protocol errors of clients, per time window.
    protocol_error_window_ms: float = 1000.0
    max_protocol_errors_logged: int = 5
    # A line that has not been answered for this long is reported to the balancer.
    unanswered_after_ms: float = 500.0
    # Timeout for the rest of an incomplete line.
    partial_line_timeout_ms: float = 5000.0

    # Retained identifiers

    # Names of servers that are no longer listed. Operators and older endpoint lists may
    # still refer to them.
    max_unlisted_names: int = 8192
    # Session ids, kept to recognize a session that is opened again.
    max_session_ids: int = 8192

    # Connections and answers

    # How long a closing connection waits for the peer to close its side.
    linger_ms: float = 1000.0
    # Interval of checks whether a client has reset a connection that is not read from.
    reset_check_interval_ms: float = 125.0
    # Idle time before TCP sends keepalive probes.
    keepalive_idle_ms: float = 30_000.0
    # Time reserved before a session's deadline for sending the answer.
    answer_margin_ms: float = 15.0
    # No answer is sent later than this after the dial timeout.
    max_answer_delay_ms: float = 500.0
    # How long to wait after BUSY for a second line that would contradict it, where
    # another attempt relies on it.
    second_answer_timeout_ms: float = 30.0
    probe_timeout_ms: float = 500.0
    # Time allowed for connections from before the start to be re-established.
    restore_timeout_ms: float = 40_000.0
    sweep_interval_ms: float = 125.0

    # The watch on the endpoint list

    # Timeout for the first answer of discovery, after which the configured list is
    # used.
    first_list_timeout_ms: float = 1000.0
    # A watch that is idle for this long is reopened. Two consecutive timeouts fit into
    # the 6 s within which every change must be known.
    watch_idle_timeout_ms: float = 2700.0
    # Minimum time between opening two watches.
    min_watch_interval_ms: float = 250.0
    # Delay before a second watch is opened in parallel to one without an answer.
    watch_hedge_delay_ms: float = 250.0
    # Exponential backoff after a failed watch where all proxies share one discovery
    # service: initial and maximum delay, of which half is random jitter. An initial
    # delay of 0 disables it.
    watch_backoff_ms: float = 0.0
    max_watch_backoff_ms: float = MAX_LIST_POLL_INTERVAL_MS

    # Shutdown

    # How long new clients are accepted after shutdown was requested.
    shutdown_accept_ms: float = 800.0
    # Sessions that wait for their final answer are given the maximum dial timeout, but
    # not more than this: the process is killed soon after, however long the timeout is.
    max_shutdown_wait_ms: float = 3000.0
    # Time allowed for these answers in addition.
    shutdown_margin_ms: float = 400.0
    # Time for servers to complete the lines that they have begun, of half of the
    # shutdown at most. All sessions are asked to reconnect before it.
    shutdown_line_ms: float = 1000.0
    # Maximum shutdown time of a proxy in passthrough mode.
    passthrough_shutdown_ms: float = 30_000.0
    # How long to wait for peers to close once all data is sent, and how often to check.
    shutdown_linger_ms: float = 150.0
    shutdown_poll_interval_ms: float = 10.0

    # Log

    # Maximum number of log lines queued while the reader of the log is blocked.
    max_queued_log_lines: int = 4000
    # Interval between logging metrics.
    metrics_interval_ms: float = 10_000.0

    # The admin endpoint

    # Maximum number of concurrent requests. Their descriptors are reserved in addition
    # to `reserved_sockets`.
    max_admin_requests: int = 8
    # Timeout for receiving a complete request.
    admin_request_timeout_ms: float = 2000.0
    max_admin_head_bytes: int = 8192
    max_admin_headers: int = 64
    max_admin_body_bytes: int = 65_536

    # Upgrades

    # Timeout of each step between the old and the new process.
    handover_timeout_ms: float = 1500.0
    # Retry interval while another upgrade is in progress, up to `handover_timeout_ms`.
    handover_retry_interval_ms: float = 50.0
    # Maximum number of sessions transferred per message.
    handover_batch_size: int = 16
    # Interval between transfers of sessions that were set up in the meantime.
    handover_batch_interval_ms: float = 20.0

    @property
    def shutdown_answer_ms(self) -> float:
        """How long after the start of a shutdown every session has its answer."""
        longest_wait_ms = min(self.max_dial_timeout_ms, self.max_shutdown_wait_ms)
        return longest_wait_ms + self.shutdown_margin_ms


@dataclass(frozen=True)
class BufferSizes:
    """Buffer sizes in bytes, derived from the memory limit."""

    receive_buffer_bytes: int
    max_list_line_bytes: int


def buffer_sizes(memory_mb: float, max_sockets: int) -> BufferSizes:
    """Return buffer sizes with which a proxy stays within its memory limit.

    Each descriptor may hold the data of one read that its peer has not accepted yet,
    and an endpoint list is parsed as a whole. Both must fit into the memory that the
    program itself does not use.
    """
    available_bytes = max(MIN_BUFFER_MEMORY_MB, memory_mb - BASE_MEMORY_MB) * 2**20
    bytes_per_socket = available_bytes / 2 / max_sockets
    receive_buffer = min(
        MAX_RECEIVE_BUFFER_BYTES, max(MIN_RECEIVE_BUFFER_BYTES, bytes_per_socket)
    )
    list_line = min(MAX_LIST_LINE_BYTES, available_bytes * LIST_LINE_MEMORY_FRACTION)
    return BufferSizes(int(receive_buffer), int(list_line))
