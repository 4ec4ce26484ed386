"""The scripts of experiments: TOML files, checked completely when they are read.

Each error is reported with its path in the file.
"""

import re
from typing import Annotated, Literal

from msgspec import Meta, field

from wheathill.config import checked
from wheathill.config.errors import ConfigurationError
from wheathill.config.operator_tables import ListenerTable
from wheathill.config.tables import (
    Count,
    Fraction,
    Name,
    NonNegativeMs,
    PositiveMs,
    Seconds,
    Table,
    Weight,
)

Factor = Annotated[float, Meta(gt=0, le=1000)]
PositiveCount = Annotated[int, Meta(ge=1, le=100_000)]
FactorRange = Annotated[
    list[Factor], Meta(min_length=2, max_length=2)
]  # [lowest, highest]

GATEWAY_EVENTS = (
    "silent",
    "pause",
    "kill",
    "back",
    "erring",
    "slow",
    "drain",
    "list-lies",
    "by-hand",
    "untrue",
    "flap",
)
PROXY_EVENTS = (
    "proxy-kill",
    "proxy-roll",
    "proxy-pause",
    "proxy-reload",
    "proxy-upgrade",
    "callers",
)
FLEET_EVENTS = (
    "store-slower",
    "herd",
    "list-unreachable",
    "list-torn",
    "list-restarted",
    "list-moved",
    "costly",
    "partition",
    "way",
    "cut",
)
# Events of proxies that know their peers. Those of PROXY_SET_EVENTS take several names, separated by commas, or a zone.
PROXY_SET_EVENTS = ("link", "link-flap", "ring", "replay")
PEER_EVENTS = (*PROXY_SET_EVENTS, "split", "proxy-starve", "stranger")
# Events whose effect is counted in the processes world; others are refused there.
VERIFIED_EVENTS = (
    *PEER_EVENTS,
    "proxy-kill",
    "proxy-roll",
    "proxy-pause",
    "kill",
    "back",
    "silent",
    "drain",
    "slow",
    "store-slower",
    "list-unreachable",
    "list-lies",
    "herd",
    "partition",
)
FACTOR_EVENTS = ("slow", "store-slower", "costly", "untrue")


class Rules(Table):
    """Limits of the judges' rules, and the matching settings of the proxies."""

    drain_grace_ms: NonNegativeMs = 500.0
    cold_multiple: Factor = 4.0
    cold_window_ms: PositiveMs = 1000.0
    further_dials_s: Seconds = 0.0
    further_dials_free: Count = 0
    further_dials_share: Fraction = 0.0
    only_draining_binds: bool = False


class Network(Table):
    """One-way delays between zones and to the clients."""

    same_ms: NonNegativeMs = 0.25
    cross_ms: NonNegativeMs = 4.0
    client_ms: NonNegativeMs = 0.7
    jitter: Weight = 0.2
    hop_ms: NonNegativeMs = 0.2  # virtual only: cost of a delivery besides the delay, as measured on loopback


class GatewayGroup(Table):
    """A group of `count` equal gateways, numbered after `name` and spread over the zones."""

    name: Name = "g"
    count: PositiveCount = 6
    zone: Name | None = None
    cells: PositiveCount = 3
    cores: PositiveCount = 2
    speed: Factor = 1.0
    queue: Count = 64
    setup_ms: PositiveMs = 8.0
    line_ms: PositiveMs = 4.0
    probe_ms: PositiveMs = 0.25
    holds: PositiveCount = 200
    warm_from: Annotated[float, Meta(gt=0, le=1)] = 0.2
    warm_s: Seconds = 15.0
    falls_over: Factor = 4.0
    fall_window_ms: PositiveMs = 1000.0
    falls_at: Factor = 2.5
    report_ms: PositiveMs = 200.0
    tells_load: bool = False  # reports the load of each connection on a line after UP
    weight: Factor = 1.0
    weight_error: FactorRange | None = (
        None  # range of the random factor on each registered weight; None: no error
    )


class StoreTable(Table):
    """The store that gateways call when they set up a session."""

    at_once: PositiveCount = 8
    call_ms: PositiveMs = 10.0
    queue: Count = 400


class DiscoveryTable(Table):
    """Delays with which discovery learns of changes and of dead servers."""

    late_ms: NonNegativeMs = 1500.0
    finds_dead_ms: NonNegativeMs = 4000.0


