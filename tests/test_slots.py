"""Who holds the slots: the earliest claim of each, however they were filled, in proportion, with few draws."""

import math
import random

import pytest

from wheathill.model import Server
from wheathill.policy.settings import SlotTableSettings
from wheathill.policy.slot_claims import hash_draws
from wheathill.policy.slot_table import SlotTable


def table(size):
    return SlotTable(random.Random(1).choice, SlotTableSettings(slot_count=size))


def servers(count, weights=(1.0,)):
    return [
        Server(f"s{place}", weight=weights[place % len(weights)])
        for place in range(count)
    ]


def filled(size, some):
    found = table(size)
    found.update(0.0, some, {}, dict.fromkeys(some))
    return found


def first_claim(server, slot, size):
    draws = hash_draws(server.name, 40 * size)
    k = next(k for k in range(40 * size) if draws[3 * k] % size == slot)
    return (
        k + draws[3 * k + 1] / 2**16 + draws[3 * k + 2] / 2**32
    ) / server.effective_weight


def test_each_slot_is_whose_claim_comes_first():
    some = servers(5, (1.0, 2.0, 0.5))
    found = filled(512, some)
    for slot in range(512):
        claims = {first_claim(server, slot, 512): server for server in some}
        assert found.preferred_servers[slot] is claims[
            min(claims)
        ] and found.claim_scores[slot] == min(claims)


def test_the_order_of_joins_and_leaves_changes_nothing():
    some = servers(30, (1.0, 3.0))
    at_once, one_by_one = filled(4096, some), table(4096)
    for server in reversed(some):
        one_by_one.update(0.0, [server], {}, dict.fromkeys(some))
    assert (
        one_by_one.preferred_servers == at_once.preferred_servers
        and one_by_one.current == at_once.current
    )
    assert one_by_one.claim_scores == at_once.claim_scores
    gone, rest = dict.fromkeys(some[:3]), some[3:]
    before = list(at_once.preferred_servers)
    at_once.update(0.0, [], gone, dict.fromkeys(rest))
    assert all(
        now is then
        for now, then in zip(at_once.preferred_servers, before)
        if then not in gone
    )
    assert at_once.preferred_servers == filled(4096, rest).preferred_servers
    at_once.update(0.0, some[:3], {}, dict.fromkeys(some))
    assert at_once.preferred_servers == before


@pytest.mark.parametrize("count, most", [(5, 0.05), (24, 0.10), (90, 0.18)])
def test_shares_are_even_and_go_by_weight(count, most):
    some = servers(count, (1.0, 2.0, 4.0))
    found, whole = filled(4096, some), sum(server.weight for server in some)
    off = [
        found.preferred_servers.count(server) / 4096 / (server.weight / whole) - 1
        for server in some
    ]
    assert math.sqrt(sum(each * each for each in off) / count) < most


@pytest.mark.parametrize(
    "size, count", [(4096, 12), (4096, 90), (4096, 8000), (65_536, 800)]
)
def test_no_more_is_drawn_than_can_come_first(size, count):
    """Some fourteen draws a slot in all, and sixteen for each server."""
    some = servers(count)
    found = filled(size, some)
    assert None not in found.preferred_servers
    assert sum(len(server.hash_draws) // 3 for server in some) < 25 * size + 40 * count
    another = Server("another")
    found.update(0.0, [another], {}, dict.fromkeys([*some, another]))
    assert len(another.hash_draws) // 3 < 25 * size / count + 40
