"""The adapter: the bench's wire on standard input and output, one Balancer per instance.

Ids become objects at this door; nothing is decided here.
"""

import json
import random
import sys

from wheathill.config import Misconfigured, Reader, balancer_settings, read_listeners
from wheathill.drill.timer_names import decode_timer, encode_timer
from wheathill.model import (
    AttemptOutcome,
    Idempotency,
    Listener,
    Phase,
    Server,
    Session,
    UpdateKind,
)
from wheathill.policy.balancer import Balancer

PHASES = {3: Phase.READY, 0: Phase.DRAINING, 2: Phase.GONE}
LIST_KINDS = {
    0: UpdateKind.DELTA,
    1: UpdateKind.SNAPSHOT,
    2: UpdateKind.CACHED,
    3: UpdateKind.FAILED,
}
OUTCOMES = {
    "completed": AttemptOutcome.COMPLETED,
    "errored": AttemptOutcome.ERROR,
    "saturated": AttemptOutcome.AT_CAPACITY,
    "overdue": AttemptOutcome.TIMED_OUT,
    "refused_conn": AttemptOutcome.CONNECT_FAILED,
    "severed": AttemptOutcome.RESET,
    "recalled": AttemptOutcome.CANCELLED,
    "superseded": AttemptOutcome.NEVER_SENT,
}
HINTED, REPEAT, MID_FLOW, RETURNING = 1, 2, 8, 16
LOAD_NOTICE, SLOW_NOTICE = 1, 2


class Malformed(Exception):
    pass


class Door:
    """One instance: its Balancer, and the ids of what the Balancer knows as objects."""

    def __init__(self, name, orders):
        self.name = name
        self.orders = orders
        self.servers = {}
        self.sessions = {}
        self.handles = {}
        self.balancer = None

    def start(self, now, seed, config):
        settings = Reader(config)
        self.listeners = read_listeners(settings)
        self.balancer = Balancer(
            self, random.Random(seed), **balancer_settings(settings)
        )
        self.balancer.on_start(now)

    def list_changed(self, now, scope, _version, lines):
        lines = lines or []
        if scope not in LIST_KINDS or any(
            not isinstance(line, list) or len(line) != 7 for line in lines
        ):
            raise Malformed("rosterChange takes a known scope and entries of 7 values")
        entries = []
        for weight, zone, name, cell, started, _machine, phase in lines:
            server = self.servers.get(name)
            if server is None:
                server = self.servers[name] = Server(name)
            server.zone, server.cell = zone, cell
            since = started * 1000 if started else None
            entries.append((server, PHASES.get(phase, Phase.GONE), weight, since))
        self.balancer.on_endpoint_update(now, LIST_KINDS[scope], entries)

    def make_session(
        self, now, handle, listener, tenant, key, left, load, group, marks
    ):
        known = listener is not None and 0 <= listener < len(self.listeners)
        marks = marks or 0
        sess = Session(
            listener=self.listeners[listener]
            if known
            else Listener("", Idempotency.NON_IDEMPOTENT),
            key=key or handle,
            deadline_ms=now + (left or 0.0) * 1000,
            tenant=tenant or 0,
            group=group,
            load=load if marks & HINTED else None,
            mid_flow=bool(marks & MID_FLOW),
            returning=bool(marks & RETURNING),
            is_client_retry=bool(marks & REPEAT),
        )
        self.sessions[handle] = sess
        self.handles[sess] = handle
        return sess

    def session(self, now, *fields):
        self.balancer.on_session(now, self.make_session(now, *fields))

    def open_session(self, now, *fields):
        server = self.servers.get(fields[-1]) or self.servers.setdefault(
            fields[-1], Server(fields[-1])
        )
        self.balancer.on_session_taken_over(
            now, self.make_session(now, *fields[:-1]), server
        )

    def accepted(self, now, handle, _server, _dial, _spent):
        if handle in self.sessions:
            self.balancer.on_session_accepted(now, self.sessions[handle])

    def outcome(self, now, handle, _dial, name, code, _spent, closed, report):
        if report and name in self.servers:
            self.balancer.on_load_report(now, self.servers[name], report)
        sess = self.sessions.get(handle)
        if sess is not None:
            if closed:
                self.forget(sess)
            self.balancer.on_outcome(
                now, sess, OUTCOMES.get(code, AttemptOutcome.ERROR), bool(closed)
            )

    def hang_up(self, now, handle):
        sess = self.sessions.get(handle)
        if sess is not None:
            self.forget(sess)
            self.balancer.on_client_left(now, sess)

    def notice(self, now, handle, _dial, _server, topic, level):
        if handle in self.sessions and topic == LOAD_NOTICE:
            self.balancer.on_load_declared(now, self.sessions[handle], level)
        elif handle in self.sessions and topic == SLOW_NOTICE:
            self.balancer.on_message_latency(now, self.sessions[handle], level)

    def probed(self, now, name, code, _spent, report):
        if name in self.servers:
            self.balancer.on_probe_result(
                now,
                self.servers[name],
                OUTCOMES.get(code, AttemptOutcome.ERROR),
                report,
            )

    def peer(self, now, peer, message):
        """Nothing is told to other proxies yet, so nothing can be heard."""

    def alarm_rang(self, now, name):
        timer = decode_timer(name)
        if timer is not None:
            self.balancer.on_timer(now, timer)

    def forget(self, sess):
        handle = self.handles.pop(sess, None)
        self.sessions.pop(handle, None)

    def order(self, name, *fields):
        self.orders.append([name, self.name, *fields])

    def start_attempt(self, session, server, timeout_ms):
        self.order("forward", self.handles[session], timeout_ms / 1000, server.name)

    def reject(self, session, retry_after_ms):
        self.order("notNow", self.handles[session], retry_after_ms / 1000)
        self.forget(session)

    def fail(self, session):
        self.order("error", self.handles[session])
        self.forget(session)

    def migrate(self, session):
        self.order("relocate", self.handles[session])

    def send_probe(self, server):
        self.order("sample", server.name)

    def poll_endpoint_list(self, enabled):
        self.order("follow", enabled)

    def set_timer(self, timer, at_ms):
        self.order("timer", encode_timer(timer), at_ms / 1000)

    def log(self, text):
        self.order("trace", text)