class Proxies(Table):
    """Number, limits and cluster settings of the proxies."""

    count: Annotated[int, Meta(ge=1, le=200)] = 2
    sockets: Annotated[int, Meta(ge=64, le=65_536)] = 4096
    memory_mb: Annotated[float, Meta(ge=16)] = 192.0
    dials: Annotated[int, Meta(ge=1, le=100)] = 3
    connect_ms: PositiveMs = 500.0
    longest_wait_ms: NonNegativeMs = 1500.0
    probes: bool = True
    weights: Literal["registered", "off"] = "registered"
    packets_pass: bool = False
    restart_s: Seconds | None = 1.0
    peers: bool = False  # they form a cluster
    roster: bool = False
    zoned: bool = (
        False  # full views within a zone only; each zone is a region of its own
    )
    seeds: PositiveCount = 3
    meant: Annotated[int, Meta(ge=1, le=100_000)] | None = (
        None  # the configured number of proxies; default: count
    )
    period_ms: Annotated[float, Meta(ge=50, le=60_000)] = 200.0
    patience_ms: Annotated[float, Meta(ge=10, le=60_000)] = 80.0


class DivergentInstance(Table):
    """An instance whose configuration differs, so that the others must not accept it."""

    on: Name
    cluster: Name | None = None
    key: bool = False  # a different cluster key
    version: bool = False  # a different version of the peer protocol
    claims: Name | None = (
        None  # the name of another instance, which it uses towards its peers
    )


class InstanceLimits(Table):
    """Limits of one proxy that differ from those of all proxies."""

    on: Name
    sockets: Annotated[int, Meta(ge=64, le=65_536)] | None = None
    memory_mb: Annotated[float, Meta(ge=16)] | None = None


class FleetLimits(Table):
    """Limits of the judges of instances that know their peers, in ms."""

    agree_ms: PositiveMs = (
        5000.0  # from the end of the last fault until all views are equal
    )
    false_ms: PositiveMs = (
        2000.0  # longest time for which a live or paused instance is considered dead
    )
    told_ms: PositiveMs = 1000.0  # until all reachable proxies know of a drain
    known_ms: PositiveMs = 8000.0  # until all reachable proxies know of a death
    apart_ms: PositiveMs = 8000.0  # until an isolated zone reports that it is cut off


class FrontTable(Table):
    """The front that spreads connections over the proxies."""

    notice_ms: NonNegativeMs = 1500.0
    ask_ms: PositiveMs = 100.0
    shares: FactorRange | None = (
        None  # range of each proxy's random weight among those of its zone; None: equal weights
    )


class ClientGroup(Table):
    """A group of `count` clients that arrive within `within_s`.

    `life_s`, `rest_s` and `think_ms` are means of exponential distributions.
    """

    name: Name
    count: PositiveCount
    listener: Name
    desk: Name | None = None
    zone: Name | None = None
    groups: Count = 0
    within_s: Seconds = 3.0
    life_s: Annotated[float, Meta(gt=0)] = 20.0
    rest_s: Seconds = 1.0
    think_ms: PositiveMs = 2000.0
    gives_up_ms: PositiveMs | None = None
    retry: Literal["at once", "wait", "never"] = "wait"
    wait_ms: PositiveMs = 500.0
    honours: Fraction = 1.0
    tries: PositiveCount = 5
    returns: bool = True
    leaves: Fraction = 0.0
    load_sigma: Annotated[float, Meta(ge=0, le=3)] = (
        0.0  # standard deviation of the logarithm of a session's load, whose mean is 1
    )


class ScriptEvent(Table):
    """A fault or another event, and the time or condition that starts it."""

    do: Literal[(*GATEWAY_EVENTS, *PROXY_EVENTS, *FLEET_EVENTS, *PEER_EVENTS)]
    at_s: Seconds | None = None
    when: str | None = None
    on: Name | None = None
    with_: Name | None = field(default=None, name="with")
    for_s: Annotated[float, Meta(gt=0)] | None = None
    factor: Factor | None = None
    share: Fraction = 0.5
    within_s: Seconds = 2.0
    one_way: bool = False
    word: Literal["OPEN", "UP", "BUSY", "DONE"] = "UP"
    bytes: Count = 1
    wait_ms: NonNegativeMs = 0.0
    then: Literal["on", "reset", "half-open"] = "on"
    times: PositiveCount = 1
    leaves_s: Seconds = 3.0
    parts: list[Name] = []  # of a split: comma-separated names of each part
    cut: bool = False
    loss: Fraction = 0.0
    doubled: Fraction = 0.0
    overtaken: Fraction = 0.0
    spoilt: Fraction = 0.0
    crawl: Count = 0  # bytes per second of a throttled stream; 0: unlimited
    key: bool = False  # the stranger has the cluster's key


