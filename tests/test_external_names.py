"""Guards against a rename that changes what other programs read or write.

Clients, servers, peers, operators' files and tools, and stored data depend on the names
of external_names.txt. A name that no longer stands in the code fails here.
"""

from external_names import NAME_LIST, collect


def listed_names() -> list[str]:
    lines = NAME_LIST.read_text().splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def test_every_external_name_still_stands_in_the_code():
    names = listed_names()
    assert len(names) > 400
    assert sorted(set(names) - collect()) == []


def test_every_external_name_is_listed_once():
    names = listed_names()
    assert names == sorted(set(names))
