"""What two processes of one proxy send each other during an upgrade, byte for byte.

The files `tests/golden/handover_*` were recorded by commit 1c90a33, from which processes may still be running when
one of the present build is started beside them; but for the wording of errors, which is that of the present build, and
for lines that say `is not a number`, where that commit failed by an AttributeError. `python tests/test_golden_handover.py FOLDER` records the same
files from the present code into a folder, for a person to compare.

Both processes run here without sockets: `Transport` and `Connection` stand where the network driver is, and the clock
stands still. Python names of the decisions are used in `fill_state` alone.
"""

import copy
import hashlib
import json
import pathlib
import sys
import types

import orjson
import pytest

from wheathill.config.platform import build_node_config
from wheathill.handover.coordinator import UpgradeCoordinator
from wheathill.handover.snapshot import collect_snapshot
from wheathill.handover.state_codec import encode_snapshot
from wheathill.log_events import LogEvent
from wheathill.net.proxy import Proxy
from wheathill.policy.outlier_detection import RecordedAttempt
from wheathill.policy.retry_budget import Retry
from wheathill.policy.slot_table import KeyRoute

GOLDEN = pathlib.Path(__file__).parent / "golden"
CONFIGURATION = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "5eed",
    "limits": {"sockets": 1024},
    "settings": {
        "listeners": [
            {"name": "any", "repeat": "retryable", "dialTimeoutS": 2.0},
            {"name": "other", "repeat": "dedup", "dialTimeoutS": 3.0},
        ],
        "tenants": [{"name": "t0"}, {"name": "t1"}],
        "dcs": ["x", "y"],
        "familyInfo": {"mode": "pass", "groups": True},
        "report": {"names": ["x0"]},
        "limits": {"maxDials": 3, "retryAfter": True, "maxRetryAfterS": 1.0},
        "obligations": {
            "drainGraceS": 0.5,
            "coldS": 10.0,
            "freeResends": 5,
            "resendRatio": 0.1,
            "ratioSpanS": 10.0,
        },
        "slots": 512,
    },
}
HOSTS = (
    # host, health, born_ms, site, block, share
    ("a", "ready", 0, "x", 0, 1.0),
    ("b", "ready", 69_000, "y", 1, 2.0),
    ("c", "draining", 0, "x", 2, 1.0),
    ("d", "ready", 0, "y", 3, 0.5),
    ("e", "ready", 12_000, "unknown", 0, 1.0),
    ("ü-f", "gone", 0, "x", 0, 1.0),
)
SESSIONS = (
    # key, more values of the OPEN line, server, lines of the client and of the server after UP
    ("k0", "c=any,d=1500", "a", b"", b""),
    ("k1", "c=any,d=1500,t=t1,g=group,h=0.25", "b", b"a line\r\n", b""),
    ("k2", "c=other,d=1500,mid=1", "a", b"", b"LOAD 0.5\r\nhalf a \xfc li"),
    ("k3", "c=other,d=1500,again=1,r=1", "b", b"half", b"answer\r\n"),
)


class Clock:
    def __init__(self):
        self.time = 70_000.0

    def now(self):
        return self.time

    def from_wall(self, wall):
        return wall - 1000.0

    def to_wall(self, when):
        return when + 1000.0

    def after(self, *_):
        return types.SimpleNamespace(cancel=lambda: None)

    at = soon = after


class Connection:
    """One to a client or a server; what is sent on it is of no interest here."""

    open = was_established = drained = quiet = True
    is_write_blocked = has_unread_bytes = False
    ms_since_receive = 0.0

    def duplicate(self):
        return "handle"

    def abort(self, reset=False):
        self.open = False

    def ignore(self, *_):
        pass

    send = set_paused = send_eof = close_gracefully = ignore


# Added to the last section of the state since that commit, whose processes ignore them.
ADDED_FIELDS = ["shares_ids", "listed"]


class UnixConnection:
    """One to another process: keeps what is sent, without `ADDED_FIELDS`, which must stand at the end."""

    def __init__(self, carrier):
        self.transport, self.over, self.sent = carrier, False, []

    def send(self, data, handles=()):
        if data.startswith(b'{"rest":'):
            fields = json.loads(data)["rest"]
            assert list(fields)[-len(ADDED_FIELDS) :] == ADDED_FIELDS
            kept, _, added = data.rpartition(b',"shares_ids":')
            assert json.loads(b'{"shares_ids":' + added[:-2]) == {
                name: fields[name] for name in ADDED_FIELDS
            }
            data = kept + b"}}\n"
        if not self.over:
            self.sent.append((data, list(handles)))

    def close(self):
        self.over = True

    def deliver(self, data, handles=()):
        """As the driver does: a fault of the protocol machine ends it. Of other types none is expected."""
        try:
            self.machine.received(data, list(handles))
        except TypeError as fault:
            self.sent.append((repr(fault).encode(), []))
            self.machine.fault()


