"""What one process of a proxy tells the one that takes over: its state as plain objects, and back.

All times are milliseconds of the machine's monotonic clock, which both read. What comes is checked whole
before any of it is used: `Told.apply` raises ValueError with the proxy as it was.
"""

import math

from wheathill.model import Listener, Phase, Server, Session

VERSION = 1
CHUNK = 1000  # keys, ids or names in one message: none takes the loop for long
SHORTEST = 40  # bytes of an entry of a list that can be read

# Name on the wire -> field of `Session`.
SESSION_FLAGS = {
    "mid_flow": "mid_flow",
    "returning": "returning",
    "repeat": "is_client_retry",
}
# Name on the wire -> field of `Server`.
SERVER_TIMES = {
    "started": "started_ms",
    "told": "leaving_since_ms",
    "late": "last_late_message_ms",
    "heard": "last_received_ms",
    "shift_after": "next_shift_ms",
    "move_after": "next_migration_ms",
    "asked": "last_probe_ms",
}


def tell(proxy):
    """The messages, in order; each is one object."""
    balancer, servers = proxy.balancer, list(proxy.servers.values())
    place = {server: at for at, server in enumerate(servers)}
    # A build that still keeps a credit for cold servers asks for one: it gets none.
    spent = {"credit": 0.0, "credited": proxy.now()}
    yield from server_chunks(
        [
            {**told_server(server, proxy.addresses.get(server)), **spent}
            for server in servers
        ],
        proxy.limits.list_line / 2,
    )
    table = balancer.table
    yield {
        "table": {
            **{
                name: [place.get(server) for server in getattr(table, name)]
                for name in ("home", "current", "new")
            },
            "opened": list(table.opened.items()),
        }
    }
    for name in ("moved", "exceptions"):
        known = [
            (key, place[server], when)
            for key, (server, when) in getattr(table, name).items()
            if server in place
        ]
        yield from chunks(name, known)
    yield from chunks("ids", list(proxy.ids))
    yield from chunks("names", list(proxy.names))
    roster, first = balancer.roster, balancer.first
    yield {
        "rest": {
            "seen": proxy.seen,
            "discovery": proxy.node.discovery,
            "out": roster.out,
            "back": roster.back,
            "bearable": balancer.levels.bearable,
            "earned": balancer.probes.earned,
            "window": first.window,
            "cut_at": first.cut_at,
            "next_at": first.next_at,
            "further": list(balancer.budget.spent),
            "dials": [
                (when, place[server], well)
                for when, server, well in balancer.health.dials
                if server in place
            ],
        }
    }


def chunks(name, known):
    for at in range(0, len(known), CHUNK):
        yield {name: known[at : at + CHUNK]}


def server_chunks(told, most):
    """Messages of some `most` bytes. All in one where they fit: builds that take but one read that."""
    part, size = [], 0
    for one in told:
        longer = (
            700
            + len(one["name"])
            + 20 * len(one["dialled"])
            + 45 * (len(one["samples"]) + len(one["results"]))
        )
        if part and size + longer > most:
            yield {"servers": part}
            part, size = [], 0
        part.append(one)
        size += longer
    yield {"servers": part}


def told_server(server, address):
    return {
        "name": server.name,
        "address": address,
        "zone": server.zone,
        "cell": server.cell,
        "phase": server.phase.value,
        "listed": server.listed_phase.value,
        "silent": server.unanswered_probes,
        "doubted": server.is_removal_unconfirmed,
        "samples": list(server.load_samples),
        "results": list(server.recent_results),
        "dialled": list(server.attempt_times_ms),
        **{name: getattr(server, field) for name, field in SERVER_TIMES.items()},
        "weight": server.weight,
    }


