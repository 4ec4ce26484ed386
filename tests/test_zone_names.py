"""Zones whose names go wrong, in the virtual world: one that is renamed, and a member whose file names a wrong one."""

import pytest

from wheathill.config.peers import ZoneLayout, ZoneSettings
from wheathill.lab.cores.fleets import Fleet
from wheathill.peers.cluster_view import ViewState

ZONES = {"a1": ("a", 5), "a2": ("a", 4), "b1": ("b", 5), "c1": ("c", 4)}
PARTS = {"a1": 5 / 18, "a2": 4 / 18, "b1": 5 / 18, "c1": 4 / 18}


def started(seed, loss=0.02):
    fleet = Fleet(ZONES, seed, loss=loss)
    fleet.start_all()
    fleet.run(3)
    assert fleet.run_until(fleet.has_converged, 20) is not None
    return fleet


def renamed(fleet, version, parts, was):
    """A layout in which `d1` is where c1 is, as far as `parts` names them; proxies go by the parts."""
    seeds = {zone.name: zone.seeds for zone in fleet.layouts[1].zones}
    regions = {zone: region for zone, (region, _) in ZONES.items()}
    return ZoneLayout(
        version,
        tuple(
            ZoneSettings(
                name,
                regions.get(name, "c"),
                4 if name == "d1" else ZONES[name][1],
                seeds.get(name, seeds["c1"]),
                part,
                was[name],
            )
            for name, part in parts.items()
        ),
    )


def restart(fleet, name, version, zone=None):
    fleet.files[name] = version
    if zone:
        fleet.zone_of[name] = zone
    fleet.kill(name)
    fleet.clock.after(200.0, fleet.start, name)
    fleet.run(1)


def shares(fleet, names):
    return sum(fleet.peers[name].applied_quota for name in names if name in fleet.peers)


def test_a_zone_renamed_in_place_is_two_zones_for_a_while_and_parts_still_hold():
    """Neither layout knows the other's name, and nothing of one is heard in the other; but as no member takes more than
    one over the number that the layout names, those of both names together take one part."""
    fleet = started(1)
    parts = {"d1" if name == "c1" else name: part for name, part in PARTS.items()}
    fleet.layouts[2] = renamed(fleet, 2, parts, parts)
    for name in fleet.names["c1"][:2]:
        restart(fleet, name, 2, "d1")
    fleet.run(10)
    old, new = fleet.names["c1"][2:], fleet.names["c1"][:2]
    assert shares(fleet, old) > 0.0 and shares(fleet, new) > 0.0
    # The processes before, whose addresses others have now, are known to be gone, though something answers there.
    assert [
        member.name for member in fleet.peers[old[0]].membership.active_members()
    ] == old
    since = fleet.change("g", new[0])
    fleet.run(6)
    assert (
        len(fleet.propagation_times_s("g", since)) == len(new) - 1
    )  # the others don't know the zone that says so
    # Whoever is given the new file hears the new name, and what was told there.
    for name in [
        *old,
        *(name for zone in ("a1", "a2", "b1") for name in fleet.names[zone]),
    ]:
        restart(fleet, name, 2, "d1" if name in old else None)
    assert fleet.run_until(fleet.has_converged, 60) is not None
    assert (
        fleet.run_until(
            lambda: all(
                peers.server_records.is_draining("g", 0.0)
                for peers in fleet.peers.values()
            ),
            30,
        )
        is not None
    )
    assert (
        fleet.run_until(lambda: shares(fleet, fleet.zone_of) == pytest.approx(1.0), 30)
        is not None
        and fleet.quota_overruns == []
    )


def test_a_zone_renamed_by_processes_beside_the_old_ones_counts_twice():
    """More run then than either layout names, and `was` says of the new name what only the old one had: the proof in
    docs/design/zones.md doesn't hold for such a file, and the sum passes the whole by that part."""
    fleet = Fleet({**ZONES, "d1": ("c", 4)}, 1)
    fleet.layouts[1] = renamed(fleet, 1, PARTS, PARTS)
    parts = {"d1" if name == "c1" else name: part for name, part in PARTS.items()}
    fleet.layouts[2] = renamed(fleet, 2, parts, parts)
    for name, zone in fleet.zone_of.items():
        if zone != "d1":
            fleet.start(name)
    fleet.run(15)
    assert fleet.quota_overruns == []
    for name in fleet.names["d1"]:
        fleet.files[name] = 2
        fleet.start(name)
    fleet.run(15)
    assert fleet.largest_quota_sum == pytest.approx(1.0 + PARTS["c1"])