class Transport:
    """Stands in for the sockets of one process."""

    def __init__(self, limits):
        (
            self.limits,
            self.free,
            self.previous_process_sockets,
            self.closing_connections,
        ) = (
            limits,
            1000,
            0,
            {},
        )
        self.sockets = 40
        self.dropped = self.adopted = 0
        self.make_receiver = self.make_sender = None

    def connect(self, machine, address, source=None):
        machine.connection = Connection()
        return machine.connection

    def adopt(self, handle, machine):
        machine.connection = Connection()
        self.adopted += 1

    def close_handles(self, handles):
        self.dropped += len(handles)

    def listen_unix(self, folder, name, make_machine):
        self.make_sender = make_machine
        return types.SimpleNamespace(close=lambda: None)

    def connect_unix(self, folder, name, make_machine):
        if not self.reaches:
            raise FileNotFoundError(2, "nobody is there")
        return self.connection(make_machine)

    def connection(self, make_machine):
        connection = UnixConnection(self)
        connection.machine = make_machine(connection)
        connection.machine.connected()
        self.last_connection = connection
        return connection


class Process:
    def __init__(self, beside=False, **changed):
        """`beside`: another process is there, which is asked for its state."""
        node = build_node_config({**CONFIGURATION, **changed})
        self.events = []
        self.transport = Transport(node.limits)
        self.transport.reaches = beside
        self.proxy = Proxy(node, self.transport, Clock(), self.note)
        self.proxy.listening_socket = types.SimpleNamespace(
            set_paused=lambda on: None, close=lambda: None, waiting=False
        )
        UpgradeCoordinator(
            self.proxy, self.transport, self.proxy.clock, self.note
        ).begin()
        self.receiver = self.transport.last_connection if beside else None

    def note(self, event, **values):
        if "hand" in event or event in (
            LogEvent.HANDOVER_RECEIVED,
            LogEvent.ACCEPTING_CONNECTIONS,
            LogEvent.INTERNAL_ERROR,
            LogEvent.MAINTENANCE_ENTERED,
        ):
            values.pop("after", None)
            self.events.append((event, values))

    def asked_for_state(self):
        """Another process has connected."""
        return self.transport.connection(self.transport.make_sender)


def fill_state(process):
    """The one place that names parts of the decisions: something unlike in every field that goes over."""
    proxy = process.proxy
    proxy.on_endpoint_list(
        {
            "seq": 7,
            "whole": True,
            "hosts": [
                {
                    "host": name,
                    "dial": f"10.0.0.{number}:300{number}",
                    "site": site,
                    "block": block,
                    "health": health,
                    "share": share,
                    "born_ms": born,
                }
                for number, (name, health, born, site, block, share) in enumerate(HOSTS)
            ],
        }
    )
    for when, name, out in (
        (70_000.5, "d", True),
        (70_001, "e", True),
        (70_002.25, "e", False),
        (70_003, "z", True),
    ):
        proxy.clock.time = when
        proxy.set_maintenance(name, out)
    balancer, servers = proxy.balancer, proxy.servers
    for number, server in enumerate(servers.values()):
        since = 60_000.125 + 100 * number
        (
            server.leaving_since_ms,
            server.last_late_message_ms,
            server.last_received_ms,
        ) = since, since + 1, since + 2
        server.next_shift_ms, server.next_migration_ms = since + 3, since + 4
        server.last_probe_ms = since + 5
        server.unanswered_probes = number % 3
        server.load_samples.extend(
            [(69_000.0 + number, 0.25), (69_500.5, 0.5 + number)]
        )
        server.recent_results.extend([(69_100.0, True), (69_200.0 + number, False)])
        server.attempt_times_ms.extend([69_300.0, 69_400.75 + number])
    servers["c"].is_removal_unconfirmed, servers["c"].weight = True, 2.5
    servers["a"].last_late_message_ms = servers["b"].last_received_ms = servers[
        "a"
    ].last_probe_ms = float("-inf")
    table = balancer.slot_table
    for place in range(3):
        slot = [
            slot for slot, server in enumerate(table.current) if server is servers["b"]
        ][10 * place]
        table.new[slot], table.transition_started_ms[slot] = (
            servers["a"],
            69_000.0 + place,
        )
    for number, known in enumerate((table.moved_keys, table.exception_keys)):
        known["key é"] = KeyRoute(servers["ab"[number]], 69_600.5)
        known["second"] = KeyRoute(servers["ba"[number]], 69_700.0)
    balancer.load_estimator.capacity_estimate, balancer.probe_scheduler.credit = (
        12.75,
        3.5,
    )
    balancer.admission.concurrency_limit = 17.5
    balancer.admission.next_admission_ms = 69_999.0
    balancer.retry_budget.retries.extend([Retry(69_000.0, 1.5), Retry(69_800.5, 2.0)])
    balancer.outlier_detector.recent_attempts.extend(
        [
            RecordedAttempt(69_000.0, servers["a"], True),
            RecordedAttempt(69_900.25, servers["b"], False),
        ]
    )
    proxy.session_ids.update({"id-over": None, "id ü": None})
    proxy.clock.time = 70_100.0


