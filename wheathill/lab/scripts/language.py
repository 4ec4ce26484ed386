"""An incident's script: TOML, checked whole like any configuration; every fault is named with its place."""

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

Times = Annotated[float, Meta(gt=0, le=1000)]
Many = Annotated[int, Meta(ge=1, le=100_000)]
Span = Annotated[list[Times], Meta(min_length=2, max_length=2)]  # from, to

ON_GATEWAY = (
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
ON_PROXY = (
    "proxy-kill",
    "proxy-roll",
    "proxy-pause",
    "proxy-reload",
    "proxy-upgrade",
    "callers",
)
ON_ALL = (
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
# Between instances that are processes and know their peers; ON_SETS name several with commas between, or a zone.
ON_SETS = ("link", "link-flap", "ring", "replay")
ON_PEERS = (*ON_SETS, "split", "proxy-starve", "stranger")
PROVEN = (
    *ON_PEERS,
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
NEEDS_FACTOR = ("slow", "store-slower", "costly", "untrue")


class Rules(Table):
    drain_grace_ms: NonNegativeMs = 500.0
    cold_multiple: Times = 4.0
    cold_window_ms: PositiveMs = 1000.0
    further_dials_s: Seconds = 0.0
    further_dials_free: Count = 0
    further_dials_share: Fraction = 0.0
    only_draining_binds: bool = False


class Net(Table):
    same_ms: NonNegativeMs = 0.25
    cross_ms: NonNegativeMs = 4.0
    client_ms: NonNegativeMs = 0.7
    jitter: Weight = 0.2
    hop_ms: NonNegativeMs = 0.2  # virtual only: what a delivery costs beside the way, as measured on loopback


class Gateways(Table):
    """A kind of gateway, `count` of them, named after `name` and dealt over the zones."""

    name: Name = "g"
    count: Many = 6
    zone: Name | None = None
    cells: Many = 3
    cores: Many = 2
    speed: Times = 1.0
    queue: Count = 64
    setup_ms: PositiveMs = 8.0
    line_ms: PositiveMs = 4.0
    probe_ms: PositiveMs = 0.25
    holds: Many = 200
    warm_from: Annotated[float, Meta(gt=0, le=1)] = 0.2
    warm_s: Seconds = 15.0
    falls_over: Times = 4.0
    fall_window_ms: PositiveMs = 1000.0
    falls_at: Times = 2.5
    report_ms: PositiveMs = 200.0
    tells_load: bool = False  # each connection's load, on a line after UP
    weight: Times = 1.0
    weight_error: Span | None = (
        None  # each registers its weight times a factor drawn between; None: as it is
    )


class StoreTable(Table):
    at_once: Many = 8
    call_ms: PositiveMs = 10.0
    queue: Count = 400


class Registry(Table):
    late_ms: NonNegativeMs = 1500.0
    finds_dead_ms: NonNegativeMs = 4000.0


class Proxies(Table):
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
    peers: bool = False  # processes only: they know one another
    roster: bool = False
    zoned: bool = (
        False  # whole views within a zone only; each zone is a region of its own
    )
    seeds: Many = 3
    meant: Annotated[int, Meta(ge=1, le=100_000)] | None = (
        None  # as the file says; the count where left out
    )
    period_ms: Annotated[float, Meta(ge=50, le=60_000)] = 200.0
    patience_ms: Annotated[float, Meta(ge=10, le=60_000)] = 80.0


class Odd(Table):
    """One instance whose file differs from the others'; it is meant to stay apart."""

    on: Name
    cluster: Name | None = None
    key: bool = False  # another one
    version: bool = False  # of what instances say to one another
    claims: Name | None = (
        None  # the name of another, under which it speaks to its peers
    )


class Instance(Table):
    """What one proxy is allowed, where it is not what all are."""

    on: Name
    sockets: Annotated[int, Meta(ge=64, le=65_536)] | None = None
    memory_mb: Annotated[float, Meta(ge=16)] | None = None


class Fleet(Table):
    """What is judged of instances that know their peers, in ms."""

    agree_ms: PositiveMs = 5000.0  # after the last fault's end all views are equal
    false_ms: PositiveMs = (
        2000.0  # no longer is one held dead that answered before, or only stands still
    )
    told_ms: PositiveMs = 1000.0  # until all that can be reached know of a drain
    known_ms: PositiveMs = 8000.0  # until a death is known to all that can know it
    apart_ms: PositiveMs = (
        8000.0  # until a zone says that it is cut off from all others
    )


class FrontTable(Table):
    notice_ms: NonNegativeMs = 1500.0
    ask_ms: PositiveMs = 100.0
    shares: Span | None = (
        None  # what a proxy gets beside the others of its zone, drawn between; None: alike
    )


class Clients(Table):
    """A crowd: `count` clients that come within `within_s`; means are of exponential lives, rests and
    pauses."""

    name: Name
    count: Many
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
    tries: Many = 5
    returns: bool = True
    leaves: Fraction = 0.0
    load_sigma: Annotated[float, Meta(ge=0, le=3)] = (
        0.0  # of the logarithm of a session's load, by mean 1
    )


class Event(Table):
    do: Literal[(*ON_GATEWAY, *ON_PROXY, *ON_ALL, *ON_PEERS)]
    at_s: Seconds | None = None
    when: str | None = None
    on: Name | None = None
    with_: Name | None = field(default=None, name="with")
    for_s: Annotated[float, Meta(gt=0)] | None = None
    factor: Times | None = None
    share: Fraction = 0.5
    within_s: Seconds = 2.0
    one_way: bool = False
    word: Literal["OPEN", "UP", "BUSY", "DONE"] = "UP"
    bytes: Count = 1
    wait_ms: NonNegativeMs = 0.0
    then: Literal["on", "reset", "half-open"] = "on"
    times: Many = 1
    leaves_s: Seconds = 3.0
    parts: list[Name] = []  # of a split: each with commas between its names
    cut: bool = False
    loss: Fraction = 0.0
    doubled: Fraction = 0.0
    overtaken: Fraction = 0.0
    spoilt: Fraction = 0.0
    crawl: Count = 0  # of streams, bytes a second
    key: bool = False  # a stranger that has the cluster's key


class Script(Table):
    name: Name
    about: str
    seconds: Annotated[float, Meta(gt=0, le=3600)]
    listener: Annotated[list[ListenerTable], Meta(min_length=1)]
    clients: Annotated[list[Clients], Meta(min_length=1)]
    seed: int = 1
    zones: list[Name] = field(default_factory=lambda: ["east"])
    desk: list[Name] = []
    rules: Rules = field(default_factory=Rules)
    network: Net = field(default_factory=Net)
    gateways: list[Gateways] = field(default_factory=lambda: [Gateways()])
    store: StoreTable = field(default_factory=StoreTable)
    discovery: Registry = field(default_factory=Registry)
    proxies: Proxies = field(default_factory=Proxies)
    front: FrontTable = field(default_factory=FrontTable)
    fleet: Fleet = field(default_factory=Fleet)
    odd: list[Odd] = []
    instance: list[Instance] = []
    event: list[Event] = []


HOLDS = re.compile(r"(?P<on>[!-~]+) holds (?P<count>[0-9]+) sessions")
BETWEEN = re.compile(r"between OPEN and UP of the next session(?: at (?P<on>[!-~]+))?")
ASKED = re.compile(r"(?P<count>[0-9]+) sessions were asked for")
SAYS = re.compile(
    r"(?P<proxy>[!-~]+) (?P<what>suspects|buries|meets) (?P<other>[!-~]+)"
)
SENT = re.compile(
    r"(?P<proxy>[!-~]+) has sent (?P<count>[0-9]+) messages of kind (?P<kind>[!-~]+)"
)
CONDITIONS = (HOLDS, BETWEEN, ASKED, SAYS, SENT)
SAID = {"suspects": "suspect", "buries": "dead", "meets": "alive"}


def gateway_names(script):
    """(name, its kind, zone, cell), in order; cells are numbered within the whole fleet."""
    found = []
    for kind in script.gateways:
        for number in range(1, kind.count + 1):
            zone = kind.zone or script.zones[(number - 1) % len(script.zones)]
            found.append(
                (f"{kind.name}{number}", kind, zone, (number - 1) % kind.cells)
            )
    return found


def proxy_names(script):
    return [f"n{number}" for number in range(1, script.proxies.count + 1)]


def expand(script, text):
    """The names that `text` means: with commas between, zones for all that is there, `all` for every proxy."""
    found = {}
    for word in (text or "").split(","):
        if word == "all":
            found.update(dict.fromkeys(proxy_names(script)))
        elif word in script.zones:
            found.update(
                {
                    name: None
                    for place, name in enumerate(proxy_names(script))
                    if script.zones[place % len(script.zones)] == word
                }
            )
            found.update(
                {
                    name: None
                    for name, _, zone, _ in gateway_names(script)
                    if zone == word
                }
            )
        else:
            found[word] = None
    return list(found)


def peer_faults(event, at, script, gateways, proxies):
    if not script.proxies.peers:
        yield f"{at}.do: {event.do} needs proxies.peers"
    named = {
        "on": event.on,
        "with": event.with_,
        **{f"parts[{place}]": part for place, part in enumerate(event.parts)},
    }
    for key, text in named.items():
        for name in expand(script, text) if text else ():
            if name not in proxies and not (event.do == "split" and name in gateways):
                yield f"{at}.{key}: {name!r} is no proxy" + (
                    " or gateway" if event.do == "split" else ""
                )
    if event.do == "split" and len(event.parts) < 2:
        yield f"{at}.parts: needs two at least"
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
        yield f"{at}: a link that nothing befalls"
    if event.do in ("link", "link-flap", "replay") and not event.with_:
        yield f"{at}.with: is missing"


def contradictions(script):
    gateways = [name for name, *_ in gateway_names(script)]
    proxies = proxy_names(script)
    for what, names in (
        ("gateways", gateways),
        ("listener", [item.name for item in script.listener]),
        ("clients", [item.name for item in script.clients]),
        ("zones", script.zones),
        ("desk", script.desk),
    ):
        for name in dict.fromkeys(
            name for place, name in enumerate(names) if name in names[:place]
        ):
            yield f"{what}: {name!r} stands twice"
    if script.proxies.zoned and (not script.proxies.peers or script.proxies.roster):
        yield "proxies.zoned: needs proxies.peers, without a roster"
    if script.proxies.zoned and script.proxies.count < len(script.zones):
        yield "proxies.zoned: a zone is without proxies"
    if not script.zones:
        yield "zones: names none"
    listeners = {item.name for item in script.listener}
    for place, kind in enumerate(script.gateways):
        if kind.zone is not None and kind.zone not in script.zones:
            yield f"gateways[{place}].zone: {kind.zone!r} is not one of zones"
        if kind.weight_error and kind.weight_error[0] > kind.weight_error[1]:
            yield f"gateways[{place}].weight_error: from {kind.weight_error[0]:g} to less, {kind.weight_error[1]:g}"
    if script.proxies.weights == "off" and any(
        kind.weight_error for kind in script.gateways
    ):
        yield 'gateways: a weight_error needs proxies.weights = "registered"'
    if script.front.shares and script.front.shares[0] > script.front.shares[1]:
        yield f"front.shares: from {script.front.shares[0]:g} to less, {script.front.shares[1]:g}"
    for place, crowd in enumerate(script.clients):
        at = f"clients[{place}]"
        if crowd.listener not in listeners:
            yield f"{at}.listener: {crowd.listener!r} is none of " + ", ".join(
                sorted(listeners)
            )
        if crowd.desk is not None and script.desk and crowd.desk not in script.desk:
            yield f"{at}.desk: {crowd.desk!r} is none of " + ", ".join(script.desk)
        if crowd.zone is not None and crowd.zone not in script.zones:
            yield f"{at}.zone: {crowd.zone!r} is not one of zones"
        if crowd.within_s > script.seconds:
            yield f"{at}.within_s: past the script's end"
    for place, item in enumerate(script.instance):
        if item.on not in proxies:
            yield f"instance[{place}].on: {item.on!r} is no proxy"
    for place, odd in enumerate(script.odd):
        for key, name in (("on", odd.on), ("claims", odd.claims)):
            if name is not None and name not in proxies:
                yield f"odd[{place}].{key}: {name!r} is no proxy"
        if not (odd.cluster or odd.key or odd.version or odd.claims):
            yield f"odd[{place}]: nothing in which it differs"
    down = {}
    for place, event in sorted(
        enumerate(script.event), key=lambda item: (item[1].at_s or 0.0, item[0])
    ):
        yield from event_faults(
            event, f"event[{place}]", script, gateways, proxies, down
        )


def event_faults(event, at, script, gateways, proxies, down):
    if (event.at_s is None) == (event.when is None):
        yield f"{at}: needs one of at_s and when"
    if event.at_s is not None and event.at_s >= script.seconds:
        yield f"{at}.at_s: {event.at_s:g} is past the script's end, {script.seconds:g}"
    if (
        event.at_s is not None
        and event.for_s
        and event.at_s + event.for_s > script.seconds
    ):
        yield f"{at}.for_s: lasts past the script's end, {script.seconds:g}"
    match = event.when and next(
        filter(None, (form.fullmatch(event.when) for form in CONDITIONS)), None
    )
    if event.when and not match:
        yield (
            f"{at}.when: {event.when!r} is none of 'NAME holds N sessions', 'between OPEN and UP of the "
            f"next session [at NAME]', 'N sessions were asked for', 'NAME suspects|buries|meets NAME', "
            f"'NAME has sent N messages of kind K'"
        )
    if match and match.re in (SAYS, SENT):
        if not script.proxies.peers:
            yield f"{at}.when: needs proxies.peers"
        for name in (match["proxy"], match.groupdict().get("other", match["proxy"])):
            if name not in proxies:
                yield f"{at}.when: {name!r} is no proxy"
    if event.do in ON_PEERS:
        yield from peer_faults(event, at, script, gateways, proxies)
        if event.on is None and event.do != "split":
            yield f"{at}.on: {event.do} needs to know on what"
        return
    named = match.groupdict().get("on") if match else None
    if named not in (None, *gateways):
        yield f"{at}.when: {named!r} is no gateway"
    if match and match.re is BETWEEN:
        named = named or "the session's own"
    known = (
        gateways
        if event.do in ON_GATEWAY
        else proxies
        if event.do in ON_PROXY
        else gateways + proxies
    )
    if event.do == "way":
        known = known + script.zones
    if (
        event.on is None
        and event.do in (*ON_GATEWAY, *ON_PROXY, "cut", "partition", "way")
        and not named
    ):
        yield f"{at}.on: {event.do} needs to know on what"
    if event.on is not None and event.do in ("store-slower", "herd", "costly"):
        yield f"{at}.on: {event.do} concerns all"
    elif (
        event.on is not None
        and event.on not in known
        and not (event.do == "cut" and event.on == "clients")
    ):
        yield f"{at}.on: {event.on!r} is none of {known[0]} to {known[-1]}"
    if event.do == "partition" and event.with_ not in gateways + proxies:
        yield f"{at}.with: {event.with_!r} is neither a gateway nor a proxy"
    if event.do == "way" and event.with_ not in known:
        yield f"{at}.with: {event.with_!r} is no gateway, proxy or zone"
    if event.do in NEEDS_FACTOR and event.factor is None:
        yield f"{at}.factor: is missing"
    if event.at_s is None:
        return
    if event.do in ("silent", "kill"):
        if event.on in down:
            yield f"{at}: {event.on} is gone already since {down[event.on]}"
        elif not event.for_s:
            down[event.on] = at
    elif event.do == "back":
        down.pop(event.on, None)
        if not any(
            other is not event
            and other.on == event.on
            and (other.at_s or 0.0) <= event.at_s
            for other in script.event
        ):
            yield f"{at}: nothing has befallen {event.on} before"


def script_of(values):
    script = checked.convert(values, Script)
    wrong = list(contradictions(script))
    if wrong:
        raise ConfigurationError("\n".join(wrong))
    return script


def read(path, changes=()):
    """The script at `path`, with (key path, TOML value) pairs set on top, as `proxies.count`,
    `gateways.0.cores`."""
    values = checked.load_toml(path)
    for key, value in changes:
        *way, last = key.split(".")
        place = values
        for step in way:
            place = (
                place[int(step)]
                if isinstance(place, list)
                else place.setdefault(step, {})
            )
        place[int(last) if isinstance(place, list) else last] = value
    return script_of(values)