@pytest.mark.parametrize("seed, loss", [(1, 0.0), (2, 0.02), (3, 0.25)])
def test_a_zone_renamed_by_way_of_a_layout_that_has_both_names_never_passes_the_whole(
    seed, loss
):
    """First all get a file in which the old name gives its part to the new one; then its members go by the new name;
    then the old one is written out."""
    fleet = started(seed, loss)
    both = {**PARTS, "c1": 0.0, "d1": PARTS["c1"]}
    fleet.layouts[2] = renamed(fleet, 2, both, {**PARTS, "d1": 0.0})
    for name in list(fleet.zone_of):
        restart(fleet, name, 2)

    def through():
        return all(
            peers.zone_directory.adopted_layout_version("c1") == 2
            for peers in fleet.peers.values()
        )

    assert fleet.run_until(through, 60) is not None
    for name in fleet.names["c1"]:
        restart(fleet, name, 2, "d1")

    def whole():
        return shares(fleet, fleet.zone_of) == pytest.approx(1.0)

    assert fleet.run_until(whole, 60) is not None and shares(
        fleet, fleet.names["c1"]
    ) == pytest.approx(PARTS["c1"])
    last = {name: part for name, part in both.items() if name != "c1"}
    fleet.layouts[3] = renamed(fleet, 3, last, last)
    for name in list(fleet.zone_of):
        restart(fleet, name, 3)
    assert fleet.run_until(lambda: fleet.has_converged() and whole(), 60) is not None
    assert fleet.quota_overruns == [], fleet.quota_overruns[:3]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_member_whose_zone_is_wrong_is_one_of_the_zone_that_it_names(seed):
    """In zone a1, by its file in b1, which is taken for true: it is met in b1 and missing in a1. b1's part is split six
    ways, of a1's a fifth lies unused, so sums stay under the whole."""
    fleet = Fleet(ZONES, seed, loss=0.02)
    wrong, *right = fleet.names["a1"]
    fleet.zone_of[wrong] = "b1"
    fleet.start_all()
    fleet.run(10)
    met = fleet.names["b1"] + [wrong]
    assert all(len(fleet.peers[name].membership.active_members()) == 6 for name in met)
    assert all(
        len(fleet.peers[name].membership.active_members()) == 4 for name in right
    )
    assert (
        fleet.run_until(lambda: shares(fleet, met) == pytest.approx(PARTS["b1"]), 30)
        is not None
    )
    assert shares(fleet, right) == pytest.approx(PARTS["a1"] * 4 / 5)
    since = fleet.change("g", wrong)
    fleet.run(6)
    assert (
        len(fleet.propagation_times_s("g", since)) == 17
        and max(fleet.propagation_times_s("g", since)) < 6.0
    )
    # A cut of the region where it stands parts it from its zone, and not from its neighbours: it is cut off.
    region = [*fleet.names["a1"], *fleet.names["a2"]]
    fleet.cut(region)
    fleet.run(30)
    assert fleet.peers[wrong].zone_state() == ViewState.PARTITIONED
    assert {fleet.peers[name].zone_state() for name in fleet.names["a2"]} == {
        ViewState.CONVERGED
    }
    fleet.cut(region, False)
    assert (
        fleet.run_until(lambda: shares(fleet, met) == pytest.approx(PARTS["b1"]), 30)
        is not None
    )
    assert fleet.quota_overruns == [], fleet.quota_overruns[:3]
    # With its file put right it leaves the zone that it was never in, which knows so though its address answers.
    restart(fleet, wrong, 1, "a1")
    assert fleet.run_until(fleet.has_converged, 30) is not None, fleet.states()
    fleet.run(5)
    assert all(
        len(fleet.peers[name].membership.active_members()) == 5
        for zone in ("a1", "b1")
        for name in fleet.names[zone]
    )
    assert (
        fleet.run_until(lambda: shares(fleet, fleet.zone_of) == pytest.approx(1.0), 30)
        is not None
    )
    assert fleet.quota_overruns == [], fleet.quota_overruns[:3]