class Told:
    """Collects the messages; `apply` gives them to a proxy that has just been made."""

    LISTS = ("servers", "moved", "exceptions", "ids", "names")

    def __init__(self, limits):
        self.limits = limits
        self.parts = {name: [] for name in self.LISTS[1:]}

    def most(self, name):
        """That one process may hold: by its descriptors, of which a session takes two while, beyond the limit, there
        are no more ids of sessions that are over than of open ones; and by the longest list. Servers come first."""
        limits = self.limits
        return {
            "servers": limits.list_line // SHORTEST,
            "ids": limits.ids + limits.sockets,
            "names": limits.names + len(self.parts.get("servers", ())),
        }.get(name, limits.ids + limits.names)

    def take(self, name, value):
        if name in self.LISTS:
            self.parts[name] = self.parts.get(name, []) + expect(value, list)
            if len(self.parts[name]) > self.most(name):
                raise ValueError(f"more than {self.most(name)} {name}")
        elif name in ("table", "rest"):
            self.parts[name] = expect(value, dict)
        else:
            raise ValueError(f"{str(name)[:40]!r} is no part of the state")

    def apply(self, proxy):
        """Raises ValueError with nothing changed."""
        try:
            changes = list(self.checked(proxy))
        except (KeyError, TypeError, IndexError, AttributeError) as wrong:
            raise ValueError(f"not a state: {wrong!r}") from None
        for change, *args in changes:
            change(*args)

    def checked(self, proxy):
        """Builds all that is to be set beside what stands; yields what sets it."""
        balancer, parts, rest = proxy.balancer, self.parts, self.parts["rest"]
        servers = [read_server(told) for told in parts["servers"]]
        by_name = {server.name: server for server in servers}
        if len(by_name) < len(servers):
            raise ValueError("a server stands there twice")
        addresses = {
            server: (
                expect(told["address"][0], str),
                int(number(told["address"][1], 0, 65535)),
            )
            for server, told in zip(servers, parts["servers"])
            if told["address"] is not None
        }
        table = balancer.table
        slots = {
            name: [
                None if at is None else servers[whole(at)]
                for at in expect(parts["table"][name], list)
            ]
            for name in ("home", "current", "new")
        }
        size = len(slots["home"])
        if any(len(found) != size for found in slots.values()):
            raise ValueError("tables of unlike sizes")
        opened = {whole(slot): number(when) for slot, when in parts["table"]["opened"]}
        if any(slot >= size or slots["new"][slot] is None for slot in opened):
            raise ValueError("a slot is said to move nowhere")
        known = {
            name: {
                expect(key, str): (servers[whole(at)], number(when))
                for key, at, when in parts[name]
            }
            for name in ("moved", "exceptions")
        }
        ready = {
            server: None
            for server in sorted(servers, key=lambda server: server.name)
            if server.phase is Phase.READY
        }
        # A slot that leads to a server that leaves would break the rule on drains.
        if any(
            server is not None and server not in ready
            for found in slots.values()
            for server in found
        ) or not all(server in addresses for server in ready):
            raise ValueError(
                "a slot leads to a server that is not ready, or one that is has no address"
            )
        if size != table.size:
            # Of a build with fewer or more slots: filled anew, as by a list.
            slots, opened = {}, {}
        ids, names = (
            {expect(name, str): None for name in parts[which]}
            for which in ("ids", "names")
        )
        out = {expect(name, str): number(since) for name, since in rest["out"].items()}
        back = {
            expect(name, str): (number(since), number(until))
            for name, (since, until) in rest["back"].items()
        }
        dials = [
            (number(when), servers[whole(at)], expect(well, bool))
            for when, at, well in rest["dials"]
        ]
        figures = {
            name: number(rest[name], 1e-6, 1e9) for name in ("bearable", "window")
        }
        times = {
            name: -math.inf if rest[name] is None else number(rest[name])
            for name in ("cut_at", "next_at")
        }
        # A process from before the budget tells none.
        further = [
            (number(when), number(utility)) for when, utility in rest.get("further", ())
        ]
        earned, seen = number(rest["earned"], -1e9, 1e9), whole(rest["seen"])
        yield proxy.servers.update, by_name
        yield proxy.addresses.update, addresses
        yield proxy.ids.update, ids
        yield proxy.names.update, names
        yield balancer.roster.servers.update, ready
        yield balancer.roster.out.update, out
        yield balancer.roster.back.update, back
        yield table.stand, list(ready), slots, opened, known
        yield setattr, balancer.levels, "bearable", figures["bearable"]
        # What comes over comes fast, and was reported long ago.
        yield setattr, balancer.levels, "held", figures["bearable"]
        yield setattr, balancer.probes, "earned", earned
        yield setattr, balancer.first, "window", figures["window"]
        for name, when in times.items():
            yield setattr, balancer.first, name, when
        yield balancer.health.dials.extend, dials
        yield balancer.budget.spent.extend, further
        if rest["discovery"] == list(proxy.node.discovery or ()):
            # Versions count at one address.
            yield setattr, proxy, "seen", seen


