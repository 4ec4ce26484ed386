"""The measuring tool names parts of the program by text: each such name is there."""

from dataclasses import fields

import pytest

from wheathill.config.limits import ProxyLimits
from wheathill.lab.scale import ends, parts, visits


@pytest.mark.parametrize("limits", [ends.LIMITS, visits.LIMITS])
def test_limits_of_stand_ins_have_the_names_of_a_proxys(limits: object) -> None:
    known = {field.name for field in fields(ProxyLimits)}
    assert vars(limits).keys() - known == set()


@pytest.mark.parametrize("part", parts.WRAPPED)
def test_timed_methods_are_there(part: type) -> None:
    missing = [name for name in parts.WRAPPED[part] if not hasattr(part, name)]
    assert missing == []
