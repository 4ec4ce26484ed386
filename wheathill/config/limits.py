"""Limits of one proxy: sizes, counts and times that the policy does not change."""

from dataclasses import dataclass

from wheathill.model import MAX_LIST_POLL_INTERVAL_MS

# Memory of the program itself, in MB, before any connection or list.
PROGRAM_MEMORY_MB = 22.0
# What buffers and the list get at the least, in MB, however little is allowed.
MIN_BUFFER_MEMORY_MB = 4.0
# Bounds of the one receive buffer, in bytes.
MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES = 4096, 65_536
# The longest line of a watch that is taken, in bytes, where memory allows it.
MAX_LIST_LINE_BYTES = 4 * 2**20
# The part of the memory for buffers that one line of a watch may take: it is parsed
# whole, to objects of several times its size.
LIST_LINE_MEMORY_PART = 1 / 8


@dataclass(frozen=True)
class ProxyLimits:
    """Sizes in bytes, counts, and times in milliseconds, of one proxy.

    The first four come from the configuration, some others depend on it; all others
    have their values here.
    """

    # File descriptors, of all kinds together.
    max_sockets: int
    # Until a connection has to be up.
    connect_timeout_ms: float
    # The longest dial timeout of any listener.
    max_dial_timeout_ms: float
    # A connection for probes that is not used for so long is closed.
    probe_idle_timeout_ms: float

    # Descriptors

    # Kept for files, probes, discovery and rejections.
    reserved_sockets: int = 48
    # What a process holds beside its connections, counted at an upgrade.
    non_connection_sockets: int = 12
    # Connections to servers that are kept open for probes.
    max_probe_connections: int = 64
    # Where descriptors run out, a connection that has been silent for longer may be
    # closed to make room.
    min_idle_to_evict_ms: float = 20.0

    # Bytes

    # A line of a client or a server.
    max_line_bytes: int = 4096
    # The one receive buffer, see `buffer_sizes`.
    receive_buffer_bytes: int = MAX_RECEIVE_BUFFER_BYTES
    # Held for a peer that does not read, each way.
    max_buffered_bytes: int = 65_536
    # One line of a watch, see `buffer_sizes`.
    max_list_line_bytes: int = MAX_LIST_LINE_BYTES

    # Accepting clients

    # Connections that the system holds for the proxy.
    listen_backlog: int = 1024
    # Connections taken at a time.
    accept_batch_size: int = 8
    # Until the next look where no descriptor is left for more.
    accept_pause_ms: float = 10.0

    # Lines of clients

    # For a client's first line.
    first_line_timeout_ms: float = 2000.0
    # For the next one of a client that has sent PING.
    next_line_timeout_ms: float = 10_000.0
    # No more PING than one in such a time, but for the first few.
    ping_interval_ms: float = 50.0
    max_ping_burst: int = 20
    # Clients that break the protocol are logged, so many at most in such a time.
    protocol_error_window_ms: float = 1000.0
    max_protocol_errors_logged: int = 5
    # A line without an answer is reported from then on.
    unanswered_after_ms: float = 500.0
    # An unfinished line is waited for no longer.
    partial_line_timeout_ms: float = 5000.0

    # What is remembered

    # Names of servers that are not listed any more: they are known to an operator, and
    # to an older list.
    max_unlisted_names: int = 8192
    # Ids of sessions, by which one that comes again is known.
    max_session_ids: int = 8192

    # Connections and answers

    # For the peer's end after ours.
    linger_ms: float = 1000.0
    # TCP checks a peer that is silent for so long.
    keepalive_idle_ms: float = 30_000.0
    # Before a session's deadline, for its answer to get out.
    answer_margin_ms: float = 15.0
    # So long after a dial timeout nothing is sent any more.
    max_answer_delay_ms: float = 500.0
    # Whether more follows on BUSY, where another attempt depends on it.
    second_answer_timeout_ms: float = 30.0
    probe_timeout_ms: float = 500.0
    # For connections from before the start to come up again.
    restore_timeout_ms: float = 40_000.0
    sweep_interval_ms: float = 125.0

    # The watch of the endpoint list

    # For discovery's first answer, before the known list has to do.
    first_list_timeout_ms: float = 1000.0
    # A silent watch is opened again: two in a row within the 6 s after which a change
    # counts as known.
    watch_idle_timeout_ms: float = 2700.0
    # Between the starts of two watches, at the least.
    min_watch_interval_ms: float = 250.0
    # Until another watch is opened beside one that has not answered.
    watch_hedge_delay_ms: float = 250.0
    # Where one service answers all proxies: the first wait after a failure, doubled by
    # each further one up to the longest; half of it is drawn by chance. 0 elsewhere.
    watch_backoff_ms: float = 0.0
    max_watch_backoff_ms: float = MAX_LIST_POLL_INTERVAL_MS

    # Shutdown

    # After the order to stop, clients still come for so long.
    shutdown_accept_ms: float = 800.0
    # Beyond the longest dial timeout, for a proxy that stops.
    shutdown_margin_ms: float = 400.0
    # The longest time that a proxy through which packets pass goes on.
    passthrough_shutdown_ms: float = 30_000.0
    # For the peers' ends once all is sent, and how often that is looked at.
    shutdown_linger_ms: float = 150.0
    shutdown_poll_interval_ms: float = 10.0

    # Log

    # Lines held for a reader that does not read.
    max_queued_log_lines: int = 4000
    # How often counts are logged.
    metrics_interval_ms: float = 10_000.0

    # The admin endpoint

    # Requests at a time, beside the reserved descriptors.
    max_admin_requests: int = 8
    # For a whole request to come.
    admin_request_timeout_ms: float = 2000.0
    max_admin_head_bytes: int = 8192
    max_admin_headers: int = 64
    max_admin_body_bytes: int = 65_536

    # Upgrades

    # Each wait between an old and a new process.
    handover_timeout_ms: float = 1500.0
    # Another upgrade is under way: tried again, for as long as the timeout.
    handover_retry_interval_ms: float = 50.0
    # Sessions that go over at a time.
    handover_batch_size: int = 16
    # How often those that come up meanwhile go over.
    handover_batch_interval_ms: float = 20.0


@dataclass(frozen=True)
class BufferSizes:
    """Sizes in bytes that depend on the memory that is allowed."""

    receive_buffer_bytes: int
    max_list_line_bytes: int


def buffer_sizes(memory_mb: float, max_sockets: int) -> BufferSizes:
    """Return sizes with which a proxy keeps within its memory.

    Each descriptor may hold one read that its peer does not take yet, and a list is
    parsed whole: both must fit beside the program itself.
    """
    room_bytes = max(MIN_BUFFER_MEMORY_MB, memory_mb - PROGRAM_MEMORY_MB) * 2**20
    bytes_per_socket = room_bytes / 2 / max_sockets
    receive_buffer = min(
        MAX_RECEIVE_BUFFER_BYTES, max(MIN_RECEIVE_BUFFER_BYTES, bytes_per_socket)
    )
    list_line = min(MAX_LIST_LINE_BYTES, room_bytes * LIST_LINE_MEMORY_PART)
    return BufferSizes(int(receive_buffer), int(list_line))