def expect(value, kind):
    if not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
        raise ValueError(f"{str(value)[:40]!r} is no {kind.__name__}")
    return value


def number(value, least=-1e15, most=1e15):
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{str(value)[:40]!r} is no number")
    if not least <= value <= most:
        raise ValueError(f"{value} is not within {least:g} and {most:g}")
    return value


def whole(value):
    if expect(value, int) < 0:
        raise ValueError(f"{value} is below 0")
    return value


def read_server(told):
    server = Server(
        expect(told["name"], str),
        zone=expect(told["zone"], int),
        cell=whole(told["cell"]),
        phase=Phase(told["phase"]),
        listed_phase=Phase(told["listed"]),
    )
    for name, field in SERVER_TIMES.items():
        if told[name] is not None:
            setattr(server, field, number(told[name]))
        elif name != "started":
            setattr(server, field, -math.inf)
    server.weight = number(told["weight"], 1e-9, 1e9)
    server.unanswered_probes = whole(told["silent"])
    server.is_removal_unconfirmed = expect(told.get("doubted", False), bool)
    server.load_samples.extend(
        (number(when), number(load)) for when, load in told["samples"]
    )
    server.recent_results.extend(
        (number(when), expect(well, bool)) for when, well in told["results"]
    )
    server.attempt_times_ms.extend(map(number, told["dialled"]))
    return server


# Sessions


def told_session(client, dial):
    """One that is up, with no byte waiting on either side."""
    sess = client.sess
    return {
        "line": client.head.line.decode(),
        "listener": sess.listener.name,
        "key": sess.key,
        "tenant": sess.tenant,
        "group": sess.group,
        "load": sess.load,
        "mid_flow": sess.mid_flow,
        "returning": sess.returning,
        "repeat": sess.is_client_retry,
        "accepted": sess.accepted_ms,
        "came": client.came,
        "asked": client.asked,
        "server": dial.server.name,
        "rest": dial.rest.decode("latin-1"),
    }


def read_session(told, listeners):
    """(line, session, what the machines have to know). Raises ValueError. A listener that the settings no
    longer name keeps its name until its sessions end."""
    try:
        name = expect(told["listener"], str)
        sess = Session(
            listener=listeners.get(name) or Listener(name),
            key=expect(told["key"], str),
            deadline_ms=number(told["accepted"]),
            tenant=whole(told["tenant"]),
            group=None if told["group"] is None else expect(told["group"], str),
            load=None if told["load"] is None else number(told["load"]),
            **{
                field: expect(told[flag], bool) for flag, field in SESSION_FLAGS.items()
            },
        )
        sess.accepted_ms = number(told["accepted"])
        return (
            expect(told["line"], str).encode(),
            sess,
            {
                "came": number(told["came"]),
                "asked": None if told["asked"] is None else number(told["asked"]),
                "server": expect(told["server"], str),
                "rest": expect(told["rest"], str).encode("latin-1"),
            },
        )
    except (KeyError, TypeError, UnicodeError) as wrong:
        raise ValueError(f"not a session: {wrong!r}") from None