def open_sessions(process):
    """At servers of their own choice, as connections are that come through this proxy again."""
    proxy = process.proxy
    for key, values, server, asked, answered in SESSIONS:
        proxy.clock.time += 10.5
        client = proxy.create_client(Connection())
        client.connected()
        client.received(f"OPEN id-{key} {key} {values},at={server}\r\n".encode())
        proxy.clock.time += 1.25
        client.attempt.connected()
        client.attempt.received(b"UP r1\r\n")
        proxy.clock.time += 2.0
        if answered:
            client.attempt.received(answered)
        if asked:
            client.received(asked)
    assert len(proxy.clients) == len(SESSIONS)


def old_process():
    process = Process()
    fill_state(process)
    open_sessions(process)
    return process


class Recorder:
    """Passes on what both sides send, in turn, and writes it down."""

    def __init__(self, sides):
        self.sides = (
            sides  # name -> UnixConnection; None: what was recorded plays this side
        )
        self.lines = []
        self.passed = dict.fromkeys(sides, 0)

    def run(self):
        moved = True
        while moved:
            moved = False
            for name, other in (("new", "old"), ("old", "new")):
                for data, handles in self.sides[name].sent[self.passed[name] :]:
                    self.lines.append((name, len(handles), data))
                    self.passed[name] += 1
                    self.sides[other].deliver(data, handles)
                    moved = True


def converse(old, new, operators=True):
    """A whole upgrade: everything goes over, then operators call at either process."""
    recorder = Recorder({"new": new.receiver, "old": old.asked_for_state()})
    recorder.run()
    if not operators:
        return recorder.lines
    new.proxy.set_maintenance("a", True)
    recorder.run()
    old.proxy.set_maintenance("a", False)
    recorder.run()
    return recorder.lines


def written(lines):
    return b"".join(
        b"%s %d %s" % (side.encode(), handles, data) for side, handles, data in lines
    )


def recorded():
    """(side, number of handles, bytes) of each message."""
    found = []
    for line in (GOLDEN / "handover_conversation.txt").read_bytes().splitlines(True):
        side, handles, data = line.split(b" ", 2)
        found.append((side.decode(), int(handles), data))
    return found


def state_messages(lines):
    """Of a conversation, as objects: what the old side sends up to `told`."""
    found = [json.loads(data) for side, _, data in lines if side == "old"]
    return found[: found.index({"told": True})]


def handed_sessions(lines):
    return next(
        json.loads(data) for side, _, data in lines if data.startswith(b'{"sessions')
    )["sessions"]


def message(**values):
    return json.dumps(values).encode() + b"\n"


def passed_on(lines):
    """What differs where a process that has taken all this hands it on to a third one."""
    new = Process(beside=True)
    for side, handles, data in lines:
        if side == "old" and not data.startswith(b'{"hand"'):
            new.receiver.deliver(data, ["handle"] * handles)
    before = {data for _, _, data in lines}
    return [
        line
        for line in converse(new, Process(beside=True), operators=False)
        if line[2] not in before
    ]


# Twisted messages

REPLACEMENTS = (None, "x", -1, 1e300, 2.5, True, [])


def paths(value, path=()):
    """Of all parts of a message; of a list only its first entry, as the others are alike."""
    yield path
    if isinstance(value, dict):
        for key in value:
            yield from paths(value[key], (*path, key))
    elif isinstance(value, list) and value:
        yield from paths(value[0], (*path, 0))


