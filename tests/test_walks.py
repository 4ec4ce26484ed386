"""What is done for each client, or by the clock, doesn't walk over all connections: counted, not timed."""

from types import SimpleNamespace

import pytest

from drive import Drive
from turns import Turns
from wheathill.model import Listener, Session
from wheathill.net.open_request import OpenRequest

OPEN = 300


class Looked(dict):
    """Counts the looks at its keys, and walks over it."""

    def __init__(self, found):
        super().__init__(found)
        self.looks = self.walks = 0

    def __contains__(self, key):
        self.looks += 1
        return super().__contains__(key)

    def values(self):
        self.walks += 1
        return super().values()


class Stand:
    """In the place of a client that is up."""

    def __init__(self, sess):
        self.session, self.unanswered_since_ms, self.is_migrating, self.connection = (
            sess,
            None,
            False,
            SimpleNamespace(is_write_blocked=False),
        )


def held(proxy):
    """Sessions that stand, as far as the ids and the sweep know them."""
    sessions = [Session(Listener("any"), f"k{number}", 0.0) for number in range(OPEN)]
    proxy.clients = Looked({sess: Stand(sess) for sess in sessions})
    proxy.session_ids.update(
        {f"id{number}": sess for number, sess in enumerate(sessions)}
    )
    return sessions


@pytest.mark.processes
def test_a_newcomer_costs_two_looks_at_ids_however_many_are_open():
    with Turns(limits={"max_session_ids": 10}) as turns:
        proxy = turns.proxy
        held(proxy)
        for number in range(5):
            sess = Session(Listener("any"), f"new{number}", 0.0)
            proxy.clients[sess] = Stand(sess)
            proxy.clients.looks = 0
            proxy.record_session_id(OpenRequest(b"OPEN new%d k c=any" % number), sess)
            assert proxy.clients.looks <= 2
        assert len(proxy.session_ids) == OPEN + 5  # all are open, and none is forgotten
        # Those that are over go first, and are never more than the open ones.
        for number in range(2 * OPEN):
            proxy.record_session_id(
                OpenRequest(b"OPEN over%d k c=any" % number),
                Session(Listener("any"), "k", 0.0),
            )
        assert (
            all(f"id{number}" in proxy.session_ids for number in range(OPEN))
            and len(proxy.session_ids) <= 2 * OPEN + 10
        )
        proxy.clients = {}


@pytest.mark.processes
def test_a_sweep_looks_at_none_but_who_waits_for_an_answer():
    with Turns() as turns:
        proxy = turns.proxy
        held(proxy)
        proxy.sweep()
        assert proxy.clients.walks == 0
        told = []
        proxy.balancer.on_message_unanswered = lambda now, sess, waited: told.append(
            (sess, waited)
        )
        client = next(iter(dict(proxy.clients).values()))
        client.unanswered_since_ms = proxy.now() - 700.0
        proxy.on_request_forwarded(client)
        proxy.sweep()
        assert [sess for sess, _ in told] == [client.session] and told[0][1] >= 700.0
        proxy.on_message_answered(client, 0.0)
        proxy.sweep()
        assert len(told) == 1
        proxy.clients = {}


class Slots(list):
    walks = 0

    def __iter__(self):
        self.walks += 1
        return super().__iter__()


def test_a_tick_walks_over_servers_and_not_over_sessions():
    drive = Drive()
    drive.list("a", "b")
    sessions = [drive.accept(f"s{number}") for number in range(20)]
    table = drive.balancer.slot_table
    table.sessions = Slots(table.sessions)
    drive.balancer.tick(1000.0)
    assert table.sessions.walks == 0
    assert {server.name for server in table.active_servers} == {"a", "b"}
    for sess in sessions:
        drive.balancer.on_client_left(1500.0, sess)
    drive.balancer.tick(2000.0)
    assert not table.active_servers
