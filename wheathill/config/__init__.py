"""The one place where configuration is read, checked and given defaults, for drill and proxy alike.

Whatever is wrong is raised as `Misconfigured`, whose text names the key by its path. Here stands what the
platform tells a proxy; an operator's own file is turned into the same form by `operator`, so that both are
checked and given defaults by the same lines. Nothing here may need more than the standard library.
"""

import hashlib
import json
import socket
from dataclasses import dataclass, replace

from wheathill.model import LIST_CALL_MS, LIST_POLL_MAX_MS, Idempotency, Listener
from wheathill.policy.settings import (
    EndpointListSettings,
    LoadEstimatorSettings,
    PolicySettings,
    RetryBudgetSettings,
    SlotTableSettings,
    SlowStartSettings,
)

REPEATS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
SCOPES = {scope: scope for scope in ("all", "zone", "cell")}
# The figures of a load report: the settings' words -> the design's.
REPORT_NAMES = {"waiting": "queue", "cpu": "util"}


class Misconfigured(ValueError):
    pass


class Reader:
    """One JSON object and its path. An absent or null value gives the default."""

    def __init__(self, values, path=""):
        if not isinstance(values, dict):
            raise Misconfigured(f"{path or 'the configuration'}: must be an object")
        self.values = values
        self.path = path

    def at(self, key):
        return f"{self.path}.{key}" if self.path else key

    def get(self, key, default, kinds, what):
        value = self.values.get(key)
        if value is None:
            if default is None:
                raise Misconfigured(f"{self.at(key)}: is missing")
            return default
        if (
            not isinstance(value, kinds)
            or isinstance(value, bool)
            and bool not in kinds
        ):
            raise Misconfigured(f"{self.at(key)}: must be {what}")
        return value

    MOST = 1e15  # past it nothing is meant, and the figures worked out of it would be infinite

    def number(self, key, default, least=0.0, most=MOST):
        value = self.get(key, default, (int, float), "a number")
        if not least <= value <= most:
            raise Misconfigured(
                f"{self.at(key)}: {value} is not within {least:g} and {most:g}"
            )
        return value

    def ms(self, key, default):
        """Settings give seconds; inside the project times are milliseconds."""
        return self.number(key, default / 1000) * 1000

    def count(self, key, default, least=0):
        return int(self.number(key, default, least, 2**53))

    def flag(self, key, default=False):
        return self.get(key, default, (bool,), "true or false")

    def text(self, key, default=None):
        return self.get(key, default, (str,), "text")

    def choice(self, key, choices, default):
        value = self.text(key, default)
        if value not in choices:
            raise Misconfigured(
                f"{self.at(key)}: {value!r} is none of {', '.join(choices)}"
            )
        return choices[value]

    def list(self, key):
        return self.get(key, [], (list,), "an array")

    def texts(self, key):
        for place, value in enumerate(self.list(key)):
            if not isinstance(value, str):
                raise Misconfigured(f"{self.at(key)}[{place}]: must be text")
        return self.list(key)

    def numbers(self, key):
        for place, value in enumerate(self.list(key)):
            if isinstance(value, bool) or not isinstance(value, (int, float)):
                raise Misconfigured(f"{self.at(key)}[{place}]: must be a number")
        return self.list(key)

    def part(self, key):
        return Reader(self.get(key, {}, (dict,), "an object"), self.at(key))

    def parts(self, key):
        return [
            Reader(value, f"{self.at(key)}[{place}]")
            for place, value in enumerate(self.list(key))
        ]


def read_listeners(settings):
    listeners = [
        Listener(
            name=item.text("name", ""),
            idempotency=item.choice("repeat", REPEATS, "fragile"),
            dedup_scope=item.choice("dedupScope", SCOPES, "cell"),
            dedup_window_ms=item.ms("windowS", 0.0),
            handshake_target_ms=item.ms("handshakeTargetS", 500.0),
            dial_timeout_ms=item.ms("dialTimeoutS", 2000.0),
            priority_weight=item.number("utility", 1.0),
        )
        for item in settings.parts("listeners")
    ]
    for listener, target in zip(
        listeners, settings.part("familyInfo").numbers("messageAimS")
    ):
        listener.message_target_ms = target * 1000
    return listeners


def read_retry_budget(duties):
    """The retry budget; one that limits nothing where none is stated."""
    stated = [
        key
        for key in ("freeResends", "resendRatio", "ratioSpanS")
        if duties.values.get(key) is not None
    ]
    if not stated:
        return RetryBudgetSettings()
    if "ratioSpanS" not in stated:
        raise Misconfigured(
            f"{duties.at('ratioSpanS')}: is missing, beside {duties.at(stated[0])}"
        )
    span = duties.number("ratioSpanS", None, 1e-3, 86_400.0)
    return RetryBudgetSettings(
        free_retries=duties.number("freeResends", 0.0),
        retries_per_session=duties.number("resendRatio", 0.0),
        window_ms=span * 1000,
    )