def twisted(value, path):
    """(what was done, the value without or with something else at the path)."""
    *before, last = path
    for replacement in ("(absent)", *REPLACEMENTS):
        changed = copy.deepcopy(value)
        holder = changed
        for step in before:
            holder = holder[step]
        if replacement == "(absent)":
            del holder[last]
        else:
            holder[last] = replacement
        if changed != value or repr(changed) != repr(value):
            yield f"{'.'.join(map(str, path))} {json.dumps(replacement)}", changed


def shown(events):
    return "; ".join(
        " ".join(
            [
                event,
                *(
                    f"{name}={value}"
                    for name, value in values.items()
                    if name != "sessions"
                ),
            ]
        )
        for event, values in events
        if event != LogEvent.ACCEPTING_CONNECTIONS
    )


def take_state(messages):
    process = Process(beside=True)
    for one in messages:
        process.receiver.deliver(json.dumps(one).encode() + b"\n")
    process.receiver.deliver(message(told=True))
    return process


def state_digest(process):
    sender = process.asked_for_state()
    sender.deliver(message(hello=[1, "n0"]))
    return hashlib.blake2b(
        b"".join(data for data, _ in sender.sent), digest_size=4
    ).hexdigest()


def twisted_states(lines):
    """One line for each twisted state: what a new process makes of it."""
    messages = state_messages(lines)
    unchanged = state_digest(take_state([]))
    for at, one in enumerate(messages):
        for path in list(paths(one))[1:]:
            if (
                path[:3] == ("table", "home", 0)
                or path[0] == "servers"
                and len(path) == 2
            ):
                continue
            for what, changed in twisted(one, path):
                process = take_state([*messages[:at], changed, *messages[at + 1 :]])
                digest = state_digest(process)
                yield f"{at} {what}: {shown(process.events)} {'unchanged' if digest == unchanged else digest}"


def twisted_sessions(lines):
    """What a process that has taken the state makes of sessions that it can't take."""
    process = take_state(state_messages(lines))
    for number, session in enumerate(handed_sessions(lines)[:2]):
        for path in paths(session):
            for what, changed in [("whole", 7)] if not path else twisted(session, path):
                if process.receiver.over:
                    process = take_state(state_messages(lines))
                process.events.clear()
                process.receiver.sent.clear()
                process.transport.dropped = process.transport.adopted = 0
                process.receiver.deliver(message(sessions=[changed]), ["h1", "h2"])
                answer = (
                    b"".join(data for data, _ in process.receiver.sent).decode().strip()
                )
                yield (
                    f"{number} {what}: {answer} adopted {process.transport.adopted} "
                    f"dropped {process.transport.dropped} over {process.receiver.over} {shown(process.events)}"
                )


SENDER_INPUTS = {
    "another version": [message(hello=[2, "n0"])],
    "another name": [message(hello=[1, "n1"])],
    "no version": [message(hello=7)],
    "no hello": [message(took=True)],
    "no message": [b"what?\n"],
    "no object": [b"7\n"],
    "hello twice": [message(hello=[1, "n0"]), message(hello=[1, "n0"])],
    "unknown": [message(hello=[1, "n0"]), message(sessions=[])],
    "not taken": [message(hello=[1, "n0"]), message(took=False)],
    "not taken by a word": [message(hello=[1, "n0"]), message(took="yes")],
    "too many": [message(hello=[1, "n0"]), message(took=True), message(carried=9)],
    "carried no number": [
        message(hello=[1, "n0"]),
        message(took=True),
        message(carried="x"),
    ],
    "carried twice": [
        message(hello=[1, "n0"]),
        message(took=True),
        message(carried=4),
        message(carried=4),
    ],
    "carried too early": [message(hello=[1, "n0"]), message(carried=0)],
    "hand too early": [message(hand=["a", True])],
    "hand before it took": [message(hello=[1, "n0"]), message(hand=["a", True])],
    "hand no list": [message(hello=[1, "n0"]), message(hand=7)],
    "hand of three": [message(hello=[1, "n0"]), message(hand=["a", True, 1])],
    "hand no flag": [message(hello=[1, "n0"]), message(hand=["a", 1])],
    "hand no name": [message(hello=[1, "n0"]), message(hand=[None, True])],
    "two in one": [b'{"hello":[1,"n0"],"took":true}\n'],
    "in pieces": [b'{"hello":[1,', b'"n0"]}\n{"took":tr', b'ue}\n{"carried":4}\n'],
}
RECEIVER_INPUTS = {
    "no": [message(no="another upgrade is under way")],
    "no of no words": [message(no=[7])],
    "sessions too early": [message(sessions=[])],
    "held no number": ["state", message(held="x")],
    "held a list": ["state", message(held=[1])],
    "held": ["state", message(held=7.5)],
    "sessions no list": ["state", message(sessions=7)],
    "sessions without handles": ["state", message(sessions=[{}])],
    "told twice": ["state", message(told=True)],
    "hand": ["state", message(hand=["a", True]), message(hand=["a", False])],
    "hand no flag": ["state", message(hand=["a", "x"])],
    "hand too early": [message(hand=["a", True])],
    "unknown part": [message(tables={})],
    "a name as a part": [b'{"servers":[],"%s":1}\n' % (b"x" * 60)],
    "told without a state": [message(told=True)],
    "no message": [b"what?\n"],
    "no object": [b"[7]\n"],
    "servers twice": ["state twice"],
}