class Script(Table):
    """A whole script: the system, its clients and the events of the run."""

    name: Name
    about: str
    seconds: Annotated[float, Meta(gt=0, le=3600)]
    listener: Annotated[list[ListenerTable], Meta(min_length=1)]
    clients: Annotated[list[ClientGroup], Meta(min_length=1)]
    seed: int = 1
    zones: list[Name] = field(default_factory=lambda: ["east"])
    desk: list[Name] = []
    rules: Rules = field(default_factory=Rules)
    network: Network = field(default_factory=Network)
    gateways: list[GatewayGroup] = field(default_factory=lambda: [GatewayGroup()])
    store: StoreTable = field(default_factory=StoreTable)
    discovery: DiscoveryTable = field(default_factory=DiscoveryTable)
    proxies: Proxies = field(default_factory=Proxies)
    front: FrontTable = field(default_factory=FrontTable)
    fleet: FleetLimits = field(default_factory=FleetLimits)
    odd: list[DivergentInstance] = []
    instance: list[InstanceLimits] = []
    event: list[ScriptEvent] = []


SERVER_HOLDS = re.compile(r"(?P<on>[!-~]+) holds (?P<count>[0-9]+) sessions")
BETWEEN_OPEN_AND_UP = re.compile(
    r"between OPEN and UP of the next session(?: at (?P<on>[!-~]+))?"
)
SESSIONS_REQUESTED = re.compile(r"(?P<count>[0-9]+) sessions were asked for")
MEMBER_STATE_SEEN = re.compile(
    r"(?P<proxy>[!-~]+) (?P<what>suspects|buries|meets) (?P<other>[!-~]+)"
)
MESSAGES_SENT = re.compile(
    r"(?P<proxy>[!-~]+) has sent (?P<count>[0-9]+) messages of kind (?P<kind>[!-~]+)"
)
CONDITIONS = (
    SERVER_HOLDS,
    BETWEEN_OPEN_AND_UP,
    SESSIONS_REQUESTED,
    MEMBER_STATE_SEEN,
    MESSAGES_SENT,
)
MEMBER_STATES = {"suspects": "suspect", "buries": "dead", "meets": "alive"}


def list_gateways(script):
    """Return (name, group, zone, cell) of each gateway, in order.

    Cells are numbered across all zones.
    """
    gateways = []
    for group in script.gateways:
        for number in range(1, group.count + 1):
            zone = group.zone or script.zones[(number - 1) % len(script.zones)]
            gateways.append(
                (f"{group.name}{number}", group, zone, (number - 1) % group.cells)
            )
    return gateways


def proxy_names(script):
    """Return the names of the proxies, in order."""
    return [f"n{number}" for number in range(1, script.proxies.count + 1)]


def expand_names(script, text):
    """Return the names that a comma-separated text stands for.

    A zone stands for all proxies and gateways in it, `all` for every proxy.
    """
    names = {}
    for part in (text or "").split(","):
        if part == "all":
            names.update(dict.fromkeys(proxy_names(script)))
        elif part in script.zones:
            names.update(
                {
                    name: None
                    for index, name in enumerate(proxy_names(script))
                    if script.zones[index % len(script.zones)] == part
                }
            )
            names.update(
                {
                    name: None
                    for name, _, zone, _ in list_gateways(script)
                    if zone == part
                }
            )
        else:
            names[part] = None
    return list(names)