def read_slots(settings):
    slots = settings.count("slots", 4096)
    if not 512 <= slots <= 65_536 or slots & (slots - 1):
        raise Misconfigured(
            f"{settings.at('slots')}: must be a power of two from 512 to 65,536"
        )
    return slots


def read_slow_start(duties):
    return SlowStartSettings(
        initial_share=duties.number("startCapacity", 0.1),
        duration_ms=duties.ms("coldS", 20_000.0),
        rate_multiple=duties.number("tipMultiple", 1.0),
        window_ms=duties.ms("tipAfterS", 1000.0),
    )


def read_endpoint_list(settings, duties):
    """How the list is followed, but for what absence from it means."""
    return EndpointListSettings(
        is_polled=settings.text("membershipMode", "automatic") == "subscribe",
        poll_interval_ms=duties.ms("askEveryS", 10_000.0),
        uses_weights=settings.text("weightSource", "off") in ("nominal", "rough"),
        drain_grace_ms=duties.ms("drainGraceS", 0.0),
    )


def read_report_fields(report, is_reported):
    """The names of the figures that servers report; none where they report nothing."""
    if not is_reported:
        return []
    return [REPORT_NAMES.get(name, name) for name in report.texts("names")]


def read_policy(settings):
    """What a Balancer is made with, beside its effects and its source of chance.

    The order in which values are read is part of the interface: of several that are
    wrong the first one is named.
    """
    limits = settings.part("limits")
    duties = settings.part("obligations")
    prices = settings.part("prices")
    report = settings.part("report")
    goal = settings.part("goal")
    # Read to be checked: nothing decided hangs on how many.
    goal.number("ninesFull", 3.0, 1e-3, 1e3)
    may_probe = limits.flag("mayProbe")
    report_modes = {"inline": True, "on_probe": may_probe}
    is_reported = report_modes.get(report.text("how", "off"), False)
    zone = settings.count("zone", 0)
    proxy_count = max(1, settings.count("balancers", 1))
    proxy_index = settings.count("me", 0) if "me" in settings.values else None
    report_fields = read_report_fields(report, is_reported)
    endpoint_list = read_endpoint_list(settings, duties)
    slow_start = read_slow_start(duties)
    max_attempts = limits.count("maxDials", 1)
    crossing_price = prices.number("crossZone", 0.0)
    migration_price = prices.number("moves", 0.0)
    retry_budget = read_retry_budget(duties)
    absence_removes = not duties.flag("onlyDrainingBinds")
    may_ask_to_retry = limits.flag("retryAfter")
    max_retry_after_ms = limits.ms("maxRetryAfterS", 0.0) if may_ask_to_retry else 0.0
    family = settings.part("familyInfo")
    load_estimator = LoadEstimatorSettings(
        report_fields=report_fields,
        reports_late_messages=family.flag("tellsDelay"),
        loss_weight=goal.number("logLossPart", 0.0, 0.0, 1.0),
    )
    slot_count = read_slots(settings)
    return PolicySettings(
        proxy_count=proxy_count,
        proxy_index=proxy_index,
        may_probe=may_probe,
        is_passthrough=family.text("mode", "proxy") == "pass",
        max_attempts=max_attempts,
        max_retry_after_ms=max_retry_after_ms,
        slot_table=SlotTableSettings(slot_count, zone, crossing_price, migration_price),
        load_estimator=load_estimator,
        endpoint_list=replace(endpoint_list, absence_removes=absence_removes),
        slow_start=slow_start,
        retry_budget=retry_budget,
    )