def odd_conversations(lines):
    """One line for each: what either side answers and logs."""
    messages = state_messages(lines)
    for name, pieces in SENDER_INPUTS.items():
        old = old_process()
        old.events.clear()
        sender = old.asked_for_state()
        for piece in pieces:
            sender.deliver(piece)
        yield odd_line(f"old: {name}", old, sender)
    for name, pieces in RECEIVER_INPUTS.items():
        new = Process(beside=True)
        for piece in pieces:
            if isinstance(piece, bytes):
                new.receiver.deliver(piece)
            else:
                for one in messages * (2 if piece == "state twice" else 1):
                    new.receiver.deliver(json.dumps(one).encode() + b"\n")
                new.receiver.deliver(message(told=True))
        yield (
            odd_line(f"new: {name}", new, new.receiver)
            + f", lent {new.transport.previous_process_sockets}"
        )


def odd_line(name, process, connection):
    data = b"".join(data for data, _ in connection.sent)
    answer = (
        data.decode().replace("\n", " ")
        if len(data) < 200
        else hashlib.blake2b(data, digest_size=4).hexdigest()
    )
    return (
        f"{name}: {answer} over {connection.over} dropped {process.transport.dropped} "
        f"adopted {process.transport.adopted} {shown(process.events)}"
    )


def files():
    """name -> content, by the present code."""
    lines = converse(old_process(), Process(beside=True))
    return {
        "handover_conversation.txt": written(lines),
        "handover_passed_on.txt": written(passed_on(lines)),
        "handover_twisted_states.txt": "\n".join(twisted_states(lines)).encode()
        + b"\n",
        "handover_twisted_sessions.txt": "\n".join(twisted_sessions(lines)).encode()
        + b"\n",
        "handover_odd_conversations.txt": "\n".join(odd_conversations(lines)).encode()
        + b"\n",
    }


def golden_lines(name):
    return (GOLDEN / name).read_text().splitlines()


def test_both_sides_send_what_they_sent():
    assert written(converse(old_process(), Process(beside=True))) == written(recorded())


@pytest.mark.parametrize("present", ["old", "new"])
def test_a_present_process_beside_one_from_before(present):
    """Only one side is of the present build; the other's part is played as it was recorded."""
    old, new = old_process(), Process(beside=True)
    connection = old.asked_for_state() if present == "old" else new.receiver
    hands = {"old": [("a", False)], "new": [("a", True)]}[present]
    for side, handles, data in recorded():
        if side != present:
            connection.deliver(data, ["handle"] * handles)
        else:
            if data.startswith(b'{"hand"'):
                (old if present == "old" else new).proxy.set_maintenance(*hands.pop())
            sent, given = connection.sent.pop(0)
            assert (len(given), sent) == (handles, data)
    assert not connection.sent and not hands
    if present == "old":
        assert not old.proxy.clients
        assert old.transport.dropped == 2 * len(SESSIONS)
    else:
        assert new.transport.adopted == 2 * len(SESSIONS)
        assert [event for event, _ in new.events][:2] == [
            LogEvent.HANDOVER_RECEIVED,
            LogEvent.ACCEPTING_CONNECTIONS,
        ]


def test_a_state_from_before_is_passed_on_as_it_came():
    """Taken from the recorded messages and told to a third process: the same but for what has changed since."""
    assert (
        written(passed_on(recorded()))
        == (GOLDEN / "handover_passed_on.txt").read_bytes()
    )


