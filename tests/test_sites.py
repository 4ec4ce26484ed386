"""Drawn sites: the same seed gives the same bytes, and what is drawn keeps to the operators' page on site files."""

import os
import subprocess
import sys
import tomllib

import pytest

from wheathill.lab.tools import sites

MANY = range(1, 201)


def drawn(hash_seed, seed):
    return subprocess.run(
        [sys.executable, "-m", "wheathill", "lab", "draw-site", "--seed", str(seed)],
        check=True,
        capture_output=True,
        env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
    ).stdout


@pytest.mark.processes
def test_same_seed_same_bytes():
    assert drawn(1, 5) == drawn(2, 5) == sites.site_text(5).encode() != drawn(1, 6)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_those_kept_are_as_drawn(seed):
    """Their figures in the results are of this text."""
    with open(f"deploy/sites/drawn-{seed}.toml") as kept:
        assert kept.read() == sites.site_text(seed)


def spans(value, at=""):
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from spans(inner, f"{at}.{key}")
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        for inner in value:
            yield from spans(inner, at)
    elif (
        isinstance(value, list)
        and len(value) == 2
        and all(type(end) in (int, float) for end in value)
    ):
        yield at, value


@pytest.mark.parametrize("seed", MANY)
def test_a_drawn_site_keeps_to_the_page(seed):
    site = tomllib.loads(sites.site_text(seed))
    (tier,) = site["tier"]
    assert 1 <= len(site["net"]["zones"]) <= 4 and site["scale"]["balancers"][0] >= len(
        site["net"]["zones"]
    )
    assert 1 <= len(site["class"]) <= 5 and len(site["fam"]["class"]) == len(
        site["class"]
    )
    for shares in (site["class"], site["tenant"], tier["kind"]):
        assert sum(item["share"] for item in shares) == pytest.approx(1, abs=0.02)
        assert len({item["name"] for item in shares}) == len(shares)
    for item in site["class"]:
        assert item["effect"] == "safe" and item["stream"]
        assert item["deadline_ms"] >= 2 * item["aim_ms"]
        assert item["deadline_ms"] > 2 * tier["conn"]["connect_timeout_ms"]
    assert (tier["report"]["how"] == "none") == (
        tier["report"]["fields"] == []
    ) and len(tier["report"]["fields"]) <= 4
    assert site["allow"]["probes"] or tier["report"]["how"] != "probe"
    assert len(site["trouble"]) >= int(site["day"]["troubles"][1])
    for at, (low, high) in spans(site):
        # A reconnect's time goes from the mildest to the worst.
        assert low <= high or at == ".trouble.len_s", at


def test_many_seeds_draw_every_setting():
    found = [tomllib.loads(sites.site_text(seed)) for seed in MANY]

    def seen(pick):
        return {pick(site) for site in found}

    assert seen(lambda site: len(site["net"]["zones"])) == {1, 2, 3, 4}
    assert seen(lambda site: len(site["class"])) == {1, 2, 3, 4, 5}
    assert seen(
        lambda site: (site["allow"]["probes"], site["tier"][0]["report"]["how"])
    ) == {(True, "probe"), (True, "none"), (False, "answers"), (False, "none")}
    assert seen(lambda site: site["tier"][0]["weights"]) == {"nominal", "rough", "none"}
    assert seen(lambda site: (site["fam"]["mode"], site["discovery"]["mode"])) == {
        ("pass", "push"),
        ("pass", "ask"),
        ("proxy", "push"),
        ("proxy", "ask"),
    }
    assert seen(lambda site: site["rules"]["fall_multiple"]) == {2, 3, 4}