@dataclass(frozen=True)
class Limits:
    """Sizes in bytes, counts, and times in milliseconds, of one proxy."""

    sockets: int  # descriptors, all told
    connect: float  # for a connection to come up
    longest_dial: float  # the longest dial timeout of any listener
    idle: float  # a link for probes that is not used is closed
    spare_sockets: int = (
        48  # descriptors kept for files, probes, discovery and refusals
    )
    probe_links: int = 64
    line: int = 4096
    read: int = 65536  # the one receive buffer
    buffer: int = 65536  # held for a peer that does not read, each way
    backlog: int = 1024  # connections that the system holds for the proxy
    accepts: int = 8  # taken at a time
    accept_pause: float = 10.0  # where no descriptor is left for more
    line_in: float = 2000.0  # for a client's first line
    ping_every: float = (
        50.0  # and no more of these than one in such a time, but for the first few
    )
    pings: int = 20
    line_next: float = 10_000.0  # for the next one of a client that has sent PING
    names: int = (
        8192  # of servers that were listed and are not any more, kept to know one that
    )
    # operators name, or an older list
    ids: int = 8192  # of sessions, kept to know one that comes again
    bad_every: float = (
        1000.0  # clients that said nonsense are logged, so many at most in such a time
    )
    bad_lines: int = 5
    ask_within: float = 20.0  # the same, where descriptors run out
    linger: float = 1000.0  # for the peer's end after ours
    keep_alive: float = (
        30_000.0  # a peer that says nothing is asked by TCP whether it is there
    )
    answer_margin: float = (
        15.0  # before a session's deadline, for its answer to get out
    )
    too_late: float = 500.0  # after a dial timeout nothing is said any more
    probe: float = 500.0
    standing: float = 40_000.0  # for connections from before the start to come up again
    list_line: int = 4 * 2**20  # one line of a watch
    list_wait: float = (
        1000.0  # for discovery's first answer, before the known list has to do
    )
    list_silence: float = 2700.0  # a watch that says nothing for so long is opened again: two in a row within 6 s
    list_retry: float = 250.0  # between two that were asked, at the least
    list_spread: float = 0.0  # where one service answers all proxies: the first wait after a failure, doubled
    # by each further one, up to list_longest; half of it is drawn by chance
    list_longest: float = (
        LIST_POLL_MAX_MS  # two within the 6 s after which a change counts as told
    )
    list_again: float = 250.0  # until another is asked beside one that has not answered
    unanswered: float = 500.0  # a line without an answer is reported from then on
    half_line: float = 5000.0  # an unfinished line is waited for no longer
    sweep: float = 125.0
    newcomers: float = 800.0  # after the order to stop, clients still come for so long
    stop_margin: float = 400.0  # beyond the longest dial, for a proxy that stops
    stop_hold: float = (
        30_000.0  # the longest that one through which packets pass goes on
    )
    stop_linger: float = 150.0  # for the peers' ends once all is said
    see_off: float = 10.0  # how often that is looked at
    second_answer: float = (
        30.0  # whether more follows on BUSY, where another dial hangs on it
    )
    log_lines: int = 4000  # held for a reader that does not read
    figures: float = 10_000.0  # how often counts are logged
    calls: int = 8  # of operators at a time, beside the spare descriptors
    call: float = 2000.0  # for a whole call to come
    call_head: int = 8192
    call_headers: int = 64
    call_body: int = 65536
    handover: float = 1500.0  # each wait between an old and a new process
    handover_again: float = (
        50.0  # another upgrade is under way: asked again, for as long as that
    )
    carried: int = 16  # sessions that go over at a time
    carry_every: float = 20.0  # those that come up meanwhile
    own_sockets: int = 12  # that a process holds beside its connections


def buffers(memory_mb, sockets):
    """Each descriptor may hold one read that its peer does not take yet, and a list is parsed whole: both
    must fit beside the program itself."""
    room = max(4.0, memory_mb - 22.0) * 2**20
    return {
        "read": int(min(65536, max(4096, room / 2 / sockets))),
        "list_line": int(min(2**22, room / 8)),
    }


@dataclass(frozen=True)
class Node:
    """What one proxy is told at its start."""

    name: str
    listen: tuple
    listen_fd: int | None  # the clients' socket, inherited; none: bound by the proxy
    admin: tuple | None  # where operators call; none: there is no such door
    state: str | None  # a folder that outlives the process; none: bans are not kept
    discovery: tuple | None  # none: `known` is the whole list
    seed: str
    limits: Limits
    known: dict
    listeners: list
    tenants: list
    zones: list
    groups: bool
    moves_at_stop: bool
    report_fields: list
    policy: PolicySettings
    told: dict  # the configuration as it was read, without `known`
    peers: object = (
        None  # a `config.peers.PeerSettings`; none: it knows no other instance
    )

    @property
    def mark(self):
        """Names its files in `state`, which several proxies may share."""
        return hashlib.blake2b(
            f"{self.name} {self.listen}".encode(), digest_size=4
        ).hexdigest()


# What a running proxy takes from a configuration that is read again. `known` and `seed` are for a start only.
IN_PLACE = (
    "discovery",
    "limits",
    "settings.listeners",
    "settings.tenants",
    "settings.limits.connectTimeoutS",
    "settings.limits.idleCloseS",
    "known",
    "seed",
)