def peer_event_errors(event, path, script, gateways, proxies):
    """Yield the errors of an event that concerns proxies and their peers."""
    if not script.proxies.peers:
        yield f"{path}.do: {event.do} requires proxies.peers"
    targets = {
        "on": event.on,
        "with": event.with_,
        **{f"parts[{index}]": part for index, part in enumerate(event.parts)},
    }
    for key, text in targets.items():
        for name in expand_names(script, text) if text else ():
            if name not in proxies and not (event.do == "split" and name in gateways):
                yield f"{path}.{key}: {name!r} is not a proxy" + (
                    " or gateway" if event.do == "split" else ""
                )
    if event.do == "split" and len(event.parts) < 2:
        yield f"{path}.parts: at least two are required"
    if event.do == "link" and not (
        event.cut
        or event.loss
        or event.doubled
        or event.overtaken
        or event.spoilt
        or event.wait_ms
        or event.crawl
        or event.then != "on"
    ):
        yield f"{path}: a link event without any fault"
    if event.do in ("link", "link-flap", "replay") and not event.with_:
        yield f"{path}.with: is missing"


def script_errors(script):
    """Yield the errors of a script that its types alone do not show."""
    gateways = [name for name, *_ in list_gateways(script)]
    proxies = proxy_names(script)
    for section, names in (
        ("gateways", gateways),
        ("listener", [item.name for item in script.listener]),
        ("clients", [item.name for item in script.clients]),
        ("zones", script.zones),
        ("desk", script.desk),
    ):
        for name in dict.fromkeys(
            name for index, name in enumerate(names) if name in names[:index]
        ):
            yield f"{section}: {name!r} is listed twice"
    if script.proxies.zoned and (not script.proxies.peers or script.proxies.roster):
        yield "proxies.zoned: requires proxies.peers, without a roster"
    if script.proxies.zoned and script.proxies.count < len(script.zones):
        yield "proxies.zoned: a zone has no proxy"
    if not script.zones:
        yield "zones: is empty"
    listeners = {item.name for item in script.listener}
    for index, gateway_group in enumerate(script.gateways):
        if gateway_group.zone is not None and gateway_group.zone not in script.zones:
            yield f"gateways[{index}].zone: {gateway_group.zone!r} is not one of zones"
        if (
            gateway_group.weight_error
            and gateway_group.weight_error[0] > gateway_group.weight_error[1]
        ):
            yield f"gateways[{index}].weight_error: lowest {gateway_group.weight_error[0]:g} is above highest {gateway_group.weight_error[1]:g}"
    if script.proxies.weights == "off" and any(
        gateway_group.weight_error for gateway_group in script.gateways
    ):
        yield 'gateways: weight_error requires proxies.weights = "registered"'
    if script.front.shares and script.front.shares[0] > script.front.shares[1]:
        yield f"front.shares: lowest {script.front.shares[0]:g} is above highest {script.front.shares[1]:g}"
    for index, client_group in enumerate(script.clients):
        path = f"clients[{index}]"
        if client_group.listener not in listeners:
            yield (
                f"{path}.listener: {client_group.listener!r} is not one of "
                + ", ".join(sorted(listeners))
            )
        if (
            client_group.desk is not None
            and script.desk
            and client_group.desk not in script.desk
        ):
            yield f"{path}.desk: {client_group.desk!r} is not one of " + ", ".join(
                script.desk
            )
        if client_group.zone is not None and client_group.zone not in script.zones:
            yield f"{path}.zone: {client_group.zone!r} is not one of zones"
        if client_group.within_s > script.seconds:
            yield f"{path}.within_s: is past the end of the script"
    for index, item in enumerate(script.instance):
        if item.on not in proxies:
            yield f"instance[{index}].on: {item.on!r} is not a proxy"
    for index, odd in enumerate(script.odd):
        for key, name in (("on", odd.on), ("claims", odd.claims)):
            if name is not None and name not in proxies:
                yield f"odd[{index}].{key}: {name!r} is not a proxy"
        if not (odd.cluster or odd.key or odd.version or odd.claims):
            yield f"odd[{index}]: nothing differs"
    down = {}
    for index, event in sorted(
        enumerate(script.event), key=lambda item: (item[1].at_s or 0.0, item[0])
    ):
        yield from event_errors(
            event, f"event[{index}]", script, gateways, proxies, down
        )