# Name of an event -> (what it calls, how many values follow the instance).
EVENTS = {
    "rosterChange": (Door.list_changed, 3),
    "accept": (Door.session, 8),
    "takenOver": (Door.open_session, 9),
    "accepted": (Door.accepted, 4),
    "notice": (Door.notice, 5),
    "reply": (Door.outcome, 7),
    "hangup": (Door.hang_up, 1),
    "probeResult": (Door.probed, 4),
    "datagram": (Door.peer, 2),
    "ring": (Door.alarm_rang, 1),
}


def check(batch):
    if (
        not isinstance(batch, dict)
        or not isinstance(batch.get("happened"), list)
        or isinstance(batch.get("tS"), bool)
        or not isinstance(batch.get("tS"), (int, float))
    ):
        raise Malformed("not a batch with a clock and events")


def take(doors, now, event, orders):
    if not isinstance(event, list) or len(event) < 2 or not isinstance(event[1], str):
        raise Malformed("an event is an array of a name, an instance and values")
    name, instance, *fields = event
    if name == "start":
        if len(fields) != 2 or not isinstance(fields[1], dict):
            raise Malformed("start takes a seed and settings")
        doors[instance] = Door(instance, orders)
        doors[instance].start(now, *fields)
        return
    if name != "crashNow" and name not in EVENTS:
        raise Malformed(f"unknown event {name!r}")
    if instance not in doors:
        raise Malformed(f"{name} for instance {instance!r}, which was never started")
    if name == "crashNow":
        del doors[instance]
        return
    call, count = EVENTS[name]
    if len(fields) != count:
        raise Malformed(
            f"{name} takes {count} values after the instance, not {len(fields)}"
        )
    doors[instance].orders = orders
    call(doors[instance], now, *fields)


def main(source=sys.stdin.buffer, out=sys.stdout):
    doors = {}
    for number, line in enumerate(source, 1):
        orders = []
        try:
            try:
                batch = json.loads(line)
            except ValueError:
                raise Malformed("not JSON") from None
            check(batch)
            for event in batch["happened"]:
                take(doors, batch["tS"] * 1000, event, orders)
        except (Malformed, Misconfigured) as wrong:
            print(f"line {number}: {wrong}", file=sys.stderr)
            return 2
        out.write(json.dumps({"orders": orders}, separators=(",", ":")) + "\n")
        out.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