def needs_restart(old, new, path=""):
    """The keys, by their paths, whose change can't be taken in place."""
    if path in IN_PLACE or old == new:
        return []
    if not isinstance(old, dict) or not isinstance(new, dict):
        return [path]
    return [
        found
        for key in dict.fromkeys([*old, *new])
        for found in needs_restart(
            old.get(key), new.get(key), f"{path}.{key}" if path else key
        )
    ]


def inherited(text, path):
    """The descriptor that `text` names: a stream socket that listens. It stays as it is."""
    if text is None:
        return None
    if not text.isdecimal():
        raise Misconfigured(f"{path}: {text!r} is no descriptor")
    try:
        sock = socket.socket(fileno=int(text))
    except OSError as wrong:
        raise Misconfigured(f"{path}: descriptor {text}: {wrong}") from None
    try:
        if sock.type != socket.SOCK_STREAM or not sock.getsockopt(
            socket.SOL_SOCKET, socket.SO_ACCEPTCONN
        ):
            raise Misconfigured(
                f"{path}: descriptor {text} is no stream socket that listens"
            )
    finally:
        sock.detach()
    return int(text)


def address(text, path):
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise Misconfigured(f"{path}: {text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def read_node(environ):
    path = environ.get("NODE_CONFIG")
    if not path:
        raise Misconfigured("NODE_CONFIG: is missing")
    try:
        with open(path, "rb") as source:
            found = json.load(source)
    except (OSError, ValueError) as wrong:
        raise Misconfigured(f"NODE_CONFIG: {path}: {wrong}") from None
    return node_of(found, surroundings(environ))


def surroundings(environ):
    """What the environment tells a proxy beside its configuration."""
    told = ("name", "listen", "discovery", "admin_addr", "fd")
    return {
        "state": environ.get("TMPDIR"),
        **{key: environ.get("NODE_" + key.upper()) for key in told},
    }


def node_of(values, instead=None):
    """A node from the platform's object; `instead` stands in for keys that are absent. `discovery` may be
    false: the list is then the one that is told."""
    top = Reader(values)
    instead = instead or {}
    settings = top.part("settings")
    allowed = top.part("limits")
    listeners = read_listeners(settings)
    if not listeners:
        raise Misconfigured("settings.listeners: names none")
    policy = read_policy(settings)
    # A proxy on sockets measures the latency of messages itself.
    policy = replace(
        policy,
        load_estimator=replace(policy.load_estimator, reports_late_messages=True),
    )
    sockets = allowed.count("sockets", 1024, least=64)
    # Nothing new may go to a server that leaves once the grace is over: what asks for the list must be well within it.
    list_again = min(
        Limits.list_wait, max(100.0, policy.endpoint_list.drain_grace_ms / 2)
    )
    list_retry, list_spread = min(Limits.list_retry, list_again), 0.0
    if policy.endpoint_list.is_polled:
        # Not an agent beside each proxy: what refuses calls that come too often would never be left alone.
        list_again = Limits.list_longest
        list_spread = min(
            Limits.list_longest, max(500.0, policy.proxy_count * LIST_CALL_MS / 2)
        )
    where = {
        key: None
        if top.values.get(key) is False and key == "discovery"
        else address(top.text(key, instead.get(key)), key)
        for key in ("listen", "discovery")
    }
    admin = top.text("admin_addr", instead.get("admin_addr") or "")
    # Operators must get through when clients hold all that is theirs: the calls' descriptors and the door's.
    spare = Limits.spare_sockets + (Limits.calls + 1 if admin else 0)
    return Node(
        name=top.text("name", instead.get("name")),
        **where,
        seed=top.text("seed"),
        listen_fd=inherited(instead.get("fd"), "NODE_FD"),
        admin=address(admin, "admin_addr") if admin else None,
        state=instead.get("state") if admin or instead.get("fd") else None,
        limits=Limits(
            sockets=sockets,
            spare_sockets=spare,
            **buffers(allowed.number("memory_mb", 192.0, least=16.0), sockets),
            list_again=list_again,
            list_retry=list_retry,
            list_spread=list_spread,
            # None is stated by 0 as well: no connection would ever come up in it.
            connect=settings.part("limits").ms("connectTimeoutS", 1000.0) or 1000.0,
            longest_dial=max(listener.dial_timeout_ms for listener in listeners),
            idle=settings.part("limits").ms("idleCloseS", 30_000.0) or 30_000.0,
        ),
        known=top.part("known").values,
        listeners=listeners,
        tenants=[item.text("name", "") for item in settings.parts("tenants")],
        zones=settings.texts("dcs"),
        groups=settings.part("familyInfo").flag("groups"),
        moves_at_stop=not policy.is_passthrough,
        report_fields=settings.part("report").texts("names"),
        policy=policy,
        told={key: value for key, value in top.values.items() if key != "known"},
    )