def event_errors(event, path, script, gateways, proxies, down):
    """Yield the errors of one event.

    Args:
        event: the event.
        path: where it is in the script.
        script: the whole script.
        gateways: the names of all gateways.
        proxies: the names of all proxies.
        down: gateway name -> path of the event that stopped it for good. Updated here,
            so events are checked in order of time.
    """
    if (event.at_s is None) == (event.when is None):
        yield f"{path}: requires either at_s or when"
    if event.at_s is not None and event.at_s >= script.seconds:
        yield f"{path}.at_s: {event.at_s:g} is past the end of the script, {script.seconds:g}"
    if (
        event.at_s is not None
        and event.for_s
        and event.at_s + event.for_s > script.seconds
    ):
        yield f"{path}.for_s: lasts past the end of the script, {script.seconds:g}"
    match = event.when and next(
        filter(None, (pattern.fullmatch(event.when) for pattern in CONDITIONS)), None
    )
    if event.when and not match:
        yield (
            f"{path}.when: {event.when!r} is not one of 'NAME holds N sessions', 'between OPEN and UP of the "
            f"next session [at NAME]', 'N sessions were asked for', 'NAME suspects|buries|meets NAME', "
            f"'NAME has sent N messages of kind K'"
        )
    if match and match.re in (MEMBER_STATE_SEEN, MESSAGES_SENT):
        if not script.proxies.peers:
            yield f"{path}.when: requires proxies.peers"
        for name in (match["proxy"], match.groupdict().get("other", match["proxy"])):
            if name not in proxies:
                yield f"{path}.when: {name!r} is not a proxy"
    if event.do in PEER_EVENTS:
        yield from peer_event_errors(event, path, script, gateways, proxies)
        if event.on is None and event.do != "split":
            yield f"{path}.on: {event.do} requires a target"
        return
    condition_target = match.groupdict().get("on") if match else None
    if condition_target not in (None, *gateways):
        yield f"{path}.when: {condition_target!r} is not a gateway"
    if match and match.re is BETWEEN_OPEN_AND_UP:
        condition_target = condition_target or "the server of the session"
    allowed_targets = (
        gateways
        if event.do in GATEWAY_EVENTS
        else proxies
        if event.do in PROXY_EVENTS
        else gateways + proxies
    )
    if event.do == "way":
        allowed_targets = allowed_targets + script.zones
    if (
        event.on is None
        and event.do in (*GATEWAY_EVENTS, *PROXY_EVENTS, "cut", "partition", "way")
        and not condition_target
    ):
        yield f"{path}.on: {event.do} requires a target"
    if event.on is not None and event.do in ("store-slower", "herd", "costly"):
        yield f"{path}.on: {event.do} takes no target"
    elif (
        event.on is not None
        and event.on not in allowed_targets
        and not (event.do == "cut" and event.on == "clients")
    ):
        yield f"{path}.on: {event.on!r} is not one of {allowed_targets[0]} to {allowed_targets[-1]}"
    if event.do == "partition" and event.with_ not in gateways + proxies:
        yield f"{path}.with: {event.with_!r} is neither a gateway nor a proxy"
    if event.do == "way" and event.with_ not in allowed_targets:
        yield f"{path}.with: {event.with_!r} is not a gateway, proxy or zone"
    if event.do in FACTOR_EVENTS and event.factor is None:
        yield f"{path}.factor: is missing"
    if event.at_s is None:
        return
    if event.do in ("silent", "kill"):
        if event.on in down:
            yield f"{path}: {event.on} was already stopped by {down[event.on]}"
        elif not event.for_s:
            down[event.on] = path
    elif event.do == "back":
        down.pop(event.on, None)
        if not any(
            other is not event
            and other.on == event.on
            and (other.at_s or 0.0) <= event.at_s
            for other in script.event
        ):
            yield f"{path}: no earlier event concerns {event.on}"


def parse_script(values):
    """Return the script with these values.

    Raises:
        ConfigurationError: One line an error.
    """
    script = checked.convert(values, Script)
    errors = list(script_errors(script))
    if errors:
        raise ConfigurationError("\n".join(errors))
    return script


def read(path, changes=()):
    """Return the script at `path`.

    Args:
        path: a TOML file.
        changes: (key path, TOML value) pairs that replace values of the file. Key paths
            are such as `proxies.count` and `gateways.0.cores`.

    Raises:
        ConfigurationError: One line an error.
    """
    values = checked.load_toml(path)
    for key, value in changes:
        *parents, last = key.split(".")
        container = values
        for parent in parents:
            container = (
                container[int(parent)]
                if isinstance(container, list)
                else container.setdefault(parent, {})
            )
        container[int(last) if isinstance(container, list) else last] = value
    return parse_script(values)