def test_twisted_states_are_refused_as_they_were():
    """Each with the proxy as it was, and in the same words."""
    assert list(twisted_states(recorded())) == golden_lines(
        "handover_twisted_states.txt"
    )


def test_twisted_sessions_are_refused_as_they_were():
    assert list(twisted_sessions(recorded())) == golden_lines(
        "handover_twisted_sessions.txt"
    )


def test_odd_conversations_end_as_they_did():
    assert list(odd_conversations(recorded())) == golden_lines(
        "handover_odd_conversations.txt"
    )


def test_a_server_that_drains_stays_out_after_an_upgrade_and_an_older_list():
    # Guards against an upgrade that forgets by which version a server has left.
    old, new = old_process(), Process(beside=True)
    for fields in encode_snapshot(collect_snapshot(old.proxy), old.proxy.now(), 1e6):
        new.receiver.deliver(orjson.dumps(fields, default=tuple) + b"\n")
    new.receiver.deliver(message(told=True))
    draining = next(name for name, health, *_ in HOSTS if health == "draining")
    for name, state in old.proxy.known_names.items():
        if state is not None and (state.has_left or state.started_ms is not None):
            assert new.proxy.known_names[name] == state
    older_list = {
        "seq": 6,
        "whole": False,
        "hosts": [{"host": draining, "health": "ready"}],
    }
    new.proxy.on_endpoint_list(older_list)
    ready = [server.name for server in new.proxy.balancer.endpoint_list.servers]
    assert draining not in ready
    new.proxy.on_endpoint_list({**older_list, "seq": 8})
    ready = [server.name for server in new.proxy.balancer.endpoint_list.servers]
    assert draining in ready


def test_sessions_come_over_although_a_list_unlists_their_servers_before():
    # Guards against servers that are forgotten while their sessions are on their way,
    # which were then cut off at both processes.
    new = Process(beside=True)
    for side, handles, data in recorded():
        if side == "old" and not data.startswith(b'{"hand"'):
            if data.startswith(b'{"sessions"'):
                new.proxy.on_endpoint_list({"seq": 9, "whole": True, "hosts": []})
            new.receiver.deliver(data, ["handle"] * handles)
    assert new.transport.adopted == 2 * len(SESSIONS)
    kept = set(new.proxy.servers)
    new.receiver.machine.lost(False)
    held = {client.attempt.server.name for client in new.proxy.clients.values()}
    assert held <= set(new.proxy.servers) < kept


def sent_ids(connection):
    return [data for data, _ in connection.sent if data.startswith(b'{"used"')]


def test_a_new_process_shares_ids_only_with_an_old_one_that_understands_them():
    # Guards against a message that a process from before would end the upgrade for.
    for shares in (False, True):
        new = Process(beside=True)
        for fields in state_messages(recorded()):
            if shares and "rest" in fields:
                fields["rest"]["shares_ids"] = True
            new.receiver.deliver(message(**fields))
        new.receiver.deliver(message(told=True))
        new.proxy.remember_session_ids(["id 1"], forwarded_by=None)
        expected = [b'{"used":[]}\n', b'{"used":["id 1"]}\n'] if shares else []
        assert sent_ids(new.receiver) == expected
        assert not new.receiver.over


def test_an_old_process_shares_ids_once_the_new_one_has_said_that_it_understands_them():
    # Guards against the same, and against ids that are taken before that and never told.
    old = old_process()
    sender = old.asked_for_state()
    sender.deliver(message(hello=[1, "n0"]))
    old.proxy.remember_session_ids(["id 1"], forwarded_by=None)
    sender.deliver(message(took=True))
    old.proxy.remember_session_ids(["id 2"], forwarded_by=None)
    assert sent_ids(sender) == []
    sender.deliver(message(used=["id 3"]))
    old.proxy.remember_session_ids(["id 4"], forwarded_by=None)
    assert sent_ids(sender) == [b'{"used":["id 1","id 2"]}\n', b'{"used":["id 4"]}\n']
    assert "id 3" in old.proxy.session_ids


@pytest.mark.parametrize("value", [None, 1, "id", [1], [None], ["id"] * 1001])
def test_ids_that_are_none_end_the_handover(value):
    old = old_process()
    sender = old.asked_for_state()
    sender.deliver(message(hello=[1, "n0"]))
    sender.deliver(message(took=True))
    sender.deliver(message(used=value))
    assert sender.over


if __name__ == "__main__":
    for file_name, content in files().items():
        (pathlib.Path(sys.argv[1]) / file_name).write_bytes(content)
